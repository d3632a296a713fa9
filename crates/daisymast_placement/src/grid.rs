//! Index of workers by what is free on them.
//!
//! Free processors and free memory are each divided into buckets, four to an octave. A cell of the
//! grid holds the workers of one pair of buckets, and bit masks tell which cells of a row or column
//! are not empty. A search walks from the tightest cells to looser ones and stops after a few
//! candidates, so its cost hardly depends on the number of workers.

use daisymast_types::quantities::Resources;

/// Buckets of one quantity: 32 octaves of four.
const BUCKETS: usize = 128;

/// Which quantity is scarce for a demand; the search is tight in it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Axis {
    Cpu,
    Memory,
}

/// Where a worker is in the grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    row: usize,
    column: usize,
    offset: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Grid {
    /// Slots of the pool by row (processors) and column (memory). A row is allocated at its first
    /// use, since few are used and pools may live for one decision only.
    cells: Vec<Vec<Vec<u32>>>,
    /// Bit per column that is not empty, for each row.
    rows: [u128; BUCKETS],
    /// Bit per row that is not empty, for each column.
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

    /// Takes a worker out. The worker that fills its place in the cell, if any, is returned and now
    /// has the removed worker's position.
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

    /// Whether a worker with this much free stays in its cell.
    pub(crate) fn is_same_cell(position: Position, free: Resources) -> bool {
        position.row == bucket(free.millicores) && position.column == bucket(free.memory_mib)
    }

    /// Visits workers from the tightest cell on until `visit` returns false. Cells at the edge may
    /// hold workers that are too small; `visit` has to check.
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

/// Bucket of a quantity: its octave and the two bits below the highest one. It never falls as the
/// quantity rises.
fn bucket(value: u32) -> usize {
    if value < 4 {
        return value as usize;
    }
    let octave = value.ilog2();
    let quarter = (value >> (octave - 2)) & 3;
    ((octave - 1) * 4 + quarter) as usize
}
