//! Tests of questions over the fleet, with a core whose peers are scripted.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use borageline_lib::{
    core::{
        CallFailure, CoreAction, CoreEvent, CoreSetup, InboundCallId,
        OutboundCallId, PolicyName, QUERY_TIMEOUT, ServingCore,
    },
    ids::InstanceId,
    peer_api::{Gossip, MemberState, MemberUpdate, PeerMessage, PeerReply},
    query::{QueryResponse, merge},
    refusal::{Refusal, RefusalCode, RunState},
    units::{Incarnation, Timestamp},
};

const PEERS: [&str; 3] = ["i2", "i3", "i4"];

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(millis))
}

fn address(number: usize) -> std::net::SocketAddr {
    format!("127.0.0.1:{}", 9_000 + number).parse().unwrap()
}

fn update(name: &str, number: usize) -> MemberUpdate {
    MemberUpdate {
        instance: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
        state: MemberState::Alive,
        peer_address: address(number),
        caller_address: address(100 + number),
        domain: "d".parse().unwrap(),
        applied: None,
    }
}

/// A core that knows three peers.
fn core() -> ServingCore {
    let mut core = ServingCore::new(CoreSetup {
        instance: "i1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        domain: "d".parse().unwrap(),
        peer_address: address(1),
        caller_address: address(101),
        seeds: Vec::new(),
        seed: 1,
        policy: PolicyName::Product,
    });
    let updates = PEERS.iter().zip(2..);
    let gossip = Gossip {
        applied: None,
        confirmed_age: None,
        log_reached: false,
        updates: updates.map(|(name, number)| update(name, number)).collect(),
        engines: Vec::new(),
        capabilities: Vec::new(),
    };
    let probe = CoreEvent::PeerCalled {
        inbound: InboundCallId(1),
        from: "i2".parse().unwrap(),
        incarnation: Incarnation::new(1),
        message: PeerMessage::Probe(gossip),
    };
    core.tick(at(0), vec![probe]);
    core
}

fn asked(number: u64, text: &str) -> CoreEvent {
    CoreEvent::QueryReceived(InboundCallId(number), text.into())
}

/// Questions that were sent to peers.
fn sent(actions: &[CoreAction]) -> Vec<(OutboundCallId, InstanceId)> {
    let calls = actions.iter().filter_map(|action| match action {
        CoreAction::CallPeer {
            call,
            instance,
            message: PeerMessage::Query(_),
            timeout,
            ..
        } => {
            assert_eq!(*timeout, QUERY_TIMEOUT);
            Some((*call, instance.clone().unwrap()))
        }
        _ => None,
    });
    calls.collect()
}

fn answers(actions: Vec<CoreAction>) -> Vec<Result<QueryResponse, Refusal>> {
    let answers = actions.into_iter().filter_map(|action| match action {
        CoreAction::AnswerQuery(_, result) => {
            Some(result.map(|parts| merge(*parts)))
        }
        _ => None,
    });
    answers.collect()
}

fn answered(
    call: OutboundCallId,
    result: Result<PeerReply, CallFailure>,
) -> CoreEvent {
    CoreEvent::PeerAnswered {
        call,
        sent_at: at(0),
        result,
    }
}

fn missing(answer: &QueryResponse) -> Vec<String> {
    let missing = answer.missing.iter();
    missing
        .map(|it| format!("{}: {}", it.instance, it.reason))
        .collect()
}

/// Guards against a silent peer that is left out without a word, or that
/// holds the answer up for good.
#[test]
fn test_query_names_silent_peers() {
    let mut core = core();
    let actions = core.tick(at(10), vec![asked(7, "configuration")]);
    let calls = sent(&actions);
    assert_eq!(calls.len(), 3);
    assert!(answers(actions).is_empty());
    let rows = PeerReply::Rows(
        r#"{"rows":[["i2",1,1,null,null,null]],
        "cut":0,"covered":[]}"#
            .into(),
    );
    let refused = Err(CallFailure {
        run_state: RunState::NotRun,
        message: "connection refused".into(),
    });
    let events = vec![
        answered(calls[0].0, Ok(rows)),
        answered(calls[1].0, refused),
    ];
    assert!(answers(core.tick(at(20), events)).is_empty());
    assert!(core.next_timer().unwrap() <= at(10).after(QUERY_TIMEOUT * 2));
    let actions = core.tick(at(2_300), Vec::new());
    let answer = answers(actions).pop().unwrap().unwrap();
    assert_eq!(
        missing(&answer),
        ["i3: connection refused", "i4: no answer within 2s"],
    );
    assert_eq!((answer.answered, answer.rows.len()), (2, 2));
    assert!(!answer.complete);
    let late = PeerReply::Rows(r#"{"rows":[],"cut":0,"covered":[]}"#.into());
    let late = answered(calls[2].0, Ok(late));
    assert!(answers(core.tick(at(2_400), vec![late])).is_empty());
}

