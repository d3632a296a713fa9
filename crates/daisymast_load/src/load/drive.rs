//! Sends the requests of a plan and collects their outcomes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use daisymast_http::client::{Call, Client, Settings};
use daisymast_http::executor::{self, Executor};
use daisymast_http::json;
use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_types::ids::{JobName, RequestId};
use smol::Timer;

use crate::load::plan::{Arrival, Plan};
use crate::load::report::{CompletedRequest, RequestOutcome};

/// Number of executor threads.
const THREADS: usize = 2;
/// Additional time to wait for a reply after the request's own timeout.
const REPLY_GRACE: Duration = Duration::from_secs(3);

/// Sends all requests of the plan and waits until each has an outcome.
///
/// # Errors
///
/// Fails if the plan contains too many requests.
pub fn run(plan: &Plan) -> anyhow::Result<Vec<CompletedRequest>> {
    let arrivals = plan.arrivals()?;
    let completed = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let results = Arc::clone(&completed);
    executor::run(THREADS, async move |executor: Executor| {
        let settings = Settings {
            max_idle_connections: 256,
            ..Settings::default()
        };
        let client = Arc::new(Client::new(Arc::clone(&executor), settings));
        let start = Instant::now();
        let mut tasks = Vec::with_capacity(arrivals.len());
        for (number, arrival) in arrivals.into_iter().enumerate() {
            let due = start + arrival.at;
            if due > Instant::now() {
                Timer::at(due).await;
            }
            let request = request(plan, arrival);
            let address = plan.callers[number % plan.callers.len()];
            let (client, results) = (Arc::clone(&client), Arc::clone(&results));
            tasks.push(executor.spawn(async move {
                let outcome = send(&client, address, &request).await;
                let wait = Instant::now().saturating_duration_since(due);
                let completed_request = CompletedRequest {
                    kind: arrival.kind,
                    second: arrival.at.as_secs(),
                    wait_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
                    outcome,
                };
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results.push(completed_request);
            }));
        }
        for task in tasks {
            task.await;
        }
    });
    let mut completed = completed.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(std::mem::take(&mut completed))
}

fn request(plan: &Plan, arrival: Arrival) -> CallerRequest {
    let kind = &plan.kinds[arrival.kind];
    CallerRequest {
        id: RequestId::from(uuid::Uuid::now_v7().to_string().as_str()),
        service: JobName::from(kind.service.as_str()),
        idempotent: kind.idempotent,
        timeout_ms: plan.timeout_ms,
        body: "x".repeat(kind.body_bytes),
    }
}

async fn send(client: &Client, address: SocketAddr, request: &CallerRequest) -> RequestOutcome {
    let timeout = Duration::from_millis(request.timeout_ms) + REPLY_GRACE;
    let call =
        Call::new(address, "/v1/requests", timeout).with_error_context("send request", "instance");
    let Ok(body) = serde_json::to_vec(request) else {
        return RequestOutcome::NoValidReply;
    };
    let answer = client.post(&call, json::CONTENT_TYPE, body.into()).await;
    let Outcome::Done(response) = answer else {
        return RequestOutcome::NoValidReply;
    };
    match serde_json::from_slice::<CallerReply>(&response.body) {
        Ok(CallerReply::Done { id, .. }) if id == request.id => RequestOutcome::Done,
        Ok(CallerReply::NotRun { reason, .. }) => RequestOutcome::NotRun(format!("{reason:?}")),
        Ok(CallerReply::Unknown { .. }) => RequestOutcome::Unknown,
        Ok(CallerReply::Done { .. }) | Err(_) => RequestOutcome::NoValidReply,
    }
}
