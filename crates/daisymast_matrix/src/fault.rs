//! Faults and the step at which each strikes.

use std::fmt;

use crate::network::{Message, Party};

/// What goes wrong at one step. A step is one message of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The sender dies before the message leaves.
    SenderDiesBefore,
    /// The sender dies right after the message left.
    SenderDiesAfter,
    /// The receiver dies before it handles the message.
    ReceiverDiesBefore,
    /// The receiver dies after it handled the message and before it replied.
    ReceiverDiesAfter,
    /// The message is lost.
    Lost,
    /// The message arrives after the deadline of its call.
    Late,
    /// The message arrives twice.
    Twice,
    /// The message arrives after the ones that were sent next.
    Reordered,
    /// The answer in the message is that of another caller's request.
    Crossed,
    /// The sender is paused past its leases right after the message left, and resumes.
    SenderPauses,
    /// The receiver is paused past its leases with the message in its buffer, and resumes.
    ReceiverPauses,
    /// The store is down for a while.
    StoreDown,
    /// The store answers slowly for a while.
    StoreSlow,
    /// Writes take effect in the store for a while, but their answers are lost.
    StoreLosesAnswers,
    /// The zone of an instance that takes part is cut off from the platform.
    ZoneOffPlatform,
    /// The zone is cut off from the other zones.
    ZoneOffZones,
    /// The zone is cut off from both.
    ZoneOffAll,
    /// The instance is cut off from everybody while its zone is not.
    InstanceOff,
    /// The worker that takes part fails everything that it starts.
    WorkerFails,
    /// The worker that takes part dies.
    WorkerDies,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 20] = [
        Self::SenderDiesBefore,
        Self::SenderDiesAfter,
        Self::ReceiverDiesBefore,
        Self::ReceiverDiesAfter,
        Self::Lost,
        Self::Late,
        Self::Twice,
        Self::Reordered,
        Self::Crossed,
        Self::SenderPauses,
        Self::ReceiverPauses,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLosesAnswers,
        Self::ZoneOffPlatform,
        Self::ZoneOffZones,
        Self::ZoneOffAll,
        Self::InstanceOff,
        Self::WorkerFails,
        Self::WorkerDies,
    ];
}

impl Fault {
    /// Whether the fault can strike at a message of that name between these parties.
    pub fn applies_to(self, message: &Message) -> bool {
        let is_worker = |party: &Party| matches!(party, Party::Worker(_));
        match self {
            Self::Crossed => message.body.answer().is_some(),
            Self::WorkerFails | Self::WorkerDies => {
                is_worker(&message.from) || is_worker(&message.to)
            }
            _ => true,
        }
    }

    /// Whether the fault lasts for a while and does not concern one message.
    pub fn is_outage(self) -> bool {
        matches!(
            self,
            Self::StoreDown
                | Self::StoreSlow
                | Self::StoreLosesAnswers
                | Self::ZoneOffPlatform
                | Self::ZoneOffZones
                | Self::ZoneOffAll
                | Self::InstanceOff
                | Self::WorkerFails
                | Self::WorkerDies
        )
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault and the step of the session at which it strikes, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Step.
    pub step: usize,
    /// Fault.
    pub fault: Fault,
}

/// How long a pause or an outage lasts, in milliseconds of virtual time. Longer than the control
/// lease of 3 s, so that leases are lost.
pub const OUTAGE_MS: u64 = 8_000;
/// Time after which a dead instance is replaced by a new process, in milliseconds.
pub const REPLACED_AFTER_MS: u64 = 3_000;
/// Delay of a reordered message, in milliseconds: several times the latency of a link.
pub const REORDER_MS: u64 = 10;
/// Time by which a late message misses its deadline, in milliseconds.
pub const LATE_MS: u64 = 200;
