//! Simulated callers: submits their jobs, checks and records the answers, and retries after a lost
//! connection.

use super::{
    ANSWER_TOLERANCE_US, Arrival, CALLER_DELAY_US, Caller, FIRST_JOB_US, JobKind, LEAVE_DELAY_US,
    Node, Outcome, RESEND_DELAY_US, Record, SECOND_US, Simulation, Step, Work,
    arrival::job_at,
    layout::{needs, service},
};
use rand::Rng;
use runs::{
    Event, Job,
    job::{Answer, Stretch},
};
use site::{
    id::WaiterId,
    unit::{Resources, Span, Time},
};

/// Upper bound of the estimates of generated jobs, in percent of the shortest length of their tasks.
pub(super) const MAX_ESTIMATE_PERCENT: u64 = 140;

/// Returns the objective of a generated job, by its estimate in microseconds.
pub(super) fn objective(estimate_us: u64) -> Span {
    Span(estimate_us * 8 / 5 + 60_000)
}

impl Simulation {
    pub(super) fn schedule_arrivals(&mut self) {
        let Some(arrivals) = self.plan.arrivals.clone() else {
            return self.at(Time(FIRST_JOB_US), Step::Submit);
        };
        for (number, arrival) in arrivals.iter().enumerate() {
            let work = Work { lengths: arrival.lengths.clone(), needs: arrival.job.needs };
            self.works.insert(arrival.job.name.clone(), work);
            self.records.push(Record {
                arrival: number,
                outcome: Outcome::Open,
                after: Span::ZERO,
                had_room: false,
                retries: 0,
            });
            let at = Time(FIRST_JOB_US + arrival.at.0 + CALLER_DELAY_US);
            self.at(at, Step::Arrive(number));
        }
    }

    pub(super) fn arrive(&mut self, number: usize) {
        let arrival = self.plan.arrivals.as_ref().map(|arrivals| arrivals[number].clone());
        let Some(Arrival { mut job, lengths, .. }) = arrival else { return };
        let retries = self.records[number].retries;
        if retries > 0 {
            job.name = format!("{}-{retries}", job.name).into();
            self.works.insert(job.name.clone(), Work { lengths, needs: job.needs });
        }
        let second = (self.now.0 - FIRST_JOB_US) / SECOND_US;
        *self.submissions.entry(second).or_default() += 1;
        self.submit(job_at(&job, self.now), Some(number));
    }