/// Guards against a peer with another version of the language that counts as
/// an instance without rows.
#[test]
fn test_query_names_rejecting_peers() {
    let mut core = core();
    let actions = core.tick(at(10), vec![asked(7, "explain r1")]);
    let events = sent(&actions).into_iter().map(|(call, peer)| {
        let reply = match peer.as_str() {
            "i2" => PeerReply::Rejected("not understood".into()),
            "i3" => PeerReply::Done,
            _ => PeerReply::Rows("nonsense".into()),
        };
        answered(call, Ok(reply))
    });
    let events = events.collect();
    let answer = answers(core.tick(at(20), events)).pop().unwrap().unwrap();
    assert_eq!(missing(&answer).len(), 3, "{answer:?}");
    assert_eq!(answer.answered, 1);
}

/// Guards against a question that goes from peer to peer for ever.
#[test]
fn test_peer_query_is_answered_from_own_state() {
    let mut core = core();
    let event = CoreEvent::PeerCalled {
        inbound: InboundCallId(9),
        from: "i2".parse().unwrap(),
        incarnation: Incarnation::new(1),
        message: PeerMessage::Query(
            "select instance from configuration".into(),
        ),
    };
    let actions = core.tick(at(10), vec![event]);
    assert!(sent(&actions).is_empty());
    let reply = actions.iter().find_map(|action| match action {
        CoreAction::AnswerPeer(InboundCallId(9), reply) => Some(reply),
        _ => None,
    });
    let rows = r#"{"rows":[["i1"]],"cut":0,"covered":[]}"#;
    assert_eq!(reply, Some(&PeerReply::Rows(rows.into())));
}

/// Guards against messages for what every instance knows.
#[test]
fn test_shared_tables_cost_no_message() {
    for table in ["instances", "domains", "workspaces", "orders", "leases"] {
        let actions = core().tick(at(10), vec![asked(7, table)]);
        assert!(sent(&actions).is_empty(), "{table}");
        let answer = answers(actions).pop().unwrap().unwrap();
        assert!(answer.complete, "{table}: {answer:?}");
    }
    let text = "select id, state from instances order by id";
    let actions = core().tick(at(10), vec![asked(7, text)]);
    let answer = answers(actions).pop().unwrap().unwrap();
    assert_eq!(answer.rows.len(), 4);
}

/// Guards against questions without bound, each of which holds its answers.
#[test]
fn test_open_queries_are_bounded() {
    let mut core = core();
    let events = (0..20).map(|number| asked(number, "requests")).collect();
    let answers = answers(core.tick(at(10), events));
    assert_eq!(answers.len(), 4);
    for answer in answers {
        assert_eq!(answer.unwrap_err().code, RefusalCode::Overloaded);
    }
}

/// Guards against answers that use up the memory: each is within its bound.
#[test]
fn test_gathered_answers_are_bounded() {
    let mut core = core();
    let actions = core.tick(at(10), vec![asked(7, "requests")]);
    let filler: String = "x".repeat(17 << 20);
    let events = sent(&actions).into_iter().map(|(call, _)| {
        answered(call, Ok(PeerReply::Rows(filler.as_str().into())))
    });
    let events = events.collect();
    let answer = answers(core.tick(at(20), events)).pop().unwrap().unwrap();
    let missing = missing(&answer);
    assert!(
        missing.iter().any(|text| text.contains("32 MiB")),
        "{missing:?}"
    );
    assert_eq!(missing.len(), 3, "{missing:?}");
}

/// Guards against a malformed question that is sent to peers.
#[test]
fn test_malformed_query_is_refused() {
    let actions = core().tick(at(10), vec![asked(7, "requests wher")]);
    assert!(sent(&actions).is_empty());
    let refusal = answers(actions).pop().unwrap().unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Malformed);
    assert!(
        refusal.message.starts_with("line 1, column 10: "),
        "{refusal}"
    );
}
