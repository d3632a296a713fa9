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
    count: u64,
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
            count: 0,
        }
    }

    pub(crate) fn nonce(&mut self) -> Nonce {
        self.count += 1;
        let use_number = (u128::from(self.partition.0) << 64) | u128::from(self.count);
        Nonce(hashing::stable_hash_pair(
            &self.boot.0.to_le_bytes(),
            &use_number.to_le_bytes(),
        ))
    }
}
