//! Injects the faults of a plan into a site, concurrently.

use crate::{
    Error,
    caller::{self, Load, Shared},
    document,
    history::{History, Leaving, Stop},
    plan::{EntryFault, ExecutorFault, Fault, Step, StoreFault},
    proxy::{self, Forwarding},
    site::Site,
};
use ::site::unit::Span;
use smol::{Timer, lock::MutexGuard};
use standin::{
    kv::Mode,
    leased::{ExecutorState, Loss},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Longest time from SIGTERM until a process is killed; the same as `grace_s` in the entry's
/// settings.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// How often the exit of a process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time until a killed process is started again; shorter if its fault is.
const MAX_DOWNTIME: Duration = Duration::from_millis(1_000);

/// How long an unplanned fault counts after its end, while a restarted entry starts up.
const STARTUP_TIME: Duration = Duration::from_millis(1_000);

/// Time from the crash of an executor until the store removes its registration.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time from the end of a suspension until the entry sees that callers have left in it.
const END_DELAY: Duration = Duration::from_millis(500);

/// Delay of each direction of a slow connection.
const NETWORK_DELAY: Duration = Duration::from_millis(60);

/// Factor by which a slow executor takes longer.
const SLOW_FACTOR: u64 = 4;

/// How many of a hundred tasks an executor hangs that hangs a part of them.
const HANG_PERCENT: u32 = 30;

/// How many of a hundred orders an executor loses that loses orders.
const LOST_PERCENT: u32 = 30;

/// Callers of a surge for each caller that submits jobs all the time. They pause less, so that the
/// executors have no room for most of their jobs.
const SURGE_FACTOR: usize = 2;

/// Injects faults into a site.
#[derive(Debug)]
pub struct Injector {
    /// The site that faults are injected into.
    pub site: Arc<Site>,
    /// Log of the play, which faults are recorded in.
    pub history: Arc<History>,
    /// Version of the newest configuration.
    pub version: AtomicU64,
    /// State that all callers share.
    pub callers: Arc<Shared>,
    /// Number of the callers that submit jobs all the time.
    pub caller_count: usize,
}

/// Forwards everything at once.
const FORWARD: proxy::Mode = proxy::Mode {
    to_target: Forwarding::Immediate,
    from_target: Forwarding::Immediate,
    end: Forwarding::Immediate,
};

/// Blocks both directions.
const BLOCK_BOTH: proxy::Mode =
    proxy::Mode { to_target: Forwarding::Blocked, from_target: Forwarding::Blocked, ..FORWARD };

/// Forwards requests and blocks the responses.
const BLOCK_RESPONSES: proxy::Mode = proxy::Mode { from_target: Forwarding::Blocked, ..FORWARD };

/// Blocks requests.
const BLOCK_REQUESTS: proxy::Mode = proxy::Mode { to_target: Forwarding::Blocked, ..FORWARD };

/// Delays both directions.
const DELAY_BOTH: proxy::Mode = proxy::Mode {
    to_target: Forwarding::Delayed(NETWORK_DELAY),
    from_target: Forwarding::Delayed(NETWORK_DELAY),
    ..FORWARD
};

/// Forwards all but the ends of what callers send.
const BLOCK_ENDS: proxy::Mode = proxy::Mode { end: Forwarding::Blocked, ..FORWARD };

impl Injector {
    /// Injects a fault and returns when it is over.
    ///
    /// # Errors
    ///
    /// When a process can't be signalled or started.
    pub async fn inject(&self, step: Step) -> Result<(), Error> {
        let begun = Instant::now();
        self.record_disturbance(step.fault, begun, begun + step.duration);
        match step.fault {
            Fault::Entry(entry, what) => self.inject_entry(entry, what, step.duration).await?,
            Fault::Executor(executor, what) => {
                self.inject_executor(executor, what, step.duration).await?
            }
            Fault::Store(what) => self.inject_store(what, step.duration).await,
            Fault::Configure => self.configure(),
            Fault::Surge(kind) => self.surge(kind, step.duration).await,
        }
        // A fault waits for another one that has locked the same process, so it may end later than
        // planned.
        self.record_disturbance(step.fault, begun, Instant::now());
        Ok(())
    }

    /// Records the time of a fault that may violate guarantees with a time bound.
    fn record_disturbance(&self, fault: Fault, from: Instant, until: Instant) {
        if !fault.is_ordinary() {
            self.history.update(|record| record.disturbances.push((from, until + STARTUP_TIME)));
        }
    }

    async fn inject_entry(
        &self,
        entry: usize,
        what: EntryFault,
        duration: Duration,
    ) -> Result<(), Error> {
        match what {
            EntryFault::Kill => self.kill(entry, duration.min(MAX_DOWNTIME)).await?,
            EntryFault::Lose => self.kill(entry, duration).await?,
            EntryFault::Freeze => self.freeze(entry, duration).await?,
            EntryFault::FreezeUnnoticed => self.freeze_unnoticed(entry, duration).await?,
            EntryFault::Terminate => self.terminate(entry).await?,
            EntryFault::ResetCallers => self.site.nodes[entry].callers.reset(),
            EntryFault::CutPeers => self.with_peer_mode(entry, BLOCK_BOTH, duration).await,
            EntryFault::DeafenPeers => self.with_peer_mode(entry, BLOCK_REQUESTS, duration).await,
            EntryFault::SlowPeers => self.with_peer_mode(entry, DELAY_BOTH, duration).await,
            EntryFault::CutStore => self.with_store_mode(entry, BLOCK_BOTH, duration).await,
            EntryFault::LoseStoreAnswers => {
                self.with_store_mode(entry, BLOCK_RESPONSES, duration).await
            }
        }
        Ok(())
    }

    async fn inject_executor(
        &self,
        index: usize,
        what: ExecutorFault,
        duration: Duration,
    ) -> Result<(), Error> {
        let worker = &self.site.workers[index];
        match what {
            ExecutorFault::HoldOrders => {
                self.with_order_mode(index, BLOCK_REQUESTS, duration).await
            }
            ExecutorFault::HoldAnswers => {
                self.with_order_mode(index, BLOCK_RESPONSES, duration).await
            }
            ExecutorFault::ResetOrders => worker.orders.reset(),
            ExecutorFault::Dark => worker.executor().change(|state, now| {
                state.unresponsive_until = now + Span(duration.as_micros() as u64);
            }),
            ExecutorFault::Fail => {
                self.misbehave(index, duration, |state, fails| state.fails = fails).await;
            }
            ExecutorFault::Drag => {
                let slow_down = |state: &mut ExecutorState, is_slow| {
                    state.duration_factor = if is_slow { SLOW_FACTOR } else { 1 }
                };
                self.misbehave(index, duration, slow_down).await;
            }
            ExecutorFault::Hang => {
                let hang = |state: &mut ExecutorState, hangs| {
                    state.hang_percent = if hangs { HANG_PERCENT } else { 0 }
                };
                self.misbehave(index, duration, hang).await;
            }
            ExecutorFault::LoseOrders => {
                let seed = self.callers.seed ^ index as u64;
                let lose = move |state: &mut ExecutorState, loses: bool| {
                    state.loss = loses.then(|| Loss::new(LOST_PERCENT, seed));
                };
                self.misbehave(index, duration, lose).await;
            }
            ExecutorFault::Crash => self.crash(index, duration).await?,
            ExecutorFault::Leave => self.leave(index).await,
        }
        Ok(())
    }

    /// Crashes an executor for `downtime`. Its registration expires later, while the next
    /// incarnation is registered already, unless it is replaced by one with the same name.
    async fn crash(&self, index: usize, downtime: Duration) -> Result<(), Error> {
        let worker = &self.site.workers[index];
        let presence = worker.presence.lock().await;
        let expires_at = Instant::now() + REGISTRATION_TIMEOUT;
        let crashed = worker.executor().name.clone();
        worker.crash().await;
        Timer::after(downtime).await;
        worker.restart(self.site.begun, &self.site.monitor).await?;
        self.site.register(index, false);
        drop(presence);
        Timer::at(expires_at).await;
        if worker.executor().name != crashed {
            self.site.unregister(&crashed);
        }
        Ok(())
    }

    /// Writes the next version of the configuration to the store.
    pub fn configure(&self) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let timeout_ms = document::CALLER_TIMEOUT_MS + version;
        self.site.store.put("op/config", &document::config(version, timeout_ms));
        self.history.update(|record| record.configured.push((Instant::now(), version)));
    }

    /// Lets additional callers submit jobs of one kind.
    async fn surge(&self, kind: usize, duration: Duration) {
        let until = Instant::now() + duration;
        let callers: Vec<_> = (0..self.caller_count * SURGE_FACTOR)
            .map(|_| {
                let number = self.callers.next_number.fetch_add(1, Ordering::Relaxed);
                let load = Load::Surge { kind, until };
                smol::spawn(caller::run(self.callers.clone(), number, load))
            })
            .collect();
        for caller in callers {
            caller.await;
        }
    }

    /// Marks an executor as leaving, once it is up.
    async fn leave(&self, index: usize) {
        let worker = &self.site.workers[index];
        let _presence = worker.presence.lock().await;
        self.site.register(index, true);
        let executor = worker.executor().name.clone();
        let at = Instant::now();
        self.history.update(|record| record.leaving.push(Leaving { executor, at }));
    }

    async fn kill(&self, entry: usize, downtime: Duration) -> Result<(), Error> {
        let mut process = self.process(entry).await;
        process.kill()?;
        Timer::after(downtime).await;
        Ok(process.restart()?)
    }

    async fn freeze(&self, entry: usize, duration: Duration) -> Result<(), Error> {
        let process = self.process(entry).await;
        process.pause().await?;
        Timer::after(duration).await;
        Ok(process.resume()?)
    }

    /// Suspends an entry. That callers leave meanwhile reaches it only some time after it goes on, as
    /// the end of a connection that is sent again and again in growing intervals.
    async fn freeze_unnoticed(&self, entry: usize, duration: Duration) -> Result<(), Error> {
        let callers = &self.site.nodes[entry].callers;
        callers.set(BLOCK_ENDS);
        let frozen = self.freeze(entry, duration).await;
        Timer::after(END_DELAY).await;
        callers.set(FORWARD);
        frozen
    }

    async fn terminate(&self, entry: usize) -> Result<(), Error> {
        let mut process = self.process(entry).await;
        process.terminate()?;
        let at = Instant::now();
        self.history.update(|record| record.stops.push(Stop { entry, at, gone: None }));
        while process.ended()?.is_none() && at.elapsed() < STOP_TIMEOUT {
            Timer::after(EXIT_POLL_INTERVAL).await;
        }
        let gone = Some(Instant::now());
        self.history.update(|record| {
            let stop = record.stops.iter_mut().find(|stop| stop.entry == entry && stop.at == at);
            stop.into_iter().for_each(|stop| stop.gone = gone);
        });
        Ok(process.restart()?)
    }

    /// Locks the process of an entry, once no other fault holds it.
    async fn process(&self, entry: usize) -> MutexGuard<'_, crate::entry::Entry> {
        self.site.nodes[entry].entry.lock().await
    }

    async fn with_peer_mode(&self, entry: usize, mode: proxy::Mode, duration: Duration) {
        let relay = &self.site.nodes[entry].peers;
        relay.set(mode);
        Timer::after(duration).await;
        relay.set(proxy::Mode::default());
    }

    async fn with_store_mode(&self, entry: usize, mode: proxy::Mode, duration: Duration) {
        let proxy = &self.site.nodes[entry].store;
        proxy.set(mode);
        Timer::after(duration).await;
        proxy.set(proxy::Mode::default());
    }

    async fn with_order_mode(&self, executor: usize, mode: proxy::Mode, duration: Duration) {
        let proxy = &self.site.workers[executor].orders;
        proxy.set(mode);
        Timer::after(duration).await;
        proxy.set(proxy::Mode::default());
    }

    async fn inject_store(&self, what: StoreFault, duration: Duration) {
        let store = &self.site.store;
        let mode = match what {
            StoreFault::Busy => Mode::Busy,
            StoreFault::Silent => Mode::Unresponsive,
            StoreFault::Forget => return store.compact(),
        };
        store.set_mode(mode);
        Timer::after(duration).await;
        store.set_mode(Mode::Up);
    }

    async fn misbehave(
        &self,
        index: usize,
        duration: Duration,
        change: impl Fn(&mut ExecutorState, bool),
    ) {
        let executor = self.site.workers[index].executor();
        executor.change(|state, _| change(state, true));
        Timer::after(duration).await;
        executor.change(|state, _| change(state, false));
    }
}
