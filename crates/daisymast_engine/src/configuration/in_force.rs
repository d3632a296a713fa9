//! The manifest in force and the rule by which it is replaced.

use std::sync::Arc;

use daisymast_manifest::manifest::Manifest;
use daisymast_manifest::parse;
use daisymast_manifest::record::Record;
use daisymast_protocol::store::Entry;
use daisymast_types::ids::{Generation, InstanceId, Revision};

use crate::shared::Context;

/// Text of the manifest in force and what is known of the store key.
#[derive(Clone, Debug, Default)]
pub(crate) struct InForce {
    body: String,
    /// Revision of the key when it was last read; nothing before the first read.
    seen: Option<Revision>,
    /// Error states that are recorded already, of the store and of a peer.
    store_error: Option<String>,
    peer_error: Option<String>,
}

impl InForce {
    /// JSON text of the manifest in force, empty if there is none.
    pub(crate) fn body(&self) -> &str {
        &self.body
    }

    /// Revision from which to watch the key.
    pub(crate) fn seen(&self) -> Revision {
        self.seen.unwrap_or_default()
    }

    /// Takes the state of the store key. Only a higher generation replaces the manifest in force:
    /// a store that was restored to an older state must not bring retired jobs back.
    pub(crate) fn observe(&mut self, cx: &mut Context<'_>, entry: Option<&Entry>) {
        let revision = entry.map_or(Revision(0), |entry| entry.revision);
        if self.seen == Some(revision) {
            return;
        }
        self.seen = Some(revision);
        let error = match entry {
            Some(entry) => self.take_record(cx, &entry.value).err(),
            None if cx.shared.generation > Generation(0) => Some(format!(
                "the store key is absent, generation {} stays in force",
                cx.shared.generation
            )),
            None => None,
        };
        report(cx, &mut self.store_error, error);
    }

    fn take_record(&mut self, cx: &mut Context<'_>, value: &str) -> Result<(), String> {
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

    /// Takes a manifest that a peer has in force. Returns false if its body is unusable.
    pub(crate) fn take_from_peer(
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
        report(cx, &mut self.peer_error, error);
        is_usable
    }

    /// Puts a manifest in force if its generation is higher than the present one.
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

/// Records the begin, each change and the end of an error state, and nothing while it lasts.
fn report(cx: &mut Context<'_>, known: &mut Option<String>, error: Option<String>) {
    if *known == error {
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
    *known = error;
}
