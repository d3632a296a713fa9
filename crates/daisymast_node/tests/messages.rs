//! Messages between nodes, changed at random.

use daisymast_election::record;
use daisymast_http::msgpack;
use daisymast_jobs::spec;
use daisymast_node::peers;
use daisymast_organisations::access;
use daisymast_relay::wire;
use daisymast_scheduler::explanation;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::Index;

fn member() -> record::Member {
    record::Member {
        id: "n-1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        millicores: 250,
        zone: "a".into(),
    }
}

fn requests() -> Vec<Vec<u8>> {
    let step = spec::StepId {
        job: spec::JobId(7),
        occurrence: 0,
        step: 0,
    };
    let requests = [
        peers::Request::Ping {
            from: member(),
            version: 3,
            wanted: true,
            roster: 9,
        },
        peers::Request::State {
            job: step.job,
            caller: access::Caller::Organisation("o-1".into()),
        },
        peers::Request::Ask {
            step,
            workers: vec!["w-1".to_owned()],
            timeout_ms: 900,
        },
        peers::Request::Explain(explanation::Subject::Job(step.job)),
        peers::Request::Relay(wire::Exchange {
            session: 1,
            term: 2,
            wait_ms: 12,
            payloads: vec!["p".into()],
            calls: vec![wire::Call(
                1,
                "w-1".into(),
                "127.0.0.1:1".parse().expect("an address"),
                wire::Operation::Start {
                    task: step.task(0).into(),
                    run: 1,
                    payload: 0,
                    deadline_ms: 5_000,
                    checkpoint: None,
                    ticket: Some("t".into()),
                },
            )],
            expiry: Some(wire::Expiry {
                process: 3,
                clock_ms: 9_000,
            }),
        }),
    ];
    let encode = |request: &peers::Request| msgpack::encode_response(request).body.to_vec();
    requests.iter().map(encode).collect()
}

/// Guards against a node of an earlier release whose pings, which name no zone, are dropped.
#[test]
fn a_member_without_a_zone_is_decoded() {
    let member: record::Member = serde_json::from_str(
        r#"{"id":"n-1","address":"127.0.0.1:1","millicores":250,"field of a later release":1}"#,
    )
    .expect("a member");
    assert_eq!(member.zone.as_str(), "");
}

/// Guards against messages of cells without organisations that differ from those of an earlier
/// release, and against its messages that are no longer read.
#[test]
fn messages_without_a_checked_caller_are_those_of_earlier_releases() {
    let request = peers::Request::State {
        job: spec::JobId(7),
        caller: access::Caller::Unchecked,
    };
    let bytes = msgpack::encode_response(&request).body;
    // {"State": {"job": 7}}
    let earlier = [b"\x81\xa5State\x81\xa3job".as_slice(), &[7]].concat();
    assert_eq!(bytes, earlier);
    let decoded = msgpack::decode_request::<peers::Request>(&earlier);
    assert!(matches!(
        decoded,
        Ok(peers::Request::State {
            caller: access::Caller::Unchecked,
            ..
        })
    ));
}

/// Guards against a request that contains another at any depth, so that its decoding exhausts the stack
/// and ends the process.
#[test]
fn a_request_sent_through_a_node_contains_no_further_one() {
    let job = spec::JobId(7);
    let caller = access::Caller::Unchecked;
    let request = peers::Request::State { job, caller };
    let encoded = peers::EncodedRequest::new(&request).expect("a request of a caller");
    assert!(matches!(
        encoded.decode(),
        Some(peers::Request::State { .. })
    ));
    let via = peers::Request::Via(encoded);
    assert!(peers::EncodedRequest::new(&via).is_none());
    // The encoding of the enum before: each level is a map of one entry.
    let mut nested = Vec::new();
    for _ in 0..100_000 {
        nested.extend_from_slice(b"\x81\xa3Via");
    }
    assert!(msgpack::decode_request::<peers::Request>(&nested).is_err());
}

proptest! {
    /// Guards against a message of another node, cut or changed on its way, that ends the process.
    #[test]
    fn no_message_ends_the_process(
        message in any::<Index>(),
        at in any::<Index>(),
        removed in 0_usize..9,
        added in vec(any::<u8>(), 0..30),
        nested in 0_usize..4_000,
    ) {
        let messages = requests();
        let mut bytes = message.get(&messages).clone();
        let begin = at.index(bytes.len() + 1);
        let end = (begin + removed).min(bytes.len());
        // 0x91 is an array of one element.
        let added = added.into_iter().chain(std::iter::repeat_n(0x91, nested));
        bytes.splice(begin..end, added);
        let _ = msgpack::decode_request::<peers::Request>(&bytes);
        let _ = msgpack::decode_request::<peers::Reply>(&bytes);
    }
}
