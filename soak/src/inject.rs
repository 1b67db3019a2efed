//! Carries the steps of a plan out, each beside the others.

use crate::{
    Error, document,
    history::{History, Leaving, Stop},
    plan::{EntryFault, ExecutorFault, Fault, Step, StoreFault},
    proxy::{self, Way},
    site::Site,
};
use ::site::unit::Span;
use smol::{Timer, lock::MutexGuard};
use standin::{kv::Mode, leased::ExecutorState};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Longest time from SIGTERM until a process is killed; the settings say the same.
const GRACE: Duration = Duration::from_secs(6);

/// How often the end of a process is looked for.
const END_POLL: Duration = Duration::from_millis(20);

/// A process that was killed starts again after the time that its fault lasts, at most this.
const DOWN_MOST: Duration = Duration::from_millis(1_000);

/// How long an entry is counted as disturbed after its start.
const START_TIME: Duration = Duration::from_millis(1_000);

/// Longest time that what is slow takes longer by.
const DELAY: Duration = Duration::from_millis(60);

/// How many times as long a slow executor takes.
const DRAG: u64 = 4;

/// Carries steps out on a site.
#[derive(Debug)]
pub struct Injector {
    /// The site.
    pub site: Arc<Site>,
    /// What is seen.
    pub history: Arc<History>,
    /// The newest configuration.
    pub version: AtomicU64,
}

/// Both directions silent.
const CUT: proxy::Mode = proxy::Mode { there: Way::Silent, back: Way::Silent };

/// What is sent is heard, the answer is not.
const ANSWERS_HELD: proxy::Mode = proxy::Mode { there: Way::Open, back: Way::Silent };

/// What is sent is not heard.
const HELD: proxy::Mode = proxy::Mode { there: Way::Silent, back: Way::Open };

/// Everything takes longer.
const SLOW: proxy::Mode = proxy::Mode { there: Way::Slow(DELAY), back: Way::Slow(DELAY) };

impl Injector {
    /// Carries a step out, to its end.
    ///
    /// # Errors
    ///
    /// When a process can't be signalled or started.
    pub async fn inject(&self, step: Step) -> Result<(), Error> {
        let begun = Instant::now();
        self.disturb(step.fault, begun, begun + step.lasts);
        match step.fault {
            Fault::Entry(entry, what) => self.entry(entry, what, step.lasts).await?,
            Fault::Executor(executor, what) => self.executor(executor, what, step.lasts).await,
            Fault::Store(what) => self.whole_store(what, step.lasts).await,
            Fault::Configure => self.configure(),
        }
        // A fault waits for another one that has hold of the same process.
        self.disturb(step.fault, begun, Instant::now());
        Ok(())
    }

    /// Notes when a fault was there that nobody planned.
    fn disturb(&self, fault: Fault, from: Instant, until: Instant) {
        if !fault.is_planned() {
            self.history.note(|record| record.disturbed.push((from, until + START_TIME)));
        }
    }

    async fn entry(&self, entry: usize, what: EntryFault, lasts: Duration) -> Result<(), Error> {
        match what {
            EntryFault::Kill => self.kill(entry, lasts).await?,
            EntryFault::Freeze => self.freeze(entry, lasts).await?,
            EntryFault::Terminate => self.terminate(entry).await?,
            EntryFault::ResetCallers => self.site.nodes[entry].callers.reset(),
            EntryFault::CutPeers => self.peers(entry, CUT, lasts).await,
            EntryFault::DeafenPeers => self.peers(entry, HELD, lasts).await,
            EntryFault::SlowPeers => self.peers(entry, SLOW, lasts).await,
            EntryFault::CutStore => self.store(entry, CUT, lasts).await,
            EntryFault::LoseStoreAnswers => self.store(entry, ANSWERS_HELD, lasts).await,
        }
        Ok(())
    }

