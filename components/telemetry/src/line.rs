//! Renders a decision as a JSON log line.

use crate::Names;
use dispatch::Decision;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, from_value, json};
use site::{
    id::{DataCentreId, EndpointId, FirmId, Home, ServiceId, SubmissionId, TaskId},
    unit::Time,
};
use std::fmt::Display;
use tracing_subscriber::fmt::{
    format::Writer,
    time::{FormatTime, SystemTime},
};

/// Log target of decisions.
const TARGET: &str = "decision";

/// Returns one line without its line feed, in the form of the other log lines. `at` is by the clock
/// of the process.
pub(crate) fn render(decision: &Decision, at: Time, names: &Names) -> String {
    let mut fields = match serde_json::to_value(decision) {
        Ok(Value::Object(fields)) => fields,
        _ => Map::new(),
    };
    for (key, value) in &mut fields {
        let readable = match key.as_str() {
            "id" => text::<SubmissionId, _>(value, |id| id),
            "task" => text::<TaskId, _>(value, |id| id),
            "to" => text::<Home, _>(value, |id| id),
            "firm" => text::<FirmId, _>(value, |id| names.firm(id)),
            "service" => text::<ServiceId, _>(value, |id| names.service(id)),
            "endpoint" => text::<EndpointId, _>(value, |id| names.endpoint(id)),
            "data_centre" => text::<DataCentreId, _>(value, |id| names.data_centre(id)),
            _ => None,
        };
        if let Some(readable) = readable {
            *value = readable;
        }
    }
    fields.insert("at".to_owned(), at.0.into());
    json!({ "timestamp": now(), "level": "INFO", "fields": fields, "target": TARGET }).to_string()
}

fn text<I: DeserializeOwned, T: Display>(value: &Value, display: impl Fn(I) -> T) -> Option<Value> {
    let id = from_value(value.clone()).ok()?;
    Some(Value::String(display(id).to_string()))
}

fn now() -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = SystemTime.format_time(&mut Writer::new(&mut text));
    text
}
