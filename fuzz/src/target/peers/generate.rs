//! Steps, with numbers of any size in them.

use super::{
    site::{FIRMS, SERVICES, World},
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

/// Messages of a flood.
const COUNT: u16 = 20_000;

/// One more task than a submission may have.
const TOO_MANY: usize = 781;

/// Up to forty steps.
pub(super) fn steps(world: &World, rng: &mut Random) -> Vec<Step> {
    let mut make = Make { world, rng };
    let mut steps: Vec<Step> = (0..4).map(|n| Step::Up(world.homes[n])).collect();
    if make.one_in(2) {
        steps.push(Step::Registry(world.homes[..4].to_vec()));
    }
    for _ in 0..make.rng.random_range(1..40) {
        steps.push(make.step());
    }
    if make.one_in(1_000) {
        steps.push(make.flood());
    }
    steps
}

struct Make<'m> {
    world: &'m World,
    rng: &'m mut Random,
}

impl Make<'_> {
    fn one_in(&mut self, count: u32) -> bool {
        self.rng.random_ratio(1, count)
    }

    fn pick<T: Copy>(&mut self, list: &[T]) -> T {
        *list.choose(self.rng).expect("no list is empty")
    }

    fn number(&mut self) -> u64 {
        number(self.rng)
    }

    /// A number of any size that fits.
    fn narrow(&mut self) -> u32 {
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
        let from = self.world.homes[self.rng.random_range(0..4)];
        Step::Flood { from, kind: self.pick(&KINDS), count: COUNT }
    }

    fn home(&mut self) -> Home {
        match self.one_in(20) {
            true => Home { entry: EntryId(self.number()), ..self.world.homes[0] },
            false if self.one_in(4) => self.pick(&self.world.homes),
            false => self.pick(&self.world.homes[..4]),
        }
    }

    fn message(&mut self) -> Message {
        let (request, id, firm) = (self.number(), self.id(), self.firm());
        match self.rng.random_range(0..20) {
            0 | 1 => Message::Submit { request, submission: Arc::new(self.submission()) },
            2 => Message::Fetch { request, id, firm, deadline: self.span() },
            3 => Message::Cancel { request, id, firm },
            4 => Message::Query { request, id, firm },
            5 => Message::Progress { request: self.small(), status: self.status() },
            6 => Message::Answered { request: self.small(), answer: Arc::new(self.answer()) },
            7..=9 => Message::CapacityRequest(self.want()),
            10 | 11 => Message::Lend(Lend { service: self.pool(), grants: self.grants() }),
            12 => Message::Return(self.giveback()),
            13 => Message::InUse(self.giveback()),
            14 => Message::Usage(self.usage()),
            15 => Message::Heartbeat(self.heartbeat()),
            16 => Message::Handover(self.handover()),
            17 => Message::HandoverStored { home: self.home(), part: self.narrow() },
            18 => Message::Moved { home: self.home(), successor: self.home() },
            _ if self.one_in(2) => Message::SettingsWanted { have: Revision(self.number()) },
            _ => {
                let files = vec![("a.json".to_owned(), b"{".to_vec())];
                let revision = Revision(self.number());
                Message::Settings(Settings { revision, files, ..Settings::default() })
            }
        }
    }

    /// Requests of an entry count from 1.
    fn small(&mut self) -> u64 {
        if self.one_in(3) { self.number() } else { self.rng.random_range(0..6) }
    }

    fn id(&mut self) -> SubmissionId {
        let home = if self.one_in(2) { self.world.own } else { self.home() };
        let epoch = if self.one_in(6) { self.narrow() } else { 0 };
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

    /// The service of a pool; all workers are one pool.
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
            slots: Slots(self.narrow()),
            cores: Cores(self.narrow()),
            memory: Memory(self.number()),
            accelerators: Accelerators(self.narrow() as u16),
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
            true => TOO_MANY,
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
        Demand { firm: self.firm(), jobs: self.narrow() }
    }

    fn want(&mut self) -> CapacityRequest {
        CapacityRequest {
            service: self.pool(),
            tasks: self.narrow(),
            held: self.narrow(),
            needs: self.resources(),
            demand: self.several(Self::demand),
        }
    }

    fn grant(&mut self) -> Grant {
        let ids: Vec<EndpointId> = self.world.offers.values().map(|(id, _)| *id).collect();
        let endpoint = match self.one_in(10) {
            true => EndpointId(self.number()),
            false => self.pick(&ids),
        };
        Grant { endpoint, resources: self.resources() }
    }

    /// Some of them twice.
    fn grants(&mut self) -> Vec<Grant> {
        let mut grants = self.several(Self::grant);
        if self.one_in(3) {
            grants.extend(grants.clone());
        }
        grants
    }

    fn giveback(&mut self) -> ServiceGrants {
        ServiceGrants { service: self.pool(), grants: self.grants() }
    }

    fn usage(&mut self) -> Usage {
        Usage { service: self.pool(), firm: self.firm(), running: Slots(self.narrow()) }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        Heartbeat {
            revision: Revision(self.number()),
            epoch: self.narrow(),
            draining: self.one_in(4),
            adopted: self.several(Self::home),
        }
    }

    fn tabled(&mut self) -> HomeTable {
        HomeTable { home: self.home(), first_epoch: self.narrow() }
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
            part: if self.one_in(4) { self.narrow() } else { self.rng.random_range(0..3) },
            last: self.rng.random(),
            tables: self.several(Self::tabled),
            records: self.several(Self::record),
        }
    }
}
