//! Shares follow weights on every level, whatever the costs of tasks are.

use fairness::{JobKey, Key, Queue};
use proptest::prelude::*;
use site::{
    id::{CrewId, FirmId},
    unit::{Slots, Span, Weight},
};
use std::collections::BTreeMap;

const MS: fn(u64) -> Span = Span::from_millis;

fn key(firm: u64, crew: u64, job: u64) -> Key {
    Key {
        firm: FirmId(firm),
        crew: CrewId(crew),
        job: JobKey(firm * 1_000_000 + crew * 1_000 + job),
    }
}

/// Returns the service by `of` key in `pops` pops of tasks that finish immediately at their
/// declared cost.
fn serve(queue: &mut Queue<Span>, pops: usize, of: impl Fn(Key) -> u64) -> BTreeMap<u64, u64> {
    let mut served = BTreeMap::new();
    for _ in 0..pops {
        let Some((key, cost)) = queue.pop() else { break };
        queue.finish(key.firm, key.crew, cost, cost);
        *served.entry(of(key)).or_default() += cost.0;
    }
    served
}

proptest! {
    #[test]
    fn firms_are_served_by_weight(
        weights in prop::collection::vec(1_u32..10, 2..6),
        costs in prop::collection::vec(1_u64..100, 6),
    ) {
        let mut queue = Queue::new();
        for (firm, &weight) in weights.iter().enumerate() {
            queue.set_firm_weight(FirmId(firm as u64), Weight(weight));
            let cost = MS(costs[firm]);
            (0..5_000).for_each(|_| queue.push(key(firm as u64, 0, 0), cost, cost));
        }
        let served = serve(&mut queue, 4_000, |key| key.firm.0);
        // Firms differ by at most one task each, relative to their weight.
        let shares: Vec<_> = (0..weights.len())
            .map(|firm| served.get(&(firm as u64)).copied().unwrap_or(0) as f64 / f64::from(weights[firm]))
            .collect();
        let slack: Vec<_> = (0..weights.len())
            .map(|firm| MS(costs[firm]).0 as f64 / f64::from(weights[firm]))
            .collect();
        for a in 0..shares.len() {
            for b in 0..shares.len() {
                prop_assert!(shares[a] - shares[b] <= slack[a] + slack[b] + 1.0);
            }
        }
    }

    #[test]
    fn no_quota_is_exceeded_and_counts_agree(
        steps in prop::collection::vec((0_u8..6, 0_u64..4, 0_u64..3), 1..400),
        quota in 1_u32..5,
    ) {
        let mut queue = Queue::new();
        queue.set_quota(FirmId(0), Some(Slots(quota)));
        queue.set_quota(FirmId(1), Some(Slots(quota)));
        let mut remote = 0;
        let mut queued = BTreeMap::<JobKey, usize>::new();
        let mut running: Vec<(Key, Span)> = Vec::new();
        for (step, firm, job) in steps {
            let key = key(firm, job % 2, job);
            match step {
                0 | 1 => {
                    queue.push(key, MS(job + 1), MS(job + 1));
                    *queued.entry(key.job).or_default() += 1;
                }
                2 | 3 => {
                    if let Some((key, cost)) = queue.pop() {
                        *queued.entry(key.job).or_default() -= 1;
                        running.push((key, cost));
                        let others = if key.firm == FirmId(1) { remote } else { 0 };
                        let count = running.iter().filter(|(k, _)| k.firm == key.firm).count();
                        prop_assert!(key.firm.0 > 1 || count + others <= quota as usize);
                    }
                }
                4 => {
                    if let Some((key, cost)) = running.pop() {
                        queue.finish(key.firm, key.crew, cost, MS(job * 2));
                    }
                    remote = job as usize;
                    queue.set_remote_running(FirmId(1), Slots(job as u32));
                }
                _ => {
                    let count = queued.remove(&key.job).unwrap_or(0);
                    prop_assert_eq!(queue.cancel_job(key.job), count);
                }
            }
            prop_assert_eq!(queue.len(), queued.values().sum::<usize>());
            for firm in 0..4 {
                let count = running.iter().filter(|(k, _)| k.firm.0 == firm).count();
                prop_assert_eq!(queue.firm_running(FirmId(firm)), count);
            }
            prop_assert_eq!(
                queue.backlogs().map(|(_, queued, _)| queued).sum::<usize>(),
                queue.len()
            );
        }
    }
}

#[test]
fn crews_share_the_capacity_of_their_firm() {
    let mut queue = Queue::new();
    queue.set_crew_weight(FirmId(0), CrewId(1), Weight(3));
    for task in 0..2_000 {
        queue.push(key(0, 0, 0), MS(10), MS(10));
        queue.push(key(0, 1, 0), MS(10), MS(10));
        queue.push(key(0, 1, 1), MS(10), MS(10));
        queue.push(key(1, 0, task), MS(10), MS(10));
    }
    let served = serve(&mut queue, 800, |key| key.job.0.min(1_000_000));
    let of = |job: u64| served.get(&job).copied().unwrap_or(0) / MS(10).0;
    assert!(of(0).abs_diff(100) <= 2, "crew of weight 1: {served:?}");
    let both = of(1_000) + of(1_001);
    assert!(both.abs_diff(300) <= 2, "the jobs of the crew of weight 3: {served:?}");
    assert!(of(1_000_000).abs_diff(400) <= 2, "the other firm: {served:?}");
}

