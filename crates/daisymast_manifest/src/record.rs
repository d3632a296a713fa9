//! The value of the store key `manifest`.

use daisymast_protocol::limits;
use daisymast_types::ids::{Generation, Nonce, Release};
use serde::{Deserialize, Serialize};

use crate::fault::Faults;
use crate::manifest::Manifest;
use crate::parse;

/// Store key of the manifest in force.
pub const KEY: &str = "manifest";

/// The manifest in force with its place in the order of all accepted ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Number of the accepted manifest, from 1.
    pub generation: Generation,
    /// Random value of the submission, by which its author recognises the write.
    pub nonce: Nonce,
    /// Release of the body.
    pub release: Release,
    /// The manifest as JSON text.
    pub body: String,
}

/// Why a store value is no usable record.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The value is not the JSON of a record.
    #[error("store key {KEY}: {0}")]
    Json(String),
    /// The body has faults.
    #[error("store key {KEY}: body: {0}")]
    Body(#[from] Faults),
    /// The generation is zero, which stands for no manifest.
    #[error("store key {KEY}: generation = 0: must be at least 1")]
    ZeroGeneration,
    /// The record and its body name different releases.
    #[error("store key {KEY}: release = {record:?}: the body has {body:?}")]
    ReleaseMismatch {
        /// Release of the record.
        record: Release,
        /// Release of the body.
        body: Release,
    },
}

impl Record {
    /// Encodes the record as the value of the store key.
    ///
    /// # Errors
    /// The length in bytes if the value is larger than the store takes. Escapes can double the
    /// length of a body that is itself within its limit.
    pub fn to_value(&self) -> Result<String, usize> {
        let value = serde_json::to_string(self).map_err(|_| 0_usize)?;
        if value.len() > limits::STORE_VALUE_BYTES {
            return Err(value.len());
        }
        Ok(value)
    }

    /// Decodes and checks a value of the store key, body included.
    ///
    /// # Errors
    /// The value is no record, or its body is no valid manifest.
    ///
    /// ```
    /// use daisymast_manifest::record;
    /// let value = r#"{"generation":3,"nonce":9,"release":"r1","body":"{\"release\":\"r1\"}"}"#;
    /// let (record, manifest) = record::Record::from_value(value)?;
    /// assert_eq!(record.generation.0, 3);
    /// assert_eq!(manifest.release.as_str(), "r1");
    /// # Ok::<(), record::RecordError>(())
    /// ```
    pub fn from_value(value: &str) -> Result<(Self, Manifest), RecordError> {
        let record = Self::decode(value)?;
        let manifest = record.manifest()?;
        Ok((record, manifest))
    }

    /// Decodes a value of the store key and leaves its body unchecked.
    ///
    /// # Errors
    /// The value is no record.
    pub fn decode(value: &str) -> Result<Self, RecordError> {
        let record: Self =
            serde_json::from_str(value).map_err(|error| RecordError::Json(error.to_string()))?;
        if record.generation == Generation(0) {
            return Err(RecordError::ZeroGeneration);
        }
        Ok(record)
    }

    /// Parses and checks the body.
    ///
    /// # Errors
    /// The body is no valid manifest, or is that of another release.
    pub fn manifest(&self) -> Result<Manifest, RecordError> {
        let manifest = parse::parse(&self.body)?;
        if manifest.release != self.release {
            return Err(RecordError::ReleaseMismatch {
                record: self.release.clone(),
                body: manifest.release,
            });
        }
        Ok(manifest)
    }
}
