//! The metrics of an entry.

use crate::decision_log::unix_ms;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use runs::{
    Decision,
    demand::Group,
    executor::{Response, StartResponse},
    job::Answer,
};
use site::unit::Span;
use telemetry::{Exporter, MetricsError};

/// Bucket bounds of the response time histogram, in seconds.
const RESPONSE_BOUNDS: [f64; 11] = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 1.6, 3.0];

/// The metrics of one entry.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    answers: Counter<u64>,
    starts: Counter<u64>,
    polls: Counter<u64>,
    stops: Counter<u64>,
    failures: Counter<u64>,
    store: Counter<u64>,
    refused: Counter<u64>,
    admission_limit: Gauge<f64>,
    response: Histogram<f64>,
    cordons: Gauge<u64>,
    cordons_since: Gauge<f64>,
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
            failures: counter("run_failures", "Runs that ended otherwise than well"),
            store: counter("store_calls", "Calls to the platform's store, by outcome"),
            refused: counter("jobs_refused", "Jobs refused, by task length and number of tasks"),
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
            cordons: meter
                .u64_gauge("cordoned_data_centres")
                .with_description("Data centres under cordon, as known to this process")
                .build(),
            cordons_since: meter
                .f64_gauge("cordons_changed_timestamp_seconds")
                .with_description("When this process last learnt of a change of the cordon")
                .build(),
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
            Decision::RunEnded { .. } => self.failures.add(1, &[]),
            Decision::Admit { limit, group, .. } => {
                self.admission_limit.record(limit.0 as f64 / 1e6, &labels(*group));
            }
            Decision::Answer { answer: "refused", group, .. } => {
                self.refused.add(1, &labels(*group));
            }
            Decision::Cordon { data_centres, .. } => {
                self.cordons.record(data_centres.len() as u64, &[]);
                self.cordons_since.record(unix_ms() as f64 / 1e3, &[]);
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
