//! Chooses the keepers that pending tasks are sent to.

use super::{
    Jobs,
    job::{OpenJob, TaskState},
};
use crate::{
    Action, Message,
    action::Decision,
    job::Key,
    message::{PlacedTask, Placement, Room},
    speed::Factor,
};
use membership::rendezvous;
use site::{
    id::Home,
    unit::{Span, Time},
};
use std::cmp::Reverse;

/// A keeper has room to spare for a job if it has room for this many such jobs: other entries may
/// have sent theirs since its report.
const SPARE_JOBS: usize = 2;

/// Keepers whose fastest executors differ by less than this percentage may have the same kind: each
/// measures on its own.
const SAME_PERCENT: u32 = 150;

/// Tasks of a job that are sent to one keeper.
struct Share {
    keeper: Home,
    /// How many such tasks it had room for, by its latest report.
    room: u32,
    tasks: Vec<u16>,
}

/// A keeper that tasks of one job may be sent to.
#[derive(Clone, Copy)]
struct Candidate {
    keeper: Home,
    /// Tasks of the job that can start there at once.
    count: u32,
    /// Tasks that may be queued there beyond that.
    ahead: u32,
}

impl Jobs {
    /// Sends pending tasks to keepers with room, the most urgent job first. `own` is the room of
    /// this entry's executors, `fixed` the part of a run time that does not depend on the task.
    /// Returns the placements for this entry's own executors.
    pub(crate) fn place(
        &mut self,
        now: Time,
        mut own: Room,
        fixed: Span,
        out: &mut Vec<Action>,
    ) -> Vec<Placement> {
        let mut order: Vec<_> = self
            .open
            .values()
            .filter(|open| open.has_pending_now(now) && !open.is_too_late(now))
            .map(|open| open.rank(now, &self.options))
            .collect();
        order.sort_unstable();
        let mut placements = Vec::new();
        for (.., key) in order {
            let Some(open) = self.open.get(&key.number) else { continue };
            let cores = open.job.needs.cores.0;
            let tasks = open.pending(now);
            let fastest = self.fastest(now, &own, cores);
            let slowest =
                fastest.and_then(|fastest| open.slowest(now, fastest, fixed, &self.options));
            let candidates = self.candidates(now, &own, key, cores, slowest, tasks.len());
            for share in divide(tasks, candidates) {
                let count = share.tasks.len() as u32;
                let Some(placement) = self.send(now, key, &share, out) else { continue };
                if share.keeper == self.me {
                    own.reserve_for(cores, count, slowest);
                    placements.push(placement);
                } else {
                    if let Some(room) = self.peers.room_mut(share.keeper) {
                        room.reserve_for(cores, count, slowest);
                    }
                    let message = Message::Place(placement);
                    out.push(Action::Send { to: share.keeper, message });
                }
            }
        }
        placements
    }

    /// The speed of the fastest executors of all keepers, this entry included, that are large enough
    /// for a task which needs `cores`; `None` if executors are not known to differ.
    pub(crate) fn fastest(&self, now: Time, own: &Room, cores: u32) -> Option<Factor> {
        let rooms = self.peers.rooms(now).chain([own]);
        let mut fastest: Vec<_> = rooms.filter_map(|room| room.fastest(cores)).collect();
        fastest.sort_unstable();
        let first = u32::from(fastest.first()?.0);
        let alike = |factor: &Factor| u32::from(factor.0) * 100 < first * SAME_PERCENT;
        let count = fastest.partition_point(alike);
        fastest.get(count / 2).copied()
    }

    /// Keepers with room, in order of preference: this entry, then those of its data centre, then
    /// those with room to spare in an order that differs between jobs, then those with the most
    /// room. Room on executors that are slower than `slowest` does not count.
    fn candidates(
        &self,
        now: Time,
        own: &Room,
        key: Key,
        cores: u32,
        slowest: Option<Factor>,
        tasks: usize,
    ) -> Vec<Candidate> {
        let own = (!own.is_empty()).then_some((self.me, own));
        let rooms = self.peers.with_room(now).chain(own);
        let mut candidates: Vec<_> = rooms
            .map(|(keeper, room)| {
                let count = room.count_for(cores, slowest);
                Candidate { keeper, count, ahead: room.ahead }
            })
            .collect();
        let subject = rendezvous::rank(key.home, key.number);
        let spare = |count: u32| self.options.spread && count as usize >= tasks * SPARE_JOBS;
        candidates.sort_by_cached_key(|Candidate { keeper, count, .. }| {
            let rank = match spare(*count) {
                true => (false, rendezvous::rank(*keeper, subject), Reverse(0)),
                false => (true, 0, Reverse(*count)),
            };
            (*keeper != self.me, is_far(self.me, *keeper), rank, *keeper)
        });
        candidates
    }

    /// Marks the tasks of a share as placed; returns the placement for its keeper.
    fn send(
        &mut self,
        now: Time,
        key: Key,
        share: &Share,
        out: &mut Vec<Action>,
    ) -> Option<Placement> {
        let age = self.peers.age(now, share.keeper);
        let open = self.open.get_mut(&key.number)?;
        out.push(Action::Log(Decision::Place {
            job: open.job.name.clone(),
            tasks: share.tasks.len(),
            keeper: share.keeper,
            room: share.room,
            age,
            far: is_far(self.me, share.keeper).then_some(share.keeper.data_centre),
        }));
        Some(placement(now, open, share))
    }
}

/// Divides tasks among keepers: all to the first that has room for them, otherwise to those with
/// the most room. Tasks are queued beyond the room only if no keeper has any.
fn divide(mut tasks: Vec<u16>, mut candidates: Vec<Candidate>) -> Vec<Share> {
    let wanted = tasks.len() as u32;
    if let Some(first) = candidates.iter().find(|candidate| candidate.count >= wanted) {
        return vec![Share { keeper: first.keeper, room: first.count, tasks }];
    }
    let any = candidates.iter().any(|candidate| candidate.count > 0);
    candidates.sort_by_key(|candidate| Reverse(candidate.count));
    let mut shares = Vec::new();
    for Candidate { keeper, count, ahead } in candidates {
        let most = if any { count } else { ahead };
        if tasks.is_empty() || most == 0 {
            break;
        }
        let rest = tasks.split_off(tasks.len().min(most as usize));
        shares.push(Share { keeper, room: count, tasks });
        tasks = rest;
    }
    shares
}

fn is_far(me: Home, keeper: Home) -> bool {
    keeper.data_centre != me.data_centre
}

/// Marks the tasks of a share as placed.
fn placement(now: Time, open: &mut OpenJob, share: &Share) -> Placement {
    let begun = open.has_begun(now);
    open.placed_at.get_or_insert(now);
    let job = &open.job;
    let place = |index: &u16| {
        let task = &mut open.tasks[usize::from(*index)];
        task.state = TaskState::Placed { keeper: share.keeper };
        PlacedTask { index: *index, run: task.run, avoid: task.avoid.clone() }
    };
    Placement {
        sent: now,
        job: open.key,
        name: job.name.clone(),
        spec: job.spec.clone(),
        needs: job.needs,
        label: job.label.clone(),
        per_executor: job.per_executor,
        estimate: job.estimate,
        service: job.service,
        begun,
        due_in: job.due.since(now),
        give_up_in: job.give_up.since(now),
        tasks: share.tasks.iter().map(place).collect(),
        stretch: job.stretch,
    }
}
