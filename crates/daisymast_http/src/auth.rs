//! Message authentication of operators and instances with HMAC-SHA-256.
//!
//! The digest covers timestamp, method, path and body. It neither encrypts the content nor prevents
//! a replay within the allowed clock skew, so the network between instances has to be private.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use daisymast_types::time::UnixMillis;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Header with the timestamp and the digest, in the form `timestamp:digest`.
pub const HEADER: &str = "x-daisymast-digest";
/// Maximum difference between a message's timestamp and the receiver's clock. Covers the clock skew
/// between sender and receiver and the transfer time.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Minimum key length in bytes: the output size of SHA-256, as recommended by RFC 2104.
pub const MIN_KEY_BYTES: usize = 32;

/// Shared HMAC key. Its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Vec<u8>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl FromStr for Key {
    type Err = AuthError;

    fn from_str(text: &str) -> Result<Self, AuthError> {
        if text.len() < MIN_KEY_BYTES {
            return Err(AuthError::KeyTooShort(text.len()));
        }
        Ok(Self(text.as_bytes().to_vec()))
    }
}

/// Reason why a message was rejected as not authentic, or a key as invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// The message has no [`HEADER`].
    #[error("header {HEADER} is missing")]
    MissingHeader,
    /// The header does not have the form `timestamp:digest`, in decimal and hexadecimal digits.
    #[error("header {HEADER} is malformed")]
    MalformedHeader,
    /// The timestamp differs from the receiver's clock by more than [`MAX_CLOCK_SKEW`]. The value
    /// is the difference in milliseconds.
    #[error("message time is {0} ms off, allowed are {window} ms", window = MAX_CLOCK_SKEW.as_millis())]
    ClockSkew(u64),
    /// The digest was not computed from this message with this key.
    #[error("digest does not match")]
    DigestMismatch,
    /// The key is shorter than [`MIN_KEY_BYTES`]. The value is its length in bytes.
    #[error("key has {0} bytes, at least {MIN_KEY_BYTES} are required")]
    KeyTooShort(usize),
}

/// Parts of a request that the digest covers.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    /// HTTP method, such as `POST`.
    pub method: &'a str,
    /// Path with the query string.
    pub path: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// Returns the value of [`HEADER`] for `message` sent at `now`.
///
/// ```
/// use daisymast_http::auth;
/// use daisymast_types::time::UnixMillis;
/// let key: auth::Key = "0123456789abcdef0123456789abcdef".parse().unwrap();
/// let message = auth::Message { method: "POST", path: "/v1/peer", body: b"{}" };
/// let header = auth::sign(&key, UnixMillis(1_000), message);
/// assert_eq!(auth::verify(&key, UnixMillis(2_000), message, Some(&header)), Ok(()));
/// ```
pub fn sign(key: &Key, now: UnixMillis, message: Message<'_>) -> String {
    let tag = compute_mac(key, now, message).finalize().into_bytes();
    let mut header = format!("{}:", now.0);
    for byte in tag {
        header.push_str(&format!("{byte:02x}"));
    }
    header
}

/// Verifies the value of [`HEADER`] for `message`. Digests are compared in constant time.
///
/// # Errors
///
/// Returns an error if the header is missing or malformed, if its timestamp differs from `now` by
/// more than [`MAX_CLOCK_SKEW`], or if the digest was not computed from `message` with `key`.
pub fn verify(
    key: &Key,
    now: UnixMillis,
    message: Message<'_>,
    header: Option<&str>,
) -> Result<(), AuthError> {
    let header = header.ok_or(AuthError::MissingHeader)?;
    let (time, digest) = header.split_once(':').ok_or(AuthError::MalformedHeader)?;
    let time = UnixMillis(time.parse().map_err(|_| AuthError::MalformedHeader)?);
    let tag = parse_hex(digest).ok_or(AuthError::MalformedHeader)?;
    compute_mac(key, time, message)
        .verify_slice(&tag)
        .map_err(|_| AuthError::DigestMismatch)?;
    let skew = time.0.abs_diff(now.0);
    if u128::from(skew) > MAX_CLOCK_SKEW.as_millis() {
        return Err(AuthError::ClockSkew(skew));
    }
    Ok(())
}

/// Each part is preceded by its length, so that two different messages never have the same input.
fn compute_mac(key: &Key, time: UnixMillis, message: Message<'_>) -> Hmac<Sha256> {
    #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("key of any length");
    mac.update(&time.0.to_be_bytes());
    for part in [
        message.method.as_bytes(),
        message.path.as_bytes(),
        message.body,
    ] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    text.as_bytes()
        .chunks(2)
        .map(|pair| match pair {
            [high, low] => u8::try_from(digit(*high)? * 16 + digit(*low)?).ok(),
            _ => None,
        })
        .collect()
}
