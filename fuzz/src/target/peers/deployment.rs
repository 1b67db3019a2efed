//! A small site with an entry and its peers.

use dispatch::entry::Options;
use settings::parse;
use site::{
    Site,
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation, RackId},
    unit::{Resources, Revision},
};
use std::{collections::BTreeMap, sync::Arc};

const SETTINGS: &str = r#"{
  "policy": { "prefer": "response-time" },
  "data-centres": {
    "near": { "region": "r" }, "next": { "region": "r" }, "far": { "region": "s" }
  },
  "links": {
    "a": { "between": ["near", "next"], "latency": "400us" },
    "b": { "between": ["near", "far"], "latency": "40ms" },
    "c": { "between": ["next", "far"], "latency": "40ms" }
  },
  "services": {
    "cut": { "place": "executors", "repeatable": true, "deadline": "5s", "slots": 2,
      "connections": 64, "run-time": "50ms", "body-limit": "1KiB" },
    "lay": { "place": "workers", "deadline": "60s", "run-time": "1s",
      "needs": { "cores": "1", "memory": "1GiB" } }
  },
  "executors": {
    "near-{1..2}": { "data-centre": "near", "address": "127.0.0.1:21001+", "service": "cut" },
    "next-{1..2}": { "data-centre": "next", "address": "127.0.0.1:21101+", "service": "cut" },
    "far-{1..2}": { "data-centre": "far", "address": "127.0.0.1:21201+", "service": "cut" }
  },
  "workers": {
    "near-w{1..2}": { "data-centre": "near", "rack": "r1", "address": "127.0.0.1:22001+",
      "cores": "4", "memory": "8GiB" }
  },
  "firms": {
    "kovacik": { "weight": 1, "key-digests": {
      "k": "b24bfd3be76fa696639ff09c6336636fe6caf50f0d0edd485c55e87196d27c1c" } },
    "intake": { "weight": 2, "key-digests": {
      "k": "c24bfd3be76fa696639ff09c6336636fe6caf50f0d0edd485c55e87196d27c1c" } }
  },
  "contracts": {
    "kc": { "firm": "kovacik", "service": "cut" },
    "kl": { "firm": "kovacik", "service": "lay" },
    "ic": { "firm": "intake", "service": "cut", "quota": 3 }
  }
}"#;

/// Names of the firms.
pub(super) const FIRMS: [&str; 2] = ["kovacik", "intake"];
/// Names of the services.
pub(super) const SERVICES: [&str; 2] = ["cut", "lay"];

/// The site, the entry under test and its peers.
#[derive(Debug)]
pub(super) struct Deployment {
    pub(super) site: Arc<Site>,
    pub(super) own: Home,
    /// Four valid peers, followed by homes that can't be peers.
    pub(super) homes: Vec<Home>,
    /// Id and resources of each endpoint, by name.
    pub(super) offers: BTreeMap<String, (EndpointId, Resources)>,
}

fn home(data_centre: &str, entry: u64, incarnation: u64) -> Home {
    Home {
        data_centre: DataCentreId::of(data_centre),
        entry: EntryId(entry),
        incarnation: Incarnation(incarnation),
    }
}

impl Default for Deployment {
    fn default() -> Deployment {
        let files = [("all.json".into(), SETTINGS.into())].into();
        let site = parse(&files).expect("the site's settings are valid").site;
        let slots = |executor: &site::Executor| {
            let service = site.services.values().find(|service| service.name == executor.service);
            executor.slots.or(service.map(|service| service.slots)).unwrap_or_default()
        };
        let executors = site.executors.iter().map(|(id, executor)| {
            let offer = Resources { slots: slots(executor), ..Resources::default() };
            (executor.name.to_string(), (*id, offer))
        });
        let workers = site.workers.iter().map(|(id, worker)| {
            let offer = Resources {
                cores: worker.cores,
                memory: worker.memory,
                accelerators: worker.accelerators,
                ..Resources::default()
            };
            (worker.name.to_string(), (*id, offer))
        });
        let offers = executors.chain(workers).collect();
        let own = home("near", 1, 10);
        let homes = vec![
            home("near", 2, 20),
            home("near", 3, 30),
            home("next", 4, 40),
            home("far", 5, 50),
            home("nowhere", 6, 60),
            home("near", 1, 11),
            own,
            home("near", u64::MAX, u64::MAX),
        ];
        Deployment { site: Arc::new(site), own, homes, offers }
    }
}

impl Deployment {
    /// Returns the options of the entry under test.
    pub(super) fn options(&self) -> Options {
        Options {
            home: self.own,
            rack: RackId::default(),
            seed: 1,
            site: self.site.clone(),
            revision: Revision(1),
            membership: membership::Options::default(),
            answer_bytes: 1 << 20,
            slots_per_lead: 4,
        }
    }
}
