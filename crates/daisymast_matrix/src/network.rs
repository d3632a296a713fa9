//! Messages between the parties of a session, and the links over which they are sent.

use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_protocol::worker::{Answer, WorkerReply, WorkerRequest};
use daisymast_types::ids::{CallId, InstanceId, WorkerId, Zone};

/// A sender or receiver of messages.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// An entry instance.
    Instance(InstanceId),
    /// The platform, with its store and member list.
    Platform,
    /// A worker, with the replicas on it.
    Worker(WorkerId),
}

/// Content of a message.
#[derive(Clone, Debug)]
pub enum Body {
    /// Request from an instance to the store.
    Store(StoreRequest),
    /// Reply from the store.
    StoreReply(StoreReply),
    /// Request from an instance to a worker.
    Worker(WorkerRequest),
    /// Reply from a worker.
    WorkerReply(WorkerReply),
    /// Request from one instance to another.
    Peer(PeerRequest),
    /// Reply from the other instance.
    PeerReply(PeerReply),
}

impl Body {
    /// Whether this is a request, as opposed to a reply.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Store(_) | Self::Worker(_) | Self::Peer(_))
    }

    /// Whether the message is sent periodically: watches, member lists, lease renewals, heartbeats,
    /// capacities and replica lists.
    pub fn is_periodic(&self) -> bool {
        match self {
            Self::Store(request) => {
                matches!(request, StoreRequest::Watch { .. } | StoreRequest::Members)
            }
            Self::StoreReply(reply) => matches!(reply, StoreReply::Members { .. }),
            Self::Worker(request) => matches!(request, WorkerRequest::Renew { .. }),
            Self::WorkerReply(reply) => matches!(reply, WorkerReply::Renewed { .. }),
            Self::Peer(request) => {
                matches!(
                    request,
                    PeerRequest::Heartbeat(_)
                        | PeerRequest::Capacity
                        | PeerRequest::Replicas { .. }
                )
            }
            Self::PeerReply(reply) => {
                matches!(
                    reply,
                    PeerReply::Heartbeat(_) | PeerReply::Capacity(_) | PeerReply::Replicas(_)
                )
            }
        }
    }

    /// The answer to a caller's request, if the message carries one.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Self::WorkerReply(WorkerReply::Served { answer })
            | Self::PeerReply(PeerReply::Served(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Mutable access to the answer to a caller's request, if the message carries one.
    pub fn answer_mut(&mut self) -> Option<&mut Answer> {
        match self {
            Self::WorkerReply(WorkerReply::Served { answer })
            | Self::PeerReply(PeerReply::Served(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Name of the message, as printed in golden files and reports.
    pub fn name(&self) -> String {
        let full = match self {
            Self::Store(request) => format!("{request:?}"),
            Self::StoreReply(reply) => format!("{reply:?}"),
            Self::Worker(request) => format!("{request:?}"),
            Self::WorkerReply(reply) => format!("{reply:?}"),
            Self::Peer(request) => format!("{request:?}"),
            Self::PeerReply(reply) => format!("{reply:?}"),
        };
        let end = full.find([' ', '(', '{']).unwrap_or(full.len());
        full[..end].to_owned()
    }
}

/// Identifies the call to which a message belongs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallRef {
    /// Instance that made the call.
    pub instance: InstanceId,
    /// Boot number of the process that made the call.
    pub boot: u64,
    /// Number of the call within that process.
    pub call: CallId,
}

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Message {
    /// Party that sent the message.
    pub from: Party,
    /// Party to which the message is addressed.
    pub to: Party,
    /// Call to which the message belongs.
    pub call: CallRef,
    /// Deadline of the call, in milliseconds of virtual time.
    pub deadline: u64,
    /// Request or reply in the message.
    pub body: Body,
}

/// Links that are cut at present.
#[derive(Clone, Debug, Default)]
pub struct CutLinks {
    /// Zones that cannot reach the platform.
    pub platform: Vec<Zone>,
    /// Zones that cannot reach other zones.
    pub zones: Vec<Zone>,
    /// Instances that cannot reach any other party.
    pub instances: Vec<InstanceId>,
}

impl CutLinks {
    /// Whether messages can pass between two parties, each given with its zone. The platform has no
    /// zone.
    pub fn permits(&self, a: (&Party, Option<&Zone>), b: (&Party, Option<&Zone>)) -> bool {
        let is_cut_off = |party: &Party| match party {
            Party::Instance(instance) => self.instances.contains(instance),
            Party::Platform | Party::Worker(_) => false,
        };
        if is_cut_off(a.0) || is_cut_off(b.0) {
            return false;
        }
        match (a.1, b.1) {
            (Some(one), Some(other)) => {
                one == other || !(self.zones.contains(one) || self.zones.contains(other))
            }
            (Some(zone), None) | (None, Some(zone)) => !self.platform.contains(zone),
            (None, None) => true,
        }
    }
}
