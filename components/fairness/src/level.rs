//! One level of the hierarchy: a priority queue of active children, by load and then by start time.

use crate::virtual_time::VirtualTime;
use site::unit::{Span, Weight};
use slab::Slab;

/// Number of children of a heap node. Four items fill a cache line.
const ARITY: usize = 4;

/// Heap position of a child that is not active.
const NOT_IN_HEAP: u32 = u32::MAX;

/// A child and its virtual clock.
struct Child<C> {
    weight: Weight,
    /// Number of its running tasks divided by its weight. Children with less load are served first.
    load: VirtualTime,
    /// Virtual start time of its next task. While the child is active, not below `floor`.
    start: VirtualTime,
    /// Its virtual start time when it last became active. Refunds are limited to it, so that idle
    /// time earns no credit.
    floor: VirtualTime,
    inner: C,
}

/// An active child, with a copy of its load and start.
#[derive(Clone, Copy)]
struct HeapItem {
    load: VirtualTime,
    start: VirtualTime,
    index: u32,
}

impl HeapItem {
    /// Returns the sort key: load, then start.
    fn sort_key(&self) -> (VirtualTime, VirtualTime) {
        (self.load, self.start)
    }
}

impl<C> Child<C> {
    fn item(&self, index: usize) -> HeapItem {
        HeapItem { load: self.load, start: self.start, index: index as u32 }
    }
}

/// The children of one parent.
pub(crate) struct Level<C> {
    children: Slab<Child<C>>,
    /// The active children: a 4-ary min-heap. Sort keys are copied here so that a walk through the
    /// heap stays in adjacent memory.
    heap: Vec<HeapItem>,
    /// For each child, its position in `heap`, or [`NOT_IN_HEAP`].
    positions: Vec<u32>,
    /// System virtual time: the greatest start that was served. Never decreases.
    now: VirtualTime,
    /// The greatest start that any child has had. Becomes `now` when the heap is empty.
    latest: VirtualTime,
    /// Sum of the weights of the active children.
    weight: u64,
}

impl<C> Default for Level<C> {
    fn default() -> Self {
        Self {
            children: Slab::new(),
            heap: Vec::new(),
            positions: Vec::new(),
            now: VirtualTime::default(),
            latest: VirtualTime::default(),
            weight: 0,
        }
    }
}

impl<C> Level<C> {
    /// Adds a child that is not active.
    pub(crate) fn insert(&mut self, weight: Weight, inner: C) -> usize {
        let start = self.now;
        let index = self.children.insert(Child {
            weight,
            load: VirtualTime::default(),
            start,
            floor: start,
            inner,
        });
        if index >= self.positions.len() {
            self.positions.resize(index + 1, NOT_IN_HEAP);
        }
        index
    }

    pub(crate) fn remove(&mut self, index: usize) -> C {
        self.deactivate(index);
        self.children.remove(index).inner
    }

    pub(crate) fn get(&self, index: usize) -> &C {
        &self.children[index].inner
    }

