//! HTTP listeners for callers, operators, other instances and monitoring.

pub mod callers;
pub mod metrics;
pub mod operators;
pub mod peers;

use daisymast_http::auth::{self, Key, Message};
use daisymast_http::client;
use daisymast_http::server::{Request, Response};

/// Verifies the keyed digest of a request, and returns the 401 response if it is not valid.
fn authenticate(key: &Key, request: &Request) -> Result<(), Response> {
    let target = request.target();
    let message = Message {
        method: request.method.as_str(),
        path: &target,
        body: &request.body,
    };
    let header = request.header(auth::HEADER);
    auth::verify(key, client::wall_clock(), message, header)
        .map_err(|error| Response::text(401, format!("not authentic: {error}")))
}

fn no_route(request: &Request) -> Response {
    Response::text(404, format!("no route {} {}", request.method, request.path))
}
