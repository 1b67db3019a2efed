//! Applies steps to one entry and checks its state after each.

use super::{
    deployment::Deployment,
    step::{End, Flood, Step},
};
use crate::{Finding, heap};
use dispatch::{
    Action, Entry, Event, Message,
    action::Start,
    event::{Reply, Report},
    message::{
        CapacityRequest, Grant, Handover, Heartbeat, HomeTable, Lend, Record, ServiceGrants, Usage,
    },
};
use site::{
    id::{DataCentreId, EndpointId, EntryId, FirmId, Home, Incarnation, ServiceId, WaiterId},
    submission::{Failure, Outcome, Output, Reason, Submission},
    unit::{Resources, Revision, Slots, Span, Time},
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

/// Limit on the ticks during one wait. An entry whose timers do not advance the time exceeds it.
const MAX_TICKS: usize = 20_000;

/// Limit on the actions that result from one event.
const MAX_ACTIONS: usize = 5_000;

/// Time after which an entry has dropped all state that it received from peers.
const PEER_STATE_EXPIRY: Span = Span::from_secs(800);

/// Limit on the heap that an entry retains after a second flood and [`PEER_STATE_EXPIRY`], beyond
/// what it retained after the first, in bytes.
const RETAINED_HEAP_BOUND: usize = 256 << 10;

/// The entry under test and the effects of the steps so far.
pub(super) struct Simulation<'w> {
    deployment: &'w Deployment,
    entry: Entry,
    now: Time,
    started: VecDeque<Start>,
    granted: BTreeMap<EndpointId, Resources>,
    waiter: u64,
    exited: bool,
    /// The last flood.
    flooded: Option<(Home, Flood, u16)>,
    /// Number of unknown homes used so far.
    unknown_homes: u64,
}

impl<'w> Simulation<'w> {
    pub(super) fn new(deployment: &'w Deployment) -> Simulation<'w> {
        let entry = Entry::new(deployment.options());
        let (started, granted) = (VecDeque::new(), BTreeMap::new());
        let now = Time(1_000_000);
        Simulation {
            deployment,
            entry,
            now,
            started,
            granted,
            waiter: 0,
            exited: false,
            flooded: None,
            unknown_homes: 0,
        }
    }

    pub(super) fn run(mut self, steps: Vec<Step>) -> Result<&'static str, Finding> {
        self.tick()?;
        for step in steps {
            self.step(step)?;
            self.check()?;
            if self.exited {
                return Ok("exited");
            }
        }
        let Some((from, kind, count)) = self.flooded else { return Ok("went on") };
        while let Some(start) = self.started.pop_front() {
            self.report(&start, End::TimedOut)?;
        }
        self.wait(PEER_STATE_EXPIRY)?;
        let after_first = heap::used();
        self.flood(from, kind, count)?;
        self.wait(PEER_STATE_EXPIRY)?;
        let bytes = heap::used().saturating_sub(after_first);
        match bytes > RETAINED_HEAP_BOUND {
            true => {
                Err(Finding::Kept { what: format!("{kind:?}"), bytes, bound: RETAINED_HEAP_BOUND })
            }
            false => Ok("went on after a flood"),
        }
    }

