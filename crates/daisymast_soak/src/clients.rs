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
const PATIENCE: Duration = Duration::from_secs(3);
/// Sends of one submission.
const TRIES: usize = 6;
/// Pause before a request is sent again.
const PAUSE: Duration = Duration::from_millis(150);

/// What callers saw of a job.
#[derive(Clone, Debug, Default)]
pub struct Seen {
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
    pub told: Option<Instant>,
    /// Its last known state.
    pub state: Option<String>,
    /// What should not have been answered.
    pub wrong: Vec<String>,
}

/// What callers saw of all jobs.
pub type Book = Arc<Mutex<std::collections::BTreeMap<spec::JobId, Seen>>>;

/// Callers of a cell.
#[derive(Clone, Debug)]
pub struct Clients {
    /// What was seen.
    pub book: Book,
    client: Arc<client::Client>,
    nodes: Vec<SocketAddr>,
}

enum Answer {
    Status(u16, Vec<u8>),
    Nothing,
}

impl Clients {
    /// Callers that reach the nodes at these addresses.
    pub fn new(client: client::Client, nodes: Vec<SocketAddr>) -> Self {
        Self {
            book: Book::default(),
            client: Arc::new(client),
            nodes,
        }
    }

    fn see(&self, id: spec::JobId, note: impl FnOnce(&mut Seen)) {
        note(worker::lock(&self.book).entry(id).or_default());
    }

    async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Answer {
        self.send_to(self.any_node(), method, path, body).await
    }

    fn any_node(&self) -> SocketAddr {
        self.nodes[fastrand::usize(0..self.nodes.len())]
    }

    async fn send_to(&self, node: SocketAddr, method: &str, path: &str, body: Vec<u8>) -> Answer {
        let call = client::Call::new(node, path, PATIENCE).with_header("Host", fixtures::HOST);
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
                Answer::Status(response.status.as_u16(), response.body.to_vec())
            }
            outcome::Outcome::NoEffect(_) | outcome::Outcome::Unknown(_) => Answer::Nothing,
        }
    }

    /// Submits a job and does what its caller does with it later.
    pub async fn run(&self, job: plan::Job) {
        let path = format!("{}{}", fixtures::prefix(job.queue), job.id);
        self.see(job.id, |seen| seen.steps.clone_from(&job.steps));
        if !self.submit(&job, &path).await {
            return;
        }
        if job.again {
            Timer::after(PAUSE * 4).await;
            self.submit(&job, &path).await;
        }
        if let Some(after) = job.cancel {
            Timer::after(after).await;
            self.cancel(job.id, &path).await;
        }
    }

    async fn submit(&self, job: &plan::Job, path: &str) -> bool {
        let body = fixtures::submission(&job.id.to_string(), &job.steps);
        let mut unknown = false;
        for _ in 0..TRIES {
            match self.send("POST", path, body.clone()).await {
                Answer::Status(200..300, _) => {
                    let now = Instant::now();
                    self.see(job.id, |seen| {
                        seen.accepted.get_or_insert(now);
                    });
                    return true;
                }
                Answer::Status(429 | 503, _) => {}
                Answer::Status(502 | 504, _) | Answer::Nothing => unknown = true,
                Answer::Status(status, _) => {
                    self.see(job.id, |seen| {
                        seen.wrong.push(format!("submission answered {status}"));
                    });
                    unknown = true;
                }
            }
            Timer::after(PAUSE).await;
        }
        self.see(job.id, |seen| {
            seen.refused = !unknown && seen.accepted.is_none();
        });
        false
    }

    async fn cancel(&self, id: spec::JobId, path: &str) {
        let sent = Instant::now();
        self.see(id, |seen| seen.cancel_sent = Some(sent));
        for _ in 0..TRIES * 3 {
            let answer = self.send("DELETE", path, Vec::new()).await;
            match answer {
                Answer::Status(200..300 | 410, _) => {
                    let now = Instant::now();
                    self.see(id, |seen| seen.cancelled = Some(now));
                    return;
                }
                Answer::Status(..) | Answer::Nothing => Timer::after(PAUSE).await,
            };
        }
    }

    /// Asks once for the state of a job.
    pub async fn ask(&self, id: spec::JobId, queue: &str) {
        let asked = Instant::now();
        let path = format!("{}{}", fixtures::prefix(queue), id);
        let node = self.any_node();
        let Answer::Status(status, body) = self.send_to(node, "GET", &path, Vec::new()).await
        else {
            return;
        };
        let now = Instant::now();
        self.see(id, |seen| match status {
            200 => {
                let state = fixtures::parse_state(&body);
                if state.as_deref() == Some("completed") {
                    seen.completed.get_or_insert(now);
                }
                let ended = matches!(
                    seen.state.as_deref(),
                    Some("completed" | "failed" | "cancelled")
                );
                // Questions overlap, and an answer to an earlier one may come later.
                let later = seen
                    .told
                    .and_then(|told| asked.checked_duration_since(told));
                if ended
                    && state != seen.state
                    && let Some(later) = later
                {
                    let line = format!("{state:?} from {node} {later:?} after {:?}", seen.state);
                    seen.wrong.push(line);
                }
                if state.as_deref() == Some("failed") {
                    seen.wrong.push("shown as failed".to_owned());
                }
                if !ended {
                    seen.state = state;
                    seen.told = Some(now);
                }
            }
            410 if seen.accepted.is_some_and(|accepted| accepted < asked) => {
                seen.wrong.push("410 after its acceptance".to_owned());
            }
            410 | 503 => {}
            status => seen.wrong.push(format!("state answered {status}")),
        });
    }

    /// Jobs that were accepted and have not come to an end that callers know.
    pub fn open(&self) -> Vec<spec::JobId> {
        let book = worker::lock(&self.book);
        let is_open = |seen: &Seen| {
            let ended = matches!(
                seen.state.as_deref(),
                Some("completed" | "failed" | "cancelled")
            );
            seen.accepted.is_some() && !ended
        };
        book.iter()
            .filter(|(_, seen)| is_open(seen))
            .map(|(&id, _)| id)
            .collect()
    }
}
