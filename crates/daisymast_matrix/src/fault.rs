//! Faults that can be injected into a session.

use std::fmt;

use crate::network::{Message, Party};

/// A fault that is injected at one step. A step is one message of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The sender crashes before it sends the message.
    SenderDiesBefore,
    /// The sender crashes right after it sent the message.
    SenderDiesAfter,
    /// The receiver crashes before it handles the message.
    ReceiverDiesBefore,
    /// The receiver crashes after it handled the message and before it replied.
    ReceiverDiesAfter,
    /// The message is lost.
    Lost,
    /// The message arrives after the deadline of its call.
    Late,
    /// The message is delivered twice.
    Twice,
    /// The message arrives after messages that were sent later.
    Reordered,
    /// The message carries the answer to another caller's request.
    Crossed,
    /// The sender is paused right after it sent the message, and resumes after its leases expired.
    SenderPauses,
    /// The receiver is paused with the message in its buffer, and resumes after its leases expired.
    ReceiverPauses,
    /// The store is unavailable during the outage.
    StoreDown,
    /// The store responds slowly during the outage.
    StoreSlow,
    /// Writes to the store take effect during the outage, but their replies are lost.
    StoreLosesAnswers,
    /// The zone of the calling instance cannot reach the platform.
    ZoneOffPlatform,
    /// The zone of the calling instance cannot reach the other zones.
    ZoneOffZones,
    /// The zone of the calling instance can reach neither the platform nor the other zones.
    ZoneOffAll,
    /// The calling instance is isolated from all parties, while the rest of its zone is connected.
    InstanceOff,
    /// All tasks that the sending or receiving worker starts during the outage fail.
    WorkerFails,
    /// The sending or receiving worker crashes; the message is still sent.
    WorkerDies,
}

impl Fault {
    /// All faults, in the order of the cells of the matrix.
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
    /// Whether the fault can be injected at this message.
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

    /// Whether the fault is an outage that lasts for [`OUTAGE_MS`], as opposed to a fault of a
    /// single message.
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

/// A fault and the step of the session at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Index of the step, counted from 0.
    pub step: usize,
    /// Fault that is injected at the step.
    pub fault: Fault,
}

/// Duration of a pause or an outage, in milliseconds of virtual time. Longer than the control lease
/// of 3 s, so that leases expire.
pub const OUTAGE_MS: u64 = 8_000;
/// Time after which a new process replaces a crashed instance or worker, in milliseconds.
pub const REPLACED_AFTER_MS: u64 = 3_000;
/// Extra delay of a reordered or duplicated message, in milliseconds: several times the latency of
/// a link.
pub const REORDER_MS: u64 = 10;
/// Time after its deadline at which a late message arrives, in milliseconds.
pub const LATE_MS: u64 = 200;
