//! Validated JSON settings of the daisymast binaries.

pub mod entry;
pub mod fault;
pub mod operator;

mod fields;
mod secret;

pub use secret::Secret;
