//! Generates random steps, with numbers of any size.

use super::{
    deployment::{Deployment, FIRMS, SERVICES},
    step::{End, Flood, Step},
};
use crate::{Random, bytes::number};
use dispatch::{
    Message,
    action::Status,
    message::{
        CapacityRequest, Demand, Grant, Handover, Heartbeat, HomeTable, Lend, Record,
        ServiceGrants, Settings, Usage,
    },
};
use rand::{Rng, seq::IndexedRandom};
use site::{
    id::{CrewId, EndpointId, EntryId, FirmId, Home, ServiceId, SubmissionId, Token},
    submission::{Answer, Failure, Kind, Outcome, Output, Reason, Submission, Task},
    unit::{Accelerators, Cores, Memory, Resources, Revision, Slots, Span},
};
use std::sync::Arc;
use uuid::Uuid;

/// Number of messages of a flood.
const FLOOD_MESSAGES: u16 = 20_000;

/// Number of tasks that exceeds the limit of a submission by one.
const TOO_MANY_TASKS: usize = 781;

/// Returns a list of steps: four connections, sometimes a list of the registry, up to 39 random
/// steps and rarely a flood.
pub(super) fn steps(deployment: &Deployment, rng: &mut Random) -> Vec<Step> {
    let mut generator = Generator { deployment, rng };
    let mut steps: Vec<Step> = (0..4).map(|n| Step::Up(deployment.homes[n])).collect();
    if generator.one_in(2) {
        steps.push(Step::Registry(deployment.homes[..4].to_vec()));
    }
    for _ in 0..generator.rng.random_range(1..40) {
        steps.push(generator.step());
    }
    if generator.one_in(1_000) {
        steps.push(generator.flood());
    }
    steps
}

struct Generator<'m> {
    deployment: &'m Deployment,
    rng: &'m mut Random,
}

