//! Builds the documents that operators and callers write: configurations and jobs.

use serde_json::{Value, json};

/// Name of the service that all executors run.
pub const SERVICE: &str = "templating";

/// `Host` header of all queues.
pub const HOST: &str = "shop.example";

/// Path prefix of the queue for jobs of any kind.
pub const JOBS_PATH: &str = "/jobs/";

/// A kind of job, which has a queue of its own.
#[derive(Clone, Copy, Debug)]
pub struct JobKind {
    /// Path prefix of its queue.
    pub path: &'static str,
    /// Number of tasks.
    pub tasks: u16,
    /// Milliseconds that a task takes.
    pub ms: u64,
    /// Thousandths of a core that a task needs.
    pub cpu: u32,
    /// How long callers wait for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Relative frequency.
    pub weight: u32,
}

/// Thousandths of a core that most tasks need: an executor runs two of them.
const TASK_CPU: u32 = 27_000;

/// The kinds of jobs.
pub const JOB_KINDS: [JobKind; 3] = [
    JobKind {
        path: "/wide/",
        tasks: 8,
        ms: 60,
        cpu: TASK_CPU,
        timeout_ms: CALLER_TIMEOUT_MS,
        weight: 3,
    },
    JobKind {
        path: "/long/",
        tasks: 4,
        ms: 450,
        cpu: TASK_CPU,
        timeout_ms: CALLER_TIMEOUT_MS,
        weight: 1,
    },
    JobKind {
        path: "/small/",
        tasks: 2,
        ms: 200,
        cpu: TASK_CPU,
        timeout_ms: CALLER_TIMEOUT_MS,
        weight: 6,
    },
];

/// Jobs of long tasks that need little: a run that outlives its lease is still there when the task
/// is started again, beside runs of other callers.
pub const LASTING_JOB: JobKind =
    JobKind { path: "/lasting/", tasks: 3, ms: 2_400, cpu: 7_500, timeout_ms: 7_000, weight: 1 };

/// Jobs whose callers wait little longer than the tasks run, and submit them again.
pub const BRIEF_JOB: JobKind =
    JobKind { path: "/brief/", tasks: 2, ms: 700, cpu: 7_500, timeout_ms: 1_500, weight: 1 };

/// How long callers wait for the answer to other jobs, in milliseconds.
pub const CALLER_TIMEOUT_MS: u64 = 3_000;

/// A job fails when one of its tasks has failed this often.
pub const MAX_ATTEMPTS: usize = 3;

/// Returns a job of `tasks` tasks that run for `ms` milliseconds each.
pub fn job(tasks: u32, ms: u64) -> Value {
    job_with(tasks, ms, TASK_CPU)
}

impl JobKind {
    /// Returns a job of this kind.
    pub fn job(&self) -> Value {
        job_with(u32::from(self.tasks), self.ms, self.cpu)
    }
}

fn job_with(tasks: u32, ms: u64, cpu: u32) -> Value {
    let spec = json!({ "ms": ms, "cpu": cpu }).to_string();
    json!({
        "spec": spec,
        "best_effort": true,
        "steps": [{ "count": tasks, "cpu": cpu, "mem_mb": 64, "estimated_ms": ms }],
    })
}

/// Returns the name that a caller gives to a job.
pub fn name(number: u64) -> String {
    format!("{number:016x}")
}

/// Returns the path of the queue that exists only in one version of the configuration.
pub fn marker_path(version: u64) -> String {
    format!("/only-{version}/")
}

/// Returns a configuration with the queues for jobs and the marker queue that identifies its
/// version.
pub fn config(version: u64, timeout_ms: u64) -> Vec<u8> {
    let route = |name: &str, prefix: &str, timeout_ms: u64| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": "unsafe",
            "timeout_ms": timeout_ms, "target_duration_ms": 400, "priority": 0,
            "service": SERVICE, "max_attempts": MAX_ATTEMPTS, "stretch": 3.0,
        })
    };
    let kinds = JOB_KINDS.iter().map(|kind| route("jobs", kind.path, timeout_ms));
    let others = [
        route("jobs", JOBS_PATH, timeout_ms),
        route("marker", &marker_path(version), timeout_ms),
        route("lasting", LASTING_JOB.path, LASTING_JOB.timeout_ms),
        route("brief", BRIEF_JOB.path, BRIEF_JOB.timeout_ms),
    ];
    let routes: Vec<_> = others.into_iter().chain(kinds).collect();
    let config = json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": SERVICE, "health_path": "/health", "enforces_capacity": true }],
        "limits": { "max_body_bytes": 4_096 },
    });
    config.to_string().into_bytes()
}
