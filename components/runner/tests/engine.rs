//! Orders to executors whose registrations have expired.

use async_trait::async_trait;
use parking_lot::Mutex;
use runner::{DecisionLog, Engine, Metrics, Orders, Setup};
use runs::{
    Event, Executor, Job, Options,
    action::{Poll, Start},
    executor::{Ended, Listing, Response, RunResult, Service, StartResponse},
    job::{Answer, Run, Stretch},
};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation, ServiceId},
    unit::{Cores, Memory, Resources, Revision, Slots, Span, Time},
};
use smol::{Timer, block_on};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};
use telemetry::Level;

/// How long the task runs.
const RUN_TIME: Duration = Duration::from_millis(400);

/// Label of the executor that runs the task.
const LABEL: &str = "large";

/// Executors that run one task, which ends well.
struct FakeExecutors {
    epoch: Instant,
    started: Mutex<Option<(Run, Instant)>>,
}

impl FakeExecutors {
    fn clock(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    fn listing(&self, executor: &Executor, acknowledged: u64) -> Listing {
        let mut listing = Listing { clock: self.clock(), ..Listing::default() };
        if let Some((run, since)) = &*self.started.lock()
            && !executor.labels.is_empty()
        {
            match since.elapsed() < RUN_TIME {
                true => listing.running.push(run.clone()),
                false if acknowledged > 0 => {}
                false => listing.ended.push(Ended {
                    number: 1,
                    run: Some(run.clone()),
                    result: RunResult::Done,
                }),
            }
        }
        listing
    }
}

#[async_trait]
impl Orders for FakeExecutors {
    async fn start(&self, _: &Executor, start: &Start) -> StartResponse {
        *self.started.lock() = Some((start.run.clone(), Instant::now()));
        StartResponse::Running { clock: self.clock() }
    }

    async fn stop(&self, _: &Executor, _: &Run, _: u64) -> Response<()> {
        Response::Done(())
    }

    async fn poll(&self, executor: &Executor, poll: &Poll) -> Response<Listing> {
        Timer::after(Duration::from_micros(poll.wait.0)).await;
        Response::Done(self.listing(executor, poll.acknowledged))
    }
}

fn home() -> Home {
    Home {
        data_centre: DataCentreId::of("a"),
        entry: EntryId::of("entry-0"),
        incarnation: Incarnation(1),
    }
}

fn executor(name: &str, labels: &[&str]) -> Executor {
    Executor {
        id: EndpointId::of(name),
        name: name.into(),
        incarnation: None,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreId::of("a"),
        service: ServiceId::of("templating"),
        capacity: Resources {
            slots: Slots(8),
            cores: Cores(8_000),
            memory: Memory(8 << 30),
            ..Resources::default()
        },
        kind: None,
        labels: labels.iter().map(|label| (*label).into()).collect(),
        leaving: false,
    }
}

fn job(now: Time) -> Job {
    Job {
        name: "00000000000000a1".into(),
        request: "".into(),
        spec: "".into(),
        tasks: 1,
        needs: Resources { slots: Slots(1), cores: Cores(1_000), ..Resources::default() },
        label: Some(LABEL.into()),
        per_executor: None,
        estimate: Span::from_millis(400),
        service: ServiceId::of("templating"),
        priority: 0,
        max_failures: 3,
        due: now + Span::from_secs(2),
        give_up: now + Span::from_secs(4),
        first_run: 1,
        stretch: Stretch::default(),
        route: None,
    }
}

/// An executor that runs a task is reached after the registrations of many executors have expired
/// at the same time.
#[test]
fn a_run_ends_well_after_many_registrations_have_expired() {
    block_on(async {
        let executors =
            Arc::new(FakeExecutors { epoch: Instant::now(), started: Mutex::default() });
        let (log, _guard) = telemetry::start(io::sink(), Level::Info).expect("a writer thread");
        let engine = Engine::new(Setup {
            home: home(),
            options: Options::default(),
            orders: executors.clone(),
            decision_log: DecisionLog::new(log, "entry-0"),
            metrics: Metrics::new().expect("metrics"),
        });
        let service = Service { id: ServiceId::of("templating"), guards_capacity: true };
        engine.feed(Event::Configured { version: 1, services: vec![service] });
        engine.feed(Event::Members { revision: Revision(1), members: vec![home()] });
        let small = (0..80).map(|number| executor(&format!("i-{number}"), &[]));
        engine.feed(Event::Executors(small.chain([executor("i-large", &[LABEL])]).collect()));
        smol::spawn(engine.clone().run_timer()).detach();
        let running = engine.clone();
        let answer = smol::spawn(async move { running.run(job).await });
        while executors.started.lock().is_none() {
            Timer::after(Duration::from_millis(5)).await;
        }
        engine.feed(Event::Executors(vec![executor("i-0", &[])]));
        assert_eq!(answer.await, Answer::Completed);
    });
}
