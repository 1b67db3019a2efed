//! An index of endpoints by free capacity.
//!
//! Endpoints of one class are kept in a grid of buckets. Workers are placed by free cores (row) and
//! free memory (column), both on a logarithmic scale of two steps per octave; executors are in row
//! 0, by the share of slots in use. Bit masks mark the buckets that are not empty.

use site::unit::{Cores, Memory, Resources};

/// Number of rows: one below 128 thousandths of a core, then two for each doubling up to 128 cores.
const ROWS: usize = 22;
/// Number of columns of a row, one bit each.
const COLUMNS: usize = 64;
/// Last column of a worker: one below 64 MiB, then two for each doubling up to 2 TiB.
const LAST_MEMORY: usize = 31;
/// Number of half octaves below row 1, which begins at 128 thousandths of a core.
const CORES_OFFSET: u32 = 13;
/// Number of half octaves below column 1, which begins at 64 MiB.
const MEMORY_OFFSET: u32 = 51;

/// The position of a bucket in the grid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Cell {
    row: u8,
    column: u8,
}

impl Cell {
    /// Returns the cell of a worker with `free`. This is also the lowest cell with workers that may
    /// fit `free`.
    pub(crate) fn worker(free: &Resources) -> Self {
        let Cores(cores) = free.cores;
        let Memory(memory) = free.memory;
        let row = half_octave(u64::from(cores), CORES_OFFSET).min(ROWS - 1);
        let column = half_octave(memory, MEMORY_OFFSET).min(LAST_MEMORY);
        Self { row: row as u8, column: column as u8 }
    }

    /// Returns the cell of an executor with `used` of `capacity` slots in use.
    pub(crate) fn executor(used: u32, capacity: u32) -> Self {
        let share = u64::from(used) * (COLUMNS as u64 - 1) / u64::from(capacity.max(1));
        Self { row: 0, column: share.min(COLUMNS as u64 - 1) as u8 }
    }

    /// Returns whether this cell shares a row or a column with `other`. Workers in cells of a
    /// higher row and column than a need's own cell fit it; those in the same row or column may
    /// not.
    pub(crate) fn shares_row_or_column(self, other: Self) -> bool {
        self.row == other.row || self.column == other.column
    }

    fn bucket(self) -> usize {
        usize::from(self.row) * COLUMNS + usize::from(self.column)
    }
}

/// Returns the position on a scale of two steps per octave, counted from `offset`.
fn half_octave(value: u64, offset: u32) -> usize {
    if value < 2 {
        return 0;
    }
    let octave = value.ilog2();
    let half = (value >> (octave - 1)) & 1;
    (2 * octave + half as u32).saturating_sub(offset) as usize
}

/// The grid with the endpoints of one class.
#[derive(Default)]
pub(crate) struct Grid {
    /// For each row, a bit mask of the columns whose bucket is not empty.
    rows: [u64; ROWS],
    /// The buckets by row and column. Grows as needed.
    buckets: Vec<Vec<u32>>,
    /// Number of endpoints.
    len: usize,
}

impl Grid {
    /// Adds an endpoint to a bucket and returns its position there.
    pub(crate) fn insert(&mut self, cell: Cell, index: u32) -> u32 {
        let bucket = cell.bucket();
        if bucket >= self.buckets.len() {
            self.buckets.resize_with(bucket + 1, Vec::new);
        }
        self.rows[usize::from(cell.row)] |= 1 << cell.column;
        self.len += 1;
        self.buckets[bucket].push(index);
        self.buckets[bucket].len() as u32 - 1
    }

    /// Removes the endpoint at `position` from a bucket. Returns the one that moved to its
    /// position.
    pub(crate) fn remove(&mut self, cell: Cell, position: u32) -> Option<u32> {
        let bucket = &mut self.buckets[cell.bucket()];
        bucket.swap_remove(position as usize);
        self.len -= 1;
        if bucket.is_empty() {
            self.rows[usize::from(cell.row)] &= !(1 << cell.column);
        }
        bucket.get(position as usize).copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the endpoints of a cell.
    pub(crate) fn bucket(&self, cell: Cell) -> &[u32] {
        &self.buckets[cell.bucket()]
    }

    /// Iterates over the cells with endpoints whose row and column are at least those of `least`,
    /// row by row.
    pub(crate) fn cells(&self, least: Cell) -> impl Iterator<Item = Cell> {
        let from = u64::MAX << least.column;
        (usize::from(least.row)..ROWS).flat_map(move |row| {
            Bits(self.rows[row] & from).map(move |column| Cell { row: row as u8, column })
        })
    }

    /// Iterates over all endpoints.
    pub(crate) fn iter(&self) -> impl Iterator<Item = u32> {
        self.cells(Cell { row: 0, column: 0 }).flat_map(|cell| self.bucket(cell).iter().copied())
    }
}

/// Iterates over the positions of the set bits, from the lowest.
pub(crate) struct Bits(pub(crate) u64);

impl Iterator for Bits {
    type Item = u8;

    fn next(&mut self) -> Option<u8> {
        if self.0 == 0 {
            return None;
        }
        let bit = self.0.trailing_zeros();
        self.0 &= self.0 - 1;
        Some(bit as u8)
    }
}
