//! Membership view of live instances, weighted rendezvous hashing and control leases.

pub mod assignment;
pub mod lease;
pub mod rendezvous;
pub mod view;
