//! Ownership of one ledger partition: when this instance takes it over and how long it backs off
//! after being fenced.

use std::time::Duration;

use daisymast_ledger::effect::{Change, Effect};
use daisymast_ledger::partition;
use daisymast_types::ids::{Epoch, InstanceId, Partition};
use daisymast_types::time::{Monotonic, Timestamp};

use crate::config::InstanceConfig;
use crate::shared::Context;

/// Time for which this instance must be the preferred owner before it takes a partition over. After
/// a start the view is still incomplete, so the preferred owner can change within this time.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Initial backoff after another instance fenced this one. It doubles each time, because two
/// instances that cannot see each other would otherwise take the partition from each other
/// repeatedly.
const FENCED_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum backoff after being fenced.
const FENCED_BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Duration of ownership after which the backoff is reset to its initial value.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(60);

/// A ledger partition with the local takeover policy.
#[derive(Clone, Debug)]
pub(crate) struct PartitionOwnership {
    pub(crate) id: Partition,
    pub(crate) partition: partition::Partition,
    /// The other instance that was last seen as the owner.
    last_other_owner: Option<InstanceId>,
    preferred_since: Option<Monotonic>,
    owned_since: Option<Monotonic>,
    not_before: Monotonic,
    backoff: Duration,
    /// Last error recorded on the timeline, to avoid recording it repeatedly.
    last_error: Option<String>,
}

impl PartitionOwnership {
    pub(crate) fn new(id: Partition, config: &InstanceConfig) -> Self {
        let owner = config.instance.clone();
        Self {
            id,
            partition: partition::Partition::new(id, owner, &config.address, config.boot),
            last_other_owner: None,
            preferred_since: None,
            owned_since: None,
            not_before: Monotonic::ZERO,
            backoff: FENCED_BACKOFF,
            last_error: None,
        }
    }

    /// Takes the partition over if this instance has been preferred long enough, or immediately if
    /// a draining instance has released it. An owner that is no longer preferred keeps the
    /// partition until it is fenced.
    pub(crate) fn reconcile(
        &mut self,
        now: Timestamp,
        preferred: bool,
        (other_owner, draining): (Option<(InstanceId, Epoch)>, &[InstanceId]),
    ) -> Vec<Effect> {
        let abandoned = other_owner.is_none()
            && self
                .last_other_owner
                .as_ref()
                .is_some_and(|last| draining.contains(last));
        if let Some((instance, _)) = &other_owner {
            self.last_other_owner = Some(instance.clone());
        }
        if !preferred {
            self.preferred_since = None;
        }
        if !self.partition.is_idle() {
            return other_owner.map_or_else(Vec::new, |(_, epoch)| {
                self.partition.on_other_owner(now, epoch)
            });
        }
        if !preferred {
            return Vec::new();
        }
        let since = *self.preferred_since.get_or_insert(now.mono);
        let delay_elapsed = abandoned || now.mono - since >= TAKEOVER_DELAY;
        if !delay_elapsed || now.mono < self.not_before {
            return Vec::new();
        }
        self.partition.take_over(now)
    }

    /// Updates the takeover policy and records an ownership change on the timeline.
    pub(crate) fn on_change(&mut self, cx: &mut Context<'_>, change: Change) {
        let now = cx.now.mono;
        let subject = format!("partition {}", self.id);
        match change {
            Change::Owned(epoch) => {
                self.owned_since = Some(now);
                self.last_error = None;
                cx.outbox
                    .record("partition.owned", &subject, format!("epoch {epoch}"));
            }
            Change::Fenced(epoch) => {
                let owned_for = self
                    .owned_since
                    .take()
                    .map_or(Duration::ZERO, |at| now - at);
                if owned_for >= BACKOFF_RESET_AFTER {
                    self.backoff = FENCED_BACKOFF;
                }
                self.not_before = now + self.backoff + cx.outbox.jitter(self.backoff);
                self.backoff = (self.backoff * 2).min(FENCED_BACKOFF_MAX);
                let by = epoch.map_or_else(
                    || "by another owner".to_owned(),
                    |epoch| format!("by epoch {epoch}"),
                );
                cx.outbox.record("partition.fenced", &subject, by);
            }
            Change::Released => {
                self.owned_since = None;
                cx.outbox
                    .record("partition.released", &subject, String::new());
            }
            Change::Unreadable(reason) => {
                self.owned_since = None;
                self.record_error(cx, "partition.unreadable", &subject, reason);
            }
            Change::Refused(reason) => self.record_error(cx, "partition.refused", &subject, reason),
        }
    }

    fn record_error(&mut self, cx: &mut Context<'_>, step: &str, subject: &str, reason: String) {
        if self.last_error.as_ref() != Some(&reason) {
            cx.outbox.record(step, subject, reason.clone());
            self.last_error = Some(reason);
        }
    }
}
