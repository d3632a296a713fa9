//! Elected schedulers and cluster members, as stored and exchanged between nodes.

use std::net::SocketAddr;

use daisymast_types::hashing;
use daisymast_types::ids;
use serde::{Deserialize, Serialize};

/// A node of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance ID.
    pub id: ids::InstanceId,
    /// Address for requests of other nodes.
    pub address: SocketAddr,
    /// Processor share that the node may use, in thousandths of a core.
    pub millicores: u32,
    /// Availability zone of the node; empty for a node of a release that does not name it.
    #[serde(default = "unnamed_zone")]
    pub zone: ids::Zone,
}

fn unnamed_zone() -> ids::Zone {
    "".into()
}

/// Value of the leader key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The elected node.
    pub node: Member,
    /// Identifies the process of the node, and changes when it restarts.
    pub life: u64,
    /// Whether the scheduler has resigned and no longer acts.
    pub resigned: bool,
    /// Longest time, in milliseconds from the write of this record, for which leaders of earlier
    /// terms may still act; `None` in a record of a release that does not write it.
    #[serde(default)]
    pub former_ms: Option<u64>,
}

/// An elected scheduler and its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Elected {
    /// Revision of the leader key, which is the fencing token.
    pub term: u64,
    /// Value of the leader key.
    pub leader: Leader,
}

/// Returns a digest of the IDs of nodes, independent of their order. With it, the scheduler need
/// not resend the list to a node that already has it.
///
/// ```
/// use daisymast_election::record;
/// let member = |name: &str| record::Member {
///     id: name.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     millicores: 250,
///     zone: "z".into(),
/// };
/// let (a, b) = (member("a"), member("b"));
/// assert_eq!(
///     record::members_digest(&[a.clone(), b.clone()]),
///     record::members_digest(&[b.clone(), a]),
/// );
/// assert_ne!(record::members_digest(&[b]), 0);
/// ```
pub fn members_digest(members: &[Member]) -> u64 {
    members
        .iter()
        .map(|member| hashing::stable_hash(member.id.as_str().as_bytes()))
        .fold(0, u64::wrapping_add)
}
