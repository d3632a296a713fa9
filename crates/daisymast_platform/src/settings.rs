//! Settings of the stand-in daemon.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, ensure};
use daisymast_protocol::store::Member;
use serde::{Deserialize, Serialize};

/// Largest number of executor threads.
const THREADS_MAX: usize = 64;
/// Longest lag of the member list, in milliseconds.
const LAG_MS_MAX: u64 = 600_000;

/// Settings of `daisymast-platform`, read from a JSON file.
///
/// ```
/// use daisymast_platform::settings;
/// let settings = settings::Settings::parse(r#"{"member_lag_ms": 500}"#).unwrap();
/// assert_eq!(settings.listen.port(), 0);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Number of executor threads.
    pub threads: usize,
    /// Time after which a change is visible in the member list, in milliseconds.
    pub member_lag_ms: u64,
    /// Members that are registered at the start.
    pub members: Vec<Member>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 2,
            member_lag_ms: 1_000,
            members: Vec::new(),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, and for the reasons of [`Self::parse`].
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read settings {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("parse settings {}", path.display()))
    }

    /// Parses and validates settings from JSON text.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid field, its value and the allowed range.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let reader = &mut serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(reader)?;
        ensure!(
            (1..=THREADS_MAX).contains(&settings.threads),
            "threads: {} is not within 1 to {THREADS_MAX}",
            settings.threads
        );
        ensure!(
            settings.member_lag_ms <= LAG_MS_MAX,
            "member_lag_ms: {} is above {LAG_MS_MAX}",
            settings.member_lag_ms
        );
        Ok(settings)
    }
}
