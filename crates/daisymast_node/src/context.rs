//! State shared by all tasks of a node.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daisymast_adapter::{settings, store};
use daisymast_election::{candidate, record};
use daisymast_http::{client, executor};
use daisymast_organisations::freshness;
use daisymast_scheduler::{config, lease};
use daisymast_telemetry::decisions;
use daisymast_types::time;

use crate::clock;
use crate::constants;
use crate::leadership;
use crate::metrics;
use crate::peers;
use crate::reach;
use crate::relay;

/// State shared by all tasks of a node.
#[derive(Debug)]
pub struct Context {
    /// Executor of the node's tasks.
    pub executor: executor::Executor,
    /// Settings of this process.
    pub settings: settings::Settings,
    /// Random number that identifies this run of the process under the node's id.
    pub incarnation: u64,
    /// Client of the platform's store.
    pub store: store::Store,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// Structured log of scheduling and election decisions.
    pub decisions: decisions::Recorder,
    /// HTTP client for other nodes.
    pub peers: client::Client,
    /// HTTP client for workers.
    pub workers: client::Client,
    /// HTTP client for the advice service.
    pub advice: client::Client,
    /// Calls to workers that this node makes for the leader.
    pub relay: relay::Relay,
    candidate: Mutex<candidate::Candidate>,
    reach: Mutex<reach::Reach>,
    /// Whether the paths should be looked at although the leader answers.
    reach_wanted: AtomicBool,
    config: Mutex<Option<Arc<config::Configuration>>>,
    freshness: Mutex<freshness::Freshness>,
    /// Time at which another node first reported a later configuration version than this node has.
    config_behind_since: Mutex<Option<time::Monotonic>>,
    leadership: Mutex<Option<Arc<leadership::Leadership>>>,
    draining: AtomicBool,
    term: AtomicU64,
}

impl Context {
    /// Creates the shared state of a node that has just started.
    pub fn new(executor: executor::Executor, settings: settings::Settings) -> Self {
        let limits = client::Settings {
            max_idle_connections: 16,
            max_idle_age: constants::MAX_IDLE_AGE,
            ..client::Settings::default()
        };
        let client = || client::Client::new(Arc::clone(&executor), limits);
        let bounded = client::Settings {
            delivery_timeout: Some(constants::DELIVERY_TIMEOUT),
            ..limits
        };
        let bounded_client = || client::Client::new(Arc::clone(&executor), bounded);
        let me = member(&settings);
        let incarnation = fastrand::u64(1..);
        let revocation = settings.revocation_ms.map(Duration::from_millis);
        Self {
            incarnation,
            store: store::Store::new(client(), settings.store),
            metrics: metrics::Metrics::default(),
            decisions: decisions::Recorder::start(settings.instance.as_str()),
            peers: bounded_client(),
            workers: bounded_client(),
            advice: client(),
            relay: relay::Relay::new(incarnation),
            reach: Mutex::new(reach::Reach::new(me.zone.clone())),
            reach_wanted: AtomicBool::new(false),
            candidate: Mutex::new(candidate::Candidate::new(me, clock::now())),
            config: Mutex::new(None),
            freshness: Mutex::new(freshness::Freshness::new(revocation)),
            config_behind_since: Mutex::new(None),
            leadership: Mutex::new(None),
            draining: AtomicBool::new(false),
            term: AtomicU64::new(0),
            executor,
            settings,
        }
    }

    /// Returns this node as a cluster member.
    pub fn member(&self) -> record::Member {
        member(&self.settings)
    }

    /// Returns the value that this process writes to the leader key. Leaders of earlier terms may
    /// act for up to `former_lease` from now.
    pub fn leader(&self, resigned: bool, former_lease: Duration) -> record::Leader {
        record::Leader {
            node: self.member(),
            life: self.incarnation,
            resigned,
            former_ms: Some(lease::millis(former_lease)),
        }
    }

