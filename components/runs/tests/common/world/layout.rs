//! The entries, executors and needs of a site.

use runs::Executor;
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation, ServiceId},
    unit::{Cores, Memory, Resources, Slots},
};

pub(crate) fn service() -> ServiceId {
    ServiceId::of("service")
}

pub(crate) fn needs() -> Resources {
    Resources {
        slots: Slots(1),
        cores: Cores(27_000),
        memory: Memory(64 << 20),
        ..Default::default()
    }
}

pub(super) fn capacity(index: usize) -> Resources {
    let cores = if index % 3 == 2 { 96_000 } else { 64_000 };
    Resources {
        slots: Slots(8),
        cores: Cores(cores),
        memory: Memory(256 << 30),
        ..Default::default()
    }
}

pub(super) fn home(index: usize, data_centres: usize, incarnation: u64) -> Home {
    Home {
        data_centre: DataCentreId((index % data_centres) as u64),
        entry: EntryId::of(&format!("entry-{index}")),
        incarnation: Incarnation(incarnation),
    }
}

pub(super) fn executor(index: usize, life: u32, data_centres: usize) -> Executor {
    let name = format!("i-{index}-{life}");
    Executor {
        id: EndpointId::of(&name),
        name: name.into(),
        address: ([127, 0, 0, 1], index as u16 + 1).into(),
        data_centre: DataCentreId((index % data_centres) as u64),
        service: service(),
        capacity: capacity(index),
        labels: Vec::new(),
        leaving: false,
    }
}
