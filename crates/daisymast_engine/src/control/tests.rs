//! The control plane on a virtual clock.

mod capacity;
mod lease;
mod movement;
mod runs;
mod serving;
mod sweep;
