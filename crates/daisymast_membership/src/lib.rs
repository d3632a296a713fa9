//! View of live instances, weighted rendezvous hashing and control-lease state.

pub mod assignment;
pub mod lease;
pub mod rendezvous;
pub mod view;
