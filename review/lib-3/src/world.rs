//! Stand-in workers. They share one state, so that their event log has a single order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daisymast_http::{executor, server};
use serde_json::{Value, json};
use smol::Timer;
use smol::net::TcpListener;

/// Service of most workers.
pub const SERVICE: &str = "desk";
/// Longest lease that a worker grants, in milliseconds.
pub const MAX_HOLD_MS: u64 = 6_000;
/// Time from a stop order to the end of the run, in milliseconds.
const STOP_MS: u64 = 100;
/// Time that a gang member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// Time after its start at which a lasting task is at work, in milliseconds.
const LASTING_STARTUP_MS: u64 = 300;
/// Interval at which ends and waiting reports are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of checkpoints, in milliseconds of work.
const CHECKPOINT_MS: u64 = 500;

/// Behaviour of the tasks of a step, which the payload of the job tells.
#[derive(Clone, Debug)]
pub struct Profile {
    pub work_ms: u64,
    pub gang: u32,
    pub lasting: bool,
    /// Number of runs of each task that fail by their own fault.
    pub failing_runs: u32,
    /// Time after its start at which a failing or lasting run fails, in milliseconds.
    pub life_ms: u64,
    pub checkpoints: bool,
}

/// What happened at a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    Started {
        token: u64,
        spec: String,
        checkpoint: String,
    },
    Ended(&'static str),
    /// The scheduler took note of an end; whether the lease had lapsed since.
    Acked {
        how: &'static str,
        lapsed: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Event {
    /// Milliseconds since the start of the test.
    pub at: u64,
    pub worker: usize,
    /// Number of times that the worker had started again.
    pub life: u32,
    pub task: String,
    pub run: u64,
    pub kind: Kind,
}

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    accepted: u64,
    /// Clock reading at which the work began, `None` while a gang is incomplete.
    began: Option<u64>,
    /// Work that a checkpoint saved, in milliseconds.
    saved: u64,
    profile: Profile,
    fails: bool,
    stop_at: Option<u64>,
}

impl Run {
    fn worked(&self, now: u64) -> u64 {
        self.began
            .map_or(0, |began| self.saved + now.saturating_sub(began))
    }
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
    lapsed: bool,
}

pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub kind: &'static str,
    pub rack: String,
    pub cpu: u64,
    pub mem: u64,
    pub gpus: u64,
    pub address: Option<SocketAddr>,
    pub alive: bool,
    pub born: u64,
    /// Number of times that the worker has started again.
    pub life: u32,
    pub draining: bool,
    /// Whether the worker runs on, cut off from all others.
    pub is_cut_off: bool,
    /// How much later the next report that acknowledges ends is carried out, and not answered.
    pub late_hold: Option<Duration>,
    /// The same for the next start.
    pub late_start: Option<Duration>,
    boot: Instant,
    token: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    closed: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

impl Worker {
    fn clock(&self) -> u64 {
        millis(self.boot.elapsed())
    }

    pub fn run_count(&self) -> usize {
        self.runs.len()
    }
}

pub struct World {
    started: Instant,
    pub workers: Vec<Worker>,
    pub log: Vec<Event>,
    /// Checkpoints that tasks have produced, by task, or by step for gangs.
    pub checkpoints: HashMap<String, HashSet<String>>,
    /// Number of members of a gang that are present, by step and run.
    present: HashMap<(String, u64), u32>,
    failed_runs: HashMap<String, u32>,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    millis(since.unwrap_or_default())
}

/// Returns the step of a task.
pub fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Returns the job, the occurrence, the step and the index of a task.
pub fn parts(task: &str) -> Option<(&str, u64, usize, u64)> {
    let mut parts = task.split('.');
    Some((
        parts.next()?,
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
    ))
}

impl World {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            workers: Vec::new(),
            log: Vec::new(),
            checkpoints: HashMap::new(),
            present: HashMap::new(),
            failed_runs: HashMap::new(),
        }
    }

    pub fn now(&self) -> u64 {
        millis(self.started.elapsed())
    }

    pub fn add(
        &mut self,
        id: String,
        service: &'static str,
        zone: &'static str,
        rack: String,
        (cpu, mem, gpus): (u64, u64, u64),
    ) {
        self.workers.push(Worker {
            id,
            service,
            zone,
            kind: "a",
            rack,
            cpu,
            mem,
            gpus,
            address: None,
            alive: true,
            born: unix_ms(),
            life: 0,
            draining: false,
            is_cut_off: false,
            late_hold: None,
            late_start: None,
            boot: Instant::now(),
            token: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            closed: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
        });
    }

    pub fn registration(&self, at: usize) -> Value {
        let worker = &self.workers[at];
        json!({
            "service": worker.service, "address": worker.address.map(|a| a.to_string()), "zone": worker.zone,
            "version": "1", "slots": 8, "state": if worker.draining { "draining" } else { "ready" },
            "cold_left_ms": 0, "seq": self.now(), "born": worker.born,
            "capacity": {"cpu": worker.cpu, "mem_mb": worker.mem, "gpus": worker.gpus},
            "labels": [worker.kind, worker.rack],
        })
    }

    fn event(&mut self, worker: usize, task: &str, run: u64, kind: Kind) {
        let event = Event {
            at: self.now(),
            worker,
            life: self.workers[worker].life,
            task: task.to_owned(),
            run,
            kind,
        };
        self.log.push(event);
    }

    /// Loses a worker for good: its runs end, and it answers nothing any more.
    pub fn lose(&mut self, at: usize) {
        self.advance();
        self.workers[at].alive = false;
        let runs = std::mem::take(&mut self.workers[at].runs);
        for (task, run) in runs {
            self.break_gang(&task, &run);
            self.event(at, &task, run.number, Kind::Ended("lost"));
        }
    }

    /// Starts a worker again under its ID. It knows nothing of before.
    pub fn restart(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        worker.alive = true;
        worker.life += 1;
        worker.born = unix_ms();
        worker.boot = Instant::now();
        worker.token = 0;
        worker.lease_end = 0;
        worker.closed.clear();
        worker.ends.clear();
        worker.last_end = 0;
    }

    /// Returns how much later a call is carried out, if it is one that gets no answer.
    fn take_lateness(&mut self, at: usize, path: &str, body: &Value) -> Option<Duration> {
        let worker = &mut self.workers[at];
        match path {
            "/v1/hold" if body["last_seen"].as_u64().unwrap_or(0) > 0 => worker.late_hold.take(),
            "/v1/run-start" => worker.late_start.take(),
            _ => None,
        }
    }

    /// Ends the other members of a gang one of whose members has ended.
    fn break_gang(&mut self, task: &str, run: &Run) {
        if run.profile.gang <= 1 {
            return;
        }
        let step = step_of(task).to_owned();
        if let Some(count) = self.present.get_mut(&(step.clone(), run.number)) {
            *count = count.saturating_sub(1);
        }
        if run.began.is_none() {
            return;
        }
        for at in 0..self.workers.len() {
            let members: Vec<String> = self.workers[at]
                .runs
                .iter()
                .filter(|(name, member)| {
                    step_of(name) == step && member.number == run.number && name.as_str() != task
                })
                .map(|(name, _)| name.clone())
                .collect();
            for member in members {
                self.end(at, &member, "broken");
            }
        }
    }

    fn checkpoint(&mut self, task: &str, run: &Run, worked: u64, exact: bool) -> String {
        if !run.profile.checkpoints || worked == 0 {
            return String::new();
        }
        let saved = if exact {
            worked
        } else {
            worked / CHECKPOINT_MS * CHECKPOINT_MS
        };
        if saved == 0 {
            return String::new();
        }
        let key = if run.profile.gang > 1 {
            step_of(task).to_owned()
        } else {
            task.to_owned()
        };
        let value = format!("{saved:08x}{:08x}", hash(&key));
        self.checkpoints
            .entry(key)
            .or_default()
            .insert(value.clone());
        value
    }

    fn end(&mut self, at: usize, task: &str, how: &'static str) {
        let Some(run) = self.workers[at].runs.remove(task) else {
            return;
        };
        let now = self.workers[at].clock();
        let saved = self.checkpoint(
            task,
            &run,
            run.worked(now).min(run.profile.work_ms),
            how == "stopped",
        );
        let worker = &mut self.workers[at];
        worker.last_end += 1;
        worker.ends.push(End {
            number: worker.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
            saved,
            lapsed: false,
        });
        let closed = worker.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.number);
        self.event(at, task, run.number, Kind::Ended(how));
        if how != "done" && how != "broken" {
            self.break_gang(task, &run);
        }
    }

    /// Ends what has finished, failed, waited too long or outlived its lease.
    pub fn advance(&mut self) {
        for at in 0..self.workers.len() {
            if !self.workers[at].alive {
                continue;
            }
            let now = self.workers[at].clock();
            let lease_end = self.workers[at].lease_end;
            let mut ended: Vec<(String, &'static str)> = Vec::new();
            for (task, run) in &mut self.workers[at].runs {
                if run.began.is_none() {
                    let count = self
                        .present
                        .get(&(step_of(task).to_owned(), run.number))
                        .copied()
                        .unwrap_or(0);
                    if count >= run.profile.gang {
                        run.began = Some(now);
                    }
                }
                let how = if now >= lease_end {
                    Some("lapsed")
                } else if run.stop_at.is_some_and(|stop| now >= stop) {
                    Some("stopped")
                } else if run
                    .began
                    .is_some_and(|began| run.fails && now >= began + run.profile.life_ms)
                {
                    Some("failed")
                } else if !run.profile.lasting
                    && run.began.is_some()
                    && run.worked(now) >= run.profile.work_ms
                {
                    Some("done")
                } else if run.began.is_none() && now >= run.accepted + GANG_TIMEOUT_MS {
                    Some("alone")
                } else {
                    None
                };
                if let Some(how) = how {
                    ended.push((task.clone(), how));
                }
            }
            for (task, how) in ended {
                self.end(at, &task, how);
            }
            if now >= lease_end {
                self.workers[at]
                    .ends
                    .iter_mut()
                    .for_each(|end| end.lapsed = true);
            }
        }
    }

    fn answer(&self, at: usize, reason: Option<&str>) -> server::Response {
        let clock_ms = self.workers[at].clock();
        let (status, body) = match reason {
            None => (200, json!({"clock_ms": clock_ms})),
            Some(reason) => (409, json!({"clock_ms": clock_ms, "reason": reason})),
        };
        server::Response::new(status, "application/json", body.to_string())
    }

    fn start(&mut self, at: usize, body: &Value) -> server::Response {
        self.advance();
        let (Some(task), Some(number), Some(deadline), Some(spec)) = (
            body["task"].as_str(),
            body["run_id"].as_u64(),
            body["deadline_ms"].as_u64(),
            body["spec"].as_str(),
        ) else {
            return server::Response::text(400, "malformed");
        };
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let checkpoint = body["last_checkpoint"].as_str().unwrap_or("");
        if token < self.workers[at].token {
            return self.answer(at, Some("fence"));
        }
        let now = self.workers[at].clock();
        let worker = &mut self.workers[at];
        worker.token = token;
        if deadline <= now {
            return self.answer(at, Some("late"));
        }
        worker.lease_end = worker.lease_end.max(deadline.min(now + MAX_HOLD_MS));
        if worker
            .runs
            .get(task)
            .is_some_and(|run| run.number == number)
        {
            return self.answer(at, None);
        }
        if worker.runs.contains_key(task) || number <= worker.closed.get(task).copied().unwrap_or(0)
        {
            return self.answer(at, Some("old"));
        }
        let profile = profile(spec, task);
        let failed = self.failed_runs.entry(task.to_owned()).or_default();
        let fails = profile.lasting && profile.life_ms > 0 || *failed < profile.failing_runs;
        if fails && !profile.lasting {
            *failed += 1;
        }
        if profile.gang > 1 {
            *self
                .present
                .entry((step_of(task).to_owned(), number))
                .or_default() += 1;
        }
        let saved = u64::from_str_radix(checkpoint.get(..8).unwrap_or(""), 16).unwrap_or(0);
        let run = Run {
            number,
            accepted: now,
            began: (profile.gang <= 1).then_some(now),
            saved,
            fails,
            stop_at: None,
            profile,
        };
        self.workers[at].runs.insert(task.to_owned(), run);
        let kind = Kind::Started {
            token,
            spec: spec.to_owned(),
            checkpoint: checkpoint.to_owned(),
        };
        self.event(at, task, number, kind);
        self.answer(at, None)
    }

    fn stop(&mut self, at: usize, body: &Value) -> server::Response {
        self.advance();
        let (Some(task), Some(number)) = (body["task"].as_str(), body["run_id"].as_u64()) else {
            return server::Response::text(400, "malformed");
        };
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.workers[at].token {
            return self.answer(at, Some("fence"));
        }
        let now = self.workers[at].clock();
        let worker = &mut self.workers[at];
        worker.token = token;
        let closed = worker.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(number);
        if let Some(run) = worker.runs.get_mut(task)
            && run.number <= number
        {
            run.stop_at.get_or_insert(now + STOP_MS);
        }
        self.answer(at, None)
    }

    fn hold(&mut self, at: usize, body: &Value) -> Result<(), server::Response> {
        self.advance();
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.workers[at].token {
            return Err(self.answer(at, Some("fence")));
        }
        let now = self.workers[at].clock();
        let worker = &mut self.workers[at];
        worker.token = token;
        if let Some(deadline) = body["deadline_ms"].as_u64() {
            worker.lease_end = worker.lease_end.max(deadline.min(now + MAX_HOLD_MS));
        }
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let (acked, open) = std::mem::take(&mut worker.ends)
            .into_iter()
            .partition(|end| end.number <= seen);
        worker.ends = open;
        let acked: Vec<End> = acked;
        for end in acked {
            self.event(
                at,
                &end.task,
                end.run,
                Kind::Acked {
                    how: end.how,
                    lapsed: end.lapsed,
                },
            );
        }
        Ok(())
    }

    fn report(&mut self, at: usize) -> server::Response {
        self.advance();
        let now = self.workers[at].clock();
        let runs: Vec<(String, Run)> = self.workers[at]
            .runs
            .iter()
            .map(|(task, run)| (task.clone(), run.clone()))
            .collect();
        let running: Vec<Value> = runs
            .iter()
            .map(|(task, run)| {
                let percent = if run.profile.lasting {
                    if run.worked(now) >= LASTING_STARTUP_MS {
                        100
                    } else {
                        0
                    }
                } else {
                    (run.worked(now) * 100 / run.profile.work_ms.max(1)).min(99)
                };
                let saved = self.checkpoint(task, run, run.worked(now), false);
                json!([task, run.number, saved, percent, 0])
            })
            .collect();
        let worker = &self.workers[at];
        let ended: Vec<Value> = worker
            .ends
            .iter()
            .take(500)
            .map(|end| json!([end.number, end.task, end.run, end.how, end.saved]))
            .collect();
        let body =
            json!({"clock_ms": now, "born": worker.born, "running": running, "ended": ended});
        server::Response::new(200, "application/json", body.to_string())
    }
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(2_166_136_261, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(16_777_619)
    })
}

