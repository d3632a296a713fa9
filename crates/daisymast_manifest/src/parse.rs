//! Parses and validates a manifest, and reports all its faults together.

use daisymast_protocol::limits;
use daisymast_types::ids::Release;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use serde_path_to_error::{Path, Segment};

use crate::fault::Faults;
use crate::json::UniqueKeyValue;
use crate::manifest::{Batch, GangJob, Manifest, Service, TeamQuota};
use crate::rules;

/// Parses and validates the JSON text of a manifest. A manifest with a fault is rejected as a
/// whole.
///
/// The text is the output of a build pipeline, at most [`limits::MANIFEST_BYTES`] long.
///
/// # Errors
/// Returns all faults, each with the field, its value and what is allowed: at most one type fault
/// per item, and all violated rules of the items without a type fault.
///
/// ```
/// use daisymast_manifest::parse;
/// let manifest = parse::parse(
///     r#"{"release": "r41", "teams": [
///         {"name": "crews", "quota": {"millicores": 64000, "memory_mib": 131072}}]}"#,
/// )?;
/// assert_eq!(manifest.release.as_str(), "r41");
///
/// let faults = parse::parse(r#"{"release": "", "servcies": []}"#).unwrap_err();
/// assert_eq!(faults.iter().count(), 2);
/// # Ok::<(), daisymast_manifest::fault::Faults>(())
/// ```
pub fn parse(text: &str) -> Result<Manifest, Faults> {
    let mut faults = Faults::default();
    if text.len() > limits::MANIFEST_BYTES {
        let allowed = format!("at most {} bytes are allowed", limits::MANIFEST_BYTES);
        faults.add("manifest", &format_args!("{} bytes", text.len()), allowed);
        return Err(faults);
    }
    let Some(fields) = parse_object(text, &mut faults) else {
        return Err(faults);
    };
    let unchecked = UncheckedManifest::read(fields, &mut faults);
    rules::check(&unchecked, &mut faults);
    if faults.is_empty() {
        Ok(unchecked.into_manifest())
    } else {
        Err(faults)
    }
}

/// The items of a list that have the right types, with their indexes in the text.
pub(crate) struct WellTyped<T> {
    pub(crate) items: Vec<(usize, T)>,
    /// Length of the list in the text.
    pub(crate) declared: usize,
}

impl<T> WellTyped<T> {
    /// Whether every item has the right types.
    pub(crate) fn is_complete(&self) -> bool {
        self.items.len() == self.declared
    }

    fn into_items(self) -> Vec<T> {
        self.items.into_iter().map(|(_, item)| item).collect()
    }
}

/// A manifest whose rules have not been checked. Items with type faults are missing.
pub(crate) struct UncheckedManifest {
    pub(crate) release: Option<Release>,
    pub(crate) teams: WellTyped<TeamQuota>,
    pub(crate) services: WellTyped<Service>,
    pub(crate) batches: WellTyped<Batch>,
    pub(crate) gang_jobs: WellTyped<GangJob>,
}

impl UncheckedManifest {
    fn read(mut fields: Map<String, Value>, faults: &mut Faults) -> Self {
        let unchecked = Self {
            release: parse_release(fields.remove("release"), faults),
            teams: parse_list(&mut fields, "teams", faults),
            services: parse_list(&mut fields, "services", faults),
            batches: parse_list(&mut fields, "batches", faults),
            gang_jobs: parse_list(&mut fields, "gang_jobs", faults),
        };
        for (name, value) in &fields {
            let allowed = "unknown field, expected one of `release`, `teams`, `services`, \
                           `batches`, `gang_jobs`";
            faults.add(name, value, allowed.to_owned());
        }
        unchecked
    }

    fn into_manifest(self) -> Manifest {
        Manifest {
            release: self.release.unwrap_or_else(|| Release::from("")),
            teams: self.teams.into_items(),
            services: self.services.into_items(),
            batches: self.batches.into_items(),
            gang_jobs: self.gang_jobs.into_items(),
        }
    }
}

/// Parses the text as a single object. `serde_json` rejects nesting deeper than 128 levels.
fn parse_object(text: &str, faults: &mut Faults) -> Option<Map<String, Value>> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = match serde_path_to_error::deserialize::<_, UniqueKeyValue>(&mut reader) {
        Ok(UniqueKeyValue(value)) => value,
        Err(error) => {
            let path = match error.path().iter().next() {
                Some(_) => error.path().to_string(),
                None => "manifest".to_owned(),
            };
            faults.add(&path, &"invalid JSON", error.inner().to_string());
            return None;
        }
    };
    if let Err(error) = reader.end() {
        faults.add("manifest", &"invalid JSON", error.to_string());
        return None;
    }
    match value {
        Value::Object(fields) => Some(fields),
        other => {
            faults.add("manifest", &other, "expected an object".to_owned());
            None
        }
    }
}

fn parse_release(value: Option<Value>, faults: &mut Faults) -> Option<Release> {
    match value {
        Some(Value::String(text)) => Some(Release::from(text)),
        Some(other) => {
            faults.add("release", &other, "expected a string".to_owned());
            None
        }
        None => {
            faults.add("release", &"nothing", "a string is required".to_owned());
            None
        }
    }
}

fn parse_list<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &str,
    faults: &mut Faults,
) -> WellTyped<T> {
    let values = match fields.remove(name) {
        None => Vec::new(),
        Some(Value::Array(values)) => values,
        Some(other) => {
            faults.add(name, &other, "expected a list".to_owned());
            return WellTyped {
                items: Vec::new(),
                declared: 1,
            };
        }
    };
    let declared = values.len();
    let items = values
        .iter()
        .enumerate()
        .filter_map(|(index, value)| {
            Some((
                index,
                parse_item(&format!("{name}[{index}]"), value, faults)?,
            ))
        })
        .collect();
    WellTyped { items, declared }
}

fn parse_item<T: DeserializeOwned>(path: &str, value: &Value, faults: &mut Faults) -> Option<T> {
    match serde_path_to_error::deserialize(value) {
        Ok(item) => Some(item),
        Err(error) => {
            let found = value_at(value, error.path()).unwrap_or(value);
            let path = join_path(path, error.path());
            faults.add(&path, found, error.inner().to_string());
            None
        }
    }
}

fn join_path(prefix: &str, path: &Path) -> String {
    if path.iter().next().is_none() {
        return prefix.to_owned();
    }
    format!("{prefix}.{path}")
}

/// Returns the value at `path` relative to `value`.
fn value_at<'a>(value: &'a Value, path: &Path) -> Option<&'a Value> {
    path.iter().try_fold(value, |value, segment| match segment {
        Segment::Seq { index } => value.get(index),
        Segment::Map { key } => value.get(key),
        Segment::Enum { .. } | Segment::Unknown => Some(value),
    })
}
