//! A case of the measurements: site, load, policy and injected faults.

use crate::{
    baselines::Policy,
    workload::{load::JOB_DEADLINE, model::Model},
};
use clap::ValueEnum;
use site::unit::{Span, Time};

/// Time after the last deadline during which answers may still arrive.
const ANSWER_GRACE: Span = Span::from_secs(10);

/// A fault or special condition of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Fault {
    None,
    /// 5 of 50 endpoints refuse connections.
    Dead,
    /// 2 endpoints fail every task at once.
    BlackHoles,
    /// 5 of 50 endpoints take 5 times as long.
    Stragglers,
    /// For a second, 10 times as many jobs.
    Burst,
    /// Half the open jobs are cancelled.
    Cancel,
    /// Callers declare a tenth or ten times the run time, cores and memory.
    Hints,
    /// The data centre of the entry that places loses its links for 10 s.
    Cut,
    /// The entry that places is killed.
    Kill,
    /// The entry that places does nothing for 5 s.
    Freeze,
    /// The first firm sends 10 times as much; firms have weights 1, 1, 2, 4.
    Fair,
    /// 5 executors are listed as leaving.
    Leaving,
    /// The platform sends no events during the whole run, as in every other case.
    Platform,
}

impl Fault {
    /// Returns whether the fault is present for the whole run.
    pub(crate) fn is_permanent(self) -> bool {
        matches!(self, Fault::Dead | Fault::BlackHoles | Fault::Stragglers)
    }
}

/// The configuration of a run.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) model: Model,
    pub(crate) load: u32,
    pub(crate) faults: Vec<Fault>,
    pub(crate) policy: Policy,
    pub(crate) length: Span,
    pub(crate) seed: u64,
}

impl Case {
    /// Returns the time at which faults that are not present for the whole run begin.
    pub(crate) fn fault_start(&self) -> Time {
        Time(self.length.0 / 2)
    }

    /// Returns the time by which every job has its answer.
    pub(crate) fn end(&self) -> Time {
        Time(0) + self.length + JOB_DEADLINE + ANSWER_GRACE
    }

    pub(crate) fn site_label(&self) -> String {
        format!("{:?}", self.model.name).to_lowercase()
    }

    pub(crate) fn fault_label(&self) -> String {
        let faults: Vec<_> = self.faults.iter().map(|fault| format!("{fault:?}")).collect();
        faults.join("+").to_lowercase()
    }

    /// Returns the factor on the arrival rate.
    pub(crate) fn arrival_factor(&self, now: Time) -> f64 {
        let from = self.fault_start();
        let inside = from <= now && now < from + Span::from_secs(1);
        if inside && self.faults.contains(&Fault::Burst) { 10.0 } else { 1.0 }
    }
}
