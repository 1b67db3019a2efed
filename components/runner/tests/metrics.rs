//! Metrics of an entry.

use async_trait::async_trait;
use runner::{DecisionLog, Engine, Metrics, Orders, Setup};
use runs::{
    Executor, Job, Options,
    action::{Poll, Start},
    executor::{Listing, Response, StartResponse},
    job::{Route, Run, Stretch},
};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation, ServiceId},
    unit::{Resources, Span, Time},
};
use smol::block_on;
use std::{io, sync::Arc};
use telemetry::Level;

/// Orders to no executors.
struct NoOrders;

#[async_trait]
impl Orders for NoOrders {
    async fn start(&self, _: &Executor, _: &Start) -> StartResponse {
        StartResponse::Unsent
    }

    async fn stop(&self, _: &Executor, _: &Run, _: u64) -> Response<()> {
        Response::Silent
    }

    async fn poll(&self, _: &Executor, _: &Poll) -> Response<Listing> {
        Response::Silent
    }
}

/// Returns a job that is refused, since it is late already.
fn job(now: Time, route: Option<Route>) -> Job {
    Job {
        name: "00000000000000aa".into(),
        request: "".into(),
        spec: "x".into(),
        tasks: 1,
        needs: Resources::default(),
        label: None,
        per_executor: None,
        estimate: Span::from_millis(50),
        service: ServiceId::of("service"),
        priority: 0,
        max_failures: 3,
        due: now,
        give_up: now + Span::from_secs(4),
        first_run: 1,
        stretch: Stretch::default(),
        route,
    }
}

/// Guards against a metric that grows with the number of queues that the configuration ever had.
#[test]
fn refused_jobs_are_counted_for_a_bounded_number_of_routes() {
    let home = Home {
        data_centre: DataCentreId::of("a"),
        entry: EntryId::of("entry-0"),
        incarnation: Incarnation(1),
    };
    let (log, _guard) = telemetry::start(io::sink(), Level::Info).expect("a writer thread");
    let engine = Engine::new(Setup {
        home,
        options: Options::default(),
        orders: Arc::new(NoOrders),
        decision_log: DecisionLog::new(log, "entry-0"),
        metrics: Metrics::new().expect("metrics"),
    });
    smol::spawn(engine.clone().run_timer()).detach();
    block_on(async {
        engine.run(|now| job(now, None)).await;
        for number in (0..70).chain(0..3) {
            let route = Some(Route(format!("/queue-{number}/").into()));
            engine.run(|now| job(now, route)).await;
        }
    });
    let text = engine.metrics().render().expect("metrics");
    let refused: Vec<_> = text.lines().filter(|line| line.contains("jobs_refused")).collect();
    let value = |route: &str| {
        let line = refused.iter().find(|line| line.contains(&format!("route=\"{route}\"")))?;
        line.rsplit(' ').next()?.parse::<f64>().ok()
    };
    assert_eq!(value("none"), Some(1.0), "{refused:?}");
    assert_eq!(value("/queue-0/"), Some(2.0));
    assert_eq!(value("/queue-63/"), Some(1.0));
    assert_eq!(value("/queue-64/"), None);
    assert_eq!(value("other"), Some(6.0));
}
