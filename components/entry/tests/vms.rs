//! State of entries and endpoints as derived from the list of VMs.

use entry::vms::{VmHistory, Vms};
use platform::vms::{State, Vm};
use site::{
    Executor, Site,
    id::{EndpointId, EntryId},
};

fn vm(address: &str, state: State) -> Vm {
    Vm { address: address.parse().unwrap(), state }
}

fn site() -> Site {
    let mut site = Site::default();
    for (name, address) in [("cut-1", "10.0.0.1:80"), ("cut-2", "10.0.0.2:80")] {
        let executor: Executor = serde_json::from_value(serde_json::json!({
            "name": name, "data-centre": "cutting", "address": address, "service": "templating",
        }))
        .unwrap();
        site.executors.insert(EndpointId::of(name), executor);
    }
    site
}

#[test]
fn only_vms_listed_before_can_be_gone() {
    let mut history = VmHistory::default();
    let one: Vms = [("entry-1".to_owned(), vm("10.0.1.1", State::Live))].into();
    assert_eq!(history.update(&one, &site()).gone, []);
    assert_eq!(history.update(&Vms::new(), &site()).gone, [EntryId::of("entry-1")]);
    assert_eq!(history.update(&one, &site()).gone, []);
}

#[test]
fn endpoints_leave_by_name_or_address() {
    let mut history = VmHistory::default();
    let vms: Vms = [
        ("cut-1".to_owned(), vm("10.9.9.9", State::Leaving)),
        ("host-7".to_owned(), vm("10.0.0.2", State::Leaving)),
    ]
    .into();
    let mut leaving = history.update(&vms, &site()).leaving;
    leaving.sort();
    let mut expected = [EndpointId::of("cut-1"), EndpointId::of("cut-2")];
    expected.sort();
    assert_eq!(leaving, expected);
}