impl Generator<'_> {
    fn one_in(&mut self, count: u32) -> bool {
        self.rng.random_ratio(1, count)
    }

    fn pick<T: Copy>(&mut self, list: &[T]) -> T {
        *list.choose(self.rng).expect("no list is empty")
    }

    fn number(&mut self) -> u64 {
        number(self.rng)
    }

    /// Returns a number of any size, capped at the maximum of its type.
    fn narrow_number(&mut self) -> u32 {
        u32::try_from(self.number()).unwrap_or(u32::MAX)
    }

    fn several<T>(&mut self, make: fn(&mut Self) -> T) -> Vec<T> {
        let count = self.rng.random_range(0..4);
        (0..count).map(|_| make(self)).collect()
    }

    fn step(&mut self) -> Step {
        const ENDS: [End; 5] = [End::Done, End::Failed, End::NotSent, End::Lost, End::TimedOut];
        match self.rng.random_range(0..40) {
            0 => Step::Up(self.home()),
            1 => Step::Down(self.home()),
            2 => Step::Registry(self.several(Self::home)),
            3 if self.one_in(8) => Step::Drain,
            3..=7 => Step::Wait(Span(self.rng.random_range(0..400_000))),
            8 => Step::Wait(Span(self.rng.random_range(0..20_000_000))),
            9..=13 => Step::Finish(self.pick(&ENDS)),
            14..=17 => Step::Submit(Arc::new(self.submission())),
            _ => Step::Say { from: self.home(), message: self.message() },
        }
    }

    fn flood(&mut self) -> Step {
        const KINDS: [Flood; 9] = [
            Flood::Moved,
            Flood::Adopted,
            Flood::Tables,
            Flood::Records,
            Flood::Submit,
            Flood::Wants,
            Flood::Lends,
            Flood::Holdings,
            Flood::Usage,
        ];
        let from = self.deployment.homes[self.rng.random_range(0..4)];
        Step::Flood { from, kind: self.pick(&KINDS), count: FLOOD_MESSAGES }
    }

    fn home(&mut self) -> Home {
        match self.one_in(20) {
            true => Home { entry: EntryId(self.number()), ..self.deployment.homes[0] },
            false if self.one_in(4) => self.pick(&self.deployment.homes),
            false => self.pick(&self.deployment.homes[..4]),
        }
    }

    fn message(&mut self) -> Message {
        let (request, id, firm) = (self.number(), self.id(), self.firm());
        match self.rng.random_range(0..20) {
            0 | 1 => Message::Submit { request, submission: Arc::new(self.submission()) },
            2 => Message::Fetch { request, id, firm, deadline: self.span() },
            3 => Message::Cancel { request, id, firm },
            4 => Message::Query { request, id, firm },
            5 => Message::Progress { request: self.request_number(), status: self.status() },
            6 => Message::Answered {
                request: self.request_number(),
                answer: Arc::new(self.answer()),
            },
            7..=9 => Message::CapacityRequest(self.capacity_request()),
            10 | 11 => Message::Lend(Lend { service: self.pool(), grants: self.grants() }),
            12 => Message::Return(self.service_grants()),
            13 => Message::InUse(self.service_grants()),
            14 => Message::Usage(self.usage()),
            15 => Message::Heartbeat(self.heartbeat()),
            16 => Message::Handover(self.handover()),
            17 => Message::HandoverStored { home: self.home(), part: self.narrow_number() },
            18 => Message::Moved { home: self.home(), successor: self.home() },
            _ if self.one_in(2) => Message::SettingsWanted { have: Revision(self.number()) },
            _ => {
                let files = vec![("a.json".to_owned(), b"{".to_vec())];
                let revision = Revision(self.number());
                Message::Settings(Settings { revision, files, ..Settings::default() })
            }
        }
    }

    /// Returns the number of a request, often a small one: an entry numbers its requests from 1.
    fn request_number(&mut self) -> u64 {
        if self.one_in(3) { self.number() } else { self.rng.random_range(0..6) }
    }

    fn id(&mut self) -> SubmissionId {
        let home = if self.one_in(2) { self.deployment.own } else { self.home() };
        let epoch = if self.one_in(6) { self.narrow_number() } else { 0 };
        let unique = Uuid::from_u128(self.rng.random_range(0..40));
        SubmissionId { token: Token { home, epoch }, unique }
    }

    fn firm(&mut self) -> FirmId {
        if self.one_in(10) { FirmId(self.number()) } else { FirmId::of(self.pick(&FIRMS)) }
    }

    fn service(&mut self) -> ServiceId {
        match self.one_in(6) {
            true => ServiceId(self.number()),
            false => ServiceId::of(self.pick(&SERVICES)),
        }
    }

    /// Returns the service of a pool. The default stands for the pool of all workers.
    fn pool(&mut self) -> ServiceId {
        if self.one_in(4) { ServiceId::default() } else { self.service() }
    }

    fn span(&mut self) -> Span {
        match self.one_in(3) {
            true => Span(self.number()),
            false => Span(self.rng.random_range(0..5_000_000)),
        }
    }

    fn resources(&mut self) -> Resources {
        if self.one_in(2) {
            return Resources::SLOT;
        }
        Resources {
            slots: Slots(self.narrow_number()),
            cores: Cores(self.narrow_number()),
            memory: Memory(self.number()),
            accelerators: Accelerators(self.narrow_number() as u16),
        }
    }

    fn task(&mut self) -> Task {
        Task {
            body: vec![7; self.rng.random_range(0..40)].into(),
            content_type: "text/plain".into(),
            needs: if self.one_in(2) { Resources::default() } else { self.resources() },
            run_time: self.span(),
        }
    }

    fn submission(&mut self) -> Submission {
        let count = match self.one_in(30) {
            true => TOO_MANY_TASKS,
            false => self.rng.random_range(0..6),
        };
        let tasks = (0..count).map(|_| self.task()).collect();
        Submission {
            id: self.id(),
            kind: self.pick(&[Kind::Job, Kind::Single]),
            firm: self.firm(),
            crew: CrewId(self.number()),
            service: self.service(),
            repeatable: self.rng.random(),
            deadline: self.span(),
            tasks,
        }
    }

    fn status(&mut self) -> Option<Status> {
        let status = Status { tasks: self.rng.random(), done: self.rng.random(), finished: false };
        self.rng.random::<bool>().then_some(status)
    }

    fn failure(&mut self) -> Failure {
        let outcomes = [Outcome::NotRun, Outcome::MayHaveRun, Outcome::RanAndFailed];
        let reasons = [Reason::Deadline, Reason::Expired, Reason::HomeGone, Reason::Endpoint];
        let retry_after = self.rng.random::<bool>().then_some(Span(u64::MAX));
        Failure { outcome: self.pick(&outcomes), reason: self.pick(&reasons), retry_after }
    }

    fn output(&mut self) -> Output {
        let body = vec![7; self.rng.random_range(0..40)].into();
        Output { status: self.rng.random(), content_type: "text/plain".into(), body }
    }

    fn answer(&mut self) -> Answer {
        match self.one_in(2) {
            true => Answer::Complete(self.several(Self::output)),
            false => Answer::Failed(self.failure()),
        }
    }

    fn demand(&mut self) -> Demand {
        Demand { firm: self.firm(), jobs: self.narrow_number() }
    }

    fn capacity_request(&mut self) -> CapacityRequest {
        CapacityRequest {
            service: self.pool(),
            tasks: self.narrow_number(),
            held: self.narrow_number(),
            needs: self.resources(),
            demand: self.several(Self::demand),
        }
    }

    fn grant(&mut self) -> Grant {
        let ids: Vec<EndpointId> = self.deployment.offers.values().map(|(id, _)| *id).collect();
        let endpoint = match self.one_in(10) {
            true => EndpointId(self.number()),
            false => self.pick(&ids),
        };
        Grant { endpoint, resources: self.resources() }
    }

    /// Returns grants, in one of three calls each of them twice.
    fn grants(&mut self) -> Vec<Grant> {
        let mut grants = self.several(Self::grant);
        if self.one_in(3) {
            grants.extend(grants.clone());
        }
        grants
    }

    fn service_grants(&mut self) -> ServiceGrants {
        ServiceGrants { service: self.pool(), grants: self.grants() }
    }

    fn usage(&mut self) -> Usage {
        Usage { service: self.pool(), firm: self.firm(), running: Slots(self.narrow_number()) }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        Heartbeat {
            revision: Revision(self.number()),
            epoch: self.narrow_number(),
            draining: self.one_in(4),
            adopted: self.several(Self::home),
        }
    }

    fn home_table(&mut self) -> HomeTable {
        HomeTable { home: self.home(), first_epoch: self.narrow_number() }
    }

    fn record(&mut self) -> Record {
        let answer = match self.rng.random() {
            true => Ok(Arc::new(self.answer())),
            false => Err(self.failure()),
        };
        Record { id: self.id(), firm: self.firm(), content: self.number(), answer }
    }

    fn handover(&mut self) -> Handover {
        Handover {
            home: self.home(),
            part: if self.one_in(4) { self.narrow_number() } else { self.rng.random_range(0..3) },
            last: self.rng.random(),
            tables: self.several(Self::home_table),
            records: self.several(Self::record),
        }
    }
}
