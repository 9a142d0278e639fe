//! Application of `config` records: equal states on all instances, and orders
//! that take effect once and as a whole.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[expect(dead_code, reason = "this test uses a part")]
mod common;

use std::{collections::BTreeSet, time::Duration};

use borageline_lib::{
    api::PriorityClass,
    fleet::{
        ApplyOutcome, DrainMode, FleetChange, FleetOrder, FleetRecord,
        FleetState, LimitRule, OUTCOMES_KEPT, OrderRejection, UpstreamRule,
        WorkspaceRule,
    },
    platform_api::LogRecord,
    units::{Incarnation, LogOffset, Timestamp},
};
use common::LogModel;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn workspace_rule(rate: f64) -> WorkspaceRule {
    WorkspaceRule {
        key_digests: BTreeSet::new(),
        enabled: true,
        default_class: PriorityClass::Standard,
        classes: BTreeSet::from([PriorityClass::Standard]),
        models: None,
        domains: None,
        limits: vec![LimitRule {
            model: None,
            class: None,
            requests_per_s: Some(rate),
            tokens_per_s: None,
            held_tokens: None,
            concurrency: None,
        }],
    }
}

fn close(domain: &str) -> FleetChange {
    FleetChange::CloseDomain {
        domain: domain.parse().unwrap(),
        mode: DrainMode::Finish,
    }
}

fn enable(workspace: &str) -> FleetChange {
    FleetChange::EnableWorkspace {
        workspace: workspace.parse().unwrap(),
        enabled: true,
    }
}

fn order(
    id: &str,
    expect: Option<u64>,
    changes: Vec<FleetChange>,
) -> FleetOrder {
    FleetOrder {
        order: id.parse().unwrap(),
        expect_version: expect.map(LogOffset::new),
        issued_by: "op".parse().unwrap(),
        changes,
    }
}

fn order_value(order: FleetOrder) -> Value {
    serde_json::to_value(FleetRecord::Order(order)).unwrap()
}

