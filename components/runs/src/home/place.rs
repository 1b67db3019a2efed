//! Which keepers get the tasks that wait.

use super::{Jobs, job::Open, job::State};
use crate::{
    Action, Message,
    action::Decision,
    message::{Place, Placement},
};
use site::{id::Home, unit::Time};
use std::cmp::Reverse;

/// Tasks of a job that go to one keeper.
struct Share {
    keeper: Home,
    room: u32,
    tasks: Vec<u16>,
}

impl Jobs {
    /// Sends waiting tasks to keepers with room, the most pressing job first. `own` is the room of
    /// this entry's executors. Returns what is placed there.
    pub(crate) fn place(
        &mut self,
        now: Time,
        mut own: u32,
        out: &mut Vec<Action>,
    ) -> Vec<Placement> {
        let mut order: Vec<_> = self
            .open
            .values()
            .filter(|open| !open.waiting(now).is_empty() && !open.is_too_late(now))
            .map(|open| open.rank(now))
            .collect();
        order.sort_unstable();
        let mut placements = Vec::new();
        for (.., key) in order {
            let rooms = self.rooms(now, own);
            if rooms.is_empty() {
                break;
            }
            let Some(open) = self.open.get_mut(&key.number) else { continue };
            for share in divide(open.waiting(now), rooms) {
                let count = share.tasks.len() as u32;
                out.push(Action::Log(Decision::Place {
                    job: open.job.name.clone(),
                    tasks: share.tasks.len(),
                    keeper: share.keeper,
                    room: share.room,
                    age: self.peers.age(now, share.keeper),
                }));
                let placement = send(now, open, &share);
                if share.keeper == self.me {
                    own = own.saturating_sub(count);
                    placements.push(placement);
                } else {
                    self.peers.take(share.keeper, count);
                    let message = Message::Place(placement);
                    out.push(Action::Send { to: share.keeper, message });
                }
            }
        }
        placements
    }

    /// Keepers with room, in the order in which they are preferred: this entry, then those of its
    /// data centre, then those with most room.
    fn rooms(&self, now: Time, own: u32) -> Vec<(Home, u32)> {
        let mut rooms: Vec<_> = self.peers.with_room(now).collect();
        if own > 0 {
            rooms.push((self.me, own));
        }
        let near = |home: Home| home.data_centre == self.me.data_centre;
        rooms.sort_by_key(|(home, room)| (*home != self.me, !near(*home), Reverse(*room), *home));
        rooms
    }
}

/// Divides tasks among keepers: all to the first that has room for them, else to those with the
/// most room.
fn divide(mut tasks: Vec<u16>, mut rooms: Vec<(Home, u32)>) -> Vec<Share> {
    let count = tasks.len() as u32;
    if let Some((keeper, room)) = rooms.iter().copied().find(|(_, room)| *room >= count) {
        return vec![Share { keeper, room, tasks }];
    }
    rooms.sort_by_key(|(_, room)| Reverse(*room));
    let mut shares = Vec::new();
    for (keeper, room) in rooms {
        if tasks.is_empty() {
            break;
        }
        let rest = tasks.split_off(tasks.len().min(room as usize));
        shares.push(Share { keeper, room, tasks });
        tasks = rest;
    }
    shares
}

/// Marks the tasks of a share as placed.
fn send(now: Time, open: &mut Open, share: &Share) -> Placement {
    open.placed_at.get_or_insert(now);
    let job = &open.job;
    let place = |index: &u16| {
        let task = &mut open.tasks[usize::from(*index)];
        task.state = State::Placed { keeper: share.keeper };
        Place { index: *index, run: task.run, avoid: task.avoid.clone() }
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
        due_in: job.due.since(now),
        give_up_in: job.give_up.since(now),
        tasks: share.tasks.iter().map(place).collect(),
    }
}
