//! Typed requests and responses in JSON.

use bytes::Bytes;
use daisymast_protocol::outcome::{CallError, Outcome};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client;
use crate::server;

/// Value of the `Content-Type` header.
pub const CONTENT_TYPE: &str = "application/json";

/// Sends `request` as a POST request in JSON and decodes the response.
///
/// A response with a status other than 200 or with a body that cannot be decoded is an unknown
/// outcome: the peer may have processed the request before it failed.
pub async fn post<Q: Serialize, R: DeserializeOwned>(
    client: &client::Client,
    call: &client::Call<'_>,
    request: &Q,
) -> Outcome<R> {
    match serde_json::to_vec(request) {
        Ok(body) => {
            let outcome = client.post(call, CONTENT_TYPE, body.into()).await;
            client::decode_response(call, outcome, |body| {
                serde_json::from_slice(body).map_err(|error| error.to_string())
            })
        }
        Err(error) => Outcome::NoEffect(CallError::new(
            call.step,
            call.peer,
            &format!("cannot encode request: {error}"),
        )),
    }
}

/// Decodes the JSON body of a request.
///
/// # Errors
///
/// Returns a response with status 400 that contains the decoding error.
pub fn decode_request<Q: DeserializeOwned>(body: &[u8]) -> Result<Q, server::Response> {
    serde_json::from_slice(body)
        .map_err(|error| server::Response::text(400, format!("request does not decode: {error}")))
}

/// Returns a response with status 200 and `reply` in JSON, or with status 500 if `reply` cannot be
/// encoded.
pub fn encode_response<R: Serialize>(reply: &R) -> server::Response {
    match serde_json::to_vec(reply) {
        Ok(body) => server::Response::new(200, CONTENT_TYPE, Bytes::from(body)),
        Err(error) => server::Response::text(500, format!("reply does not encode: {error}")),
    }
}
