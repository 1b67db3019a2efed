//! Plays steps to one entry and checks it after each.

use super::{
    site::World,
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

/// Ticks in which time must move on.
const TICKS: usize = 20_000;

/// Most actions that follow from one event.
const ACTIONS: usize = 5_000;

/// Time after which everything that peers said is forgotten.
const LONG: Span = Span::from_secs(800);

/// Heap that an entry may keep after a second flood and that time, beside what it kept after the
/// first.
const KEPT: usize = 256 << 10;

/// One entry and what it was told.
pub(super) struct Play<'w> {
    world: &'w World,
    entry: Entry,
    now: Time,
    started: VecDeque<Start>,
    granted: BTreeMap<EndpointId, Resources>,
    waiter: u64,
    exited: bool,
    /// The last flood.
    flooded: Option<(Home, Flood, u16)>,
    /// Homes made up so far.
    fresh: u64,
}

impl<'w> Play<'w> {
    pub(super) fn new(world: &'w World) -> Play<'w> {
        let entry = Entry::new(world.options());
        let (started, granted) = (VecDeque::new(), BTreeMap::new());
        let now = Time(1_000_000);
        Play {
            world,
            entry,
            now,
            started,
            granted,
            waiter: 0,
            exited: false,
            flooded: None,
            fresh: 0,
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
        self.wait(LONG)?;
        let first = heap::used();
        self.flood(from, kind, count)?;
        self.wait(LONG)?;
        let bytes = heap::used().saturating_sub(first);
        match bytes > KEPT {
            true => Err(Finding::Kept { what: format!("{kind:?}"), bytes, bound: KEPT }),
            false => Ok("went on after a flood"),
        }
    }

    fn flood(&mut self, from: Home, kind: Flood, count: u16) -> Result<(), Finding> {
        self.flooded = Some((from, kind, count));
        for _ in 0..count {
            self.fresh += 1;
            self.say(from, flood(kind, from, self.fresh))?;
        }
        Ok(())
    }

    fn step(&mut self, step: Step) -> Result<(), Finding> {
        match step {
            Step::Say { from, message } => self.say(from, message),
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

    fn say(&mut self, from: Home, message: Message) -> Result<(), Finding> {
        if let Message::Lend(lend) = &message {
            let known = |grant: &&Grant| self.world.offers.values().any(|o| o.0 == grant.endpoint);
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
        for _ in 0..TICKS {
            let due = self.entry.next_timer();
            if due > until || self.exited {
                self.now = until;
                return Ok(());
            }
            self.now = self.now.max(due);
            self.tick()?;
        }
        Err(Finding::Steps { what: "ticks follow each other without time between", bound: TICKS })
    }

    fn handle(&mut self, event: Event) -> Result<(), Finding> {
        let mut actions = Vec::new();
        self.entry.handle(self.now, event, &mut actions);
        if actions.len() > ACTIONS {
            return Err(Finding::Steps { what: "an event has too many actions", bound: ACTIONS });
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

    /// The entry uses no more of an endpoint than it offers and was granted.
    fn check(&self) -> Result<(), Finding> {
        let property = "no more of an endpoint is used than it offers and was granted";
        for view in self.entry.overview().pools.iter().flat_map(|pool| &pool.endpoints) {
            let Some((id, offer)) = self.world.offers.get(view.name.as_str()) else {
                let detail = format!("an endpoint of no name: {view:?}");
                return Err(Finding::Broken { property, detail });
            };
            let granted = self.granted.get(id).copied().unwrap_or_default();
            let most = offer.plus(&granted);
            let used = view.in_use.plus(&view.free);
            let started = self.started.iter().filter(|start| start.endpoint == *id).count();
            let executor = offer.slots > Slots(0);
            let over = executor && (used.slots > most.slots || started > most.slots.0 as usize);
            if over || used.cores > most.cores || used.memory > most.memory {
                let detail =
                    format!("{view:?}, {started} started, offers {offer:?} and {granted:?}");
                return Err(Finding::Broken { property, detail });
            }
        }
        Ok(())
    }
}

/// A home that was never seen before.
fn fresh(number: u64) -> Home {
    Home {
        data_centre: DataCentreId::of("near"),
        entry: EntryId(1_000_000 + number),
        incarnation: Incarnation(number),
    }
}

fn flood(kind: Flood, from: Home, number: u64) -> Message {
    let home = fresh(number);
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