fn lease_value(upstream: u8, holder: u8, replaces: Option<u64>) -> Value {
    let record = FleetRecord::Lease {
        upstream: format!("u{upstream}").parse().unwrap(),
        holder: format!("i{holder}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        replaces: replaces.map(LogOffset::new),
    };
    serde_json::to_value(record).unwrap()
}

fn log_of(values: impl IntoIterator<Item = Value>) -> LogModel {
    let mut log = LogModel::new(Duration::from_secs(3_600));
    for value in values {
        log.append(Timestamp::ZERO, vec![value]);
    }
    log
}

fn apply_all(state: &mut FleetState, records: &[LogRecord]) {
    for record in records {
        state.apply(record);
    }
}

fn any_change() -> impl Strategy<Value = FleetChange> {
    prop_oneof![
        (0..3u8).prop_map(|n| close(&format!("d{n}"))),
        (0..3u8).prop_map(|n| FleetChange::OpenDomain {
            domain: format!("d{n}").parse().unwrap(),
        }),
        (0..3u8).prop_map(|n| enable(&format!("w{n}"))),
        (0..3u8, 0.0..1e6).prop_map(|(n, rate)| FleetChange::SetWorkspace {
            workspace: format!("w{n}").parse().unwrap(),
            rule: workspace_rule(rate),
        }),
        (0..3u8).prop_map(|n| FleetChange::RemoveWorkspace {
            workspace: format!("w{n}").parse().unwrap(),
        }),
        (0..3u8).prop_map(|n| FleetChange::DrainUpstream {
            upstream: format!("u{n}").parse().unwrap(),
            mode: DrainMode::Move,
        }),
    ]
}

/// A record, or `None` for a snapshot of the state before it.
fn any_record() -> impl Strategy<Value = Option<Value>> {
    let changes = prop::collection::vec(any_change(), 0..4);
    let expect = prop::option::weighted(0.3, 0..20u64);
    prop_oneof![
        8 => (0..30u8, expect, changes).prop_map(|(id, expect, changes)| {
            Some(order_value(order(&format!("o{id}"), expect, changes)))
        }),
        2 => (0..2u8, 0..3u8, prop::option::of(0..20u64))
            .prop_map(|(u, h, r)| Some(lease_value(u, h, r))),
        1 => Just(Some(json!({"record": "order", "order": 7}))),
        1 => Just(Some(json!("text"))),
        2 => Just(None),
    ]
}

fn build_log(entries: Vec<Option<Value>>) -> LogModel {
    let mut log = log_of([]);
    let mut state = FleetState::default();
    for entry in entries {
        let value = entry.unwrap_or_else(|| {
            let snapshot = Box::new(state.snapshot());
            serde_json::to_value(FleetRecord::Snapshot(snapshot)).unwrap()
        });
        log.append(Timestamp::ZERO, vec![value]);
        state.apply(log.records.last().unwrap());
    }
    log
}

proptest! {
    #![proptest_config(common::config(256))]

    /// Guards against a state that depends on how an instance obtained it:
    /// from records in order, from records with repeats and reordering, or
    /// from a snapshot that was sent as text.
    #[test]
    fn test_property_equal_state_on_every_path(
        entries in prop::collection::vec(any_record(), 1..40),
        deliveries in prop::collection::vec(0..40usize, 0..120),
        cut in 0..40usize,
    ) {
        let log = build_log(entries);
        let mut states = vec![FleetState::default()];
        for record in &log.records {
            let mut state = states.last().unwrap().clone();
            let version = state.version;
            prop_assert!(state.apply(record) != ApplyOutcome::Stale);
            prop_assert!(state.version >= version);
            states.push(state);
        }
        let mut shuffled = FleetState::default();
        for index in deliveries {
            let record = &log.records[index % log.records.len()];
            let before = shuffled.applied;
            shuffled.apply(record);
            prop_assert!(shuffled.applied >= before);
            let applied = shuffled.next_offset().get() as usize;
            prop_assert_eq!(&shuffled, &states[applied]);
        }
        let cut = cut % states.len();
        let text = serde_json::to_string(&states[cut].snapshot()).unwrap();
        let mut joined = FleetState::default();
        if cut > 0 {
            joined.install(serde_json::from_str(&text).unwrap()).unwrap();
        }
        apply_all(&mut joined, &log.records[cut..]);
        prop_assert_eq!(&joined, states.last().unwrap());
    }

    /// Guards against an accepted order that is lost when the log drops
    /// records. A new instance must obtain the same state from the retained
    /// records, or apply none of them.
    #[test]
    fn test_property_truncation_needs_covering_snapshot(
        entries in prop::collection::vec(any_record(), 1..40),
        earliest in 0..40usize,
    ) {
        let log = build_log(entries);
        let earliest = earliest % log.records.len();
        let mut full = FleetState::default();
        apply_all(&mut full, &log.records);
        let mut late = FleetState::default();
        for _ in 0..2 {
            apply_all(&mut late, &log.records[earliest..]);
        }
        if late.applied.is_some() {
            // The installed snapshot can end below records that were passed
            // already, so the records after it are applied again.
            let next = late.next_offset().get() as usize;
            prop_assert!(next >= earliest || next == log.records.len());
            apply_all(&mut late, &log.records[next..]);
            prop_assert_eq!(late, full);
        }
    }

    /// Guards against several orders that expect the same version and take
    /// effect. Without the expected version more than one does.
    #[test]
    fn test_property_one_racing_order_wins(
        before in 0..4u64,
        racers in 2..6u64,
    ) {
        let earlier = (0..before)
            .map(|n| order(&format!("e{n}"), None, vec![close("d0")]));
        let mut state = FleetState::default();
        let mut log = log_of(earlier.map(order_value));
        apply_all(&mut state, &log.records);
        let expect = Some(state.version.get());
        // After one earlier order the version is its offset, zero. As an
        // expected version zero means an empty configuration, so that all
        // orders are rejected.
        let winners = usize::from(before != 1);
        for racer in 0..racers {
            let change = close(&format!("d{racer}"));
            let order = order(&format!("r{racer}"), expect, vec![change]);
            log.append(Timestamp::ZERO, vec![order_value(order)]);
        }
        let raced = &log.records[before as usize..];
        let outcomes: Vec<_> = raced.iter().map(|r| state.apply(r)).collect();
        let won = outcomes.iter().filter(|o| **o == ApplyOutcome::Applied);
        prop_assert_eq!(won.count(), winners);
        for outcome in &outcomes[winners..] {
            let last_order = if before == 1 { "e0" } else { "r0" };
            let ApplyOutcome::Rejected { reason } = outcome else {
                return Err(TestCaseError::fail("loser was not rejected"));
            };
            let last_order = format!("order {last_order}");
            prop_assert!(reason.ends_with(&last_order));
        }
        let mut naive = state.clone();
        naive.outcomes.clear();
        let naive_winners = raced.iter().filter(|record| {
            let mut record = (*record).clone();
            record.offset = naive.next_offset();
            record.value["expect_version"] = Value::Null;
            naive.apply(&record) == ApplyOutcome::Applied
        });
        prop_assert!(naive_winners.count() > 1, "naive has one winner");
    }

    /// Guards against two instances that hold the lease on one upstream.
    #[test]
    fn test_property_lease_has_one_holder(
        claims in prop::collection::vec((0..4u8, any::<bool>()), 1..20),
    ) {
        let mut state = FleetState::default();
        let mut log = log_of([]);
        let mut seen = None;
        for (holder, sees_current) in claims {
            let current = state.leases.values().next().map(|l| l.token.get());
            if sees_current {
                seen = current;
            }
            log.append(Timestamp::ZERO, vec![lease_value(0, holder, seen)]);
            let record = log.records.last().unwrap();
            let outcome = state.apply(record);
            let wins = outcome == ApplyOutcome::Applied;
            prop_assert_eq!(wins, seen == current);
            let token = state.leases.values().next().unwrap().token;
            prop_assert!(Some(token.get()) >= current);
        }
    }
}

/// Guards against an order of which only some changes take effect.
#[rstest]
#[case::unknown_subject(vec![close("d0"), enable("absent")])]
#[case::invalid_value(vec![close("d0"), FleetChange::SetWorkspace {
    workspace: "w0".parse().unwrap(),
    rule: workspace_rule(-1.0),
}])]
#[case::removed_before(vec![
    FleetChange::SetWorkspace {
        workspace: "w0".parse().unwrap(),
        rule: workspace_rule(1.0),
    },
    FleetChange::RemoveWorkspace { workspace: "w0".parse().unwrap() },
    enable("w0"),
])]
#[case::empty(vec![])]
fn test_order_all_or_none(#[case] changes: Vec<FleetChange>) {
    let mut state = FleetState::default();
    let order = order("o1", None, changes);
    assert!(state.validate(&order).is_err());
    let log = log_of([order_value(order)]);
    let outcome = state.apply(&log.records[0]);
    assert!(matches!(outcome, ApplyOutcome::Rejected { .. }));
    assert!(state.domains.is_empty() && state.workspaces.is_empty());
    assert!(!state.outcomes[&"o1".parse().unwrap()].accepted);
}

