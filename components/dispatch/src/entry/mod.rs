//! The whole decision logic of one entry behind one type, [`Entry`].

mod answer;
mod drain;
mod forwarded;
mod handovers;
mod keyed;
mod members;
mod pools;
mod roles;
mod route;
mod submit;
mod timer;
mod view;

pub use view::{Overview, PeerView, PoolView};

use crate::{Action, Event, Message, index::Index};
use ledger::{Table, Waiter};
use membership::View;
use parking_lot::{Mutex, RwLock};
use site::{
    Site,
    id::{Home, RackId, SubmissionId, Token},
    unit::{Revision, Span, Time},
};
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
};

/// Number of shards of the submission table.
const SHARD_COUNT: usize = 16;

/// Length of an epoch of submission identifiers.
pub const EPOCH: Span = Span::from_secs(15);

/// Number of epochs, including the current one, whose identifiers are accepted and remembered.
pub const EPOCHS: u32 = 8;

/// Default of [`Options::slots_per_lead`]: one lead entry is appointed per this many slots.
pub const DEFAULT_SLOTS_PER_LEAD: u32 = 2_000;

/// Minimum time without an event after which this process is assumed to have been paused. Shorter
/// than the time after which other entries consider it unreachable.
const PAUSE_THRESHOLD: Span = Span::from_millis(1_400);

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Identity of this process.
    pub home: Home,
    /// Rack of this entry's VM.
    pub rack: RackId,
    /// Seed of all random choices.
    pub seed: u64,
    /// Initial settings.
    pub site: Arc<Site>,
    /// Revision of the initial settings.
    pub revision: Revision,
    /// Timeouts and intervals of membership.
    pub membership: membership::Options,
    /// Maximum total size, in bytes, of the answers that are kept after delivery.
    pub answer_bytes: usize,
    /// Capacity, in slots, for each lead entry. Must be the same at all entries.
    pub slots_per_lead: u32,
}

/// The whole decision logic of one entry.
///
/// Locks are taken one at a time, except for the one that serialises changes of members and
/// settings: pools are locked in turn while it is held.
pub struct Entry {
    home: Home,
    seed: u64,
    slots_per_lead: u32,
    index: RwLock<Arc<Index>>,
    /// Submission table, sharded by the unique part of the identifier.
    shards: Box<[Mutex<Table>]>,
    pools: RwLock<pools::Pools>,
    members: Mutex<View>,
    roles: RwLock<roles::Roles>,
    forwarded: Mutex<forwarded::ForwardedRequests>,
    claims: Mutex<keyed::Claims>,
    handovers: Mutex<handovers::Handovers>,
    draining: AtomicBool,
    /// Held while members or settings are applied to the pools, so that the latest ones win.
    reconfiguring: Mutex<()>,
    /// Number of calls of [`Entry::handle`] in progress.
    active_calls: AtomicUsize,
    /// Time of the latest event.
    last_event: AtomicU64,
    /// Time of the event that revealed the latest pause of this process; zero if there was none.
    last_pause: AtomicU64,
    /// Number of the next job.
    next_job_number: AtomicU64,
    epoch: AtomicU32,
    /// Time of the next tick. It may be earlier than necessary, never later.
    next_tick: AtomicU64,
}

impl Entry {
    /// Returns an entry without submissions.
    pub fn new(options: Options) -> Entry {
        let (site, revision) = (options.site, options.revision);
        let index =
            Index::new(site.clone(), revision, options.home.data_centre, options.slots_per_lead);
        let table = || Mutex::new(Table::new(options.answer_bytes / SHARD_COUNT));
        let entry = Entry {
            home: options.home,
            seed: options.seed,
            slots_per_lead: options.slots_per_lead,
            index: RwLock::new(Arc::new(index)),
            shards: std::iter::repeat_with(table).take(SHARD_COUNT).collect(),
            pools: RwLock::default(),
            members: Mutex::new(View::new(options.home, options.membership)),
            roles: RwLock::default(),
            forwarded: Mutex::default(),
            claims: Mutex::default(),
            handovers: Mutex::default(),
            draining: AtomicBool::new(false),
            reconfiguring: Mutex::default(),
            active_calls: AtomicUsize::new(0),
            last_event: AtomicU64::new(0),
            last_pause: AtomicU64::new(0),
            next_job_number: AtomicU64::new(1),
            epoch: AtomicU32::new(0),
            next_tick: AtomicU64::new(0),
        };
        entry.configure(Time(0), revision, site, &mut Vec::new());
        entry
    }

    /// Identity of this process.
    pub fn home(&self) -> Home {
        self.home
    }

    /// Returns the token of this process itself.
    pub fn own_token(&self) -> Token {
        Token { home: self.home, epoch: self.epoch.load(Ordering::Relaxed) }
    }

    /// Returns the settings in force.
    pub fn site(&self) -> Arc<Site> {
        self.index.read().site.clone()
    }