    async fn executor(&self, index: usize, what: ExecutorFault, lasts: Duration) {
        let worker = &self.site.workers[index];
        match what {
            ExecutorFault::HoldOrders => self.orders(index, HELD, lasts).await,
            ExecutorFault::HoldAnswers => self.orders(index, ANSWERS_HELD, lasts).await,
            ExecutorFault::ResetOrders => worker.orders.reset(),
            ExecutorFault::Dark => worker.executor.change(|state, now| {
                state.unresponsive_until = now + Span(lasts.as_micros() as u64);
            }),
            ExecutorFault::Fail => {
                self.misbehave(index, lasts, |state, fails| state.fails = fails).await;
            }
            ExecutorFault::Drag => {
                let drag = |state: &mut ExecutorState, drags| {
                    state.duration_factor = if drags { DRAG } else { 1 }
                };
                self.misbehave(index, lasts, drag).await;
            }
            ExecutorFault::Leave => self.leave(index),
        }
    }

    /// Writes the next configuration.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let patience = document::PATIENCE_MS + version;
        self.site.store.put("op/config", &document::config(version, patience));
        self.history.note(|record| record.configured.push((Instant::now(), version)));
    }

    fn leave(&self, executor: usize) {
        self.site.register(executor, true);
        let at = Instant::now();
        self.history.note(|record| record.leaving.push(Leaving { executor, at }));
    }

    async fn kill(&self, entry: usize, lasts: Duration) -> Result<(), Error> {
        let mut process = self.process(entry).await;
        process.kill()?;
        Timer::after(lasts.min(DOWN_MOST)).await;
        Ok(process.restart()?)
    }

    async fn freeze(&self, entry: usize, lasts: Duration) -> Result<(), Error> {
        let process = self.process(entry).await;
        process.pause().await?;
        Timer::after(lasts).await;
        Ok(process.resume()?)
    }

    async fn terminate(&self, entry: usize) -> Result<(), Error> {
        let mut process = self.process(entry).await;
        process.terminate()?;
        let at = Instant::now();
        self.history.note(|record| record.stops.push(Stop { entry, at, gone: None }));
        while process.ended()?.is_none() && at.elapsed() < GRACE {
            Timer::after(END_POLL).await;
        }
        let gone = Some(Instant::now());
        self.history.note(|record| {
            let stop = record.stops.iter_mut().find(|stop| stop.entry == entry && stop.at == at);
            stop.into_iter().for_each(|stop| stop.gone = gone);
        });
        Ok(process.restart()?)
    }

    /// The process of an entry, once no other fault of that kind has hold of it.
    async fn process(&self, entry: usize) -> MutexGuard<'_, crate::entry::Entry> {
        self.site.nodes[entry].entry.lock().await
    }

    async fn peers(&self, entry: usize, mode: proxy::Mode, lasts: Duration) {
        let relay = &self.site.nodes[entry].peers;
        relay.set(mode);
        Timer::after(lasts).await;
        relay.set(proxy::Mode::default());
    }

    async fn store(&self, entry: usize, mode: proxy::Mode, lasts: Duration) {
        let proxy = &self.site.nodes[entry].store;
        proxy.set(mode);
        Timer::after(lasts).await;
        proxy.set(proxy::Mode::default());
    }

    async fn orders(&self, executor: usize, mode: proxy::Mode, lasts: Duration) {
        let proxy = &self.site.workers[executor].orders;
        proxy.set(mode);
        Timer::after(lasts).await;
        proxy.set(proxy::Mode::default());
    }

    async fn whole_store(&self, what: StoreFault, lasts: Duration) {
        let store = &self.site.store;
        let mode = match what {
            StoreFault::Busy => Mode::Busy,
            StoreFault::Silent => Mode::Unresponsive,
            StoreFault::Forget => return store.compact(),
        };
        store.set_mode(mode);
        Timer::after(lasts).await;
        store.set_mode(Mode::Up);
    }

    async fn misbehave(
        &self,
        index: usize,
        lasts: Duration,
        change: impl Fn(&mut ExecutorState, bool),
    ) {
        let executor = &self.site.workers[index].executor;
        executor.change(|state, _| change(state, true));
        Timer::after(lasts).await;
        executor.change(|state, _| change(state, false));
    }
}
