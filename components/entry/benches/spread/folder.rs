//! A generated folder of settings, and changes to it.

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use serde_json::json;
use settings::Files;

/// Number of crews of each firm; gives a firm's file about 640 bytes.
const CREWS: usize = 12;

/// Every n-th change adds a file, and the change after it removes the file.
const FILE_CHANGE_PERIOD: usize = 10;

/// A folder of settings with one file for each firm.
#[derive(Debug, Display)]
#[display("{} files, {} bytes", files.len(), files.values().map(Bytes::len).sum::<usize>())]
pub(crate) struct Folder {
    pub(crate) files: Files,
    firms: usize,
    changes: usize,
}

impl Folder {
    /// Creates a folder of `files` files; must be at least 2.
    pub(crate) fn new(files: usize) -> Folder {
        let site = json!({
            "data-centres": { "cutting": { "region": "zilina" }, "office": { "region": "zilina" } },
            "links": { "one": { "between": ["cutting", "office"], "latency": "1400us" } },
            "services": { "templating": { "repeatable": true } },
        });
        let firms = files - 1;
        let named = (0..firms).map(|firm| (name(firm), file(firm, 1)));
        let site = ("10-site.json".into(), Bytes::from(site.to_string()));
        Folder { files: named.chain([site]).collect(), firms, changes: 0 }
    }

    /// Changes the weight of one firm, or adds or removes a file.
    pub(crate) fn change(&mut self) {
        self.changes += 1;
        let firm = self.changes % self.firms;
        match self.changes % FILE_CHANGE_PERIOD {
            0 => drop(self.files.insert(name(self.firms), file(self.firms, 1))),
            1 if self.files.remove(&name(self.firms)).is_some() => {}
            _ => drop(self.files.insert(name(firm), file(firm, 2 + self.changes % 100))),
        }
    }
}

fn name(firm: usize) -> CompactString {
    format!("50-firm-{firm:04}.json").into()
}

fn file(firm: usize, weight: usize) -> Bytes {
    let name = format!("firm-{firm:04}");
    let crew = |crew: usize| (format!("crew-{crew:02}"), json!({ "weight": 1 + crew }));
    let crews: serde_json::Map<_, _> = (0..CREWS).map(crew).collect();
    let text = json!({
        "firms": { &name: {
            "weight": weight, "key-digests": { "first": format!("{firm:064x}") }, "crews": crews,
        } },
        "contracts": { format!("{name}-templating"): { "firm": name, "service": "templating" } },
    });
    Bytes::from(serde_json::to_vec_pretty(&text).expect("it is JSON"))
}
