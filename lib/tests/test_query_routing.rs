//! Tests of queries over the fleet, on a core with scripted peers.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use borageline_lib::{
    core::{
        CallFailure, CoreAction, CoreEvent, CoreSetup, InboundCallId,
        OutboundCallId, PolicyName, QUERY_TIMEOUT, ServingCore,
    },
    ids::InstanceId,
    peer_api::{Gossip, MemberState, MemberUpdate, PeerRequest, PeerResponse},
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

/// A core with three live peers.
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
        message: PeerRequest::Probe(gossip),
    };
    core.tick(at(0), vec![probe]);
    core
}

fn query_event(number: u64, text: &str) -> CoreEvent {
    CoreEvent::QueryReceived(InboundCallId(number), text.into())
}

/// Calls and receivers of the queries that were sent to peers.
fn peer_queries(actions: &[CoreAction]) -> Vec<(OutboundCallId, InstanceId)> {
    let calls = actions.iter().filter_map(|action| match action {
        CoreAction::CallPeer {
            call,
            instance,
            message: PeerRequest::Query(_),
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

/// Merged responses to operators' queries.
fn responses(actions: Vec<CoreAction>) -> Vec<Result<QueryResponse, Refusal>> {
    let responses = actions.into_iter().filter_map(|action| match action {
        CoreAction::AnswerQuery(_, result) => {
            Some(result.map(|input| merge(*input)))
        }
        _ => None,
    });
    responses.collect()
}

fn peer_replied(
    call: OutboundCallId,
    result: Result<PeerResponse, CallFailure>,
) -> CoreEvent {
    CoreEvent::PeerAnswered {
        call,
        sent_at: at(0),
        result,
    }
}

fn missing(response: &QueryResponse) -> Vec<String> {
    let missing = response.missing.iter();
    missing
        .map(|it| format!("{}: {}", it.instance, it.reason))
        .collect()
}

/// Guards against an unresponsive peer that is not reported as missing, or that
/// delays the response beyond the time-out.
#[test]
fn test_query_reports_unresponsive_peers() {
    let mut core = core();
    let actions = core.tick(at(10), vec![query_event(7, "configuration")]);
    let calls = peer_queries(&actions);
    assert_eq!(calls.len(), 3);
    assert!(responses(actions).is_empty());
    let rows = PeerResponse::Rows(
        r#"{"rows":[["i2",1,1,null,null,null]],
        "cut":0,"covered":[]}"#
            .into(),
    );
    let refused = Err(CallFailure {
        run_state: RunState::NotRun,
        message: "connection refused".into(),
    });
    let events = vec![
        peer_replied(calls[0].0, Ok(rows)),
        peer_replied(calls[1].0, refused),
    ];
    assert!(responses(core.tick(at(20), events)).is_empty());
    assert!(core.next_timer().unwrap() <= at(10).after(QUERY_TIMEOUT * 2));
    let actions = core.tick(at(2_300), Vec::new());
    let response = responses(actions).pop().unwrap().unwrap();
    assert_eq!(
        missing(&response),
        ["i3: connection refused", "i4: no answer within 2s"],
    );
    assert_eq!((response.answered, response.rows.len()), (2, 2));
    assert!(!response.complete);
    let late = PeerResponse::Rows(r#"{"rows":[],"cut":0,"covered":[]}"#.into());
    let late = peer_replied(calls[2].0, Ok(late));
    assert!(responses(core.tick(at(2_400), vec![late])).is_empty());
}

/// Guards against a peer that counts as having no rows although it rejects the
/// query or its reply cannot be decoded, as with another version of the
/// language.
#[test]
fn test_query_reports_rejecting_peers() {
    let mut core = core();
    let actions = core.tick(at(10), vec![query_event(7, "explain r1")]);
    let events = peer_queries(&actions).into_iter().map(|(call, peer)| {
        let reply = match peer.as_str() {
            "i2" => PeerResponse::Rejected("not understood".into()),
            "i3" => PeerResponse::Done,
            _ => PeerResponse::Rows("nonsense".into()),
        };
        peer_replied(call, Ok(reply))
    });
    let events = events.collect();
    let response = responses(core.tick(at(20), events)).pop().unwrap().unwrap();
    assert_eq!(missing(&response).len(), 3, "{response:?}");
    assert_eq!(response.answered, 1);
}

/// Guards against a query from a peer that is forwarded to other peers.
#[test]
fn test_peer_query_uses_only_local_state() {
    let mut core = core();
    let event = CoreEvent::PeerCalled {
        inbound: InboundCallId(9),
        from: "i2".parse().unwrap(),
        incarnation: Incarnation::new(1),
        message: PeerRequest::Query(
            "select instance from configuration".into(),
        ),
    };
    let actions = core.tick(at(10), vec![event]);
    assert!(peer_queries(&actions).is_empty());
    let reply = actions.iter().find_map(|action| match action {
        CoreAction::AnswerPeer(InboundCallId(9), reply) => Some(reply),
        _ => None,
    });
    let rows = r#"{"rows":[["i1"]],"cut":0,"covered":[]}"#;
    assert_eq!(reply, Some(&PeerResponse::Rows(rows.into())));
}

/// Guards against messages to peers for tables that every instance can build.
#[test]
fn test_replicated_tables_need_no_messages() {
    for table in ["instances", "domains", "workspaces", "orders", "leases"] {
        let actions = core().tick(at(10), vec![query_event(7, table)]);
        assert!(peer_queries(&actions).is_empty(), "{table}");
        let response = responses(actions).pop().unwrap().unwrap();
        assert!(response.complete, "{table}: {response:?}");
    }
    let text = "select id, state from instances order by id";
    let actions = core().tick(at(10), vec![query_event(7, text)]);
    let response = responses(actions).pop().unwrap().unwrap();
    assert_eq!(response.rows.len(), 4);
}

/// Guards against an unbounded number of open queries, each of which stores the
/// replies it has received.
#[test]
fn test_open_queries_are_bounded() {
    let mut core = core();
    let events = (0..20)
        .map(|number| query_event(number, "requests"))
        .collect();
    let responses = responses(core.tick(at(10), events));
    assert_eq!(responses.len(), 4);
    for response in responses {
        assert_eq!(response.unwrap_err().code, RefusalCode::Overloaded);
    }
}

/// Guards against replies that together exceed the memory bound of a query,
/// although each is within its own bound.
#[test]
fn test_total_size_of_replies_is_bounded() {
    let mut core = core();
    let actions = core.tick(at(10), vec![query_event(7, "requests")]);
    let filler: String = "x".repeat(17 << 20);
    let events = peer_queries(&actions).into_iter().map(|(call, _)| {
        peer_replied(call, Ok(PeerResponse::Rows(filler.as_str().into())))
    });
    let events = events.collect();
    let response = responses(core.tick(at(20), events)).pop().unwrap().unwrap();
    let missing = missing(&response);
    assert!(
        missing.iter().any(|text| text.contains("32 MiB")),
        "{missing:?}"
    );
    assert_eq!(missing.len(), 3, "{missing:?}");
}

/// Guards against a malformed query that is sent to peers.
#[test]
fn test_malformed_query_is_refused() {
    let actions = core().tick(at(10), vec![query_event(7, "requests wher")]);
    assert!(peer_queries(&actions).is_empty());
    let refusal = responses(actions).pop().unwrap().unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Malformed);
    assert!(
        refusal.message.starts_with("line 1, column 10: "),
        "{refusal}"
    );
}
