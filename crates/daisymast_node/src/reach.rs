//! What a node knows of its paths to the store, to the leader and to other nodes; sans-I/O.

use std::time::Duration;

use daisymast_election::record;
use daisymast_types::{ids, time};

/// Age after which an answer of the store, or a round of questions to other nodes, no longer counts.
/// It spans three rounds.
pub const MAX_AGE: Duration = Duration::from_millis(900);
/// Age after which a path through another node no longer counts. It spans two rounds.
pub const MAX_PATH_AGE: Duration = Duration::from_millis(600);
/// Number of nodes asked in one round. With more, the questions of all nodes during an election would
/// compete with the votes for processor time.
pub const ROUND_SIZE: usize = 4;

/// Time for which a node that is no longer listed is still asked: the leader of a zone that is cut off
/// lists only the nodes of that zone.
pub const PEER_MEMORY: Duration = Duration::from_secs(20);
/// Maximum number of nodes that are remembered.
const MAX_PEERS: usize = 1_024;

/// Whether the store answers this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePath {
    /// The last read was answered, and recently.
    Answers,
    /// The last read failed, and recently.
    Away,
    /// No recent read.
    Unknown,
}

/// Answer of another node to the question whether it reaches a leader that can commit.
#[derive(Clone, Debug)]
pub struct PeerAnswer {
    /// The node that was asked.
    pub peer: record::Member,
    /// Whether it reaches such a leader; `None` if it did not answer.
    pub reaches_leader: Option<bool>,
}

/// Paths of a node, judged by its own reads of the store and by rounds of questions to other nodes.
///
/// ```
/// use daisymast_node::reach::{Reach, StorePath};
/// use daisymast_types::time::Monotonic;
/// let at = Monotonic::from_millis;
/// let mut reach = Reach::new("a".into());
/// assert_eq!(reach.store(at(0)), StorePath::Unknown);
/// reach.on_store_read(false, at(100));
/// assert_eq!(reach.store(at(200)), StorePath::Away);
/// assert_eq!(reach.store_outage(at(400)).as_millis(), 300);
/// reach.on_store_read(true, at(500));
/// assert_eq!(reach.store(at(600)), StorePath::Answers);
/// ```
#[derive(Clone, Debug)]
pub struct Reach {
    zone: ids::Zone,
    /// Result and time of the last read of the store.
    store_read: Option<(bool, time::Monotonic)>,
    store_away_since: Option<time::Monotonic>,
    round: Option<Round>,
    /// Other nodes, and when they were last listed.
    peers: Vec<(record::Member, time::Monotonic)>,
    /// Position in the list of peers at which the next round begins.
    next_peer: usize,
}

/// Result of the last round of questions.
#[derive(Clone, Debug)]
struct Round {
    at: time::Monotonic,
    /// A node that reaches a leader which can commit.
    path: Option<record::Member>,
    /// Whether the answers show that this node, or its zone, is cut off from the others.
    is_alone: bool,
}

impl Reach {
    /// Creates the state of a node in `zone` that has asked nothing yet.
    pub fn new(zone: ids::Zone) -> Self {
        Self {
            zone,
            store_read: None,
            store_away_since: None,
            round: None,
            peers: Vec::new(),
            next_peer: 0,
        }
    }

    /// Handles a read of the store by this node.
    pub fn on_store_read(&mut self, answered: bool, now: time::Monotonic) {
        self.store_read = Some((answered, now));
        if answered {
            self.store_away_since = None;
        } else {
            self.store_away_since.get_or_insert(now);
        }
    }

    /// Handles the list of the other nodes that are alive.
    pub fn on_members(&mut self, others: &[record::Member], now: time::Monotonic) {
        self.peers.retain(|(peer, listed)| {
            now - *listed <= PEER_MEMORY && others.iter().all(|other| other.id != peer.id)
        });
        let room = MAX_PEERS - self.peers.len().min(MAX_PEERS);
        self.peers
            .extend(others.iter().take(room).map(|other| (other.clone(), now)));
    }

    /// Chooses the nodes of the next round, most of them in other zones if there are any: a zone that is
    /// cut off shows only there.
    pub fn choose(&mut self) -> Vec<record::Member> {
        if self.peers.is_empty() {
            return Vec::new();
        }
        let start = self.next_peer % self.peers.len();
        self.next_peer = start + ROUND_SIZE;
        let (before, from) = self.peers.split_at(start);
        let rotated = || from.iter().chain(before).map(|(peer, _)| peer);
        let far = rotated().filter(|peer| peer.zone != self.zone);
        let mut chosen: Vec<_> = far.take(ROUND_SIZE - 1).cloned().collect();
        let near = rotated().filter(|peer| peer.zone == self.zone);
        let left = ROUND_SIZE - chosen.len();
        chosen.extend(near.take(left).cloned());
        chosen
    }

    /// Handles the answers of one round, which was begun at `at`.
    pub fn on_round(&mut self, answers: Vec<PeerAnswer>, at: time::Monotonic) {
        let answered = |peer: &PeerAnswer| peer.reaches_leader.is_some();
        let has_far = answers.iter().any(|answer| answer.peer.zone != self.zone);
        let is_alone = !answers.is_empty()
            && !answers
                .iter()
                .any(|answer| answered(answer) && (!has_far || answer.peer.zone != self.zone));
        let path = answers
            .into_iter()
            .find(|answer| answer.reaches_leader == Some(true))
            .map(|answer| answer.peer);
        self.round = Some(Round { at, path, is_alone });
    }

    /// Returns whether the store answers this node.
    pub fn store(&self, now: time::Monotonic) -> StorePath {
        match self.store_read {
            Some((answered, at)) if now - at <= MAX_AGE => {
                if answered {
                    StorePath::Answers
                } else {
                    StorePath::Away
                }
            }
            _ => StorePath::Unknown,
        }
    }

    /// Returns the time for which the store has not answered this node.
    pub fn store_outage(&self, now: time::Monotonic) -> Duration {
        self.store_away_since
            .map_or(Duration::ZERO, |since| now - since)
    }

    /// Returns when the last round began.
    pub fn round_at(&self) -> Option<time::Monotonic> {
        self.round.as_ref().map(|round| round.at)
    }

    /// Returns a node that recently reached a leader which can commit.
    pub fn path(&self, now: time::Monotonic) -> Option<&record::Member> {
        let round = self
            .round
            .as_ref()
            .filter(|round| now - round.at <= MAX_PATH_AGE);
        round.and_then(|round| round.path.as_ref())
    }

    /// Whether this node reaches neither the store nor any node outside of the part of the network that
    /// is cut off with it. A store that is away for all is no isolation: other nodes would serve no
    /// better. Says nothing about the leader, which may be cut off, too.
    pub fn is_isolated(&self, now: time::Monotonic) -> bool {
        let round = self
            .round
            .as_ref()
            .filter(|round| now - round.at <= MAX_AGE);
        self.store(now) == StorePath::Away
            && round.is_some_and(|round| round.is_alone && round.path.is_none())
    }
}
