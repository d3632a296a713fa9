//! Store keys and the partition of each id.

use daisymast_protocol::limits;
use daisymast_types::hashing;
use daisymast_types::ids::{Partition, RequestId, RunKey};

/// All partitions of the ledger.
pub fn partitions() -> impl Iterator<Item = Partition> {
    (0..limits::PARTITIONS).map(Partition)
}

/// Partition that records a request.
///
/// ```
/// use daisymast_ledger::keys;
/// use daisymast_protocol::limits;
/// use daisymast_types::ids;
/// let partition = keys::of_request(&ids::RequestId::from("0190c5a0-1111-7000-8000-000000000001"));
/// assert!(partition.0 < limits::PARTITIONS);
/// ```
pub fn of_request(id: &RequestId) -> Partition {
    of_hash(hashing::stable(id.as_str().as_bytes()))
}

/// Partition that records a run.
pub fn of_run(run: RunKey) -> Partition {
    of_hash(hashing::stable(&run.0.to_le_bytes()))
}

/// Key of the head of a partition.
pub fn head(partition: Partition) -> String {
    format!("ledger/{partition}/head")
}

/// Prefix of the segments of a partition.
pub fn segments(partition: Partition) -> String {
    format!("ledger/{partition}/seg/")
}

/// Key of one segment. The number has a fixed width, so that key order is the order of the segments.
pub fn segment(partition: Partition, number: u64) -> String {
    format!("ledger/{partition}/seg/{number:012}")
}

/// Number of the segment with that key.
pub fn segment_number(partition: Partition, key: &str) -> Option<u64> {
    key.strip_prefix(&segments(partition))?.parse().ok()
}

fn of_hash(hash: u64) -> Partition {
    Partition(u16::try_from(hash % u64::from(limits::PARTITIONS)).unwrap_or_default())
}
