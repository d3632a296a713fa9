//! View of live instances, weighted rendezvous hashing and control-lease state.

pub mod rendezvous;
pub mod view;
