//! Settings files of the demonstration.

use bytes::Bytes;
use serde_json::{Map, Value, json};
use settings::Files;
use standin::Executor;

/// Names of the data centres.
pub(crate) const DATA_CENTRES: [&str; 2] = ["cutting", "polishing"];

/// Service of the tasks.
pub(crate) const SERVICE: &str = "templating";

/// Key of the firm.
pub(crate) const KEY: &str = "demo-firm";

/// Key of the operator.
pub(crate) const OPERATOR: &str = "demo-operator";

/// Slots of each executor.
pub(crate) const SLOTS_PER_EXECUTOR: usize = 8;

/// An executor with its name and data centre.
pub(crate) struct PlacedExecutor {
    pub(crate) name: String,
    pub(crate) data_centre: &'static str,
    pub(crate) executor: Executor,
}

/// Returns the settings files for these executors.
pub(crate) fn files(executors: &[PlacedExecutor]) -> Files {
    let member = |placed: &PlacedExecutor| {
        let terms = json!({
            "data-centre": placed.data_centre,
            "address": placed.executor.address().to_string(),
            "service": SERVICE,
        });
        (placed.name.clone(), terms)
    };
    let executors: Map<String, Value> = executors.iter().map(member).collect();
    let [one, other] = DATA_CENTRES;
    let digest = |key: &str| settings::digest(key.as_bytes()).to_string();
    let parts = [
        (
            "10-data-centres.json",
            json!({
                "data-centres": { one: { "region": "zilina" }, other: { "region": "zilina" } },
                "links": { "between": { "between": DATA_CENTRES, "latency": "1400us" } },
            }),
        ),
        (
            "20-services.json",
            json!({ "services": { SERVICE: { "repeatable": true, "slots": SLOTS_PER_EXECUTOR } } }),
        ),
        ("30-executors.json", json!({ "executors": executors })),
        (
            "40-firms.json",
            json!({
                "firms": { "kovacik": { "key-digests": { "demo": digest(KEY) } } },
                "contracts": { "kovacik": { "firm": "kovacik", "service": SERVICE } },
                "operators": { "duty": { "key-digests": { "demo": digest(OPERATOR) } } },
            }),
        ),
    ];
    parts
        .into_iter()
        .map(|(name, content)| (name.into(), Bytes::from(content.to_string())))
        .collect()
}
