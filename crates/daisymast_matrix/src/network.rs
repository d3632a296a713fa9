//! Messages between the parties of a session, and the links that carry them.

use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_protocol::worker::{Answer, WorkerReply, WorkerRequest};
use daisymast_types::ids::{CallId, InstanceId, WorkerId, Zone};

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    /// An entry instance.
    Instance(InstanceId),
    /// The platform.
    Platform,
    /// A worker.
    Worker(WorkerId),
}

/// What a message carries.
#[derive(Clone, Debug)]
pub enum Body {
    /// Request to the store.
    Store(StoreRequest),
    /// Reply of the store.
    StoreReply(StoreReply),
    /// Request to a worker.
    Worker(WorkerRequest),
    /// Reply of a worker.
    WorkerReply(WorkerReply),
    /// Request to an instance.
    Peer(PeerRequest),
    /// Reply of an instance.
    PeerReply(PeerReply),
}

impl Body {
    /// Whether this is the request of an exchange, not its reply.
    pub fn is_request(&self) -> bool {
        matches!(self, Self::Store(_) | Self::Worker(_) | Self::Peer(_))
    }

    /// Whether the message belongs to the exchanges that go on all the time.
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

    /// The answer for a caller, if the message carries one.
    pub fn answer(&self) -> Option<&Answer> {
        match self {
            Self::WorkerReply(WorkerReply::Served { answer })
            | Self::PeerReply(PeerReply::Served(answer)) => Some(answer),
            _ => None,
        }
    }

    /// The answer for a caller, if the message carries one.
    pub fn answer_mut(&mut self) -> Option<&mut Answer> {
        match self {
            Self::WorkerReply(WorkerReply::Served { answer })
            | Self::PeerReply(PeerReply::Served(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Name of the message, for golden files and reports.
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

/// The call that a message belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallRef {
    /// Instance that made the call.
    pub instance: InstanceId,
    /// Start of that instance's process.
    pub boot: u64,
    /// Number of the call.
    pub call: CallId,
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Message {
    /// Sender.
    pub from: Party,
    /// Receiver.
    pub to: Party,
    /// Call that the message belongs to.
    pub call: CallRef,
    /// Virtual time at which the call's deadline passes.
    pub deadline: u64,
    /// Content.
    pub body: Body,
}

/// Links that carry nothing at present.
#[derive(Clone, Debug, Default)]
pub struct CutLinks {
    /// Zones that cannot reach the platform.
    pub platform: Vec<Zone>,
    /// Zones that cannot reach other zones.
    pub zones: Vec<Zone>,
    /// Instances that can reach nobody.
    pub instances: Vec<InstanceId>,
}

impl CutLinks {
    /// Whether a message from `a` in `zone_a` can reach `b` in `zone_b`. The platform has no zone.
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
