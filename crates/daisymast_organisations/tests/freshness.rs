//! Tests of how long keys are honoured, on a virtual clock.

use std::time::Duration;

use daisymast_organisations::freshness::{self, Freshness, Report};
use daisymast_types::time::Monotonic;
use proptest::collection::vec;
use proptest::{prop_assert, prop_oneof, proptest, strategy::Strategy};

/// Time after which a withdrawn key may not be honoured.
const BOUND: Duration = Duration::from_millis(5_000);

fn at(millis: u64) -> Monotonic {
    Monotonic::from_millis(millis)
}

/// Returns a node that holds version 7 and was told at 10,000 ms that it is the newest.
fn confirmed_node() -> Freshness {
    let mut node = Freshness::new(Some(BOUND));
    let report = Report {
        version: 7,
        age_ms: 200,
    };
    node.on_report(report, at(10_200));
    node
}

/// Guards against a key that is honoured too long by a node without a leader, without a path, or
/// without a store, and against refusals that come sooner than the bound asks.
#[test]
fn keys_expire_on_a_node_that_hears_nothing() {
    let mut node = confirmed_node();
    assert!(node.is_ready(7, at(12_700)) && !node.is_ready(7, at(12_800)));
    assert!(node.may_honour(7, at(14_700)) && !node.may_honour(7, at(14_750)));
    // Failing reads change nothing, and requests do not wait for another one.
    let read = node.begin_read(7, at(14_000));
    node.end_read(read, None, at(15_000));
    assert!(!node.may_honour(7, at(15_000)) && !node.demand(at(15_100)));
    // The first answer is dated at its sending.
    let read = node.begin_read(7, at(20_000));
    node.end_read(read, Some(7), at(21_000));
    assert!(node.may_honour(7, at(24_700)) && !node.may_honour(7, at(24_750)));
}

/// Guards against keys that a process honours after it was suspended beyond the bound, and against
/// an answer that was on its way meanwhile.
#[test]
fn keys_expire_while_the_process_is_suspended() {
    let mut node = confirmed_node();
    let read = node.begin_read(7, at(10_400));
    assert!(!node.may_honour(7, at(20_000)));
    node.end_read(read, Some(7), at(20_000));
    node.on_report(
        Report {
            version: 7,
            age_ms: 1,
        },
        at(10_600),
    );
    assert!(!node.may_honour(7, at(20_001)));
}

/// Guards against a node that counts as fresh the version that it holds, when it has only heard of
/// a later one.
#[test]
fn a_late_configuration_confirms_nothing() {
    let mut node = confirmed_node();
    for millis in (10_400..16_000).step_by(200) {
        node.on_report(
            Report {
                version: 8,
                age_ms: 100,
            },
            at(millis),
        );
    }
    assert!(node.may_honour(7, at(14_700)) && !node.may_honour(7, at(14_750)));
    assert!(node.may_honour(8, at(20_000)), "once the version arrives");
}

/// Guards against a process that honours keys, or calls them unknown, right after its start, and
/// against an outdated read that counts as a confirmation.
#[test]
fn a_restarted_process_has_no_confirmation() {
    let mut node = Freshness::new(Some(BOUND));
    assert!(!node.may_honour(7, at(0)) && !node.may_deny(7, at(0)));
    assert!(node.report(7, at(0)).is_none());
    assert!(node.is_read_due(0, false, Duration::ZERO, at(0)));
    let read = node.begin_read(8, at(0));
    node.end_read(read, Some(7), at(10));
    assert!(!node.may_honour(8, at(10)));
}

/// Guards against a key that was added lately and is called unknown by a node that has not asked.
#[test]
fn a_key_is_called_unknown_only_by_a_fresh_configuration() {
    let mut node = confirmed_node();
    assert!(node.may_deny(7, at(11_400)) && !node.may_deny(7, at(11_500)));
    assert!(node.demand(at(11_500)));
    assert!(node.is_read_due(7, false, Duration::ZERO, at(11_500)));
    let read = node.begin_read(7, at(11_500));
    node.end_read(read, Some(8), at(11_510));
    assert!(node.may_deny(8, at(11_510)) && !node.may_deny(7, at(11_510)));
    assert!(!Freshness::new(None).may_deny(7, at(0)));
    assert!(Freshness::new(None).may_honour(7, at(0)));
}

/// Guards against a refused call with a key that is valid before and after a rotation, at a node
/// that gets the new version late.
#[test]
fn rotation_refuses_no_key_of_both_versions() {
    for delivered in (0..3_000).step_by(50) {
        let mut node = confirmed_node();
        let mut held = 7;
        for millis in (10_200..20_000).step_by(50) {
            let newest = if millis < 12_000 { 7 } else { 8 };
            if millis >= 12_000 + delivered {
                held = 8;
            }
            if millis % 200 == 0 {
                let report = Report {
                    version: newest,
                    age_ms: 450,
                };
                node.on_report(report, at(millis));
            }
            assert!(node.may_honour(held, at(millis)), "{delivered} {millis}");
        }
    }
}

