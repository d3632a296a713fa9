//! Typed exchanges in MessagePack, with field names so that releases can differ in their fields.

use bytes::Bytes;
use daisymast_protocol::outcome::{CallError, Outcome};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client;
use crate::server;

/// Media type of MessagePack.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Posts `request` and decodes the answer.
///
/// An answer with a status other than 200 or with a body that does not decode is an unknown
/// outcome: the peer may have acted before it failed.
pub async fn post<Q: Serialize, R: DeserializeOwned>(
    client: &client::Client,
    call: &client::Call<'_>,
    request: &Q,
) -> Outcome<R> {
    match rmp_serde::to_vec_named(request) {
        Ok(body) => {
            let answer = client.post(call, CONTENT_TYPE, body.into()).await;
            client::decode_response(call, answer, |body| {
                rmp_serde::from_slice(body).map_err(|error| error.to_string())
            })
        }
        Err(error) => Outcome::NoEffect(CallError::new(
            call.step,
            call.peer,
            &format!("request does not encode: {error}"),
        )),
    }
}

/// Decodes the body of a request.
///
/// # Errors
///
/// Fails with a response of status 400 that names what is wrong.
pub fn request<Q: DeserializeOwned>(body: &[u8]) -> Result<Q, server::Response> {
    rmp_serde::from_slice(body)
        .map_err(|error| server::Response::text(400, format!("request does not decode: {error}")))
}

/// Response of status 200 with `reply` as MessagePack.
pub fn response<R: Serialize>(reply: &R) -> server::Response {
    match rmp_serde::to_vec_named(reply) {
        Ok(body) => server::Response::new(200, CONTENT_TYPE, Bytes::from(body)),
        Err(error) => server::Response::text(500, format!("reply does not encode: {error}")),
    }
}