    /// Locks and returns this node's view of the election.
    pub fn candidate(&self) -> MutexGuard<'_, candidate::Candidate> {
        lock(&self.candidate)
    }

    /// Locks and returns what this node knows of its paths.
    pub fn reach(&self) -> MutexGuard<'_, reach::Reach> {
        lock(&self.reach)
    }

    /// Requests a look at the paths although the leader answers, as it cannot write to the store.
    pub fn request_reach(&self) {
        self.reach_wanted.store(true, Ordering::Relaxed);
    }

    /// Whether a look at the paths was requested since the last call.
    pub fn take_reach_request(&self) -> bool {
        self.reach_wanted.swap(false, Ordering::Relaxed)
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn config(&self) -> Option<Arc<config::Configuration>> {
        lock(&self.config).clone()
    }

    /// Returns the version of the configuration in force, 0 before the first one.
    pub fn config_version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// Applies a configuration unless its version is not newer than the current one. Returns
    /// whether it was applied.
    pub fn configure(&self, config: config::Configuration) -> bool {
        let known = lock(&self.config);
        if known
            .as_ref()
            .is_some_and(|known| known.version >= config.version)
        {
            return false;
        }
        self.replace_config(known, config);
        true
    }

    /// Applies a configuration that was read from the store. It also replaces one of the same version
    /// with other content: a node of an earlier release passes on only the parts that it knows.
    pub fn configure_from_store(&self, config: config::Configuration) -> bool {
        let known = lock(&self.config);
        if known.as_ref().is_some_and(|known| {
            known.version > config.version || (known.version == config.version && **known == config)
        }) {
            return false;
        }
        self.replace_config(known, config);
        true
    }

    fn replace_config(
        &self,
        mut known: MutexGuard<'_, Option<Arc<config::Configuration>>>,
        config: config::Configuration,
    ) {
        log::info!("applied configuration version {}", config.version);
        let config = Arc::new(config);
        *known = Some(Arc::clone(&config));
        drop(known);
        if let Some(leadership) = self.leadership() {
            leadership.configure(config);
        }
    }

    /// Locks and returns what this node knows of the age of its configuration.
    pub fn freshness(&self) -> MutexGuard<'_, freshness::Freshness> {
        lock(&self.freshness)
    }

    /// Whether callers need keys, so that this node has to know the age of its configuration.
    pub fn checks_keys(&self) -> bool {
        let config = self.config();
        self.freshness().is_bounded() || config.is_some_and(|config| config.organisations.is_some())
    }

    /// Records the configuration version that another node reported.
    pub fn on_peer_config_version(&self, version: u64, now: time::Monotonic) {
        let mut config_behind_since = lock(&self.config_behind_since);
        if version <= self.config_version() {
            *config_behind_since = None;
        } else {
            config_behind_since.get_or_insert(now);
        }
    }

    /// Builds a ping request. It requests the configuration only if the store has not delivered it
    /// in time: if all nodes fetched a large configuration from the leader at once, the leader
    /// could not answer pings.
    pub fn ping(&self) -> peers::Request {
        let since = *lock(&self.config_behind_since);
        let late = since.is_some_and(|since| clock::now() - since >= constants::CONFIG_FETCH_DELAY);
        let version = self.config_version();
        peers::Request::Ping {
            from: self.member(),
            version,
            wanted: late || version == 0,
            roster: record::members_digest(self.candidate().members()),
        }
    }

    /// Returns the other nodes that the leader last reported as alive.
    pub fn other_members(&self) -> Vec<record::Member> {
        let candidate = self.candidate();
        let members = candidate.members().iter();
        members
            .filter(|member| member.id != self.settings.instance)
            .cloned()
            .collect()
    }

    /// Returns the other nodes that the leader last reported as alive, without the leader.
    pub fn other_followers(&self) -> Vec<record::Member> {
        let candidate = self.candidate();
        let leader = candidate.elected().map(|elected| &elected.leader.node.id);
        let members = candidate.members().iter();
        members
            .filter(|member| member.id != self.settings.instance && Some(&member.id) != leader)
            .cloned()
            .collect()
    }

    /// Returns the scheduler state of this process while it is the leader.
    pub fn leadership(&self) -> Option<Arc<leadership::Leadership>> {
        lock(&self.leadership).clone()
    }

    /// Sets or clears the scheduler state of this process.
    pub fn set_leadership(&self, leadership: Option<Arc<leadership::Leadership>>) {
        *lock(&self.leadership) = leadership;
    }

    /// Returns the term in which this process leads, including the time in which it replays the
    /// journal.
    pub fn term(&self) -> Option<u64> {
        Some(self.term.load(Ordering::Relaxed)).filter(|&term| term > 0)
    }

    /// Sets the term in which this process leads, 0 for none.
    pub fn set_term(&self, term: u64) {
        self.term.store(term, Ordering::Relaxed);
        self.metrics.set_term(term);
    }

    /// Whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Marks the process as shutting down.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether this node is cut off, alone or with its zone, and its leader with it: callers are served
    /// elsewhere.
    pub fn is_cut_off(&self, now: time::Monotonic) -> bool {
        let is_leader_healthy = match self.leadership() {
            Some(leadership) => leadership.stale_ms(now) == 0,
            None => self.candidate().is_leader_healthy(now),
        };
        !is_leader_healthy && self.reach().is_isolated(now)
    }

    /// Whether this node passes readiness checks and should receive requests.
    pub fn is_ready(&self) -> bool {
        let now = clock::now();
        let connected = self.term().is_some() || self.candidate().is_connected(now);
        connected && !self.is_cut_off(now) && !self.is_draining() && self.has_fresh_config()
    }

    /// Whether there is a configuration whose keys stay valid for the next seconds.
    fn has_fresh_config(&self) -> bool {
        let Some(config) = self.config() else {
            return false;
        };
        self.freshness().is_ready(config.version, clock::now())
    }
}

fn member(settings: &settings::Settings) -> record::Member {
    record::Member {
        id: settings.instance.clone(),
        address: settings.peers,
        millicores: settings.millicores,
        zone: settings.zone.clone(),
    }
}

/// Locks a mutex, ignoring poisoning. The shared values are valid after each statement, so a panic
/// elsewhere cannot leave them inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
