//! Measures the messages, their encoded size and the processing time of the instances of a world.

use std::collections::BTreeMap;
use std::fmt::{self, Debug, Write};
use std::time::Duration;

use daisymast_engine::event::Event;
use daisymast_protocol::outcome::Outcome;
use daisymast_types::ids::InstanceId;

use crate::network::{Body, Message, Party};

/// Kinds of parties between which a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Edge {
    /// Between two instances.
    Peer,
    /// Between an instance and the store.
    Store,
    /// Between an instance and a worker.
    Worker,
}

/// Number and size of the messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Sum of their encoded sizes in bytes, without HTTP headers.
    pub bytes: u64,
}

/// Number and processing time of the events of one kind at one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Number of events.
    pub events: u64,
    /// Real time spent in `on_event`.
    pub time: Duration,
}

/// Counters since [`crate::world::World::start_meter`].
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Messages by kind of parties and message name.
    pub messages: BTreeMap<(Edge, String), Count>,
    /// Handled events by instance and event name.
    pub work: BTreeMap<(InstanceId, String), Work>,
    /// Number of timeline events by instance.
    pub records: BTreeMap<InstanceId, u64>,
}

impl Meter {
    pub(crate) fn message(&mut self, message: &Message) {
        let edge = match (&message.from, &message.to) {
            (Party::Platform, _) | (_, Party::Platform) => Edge::Store,
            (Party::Worker(_), _) | (_, Party::Worker(_)) => Edge::Worker,
            (Party::Instance(_), Party::Instance(_)) => Edge::Peer,
        };
        let key = (edge, body_name(&message.body));
        let count = self.messages.entry(key).or_default();
        count.messages += 1;
        count.bytes += encoded_length(&message.body) as u64;
    }

    pub(crate) fn event(&mut self, instance: &InstanceId, name: String, time: Duration) {
        let work = self.work.entry((instance.clone(), name)).or_default();
        work.events += 1;
        work.time += time;
    }

    pub(crate) fn record(&mut self, instance: &InstanceId) {
        *self.records.entry(instance.clone()).or_default() += 1;
    }
}

/// Name of an event, with the name of the message that it carries.
pub(crate) fn event_name(event: &Event) -> String {
    match event {
        Event::Tick | Event::Drain => variant_name(event),
        Event::Caller { .. } | Event::CallerStatus { .. } => variant_name(event),
        Event::Operator { request, .. } => format!("Operator.{}", variant_name(request)),
        Event::Peer { request, .. } => format!("Peer.{}", variant_name(request)),
        Event::StoreReply { outcome, .. } => format!("StoreReply.{}", reply_name(outcome)),
        Event::WorkerReply { outcome, .. } => format!("WorkerReply.{}", reply_name(outcome)),
        Event::PeerReply { outcome, .. } => format!("PeerReply.{}", reply_name(outcome)),
    }
}

fn reply_name<T: Debug>(outcome: &Outcome<T>) -> String {
    match outcome {
        Outcome::Done(reply) => variant_name(reply),
        Outcome::NoEffect(_) => "NoEffect".to_owned(),
        Outcome::Unknown(_) => "Unknown".to_owned(),
    }
}

fn body_name(body: &Body) -> String {
    match body {
        Body::Store(request) => variant_name(request),
        Body::StoreReply(reply) => format!("Reply.{}", variant_name(reply)),
        Body::Worker(request) => variant_name(request),
        Body::WorkerReply(reply) => format!("Reply.{}", variant_name(reply)),
        Body::Peer(request) => variant_name(request),
        Body::PeerReply(reply) => format!("Reply.{}", variant_name(reply)),
    }
}

/// Size of the message in bytes as the daemons encode it: MessagePack with field names between
/// instances, JSON to and from the store and workers.
fn encoded_length(body: &Body) -> usize {
    match body {
        Body::Store(request) => serde_json::to_vec(request).map_or(0, |text| text.len()),
        Body::StoreReply(reply) => serde_json::to_vec(reply).map_or(0, |text| text.len()),
        Body::Worker(request) => serde_json::to_vec(request).map_or(0, |text| text.len()),
        Body::WorkerReply(reply) => serde_json::to_vec(reply).map_or(0, |text| text.len()),
        Body::Peer(request) => rmp_serde::to_vec_named(request).map_or(0, |bytes| bytes.len()),
        Body::PeerReply(reply) => rmp_serde::to_vec_named(reply).map_or(0, |bytes| bytes.len()),
    }
}

/// Name of an enum variant: the first word of its debug output. The rest is not formatted, since
/// messages can be large.
fn variant_name(value: &impl Debug) -> String {
    let mut first_word = FirstWord::default();
    // `FirstWord` returns an error to stop formatting after the first word.
    let _ = write!(first_word, "{value:?}");
    first_word.0
}

#[derive(Default)]
struct FirstWord(String);

impl Write for FirstWord {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let end = text.find([' ', '(', '{']).unwrap_or(text.len());
        self.0.push_str(&text[..end]);
        if end < text.len() {
            Err(fmt::Error)
        } else {
            Ok(())
        }
    }
}
