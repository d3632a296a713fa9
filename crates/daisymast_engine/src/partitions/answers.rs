//! Cache of recent answers. The ledger records only that a request was answered, not the body.

use std::collections::VecDeque;

use daisymast_protocol::worker::Answer;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::RequestId;

/// Maximum number of cached answers.
const ANSWERS_MAX: usize = 4_096;
/// Maximum total size of cached answer bodies in bytes.
const BYTES_MAX: usize = 16 * 1024 * 1024;

/// Cached answers; the oldest are evicted first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAnswers {
    by_id: FastMap<RequestId, Answer>,
    order: VecDeque<RequestId>,
    bytes: usize,
}

impl RecentAnswers {
    /// Caches an answer. An existing answer with the same id is kept.
    pub(crate) fn insert(&mut self, answer: Answer) {
        if self.by_id.contains_key(&answer.id) {
            return;
        }
        self.bytes += answer.body.len();
        self.order.push_back(answer.id.clone());
        self.by_id.insert(answer.id.clone(), answer);
        while self.order.len() > ANSWERS_MAX || self.bytes > BYTES_MAX {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            if let Some(dropped) = self.by_id.remove(&oldest) {
                self.bytes -= dropped.body.len();
            }
        }
    }

    pub(crate) fn get(&self, id: &RequestId) -> Option<&Answer> {
        self.by_id.get(id)
    }
}
