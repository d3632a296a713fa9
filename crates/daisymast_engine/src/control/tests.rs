//! Tests of the control component on a virtual clock.

mod capacity;
mod hand_over;
mod lease;
mod runs;
mod serving;
mod simulation;
mod sweep;
