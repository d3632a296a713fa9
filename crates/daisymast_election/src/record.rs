//! What the store and the nodes say of the scheduler.

use std::net::SocketAddr;

use daisymast_types::hashing;
use daisymast_types::ids;
use serde::{Deserialize, Serialize};

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id.
    pub id: ids::InstanceId,
    /// Address for other nodes.
    pub address: SocketAddr,
    /// Part of a core that it may use, in thousandths.
    pub millicores: u32,
}

/// Value of the leader key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The node that was elected.
    pub node: Member,
    /// Distinguishes two lives of the node.
    pub life: u64,
    /// It has given the role back and acts no more.
    pub resigned: bool,
}

/// An elected scheduler and its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Elected {
    /// Revision of the leader key: the fencing token.
    pub term: u64,
    /// Who it is.
    pub leader: Leader,
}

/// Digest of the ids of nodes, whatever their order. A scheduler need not send the nodes again to one
/// that knows them.
///
/// ```
/// use daisymast_election::record;
/// let member = |name: &str| record::Member {
///     id: name.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     millicores: 250,
/// };
/// let (a, b) = (member("a"), member("b"));
/// assert_eq!(record::roster(&[a.clone(), b.clone()]), record::roster(&[b.clone(), a]));
/// assert_ne!(record::roster(&[b]), 0);
/// ```
pub fn roster(members: &[Member]) -> u64 {
    members
        .iter()
        .map(|member| hashing::stable(member.id.as_str().as_bytes()))
        .fold(0, u64::wrapping_add)
}
