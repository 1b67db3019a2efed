//! When an entry begins to keep executors.

use runs::{Action, Entry, Event, Executor, Options};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation, ServiceId},
    unit::{Cores, Resources, Revision, Slots, Time},
};

fn home(name: &str) -> Home {
    Home { data_centre: DataCentreId(1), entry: EntryId::of(name), incarnation: Incarnation(7) }
}

fn executor() -> Executor {
    Executor {
        id: EndpointId::of("i-1"),
        name: "i-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreId(1),
        service: ServiceId::of("service"),
        capacity: Resources { slots: Slots(8), cores: Cores(64_000), ..Resources::default() },
        labels: Vec::new(),
        leaving: false,
    }
}

/// Ticks for a second; returns the tokens of the looks.
fn looks(entry: &mut Entry, from: u64) -> Vec<u64> {
    let mut out = Vec::new();
    for step in 0..50 {
        entry.handle(Time(from + step * 20_000), Event::Tick, &mut out);
    }
    let look = |action: &Action| match action {
        Action::Look(look) => Some(look.token),
        _ => None,
    };
    out.iter().filter_map(look).collect()
}

#[test]
fn nothing_is_kept_before_the_store_lists_the_entry() {
    let me = home("entry-1");
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    entry.handle(Time(0), Event::Executors(vec![executor()]), &mut out);
    assert!(looks(&mut entry, 0).is_empty(), "a look without knowing who else there is");
    let others = Event::Members { revision: Revision(40), members: vec![home("entry-2")] };
    entry.handle(Time(1_000_000), others, &mut out);
    assert!(looks(&mut entry, 1_000_000).is_empty(), "a look before anybody counts on it");
    let listed = Event::Members { revision: Revision(41), members: vec![me] };
    entry.handle(Time(2_000_000), listed, &mut out);
    let tokens = looks(&mut entry, 2_000_000);
    assert!(!tokens.is_empty());
    assert!(tokens.iter().all(|token| token >> 24 == 41), "{tokens:?}");
}

#[test]
fn an_entry_that_lapsed_goes_on() {
    let me = home("entry-1");
    let mut entry = Entry::new(me, Options::default(), Time(0));
    let mut out = Vec::new();
    let listed = Event::Members { revision: Revision(41), members: vec![me] };
    entry.handle(Time(0), listed, &mut out);
    let lapsed = Event::Members { revision: Revision(42), members: Vec::new() };
    entry.handle(Time(10_000), lapsed, &mut out);
    entry.handle(Time(20_000), Event::Executors(vec![executor()]), &mut out);
    assert!(!looks(&mut entry, 20_000).is_empty());
}
