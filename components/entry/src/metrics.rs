//! The metrics of an entry.

use dispatch::{Decision, Message, event::Reply};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter},
};
use site::{
    submission::{Answer, Reason},
    unit::Span,
};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use telemetry::{Exporter, MetricsError};

/// Bucket bounds of the response time histogram, in seconds.
const RESPONSE_BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Values of the gauges, read when the metrics are rendered.
#[derive(Debug, Default)]
pub struct Gauges {
    /// Callers that wait for an answer.
    pub waiters: AtomicU64,
    /// Tasks queued at this entry, as of the last decision about a task.
    pub queued: AtomicU64,
    /// Open connections to peers.
    pub links: AtomicU64,
    /// Log lines dropped since the start.
    pub dropped: AtomicU64,
    /// The revision of the settings in force.
    pub revision: AtomicU64,
}

/// The metric instruments of one entry.
#[derive(Debug)]
pub struct Metrics {
    exporter: Exporter,
    gauges: Arc<Gauges>,
    admissions: Counter<u64>,
    refusals: Counter<u64>,
    starts: Counter<u64>,
    ends: Counter<u64>,
    retries: Counter<u64>,
    sent: Counter<u64>,
    received: Counter<u64>,
    wasted: Counter<u64>,
    platform: Counter<u64>,
    response: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments with their own exporter.
    pub fn new() -> Result<Metrics, MetricsError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let gauges = Arc::new(Gauges::default());
        observe(&meter, &gauges);
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        Ok(Metrics {
            admissions: counter("admissions", "Submissions admitted"),
            refusals: counter("refusals", "Submissions answered as failed, by reason"),
            starts: counter("starts", "Attempts sent to endpoints"),
            ends: counter("ends", "Attempts ended, by what is known of them"),
            retries: counter("retries", "Attempts that followed an earlier one"),
            sent: counter("messages_sent", "Messages to peers, by kind"),
            received: counter("messages_received", "Messages from peers, by kind"),
            wasted: counter("messages_wasted", "Messages that changed nothing, by kind"),
            platform: counter("platform_calls", "Calls to the platform's store, by call"),
            response: meter
                .f64_histogram("response_seconds")
                .with_description("Time from a submission to its answer")
                .with_boundaries(RESPONSE_BOUNDS.to_vec())
                .build(),
            exporter,
            gauges,
        })
    }

    /// Returns the values of the gauges.
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, MetricsError> {
        self.exporter.render()
    }

    /// Updates counters and gauges for a decision.
    pub fn record_decision(&self, decision: &Decision) {
        match decision {
            Decision::Admit { queued, .. } => {
                self.admissions.add(1, &[]);
                set(&self.gauges.queued, u64::from(*queued));
            }
            Decision::Place { queued, .. } => set(&self.gauges.queued, u64::from(*queued)),
            Decision::Retry { again: true, .. } => self.retries.add(1, &[]),
            _ => {}
        }
    }

    /// Counts an attempt that was sent to an endpoint.
    pub fn record_start(&self) {
        self.starts.add(1, &[]);
    }

    /// Counts the end of an attempt.
    pub fn record_end(&self, reply: &Reply) {
        let (name, wasted) = match reply {
            Reply::Done(_) => ("done", false),
            Reply::Failed(_) => ("failed", false),
            Reply::Refused(_) => ("refused", true),
            Reply::NotSent => ("not-sent", false),
            Reply::Lost => ("lost", true),
            Reply::Silent => ("silent", true),
            Reply::TimedOut => ("timed-out", true),
        };
        self.ends.add(1, &[KeyValue::new("reply", name)]);
        if wasted {
            self.record_wasted(name);
        }
    }

    /// Records an answer that a caller received after `span`.
    pub fn record_answer(&self, answer: &Answer, span: Span) {
        let outcome = match answer {
            Answer::Complete(_) => "complete",
            Answer::Failed(failure) => {
                let reason = reason(failure.reason);
                self.refusals.add(1, &[KeyValue::new("reason", reason)]);
                "failed"
            }
        };
        let seconds = span.0 as f64 / 1e6;
        self.response.record(seconds, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a message that was sent to a peer.
    pub fn record_sent(&self, message: &Message) {
        self.sent.add(1, &[KeyValue::new("kind", kind(message))]);
    }

    /// Counts a message that was received from a peer.
    pub fn record_received(&self, message: &Message) {
        self.received.add(1, &[KeyValue::new("kind", kind(message))]);
    }

    /// Counts a message or attempt that had no effect.
    pub fn record_wasted(&self, kind: &'static str) {
        self.wasted.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a call to the platform's store.
    pub fn record_platform_call(&self, call: &'static str, succeeded: bool) {
        let result = if succeeded { "ok" } else { "error" };
        self.platform.add(1, &[KeyValue::new("call", call), KeyValue::new("result", result)]);
    }
}

fn observe(meter: &Meter, gauges: &Arc<Gauges>) {
    let gauge = |name, text, read: fn(&Gauges) -> &AtomicU64| {
        let gauges = gauges.clone();
        let read = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
            observer.observe(read(&gauges).load(Ordering::Relaxed), &[]);
        };
        meter.u64_observable_gauge(name).with_description(text).with_callback(read).build();
    };
    gauge("waiters", "Callers that wait for answers", |l| &l.waiters);
    gauge("queue_length", "Tasks queued at the last decision", |l| &l.queued);
    gauge("links", "Open connections to peers", |l| &l.links);
    gauge("log_lines_dropped", "Log lines that were not written", |l| &l.dropped);
    gauge("settings_revision", "Revision of the settings in force", |l| &l.revision);
}

/// Sets the value of a gauge.
pub fn set(level: &AtomicU64, value: u64) {
    level.store(value, Ordering::Relaxed);
}

fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::Deadline => "deadline",
        Reason::Overload => "overload",
        Reason::Quota => "quota",
        Reason::Impossible => "impossible",
        Reason::NoEndpoint => "no-endpoint",
        Reason::Cancelled => "cancelled",
        Reason::HomeGone => "home-gone",
        Reason::HomeUnreachable => "home-unreachable",
        Reason::Draining => "draining",
        Reason::PlatformOut => "platform-out",
        Reason::Conflict => "conflict",
        Reason::Unknown => "unknown",
        Reason::Expired => "expired",
        Reason::NoContract => "no-contract",
        Reason::Size => "size",
        Reason::Endpoint => "endpoint",
    }
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Submit { .. } => "submit",
        Message::Fetch { .. } => "fetch",
        Message::Cancel { .. } => "cancel",
        Message::Query { .. } => "query",
        Message::Progress { .. } => "progress",
        Message::Answered { .. } => "answered",
        Message::CapacityRequest(_) => "want",
        Message::Lend(_) => "lend",
        Message::Return(_) => "return",
        Message::InUse(_) => "holding",
        Message::Usage(_) => "usage",
        Message::Heartbeat(_) => "heartbeat",
        Message::Handover(_) => "handover",
        Message::HandoverStored { .. } => "handover-stored",
        Message::Moved { .. } => "moved",
        Message::SettingsWanted { .. } => "settings-wanted",
        Message::Settings { .. } => "settings",
    }
}
