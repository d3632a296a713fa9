//! The release manifest aggregate: parsing, checks, differences and generations.

pub mod diff;
pub mod fault;
pub mod manifest;
pub mod parse;
pub mod quota;
pub mod record;

mod json;
mod rules;
