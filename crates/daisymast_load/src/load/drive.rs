//! Sends the arrivals of a plan and collects the endings.

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
use crate::load::report::{Ending, Finished};

/// Executor threads.
const THREADS: usize = 2;
/// Time for an exchange beyond the timeout of the request.
const GRACE: Duration = Duration::from_secs(3);

/// Sends all arrivals and waits for their ends.
///
/// # Errors
///
/// Fails if the plan has too many arrivals.
pub fn run(plan: &Plan) -> anyhow::Result<Vec<Finished>> {
    let arrivals = plan.arrivals()?;
    let finished = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let all = Arc::clone(&finished);
    executor::run(THREADS, async move |executor: Executor| {
        let settings = Settings {
            max_idle_connections: 256,
            ..Settings::default()
        };
        let client = Arc::new(Client::new(Arc::clone(&executor), settings));
        let start = Instant::now();
        let mut open = Vec::with_capacity(arrivals.len());
        for (number, arrival) in arrivals.into_iter().enumerate() {
            let due = start + arrival.at;
            if due > Instant::now() {
                Timer::at(due).await;
            }
            let request = request(plan, arrival);
            let address = plan.callers[number % plan.callers.len()];
            let (client, all) = (Arc::clone(&client), Arc::clone(&all));
            open.push(executor.spawn(async move {
                let ending = send(&client, address, &request).await;
                let wait = Instant::now().saturating_duration_since(due);
                let one = Finished {
                    kind: arrival.kind,
                    second: arrival.at.as_secs(),
                    wait_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
                    ending,
                };
                let mut all = all.lock().unwrap_or_else(PoisonError::into_inner);
                all.push(one);
            }));
        }
        for task in open {
            task.await;
        }
    });
    let mut finished = finished.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(std::mem::take(&mut finished))
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

async fn send(client: &Client, address: SocketAddr, request: &CallerRequest) -> Ending {
    let timeout = Duration::from_millis(request.timeout_ms) + GRACE;
    let call =
        Call::new(address, "/v1/requests", timeout).with_error_context("send request", "instance");
    let Ok(body) = serde_json::to_vec(request) else {
        return Ending::Broken;
    };
    let answer = client.post(&call, json::CONTENT_TYPE, body.into()).await;
    let Outcome::Done(response) = answer else {
        return Ending::Broken;
    };
    match serde_json::from_slice::<CallerReply>(&response.body) {
        Ok(CallerReply::Done { id, .. }) if id == request.id => Ending::Done,
        Ok(CallerReply::NotRun { reason, .. }) => Ending::NotRun(format!("{reason:?}")),
        Ok(CallerReply::Unknown { .. }) => Ending::Unknown,
        Ok(CallerReply::Done { .. }) | Err(_) => Ending::Broken,
    }
}
