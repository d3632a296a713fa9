//! The manifest as it is stored under the store key `manifest`.

use daisymast_protocol::limits;
use daisymast_types::ids::{Generation, Nonce, Release};
use serde::{Deserialize, Serialize};

use crate::fault::Faults;
use crate::manifest::Manifest;
use crate::parse;

/// Store key of the manifest in force.
pub const KEY: &str = "manifest";

/// The manifest in force with its generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Sequence number of the accepted manifest, starting from 1.
    pub generation: Generation,
    /// Random value of the submission. The writer uses it to recognise its own write.
    pub nonce: Nonce,
    /// Release declared by the body.
    pub release: Release,
    /// The manifest as JSON text.
    pub body: String,
}

/// Reason why a store value is not a valid record.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The value is not valid JSON or lacks fields of a record. Contains the decoding error.
    #[error("store key {KEY}: {0}")]
    Json(String),
    /// The body is not a valid manifest.
    #[error("store key {KEY}: body: {0}")]
    Body(#[from] Faults),
    /// The generation is zero, which is reserved for the absence of a manifest.
    #[error("store key {KEY}: generation = 0: must be at least 1")]
    ZeroGeneration,
    /// The release of the record differs from that of its body.
    #[error("store key {KEY}: release = {record:?}: the body has {body:?}")]
    ReleaseMismatch {
        /// Release of the record.
        record: Release,
        /// Release of the body.
        body: Release,
    },
}

impl Record {
    /// Encodes the record as a store value.
    ///
    /// # Errors
    /// Returns the length in bytes if the value exceeds the size limit of the store, or 0 if it
    /// cannot be encoded. JSON escapes can double the length of a body that is within its own
    /// limit.
    pub fn to_value(&self) -> Result<String, usize> {
        let value = serde_json::to_string(self).map_err(|_| 0_usize)?;
        if value.len() > limits::STORE_VALUE_BYTES {
            return Err(value.len());
        }
        Ok(value)
    }

    /// Decodes and validates a store value, including its body.
    ///
    /// # Errors
    /// Returns an error if the value is not a valid record, or its body is not a valid manifest of
    /// the same release.
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

    /// Decodes a store value without validating its body.
    ///
    /// # Errors
    /// Returns an error if the value is not a record, or its generation is zero.
    pub fn decode(value: &str) -> Result<Self, RecordError> {
        let record: Self =
            serde_json::from_str(value).map_err(|error| RecordError::Json(error.to_string()))?;
        if record.generation == Generation(0) {
            return Err(RecordError::ZeroGeneration);
        }
        Ok(record)
    }

    /// Parses and validates the body.
    ///
    /// # Errors
    /// Returns an error if the body is not a valid manifest, or declares another release.
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
