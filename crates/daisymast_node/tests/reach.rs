//! Tests of what a node concludes about its paths.

use daisymast_election::record::Member;
use daisymast_node::reach::{PeerAnswer, Reach, StorePath};
use daisymast_types::time::Monotonic;

fn at(millis: u64) -> Monotonic {
    Monotonic::from_millis(10_000 + millis)
}

fn member(name: &str, zone: &str) -> Member {
    Member {
        id: name.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        millicores: 250,
        zone: zone.into(),
    }
}

fn reach() -> Reach {
    let mut reach = Reach::new("a".into());
    let members = [
        member("a-2", "a"),
        member("a-3", "a"),
        member("b-1", "b"),
        member("c-1", "c"),
    ];
    reach.on_members(&members, at(0));
    reach
}

/// Runs a round in which the nodes whose names begin with one of `answering` answer.
fn ask(reach: &mut Reach, answering: &[&str], reaches_leader: bool, now: Monotonic) {
    let answers = reach.choose().into_iter().map(|peer| {
        let answers = answering
            .iter()
            .any(|prefix| peer.id.as_str().starts_with(prefix));
        PeerAnswer {
            peer,
            reaches_leader: answers.then_some(reaches_leader),
        }
    });
    let answers = answers.collect();
    reach.on_round(answers, now);
}

/// Guards against a cut-off zone whose nodes stay in the load balancer, since they reach each other and
/// the leader in their zone lists only them.
#[test]
fn a_zone_that_is_cut_off_knows_it() {
    let mut reach = reach();
    reach.on_members(&[member("a-2", "a"), member("a-3", "a")], at(1_000));
    reach.on_store_read(false, at(1_200));
    ask(&mut reach, &["a"], false, at(1_200));
    assert!(reach.is_isolated(at(1_300)));
    // It ends with the cut.
    reach.on_store_read(true, at(2_000));
    assert!(!reach.is_isolated(at(2_000)));
}

/// Guards against all nodes leaving the load balancer during an outage of the store.
#[test]
fn an_outage_of_the_store_is_no_isolation() {
    let mut reach = reach();
    reach.on_store_read(false, at(100));
    ask(&mut reach, &["a", "b"], false, at(100));
    assert_eq!(reach.store(at(200)), StorePath::Away);
    assert!(!reach.is_isolated(at(200)));
}

/// Guards against callers sent away by a node that lost the other nodes, but not the store, as after a
/// crash of all of them.
#[test]
fn a_node_that_reaches_the_store_is_not_isolated() {
    let mut reach = reach();
    reach.on_store_read(true, at(100));
    ask(&mut reach, &[], false, at(100));
    assert!(!reach.is_isolated(at(200)));
}

/// Guards against requests through a node that had a path long ago.
#[test]
fn a_path_through_another_node_expires() {
    let mut reach = reach();
    ask(&mut reach, &["b"], true, at(100));
    let path = reach.path(at(300)).map(|peer| peer.id.as_str().to_owned());
    assert_eq!(path.as_deref(), Some("b-1"));
    assert!(reach.path(at(1_500)).is_none());
}

/// Guards against a list of nodes that grows with every node that was ever replaced.
#[test]
fn nodes_that_left_are_forgotten() {
    let mut reach = reach();
    reach.on_members(&[member("b-9", "b")], at(60_000));
    let chosen = reach.choose();
    assert_eq!(chosen.len(), 1);
}
