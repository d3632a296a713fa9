//! Checks the API keys of callers.

use daisymast_adapter::callers;
use daisymast_http::server;
use daisymast_jobs::queue;
use daisymast_organisations::access;
use daisymast_scheduler::config;
use daisymast_types::ids;

use crate::context;

/// Returns the organisation for which a request acts, `None` if it needs no key. A request to no
/// queue of the configuration needs a key as well, since jobs of removed queues remain readable.
///
/// # Errors
/// The request needs a key and has none that is valid; contains the response.
pub fn check(
    context: &context::Context,
    config: &config::Configuration,
    queue: Option<&queue::Queue>,
    request: &server::Request,
) -> Result<Option<ids::Organisation>, server::Response> {
    let public = queue.is_some_and(|queue| queue.public);
    let header = request.header(callers::API_KEY_HEADER);
    let key = header.and_then(callers::api_key);
    match access::decide(config.organisations.as_ref(), public, key) {
        access::Access::Open => Ok(None),
        access::Access::Organisation(organisation) => Ok(Some(organisation)),
        access::Access::Denied => {
            context
                .metrics
                .count_request(kind(request.method.as_str()), "unauthorized");
            Err(server::Response::text(401, "a valid API key is required"))
        }
    }
}

/// Returns the kind of a request in metrics.
fn kind(method: &str) -> &'static str {
    match method {
        "POST" => "submit",
        "DELETE" => "cancel",
        _ => "read",
    }
}
