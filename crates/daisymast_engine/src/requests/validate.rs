//! Validation of caller requests before admission.

use std::time::Duration;

use daisymast_manifest::manifest::{Manifest, Service};
use daisymast_protocol::caller::{CallerRequest, NotRunReason};
use daisymast_protocol::limits;
use daisymast_types::hashing;
use daisymast_types::ids::RequestId;
use daisymast_types::time::UnixMillis;
use uuid::Uuid;

/// Maximum length of a request id in bytes.
pub(crate) const MAX_ID_BYTES: usize = 128;
/// Maximum distance of an id's timestamp into the future, to tolerate clock skew of callers.
pub(crate) const MAX_ID_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Validates a request against the limits and the manifest in force, and returns its service.
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

/// Validates the id of a non-idempotent request: a UUIDv7 in canonical text form that is not too
/// old. Other text forms are rejected because the ledger would treat two forms of one UUID as
/// different ids.
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

/// Digest of service name and body as 32 hexadecimal digits. It is recorded with the claim, to
/// detect an id that is reused for a different request.
pub(crate) fn claim_digest(request: &CallerRequest) -> String {
    let service = request.service.as_str();
    let text = format!("{}:{service}{}", service.len(), request.body);
    format!("{:032x}", hashing::digest(text.as_bytes()))
}
