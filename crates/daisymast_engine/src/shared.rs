//! State that several components read.

use std::sync::Arc;

use daisymast_manifest::manifest::Manifest;
use daisymast_membership::view::View;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Generation, InstanceId, Rack, WorkerId, Zone};
use daisymast_types::time::Timestamp;

use crate::config::InstanceConfig;
use crate::outbox::Outbox;

/// What is known of a worker from the settings and the platform's list.
#[derive(Clone, Debug)]
pub(crate) struct KnownWorker {
    pub(crate) zone: Zone,
    pub(crate) rack: Rack,
    pub(crate) address: String,
    /// Whether the platform's list says that it is leaving.
    pub(crate) leaving: bool,
}

/// State with one writer each: `view` and `instances` by the heartbeat component, `workers` by the
/// heartbeat component, `manifest` and `generation` by the configuration component.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    /// View of the instances.
    pub(crate) view: View,
    /// Address of every known instance, live or not.
    pub(crate) instances: FastMap<InstanceId, (Zone, String)>,
    /// All known workers, of every zone.
    pub(crate) workers: FastMap<WorkerId, KnownWorker>,
    /// Generation in force here.
    pub(crate) generation: Generation,
    /// Manifest in force here.
    pub(crate) manifest: Option<Arc<Manifest>>,
    /// Whether the instance is draining.
    pub(crate) draining: bool,
}

/// What a component gets with each event.
pub(crate) struct Context<'a> {
    pub(crate) now: Timestamp,
    pub(crate) config: &'a InstanceConfig,
    pub(crate) shared: &'a mut Shared,
    pub(crate) outbox: &'a mut Outbox,
}