    /// Returns the revision of the settings in force.
    pub fn revision(&self) -> Revision {
        self.index.read().revision
    }

    /// Returns whether the entry is draining and admits nothing more.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Handles `event` and appends the resulting actions to `out`, in order.
    pub fn handle(&self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.active_calls.fetch_add(1, Ordering::SeqCst);
        self.detect_pause(now);
        self.dispatch(now, event, out);
        self.active_calls.fetch_sub(1, Ordering::SeqCst);
    }

    /// Detects a pause of the process. Ticks are sent at least every second, so a longer gap
    /// between events means that the process did not run.
    fn detect_pause(&self, now: Time) {
        let before = Time(self.last_event.fetch_max(now.0, Ordering::Relaxed));
        if before > Time(0) && now.since(before) > PAUSE_THRESHOLD {
            self.last_pause.fetch_max(now.0, Ordering::Relaxed);
        }
    }

    /// Returns whether the process was paused within the time for which submissions are remembered.
    fn was_paused(&self) -> bool {
        let paused_at = Time(self.last_pause.load(Ordering::Relaxed));
        let now = Time(self.last_event.load(Ordering::Relaxed));
        paused_at > Time(0) && now.since(paused_at) <= Span(EPOCH.0 * u64::from(EPOCHS))
    }

    fn dispatch(&self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit { waiter, submission } => {
                self.submit(now, Waiter::Caller(waiter), submission, out);
            }
            Event::SubmitKeyed { waiter, key, first, submission } => {
                self.submit_keyed(now, waiter, key, first, submission, out);
            }
            Event::Fetch { waiter, id, firm, deadline } => {
                self.fetch(now, Waiter::Caller(waiter), id, firm, deadline, out);
            }
            Event::Query { waiter, id, firm } => {
                self.query(now, Waiter::Caller(waiter), id, firm, out);
            }
            Event::Cancel { waiter, id, firm } => {
                self.cancel(now, Waiter::Caller(waiter), id, firm, out);
            }
            Event::Abandon { waiter, id } => self.abandon(waiter, id),
            Event::Report(report) => self.report(now, report, out),
            Event::Usage { attempt, measured } => self.measure(attempt, measured),
            Event::Message { from, message } => self.receive(now, from, message, out),
            Event::PeerUp { peer } => self.peer_up(now, peer, out),
            Event::PeerDown { peer } => self.peer_down(now, peer, out),
            Event::Claimed { waiter, result } => self.claimed(now, waiter, result, out),
            Event::Settings { revision, site } => self.configure(now, revision, site, out),
            Event::Registry { entries } => self.registry(now, &entries, out),
            Event::Machines { gone, leaving } => self.machines(now, &gone, &leaving, out),
            Event::Drain => self.drain(now, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn receive(&self, now: Time, from: Home, message: Message, out: &mut Vec<Action>) {
        self.record_contact(now, from, &message, out);
        match message {
            Message::Submit { request, submission } => {
                self.submit(now, Waiter::Peer { home: from, request }, submission, out);
            }
            Message::Fetch { request, id, firm, deadline } => {
                self.fetch(now, Waiter::Peer { home: from, request }, id, firm, deadline, out);
            }
            Message::Cancel { request, id, firm } => {
                self.cancel(now, Waiter::Peer { home: from, request }, id, firm, out);
            }
            Message::Query { request, id, firm } => {
                self.query(now, Waiter::Peer { home: from, request }, id, firm, out);
            }
            Message::Progress { request, status } => self.receive_progress(request, status, out),
            Message::Answered { request, answer } => self.receive_answer(now, request, answer, out),
            Message::CapacityRequest(_)
            | Message::Lend(_)
            | Message::Return(_)
            | Message::InUse(_)
            | Message::Usage(_) => self.handle_capacity_message(now, from, message, out),
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(from, &heartbeat, out),
            Message::Handover(part) => self.receive_handover(now, from, part, out),
            Message::HandoverStored { home, part } => self.part_stored(now, from, home, part, out),
            Message::Moved { home, successor } => self.table_moved(now, home, successor, out),
            // Settings are sent as files, which the process around this logic reads and checks.
            Message::SettingsWanted { .. } | Message::Settings { .. } => {}
        }
    }

    fn index(&self) -> Arc<Index> {
        self.index.read().clone()
    }

    fn shard(&self, id: SubmissionId) -> &Mutex<Table> {
        let (high, low) = id.unique.as_u64_pair();
        &self.shards[((high ^ low) as usize) % SHARD_COUNT]
    }

    /// Schedules an [`Event::Tick`] at `time` or earlier.
    fn schedule_tick(&self, time: Time) {
        self.next_tick.fetch_min(time.0, Ordering::Relaxed);
    }

    /// Returns when [`Event::Tick`] is due next; [`Time::NEVER`] when nothing is scheduled.
    pub fn next_timer(&self) -> Time {
        Time(self.next_tick.load(Ordering::Relaxed))
    }
}
