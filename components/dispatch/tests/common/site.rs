//! A small site and the submissions of its firms.

use bytes::Bytes;
use site::{
    Contract, DataCentre, Executor, Firm, Link, Service, Site,
    id::{CrewId, DataCentreId, EndpointId, FirmId, ServiceId, SubmissionId, Token},
    submission::{Kind, Submission, Task},
    unit::{Resources, Slots, Span, Weight},
};
use std::sync::Arc;
use uuid::Uuid;

pub const SERVICE: &str = "cutout";
pub const FIRMS: [&str; 2] = ["kitchens", "hotels"];
pub const RUN_TIME: Span = Span::from_millis(50);

/// Parameters of a site.
#[derive(Clone, Debug)]
pub struct Shape {
    pub data_centres: usize,
    pub executors: usize,
    pub slots: u32,
    pub quota: Option<u32>,
    /// Numbers of executors that the settings mark as leaving.
    pub leaving: Vec<usize>,
    /// Numbers of executors that the settings omit.
    pub absent: Vec<usize>,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            data_centres: 1,
            executors: 2,
            slots: 2,
            quota: None,
            leaving: Vec::new(),
            absent: Vec::new(),
        }
    }
}

impl Shape {
    pub fn build(&self) -> Arc<Site> {
        let mut site = Site::default();
        for number in 0..self.data_centres {
            let name = data_centre(number);
            site.data_centres.insert(
                DataCentreId::of(&name),
                DataCentre { name: name.into(), region: "r".into() },
            );
            for other in 0..number {
                let between = [data_centre(other).into(), data_centre(number).into()];
                site.links.push(Link { between, latency: Span(1_400) });
            }
        }
        let service: Service = Service {
            name: SERVICE.into(),
            place: site::service::Place::Executors,
            repeatable: true,
            deadline: Span::from_secs(5),
            slots: Slots(self.slots),
            connections: 64,
            run_time: RUN_TIME,
            needs: Resources::default(),
            body_limit: site::unit::Memory(1 << 10),
        };
        site.services.insert(ServiceId::of(SERVICE), service);
        for number in (0..self.executors).filter(|number| !self.absent.contains(number)) {
            let executor = Executor {
                name: executor_name(number).into(),
                data_centre: data_centre(number % self.data_centres).into(),
                address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
                service: SERVICE.into(),
                slots: None,
                leaving: self.leaving.contains(&number),
            };
            site.executors.insert(executor_id(number), executor);
        }
        for name in FIRMS {
            let firm = Firm {
                name: name.into(),
                weight: Weight(1),
                key_digests: Vec::new(),
                crews: Vec::new(),
            };
            site.firms.insert(FirmId::of(name), firm);
            let quota = self.quota.map(Slots);
            site.contracts.push(Contract { firm: name.into(), service: SERVICE.into(), quota });
        }
        Arc::new(site)
    }
}

pub fn data_centre(number: usize) -> String {
    format!("dc{number}")
}

pub fn executor_name(number: usize) -> String {
    format!("x{number}")
}

pub fn executor_id(number: usize) -> EndpointId {
    EndpointId::of(&executor_name(number))
}

pub fn firm(number: usize) -> FirmId {
    FirmId::of(FIRMS[number])
}

/// A request of a caller. Each body contains the request's name and the task's index, so no two are
/// equal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Work {
    pub name: String,
    pub firm: usize,
    pub kind: Kind,
    pub repeatable: bool,
    pub tasks: u16,
    pub deadline: Span,
}

impl Work {
    pub fn job(name: &str, tasks: u16) -> Work {
        Work {
            name: name.into(),
            firm: 0,
            kind: Kind::Job,
            repeatable: false,
            tasks,
            deadline: Span::from_secs(5),
        }
    }

    pub fn single(name: &str, repeatable: bool) -> Work {
        Work { kind: Kind::Single, repeatable, ..Work::job(name, 1) }
    }

    pub fn of(mut self, firm: usize) -> Work {
        self.firm = firm;
        self
    }

    pub fn within(mut self, deadline: Span) -> Work {
        self.deadline = deadline;
        self
    }

    pub fn body(&self, index: u16) -> String {
        format!("{}/{}/{index}", FIRMS[self.firm], self.name)
    }

    pub fn submission(&self, id: SubmissionId) -> Arc<Submission> {
        let task = |index| Task {
            body: Bytes::from(self.body(index)),
            content_type: "text/plain".into(),
            needs: Resources::default(),
            run_time: Span::ZERO,
        };
        Arc::new(Submission {
            id,
            kind: self.kind,
            firm: firm(self.firm),
            crew: CrewId::default(),
            service: ServiceId::of(SERVICE),
            repeatable: self.repeatable,
            deadline: self.deadline,
            tasks: (0..self.tasks).map(task).collect(),
        })
    }
}

/// Returns the identifier numbered `unique` under a token.
pub fn id(token: Token, unique: u64) -> SubmissionId {
    SubmissionId { token, unique: Uuid::from_u64_pair(unique, !unique) }
}
