//! One partition and when this instance tries to own it.

use std::time::Duration;

use daisymast_ledger::effect::{Change, Effect};
use daisymast_ledger::partition;
use daisymast_types::ids::{Epoch, InstanceId, Partition};
use daisymast_types::time::{Monotonic, Timestamp};

use crate::config::InstanceConfig;
use crate::shared::Context;

/// Time for which an instance has to be preferred before it takes a partition over. A view that
/// is still filling up after a start changes its mind within that time.
const STEADY: Duration = Duration::from_secs(2);
/// First pause after another instance fenced this one. It doubles each time, because two instances
/// that cannot see each other would otherwise take the partition from each other without end.
const FENCED_PAUSE: Duration = Duration::from_secs(2);
/// Longest pause after being fenced.
const FENCED_PAUSE_MAX: Duration = Duration::from_secs(60);
/// Time of ownership after which the pause starts from its first value again.
const SETTLED_AFTER: Duration = Duration::from_secs(60);

/// A partition with its takeover policy.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) id: Partition,
    pub(crate) partition: partition::Partition,
    /// Other instance that was seen as the owner last.
    last_rival: Option<InstanceId>,
    preferred_since: Option<Monotonic>,
    owned_since: Option<Monotonic>,
    not_before: Monotonic,
    pause: Duration,
    /// Last error that was recorded, so that each is recorded once.
    error: Option<String>,
}

impl Slot {
    pub(crate) fn new(id: Partition, config: &InstanceConfig) -> Self {
        let owner = config.instance.clone();
        Self {
            id,
            partition: partition::Partition::new(id, owner, &config.address, config.boot),
            last_rival: None,
            preferred_since: None,
            owned_since: None,
            not_before: Monotonic::ZERO,
            pause: FENCED_PAUSE,
            error: None,
        }
    }

    /// Takes the partition over if this instance was preferred long enough, or at once if a draining
    /// instance has given it up. An owner that is no longer preferred keeps the partition until it is
    /// fenced.
    pub(crate) fn review(
        &mut self,
        now: Timestamp,
        preferred: bool,
        (rival, draining): (Option<(InstanceId, Epoch)>, &[InstanceId]),
    ) -> Vec<Effect> {
        let abandoned = rival.is_none()
            && self
                .last_rival
                .as_ref()
                .is_some_and(|last| draining.contains(last));
        if let Some((instance, _)) = &rival {
            self.last_rival = Some(instance.clone());
        }
        if !preferred {
            self.preferred_since = None;
        }
        if !self.partition.is_idle() {
            return rival.map_or_else(Vec::new, |(_, epoch)| self.partition.on_rival(now, epoch));
        }
        if !preferred {
            return Vec::new();
        }
        let since = *self.preferred_since.get_or_insert(now.mono);
        let is_steady = abandoned || now.mono - since >= STEADY;
        if !is_steady || now.mono < self.not_before {
            return Vec::new();
        }
        self.partition.take_over(now)
    }

    /// Records a change of the ownership on the timeline.
    pub(crate) fn changed(&mut self, cx: &mut Context<'_>, change: Change) {
        let now = cx.now.mono;
        let subject = format!("partition {}", self.id);
        match change {
            Change::Owned(epoch) => {
                self.owned_since = Some(now);
                self.error = None;
                cx.outbox
                    .record("partition.owned", &subject, format!("epoch {epoch}"));
            }
            Change::Fenced(epoch) => {
                let held = self
                    .owned_since
                    .take()
                    .map_or(Duration::ZERO, |at| now - at);
                if held >= SETTLED_AFTER {
                    self.pause = FENCED_PAUSE;
                }
                self.not_before = now + self.pause + cx.outbox.jitter(self.pause);
                self.pause = (self.pause * 2).min(FENCED_PAUSE_MAX);
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
            Change::Broken(reason) => {
                self.owned_since = None;
                self.error(cx, "partition.unreadable", &subject, reason);
            }
            Change::Refused(reason) => self.error(cx, "partition.refused", &subject, reason),
        }
    }

    fn error(&mut self, cx: &mut Context<'_>, step: &str, subject: &str, reason: String) {
        if self.error.as_ref() != Some(&reason) {
            cx.outbox.record(step, subject, reason.clone());
            self.error = Some(reason);
        }
    }
}
