//! Partitioned ledger of claims with group commit and epoch fencing.
