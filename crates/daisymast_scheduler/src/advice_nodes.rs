//! Which node asks the advice service.
//!
//! The service takes one call at a time from each node. Questions are spread by the time that each
//! node's open ones still take, and long ones stay off some of the nodes, so that they do not delay
//! short ones.

use std::time::Duration;

use daisymast_types::ids;
use daisymast_types::time;

/// Questions of at least this time count as long.
const LONG_REQUEST: Duration = Duration::from_millis(60);
/// Open questions of one node, below the 32 that the service lets wait.
const MAX_OPEN_PER_NODE: usize = 16;
/// Time for which a node that did not answer gets no question.
const EXCLUSION: Duration = Duration::from_millis(2_000);
/// Share of the nodes, in hundredths, that take long questions.
const LONG_REQUEST_NODES_PERCENT: usize = 65;

#[derive(Clone, Debug)]
struct Node {
    id: ids::InstanceId,
    busy_until: time::Monotonic,
    open: usize,
    /// It is not asked before this time.
    excluded_until: time::Monotonic,
}

/// The nodes that can ask.
#[derive(Clone, Debug, Default)]
pub struct AdviceNodes {
    nodes: Vec<Node>,
}

impl AdviceNodes {
    /// Sets the nodes that are alive. Nodes that stay keep their load.
    pub fn set(&mut self, alive: &[ids::InstanceId]) {
        self.nodes.retain(|node| alive.contains(&node.id));
        for id in alive {
            if !self.nodes.iter().any(|node| node.id == *id) {
                self.nodes.push(Node {
                    id: id.clone(),
                    busy_until: time::Monotonic::ZERO,
                    open: 0,
                    excluded_until: time::Monotonic::ZERO,
                });
            }
        }
        self.nodes.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Chooses the node that will have answered first, and charges it with the question. Returns the
    /// node and the time until its answer.
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
        let usable = if cost >= LONG_REQUEST {
            long_nodes.max(1)
        } else {
            self.nodes.len()
        };
        let node = self
            .nodes
            .iter_mut()
            .take(usable)
            .filter(|node| node.open < MAX_OPEN_PER_NODE && now >= node.excluded_until)
            .min_by_key(|node| node.busy_until.max(now))?;
        node.busy_until = node.busy_until.max(now) + cost;
        node.open += 1;
        Some((node.id.clone(), node.busy_until - now))
    }

    /// A question of a node was answered or given up.
    pub fn finish(&mut self, id: &ids::InstanceId, now: time::Monotonic) {
        if let Some(node) = self.nodes.iter_mut().find(|node| node.id == *id) {
            node.open = node.open.saturating_sub(1);
            if node.open == 0 {
                node.busy_until = now;
            }
        }
    }

    /// A node did not answer: it gets nothing for a while.
    pub fn exclude(&mut self, id: &ids::InstanceId, now: time::Monotonic) {
        if let Some(node) = self.nodes.iter_mut().find(|node| node.id == *id) {
            node.excluded_until = now + EXCLUSION;
        }
    }
}
