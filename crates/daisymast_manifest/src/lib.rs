//! The release manifest aggregate: parsing, checks, differences and generations.

pub mod manifest;
