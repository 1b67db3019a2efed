//! Description of the machine and the time of a run of measurements.

use serde::{Deserialize, Serialize};
use std::{fs, thread, time::SystemTime};

/// Machine that a run of measurements was made on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Machine {
    /// Model name of the processor; `unknown` if /proc/cpuinfo has none.
    pub processor: String,
    /// Hardware threads available to the process; 0 if unknown.
    pub threads: usize,
    /// One-minute load average at the start of the run, since others use the machine too.
    pub load: String,
    /// Start of the run, in seconds since the Unix epoch.
    pub began: u64,
}

impl Machine {
    /// Describes this machine at the current time.
    pub fn read() -> Machine {
        let cpu_info = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
        let model = cpu_info.lines().find_map(|line| line.strip_prefix("model name"));
        let processor = model.and_then(|rest| rest.split_once(':')).map_or("unknown", |(_, n)| n);
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let began = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Machine {
            processor: processor.trim().into(),
            threads: thread::available_parallelism().map_or(0, usize::from),
            load: load.split(' ').next().unwrap_or_default().into(),
            began: began.map_or(0, |since| since.as_secs()),
        }
    }

    /// Returns the day of the run in UTC as `YYYY-MM-DD`.
    pub fn date(&self) -> String {
        let days = self.began / 86_400;
        let (mut year, mut left) = (1970, days);
        while left >= days_in_year(year) {
            left -= days_in_year(year);
            year += 1;
        }
        let mut month = 0;
        while left >= days_in_month(year, month) {
            left -= days_in_month(year, month);
            month += 1;
        }
        format!("{year}-{:02}-{:02}", month + 1, left + 1)
    }
}

fn days_in_year(year: u64) -> u64 {
    (0..12).map(|month| days_in_month(year, month)).sum()
}

fn days_in_month(year: u64, month: usize) -> u64 {
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    match month {
        1 if leap => 29,
        1 => 28,
        3 | 5 | 8 | 10 => 30,
        _ => 31,
    }
}
