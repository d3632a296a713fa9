//! Index of workers by free capacity.
//!
//! Free CPU and free memory are each divided into logarithmic buckets, four per power of two. A
//! cell of the grid holds the workers of one pair of buckets, and bit masks mark the cells of a row
//! or column that are not empty. A search visits cells from the tightest fit to the loosest and
//! stops after a bounded number of candidates, so its cost hardly depends on the number of workers.

use daisymast_types::quantities::Resources;

/// Number of buckets per quantity: four for each of 32 powers of two.
const BUCKETS: usize = 128;

/// Quantity that a search minimizes first: the one of which the task needs the larger share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Axis {
    Cpu,
    Memory,
}

/// Location of a worker in the grid: its cell and its index in the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    row: usize,
    column: usize,
    offset: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Grid {
    /// Pool slots by row (CPU) and column (memory). Rows are allocated on first use: few are used,
    /// and a pool may be created for a single decision.
    cells: Vec<Vec<Vec<u32>>>,
    /// For each row, a bit mask of the columns that are not empty.
    rows: [u128; BUCKETS],
    /// For each column, a bit mask of the rows that are not empty.
    columns: [u128; BUCKETS],
}

impl Default for Grid {
    fn default() -> Self {
        Self {
            cells: vec![Vec::new(); BUCKETS],
            rows: [0; BUCKETS],
            columns: [0; BUCKETS],
        }
    }
}

impl Grid {
    pub(crate) fn insert(&mut self, slot: u32, free: Resources) -> Position {
        let (row, column) = (bucket(free.millicores), bucket(free.memory_mib));
        let line = &mut self.cells[row];
        if line.is_empty() {
            line.resize(BUCKETS, Vec::new());
        }
        let cell = &mut line[column];
        cell.push(slot);
        self.rows[row] |= 1 << column;
        self.columns[column] |= 1 << row;
        Position {
            row,
            column,
            offset: cell.len() - 1,
        }
    }

    /// Removes a worker. If another worker takes over the position, its slot is returned; the
    /// caller must update the position of that worker.
    pub(crate) fn remove(&mut self, position: Position) -> Option<u32> {
        let Position {
            row,
            column,
            offset,
        } = position;
        let cell = &mut self.cells[row][column];
        cell.swap_remove(offset);
        if cell.is_empty() {
            self.rows[row] &= !(1 << column);
            self.columns[column] &= !(1 << row);
        }
        cell.get(offset).copied()
    }

    /// Whether a worker with this free capacity belongs to the same cell as `position`.
    pub(crate) fn is_same_cell(position: Position, free: Resources) -> bool {
        position.row == bucket(free.millicores) && position.column == bucket(free.memory_mib)
    }

    /// Visits workers, starting with the tightest cell, until `visit` returns `false`. Cells in
    /// the buckets of `size` itself may contain workers that are too small, so `visit` has to check
    /// the fit.
    pub(crate) fn search(&self, size: Resources, axis: Axis, mut visit: impl FnMut(u32) -> bool) {
        let (row, column) = (bucket(size.millicores), bucket(size.memory_mib));
        let (lines, first, other) = match axis {
            Axis::Cpu => (&self.rows, row, column),
            Axis::Memory => (&self.columns, column, row),
        };
        for (line, mask) in lines.iter().enumerate().skip(first) {
            let mut mask = mask & (u128::MAX << other);
            while mask != 0 {
                let across = mask.trailing_zeros() as usize;
                mask &= mask - 1;
                let cell = match axis {
                    Axis::Cpu => &self.cells[line][across],
                    Axis::Memory => &self.cells[across][line],
                };
                for slot in cell {
                    if !visit(*slot) {
                        return;
                    }
                }
            }
        }
    }
}

/// Bucket of a quantity: the position of its highest bit and the two bits below. Monotonic in the
/// quantity.
fn bucket(value: u32) -> usize {
    if value < 4 {
        return value as usize;
    }
    let octave = value.ilog2();
    let quarter = (value >> (octave - 2)) & 3;
    ((octave - 1) * 4 + quarter) as usize
}
