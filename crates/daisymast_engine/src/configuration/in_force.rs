//! The manifest in force, and the rule that decides when a newer one replaces it.

use std::sync::Arc;

use daisymast_manifest::manifest::Manifest;
use daisymast_manifest::parse;
use daisymast_manifest::record::Record;
use daisymast_protocol::store::Entry;
use daisymast_types::ids::{Generation, InstanceId, Revision};

use crate::shared::Context;

/// The text of the manifest in force and the last observed state of the store key.
#[derive(Clone, Debug, Default)]
pub(crate) struct ManifestInForce {
    body: String,
    /// Revision of the store key at the last read; `None` before the first one.
    seen_revision: Option<Revision>,
    /// Last recorded error of the manifest in the store.
    store_error: Option<String>,
    /// Last recorded error of a manifest from a peer.
    peer_error: Option<String>,
}

impl ManifestInForce {
    /// The JSON text of the manifest in force, empty if there is none.
    pub(crate) fn body(&self) -> &str {
        &self.body
    }

    /// Last seen revision of the store key, from which a watch continues; 0 before the first read.
    pub(crate) fn revision(&self) -> Revision {
        self.seen_revision.unwrap_or_default()
    }

    /// Applies an observed state of the store key. Only a higher generation replaces the manifest
    /// in force, so that a store restored from an old backup does not bring retired jobs back.
    pub(crate) fn observe(&mut self, cx: &mut Context<'_>, entry: Option<&Entry>) {
        let revision = entry.map_or(Revision(0), |entry| entry.revision);
        if self.seen_revision == Some(revision) {
            return;
        }
        self.seen_revision = Some(revision);
        let error = match entry {
            Some(entry) => self.apply_record(cx, &entry.value).err(),
            None if cx.shared.generation > Generation(0) => Some(format!(
                "the store key is absent, generation {} stays in force",
                cx.shared.generation
            )),
            None => None,
        };
        record_error_change(cx, &mut self.store_error, error);
    }

    /// Applies a record of the store. Returns the reason if the record is unusable, is older than
    /// the manifest in force or conflicts with it.
    fn apply_record(&mut self, cx: &mut Context<'_>, value: &str) -> Result<(), String> {
        let record = Record::decode(value).map_err(|error| error.to_string())?;
        let (offered, current) = (record.generation, cx.shared.generation);
        if offered < current {
            return Err(format!(
                "generation {offered} of the store is lower than generation {current} in force"
            ));
        }
        if offered == current {
            if record.body != self.body {
                return Err(format!(
                    "the store holds another manifest under generation {current} in force"
                ));
            }
            return Ok(());
        }
        let manifest = record.manifest().map_err(|error| error.to_string())?;
        self.apply(cx, offered, record.body, manifest, "the store");
        Ok(())
    }

    /// Applies a manifest that is in force at a peer. Returns false if its body cannot be parsed.
    pub(crate) fn apply_from_peer(
        &mut self,
        cx: &mut Context<'_>,
        peer: &InstanceId,
        generation: Generation,
        body: String,
    ) -> bool {
        if generation <= cx.shared.generation {
            return true;
        }
        let error = match parse::parse(&body) {
            Ok(manifest) => {
                self.apply(cx, generation, body, manifest, peer.as_str());
                None
            }
            Err(faults) => Some(format!("generation {generation} of {peer}: {faults}")),
        };
        let is_usable = error.is_none();
        record_error_change(cx, &mut self.peer_error, error);
        is_usable
    }

    /// Puts a manifest in force if its generation is higher than that of the current one. `source`
    /// is named in the timeline.
    pub(crate) fn apply(
        &mut self,
        cx: &mut Context<'_>,
        generation: Generation,
        body: String,
        manifest: Manifest,
        source: &str,
    ) {
        if generation <= cx.shared.generation {
            return;
        }
        let detail = format!("generation {generation} from {source}");
        cx.outbox
            .record("configuration.applied", manifest.release.as_str(), detail);
        cx.shared.generation = generation;
        cx.shared.manifest = Some(Arc::new(manifest));
        self.body = body;
    }
}

/// Records on the timeline that an error appeared, changed or ended. Records nothing while it stays
/// the same.
fn record_error_change(cx: &mut Context<'_>, last: &mut Option<String>, error: Option<String>) {
    if *last == error {
        return;
    }
    match &error {
        Some(detail) => cx
            .outbox
            .record("configuration.refused", "manifest", detail.clone()),
        None => cx
            .outbox
            .record("configuration.recovered", "manifest", String::new()),
    }
    *last = error;
}
