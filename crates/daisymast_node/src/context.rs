//! What all parts of a node share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use daisymast_adapter::{settings, store};
use daisymast_election::{candidate, record};
use daisymast_http::{client, executor};
use daisymast_scheduler::config;
use daisymast_telemetry::decisions;
use daisymast_types::time;

use crate::clock;
use crate::constants;
use crate::leadership;
use crate::metrics;
use crate::peers;

/// What all parts of a node share.
#[derive(Debug)]
pub struct Context {
    /// Runs the node's tasks.
    pub executor: executor::Executor,
    /// Settings of this process.
    pub settings: settings::Settings,
    /// Distinguishes lives of the node.
    pub incarnation: u64,
    /// The store.
    pub store: store::Store,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// Log of decisions.
    pub decisions: decisions::Recorder,
    /// Client for other nodes.
    pub peers: client::Client,
    /// Client for workers.
    pub workers: client::Client,
    /// Client for the advice service.
    pub advice: client::Client,
    candidate: Mutex<candidate::Candidate>,
    config: Mutex<Option<Arc<config::Configuration>>>,
    /// When another node first told of a later configuration than this one has.
    config_behind_since: Mutex<Option<time::Monotonic>>,
    leadership: Mutex<Option<Arc<leadership::Leadership>>>,
    draining: AtomicBool,
    term: AtomicU64,
}

impl Context {
    /// The shared parts of a node that was just started.
    pub fn new(executor: executor::Executor, settings: settings::Settings) -> Self {
        let limits = client::Settings {
            idle_connections: 16,
            idle_age: constants::MAX_IDLE_AGE,
            ..client::Settings::default()
        };
        let client = || client::Client::new(Arc::clone(&executor), limits);
        let me = member(&settings);
        Self {
            incarnation: fastrand::u64(1..),
            store: store::Store::new(client(), settings.store),
            metrics: metrics::Metrics::default(),
            decisions: decisions::Recorder::start(settings.instance.as_str()),
            peers: client(),
            workers: client(),
            advice: client(),
            candidate: Mutex::new(candidate::Candidate::new(me, clock::now())),
            config: Mutex::new(None),
            config_behind_since: Mutex::new(None),
            leadership: Mutex::new(None),
            draining: AtomicBool::new(false),
            term: AtomicU64::new(0),
            executor,
            settings,
        }
    }

    /// This node.
    pub fn member(&self) -> record::Member {
        member(&self.settings)
    }

    /// This life of the node as the leader key names it.
    pub fn leader(&self, resigned: bool) -> record::Leader {
        record::Leader {
            node: self.member(),
            life: self.incarnation,
            resigned,
        }
    }

    /// The node's view of the scheduler.
    pub fn candidate(&self) -> MutexGuard<'_, candidate::Candidate> {
        lock(&self.candidate)
    }

    /// The configuration in force, once there is one.
    pub fn config(&self) -> Option<Arc<config::Configuration>> {
        lock(&self.config).clone()
    }

    /// Version of the configuration in force, 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// Takes a configuration into force unless a later one already is. Returns whether it was taken.
    pub fn configure(&self, config: config::Configuration) -> bool {
        let mut known = lock(&self.config);
        if known
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return false;
        }
        log::info!("configuration {} is in force", config.version);
        let config = Arc::new(config);
        *known = Some(Arc::clone(&config));
        drop(known);
        if let Some(leadership) = self.leadership() {
            leadership.configure(config);
        }
        true
    }

    /// Another node told the version of its configuration.
    pub fn on_peer_config_version(&self, version: u64, now: time::Monotonic) {
        let mut config_behind_since = lock(&self.config_behind_since);
        if version <= self.config_version() {
            *config_behind_since = None;
        } else {
            config_behind_since.get_or_insert(now);
        }
    }

    /// A ping of this node. It asks for a configuration only if the store does not bring it: a large
    /// one that all nodes took from the scheduler at once would keep it from answering pings.
    pub fn ping(&self) -> peers::Request {
        let since = *lock(&self.config_behind_since);
        let late = since.is_some_and(|since| clock::now() - since >= constants::CONFIG_FETCH_DELAY);
        let version = self.config_version();
        peers::Request::Ping {
            from: self.member(),
            version,
            wanted: late || version == 0,
            roster: record::roster(self.candidate().members()),
        }
    }

    /// The scheduler of this process, while it is elected.
    pub fn leadership(&self) -> Option<Arc<leadership::Leadership>> {
        lock(&self.leadership).clone()
    }

    /// Sets the scheduler of this process.
    pub fn set_leadership(&self, leadership: Option<Arc<leadership::Leadership>>) {
        *lock(&self.leadership) = leadership;
    }

    /// Term in which this process schedules, also while it reads the journal.
    pub fn term(&self) -> Option<u64> {
        Some(self.term.load(Ordering::Relaxed)).filter(|&term| term > 0)
    }

    /// Sets the term in which this process schedules, 0 for none.
    pub fn set_term(&self, term: u64) {
        self.term.store(term, Ordering::Relaxed);
        self.metrics.set_term(term);
    }

    /// Whether the process is about to end.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// The process is about to end.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let connected = self.term().is_some() || self.candidate().is_connected(clock::now());
        connected && !self.is_draining() && self.config().is_some()
    }
}

fn member(settings: &settings::Settings) -> record::Member {
    record::Member {
        id: settings.instance.clone(),
        address: settings.peers,
        millicores: settings.millicores,
    }
}

/// The shared values are valid after each statement, so a panic elsewhere does not spoil them.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
