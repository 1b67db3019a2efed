//! Renders a site as one settings file.

use crate::section::Section;
use compact_str::format_compact;
use serde::Serialize;
use serde_json::{Map, Value, json, to_value};
use site::Site;

/// Number of hexadecimal digits of a digest that are used as its key.
const LABEL_DIGITS: usize = 16;

/// Returns the merged settings of `site`: one file that is equivalent to the folder it was read
/// from.
pub fn render(site: &Site) -> Value {
    let links = site.links.iter().map(|link| {
        let [a, b] = &link.between;
        (format_compact!("{a}--{b}"), link)
    });
    let contracts = site
        .contracts
        .iter()
        .map(|contract| (format_compact!("{}--{}", contract.firm, contract.service), contract));
    let sections = Section::ALL.map(|section| {
        let objects = match section {
            Section::Policy => value(&site.policy),
            Section::DataCentres => named(site.data_centres.values().map(|o| (&o.name, o))),
            Section::Links => named(links.clone()),
            Section::Services => named(site.services.values().map(|o| (&o.name, o))),
            Section::Executors => named(site.executors.values().map(|o| (&o.name, o))),
            Section::Workers => named(site.workers.values().map(|o| (&o.name, o))),
            Section::Firms => named(site.firms.values().map(|o| (&o.name, o))),
            Section::Contracts => named(contracts.clone()),
            Section::Operators => named(site.operators.values().map(|o| (&o.name, o))),
        };
        (section.to_string(), objects)
    });
    Value::Object(sections.into_iter().collect())
}

fn named<N: ToString, T: Serialize>(objects: impl Iterator<Item = (N, T)>) -> Value {
    let object = |(name, object): (N, T)| (name.to_string(), value(&object));
    Value::Object(objects.map(object).collect())
}

/// Converts an object to JSON. This never fails for domain types: their keys are strings and their
/// numbers are finite.
fn value<T: Serialize>(object: &T) -> Value {
    let mut value = to_value(object).unwrap_or_default();
    if let Value::Object(fields) = &mut value {
        fields.remove("name");
        fields.retain(|_, field| !field.is_null());
        relabel(fields, "crews", crew);
        relabel(fields, "key-digests", digest);
    }
    value
}

/// Converts a list into an object whose keys are the names of the elements.
fn relabel(
    fields: &mut Map<String, Value>,
    field: &str,
    label: impl Fn(&Value) -> (String, Value),
) {
    if let Some(Value::Array(items)) = fields.get(field) {
        let members = items.iter().map(label).collect();
        fields.insert(field.into(), Value::Object(members));
    }
}

fn crew(crew: &Value) -> (String, Value) {
    let name = crew["name"].as_str().unwrap_or_default();
    (name.into(), json!({ "weight": crew["weight"] }))
}

fn digest(digest: &Value) -> (String, Value) {
    let text = digest.as_str().unwrap_or_default();
    (text.chars().take(LABEL_DIGITS).collect(), digest.clone())
}