fn profile(spec: &str, task: &str) -> Profile {
    let payload: Value = serde_json::from_str(spec).unwrap_or_default();
    let step = parts(task).map_or(0, |(_, _, step, _)| step);
    let step = &payload["steps"][step];
    let number = |name: &str, default: u64| step[name].as_u64().unwrap_or(default);
    Profile {
        work_ms: number("ms", 100),
        gang: u32::try_from(number("gang", 1)).unwrap_or(1),
        lasting: step["lasting"].as_bool().unwrap_or(false),
        failing_runs: u32::try_from(number("fails", 0)).unwrap_or(0),
        life_ms: number("life", 0),
        checkpoints: step["saves"].as_bool().unwrap_or(false),
    }
}

/// Starts the server of each worker. A worker that is lost gets no new connections once its server is
/// dropped.
pub async fn serve(
    executor: &executor::Executor,
    world: &Shared,
) -> std::io::Result<Vec<Option<server::Server>>> {
    let mut servers = Vec::new();
    let count = lock(world).workers.len();
    for at in 0..count {
        servers.push(Some(serve_one(executor, world, at).await?));
    }
    let shared = Arc::clone(world);
    let advance = async move {
        loop {
            lock(&shared).advance();
            Timer::after(POLL_INTERVAL).await;
        }
    };
    executor.spawn(advance).detach();
    Ok(servers)
}

