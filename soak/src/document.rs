//! What operators and callers write: configurations and jobs.

use serde_json::{Value, json};

/// The service of all executors.
pub const SERVICE: &str = "templating";

/// The host of all queues.
pub const HOST: &str = "shop.example";

/// The path of the queue that all jobs go to.
pub const JOBS: &str = "/jobs/";

/// How long callers wait, in milliseconds.
pub const PATIENCE_MS: u64 = 3_000;

/// A job of tasks that take `ms` each.
pub fn job(tasks: u32, ms: u64) -> Value {
    let spec = json!({ "ms": ms, "cpu": 27_000 }).to_string();
    json!({
        "spec": spec,
        "best_effort": true,
        "steps": [{ "count": tasks, "cpu": 27_000, "mem_mb": 64, "estimated_ms": ms }],
    })
}

/// A caller's name of a job.
pub fn name(number: u64) -> String {
    format!("{number:016x}")
}

/// The path of the queue that only one version of the configuration has.
pub fn marker(version: u64) -> String {
    format!("/only-{version}/")
}

/// A configuration with the queue for all jobs and the one that tells its version.
pub fn config(version: u64, timeout_ms: u64) -> Vec<u8> {
    let route = |name: &str, prefix: &str| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": "unsafe",
            "timeout_ms": timeout_ms, "target_duration_ms": 400, "priority": 0,
            "service": SERVICE, "max_attempts": 3, "stretch": 3.0,
        })
    };
    let config = json!({
        "version": version,
        "routes": [route("jobs", JOBS), route("marker", &marker(version))],
        "services": [{ "name": SERVICE, "health_path": "/health", "enforces_capacity": true }],
        "limits": { "max_body_bytes": 4_096 },
    });
    config.to_string().into_bytes()
}
