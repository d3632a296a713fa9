//! State shared by the components of an instance.

use std::sync::Arc;

use daisymast_manifest::manifest::Manifest;
use daisymast_membership::view::View;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Generation, InstanceId, Rack, WorkerId, Zone};
use daisymast_types::time::Timestamp;

use crate::config::InstanceConfig;
use crate::outbox::Outbox;

/// A worker known from the settings or the platform's member list.
#[derive(Clone, Debug)]
pub(crate) struct KnownWorker {
    pub(crate) zone: Zone,
    pub(crate) rack: Rack,
    pub(crate) address: String,
    /// Whether the platform's member list marks the worker as leaving.
    pub(crate) leaving: bool,
}

/// State that all components read and one component writes: the heartbeat component writes `view`,
/// `instances` and `workers`, the configuration component writes `manifest` and `generation`, and
/// the instance itself writes `draining` and its own heartbeat in `view`.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    /// Latest heartbeat of each instance, including this one.
    pub(crate) view: View,
    /// Zone and address of every known instance, live or not.
    pub(crate) instances: FastMap<InstanceId, (Zone, String)>,
    /// Known workers of all zones.
    pub(crate) workers: FastMap<WorkerId, KnownWorker>,
    /// Generation of the manifest in force at this instance.
    pub(crate) generation: Generation,
    /// Manifest in force at this instance, or `None` until the first one is loaded.
    pub(crate) manifest: Option<Arc<Manifest>>,
    /// Whether the instance is draining.
    pub(crate) draining: bool,
}

/// Time, configuration, shared state and outbox that a component gets with each event.
pub(crate) struct Context<'a> {
    pub(crate) now: Timestamp,
    pub(crate) config: &'a InstanceConfig,
    pub(crate) shared: &'a mut Shared,
    pub(crate) outbox: &'a mut Outbox,
}
