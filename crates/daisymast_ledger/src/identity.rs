//! Identity under which an instance writes to a partition.

use daisymast_types::hashing;
use daisymast_types::ids::{BootId, InstanceId, Nonce, Partition};

/// The partition, the instance that writes to it, and the generator of its nonces.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) partition: Partition,
    pub(crate) owner: InstanceId,
    pub(crate) address: String,
    boot: BootId,
    /// Number of nonces generated so far.
    nonces_issued: u64,
}

impl Identity {
    pub(crate) fn new(
        partition: Partition,
        owner: InstanceId,
        address: &str,
        boot: BootId,
    ) -> Self {
        Self {
            partition,
            owner,
            address: address.to_owned(),
            boot,
            nonces_issued: 0,
        }
    }

    pub(crate) fn next_nonce(&mut self) -> Nonce {
        self.nonces_issued += 1;
        let sequence = (u128::from(self.partition.0) << 64) | u128::from(self.nonces_issued);
        Nonce(hashing::stable_hash_pair(
            &self.boot.0.to_le_bytes(),
            &sequence.to_le_bytes(),
        ))
    }
}
