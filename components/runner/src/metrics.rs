//! The metrics of an entry.

use crate::{decision_log::unix_ms, routes::RouteLabels};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use runs::{
    Decision,
    action::{Outlook, StopCause},
    demand::Group,
    executor::{Kind, Response, StartResponse},
    job::Answer,
    message::End,
};
use site::unit::Span;
use telemetry::{Exporter, MetricsError};

/// Bucket bounds of the response time histogram, in seconds.
const RESPONSE_BOUNDS: [f64; 11] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 1.6, 3.0];

/// Bucket bounds of the histogram of the time without a keeper, in seconds: around 1.2 s, in which
/// executors of a lost entry are to be used again, and 2 s, when its registration lapses.
const UNKEPT_BOUNDS: [f64; 7] = [0.9, 1.0, 1.2, 1.6, 2.0, 2.5, 4.0];

/// The metrics of one entry.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    answers: Counter<u64>,
    starts: Counter<u64>,
    polls: Counter<u64>,
    stops: Counter<u64>,
    failures: Counter<u64>,
    choices: Counter<u64>,
    late_runs: Counter<u64>,
    forwards: Counter<u64>,
    returned: Counter<u64>,
    store: Counter<u64>,
    refused: Counter<u64>,
    admission_limit: Gauge<f64>,
    response: Histogram<f64>,
    unkept: Histogram<f64>,
    cordons: Gauge<u64>,
    cordons_since: Gauge<f64>,
    speeds: Gauge<u64>,
    unresponsive: Counter<u64>,
    placed_far: Counter<u64>,
    floods: Counter<u64>,
    routes: RouteLabels,
    straggling: Counter<u64>,
    stopped_early: Counter<u64>,
}

impl Metrics {
    /// Creates the metrics with an exporter of their own.
    ///
    /// # Errors
    ///
    /// When the exporter can't be built.
    pub fn new() -> Result<Metrics, MetricsError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        Ok(Metrics {
            answers: counter("job_answers", "Jobs answered, by answer"),
            starts: counter("run_starts", "Starts sent to executors, by response"),
            polls: counter("executor_looks", "Polls of executors, by response"),
            stops: counter("run_stops", "Stops sent to executors, by response"),
            failures: counter(
                "run_failures",
                "Runs that ended otherwise than well, by end and health of the executor",
            ),
            choices: counter("run_choices", "Starts by kind of executor and outlook"),
            late_runs: counter("runs_late", "Runs that completed after the deadline, by kind"),
            forwards: counter("task_forwards", "Tasks handed to another keeper for lack of room"),
            returned: counter("tasks_returned", "Tasks that keepers returned unstarted"),
            store: counter("store_calls", "Calls to the platform's store, by outcome"),
            refused: counter(
                "jobs_refused",
                "Jobs refused, by route, task length and number of tasks",
            ),
            admission_limit: meter
                .f64_gauge("admission_limit_seconds")
                .with_description(
                    "Longest expected wait at which the latest job of a group was admitted",
                )
                .build(),
            response: meter
                .f64_histogram("job_response_seconds")
                .with_description("Time from a job's arrival to its answer")
                .with_boundaries(RESPONSE_BOUNDS.to_vec())
                .build(),
            unkept: meter
                .f64_histogram("executor_unkept_seconds")
                .with_description(
                    "Time from the last sign of life of a lost keeper until its executor is in use",
                )
                .with_boundaries(UNKEPT_BOUNDS.to_vec())
                .build(),
            cordons: meter
                .u64_gauge("cordoned_data_centres")
                .with_description("Data centres under cordon, as known to this process")
                .build(),
            cordons_since: meter
                .f64_gauge("cordons_changed_timestamp_seconds")
                .with_description("When this process last learnt of a change of the cordon")
                .build(),
            speeds: meter
                .u64_gauge("executor_speed_percent")
                .with_description("Run time on executors of a kind, in percent of the estimate")
                .build(),
            unresponsive: counter(
                "peers_unresponsive",
                "Times that a peer stopped to acknowledge what was sent to it",
            ),
            placed_far: counter(
                "tasks_placed_far",
                "Tasks that this entry's jobs sent to other data centres, by data centre",
            ),
            floods: counter(
                "admission_floods",
                "Jobs of flooding classes, by length, number of tasks and part of the flood",
            ),
            routes: RouteLabels::default(),
            straggling: counter("runs_straggling", "Runs that took longer than estimates allow"),
            stopped_early: counter(
                "runs_stopped_early",
                "Stragglers stopped on doubtful executors",
            ),
            exporter,
        })
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// When they can't be collected.
    pub fn render(&self) -> Result<String, MetricsError> {
        self.exporter.render()
    }

