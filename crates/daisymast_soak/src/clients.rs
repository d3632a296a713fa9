//! Callers: they submit jobs, repeat what got no answer at other nodes, ask for states and cancel.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use daisymast_http::client;
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_stand_in::{fixtures, worker};
use smol::Timer;

use crate::plan;

/// Time that a caller waits for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Sends of one submission.
const MAX_ATTEMPTS: usize = 6;
/// Pause before a request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What callers saw of a job.
#[derive(Clone, Debug, Default)]
pub struct JobObservation {
    /// Its content.
    pub steps: Vec<fixtures::Step>,
    /// When its acceptance was answered first.
    pub accepted: Option<Instant>,
    /// Whether all its submissions were refused.
    pub refused: bool,
    /// When its cancel was sent first.
    pub cancel_sent: Option<Instant>,
    /// When its cancel was answered first.
    pub cancelled: Option<Instant>,
    /// When it was first shown as completed.
    pub completed: Option<Instant>,
    /// When its last known state was told.
    pub state_received: Option<Instant>,
    /// Its last known state.
    pub state: Option<String>,
    /// What should not have been answered.
    pub unexpected: Vec<String>,
}

/// What callers saw of all jobs.
pub type Observations = Arc<Mutex<std::collections::BTreeMap<spec::JobId, JobObservation>>>;

/// Callers of a cell.
#[derive(Clone, Debug)]
pub struct Clients {
    /// What was seen.
    pub observations: Observations,
    client: Arc<client::Client>,
    nodes: Vec<SocketAddr>,
}

enum Response {
    Status(u16, Vec<u8>),
    Missing,
}

impl Clients {
    /// Callers that reach the nodes at these addresses.
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
        let call =
            client::Call::new(node, path, RESPONSE_TIMEOUT).with_header("Host", fixtures::HOST);
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

    /// Submits a job and does what its caller does with it later.
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
                            .push(format!("submission answered {status}"));
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

    /// Asks once for the state of a job.
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
                // Questions overlap, and an answer to an earlier one may come later.
                let elapsed = observed
                    .state_received
                    .and_then(|received| queried_at.checked_duration_since(received));
                if ended
                    && state != observed.state
                    && let Some(elapsed) = elapsed
                {
                    let line = format!(
                        "{state:?} from {node} {elapsed:?} after {:?}",
                        observed.state
                    );
                    observed.unexpected.push(line);
                }
                if state.as_deref() == Some("failed") {
                    observed.unexpected.push("shown as failed".to_owned());
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
                    .push("410 after its acceptance".to_owned());
            }
            410 | 503 => {}
            status => observed.unexpected.push(format!("state answered {status}")),
        });
    }

    /// Jobs that were accepted and have not come to an end that callers know.
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
