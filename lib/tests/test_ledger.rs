//! Tests of the owner's account of one engine.

use std::{collections::BTreeSet, time::Duration};

use borageline_lib::{
    api::PriorityClass,
    engine_api::{HeldReport, HeldRequest},
    ids::{InstanceId, RequestId},
    ledger::{EngineLedger, GRANT_COUNTED, HoldState, UNKNOWN_BOUND},
    peer_api::{GrantAsk, GrantEvent, GrantNotice},
    units::{Incarnation, Timestamp, TokenCount},
};

const START: Timestamp = Timestamp::new(1_000_000);

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("test ids are valid")
}

fn ask(number: u64, request: &str, tokens: u64) -> GrantAsk {
    GrantAsk {
        ask: number,
        request: id(request),
        engine: id("e"),
        workspace: id("w"),
        model: id("m"),
        class: PriorityClass::Standard,
        prompt: TokenCount::new(tokens),
        output: TokenCount::ZERO,
        prefix: 0,
        time_left: Duration::from_secs(60),
        may_queue: false,
        grouped: false,
    }
}

fn notice(number: u64, request: &str, event: GrantEvent) -> GrantNotice {
    GrantNotice {
        ask: number,
        reserved: TokenCount::new(300),
        request: id(request),
        engine: id("e"),
        event,
    }
}

fn report(requests: &[(&str, bool)]) -> HeldReport {
    let held = |(request, attached): &(&str, bool)| HeldRequest {
        request: id(request),
        tokens: TokenCount::new(300),
        age_ms: 0,
        attached: *attached,
    };
    HeldReport {
        engine: id("e"),
        incarnation: Incarnation::new(1),
        requests: requests.iter().map(held).collect(),
    }
}

fn ledger() -> EngineLedger {
    let mut ledger = EngineLedger::new();
    ledger.set_size(TokenCount::new(1000), 4);
    ledger.set_incarnation(START, Incarnation::new(1));
    ledger.set_complete(true);
    ledger
}

fn grant(ledger: &mut EngineLedger, number: u64, request: &str) {
    let tokens = TokenCount::new(300);
    assert!(ledger.fits(tokens));
    ledger.grant(START, id("a"), &ask(number, request, 300), tokens);
}

fn at(millis: u64) -> Timestamp {
    START.after(Duration::from_millis(millis))
}

fn used(ledger: &EngineLedger) -> u64 {
    ledger.used().get()
}

/// Guards against an account that a second owner's tenth would overcommit.
#[test]
fn test_ledger_leaves_a_tenth_and_a_slot() {
    let mut ledger = ledger();
    for (number, request) in [(1, "r1"), (2, "r2"), (3, "r3")] {
        grant(&mut ledger, number, request);
    }
    assert!(!ledger.fits(TokenCount::new(1)));
    assert_eq!(ledger.free_slots(), 0);
    let mut fresh = EngineLedger::new();
    fresh.set_size(TokenCount::new(1000), 4);
    fresh.set_incarnation(START, Incarnation::new(1));
    assert_eq!(fresh.headroom().get(), 100);
    assert_eq!(fresh.free_slots(), 1);
}

/// Guards against freeing a grant whose notice of use was lost.
#[test]
fn test_ledger_expired_grant_is_freed_only_by_a_later_list() {
    let mut ledger = ledger();
    let none = BTreeSet::new();
    grant(&mut ledger, 1, "r1");
    grant(&mut ledger, 2, "r2");
    let expired = START.after(GRANT_COUNTED);
    ledger.tick(expired);
    assert_eq!(used(&ledger), 600);
    ledger.reconcile(expired, at(0), &report(&[]), &none);
    assert_eq!(used(&ledger), 600, "the list is older than the expiry");
    ledger.reconcile(at(800), at(790), &report(&[("r1", true)]), &none);
    assert_eq!(used(&ledger), 300);
    let hold = ledger.hold(&id("r1")).unwrap();
    assert_eq!(hold.state, HoldState::Started);
}

/// Guards against freeing a newer grant by a late notice on an older one.
#[test]
fn test_ledger_ignores_notices_on_earlier_asks() {
    let mut ledger = ledger();
    grant(&mut ledger, 7, "r1");
    let from: InstanceId = id("a");
    ledger.notice(at(1), &from, &notice(6, "r1", GrantEvent::Unused));
    assert_eq!(used(&ledger), 300);
    ledger.notice(at(2), &from, &notice(7, "r1", GrantEvent::Unused));
    assert_eq!(used(&ledger), 0);
}

/// Guards against a cancelled request that is freed while the engine has it.
#[test]
fn test_ledger_cancelled_request_counts_until_it_is_gone() {
    let mut ledger = ledger();
    let none = BTreeSet::new();
    let from: InstanceId = id("a");
    grant(&mut ledger, 1, "r1");
    ledger.notice(at(1), &from, &notice(1, "r1", GrantEvent::Started));
    ledger.notice(at(2), &from, &notice(1, "r1", GrantEvent::Cancelled));
    assert_eq!(ledger.tick(at(3)), [id::<RequestId>("r1")]);
    let listed = report(&[("r1", false)]);
    ledger.reconcile(at(10), at(9), &listed, &none);
    assert_eq!(used(&ledger), 300);
    ledger.reconcile(at(200), at(190), &report(&[]), &none);
    assert_eq!(used(&ledger), 300, "it may still be on its way");
    ledger.reconcile(at(300), at(290), &report(&[]), &none);
    assert_eq!(used(&ledger), 0);
}

/// Guards against memory that a dead instance's requests keep for ever.
#[test]
fn test_ledger_orphans_are_cancelled() {
    let mut ledger = ledger();
    let dead = BTreeSet::from([id::<InstanceId>("b")]);
    let listed = report(&[("a-1-1", false), ("b-1-1", true)]);
    let change = ledger.reconcile(at(1), at(0), &listed, &dead);
    assert_eq!(change.cancel, [id::<RequestId>("b-1-1")]);
    assert_eq!(used(&ledger), 600);
    let late = at(2).after(UNKNOWN_BOUND);
    let change = ledger.reconcile(late, late, &listed, &dead);
    assert!(change.cancel.contains(&id("a-1-1")));
}

/// Guards against counting what a restarted engine has lost, and against
/// forgetting a grant that may still be sent to it.
#[test]
fn test_ledger_new_incarnation_drops_what_was_sent() {
    let mut ledger = ledger();
    let from: InstanceId = id("a");
    grant(&mut ledger, 1, "r1");
    grant(&mut ledger, 2, "r2");
    ledger.notice(at(1), &from, &notice(1, "r1", GrantEvent::Started));
    assert!(!ledger.set_incarnation(at(2000), Incarnation::new(0)));
    assert_eq!(used(&ledger), 600);
    assert!(ledger.set_incarnation(at(2000), Incarnation::new(2)));
    assert_eq!(used(&ledger), 300);
    ledger.tick(at(2000));
    let mut listed = report(&[]);
    listed.incarnation = Incarnation::new(2);
    ledger.reconcile(at(2010), at(2000), &listed, &BTreeSet::new());
    assert_eq!(used(&ledger), 0);
}