#[test]
fn a_small_job_is_served_before_a_large_one_of_its_crew() {
    let mut queue = Queue::new();
    (0..500).for_each(|_| queue.push(key(0, 0, 0), MS(10), MS(10)));
    serve(&mut queue, 100, |key| key.job.0);
    queue.push(key(0, 0, 1), MS(10), MS(10));
    assert_eq!(queue.pop().map(|(key, _)| key.job), Some(JobKey(1)));
}

/// Later jobs overtake a job of 50 tasks by at most twice its work, however many arrive.
#[test]
fn later_jobs_overtake_a_large_job_by_a_bounded_amount() {
    let mut queue = Queue::new();
    (0..50).for_each(|_| queue.push(key(0, 0, 0), MS(10), MS(10)));
    let mut before = 0;
    for job in 1..10_000 {
        queue.push(key(0, 0, job), MS(10), MS(10));
        let (key, _) = queue.pop().expect("a task was queued");
        if key.job == JobKey(0) {
            break;
        }
        before += 1;
    }
    assert!((98..=100).contains(&before), "{before} tasks of later jobs were served first");
}

#[test]
fn a_boosted_job_is_served_before_one_that_was_next() {
    let mut queue = Queue::new();
    (0..50).for_each(|_| queue.push(key(0, 0, 0), MS(10), MS(10)));
    serve(&mut queue, 49, |key| key.job.0);
    (1..=200).for_each(|job| queue.push(key(0, 0, job), MS(10), MS(10)));
    serve(&mut queue, 100, |key| key.job.0);
    queue.push(key(0, 0, 300), MS(10), MS(10));
    queue.boost(JobKey(300), MS(5_000));
    assert_eq!(queue.pop().map(|(key, _)| key.job), Some(JobKey(300)));
}

#[test]
fn more_jobs_give_a_firm_no_larger_share() {
    let mut queue = Queue::new();
    (0..500).for_each(|job| queue.push(key(0, 0, job), MS(5), MS(5)));
    (0..500).for_each(|_| queue.push(key(1, 0, 0), MS(5), MS(5)));
    let served = serve(&mut queue, 200, |key| key.firm.0);
    assert!(served[&0].abs_diff(served[&1]) <= MS(5).0, "{served:?}");
}

#[test]
fn idle_time_earns_no_credit() {
    let mut queue = Queue::new();
    (0..10_000).for_each(|_| queue.push(key(0, 0, 0), MS(10), MS(10)));
    queue.push(key(1, 0, 0), MS(10), MS(10));
    serve(&mut queue, 1_000, |key| key.firm.0);
    (0..1_000).for_each(|_| queue.push(key(1, 0, 0), MS(10), MS(10)));
    let served = serve(&mut queue, 100, |key| key.firm.0);
    assert!(served[&0].abs_diff(served[&1]) <= MS(10).0, "{served:?}");
}

#[test]
fn a_refund_for_work_before_an_idle_time_earns_no_credit() {
    let mut queue = Queue::new();
    queue.push(key(1, 0, 0), Span::from_secs(60), MS(0));
    queue.pop();
    (0..1_000).for_each(|_| queue.push(key(0, 0, 0), MS(10), MS(10)));
    (0..1_000).for_each(|_| queue.push(key(1, 0, 0), MS(10), MS(10)));
    queue.finish(FirmId(1), CrewId(0), Span::from_secs(60), MS(10));
    let served = serve(&mut queue, 100, |key| key.firm.0);
    assert!(served[&0].abs_diff(served[&1]) <= MS(10).0, "{served:?}");
}

#[test]
fn firms_are_charged_for_measured_instead_of_declared_time() {
    let mut queue = Queue::new();
    for _ in 0..20_000 {
        queue.push(key(0, 0, 0), MS(1), MS(10));
        queue.push(key(1, 0, 0), MS(100), MS(10));
    }
    let mut served = [0_u64; 2];
    for _ in 0..4_000 {
        let (key, measured) = queue.pop().expect("both firms are backlogged");
        let declared = if key.firm == FirmId(0) { MS(1) } else { MS(100) };
        queue.finish(key.firm, key.crew, declared, measured);
        served[key.firm.0 as usize] += 1;
    }
    assert!(served[0].abs_diff(served[1]) <= 40, "{served:?}");
}

#[test]
fn usage_at_other_entries_is_charged() {
    let mut queue = Queue::new();
    (0..1_000).for_each(|_| queue.push(key(0, 0, 0), MS(10), MS(10)));
    (0..1_000).for_each(|_| queue.push(key(1, 0, 0), MS(10), MS(10)));
    queue.charge(FirmId(0), MS(1_000));
    let served = serve(&mut queue, 300, |key| key.firm.0);
    assert!((served[&0] + MS(1_000).0).abs_diff(served[&1]) <= MS(10).0, "{served:?}");
}
