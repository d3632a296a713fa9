//! Checks the API keys of callers.

use std::sync::Arc;

use daisymast_adapter::callers;
use daisymast_http::server;
use daisymast_organisations::{access, api_key};
use daisymast_scheduler::config;
use daisymast_types::time;

use crate::clock;
use crate::confirmation;
use crate::constants;
use crate::context;

/// What the check of a request found.
#[derive(Clone, Debug)]
pub struct Checked {
    /// Configuration by which the request was checked, and by which it has to be handled.
    pub config: Arc<config::Configuration>,
    /// For whom the caller acts.
    pub caller: access::Caller,
}

/// A call whose key is to be checked.
struct Call<'a> {
    host: &'a str,
    path: &'a str,
    key: Option<api_key::KeyDigest>,
    received: time::Monotonic,
}

enum Verdict {
    Allowed(Checked),
    Unauthorized,
    /// The configuration of this node is too old for a decision.
    Unconfirmed,
}

/// Checks the key of a request. A request to no queue of the configuration needs a key as well,
/// since jobs of removed queues remain readable.
///
/// # Errors
/// The request is refused; contains the response.
pub async fn check(
    context: &context::Context,
    request: &server::Request,
) -> Result<Checked, server::Response> {
    // Read before the configuration: the time for which the process is suspended from here on counts
    // as part of the handling, and the request was certainly sent before.
    let received = clock::now();
    let header = request.header(callers::API_KEY_HEADER);
    let call = Call {
        host: request.header("host").unwrap_or_default(),
        path: &request.path,
        key: header.and_then(callers::api_key),
        received,
    };
    let mut verdict = decide(context, &call);
    if matches!(verdict, Some(Verdict::Unconfirmed)) {
        let is_decided = || !matches!(decide(context, &call), Some(Verdict::Unconfirmed));
        if confirmation::wait(context, is_decided).await {
            verdict = decide(context, &call);
        }
    }
    let kind = kind(request.method.as_str());
    match verdict {
        Some(Verdict::Allowed(checked)) => Ok(checked),
        Some(Verdict::Unauthorized) => {
            context.metrics.count_request(kind, "unauthorized");
            Err(server::Response::text(401, "a valid API key is required"))
        }
        Some(Verdict::Unconfirmed) => {
            context.metrics.count_request(kind, "unconfirmed");
            let reason = "this node has not confirmed which API keys are valid; try another node";
            Err(server::Response::text(503, reason)
                .with_retry_after(constants::RETRY_AFTER_S)
                .with_connection_close())
        }
        None => Err(server::Response::text(503, "no configuration yet")
            .with_retry_after(constants::RETRY_AFTER_S)),
    }
}

/// Decides by the configuration in force; `None` before the first one.
fn decide(context: &context::Context, call: &Call<'_>) -> Option<Verdict> {
    let config = context.config()?;
    let queue = config.route(call.host, call.path);
    let public = queue.is_some_and(|queue| queue.public);
    let caller = access::decide(config.organisations.as_ref(), public, call.key);
    let freshness = context.freshness();
    let may_honour = public || freshness.may_honour(config.version, call.received);
    let may_deny = freshness.may_deny(config.version, call.received);
    drop(freshness);
    Some(match caller {
        Some(caller) if may_honour => Verdict::Allowed(Checked { config, caller }),
        None if may_deny => Verdict::Unauthorized,
        Some(_) | None => Verdict::Unconfirmed,
    })
}

/// Returns the kind of a request in metrics.
fn kind(method: &str) -> &'static str {
    match method {
        "POST" => "submit",
        "DELETE" => "cancel",
        _ => "read",
    }
}
