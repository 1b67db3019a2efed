//! Counts what happens in a run.

use crate::{
    case::{Case, Fault},
    workload::{load::Job, model::ENTRIES},
    world::{Endpoint, LEAVING_ENDPOINTS, Start, State},
};
use dispatch::Message;
use site::{
    id::SubmissionId,
    service::Place,
    submission::{Answer, Failure, Outcome, Reason},
    unit::{Resources, Span, Time},
};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Length of a bucket in which run time is counted.
pub(crate) const BUCKET: Span = Span::from_millis(100);
/// Number of buckets in a fairness window: 2 s.
const FAIRNESS_WINDOW_BUCKETS: usize = 20;
/// Time after the notice of leaving during which an executor may still get work.
const LEAVING_START_GRACE: Span = Span::from_secs(3);

/// Counts of a run.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Response time of each job that completed.
    pub(crate) responses: BTreeMap<usize, Span>,
    pub(crate) refused_jobs: u64,
    pub(crate) failed_jobs: u64,
    pub(crate) cancelled_jobs: u64,
    /// Starts sent; `refused_starts` were refused or not connected, `done` ran without failure.
    pub(crate) starts: u64,
    pub(crate) refused_starts: u64,
    pub(crate) done: u64,
    /// Messages between entries except heartbeats, and orders that end attempts.
    pub(crate) messages: u64,
    pub(crate) heartbeats: u64,
    /// Tasks of jobs that ran more than once.
    pub(crate) doubled: u64,
    /// Calls to the platform.
    pub(crate) claims: u64,
    /// Longest time from the decision to reject a submission until its answer.
    pub(crate) refusal: Span,
    /// Starts on leaving executors later than allowed.
    pub(crate) late_starts: u64,
    /// Starts lost to each black hole before its isolation; `probes` counts all later ones.
    lost: BTreeMap<usize, u64>,
    probes: u64,
    /// Starts after which a worker's usage exceeds its capacity; `peak` is the largest usage as a
    /// fraction of the capacity.
    pub(crate) overcommitted: u64,
    peak: f64,
    /// Run time of each job's tasks within the run.
    worked: BTreeMap<usize, u64>,
    /// Run time of each firm in each bucket.
    service: Vec<Vec<u64>>,
    /// Whether each firm had pending tasks at the end of each bucket.
    demand: Vec<Vec<bool>>,
    /// Tasks of open jobs that never ran, by job; `waiting` counts them by firm.
    left: HashMap<usize, usize>,
    waiting: Vec<usize>,
    ran: HashSet<(usize, usize)>,
    /// Time at which each submission was rejected.
    refusals: HashMap<SubmissionId, Time>,
}

impl Tally {
    /// Counts a job that arrives.
    pub(crate) fn submit(&mut self, number: usize, job: &Job) {
        self.left.insert(number, job.tasks.len());
        self.waiting.resize(self.waiting.len().max(job.firm + 1), 0);
        self.waiting[job.firm] += job.tasks.len();
    }

    pub(crate) fn send(&mut self, message: &Message) {
        match message {
            Message::Heartbeat(_) => self.heartbeats += 1,
            _ => self.messages += 1,
        }
    }

    /// Records the decision to reject a submission.
    pub(crate) fn refuse(&mut self, id: SubmissionId, now: Time) {
        self.refusals.entry(id).or_insert(now);
    }

    /// Counts a start that is sent.
    pub(crate) fn start(&mut self, case: &Case, start: &Start) {
        let leaving =
            case.faults.contains(&Fault::Leaving) && LEAVING_ENDPOINTS.contains(&start.endpoint);
        self.starts += 1;
        self.late_starts +=
            u64::from(leaving && start.sent > case.fault_start() + LEAVING_START_GRACE);
    }

    /// Counts a task that runs on `endpoint` from `now` on.
    pub(crate) fn run(
        &mut self,
        case: &Case,
        start: &Start,
        job: &Job,
        endpoint: &Endpoint,
        now: Time,
        run_time: Span,
    ) {
        if endpoint.state == State::BlackHole {
            *self.lost.entry(start.endpoint).or_default() += u64::from(!start.probe);
            self.probes += u64::from(start.probe);
        }
        let again = !self.ran.insert((start.job, start.index));
        self.doubled += u64::from(again && job.tasks.len() > 1);
        if let Some(left) = self.left.get_mut(&start.job).filter(|_| !again) {
            *left -= 1;
            self.waiting[job.firm] -= 1;
        }
        let within = run_time.min((Time(0) + case.length).since(now));
        *self.worked.entry(start.job).or_default() += within.0;
        self.serve(job.firm, now.0, now.0 + within.0);
        let part = used_fraction(&endpoint.used, &case.model.worker);
        self.overcommitted += u64::from(part > 1.0);
        self.peak = self.peak.max(part);
    }

    fn serve(&mut self, firm: usize, mut from: u64, until: u64) {
        while from < until {
            let bucket = (from / BUCKET.0) as usize;
            let to = ((bucket as u64 + 1) * BUCKET.0).min(until);
            self.service.resize(self.service.len().max(bucket + 1), Vec::new());
            let firms = &mut self.service[bucket];
            firms.resize(firms.len().max(firm + 1), 0);
            firms[firm] += to - from;
            from = to;
        }
    }

