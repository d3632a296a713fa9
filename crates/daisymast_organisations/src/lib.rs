//! Organisations that share a cell: their API keys, caps, rates and shares.
//!
//! The crate holds decisions only: it does no I/O and reads no clock. The node checks the keys of
//! callers with it, and the scheduler the caps and shares.

pub mod access;
pub mod api_key;
pub mod declaration;
pub mod directory;
pub mod freshness;
pub mod organisation;
pub mod rate;
pub mod share;
pub mod usage;
