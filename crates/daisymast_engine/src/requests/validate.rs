//! Checks of a request before anything is done for it.

use std::time::Duration;

use daisymast_manifest::manifest::{Manifest, Service};
use daisymast_protocol::caller::{CallerRequest, NotRunReason};
use daisymast_protocol::limits;
use daisymast_types::hashing;
use daisymast_types::ids::RequestId;
use daisymast_types::time::UnixMillis;
use uuid::Uuid;

/// Largest length of a request id, in bytes.
pub(crate) const MAX_ID_BYTES: usize = 128;
/// How far the issue time of an id may lie in the future, since clocks of callers differ.
pub(crate) const MAX_ID_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Checks a request against the limits and the manifest in force, and finds its service.
pub(crate) fn check_request<'m>(
    request: &CallerRequest,
    manifest: Option<&'m Manifest>,
    wall: UnixMillis,
) -> Result<&'m Service, NotRunReason> {
    let max_timeout_ms = u64::try_from(limits::REQUEST_TIMEOUT_MAX.as_millis()).unwrap_or(u64::MAX);
    let id_length = request.id.as_str().len();
    if request.body.len() > limits::CALLER_BODY_BYTES
        || request.timeout_ms == 0
        || request.timeout_ms > max_timeout_ms
        || id_length == 0
        || id_length > MAX_ID_BYTES
    {
        return Err(NotRunReason::Invalid);
    }
    let manifest = manifest.ok_or(NotRunReason::NoEndpoint)?;
    let service = manifest
        .service(&request.service)
        .ok_or(NotRunReason::UnknownService)?;
    if !request.idempotent {
        check_id(&request.id, wall)?;
    }
    Ok(service)
}

/// Only the canonical text form is taken: two forms of one UUID would be two ids to the ledger.
fn check_id(id: &RequestId, wall: UnixMillis) -> Result<(), NotRunReason> {
    let uuid = Uuid::parse_str(id.as_str()).map_err(|_| NotRunReason::Invalid)?;
    if uuid.get_version_num() != 7 || uuid.to_string() != id.as_str() {
        return Err(NotRunReason::Invalid);
    }
    let issued = uuid.get_timestamp().ok_or(NotRunReason::Invalid)?;
    let (seconds, nanos) = issued.to_unix();
    let issued = Duration::new(seconds, nanos);
    let now = Duration::from_millis(wall.0);
    if issued.saturating_sub(now) > MAX_ID_CLOCK_SKEW {
        return Err(NotRunReason::Invalid);
    }
    if now.saturating_sub(issued) > limits::REQUEST_ID_MAX_AGE {
        return Err(NotRunReason::TooOld);
    }
    Ok(())
}

/// Digest of service and body, as 32 hexadecimal digits.
pub(crate) fn claim_digest(request: &CallerRequest) -> String {
    let service = request.service.as_str();
    let text = format!("{}:{service}{}", service.len(), request.body);
    format!("{:032x}", hashing::digest(text.as_bytes()))
}
