//! Computes the differences between two manifests, for display to operators.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::manifest::Manifest;

/// Differences between two manifests, each list sorted by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Old and new release; `None` if they are equal.
    pub release: Option<(String, String)>,
    /// Items declared only by the new manifest.
    pub added: Vec<Item>,
    /// Items declared only by the old manifest. Their tasks are stopped when the new one takes
    /// effect.
    pub removed: Vec<Item>,
    /// Items declared by both manifests with different fields.
    pub changed: Vec<Change>,
}

/// A team or job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Item {
    /// `team`, `service`, `batch` or `gang job`.
    pub kind: &'static str,
    /// Name of the team or job.
    pub name: String,
}

/// A team or job with the fields that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Team or job that changed.
    pub item: Item,
    /// Fields whose values differ.
    pub fields: Vec<FieldChange>,
}

/// One changed field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Old value, as JSON.
    pub old: Value,
    /// New value, as JSON.
    pub new: Value,
}

/// Computes the differences between two manifests. The order of the items is ignored.
///
/// ```
/// use daisymast_manifest::{diff, parse};
/// let old = parse::parse(r#"{"release": "r1"}"#)?;
/// let new = parse::parse(
///     r#"{"release": "r1", "teams": [
///         {"name": "crews", "quota": {"millicores": 64000, "memory_mib": 131072}}]}"#,
/// )?;
/// assert_eq!(diff::diff(&old, &new).to_string(), "added team crews\n");
/// # Ok::<(), daisymast_manifest::fault::Faults>(())
/// ```
pub fn diff(old: &Manifest, new: &Manifest) -> Diff {
    let (old_items, new_items) = (fields_by_item(old), fields_by_item(new));
    let release =
        (old.release != new.release).then(|| (old.release.to_string(), new.release.to_string()));
    let mut diff = Diff {
        release,
        ..Diff::default()
    };
    for (item, new_fields) in &new_items {
        match old_items.get(item) {
            None => diff.added.push(item.clone()),
            Some(old_fields) if old_fields != new_fields => diff.changed.push(Change {
                item: item.clone(),
                fields: changed_fields(old_fields, new_fields),
            }),
            Some(_) => {}
        }
    }
    let only_old = old_items
        .keys()
        .filter(|item| !new_items.contains_key(item));
    diff.removed = only_old.cloned().collect();
    diff
}

impl Diff {
    /// Whether the two manifests declare the same items, fields and release.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((old, new)) = &self.release {
            writeln!(f, "release {old} -> {new}")?;
        }
        for Item { kind, name } in &self.added {
            writeln!(f, "added {kind} {name}")?;
        }
        for Item { kind, name } in &self.removed {
            writeln!(f, "removed {kind} {name}")?;
        }
        for change in &self.changed {
            let Item { kind, name } = &change.item;
            for FieldChange { field, old, new } in &change.fields {
                writeln!(f, "changed {kind} {name}: {field} {old} -> {new}")?;
            }
        }
        Ok(())
    }
}

type Fields = Map<String, Value>;

fn fields_by_item(manifest: &Manifest) -> BTreeMap<Item, Fields> {
    let teams = manifest.teams.iter();
    let services = manifest.services.iter();
    let batches = manifest.batches.iter();
    let gang_jobs = manifest.gang_jobs.iter();
    teams
        .map(|item| item_with_fields("team", item.name.as_str(), item))
        .chain(services.map(|item| item_with_fields("service", item.name.as_str(), item)))
        .chain(batches.map(|item| item_with_fields("batch", item.name.as_str(), item)))
        .chain(gang_jobs.map(|item| item_with_fields("gang job", item.name.as_str(), item)))
        .collect()
}

fn item_with_fields(kind: &'static str, name: &str, item: &impl Serialize) -> (Item, Fields) {
    let name = name.to_owned();
    // Items are plain structs with string keys, so the conversion yields an object.
    let fields = match serde_json::to_value(item) {
        Ok(Value::Object(fields)) => fields,
        Ok(_) | Err(_) => Fields::default(),
    };
    (Item { kind, name }, fields)
}

fn changed_fields(old: &Fields, new: &Fields) -> Vec<FieldChange> {
    new.iter()
        .filter_map(|(field, new)| {
            let old = old.get(field).unwrap_or(&Value::Null);
            (old != new).then(|| FieldChange {
                field: field.clone(),
                old: old.clone(),
                new: new.clone(),
            })
        })
        .collect()
}