    /// Returns the entries that a job may be submitted to: that of its caller, in the caller's data
    /// centre if an entry is up there; any for a generated job.
    fn entries_for(&self, arrival: Option<usize>) -> Vec<usize> {
        let up: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.is_up(*node) && !self.nodes[*node].exited)
            .filter(|node| !self.nodes[*node].is_rolled)
            .collect();
        let Some(arrival) = arrival.and_then(|number| self.plan.arrivals.as_ref()?.get(number))
        else {
            return up;
        };
        let near = |node: &usize| self.plan.data_centre_of_entry(*node) == arrival.data_centre;
        let near: Vec<_> = up.iter().copied().filter(near).collect();
        let candidates = if near.is_empty() { up } else { near };
        let chosen = candidates.get(arrival.caller % candidates.len().max(1)).copied();
        chosen.into_iter().collect()
    }

    pub(super) fn submit_generated(&mut self) {
        let gap = 1_000_000 / self.plan.rate;
        let end = self.end_us();
        if self.now.0 + gap < end {
            let gap = self.random.random_range(gap / 2..gap * 3 / 2);
            self.after(gap, Step::Submit);
        }
        self.next_job += 1;
        let name = format!("{:016x}", self.next_job * 977);
        let digits = self.next_job * 977;
        let kinds = &self.plan.kinds;
        let JobKind { tasks, ms } = kinds[digits as usize % kinds.len()];
        let percent = self.random.random_range(60..MAX_ESTIMATE_PERCENT);
        let estimate = Span::from_millis(ms * percent / 100);
        let objective = objective(estimate.0);
        let job = Job {
            name: name.into(),
            request: "".into(),
            spec: "x".into(),
            tasks,
            needs: needs(),
            label: None,
            per_executor: None,
            estimate,
            service: service(),
            priority: 0,
            max_failures: 4,
            due: self.now + objective,
            give_up: self.now + self.plan.wait_ms.map_or(Span(objective.0 * 3), Span::from_millis),
            first_run: 1,
            stretch: Stretch(160),
            route: None,
        };
        let base = ms * 1_000;
        let length = Span(base + base * (digits % 41) / 100);
        let work = Work { lengths: vec![length; usize::from(tasks)], needs: needs() };
        self.works.insert(job.name.clone(), work);
        self.submit(job, None);
    }

    pub(super) fn submit(&mut self, mut job: Job, arrival: Option<usize>) {
        let up = self.entries_for(arrival);
        if up.is_empty() || job.give_up.0 < self.now.0 {
            return;
        }
        let node = up[self.random.random_range(0..up.len())];
        job.first_run += self.next_job as u32 % 3;
        let waiter = self.callers.len() as u64 + 1;
        let submitted = self.now;
        let caller =
            Caller { node, submitted, job: job.clone(), arrival, answered: false, left: false };
        self.callers.insert(waiter, caller);
        if self.plan.wait_ms.is_some() {
            self.at(job.give_up, Step::GiveUp(waiter));
        }
        self.handle_event(node, Event::Submit { waiter: WaiterId(waiter), job });
    }

    pub(super) fn answer(&mut self, waiter: WaiterId, answer: Answer) {
        let Some(caller) = self.callers.get_mut(&waiter.0) else { panic!("no such caller") };
        if caller.left {
            return;
        }
        assert!(!caller.answered, "a second answer");
        caller.answered = true;
        let frozen = self.nodes[caller.node].frozen_until.0 + 1_000_000 > self.now.0;
        let (job, caller_arrival) = (caller.job.clone(), caller.arrival);
        assert!(
            frozen || self.now.0 <= job.give_up.0 + ANSWER_TOLERANCE_US,
            "{} is answered too late: {} after {}",
            job.name,
            self.now,
            job.give_up
        );
        let name = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::GivenUp => "given-up",
            Answer::Rejected { .. } => "refused",
        };
        *self.answers.entry(name).or_default() += 1;
        if let Some(number) = caller.arrival {
            self.record(number, answer);
        }
        match answer {
            Answer::Completed => {
                for index in 0..job.tasks {
                    let key = (job.name.to_string(), index);
                    assert!(self.done.contains(&key), "{key:?} is complete and has not run");
                }
            }
            Answer::Rejected { retry_after } => {
                // A caller that lost its connection knows that the job may have run.
                if self.broken.contains(job.name.as_str()) {
                    return;
                }
                let starts = self.started.get(job.name.as_str());
                assert!(starts.is_none(), "{} is refused after {starts:?} starts", job.name);
                self.refused.insert(job.name.to_string());
                self.retry(caller_arrival, retry_after);
            }
            Answer::GivenUp | Answer::Failed => {}
        }
    }

    fn record(&mut self, number: usize, answer: Answer) {
        let Some(arrival) = self.plan.arrivals.as_ref().and_then(|all| all.get(number)) else {
            return;
        };
        let after = Span(self.now.0 + CALLER_DELAY_US - FIRST_JOB_US - arrival.at.0);
        let outcome = match answer {
            Answer::Completed => Outcome::completed(after, arrival.objective),
            Answer::Failed => Outcome::Failed,
            Answer::GivenUp => Outcome::GivenUp,
            Answer::Rejected { .. } => Outcome::Refused,
        };
        let wanted = u32::from(arrival.job.tasks);
        let needs = arrival.job.needs;
        let had_room =
            outcome == Outcome::Refused && self.room(&needs) >= wanted + self.pending_tasks();
        let retries = self.records[number].retries;
        self.records[number] = Record { arrival: number, outcome, after, had_room, retries };
    }

    /// Submits a refused job again, as a new one, after the delay that its caller got in whole
    /// seconds, unless no jobs arrive any more then. The result counts from the first submission.
    fn retry(&mut self, arrival: Option<usize>, retry_after: Span) {
        let Some(number) = arrival else { return };
        let seconds = self.plan.retry_after_s.unwrap_or(retry_after.0.div_ceil(SECOND_US));
        let at = Time(self.now.0 + seconds * SECOND_US + 2 * CALLER_DELAY_US);
        if self.records[number].retries >= self.plan.retries || at.0 >= self.end_us() {
            return;
        }
        self.records[number].retries += 1;
        self.at(at, Step::Arrive(number));
    }

    /// Returns the number of tasks of open jobs that have not started.
    fn pending_tasks(&self) -> u32 {
        let open = self.callers.values().filter(|caller| !caller.answered && !caller.left);
        let pending = |caller: &Caller| {
            let begun = self.started.get(caller.job.name.as_str()).copied().unwrap_or_default();
            u64::from(caller.job.tasks).saturating_sub(begun) as u32
        };
        open.map(pending).sum()
    }

    /// Returns how many tasks with these needs the executors could start now.
    fn room(&mut self, needs: &Resources) -> u32 {
        let now = self.now;
        let responsive =
            self.slots.iter_mut().filter(|slot| slot.fake.up && slot.fake.unresponsive_until < now);
        responsive
            .map(|slot| {
                slot.fake.end_due_runs(now);
                slot.fake.free().max_tasks(needs)
            })
            .sum()
    }

    /// A caller that still has no answer leaves, and submits its job again. Its entry sees that later.
    pub(super) fn end_wait(&mut self, waiter: u64) {
        let Some(caller) = self.callers.get_mut(&waiter) else { return };
        if caller.answered || caller.left {
            return;
        }
        caller.left = true;
        let (node, arrival, mut job) = (caller.node, caller.arrival, caller.job.clone());
        let again = self.now + Span(RESEND_DELAY_US);
        let wait = job.give_up.since(caller.submitted);
        job.due = again + job.due.since(caller.submitted);
        job.give_up = again + wait;
        self.broken.insert(job.name.to_string());
        self.at(again, Step::Resubmit(job, arrival));
        let Node { home, frozen_until, .. } = &self.nodes[node];
        let seen = (*frozen_until).max(self.now) + Span(LEAVE_DELAY_US);
        let leave = Event::Leave { waiter: WaiterId(waiter) };
        self.at(seen, Step::HandleEvent(node, home.incarnation, leave));
    }

    /// Ends the connections of a process's callers, who submit their jobs again.
    pub(super) fn disconnect_callers(&mut self, node: usize) {
        let mut resubmissions = Vec::new();
        for caller in self.callers.values_mut() {
            if caller.node == node && !caller.answered && !caller.left {
                caller.left = true;
                let mut job = caller.job.clone();
                job.first_run += 20;
                self.broken.insert(job.name.to_string());
                resubmissions.push((job, caller.arrival));
            }
        }
        for (mut job, arrival) in resubmissions {
            // A late give-up time, so that the second submission meets what is left of the first
            // one.
            job.give_up = Time(self.now.0 + RESEND_DELAY_US + 3_000_000);
            self.after(RESEND_DELAY_US, Step::Resubmit(job, arrival));
        }
    }
}