/// Guards against a leader or a node that reads more often than its interval, and against nodes
/// that read although the leader's reports are fresh.
#[test]
fn reads_are_bounded() {
    let mut leader = Freshness::new(Some(BOUND));
    let mut follower = confirmed_node();
    let mut reads = (0, 0);
    for millis in (10_000..20_000).step_by(50) {
        if leader.is_read_due(7, true, Duration::ZERO, at(millis)) {
            reads.0 += 1;
            let read = leader.begin_read(7, at(millis));
            leader.end_read(read, Some(7), at(millis));
        }
        if let Some(report) = leader.report(7, at(millis)) {
            follower.on_report(report, at(millis));
        }
        reads.1 += u32::from(follower.is_read_due(7, false, Duration::ZERO, at(millis)));
    }
    assert_eq!(reads, (23, 0));
    let mut lonely = confirmed_node();
    let due = (12_000..22_000).step_by(50).filter(|&millis| {
        let due = lonely.is_read_due(7, false, Duration::ZERO, at(millis));
        if due {
            lonely.demand(at(millis));
            let read = lonely.begin_read(7, at(millis));
            lonely.end_read(read, None, at(millis));
        }
        due
    });
    assert_eq!(due.count(), 25);
    assert!(freshness::DEMANDED_READ_INTERVAL < freshness::OWN_READ_INTERVAL);
}

#[derive(Clone, Debug)]
enum Event {
    Acknowledge,
    Deliver(usize),
    BeginRead(usize),
    /// The read returns the version at its end, or at its start.
    EndRead(usize, bool),
    BeginPing(usize),
    /// Another node answers the ping.
    AnswerPing(usize, usize),
    EndPing(usize),
    Restart(usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let node = || 0_usize..3;
    prop_oneof![
        1 => proptest::strategy::Just(Event::Acknowledge),
        1 => node().prop_map(Event::Deliver),
        2 => node().prop_map(Event::BeginRead),
        2 => (node(), proptest::bool::ANY).prop_map(|(node, end)| Event::EndRead(node, end)),
        2 => node().prop_map(Event::BeginPing),
        2 => (node(), node()).prop_map(|(node, peer)| Event::AnswerPing(node, peer)),
        2 => node().prop_map(Event::EndPing),
        1 => node().prop_map(Event::Restart),
        4 => (0_u64..900).prop_map(Event::Wait),
    ]
}

#[derive(Default)]
struct Node {
    freshness: Freshness,
    held: u64,
    read: Option<(freshness::Read, u64)>,
    ping: Option<(Monotonic, Option<Option<Report>>)>,
}

proptest! {
    /// Guards against any order of reads, pings, deliveries and restarts after which a node honours
    /// keys of a version that was replaced longer ago than the bound.
    #[test]
    fn no_replaced_version_is_honoured_beyond_the_bound(events in vec(event(), 0..300)) {
        let mut nodes: Vec<Node> = (0..3).map(|_| Node::default()).collect();
        for node in &mut nodes {
            node.freshness = Freshness::new(Some(BOUND));
        }
        let mut now = 100_000;
        // Time at which each version was acknowledged; version 0 is never in force.
        let mut versions = vec![0, now];
        for event in events {
            let newest = versions.len() as u64 - 1;
            match event {
                Event::Acknowledge => versions.push(now),
                Event::Wait(millis) => now += millis,
                Event::Deliver(node) => nodes[node].held = newest,
                Event::BeginRead(node) => {
                    let node = &mut nodes[node];
                    node.read = Some((node.freshness.begin_read(node.held, at(now)), newest));
                }
                Event::EndRead(node, end) => {
                    let node = &mut nodes[node];
                    if let Some((read, first)) = node.read.take() {
                        let version = if end { newest } else { first };
                        node.held = node.held.max(version);
                        node.freshness.end_read(read, Some(version), at(now));
                    }
                }
                Event::BeginPing(node) => nodes[node].ping = Some((at(now), None)),
                Event::AnswerPing(node, peer) => {
                    let report = nodes[peer].freshness.report(nodes[peer].held, at(now));
                    if let Some((_, answer)) = &mut nodes[node].ping {
                        answer.get_or_insert(report);
                    }
                }
                Event::EndPing(node) => {
                    let node = &mut nodes[node];
                    if let Some((sent, Some(Some(report)))) = node.ping.take() {
                        node.freshness.on_report(report, sent);
                    }
                }
                Event::Restart(node) => {
                    nodes[node] = Node::default();
                    nodes[node].freshness = Freshness::new(Some(BOUND));
                }
            }
            for node in &nodes {
                if node.freshness.may_honour(node.held, at(now))
                    && let Some(replaced) = versions.get(usize::try_from(node.held).unwrap_or(0) + 1)
                {
                    prop_assert!(now - replaced <= 5_000 - 250);
                }
            }
        }
    }
}
