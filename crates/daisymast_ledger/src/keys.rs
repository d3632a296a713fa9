//! Store keys of the ledger, and the mapping of ids to partitions.

use daisymast_protocol::limits;
use daisymast_types::hashing;
use daisymast_types::ids::{Partition, RequestId, RunKey};

/// Number of segments of a partition in the store. One list call reads all of them: 64 segments of
/// at most 119 KB, the largest value at twice the peak load, are 7.6 MB.
pub const SLOTS: u64 = 64;

/// Iterates over all partitions of the ledger.
pub fn partitions() -> impl Iterator<Item = Partition> {
    (0..limits::PARTITION_COUNT).map(Partition)
}

/// Partition that records the claim of a request.
///
/// ```
/// use daisymast_ledger::keys;
/// use daisymast_protocol::limits;
/// use daisymast_types::ids;
/// let partition = keys::partition_of_request(&ids::RequestId::from("0190c5a0-1111-7000-8000-000000000001"));
/// assert!(partition.0 < limits::PARTITION_COUNT);
/// ```
pub fn partition_of_request(id: &RequestId) -> Partition {
    of_hash(hashing::stable_hash(id.as_str().as_bytes()))
}

/// Partition that records a run.
pub fn partition_of_run(run: RunKey) -> Partition {
    of_hash(hashing::stable_hash(&run.0.to_le_bytes()))
}

/// Key of the [`Head`](crate::segment::Head) of a partition.
pub fn head(partition: Partition) -> String {
    format!("ledger/{partition}/head")
}

/// Key prefix of the segments of a partition.
pub fn segments(partition: Partition) -> String {
    format!("ledger/{partition}/seg/")
}

/// Key of the slot that holds a segment. Slots are overwritten in turn and never deleted.
pub fn segment(partition: Partition, number: u64) -> String {
    format!("ledger/{partition}/seg/{:012}", slot(number))
}

/// Slot of a segment, from 0 to [`SLOTS`] - 1.
pub fn slot(number: u64) -> u64 {
    number % SLOTS
}

/// Key prefix of the claim files of one hour, counted since the Unix epoch.
pub fn claim_files(partition: Partition, hour: u64) -> String {
    format!("ledger/{partition}/claims/{hour:08}/")
}

/// Key of the claim file whose first segment is `from`.
pub fn claim_file(partition: Partition, hour: u64, from: u64) -> String {
    format!("ledger/{partition}/claims/{hour:08}/{from:012}")
}

fn of_hash(hash: u64) -> Partition {
    Partition(u16::try_from(hash % u64::from(limits::PARTITION_COUNT)).unwrap_or_default())
}
