//! The endpoints of one service pool, and the choice of an endpoint for a task.

use crate::{
    endpoint::{Endpoint, RackCounts},
    grid::{Bits, Cell, Grid},
    member::{CLASSES, Kind, Location, Member, is_remote, kind_of, speed_class},
};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, RackId},
    unit::{Resources, Slots},
};
use slab::Slab;

/// Maximum number of endpoints of one bucket that a choice examines.
const MAX_BUCKET_PROBES: usize = 16;
/// Maximum number of endpoints of one grid that a choice examines in buckets whose endpoints may
/// not fit.
const MAX_MISFIT_PROBES: usize = 32;
/// Maximum number of fitting endpoints that a choice compares to spread a job over racks.
const MAX_CANDIDATES: usize = 8;

/// Endpoints of one service pool as one entry may use them.
///
/// No endpoint is allocated beyond its capacity. A choice examines a bounded number of endpoints;
/// if only a few of many similar ones fit an unusual need, it may miss them, and a later choice
/// examines others.
pub struct Pool {
    members: Slab<Member>,
    index: FxHashMap<EndpointId, usize>,
    /// For each member, its position in its bucket. Kept apart from the members, since most writes
    /// are for members that are not otherwise accessed.
    positions: Vec<u32>,
    grids: [Grid; CLASSES],
    /// Bit n is set while grid n contains endpoints.
    occupied: u64,
    /// Number of present endpoints by capacity.
    capacities: FxHashMap<Resources, usize>,
    /// Number of endpoints that are present and open.
    open: usize,
    /// Sum of the members' `counted`.
    free_slots: Slots,
    random: ChaCha8Rng,
}

impl Pool {
    /// Creates an empty pool. Equal seeds and calls give equal choices.
    pub fn new(seed: u64) -> Self {
        Self {
            members: Slab::new(),
            index: FxHashMap::default(),
            positions: Vec::new(),
            grids: Default::default(),
            occupied: 0,
            capacities: FxHashMap::default(),
            open: 0,
            free_slots: Slots(0),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Adds an endpoint, open and at normal speed, or updates its data. Its usage is kept, even if
    /// it exceeds a smaller new capacity.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let index = match self.index.get(&endpoint.id) {
            Some(&index) => index,
            None => self.add(endpoint),
        };
        self.uncount(index);
        let member = &mut self.members[index];
        if !member.present {
            member.open = true;
            member.speed = 0;
        }
        member.present = true;
        member.endpoint = endpoint;
        *self.capacities.entry(endpoint.capacity).or_default() += 1;
        self.open += usize::from(member.open);
        self.reindex(index);
    }

    /// Removes an endpoint. Its usage is tracked until it is released.
    pub fn remove(&mut self, id: EndpointId) {
        let Some(&index) = self.index.get(&id) else { return };
        self.uncount(index);
        self.members[index].present = false;
        self.reindex(index);
        self.forget_unused(index);
    }

    /// Sets whether an endpoint takes new work.
    pub fn set_open(&mut self, id: EndpointId, open: bool) {
        let Some(&index) = self.index.get(&id) else { return };
        let member = &mut self.members[index];
        if !member.present || member.open == open {
            return;
        }
        member.open = open;
        self.open = if open { self.open + 1 } else { self.open - 1 };
        self.reindex(index);
    }

    /// Sets how much slower than normal an endpoint is: 1 is normal, 5 takes five times as long.
    /// Slow endpoints are used when the faster ones are full.
    pub fn set_slowdown(&mut self, id: EndpointId, factor: f32) {
        let Some(&index) = self.index.get(&id) else { return };
        self.members[index].speed = speed_class(factor);
        self.reindex(index);
    }

