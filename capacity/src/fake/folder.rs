//! Generates a site's settings folder of a given size.

use bytes::Bytes;
use serde_json::{Value, json};
use settings::Files;
use site::Site;
use std::sync::Arc;

/// Data centres in each region.
const DATA_CENTRES_PER_REGION: usize = 3;

/// Executors or workers that one file describes, by one object with a numbered name or by single
/// objects.
const ENDPOINTS_PER_FILE: usize = 64;

/// One-way latency inside a region.
const REGION_LATENCY: &str = "1400us";

/// One-way latency between regions.
const INTER_REGION_LATENCY: &str = "20ms";

/// Name of the service that executors serve.
pub const CHECK: &str = "check";

/// Name of the service that workers run.
pub const REPORT: &str = "report";

/// How the settings list workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Style {
    /// One object with a numbered name describes many workers.
    Numbered,
    /// Each worker has an object of its own.
    WrittenOut,
}

/// Sizes of the site that the folder describes.
#[derive(Clone, Copy, Debug)]
pub struct Folder {
    /// Number of data centres; three form a region.
    pub data_centres: usize,
    /// Number of executors, of 8 slots each.
    pub executors: usize,
    /// Number of workers, of 64 cores each.
    pub workers: usize,
    /// Number of firms; each has a file of its own.
    pub firms: usize,
    /// Tasks that each firm may have running on workers; `None` for no quota.
    pub quota: Option<u32>,
    /// How workers are listed.
    pub style: Style,
}

impl Default for Folder {
    fn default() -> Folder {
        Folder {
            data_centres: 1,
            executors: 0,
            workers: 0,
            firms: 4,
            quota: None,
            style: Style::Numbered,
        }
    }
}

/// Returns the name of a data centre.
pub fn data_centre(number: usize) -> String {
    format!("dc-{number}")
}

/// Returns the name of a firm.
pub fn firm(number: usize) -> String {
    format!("firm-{number}")
}

impl Folder {
    /// Returns the files of the folder.
    pub fn files(&self) -> Files {
        let mut files = Files::new();
        let mut add = |name: String, text: Value| {
            let text = serde_json::to_vec_pretty(&text).unwrap_or_default();
            files.insert(name.into(), Bytes::from(text));
        };
        add("10-data-centres.json".into(), self.data_centres());
        add("20-services.json".into(), services());
        for (number, text) in self.executors().into_iter().enumerate() {
            add(format!("30-executors-{number:03}.json"), text);
        }
        for (number, text) in self.workers().into_iter().enumerate() {
            add(format!("40-workers-{number:03}.json"), text);
        }
        for number in 0..self.firms {
            add(format!("50-{}.json", firm(number)), self.firm(number));
        }
        files
    }

    /// Returns the site that the files describe.
    ///
    /// # Errors
    ///
    /// Returns the report of the check if a file is invalid.
    pub fn site(&self) -> Result<Arc<Site>, settings::Report> {
        Ok(Arc::new(settings::parse(&self.files())?.site))
    }

    fn data_centres(&self) -> Value {
        let named = |i| {
            (data_centre(i), json!({ "region": format!("region-{}", i / DATA_CENTRES_PER_REGION) }))
        };
        let all: serde_json::Map<_, _> = (0..self.data_centres).map(named).collect();
        let pairs = (0..self.data_centres).flat_map(|a| (0..a).map(move |b| (a, b)));
        let link = |(a, b): (usize, usize)| {
            let latency = if a / DATA_CENTRES_PER_REGION == b / DATA_CENTRES_PER_REGION {
                REGION_LATENCY
            } else {
                INTER_REGION_LATENCY
            };
            let between = [data_centre(a), data_centre(b)];
            (format!("link-{b}-{a}"), json!({ "between": between, "latency": latency }))
        };
        let links: serde_json::Map<_, _> = pairs.map(link).collect();
        json!({ "data-centres": all, "links": links })
    }

    fn executors(&self) -> Vec<Value> {
        let executors = spread(self.executors, self.data_centres);
        let text = |(dc, range): (usize, std::ops::Range<usize>)| {
            let key = format!("executor-{dc}-{}", number_range(&range));
            let executor = json!({
                "data-centre": data_centre(dc),
                "address": format!("10.{dc}.0.1:{}+", 1_000 + range.start),
                "service": CHECK,
            });
            json!({ "executors": { key: executor } })
        };
        executors.into_iter().map(text).collect()
    }

    fn workers(&self) -> Vec<Value> {
        let batches = spread(self.workers, self.data_centres);
        batches.into_iter().map(|(dc, range)| self.batch(dc, range)).collect()
    }

    fn batch(&self, dc: usize, range: std::ops::Range<usize>) -> Value {
        let first = range.start;
        let rack = format!("rack-{dc}-{}", first / ENDPOINTS_PER_FILE);
        let worker = |address: String| {
            json!({
                "data-centre": data_centre(dc),
                "rack": rack,
                "address": address,
                "cores": "64",
                "memory": "256GiB",
            })
        };
        let port = |number| 10_000 + number;
        let workers: serde_json::Map<_, _> = match self.style {
            Style::Numbered => {
                let key = format!("worker-{dc}-{}", number_range(&range));
                [(key, worker(format!("10.{dc}.0.2:{}+", port(first))))].into_iter().collect()
            }
            Style::WrittenOut => range
                .map(|i| {
                    (format!("worker-{dc}-{i:04}"), worker(format!("10.{dc}.0.2:{}", port(i))))
                })
                .collect(),
        };
        json!({ "workers": workers })
    }

    fn firm(&self, number: usize) -> Value {
        let name = firm(number);
        let mut contracts = serde_json::Map::new();
        for (service, quota) in [(CHECK, None), (REPORT, self.quota)] {
            let mut contract = json!({ "firm": name, "service": service });
            if let Some(quota) = quota {
                contract["quota"] = quota.into();
            }
            contracts.insert(format!("{name}-{service}"), contract);
        }
        let digest = format!("{number:064x}");
        let description = json!({
            "weight": 1,
            "key-digests": { "first": digest },
            "crews": { "one": { "weight": 1 }, "two": { "weight": 2 } },
        });
        json!({ "firms": { name: description }, "contracts": contracts })
    }
}

fn services() -> Value {
    let report = json!({
        "place": "workers",
        "repeatable": true,
        "needs": { "cores": "1", "memory": "1GiB" },
    });
    json!({ "services": { CHECK: { "place": "executors", "repeatable": true }, REPORT: report } })
}

/// Spreads `count` items evenly over the data centres and splits the numbers of each into batches.
fn spread(count: usize, data_centres: usize) -> Vec<(usize, std::ops::Range<usize>)> {
    let local_count = |dc: usize| (count + data_centres - 1 - dc) / data_centres;
    let batches = |dc: usize| {
        let end = local_count(dc);
        (0..end)
            .step_by(ENDPOINTS_PER_FILE)
            .map(move |first| (dc, first..end.min(first + ENDPOINTS_PER_FILE)))
    };
    (0..data_centres).flat_map(batches).collect()
}

/// Formats a range as numbered names write it: `{0000..0063}`.
fn number_range(range: &std::ops::Range<usize>) -> String {
    format!("{{{:04}..{:04}}}", range.start, range.end - 1)
}
