//! Entries, executors and task needs of a simulated site.

use super::Plan;
use runs::Executor;
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation, ServiceId},
    unit::{Cores, Memory, Resources, Slots},
};

/// Returns the service that all executors run.
pub fn service() -> ServiceId {
    ServiceId::of("service")
}

/// Returns the needs of each task of a generated job.
pub(super) fn needs() -> Resources {
    Resources {
        slots: Slots(1),
        cores: Cores(27_000),
        memory: Memory(64 << 20),
        ..Default::default()
    }
}

/// Returns the capacity of an executor.
pub(super) fn capacity(plan: &Plan, index: usize) -> Resources {
    let cores = plan.cores.get(index % plan.cores.len().max(1)).copied().unwrap_or_default();
    Resources {
        slots: Slots(8),
        cores: Cores(cores),
        memory: Memory(256 << 30),
        ..Default::default()
    }
}

/// Returns the home that identifies an entry's process.
pub(super) fn home(plan: &Plan, index: usize, incarnation: u64) -> Home {
    Home {
        data_centre: DataCentreId(plan.data_centre_of_entry(index) as u64),
        entry: EntryId::of(&format!("entry-{index}")),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns an executor; each incarnation has a name of its own.
pub(super) fn executor(plan: &Plan, index: usize, incarnation: u32) -> Executor {
    let name = format!("i-{index}-{incarnation}");
    Executor {
        id: EndpointId::of(&name),
        name: name.into(),
        incarnation: None,
        address: ([127, 0, 0, 1], index as u16 + 1).into(),
        data_centre: DataCentreId(plan.data_centre_of_executor(index) as u64),
        service: service(),
        capacity: capacity(plan, index),
        kind: plan.machine(index).map(|machine| machine.kind.clone()),
        labels: Vec::new(),
        leaving: false,
    }
}