    fn flood(&mut self, from: Home, kind: Flood, count: u16) -> Result<(), Finding> {
        self.flooded = Some((from, kind, count));
        for _ in 0..count {
            self.unknown_homes += 1;
            self.deliver(from, flood_message(kind, from, self.unknown_homes))?;
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), Finding> {
        match step {
            Step::Say { from, message } => self.deliver(from, message),
            Step::Flood { from, kind, count } => self.flood(from, kind, count),
            Step::Up(peer) => self.handle(Event::PeerUp { peer }),
            Step::Down(peer) => self.handle(Event::PeerDown { peer }),
            Step::Wait(span) => self.wait(span),
            Step::Submit(submission) => {
                self.waiter += 1;
                self.handle(Event::Submit { waiter: WaiterId(self.waiter), submission })
            }
            Step::Finish(end) => match self.started.pop_front() {
                Some(start) => self.report(&start, end),
                None => Ok(()),
            },
            Step::Registry(entries) => self.handle(Event::Registry { entries }),
            Step::Drain => self.handle(Event::Drain),
        }
    }

    fn deliver(&mut self, from: Home, message: Message) -> Result<(), Finding> {
        if let Message::Lend(lend) = &message {
            let known =
                |grant: &&Grant| self.deployment.offers.values().any(|o| o.0 == grant.endpoint);
            for grant in lend.grants.iter().filter(known) {
                let granted = self.granted.entry(grant.endpoint).or_default();
                *granted = granted.plus(&grant.resources);
            }
        }
        self.handle(Event::Message { from, message })
    }

    fn report(&mut self, start: &Start, end: End) -> Result<(), Finding> {
        let output =
            |status| Output { status, content_type: "text/plain".into(), body: "output".into() };
        let reply = match end {
            End::Done => Reply::Done(output(200)),
            End::Failed => Reply::Failed(output(500)),
            End::NotSent => Reply::NotSent,
            End::Lost => Reply::Lost,
            End::TimedOut => Reply::TimedOut,
        };
        let (attempt, elapsed) = (start.attempt, Span::from_millis(50));
        self.handle(Event::Report(Report { attempt, reply, leaving: false, elapsed }))
    }

    fn tick(&mut self) -> Result<(), Finding> {
        self.handle(Event::Tick)
    }

    fn wait(&mut self, span: Span) -> Result<(), Finding> {
        let until = self.now + span;
        for _ in 0..MAX_TICKS {
            let deadline = self.entry.next_timer();
            if deadline > until || self.exited {
                self.now = until;
                return Ok(());
            }
            self.now = self.now.max(deadline);
            self.tick()?;
        }
        Err(Finding::Steps { what: "a wait takes too many ticks", bound: MAX_TICKS })
    }

    fn handle(&mut self, event: Event) -> Result<(), Finding> {
        let mut actions = Vec::new();
        self.entry.handle(self.now, event, &mut actions);
        if actions.len() > MAX_ACTIONS {
            return Err(Finding::Steps {
                what: "an event has too many actions",
                bound: MAX_ACTIONS,
            });
        }
        for action in actions {
            match action {
                Action::Start(start) => self.started.push_back(start),
                Action::Exit => self.exited = true,
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks that the entry uses no more of an endpoint than it offers and peers granted of it.
    fn check(&self) -> Result<(), Finding> {
        let property = "no more of an endpoint is used than it offers and was granted";
        for view in self.entry.overview().pools.iter().flat_map(|pool| &pool.endpoints) {
            let Some((id, offer)) = self.deployment.offers.get(view.name.as_str()) else {
                let detail = format!("unknown endpoint name: {view:?}");
                return Err(Finding::Broken { property, detail });
            };
            let granted = self.granted.get(id).copied().unwrap_or_default();
            let limit = offer.plus(&granted);
            let used = view.in_use.plus(&view.free);
            let started = self.started.iter().filter(|start| start.endpoint == *id).count();
            let executor = offer.slots > Slots(0);
            let over_slots =
                executor && (used.slots > limit.slots || started > limit.slots.0 as usize);
            if over_slots || used.cores > limit.cores || used.memory > limit.memory {
                let detail =
                    format!("{view:?}, {started} started, offers {offer:?} and {granted:?}");
                return Err(Finding::Broken { property, detail });
            }
        }
        Ok(())
    }
}

/// Returns a home that the entry does not know.
fn unknown_home(number: u64) -> Home {
    Home {
        data_centre: DataCentreId::of("near"),
        entry: EntryId(1_000_000 + number),
        incarnation: Incarnation(number),
    }
}

fn flood_message(kind: Flood, from: Home, number: u64) -> Message {
    let home = unknown_home(number);
    let id = site::id::SubmissionId {
        token: site::id::Token { home, epoch: number as u32 },
        unique: uuid::Uuid::from_u64_pair(number, !number),
    };
    let firm = FirmId::of("kovacik");
    let handover = |tables, records| {
        Message::Handover(Handover { home: from, part: 0, last: true, tables, records })
    };
    let grants = || vec![Grant { endpoint: EndpointId(number), resources: Resources::SLOT }];
    match kind {
        Flood::Moved => Message::Moved { home, successor: from },
        Flood::Adopted => Message::Heartbeat(Heartbeat {
            revision: Revision(1),
            epoch: number as u32,
            draining: false,
            adopted: vec![home],
        }),
        Flood::Tables => handover(vec![HomeTable { home, first_epoch: 0 }], vec![]),
        Flood::Records => {
            let (outcome, reason) = (Outcome::MayHaveRun, Reason::Endpoint);
            let answer = Err(Failure { outcome, reason, retry_after: None });
            handover(vec![], vec![Record { id, firm, content: number, answer }])
        }
        Flood::Submit => Message::Submit {
            request: number,
            submission: Arc::new(Submission {
                id,
                kind: site::submission::Kind::Single,
                firm,
                crew: Default::default(),
                service: ServiceId::of("cut"),
                repeatable: true,
                deadline: Span::from_millis(1),
                tasks: vec![],
            }),
        },
        Flood::Wants => Message::CapacityRequest(CapacityRequest {
            service: ServiceId::of("cut"),
            tasks: 1,
            held: 0,
            needs: Resources::SLOT,
            demand: vec![dispatch::message::Demand { firm: FirmId(number), jobs: 1 }],
        }),
        Flood::Lends => Message::Lend(Lend { service: ServiceId::of("cut"), grants: grants() }),
        Flood::Holdings => {
            Message::InUse(ServiceGrants { service: ServiceId::of("cut"), grants: grants() })
        }
        Flood::Usage => Message::Usage(Usage {
            service: ServiceId::of("cut"),
            firm: FirmId(number),
            running: Slots(1),
        }),
    }
}