    /// Records at the end of a bucket which firms have pending tasks.
    pub(crate) fn sample(&mut self) {
        self.demand.push(self.waiting.iter().map(|tasks| *tasks > 0).collect());
    }

    /// Counts the answer to a job.
    pub(crate) fn answer(
        &mut self,
        number: usize,
        job: &Job,
        id: SubmissionId,
        answer: &Answer,
        now: Time,
    ) {
        self.waiting[job.firm] -= self.left.remove(&number).unwrap_or(0);
        let Answer::Failed(Failure { outcome, reason, .. }) = answer else {
            self.responses.insert(number, now.since(job.at));
            return;
        };
        match (outcome, reason) {
            (_, Reason::Cancelled) => self.cancelled_jobs += 1,
            (Outcome::NotRun, _) => {
                self.refused_jobs += 1;
                let decided = self.refusals.get(&id).copied().unwrap_or(now);
                self.refusal = self.refusal.max(now.since(decided));
            }
            _ => self.failed_jobs += 1,
        }
    }

    /// Returns the number of jobs with an answer of any kind.
    pub(crate) fn answered(&self) -> u64 {
        let failed = self.refused_jobs + self.failed_jobs + self.cancelled_jobs;
        self.responses.len() as u64 + failed
    }

    /// Returns the run time of completed jobs that lies within the run.
    pub(crate) fn useful(&self) -> u64 {
        self.responses.keys().filter_map(|job| self.worked.get(job)).sum()
    }

    /// Returns the messages beyond one start and one answer per task that ran.
    pub(crate) fn wasted(&self) -> f64 {
        let extra = 2 * (self.starts - self.done) + self.messages;
        extra as f64 / self.done.max(1) as f64
    }

    /// Returns the maximum number of starts that one black hole lost before it was isolated.
    pub(crate) fn max_lost_starts(&self) -> u64 {
        self.lost.values().copied().max().unwrap_or(0)
    }

    /// Returns the smallest fraction of its weighted share that a firm got in a window in which it
    /// always had pending tasks, and the number of such windows. The shares are of what all firms
    /// got.
    pub(crate) fn min_weighted_share(&self, weights: &[u32]) -> (f64, usize) {
        let total = f64::from(weights.iter().sum::<u32>());
        let buckets = self.service.len().min(self.demand.len());
        let mut shares = Vec::new();
        for from in 0..buckets.saturating_sub(FAIRNESS_WINDOW_BUCKETS) {
            let service = &self.service[from..from + FAIRNESS_WINDOW_BUCKETS];
            let demand = &self.demand[from..from + FAIRNESS_WINDOW_BUCKETS];
            let all: u64 = service.iter().flatten().sum();
            for (firm, weight) in weights.iter().enumerate() {
                if demand.iter().all(|firms| firms.get(firm) == Some(&true)) {
                    let got: u64 = service.iter().filter_map(|firms| firms.get(firm)).sum();
                    shares.push(got as f64 / (all as f64 * f64::from(*weight) / total));
                }
            }
        }
        (shares.iter().copied().fold(f64::INFINITY, f64::min), shares.len())
    }

    /// Returns the figures that only apply to this kind of case.
    pub(crate) fn notes(&self, case: &Case) -> String {
        let mut notes = Vec::new();
        let beats = self.heartbeats as f64 / (case.end().0 as f64 / 1e6) / ENTRIES as f64;
        for fault in &case.faults {
            notes.extend(match fault {
                Fault::None if beats > 0.0 => Some(format!("{beats:.1} heartbeats/s an entry")),
                Fault::Leaving => Some(format!("{} starts after 3 s", self.late_starts)),
                Fault::Platform => Some(format!("{} calls to the platform", self.claims)),
                Fault::BlackHoles => Some(format!(
                    "at most {} lost by one, {} probes",
                    self.max_lost_starts(),
                    self.probes
                )),
                Fault::Fair => {
                    let (least, windows) = self.min_weighted_share(&case.model.weights);
                    Some(format!("least share {:.1}% of {windows} windows", 100.0 * least))
                }
                _ => None,
            });
        }
        if self.refused_jobs > 0 && !self.refusals.is_empty() {
            notes.push(format!("refused within {}", self.refusal));
        }
        if self.doubled > 0 {
            notes.push(format!("{} tasks of jobs ran twice", self.doubled));
        }
        if case.model.place == Place::Workers {
            let part = 100.0 * self.overcommitted as f64 / self.starts as f64;
            notes.push(format!("{part:.2}% of starts over, peak {:.0}%", 100.0 * self.peak));
        }
        notes.join("; ")
    }
}

/// Returns the larger of the used fractions of a worker's cores and memory.
fn used_fraction(used: &Resources, worker: &Resources) -> f64 {
    let cores = f64::from(used.cores.0) / f64::from(worker.cores.0);
    let memory = used.memory.0 as f64 / worker.memory.0 as f64;
    cores.max(memory)
}
