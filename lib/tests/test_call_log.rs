//! At-most-once calls under late, duplicated and lost messages and log
//! responses, crashes, pauses and disagreement on the owner of a stream.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod call_simulation;
#[expect(dead_code, reason = "this test uses a part")]
mod common;

use borageline_lib::{
    call_log::{
        CALL_STREAMS, CallEntryAction, CallEntryEvent, CallEntryTable,
        CallOwnerAction, CallOwnerEvent, CallOwnerTable, CallRecord,
        CallRequester, ClaimTable, KEY_LIFETIME, is_retention_sufficient,
        stream_index,
    },
    core::InboundCallId,
    peer_api::{
        CallKey, CallResult, ClaimRequest, ClaimResponse, PeerRequest,
        PeerResponse,
    },
    units::{LogOffset, Timestamp},
};
use call_simulation::{
    CallSimulation, FAULT_TIME_MS, Fault, RETENTION, instance, key,
};
use common::{LogModel, log_time, millis};
use proptest::prelude::*;

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        2 => (0..5usize).prop_map(Fault::Crash),
        2 => (0..5usize, 100..9_000u64).prop_map(|(n, t)| Fault::Pause(n, t)),
        1 => (100..6_000u64).prop_map(Fault::LogDown),
        4 => (0..5usize, 0..CALL_STREAMS, 0..5usize)
            .prop_map(|(n, s, o)| Fault::WrongOwner(n, s, o)),
    ]
}

fn any_faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0..FAULT_TIME_MS, any_fault()), 0..16)
}

proptest! {
    #![proptest_config(common::config(96))]

    /// Guards against two attempts of a key that run, a `not_run` for an
    /// attempt that ran, an outcome of an attempt that never ran, and claims
    /// or releases that stay undecided after the faults have ended.
    #[test]
    fn test_property_key_runs_at_most_once(
        seed in any::<u64>(),
        count in 2..6usize,
        faults in any_faults(),
    ) {
        let mut simulation = CallSimulation::new(seed, count, false);
        simulation.schedule_load(faults);
        simulation.run(millis(FAULT_TIME_MS + 10_000));
        prop_assert_eq!(simulation.violation.clone(), None);
        simulation.reliable = true;
        (0..count).for_each(|index| simulation.reset_owners(index));
        simulation.run(millis(30_000));
        let won = simulation.won;
        let fresh = key(200, simulation.queue.now);
        simulation.start_attempt(0, fresh);
        simulation.run(millis(10_000));
        prop_assert_eq!(simulation.won, won + 1, "a fresh key is not won");
        prop_assert_eq!(simulation.violation, None);
        let nodes = simulation.nodes.iter();
        let open: usize = nodes.map(|n| n.entry_table.len()).sum();
        let lost = simulation.attempts.values().filter(|a| a.not_run && a.ran);
        prop_assert_eq!((open, lost.count()), (0, 0));
    }
}

/// Checks that the property above fails for claims held in memory only.
#[test]
fn test_memory_claims_run_keys_twice() {
    let violated = (0..20u64).any(|seed| {
        let mut simulation = CallSimulation::new(seed, 3, true);
        let crash = |n: u64| (1_000 + n * 1_500, Fault::Crash(n as usize));
        simulation.schedule_load((0..12).map(crash).collect());
        simulation.run(millis(FAULT_TIME_MS + 10_000));
        simulation
            .violation
            .is_some_and(|text| text.ends_with("ran twice"))
    });
    assert!(violated);
}

fn claim(key: &CallKey, attempt: &str) -> serde_json::Value {
    let record = CallRecord::Claim {
        key: key.clone(),
        attempt: attempt.parse().unwrap(),
        entry: instance(0),
        digest: "digest".into(),
        time_left_ms: 1_000,
    };
    serde_json::to_value(record).unwrap()
}