/// Starts the server of a worker, at a port of its own.
pub async fn serve_one(
    executor: &executor::Executor,
    world: &Shared,
    at: usize,
) -> std::io::Result<server::Server> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (shared, spawner) = (Arc::clone(world), Arc::clone(executor));
    let handler = move |request| handle(Arc::clone(&spawner), Arc::clone(&shared), at, request);
    let server = server::Server::start(executor, listener, server::Limits::default(), handler)?;
    lock(world).workers[at].address = Some(server.address());
    Ok(server)
}

async fn handle(
    executor: executor::Executor,
    world: Shared,
    at: usize,
    request: server::Request,
) -> server::Response {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let (is_reached, id, lateness) = {
        let mut world = lock(&world);
        let worker = &world.workers[at];
        let is_reached = worker.alive && !worker.is_cut_off;
        let id = worker.id.clone();
        let lateness = is_reached.then(|| world.take_lateness(at, &request.path, &body));
        (is_reached, id, lateness.flatten())
    };
    if !is_reached {
        return std::future::pending().await;
    }
    if let Some(lateness) = lateness {
        let carry_out = async move {
            Timer::after(lateness).await;
            let mut world = lock(&world);
            if world.workers[at].alive {
                if request.path == "/v1/hold" {
                    drop(world.hold(at, &body));
                } else {
                    drop(world.start(at, &body));
                }
            }
        };
        executor.spawn(carry_out).detach();
        return std::future::pending().await;
    }
    let expected = request.header("expected-instance");
    if expected.is_some_and(|expected| expected != id) {
        return server::Response::text(421, "another worker");
    }
    match request.path.as_str() {
        "/v1/hold" => hold(&world, at, &body).await,
        "/v1/run-start" => lock(&world).start(at, &body),
        "/v1/run-stop" => lock(&world).stop(at, &body),
        _ => server::Response::text(404, "no such call"),
    }
}

async fn hold(world: &Shared, at: usize, body: &Value) -> server::Response {
    let started = Instant::now();
    let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
    if let Err(refusal) = lock(world).hold(at, body) {
        return refusal;
    }
    loop {
        let is_alive = {
            let mut world = lock(world);
            let worker = &world.workers[at];
            if worker.alive && (!worker.ends.is_empty() || started.elapsed() >= wait) {
                return world.report(at);
            }
            worker.alive
        };
        if !is_alive {
            return std::future::pending().await;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
