//! Who acts on a partition.

use daisymast_types::hashing;
use daisymast_types::ids::{BootId, InstanceId, Nonce, Partition};

/// Who acts, and its source of nonces.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) partition: Partition,
    pub(crate) owner: InstanceId,
    pub(crate) address: String,
    boot: BootId,
    /// Nonces made so far.
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
        Nonce(hashing::stable_pair(
            &self.boot.0.to_le_bytes(),
            &sequence.to_le_bytes(),
        ))
    }
}