    pub(crate) fn get_mut(&mut self, index: usize) -> &mut C {
        &mut self.children[index].inner
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &C> {
        self.children.iter().map(|(_, child)| &child.inner)
    }

    pub(crate) fn weight_of(&self, index: usize) -> Weight {
        self.children[index].weight
    }

    pub(crate) fn set_weight(&mut self, index: usize, weight: Weight) {
        if self.is_active(index) {
            self.weight -= u64::from(self.children[index].weight.0);
            self.weight += u64::from(weight.0);
        }
        self.children[index].weight = weight;
    }

    /// Returns the sum of the weights of the active children.
    pub(crate) fn weight(&self) -> u64 {
        self.weight
    }

    /// Returns whether no child is active.
    pub(crate) fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    pub(crate) fn is_active(&self, index: usize) -> bool {
        self.positions[index] != NOT_IN_HEAP
    }

    /// Returns the child to serve next.
    pub(crate) fn first(&self) -> Option<usize> {
        self.heap.first().map(|item| item.index as usize)
    }

    /// Returns the virtual time from now until the child's next start.
    pub(crate) fn time_to_start(&self, index: usize) -> VirtualTime {
        self.children[index].start.minus(self.now)
    }

    /// Makes a child active, from the system virtual time or its own start, whichever is later.
    pub(crate) fn activate(&mut self, index: usize) {
        if self.is_active(index) {
            return;
        }
        if self.heap.is_empty() {
            self.now = self.now.max(self.latest);
        }
        let child = &mut self.children[index];
        child.start = child.start.max(self.now);
        child.floor = child.start;
        self.weight += u64::from(child.weight.0);
        let item = child.item(index);
        self.heap.push(item);
        self.sift_up(self.heap.len() - 1, item);
    }

    /// Makes a child inactive; it keeps its virtual clock.
    pub(crate) fn deactivate(&mut self, index: usize) {
        let position = self.positions[index];
        if position == NOT_IN_HEAP {
            return;
        }
        let position = position as usize;
        self.heap.swap_remove(position);
        self.positions[index] = NOT_IN_HEAP;
        self.weight -= u64::from(self.children[index].weight.0);
        if let Some(&moved) = self.heap.get(position) {
            let position = self.sift_up(position, moved);
            self.sift_down(position, moved);
        }
    }

    /// Sets the number of the child's running tasks.
    pub(crate) fn set_load(&mut self, index: usize, running: usize) {
        let child = &mut self.children[index];
        child.load = VirtualTime::of(Span(running as u64), child.weight);
        if !self.is_active(index) {
            return;
        }
        let item = self.children[index].item(index);
        let position = self.sift_up(self.positions[index] as usize, item);
        self.sift_down(position, item);
    }

    /// Advances the system virtual time to the child's start and charges the child.
    pub(crate) fn serve(&mut self, index: usize, cost: Span) {
        self.now = self.now.max(self.children[index].start);
        self.charge(index, cost);
    }

    /// Records service of `cost` to the level as a whole, at weight 1.
    pub(crate) fn advance(&mut self, cost: Span) {
        self.now = self.now.plus(VirtualTime::of(cost, Weight(1)));
    }

    /// Moves the child's virtual clock forward. The clock of an inactive child starts from the
    /// system virtual time.
    pub(crate) fn charge(&mut self, index: usize, cost: Span) {
        let is_active = self.is_active(index);
        let child = &mut self.children[index];
        if !is_active {
            child.start = child.start.max(self.now);
        }
        child.start = child.start.plus(VirtualTime::of(cost, child.weight));
        self.latest = self.latest.max(child.start);
        if is_active {
            let item = child.item(index);
            self.sift_down(self.positions[index] as usize, item);
        }
    }

    /// Moves the child's virtual clock back without a limit.
    pub(crate) fn boost(&mut self, index: usize, cost: Span) {
        let child = &mut self.children[index];
        child.start = child.start.minus(VirtualTime::of(cost, child.weight));
        if self.is_active(index) {
            let item = self.children[index].item(index);
            self.sift_up(self.positions[index] as usize, item);
        }
    }

    /// Moves the child's virtual clock back, at most to where it last became active.
    pub(crate) fn refund(&mut self, index: usize, cost: Span) {
        let is_active = self.is_active(index);
        let child = &mut self.children[index];
        child.start = child.start.minus(VirtualTime::of(cost, child.weight));
        if is_active {
            child.start = child.start.max(child.floor);
            let item = child.item(index);
            self.sift_up(self.positions[index] as usize, item);
        }
    }

    fn put(&mut self, position: usize, item: HeapItem) {
        self.heap[position] = item;
        self.positions[item.index as usize] = position as u32;
    }

    /// Places `item` at `position`, or further up while its parent is greater. Returns its
    /// position.
    fn sift_up(&mut self, mut position: usize, item: HeapItem) -> usize {
        while position > 0 {
            let parent = (position - 1) / ARITY;
            if self.heap[parent].sort_key() <= item.sort_key() {
                break;
            }
            self.put(position, self.heap[parent]);
            position = parent;
        }
        self.put(position, item);
        position
    }

    /// Places `item` at `position`, or further down while a child is less.
    fn sift_down(&mut self, mut position: usize, item: HeapItem) {
        while let Some(least) = self.least_child(position)
            && self.heap[least].sort_key() < item.sort_key()
        {
            self.put(position, self.heap[least]);
            position = least;
        }
        self.put(position, item);
    }

    fn least_child(&self, position: usize) -> Option<usize> {
        let first = ARITY * position + 1;
        let last = (first + ARITY).min(self.heap.len());
        (first..last).min_by_key(|&child| self.heap[child].sort_key())
    }
}
