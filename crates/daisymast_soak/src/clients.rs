//! Callers, which submit and cancel jobs, query their states, and retry at random nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use daisymast_http::client;
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_stand_in::{fixtures, worker};
use smol::Timer;

use crate::plan;

/// Time limit for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of attempts of one submission.
const MAX_ATTEMPTS: usize = 6;
/// Delay before a request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Observations of callers about one job.
#[derive(Clone, Debug, Default)]
pub struct JobObservation {
    /// Submitted steps.
    pub steps: Vec<fixtures::Step>,
    /// Time of the first response that accepted the job.
    pub accepted: Option<Instant>,
    /// Whether every attempt was refused with certainty, so that no task of the job may start.
    pub refused: bool,
    /// Time at which the first cancel request was sent.
    pub cancel_sent: Option<Instant>,
    /// Time of the first response that acknowledged the cancellation.
    pub cancelled: Option<Instant>,
    /// Time of the first response that reported the job as completed.
    pub completed: Option<Instant>,
    /// Time at which the last known state was received.
    pub state_received: Option<Instant>,
    /// Last known state. A final state is not replaced.
    pub state: Option<String>,
    /// Descriptions of responses that violate a guarantee.
    pub unexpected: Vec<String>,
}

/// Observations of callers about all jobs.
pub type Observations = Arc<Mutex<std::collections::BTreeMap<spec::JobId, JobObservation>>>;

/// Callers of the nodes of a cell.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Observations so far, shared by all clones.
    pub observations: Observations,
    client: Arc<client::Client>,
    nodes: Vec<SocketAddr>,
}

enum Response {
    Status(u16, Vec<u8>),
    /// No response arrived; the effect of the request may be unknown.
    Missing,
}

impl Clients {
    /// Creates callers that send requests to the nodes at these addresses.
    pub fn new(client: client::Client, nodes: Vec<SocketAddr>) -> Self {
        Self {
            observations: Observations::default(),
            client: Arc::new(client),
            nodes,
        }
    }

    fn observe(&self, id: spec::JobId, update: impl FnOnce(&mut JobObservation)) {
        update(worker::lock(&self.observations).entry(id).or_default());
    }

    async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Response {
        self.send_to(self.any_node(), method, path, body).await
    }

    fn any_node(&self) -> SocketAddr {
        self.nodes[fastrand::usize(0..self.nodes.len())]
    }

    async fn send_to(&self, node: SocketAddr, method: &str, path: &str, body: Vec<u8>) -> Response {
        let key = fixtures::authorization(path);
        let call = client::Call::new(node, path, RESPONSE_TIMEOUT)
            .with_header("Host", fixtures::HOST)
            .with_header("Authorization", &key);
        let outcome = match method {
            "POST" => {
                self.client
                    .post(&call, "application/json", body.into())
                    .await
            }
            "DELETE" => self.client.delete(&call).await,
            _ => self.client.get(&call).await,
        };
        match outcome {
            outcome::Outcome::Done(response) => {
                Response::Status(response.status.as_u16(), response.body.to_vec())
            }
            outcome::Outcome::NoEffect(_) | outcome::Outcome::Unknown(_) => Response::Missing,
        }
    }

    /// Submits a job, and resubmits or cancels it later if its plan says so.
    pub async fn run(&self, job: plan::Job) {
        let path = format!("{}{}", fixtures::prefix(job.queue), job.id);
        self.observe(job.id, |observed| observed.steps.clone_from(&job.steps));
        if !self.submit(&job, &path).await {
            return;
        }
        if job.resubmit {
            Timer::after(RETRY_DELAY * 4).await;
            self.submit(&job, &path).await;
        }
        if let Some(after) = job.cancel_after {
            Timer::after(after).await;
            self.cancel(job.id, &path).await;
        }
    }

    async fn submit(&self, job: &plan::Job, path: &str) -> bool {
        let body = fixtures::submission(&job.id.to_string(), &job.steps);
        let mut unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.send("POST", path, body.clone()).await {
                Response::Status(200..300, _) => {
                    let now = Instant::now();
                    self.observe(job.id, |observed| {
                        observed.accepted.get_or_insert(now);
                    });
                    return true;
                }
                Response::Status(429 | 503, _) => {}
                Response::Status(502 | 504, _) | Response::Missing => unknown = true,
                Response::Status(status, _) => {
                    self.observe(job.id, |observed| {
                        observed
                            .unexpected
                            .push(format!("submission got status {status}"));
                    });
                    unknown = true;
                }
            }
            Timer::after(RETRY_DELAY).await;
        }
        self.observe(job.id, |observed| {
            observed.refused = !unknown && observed.accepted.is_none();
        });
        false
    }

    async fn cancel(&self, id: spec::JobId, path: &str) {
        let sent = Instant::now();
        self.observe(id, |observed| observed.cancel_sent = Some(sent));
        for _ in 0..MAX_ATTEMPTS * 3 {
            let response = self.send("DELETE", path, Vec::new()).await;
            match response {
                Response::Status(200..300 | 410, _) => {
                    let now = Instant::now();
                    self.observe(id, |observed| observed.cancelled = Some(now));
                    return;
                }
                Response::Status(..) | Response::Missing => Timer::after(RETRY_DELAY).await,
            };
        }
    }

    /// Queries the state of a job once, at a random node.
    pub async fn query_state(&self, id: spec::JobId, queue: &str) {
        let queried_at = Instant::now();
        let path = format!("{}{}", fixtures::prefix(queue), id);
        let node = self.any_node();
        let Response::Status(status, body) = self.send_to(node, "GET", &path, Vec::new()).await
        else {
            return;
        };
        let now = Instant::now();
        self.observe(id, |observed| match status {
            200 => {
                let state = fixtures::parse_state(&body);
                if state.as_deref() == Some("completed") {
                    observed.completed.get_or_insert(now);
                }
                let ended = matches!(
                    observed.state.as_deref(),
                    Some("completed" | "failed" | "cancelled")
                );
                // Queries overlap, so the response to an earlier query may arrive after a later
                // one.
                let elapsed = observed
                    .state_received
                    .and_then(|received| queried_at.checked_duration_since(received));
                if ended
                    && state != observed.state
                    && let Some(elapsed) = elapsed
                {
                    let line = format!(
                        "state {state:?} from {node}, queried {elapsed:?} after {:?}",
                        observed.state
                    );
                    observed.unexpected.push(line);
                }
                if state.as_deref() == Some("failed") {
                    observed.unexpected.push("reported as failed".to_owned());
                }
                if !ended {
                    observed.state = state;
                    observed.state_received = Some(now);
                }
            }
            410 if observed
                .accepted
                .is_some_and(|accepted| accepted < queried_at) =>
            {
                observed
                    .unexpected
                    .push("status 410 after the job was accepted".to_owned());
            }
            410 | 503 => {}
            status => observed
                .unexpected
                .push(format!("state query got status {status}")),
        });
    }

    /// Accepted jobs for which callers have not received a final state.
    pub fn unfinished_jobs(&self) -> Vec<spec::JobId> {
        let observations = worker::lock(&self.observations);
        let is_unfinished = |observed: &JobObservation| {
            let ended = matches!(
                observed.state.as_deref(),
                Some("completed" | "failed" | "cancelled")
            );
            observed.accepted.is_some() && !ended
        };
        observations
            .iter()
            .filter(|(_, observed)| is_unfinished(observed))
            .map(|(&id, _)| id)
            .collect()
    }
}
