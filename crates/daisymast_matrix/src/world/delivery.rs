//! Delivery of messages to their receivers.

use std::time::Duration;

use daisymast_engine::event::Event;
use daisymast_platform::model::ModelReply;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::InstanceId;
use daisymast_types::time::Monotonic;

use crate::network::{Body, Message, Party};
use crate::world::{ScheduledEvent, World};

impl World {
    /// Delivers a message to its receiver, or drops it if the link is cut.
    pub(super) fn arrive(&mut self, message: Message) {
        if !self.can_reach(&message) {
            return;
        }
        match message.to.clone() {
            Party::Instance(instance) => self.arrive_at_instance(&instance, message),
            Party::Platform => self.arrive_at_platform(message),
            Party::Worker(worker) => self.arrive_at_worker(&worker, message),
        }
    }

    fn arrive_at_instance(&mut self, instance: &InstanceId, message: Message) {
        let Message {
            from, call, body, ..
        } = message.clone();
        match body {
            Body::Peer(request) => {
                if self
                    .nodes
                    .get(instance)
                    .is_none_or(|node| !node.is_running())
                {
                    self.refuse_connection(&call);
                    return;
                }
                let Party::Instance(from) = from else { return };
                let token = self.token();
                if let Some(node) = self.nodes.get_mut(instance) {
                    node.peers.insert(token, message);
                }
                self.deliver_event(
                    instance,
                    Event::Peer {
                        token,
                        from,
                        request,
                    },
                );
            }
            Body::StoreReply(reply) => {
                let outcome = Outcome::Done(reply);
                self.complete_call(&call, |_| Event::StoreReply {
                    call: call.call,
                    outcome,
                });
            }
            Body::WorkerReply(reply) => {
                let outcome = Outcome::Done(reply);
                self.complete_call(&call, |_| Event::WorkerReply {
                    call: call.call,
                    outcome,
                });
            }
            Body::PeerReply(reply) => {
                let outcome = Outcome::Done(reply);
                self.complete_call(&call, |_| Event::PeerReply {
                    call: call.call,
                    outcome,
                });
            }
            Body::Store(_) | Body::Worker(_) => {}
        }
    }

    fn arrive_at_platform(&mut self, message: Message) {
        let Body::Store(request) = message.body.clone() else {
            return;
        };
        let now = Monotonic::from_millis(self.now);
        match self.platform.on_request(now, request) {
            ModelReply::Answer { reply, delay } => self.answer_store(message, reply, delay),
            ModelReply::Deferred(watch) => {
                self.waiting.insert(watch, message);
            }
            ModelReply::ReplyLost | ModelReply::Unreachable => {}
        }
        self.resolve_watches();
    }

    /// Replies to watches that have fired because of a write or have timed out.
    pub(super) fn resolve_watches(&mut self) {
        for (watch, reply) in self.platform.on_tick(Monotonic::from_millis(self.now)) {
            let Some(message) = self.waiting.remove(&watch) else {
                continue;
            };
            if let ModelReply::Answer { reply, delay } = reply {
                self.answer_store(message, reply, delay);
            }
        }
    }

    fn answer_store(&mut self, request: Message, reply: StoreReply, delay: Duration) {
        let delay = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        if delay == 0 {
            self.send_reply(request, Body::StoreReply(reply));
        } else {
            let at = self.now.saturating_add(delay);
            self.schedule(at, ScheduledEvent::DelayedStoreReply(request, reply));
        }
    }
}
