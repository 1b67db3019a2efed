//! One entry, one executor and one job, for tests that feed events to a single entry.

use runs::{
    Executor, Job,
    job::Stretch,
    message::{Echo, Sign},
};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation, ServiceId},
    unit::{Cores, Resources, Slots, Span, Time},
};

pub(crate) fn home(name: &str) -> Home {
    Home { data_centre: DataCentreId(1), entry: EntryId::of(name), incarnation: Incarnation(7) }
}

/// An executor with 8 slots and 64 cores.
pub(crate) fn executor() -> Executor {
    Executor {
        id: EndpointId::of("i-1"),
        name: "i-1".into(),
        incarnation: None,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreId(1),
        service: ServiceId::of("service"),
        capacity: Resources { slots: Slots(8), cores: Cores(64_000), ..Resources::default() },
        kind: None,
        labels: Vec::new(),
        leaving: false,
    }
}

/// The resources that a task of [`job`] needs.
pub(crate) fn needs() -> Resources {
    Resources { slots: Slots(1), cores: Cores(1_000), ..Resources::default() }
}

/// A job of one task with an estimate of 900 ms.
pub(crate) fn job(now: Time) -> Job {
    Job {
        name: "00000000000000aa".into(),
        request: "".into(),
        spec: "x".into(),
        tasks: 1,
        needs: needs(),
        label: None,
        per_executor: None,
        estimate: Span::from_millis(900),
        service: ServiceId::of("service"),
        priority: 0,
        max_failures: 4,
        due: now + Span::from_secs(3),
        give_up: now + Span::from_secs(9),
        first_run: 1,
        stretch: Stretch::default(),
        route: None,
    }
}

/// A sign of life that was sent just now by a peer whose clock shows the same time.
pub(crate) fn sign(now: Time) -> Sign {
    Sign { alive: now, echo: Some(Echo { alive: now, handled: now }) }
}
