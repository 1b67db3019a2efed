//! Carries the steps of a plan out, each beside the others.

use crate::{
    Error, document,
    history::{History, Leaving, Stop},
    plan::{Fault, Step},
    proxy::{Mode, Way},
    site::Site,
};
use smol::{Timer, lock::MutexGuard};
use standin::{kv, leased::Life};
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
pub struct Striker {
    /// The site.
    pub site: Arc<Site>,
    /// What is seen.
    pub history: Arc<History>,
    /// The newest configuration.
    pub version: AtomicU64,
}

/// Both directions silent.
const CUT: Mode = Mode { there: Way::Silent, back: Way::Silent };

/// What is sent is heard, the answer is not.
const ANSWERS_HELD: Mode = Mode { there: Way::Open, back: Way::Silent };

/// What is sent is not heard.
const HELD: Mode = Mode { there: Way::Silent, back: Way::Open };

/// Everything takes longer.
const SLOW: Mode = Mode { there: Way::Slow(DELAY), back: Way::Slow(DELAY) };

impl Striker {
    /// Carries a step out, to its end.
    ///
    /// # Errors
    ///
    /// When a process can't be signalled or started.
    pub async fn strike(&self, step: Step) -> Result<(), Error> {
        if !step.fault.is_planned() {
            let now = Instant::now();
            let until = now + step.lasts + START_TIME;
            self.history.note(|record| record.disturbed.push((now, until)));
        }
        let site = &self.site;
        match step.fault {
            Fault::Kill { entry } => self.kill(entry, step.lasts).await?,
            Fault::Freeze { entry } => self.freeze(entry, step.lasts).await?,
            Fault::Terminate { entry } => self.terminate(entry).await?,
            Fault::ResetCallers { entry } => site.nodes[entry].callers.reset(),
            Fault::CutPeers { entry } => self.peers(entry, CUT, step.lasts).await,
            Fault::DeafenPeers { entry } => self.peers(entry, HELD, step.lasts).await,
            Fault::SlowPeers { entry } => self.peers(entry, SLOW, step.lasts).await,
            Fault::CutStore { entry } => self.store(entry, CUT, step.lasts).await,
            Fault::LoseStoreAnswers { entry } => self.store(entry, ANSWERS_HELD, step.lasts).await,
            Fault::StoreBusy => self.whole_store(kv::Mode::Busy, step.lasts).await,
            Fault::StoreSilent => self.whole_store(kv::Mode::Silent, step.lasts).await,
            Fault::StoreForgets => site.store.forget(),
            Fault::HoldOrders { executor } => self.orders(executor, HELD, step.lasts).await,
            Fault::HoldAnswers { executor } => {
                self.orders(executor, ANSWERS_HELD, step.lasts).await;
            }
            Fault::ResetOrders { executor } => site.workers[executor].orders.reset(),
            Fault::Dark { executor } => site.workers[executor].executor.change(|life, now| {
                life.dark_until = now + site::unit::Span(step.lasts.as_micros() as u64);
            }),
            Fault::Fails { executor } => {
                self.executor(executor, step.lasts, |life, fails| life.fails = fails).await;
            }
            Fault::Drags { executor } => {
                let drag = |life: &mut Life, drags| life.factor = if drags { DRAG } else { 1 };
                self.executor(executor, step.lasts, drag).await;
            }
            Fault::Configure => self.configure(),
            Fault::Leave { executor } => self.leave(executor),
        }
        Ok(())
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

    async fn peers(&self, entry: usize, mode: Mode, lasts: Duration) {
        let relay = &self.site.nodes[entry].peers;
        relay.set(mode);
        Timer::after(lasts).await;
        relay.set(Mode::default());
    }

    async fn store(&self, entry: usize, mode: Mode, lasts: Duration) {
        let proxy = &self.site.nodes[entry].store;
        proxy.set(mode);
        Timer::after(lasts).await;
        proxy.set(Mode::default());
    }

    async fn orders(&self, executor: usize, mode: Mode, lasts: Duration) {
        let proxy = &self.site.workers[executor].orders;
        proxy.set(mode);
        Timer::after(lasts).await;
        proxy.set(Mode::default());
    }

    async fn whole_store(&self, mode: kv::Mode, lasts: Duration) {
        self.site.store.set_mode(mode);
        Timer::after(lasts).await;
        self.site.store.set_mode(kv::Mode::Up);
    }

    async fn executor(&self, index: usize, lasts: Duration, change: impl Fn(&mut Life, bool)) {
        let executor = &self.site.workers[index].executor;
        executor.change(|life, _| change(life, true));
        Timer::after(lasts).await;
        executor.change(|life, _| change(life, false));
    }
}
