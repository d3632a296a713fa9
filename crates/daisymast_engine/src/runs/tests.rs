//! Runs of one instance against a store, a holder with workers, and a virtual clock.

mod faults;
mod gangs;
mod harness;
mod holder;
mod interleavings;
mod ordinary;
mod quotas;
mod reclaims;
