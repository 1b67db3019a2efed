//! One endpoint of a pool with its usage, and its location in the index.

use crate::{endpoint::Endpoint, grid::Cell};
use site::unit::{Resources, Slots};

/// Slowdown factors from which an endpoint belongs to the next speed class.
const SPEED_LIMITS: [f32; 3] = [1.5, 3.0, 6.0];
/// Number of kinds of endpoint that have grids of their own.
const KINDS: u8 = 3;
/// Number of grids, one for each class.
pub(crate) const CLASSES: usize = (SPEED_LIMITS.len() + 1) * 2 * KINDS as usize;

/// The kind of endpoint that a grid contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Executor,
    Worker,
    /// A worker with a free accelerator.
    Accelerated,
}

/// A location in the index: a grid and a cell of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Location {
    pub(crate) class: u8,
    pub(crate) cell: Cell,
}

/// An endpoint with its usage.
pub(crate) struct Member {
    pub(crate) endpoint: Endpoint,
    /// Resources of placed tasks. May exceed the capacity after the capacity shrank.
    pub(crate) in_use: Resources,
    /// Whether the endpoint belongs to the pool. A removed endpoint is kept while in use.
    pub(crate) present: bool,
    pub(crate) open: bool,
    /// Speed class: index of the first speed limit above its slowdown factor.
    pub(crate) speed: u8,
    /// Its location in the index; `None` while it takes no work.
    pub(crate) location: Option<Location>,
    /// Number of free slots that are included in the pool's total.
    pub(crate) counted: Slots,
}

impl Member {
    /// Creates a member for an endpoint that is not yet part of the pool.
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            in_use: Resources::default(),
            present: false,
            open: true,
            speed: 0,
            location: None,
            counted: Slots(0),
        }
    }

    /// Returns the free resources; none while any resource is used beyond the capacity.
    pub(crate) fn free(&self) -> Resources {
        if self.endpoint.capacity.fits(&self.in_use) {
            self.endpoint.capacity.minus(&self.in_use)
        } else {
            Resources::default()
        }
    }

    pub(crate) fn is_usable(&self) -> bool {
        self.present && self.open && self.endpoint.capacity.fits(&self.in_use)
    }

    pub(crate) fn is_executor(&self) -> bool {
        let capacity = &self.endpoint.capacity;
        capacity.cores.0 == 0 && capacity.memory.0 == 0
    }

    /// Returns its location in the index for its current state; `None` if it takes no work.
    pub(crate) fn target_location(&self) -> Option<Location> {
        if !self.is_usable() {
            return None;
        }
        let capacity = &self.endpoint.capacity;
        let free = self.free();
        if capacity.slots.0 > 0 && free.slots.0 == 0 {
            return None;
        }
        let (kind, cell) = if self.is_executor() {
            (Kind::Executor, Cell::executor(self.in_use.slots.0, capacity.slots.0))
        } else if free.accelerators.0 > 0 {
            (Kind::Accelerated, Cell::worker(&free))
        } else {
            (Kind::Worker, Cell::worker(&free))
        };
        Some(Location { class: class(self.speed, self.endpoint.remote, kind), cell })
    }
}

/// Returns the class of an endpoint, which is the number of its grid. Lower classes are preferred:
/// fast before slow, then local before remote, then without accelerators before with.
pub(crate) fn class(speed: u8, remote: bool, kind: Kind) -> u8 {
    (speed * 2 + u8::from(remote)) * KINDS + kind as u8
}

pub(crate) fn kind_of(class: u8) -> Kind {
    match class % KINDS {
        0 => Kind::Executor,
        1 => Kind::Worker,
        _ => Kind::Accelerated,
    }
}

pub(crate) fn is_remote(class: u8) -> bool {
    class / KINDS % 2 == 1
}

/// Returns the speed class of an endpoint that takes `factor` times as long as normal.
pub(crate) fn speed_class(factor: f32) -> u8 {
    SPEED_LIMITS.iter().filter(|&&limit| factor >= limit).count() as u8
}