    /// Counts a call to the store.
    pub fn store_call(&self, outcome: &'static str) {
        self.store.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn decided(&self, decision: &Decision) {
        match decision {
            Decision::RunEnded { how, health, .. } => {
                let end = KeyValue::new("end", how.as_str());
                self.failures.add(1, &[end, KeyValue::new("health", health.as_str())]);
            }
            Decision::Start { kind, outlook: Some(outlook), .. } => {
                let outlook = match outlook {
                    Outlook::InTime => "in-time",
                    Outlook::Late => "late",
                };
                self.choices
                    .add(1, &[kind_label(kind.as_ref()), KeyValue::new("outlook", outlook)]);
            }
            Decision::LateRun { kind, .. } => self.late_runs.add(1, &[kind_label(kind.as_ref())]),
            Decision::Place { tasks, far: Some(far), .. } => {
                let far = KeyValue::new("data_centre", far.to_string());
                self.placed_far.add(*tasks as u64, &[far]);
            }
            Decision::Forward { .. } => self.forwards.add(1, &[]),
            Decision::Peer { responsive: false, .. } => self.unresponsive.add(1, &[]),
            Decision::TaskEnded { end: End::NotRun, .. } => self.returned.add(1, &[]),
            Decision::Keep { unkept: Some(unkept), .. } => {
                self.unkept.record(unkept.0 as f64 / 1e6, &[]);
            }
            Decision::Admit { limit, group, floods, .. } => {
                self.admission_limit.record(limit.0 as f64 / 1e6, &labels(*group));
                if let Some(part) = floods {
                    let [length, width] = labels(*group);
                    self.floods.add(1, &[length, width, KeyValue::new("part", part.as_str())]);
                }
            }
            Decision::Answer { answer: "refused", group, route, .. } => {
                let [length, width] = labels(*group);
                self.refused.add(1, &[length, width, self.routes.label(route.as_ref())]);
            }
            Decision::Cordon { data_centres, .. } => {
                self.cordons.record(data_centres.len() as u64, &[]);
                self.cordons_since.record(unix_ms() as f64 / 1e3, &[]);
            }
            Decision::Speed { kind, factor, .. } => {
                let kind = KeyValue::new("kind", kind.to_string());
                self.speeds.record(u64::from(factor.0), &[kind]);
            }
            Decision::Straggling { .. } => self.straggling.add(1, &[]),
            Decision::StopRun { why: StopCause::Straggling, .. } => {
                self.stopped_early.add(1, &[]);
            }
            _ => {}
        }
    }

    pub(crate) fn answered(&self, answer: Answer, span: Span) {
        let name = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::GivenUp => "given-up",
            Answer::Rejected { .. } => "refused",
        };
        self.answers.add(1, &[KeyValue::new("answer", name)]);
        self.response.record(span.0 as f64 / 1e6, &[]);
    }

    pub(crate) fn started(&self, reply: &StartResponse) {
        let name = match reply {
            StartResponse::Running { .. } => "running",
            StartResponse::Refused { .. } => "refused",
            StartResponse::Unsent => "unsent",
            StartResponse::Unknown => "unknown",
            StartResponse::Gone => "gone",
        };
        self.starts.add(1, &[KeyValue::new("reply", name)]);
    }

    pub(crate) fn polled<T>(&self, reply: &Response<T>) {
        self.polls.add(1, &[KeyValue::new("reply", name(reply))]);
    }

    pub(crate) fn stopped<T>(&self, reply: &Response<T>) {
        self.stops.add(1, &[KeyValue::new("reply", name(reply))]);
    }
}

fn kind_label(kind: Option<&Kind>) -> KeyValue {
    KeyValue::new("kind", kind.map_or_else(|| "unknown".into(), Kind::to_string))
}

fn labels(group: Group) -> [KeyValue; 2] {
    let Group { length, width } = group;
    [KeyValue::new("length", length.as_str()), KeyValue::new("width", width.as_str())]
}

fn name<T>(reply: &Response<T>) -> &'static str {
    match reply {
        Response::Done(_) => "done",
        Response::Fenced => "fenced",
        Response::Silent => "silent",
        Response::Gone => "gone",
    }
}