/// Guards against a repeated order that reverts an order between the two.
#[test]
fn test_order_repeat_takes_effect_once() {
    let open = FleetChange::OpenDomain {
        domain: "d0".parse().unwrap(),
    };
    let first = order_value(order("o1", None, vec![close("d0")]));
    let second = order_value(order("o2", None, vec![open]));
    let log = log_of([first.clone(), second, first]);
    let mut state = FleetState::default();
    apply_all(&mut state, &log.records);
    assert_eq!(state.domains[&"d0".parse().unwrap()].closed, None);
    assert_eq!(state.version, LogOffset::new(1));
}

/// Guards against an order that sets a fact about an upstream and ends its
/// drain.
#[test]
fn test_set_upstream_keeps_drain() {
    let drain = FleetChange::DrainUpstream {
        upstream: "u0".parse().unwrap(),
        mode: DrainMode::Finish,
    };
    let set = FleetChange::SetUpstream {
        upstream: "u0".parse().unwrap(),
        rule: UpstreamRule {
            checks_fencing: Some(true),
            ..UpstreamRule::default()
        },
    };
    let log = log_of([
        order_value(order("o1", None, vec![drain])),
        order_value(order("o2", None, vec![set])),
    ]);
    let mut state = FleetState::default();
    apply_all(&mut state, &log.records);
    let rule = &state.upstreams[&"u0".parse().unwrap()];
    assert_eq!(rule.drained, Some(DrainMode::Finish));
    assert_eq!(rule.checks_fencing, Some(true));
}

/// Guards against outcomes that are kept without bound, and against dropping
/// the latest ones.
#[test]
fn test_outcomes_keep_latest() {
    let count = OUTCOMES_KEPT + 10;
    let orders = (0..count)
        .map(|n| order_value(order(&format!("o{n}"), None, vec![close("d")])));
    let log = log_of(orders);
    let mut state = FleetState::default();
    apply_all(&mut state, &log.records);
    assert_eq!(state.outcomes.len(), OUTCOMES_KEPT);
    let kept = |n: usize| {
        state
            .outcomes
            .contains_key(&format!("o{n}").parse().unwrap())
    };
    assert!(!kept(9) && kept(10) && kept(count - 1));
}

/// Guards against a damaged snapshot that is installed, from a peer or in place
/// of missing records.
#[test]
fn test_snapshot_with_wrong_digest_is_refused() {
    let log = log_of([order_value(order("o1", None, vec![close("d0")]))]);
    let mut state = FleetState::default();
    apply_all(&mut state, &log.records);
    let mut snapshot = state.snapshot();
    snapshot.state.domains.clear();
    let mut empty = FleetState::default();
    assert!(empty.install(snapshot.clone()).is_err());
    let record = FleetRecord::Snapshot(Box::new(snapshot));
    let record = LogRecord {
        offset: LogOffset::new(5),
        appended_at: common::log_time(Timestamp::ZERO),
        value: serde_json::to_value(record).unwrap(),
    };
    assert_eq!(empty.apply(&record), ApplyOutcome::Gap);
    assert_eq!(empty, FleetState::default());
}

/// Guards against a validation that accepts an order which expects an older
/// version, rejects one which expects the current version, or does not name
/// the order that made the last change.
#[test]
fn test_validate_names_winner() {
    let log = log_of([
        json!(null),
        order_value(order("o1", None, vec![close("d0")])),
    ]);
    let mut state = FleetState::default();
    apply_all(&mut state, &log.records);
    let late = order("o2", Some(0), vec![close("d1")]);
    let expected = OrderRejection::VersionMismatch {
        expected: LogOffset::ZERO,
        found: LogOffset::new(1),
        last_order: Some("o1".parse().unwrap()),
    };
    assert_eq!(state.validate(&late), Err(expected));
    assert!(
        state
            .validate(&order("o3", Some(1), vec![close("d1")]))
            .is_ok()
    );
}
