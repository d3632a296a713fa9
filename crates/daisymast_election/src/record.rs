//! What the store and the nodes say of the scheduler.

use std::net::SocketAddr;

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
