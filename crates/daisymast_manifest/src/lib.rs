//! The release manifest: parsing, validation, differences, quotas and the stored record.

pub mod diff;
pub mod fault;
pub mod manifest;
pub mod parse;
pub mod quota;
pub mod record;

mod json;
mod rules;