    /// Chooses an endpoint that fits `need` and allocates it there.
    ///
    /// Fast endpoints are preferred to slow ones, then local to remote ones. Among executors it
    /// chooses one with the smallest share of slots in use; among workers one of the fullest that
    /// fit, so that large tasks still find capacity, and of these one whose rack has few tasks of
    /// the job, if `rack_counts` is given. Endpoints in `avoid` are used only when no other
    /// endpoint is open.
    pub fn choose(
        &mut self,
        need: &Resources,
        avoid: &[EndpointId],
        rack_counts: Option<&RackCounts>,
    ) -> Option<EndpointId> {
        let avoid = if self.are_all_open_avoided(avoid) { &[] } else { avoid };
        let random = self.random.next_u32() as usize;
        let index = Bits(self.occupied).find_map(|class| match kind_of(class) {
            Kind::Executor => self.least_used(class, need, avoid, random),
            Kind::Worker if need.accelerators.0 > 0 => None,
            Kind::Worker | Kind::Accelerated => {
                self.best_fit(class, need, avoid, rack_counts, random)
            }
        })?;
        self.occupy(index, need);
        Some(self.members[index].endpoint.id)
    }

    /// Allocates `need` at an endpoint if it is open and fits. Returns whether it did.
    pub fn take(&mut self, id: EndpointId, need: &Resources) -> bool {
        let Some(&index) = self.index.get(&id) else { return false };
        let member = &self.members[index];
        let fits = member.is_usable() && member.free().fits(need);
        if fits {
            self.occupy(index, need);
        }
        fits
    }

    /// Frees what [`choose`](Self::choose) or [`take`](Self::take) allocated.
    pub fn release(&mut self, id: EndpointId, need: &Resources) {
        let Some(&index) = self.index.get(&id) else { return };
        let member = &mut self.members[index];
        member.in_use = member.in_use.minus(need);
        self.reindex(index);
        self.forget_unused(index);
    }

    /// Returns what is free at an endpoint, open or not. Nothing if it is unknown or removed.
    pub fn free(&self, id: EndpointId) -> Resources {
        self.member(id).filter(|member| member.present).map(Member::free).unwrap_or_default()
    }

    /// Returns what is in use at an endpoint.
    pub fn in_use(&self, id: EndpointId) -> Resources {
        self.member(id).map(|member| member.in_use).unwrap_or_default()
    }

    /// Returns the rack of an endpoint; `None` if it is unknown.
    pub fn rack(&self, id: EndpointId) -> Option<RackId> {
        self.member(id).map(|member| member.endpoint.rack)
    }

    /// Returns the number of free slots of all open endpoints.
    pub fn total_free(&self) -> Slots {
        self.free_slots
    }

    /// Returns whether any endpoint of the pool, open or not, fits `need` when idle. Takes time
    /// proportional to the number of distinct capacities.
    pub fn could_ever_fit(&self, need: &Resources) -> bool {
        self.capacities.keys().any(|capacity| capacity.fits(need))
    }

    /// Iterates over the open endpoints that may have free capacity, best first, with their free
    /// resources.
    pub fn free_endpoints(
        &self,
        local_only: bool,
    ) -> impl Iterator<Item = (EndpointId, Resources)> {
        Bits(self.occupied)
            .filter(move |&class| !(local_only && is_remote(class)))
            .flat_map(|class| self.grids[usize::from(class)].iter())
            .map(|index| &self.members[index as usize])
            .map(|member| (member.endpoint.id, member.free()))
    }

    fn member(&self, id: EndpointId) -> Option<&Member> {
        self.index.get(&id).map(|&index| &self.members[index])
    }

    fn add(&mut self, endpoint: Endpoint) -> usize {
        let index = self.members.insert(Member::new(endpoint));
        self.index.insert(endpoint.id, index);
        if index >= self.positions.len() {
            self.positions.resize(index + 1, 0);
        }
        index
    }

    /// Removes a present endpoint from the counts by capacity and of open endpoints.
    fn uncount(&mut self, index: usize) {
        let member = &self.members[index];
        if !member.present {
            return;
        }
        self.open -= usize::from(member.open);
        let capacity = member.endpoint.capacity;
        if let Some(count) = self.capacities.get_mut(&capacity) {
            *count -= 1;
            if *count == 0 {
                self.capacities.remove(&capacity);
            }
        }
    }

    fn forget_unused(&mut self, index: usize) {
        let member = &self.members[index];
        if !member.present && member.in_use == Resources::default() {
            self.index.remove(&member.endpoint.id);
            self.members.remove(index);
        }
    }