/// Guards against keys that are kept in memory past their lifetime, and
/// against a claim of an expired key that wins because the earlier claim was
/// dropped.
#[test]
fn test_claim_table_drops_expired_keys() {
    let start = Timestamp::new(3_600_000_000);
    let old = key(1, start);
    let mut log = LogModel::new(RETENTION);
    log.append(start, vec![claim(&old, "a")]);
    let late = start.after(KEY_LIFETIME + millis(1));
    log.append(late, vec![claim(&old, "b")]);
    let mut claims = ClaimTable::new();
    claims.apply(&log.records[0]);
    assert_eq!(claims.len(), 1);
    claims.expire(log_time(start.after(KEY_LIFETIME * 2)));
    assert!(claims.is_empty());
    claims.apply(&log.records[1]);
    assert!(claims.is_empty());
}

/// Guards against a retention that drops claims of keys that are still valid.
#[test]
fn test_retention_covers_lifetime() {
    assert!(!is_retention_sufficient(24 * 3_600 * 1_000));
    assert!(is_retention_sufficient(25 * 3_600 * 1_000));
}

fn owner_of_all() -> CallOwnerTable {
    let mut owner_table = CallOwnerTable::new(instance(0));
    let owners = std::array::from_fn(|_| Some(instance(0)));
    owner_table.set_owners(owners, vec![instance(0)]);
    owner_table
}

fn claim_for(key: &CallKey) -> CallOwnerEvent {
    CallOwnerEvent::Claim {
        requester: CallRequester::Peer(InboundCallId(1)),
        entry: instance(1),
        request: ClaimRequest {
            key: key.clone(),
            attempt: "a".parse().unwrap(),
            digest: "digest".into(),
            time_left: millis(1_000),
        },
    }
}

/// Guards against decisions by an owner that has not read its whole stream,
/// and against an owner that skips records because a page arrives late that
/// was requested before a change of owners.
#[test]
fn test_owner_is_undecided_before_head() {
    let now = Timestamp::new(3_600_000_000);
    let key = key(1, now);
    let stream = stream_index(&key);
    let mut owner_table = owner_of_all();
    let mut log = LogModel::new(RETENTION);
    log.append(now, vec![serde_json::Value::Null; 5]);
    let undecided = |action: &CallOwnerAction| {
        let CallOwnerAction::Respond(_, PeerResponse::Claim(answer)) = action
        else {
            return false;
        };
        matches!(answer, ClaimResponse::Undecided(_))
    };
    for from in [0, 4] {
        let result = Ok(log.read(now, LogOffset::new(from), 3));
        owner_table.handle(now, CallOwnerEvent::Read { stream, result });
        let actions = owner_table.handle(now, claim_for(&key));
        assert!(actions.iter().any(undecided));
    }
    let result = Ok(log.read(now, LogOffset::new(3), 3));
    owner_table.handle(now, CallOwnerEvent::Read { stream, result });
    let actions = owner_table.handle(now, claim_for(&key));
    let append = |action: &CallOwnerAction| {
        matches!(action, CallOwnerAction::Append { stream: s, .. }
            if *s == stream)
    };
    assert!(actions.iter().any(append));
}

/// Guards against an attempt that runs although its claim was won only after
/// its deadline, for instance because the process was paused. It must be
/// released.
#[test]
fn test_late_won_is_released() {
    let now = Timestamp::new(3_600_000_000);
    let mut entry_table = CallEntryTable::new();
    entry_table.set_owners(std::array::from_fn(|_| Some(instance(0))));
    let asked = CallEntryEvent::ClaimRequested {
        inbound: InboundCallId(1),
        key: key(1, now),
        attempt: "a".parse().unwrap(),
        digest: "digest".into(),
        deadline: now.after(millis(500)),
    };
    let actions = entry_table.handle(now, asked);
    let Some(CallEntryAction::Call { call, .. }) = actions.first() else {
        panic!("no claim was asked for");
    };
    let result = Ok(PeerResponse::Claim(ClaimResponse::Won));
    let won = CallEntryEvent::OwnerCallCompleted {
        call: *call,
        result,
    };
    let actions = entry_table.handle(now.after(millis(500)), won);
    let released = actions.iter().any(|action| {
        let CallEntryAction::Call { message, .. } = action else {
            return false;
        };
        matches!(message, PeerRequest::SettleCall(notice)
            if notice.result == CallResult::Released)
    });
    let won = CallEntryAction::Respond(InboundCallId(1), ClaimResponse::Won);
    assert!(released && !actions.contains(&won));
}
