//! Start of an instance while the log is down, on a core with one scripted
//! peer.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{net::SocketAddr, time::Duration};

use borageline_lib::{
    config_reader::{ConfigReader, ReaderEvent},
    core::{
        CallFailure, CoreAction, CoreEvent, CoreSetup, InboundCallId,
        InstanceReadiness, OutboundCallId, PolicyName, ServingCore,
    },
    peer_api::{Gossip, MemberState, MemberUpdate, PeerRequest, PeerResponse},
    platform_api::{LogRecord, RecordPage},
    refusal::RunState,
    units::{Incarnation, LogOffset, LogTime, Timestamp},
};

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(millis))
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

/// Gossip about the peer `i2` in one of its states.
fn gossip(incarnation: u64, state: MemberState) -> Gossip {
    let peer = MemberUpdate {
        instance: "i2".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        state,
        peer_address: address(2),
        caller_address: address(102),
        domain: "d".parse().unwrap(),
        applied: Some(LogOffset::ZERO),
    };
    Gossip {
        applied: None,
        confirmed_age: None,
        log_reached: false,
        updates: vec![peer],
        engines: Vec::new(),
        capabilities: Vec::new(),
    }
}

fn probe(from: &str, gossip: Gossip) -> CoreEvent {
    CoreEvent::PeerCalled {
        inbound: InboundCallId(1),
        from: from.parse().unwrap(),
        incarnation: Incarnation::new(1),
        message: PeerRequest::Probe(gossip),
    }
}

fn failure() -> CallFailure {
    CallFailure {
        run_state: RunState::NotRun,
        message: "connection closed".into(),
    }
}

/// A reader that has read a configuration.
fn configured() -> ConfigReader {
    let record = LogRecord {
        offset: LogOffset::ZERO,
        appended_at: LogTime::new(1),
        value: serde_json::Value::Null,
    };
    let page = RecordPage {
        records: vec![record],
        head: LogOffset::new(1),
        earliest: LogOffset::ZERO,
        now_ms: LogTime::new(1),
        retention_ms: 60_000,
    };
    let mut reader = ConfigReader::new(1);
    let sent_at = Timestamp::ZERO;
    let result = Ok(page);
    reader.handle(sent_at, ReaderEvent::Read { sent_at, result });
    reader
}

/// Guards against an instance that is not ready for as long as the log is down
/// because its peer counted as dead for a moment: the request for the peer's
/// state was not sent, and yet the instance waited for its response.
#[test]
fn test_start_without_log_asks_peer_that_was_dead() {
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
    let peer = configured();
    let mut incarnation = 1;
    let mut asked = Vec::new();
    let mut events = vec![probe("i2", gossip(1, MemberState::Alive))];
    let mut readiness = None;
    for time in (0..20_000).step_by(10) {
        match time {
            // Between two updates of the reader's peers, when the second round
            // of requests is due.
            1_010 => {
                events.insert(0, probe("i3", gossip(1, MemberState::Dead)));
            }
            1_100 => {
                incarnation = 2;
                events.push(probe("i2", gossip(2, MemberState::Alive)));
            }
            _ => {}
        }
        let now = at(time);
        for action in core.tick(now, std::mem::take(&mut events)) {
            let answered = |call: OutboundCallId, result| {
                let sent_at = now;
                CoreEvent::PeerAnswered {
                    call,
                    sent_at,
                    result,
                }
            };
            match action {
                CoreAction::ReadLog { stream, .. } => {
                    let result = Err(failure());
                    let sent_at = now;
                    events.push(CoreEvent::LogRead {
                        stream,
                        sent_at,
                        result,
                    });
                }
                CoreAction::CallPeer { call, message, .. } => match message {
                    PeerRequest::Probe(_) => {
                        let gossip = gossip(incarnation, MemberState::Alive);
                        let reply = Ok(PeerResponse::Ack(gossip));
                        events.push(answered(call, reply));
                    }
                    PeerRequest::FetchState(query) => {
                        asked.push(time);
                        // The first request is lost.
                        let reply = if asked.len() == 1 {
                            Err(failure())
                        } else {
                            let answer = peer.answer_state(&query, None);
                            Ok(PeerResponse::State(answer))
                        };
                        events.push(answered(call, reply));
                    }
                    _ => {}
                },
                CoreAction::Publish(published) => {
                    readiness = Some(published.readiness);
                }
                _ => {}
            }
        }
    }
    assert_eq!(asked, [10, 2_010]);
    assert_ne!(readiness, Some(InstanceReadiness::Starting));
}