    fn occupy(&mut self, index: usize, need: &Resources) {
        let member = &mut self.members[index];
        member.in_use = member.in_use.plus(need);
        self.reindex(index);
    }

    /// Moves a member to the location in the index that matches its state.
    fn reindex(&mut self, index: usize) {
        let member = &mut self.members[index];
        let counted = if member.present && member.open { member.free().slots } else { Slots(0) };
        self.free_slots = self.free_slots + counted - member.counted;
        member.counted = counted;
        let target = member.target_location();
        let old = std::mem::replace(&mut member.location, target);
        if old == target {
            return;
        }
        if let Some(old) = old {
            self.remove_from(index, old);
        }
        if let Some(target) = target {
            self.insert_at(index, target);
        }
    }

    fn insert_at(&mut self, index: usize, location: Location) {
        let class = usize::from(location.class);
        self.positions[index] = self.grids[class].insert(location.cell, index as u32);
        self.occupied |= 1 << class;
    }

    fn remove_from(&mut self, index: usize, location: Location) {
        let class = usize::from(location.class);
        let position = self.positions[index];
        if let Some(moved) = self.grids[class].remove(location.cell, position) {
            self.positions[moved as usize] = position;
        }
        if self.grids[class].is_empty() {
            self.occupied &= !(1 << class);
        }
    }

    /// Returns whether every open endpoint is in `avoid`.
    fn are_all_open_avoided(&self, avoid: &[EndpointId]) -> bool {
        if self.open > avoid.len() {
            return false;
        }
        let is_open =
            |id: &EndpointId| self.member(*id).is_some_and(|member| member.present && member.open);
        let mut open: Vec<_> = avoid.iter().copied().filter(|id| is_open(id)).collect();
        open.sort_unstable();
        open.dedup();
        open.len() == self.open
    }

    /// Iterates over the members of a bucket from a random one on, up to the number that a choice
    /// examines.
    fn probe(bucket: &[u32], random: usize, avoided: usize) -> impl Iterator<Item = usize> {
        let start = random % bucket.len();
        let count = bucket.len().min(MAX_BUCKET_PROBES + avoided);
        (0..count).map(move |step| bucket[(start + step) % bucket.len()] as usize)
    }

    fn fits_and_allowed(&self, index: usize, need: &Resources, avoid: &[EndpointId]) -> bool {
        let member = &self.members[index];
        member.free().fits(need) && !avoid.contains(&member.endpoint.id)
    }

    fn least_used(
        &self,
        class: u8,
        need: &Resources,
        avoid: &[EndpointId],
        random: usize,
    ) -> Option<usize> {
        let grid = &self.grids[usize::from(class)];
        grid.cells(Cell::executor(0, 1))
            .flat_map(|cell| Self::probe(grid.bucket(cell), random, avoid.len()))
            .take(MAX_MISFIT_PROBES + avoid.len())
            .find(|&index| self.fits_and_allowed(index, need, avoid))
    }

    fn best_fit(
        &self,
        class: u8,
        need: &Resources,
        avoid: &[EndpointId],
        rack_counts: Option<&RackCounts>,
        random: usize,
    ) -> Option<usize> {
        let least = Cell::worker(need);
        let grid = &self.grids[usize::from(class)];
        let mut misfit_probes = MAX_MISFIT_PROBES;
        let mut seen = 0;
        let mut best: Option<(u32, usize)> = None;
        'cells: for cell in grid.cells(least) {
            if cell.shares_row_or_column(least) && misfit_probes == 0 {
                continue;
            }
            for index in Self::probe(grid.bucket(cell), random, avoid.len()) {
                if !self.fits_and_allowed(index, need, avoid) {
                    misfit_probes = misfit_probes.saturating_sub(1);
                    continue;
                }
                let rack = self.members[index].endpoint.rack;
                let count = rack_counts.map_or(0, |rack_counts| rack_counts.count(rack));
                if best.is_none_or(|(least, _)| count < least) {
                    best = Some((count, index));
                }
                seen += 1;
                if count == 0 || seen == MAX_CANDIDATES {
                    break 'cells;
                }
            }
        }
        best.map(|(_, index)| index)
    }
}
