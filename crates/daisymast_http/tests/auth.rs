//! Message authentication: guards against accepting messages from unauthenticated senders.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use common::{call, client, listener, run};
use daisymast_http::auth::{self, AuthError, Key, Message};
use daisymast_http::client::wall_clock;
use daisymast_http::server::{Limits, Request, Response, Server};
use daisymast_types::time::UnixMillis;

const NOW: UnixMillis = UnixMillis(1_800_000_000_000);

fn key(text: &str) -> Key {
    text.repeat(32).parse().unwrap()
}

fn message(body: &[u8]) -> Message<'_> {
    Message {
        method: "POST",
        path: "/v1/peer",
        body,
    }
}

/// Guards against accepting a message signed with another key.
#[test]
fn wrong_key_is_rejected() {
    let header = auth::sign(&key("a"), NOW, message(b"x"));
    assert_eq!(
        auth::verify(&key("a"), NOW, message(b"x"), Some(&header)),
        Ok(())
    );
    let wrong = auth::verify(&key("b"), NOW, message(b"x"), Some(&header));
    assert_eq!(wrong, Err(AuthError::DigestMismatch));
}

/// Guards against the replay of a recorded message, with its original or with a changed timestamp.
#[test]
fn timestamp_outside_the_allowed_skew_is_rejected() {
    let header = auth::sign(&key("a"), NOW, message(b"x"));
    let at = |now| auth::verify(&key("a"), UnixMillis(now), message(b"x"), Some(&header));
    assert_eq!(at(NOW.0 + 30_000), Ok(()));
    assert_eq!(at(NOW.0 + 30_001), Err(AuthError::ClockSkew(30_001)));
    assert_eq!(at(NOW.0 - 30_001), Err(AuthError::ClockSkew(30_001)));
    let moved = header.replacen("1800000000000", "1800000030001", 1);
    let now = UnixMillis(NOW.0 + 30_001);
    let moved = auth::verify(&key("a"), now, message(b"x"), Some(&moved));
    assert_eq!(moved, Err(AuthError::DigestMismatch));
}

/// Guards against accepting a modified message, including one whose bytes are moved from the body
/// to the path.
#[test]
fn modified_message_is_rejected() {
    let header = auth::sign(&key("a"), NOW, message(b"x"));
    let other = [
        Message {
            method: "PUT",
            ..message(b"x")
        },
        Message {
            path: "/v1/peerx",
            ..message(b"")
        },
        message(b"y"),
    ];
    for changed in other {
        let result = auth::verify(&key("a"), NOW, changed, Some(&header));
        assert_eq!(result, Err(AuthError::DigestMismatch), "{changed:?}");
    }
}

/// Guards against a panic on a malformed header, and against accepting one.
#[test]
fn malformed_header_is_rejected() {
    let verify = |header| auth::verify(&key("a"), NOW, message(b"x"), header);
    assert_eq!(verify(None), Err(AuthError::MissingHeader));
    for header in [
        "",
        ":",
        "1",
        "a:00",
        "1800000000000:0",
        "1800000000000:zz",
        "1:é",
    ] {
        assert_eq!(
            verify(Some(header)),
            Err(AuthError::MalformedHeader),
            "{header}"
        );
    }
    for header in ["1800000000000:", "1800000000000:00"] {
        assert_eq!(
            verify(Some(header)),
            Err(AuthError::DigestMismatch),
            "{header}"
        );
    }
}

/// Guards against a key in the logs, and against keys short enough to be guessed.
#[test]
fn key_is_redacted_and_short_keys_are_rejected() {
    assert_eq!(format!("{:?}", key("secret")), "Key(..)");
    assert_eq!("short".parse::<Key>(), Err(AuthError::KeyTooShort(5)));
}

/// Guards against a client and a server that compute the digest over different parts of the
/// message.
#[test]
fn signed_call_is_accepted_by_the_server() {
    run(async |executor| {
        let handler = |request: Request| async move {
            let target = request.target();
            let message = Message {
                method: request.method.as_str(),
                path: &target,
                body: &request.body,
            };
            let header = request.header(auth::HEADER);
            match auth::verify(&key("a"), wall_clock(), message, header) {
                Ok(()) => Response::text(200, "accepted"),
                Err(error) => Response::text(401, error.to_string()),
            }
        };
        let server =
            Server::start(&executor, listener().await, Limits::default(), handler).unwrap();
        let client = client(&executor);
        let mut call = call(server.address());
        call.path = "/v1/peer?zone=austin";
        let status = async |key: Option<&Key>| {
            let response = client.post(&call.signed(key), "", "{}".into()).await;
            response.done().unwrap().status.as_u16()
        };
        assert_eq!(status(Some(&key("a"))).await, 200);
        assert_eq!(status(Some(&key("b"))).await, 401);
        assert_eq!(status(None).await, 401);
    });
}
