//! Choice of the node that sends a request to the advice service.
//!
//! The service handles one call at a time from each node. Requests are distributed by the remaining
//! time of each node's open requests. Long requests are kept off some of the nodes, so that they do
//! not delay short ones.

use std::time::Duration;

use daisymast_types::ids;
use daisymast_types::time;

/// Expected duration from which on a request counts as long.
const LONG_REQUEST: Duration = Duration::from_millis(60);
/// Maximum number of open requests of one node. The service queues up to 32.
const MAX_OPEN_PER_NODE: usize = 16;
/// How long a node that did not answer is excluded.
const EXCLUSION: Duration = Duration::from_millis(2_000);
/// Share of the nodes that take long requests, in percent.
const LONG_REQUEST_NODES_PERCENT: usize = 65;

#[derive(Clone, Debug)]
struct Node {
    id: ids::InstanceId,
    busy_until: time::Monotonic,
    open: usize,
    /// The node gets no requests before this time.
    excluded_until: time::Monotonic,
    /// Whether the node left its last request without an answer.
    is_silent: bool,
}

/// The live nodes and their open requests.
#[derive(Clone, Debug, Default)]
pub struct AdviceNodes {
    nodes: Vec<Node>,
}

impl AdviceNodes {
    /// Sets the live nodes. Nodes that were known before keep their load.
    pub fn set(&mut self, alive: &[ids::InstanceId]) {
        self.nodes.retain(|node| alive.contains(&node.id));
        for id in alive {
            if !self.nodes.iter().any(|node| node.id == *id) {
                self.nodes.push(Node {
                    id: id.clone(),
                    busy_until: time::Monotonic::ZERO,
                    open: 0,
                    excluded_until: time::Monotonic::ZERO,
                    is_silent: false,
                });
            }
        }
        self.nodes.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Number of live nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node is live.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Picks the node that will answer first, and adds the request to its load. Returns the node
    /// and the expected time until its answer, or `None` if no node can take a request. Of several
    /// idle nodes it picks one that did not leave its last request without an answer: a step that
    /// waits alone would otherwise ask the same few nodes again and again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_scheduler::advice_nodes;
    /// use daisymast_types::time;
    /// let mut nodes = advice_nodes::AdviceNodes::default();
    /// nodes.set(&["a".into(), "b".into()]);
    /// let now = time::Monotonic::ZERO;
    /// let (first, _) = nodes.pick(now, Duration::from_millis(20)).unwrap();
    /// let (second, _) = nodes.pick(now, Duration::from_millis(20)).unwrap();
    /// assert_ne!(first, second);
    /// ```
    pub fn pick(
        &mut self,
        now: time::Monotonic,
        cost: Duration,
    ) -> Option<(ids::InstanceId, Duration)> {
        let long_nodes = (self.nodes.len() * LONG_REQUEST_NODES_PERCENT).div_ceil(100);
        let usable_nodes = if cost >= LONG_REQUEST {
            long_nodes.max(1)
        } else {
            self.nodes.len()
        };
        let node = self
            .nodes
            .iter_mut()
            .take(usable_nodes)
            .filter(|node| node.open < MAX_OPEN_PER_NODE && now >= node.excluded_until)
            .min_by_key(|node| (node.busy_until.max(now), node.is_silent))?;
        node.busy_until = node.busy_until.max(now) + cost;
        node.open += 1;
        Some((node.id.clone(), node.busy_until - now))
    }

    /// Records that a request of a node was answered or has timed out. A timeout is also passed to
    /// [`exclude`](Self::exclude), afterwards.
    pub fn finish(&mut self, id: &ids::InstanceId, now: time::Monotonic) {
        if let Some(node) = self.nodes.iter_mut().find(|node| node.id == *id) {
            node.open = node.open.saturating_sub(1);
            node.is_silent = false;
            if node.open == 0 {
                node.busy_until = now;
            }
        }
    }

    /// Records that a node did not answer, which excludes it for a while.
    pub fn exclude(&mut self, id: &ids::InstanceId, now: time::Monotonic) {
        if let Some(node) = self.nodes.iter_mut().find(|node| node.id == *id) {
            node.excluded_until = now + EXCLUSION;
            node.is_silent = true;
        }
    }
}
