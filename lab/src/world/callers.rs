//! Callers: what they hand in, what they are told, when they come again.

use super::{
    ANSWER_SLACK_US, BEGIN_US, CALLER_WAY_US, Caller, Outcome, RESEND_US, Record, Step, Work,
    World,
    arrival::job_at,
    layout::{needs, service},
};
use rand::Rng;
use runs::{Event, Job, job::Answer};
use site::{
    id::WaiterId,
    unit::{Resources, Span, Time},
};

impl World {
    pub(super) fn begin_traffic(&mut self) {
        let Some(arrivals) = self.plan.arrivals.clone() else {
            return self.at(Time(BEGIN_US), Step::Submit);
        };
        for (number, arrival) in arrivals.iter().enumerate() {
            let work = Work { lengths: arrival.lengths.clone(), needs: arrival.job.needs };
            self.works.insert(arrival.job.name.clone(), work);
            let (after, outcome) = (Span::ZERO, Outcome::Open);
            self.records.push(Record { arrival: number, outcome, after, had_room: false });
            let at = Time(BEGIN_US + arrival.at.0 + CALLER_WAY_US);
            self.at(at, Step::Arrive(number));
        }
    }

    pub(super) fn arrive(&mut self, number: usize) {
        let arrival = self.plan.arrivals.as_ref().map(|arrivals| arrivals[number].clone());
        if let Some(arrival) = arrival {
            self.submit(job_at(&arrival.job, self.now), Some(number));
        }
    }

    /// The entries that take callers, those of the caller's data centre if there are any.
    fn entries_for(&self, arrival: Option<usize>) -> Vec<usize> {
        let up: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.is_up(*node) && !self.nodes[*node].exited)
            .collect();
        let Some(arrival) = arrival.and_then(|number| self.plan.arrivals.as_ref()?.get(number))
        else {
            return up;
        };
        let near = |node: &usize| self.plan.zone_of_entry(*node) == arrival.zone;
        let near: Vec<_> = up.iter().copied().filter(near).collect();
        let candidates = if near.is_empty() { up } else { near };
        let chosen = candidates.get(arrival.client % candidates.len().max(1)).copied();
        chosen.into_iter().collect()
    }

    pub(super) fn submit_fresh(&mut self) {
        let gap = 1_000_000 / self.plan.rate;
        let end = self.end_us();
        if self.now.0 + gap < end {
            let gap = self.random.random_range(gap / 2..gap * 3 / 2);
            self.after(gap, Step::Submit);
        }
        self.next_job += 1;
        let name = format!("{:016x}", self.next_job * 977);
        let digits = self.next_job * 977;
        let (tasks, ms) = [(8, 60), (2, 200), (2, 200), (4, 900)][(digits % 4) as usize];
        let estimate = Span::from_millis(ms * self.random.random_range(60..140) / 100);
        let objective = Span(estimate.0 * 8 / 5 + 60_000);
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
            give_up: self.now + Span(objective.0 * 3),
            first_run: 1,
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
        let caller = Caller { node, job: job.clone(), arrival, answered: false, left: false };
        self.callers.insert(waiter, caller);
        self.feed(node, Event::Submit { waiter: WaiterId(waiter), job });
    }

    pub(super) fn answer(&mut self, waiter: WaiterId, answer: Answer) {
        let Some(caller) = self.callers.get_mut(&waiter.0) else { panic!("no such caller") };
        if caller.left {
            return;
        }
        assert!(!caller.answered, "a second answer");
        caller.answered = true;
        let frozen = self.nodes[caller.node].frozen_until.0 + 1_000_000 > self.now.0;
        let job = caller.job.clone();
        assert!(
            frozen || self.now.0 <= job.give_up.0 + ANSWER_SLACK_US,
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
            Answer::Rejected { .. } => {
                // A caller whose first try broke knows that it may have run.
                if self.broken.contains(job.name.as_str()) {
                    return;
                }
                let starts = self.started.get(job.name.as_str());
                assert!(starts.is_none(), "{} is refused after {starts:?} starts", job.name);
                self.refused.insert(job.name.to_string());
            }
            Answer::GivenUp | Answer::Failed => {}
        }
    }

    fn record(&mut self, number: usize, answer: Answer) {
        let Some(arrival) = self.plan.arrivals.as_ref().and_then(|all| all.get(number)) else {
            return;
        };
        let after = Span(self.now.0 + CALLER_WAY_US - BEGIN_US - arrival.at.0);
        let outcome = match answer {
            Answer::Completed => Outcome::completed(after, arrival.objective),
            Answer::Failed => Outcome::Failed,
            Answer::GivenUp => Outcome::GivenUp,
            Answer::Rejected { .. } => Outcome::Refused,
        };
        let wanted = u32::from(arrival.job.tasks);
        let needs = arrival.job.needs;
        let had_room =
            outcome == Outcome::Refused && self.room(&needs) >= wanted + self.waiting_tasks();
        self.records[number] = Record { arrival: number, outcome, after, had_room };
    }

    /// Tasks of jobs that were taken in and have not begun.
    fn waiting_tasks(&self) -> u32 {
        let open = self.callers.values().filter(|caller| !caller.answered && !caller.left);
        let waiting = |caller: &Caller| {
            let begun = self.started.get(caller.job.name.as_str()).copied().unwrap_or_default();
            u64::from(caller.job.tasks).saturating_sub(begun) as u32
        };
        open.map(waiting).sum()
    }

    /// How many such tasks the executors could start now.
    fn room(&mut self, needs: &Resources) -> u32 {
        let now = self.now;
        let sound =
            self.slots.iter_mut().filter(|slot| slot.fake.up && slot.fake.unresponsive_until < now);
        sound
            .map(|slot| {
                slot.fake.end_due_runs(now);
                slot.fake.free().max_tasks(needs)
            })
            .sum()
    }

    /// A process is gone: its callers see a break and come again.
    pub(super) fn lose(&mut self, node: usize) {
        let mut again = Vec::new();
        for caller in self.callers.values_mut() {
            if caller.node == node && !caller.answered && !caller.left {
                caller.left = true;
                let mut job = caller.job.clone();
                job.first_run += 20;
                self.broken.insert(job.name.to_string());
                again.push((job, caller.arrival));
            }
        }
        for (mut job, arrival) in again {
            // Long patience, so that a second try meets what is left of the first one.
            job.give_up = Time(self.now.0 + RESEND_US + 3_000_000);
            self.after(RESEND_US, Step::Again(job, arrival));
        }
    }
}
