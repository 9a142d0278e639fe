//! Tests of the owner's ledger of one engine.

use std::{collections::BTreeSet, time::Duration};

use borageline_lib::{
    api::PriorityClass,
    engine_api::{HeldReport, HeldRequest},
    ids::{InstanceId, RequestId},
    ledger::{
        DETACHED_TIMEOUT, EngineLedger, ReservationState, UNUSED_GRANT_TIMEOUT,
    },
    peer_api::{GrantEvent, GrantNotice, GrantRequest},
    units::{Incarnation, Timestamp, TokenCount},
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use rstest::rstest;

const START: Timestamp = Timestamp::new(1_000_000);

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("test ids are valid")
}

fn grant_request(number: u64, request: &str, tokens: u64) -> GrantRequest {
    GrantRequest {
        sequence: number,
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
        sequence: number,
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
    ledger.grant(START, id("a"), &grant_request(number, request, 300), tokens);
}

fn at(millis: u64) -> Timestamp {
    START.after(Duration::from_millis(millis))
}

fn used(ledger: &EngineLedger) -> u64 {
    ledger.used().get()
}

/// Guards against a ledger that leaves no memory or slot for a second instance
/// that takes itself for the owner, and that may grant a tenth of the memory
/// and one slot.
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

/// Guards against a notice that is delivered after the one about the end of its
/// request and reserves memory again. An owner in its hold-down reads no list, so
/// such a reservation kept the engine's only slot for seconds.
#[rstest]
#[case::finished(GrantEvent::Finished(TokenCount::new(1)))]
#[case::overcommitted(GrantEvent::Overcommitted)]
#[case::unused(GrantEvent::Unused)]
fn test_ledger_ignores_notices_of_ended_requests(#[case] end: GrantEvent) {
    let mut ledger = ledger();
    let from: InstanceId = id("a");
    grant(&mut ledger, 7, "r1");
    ledger.notice(at(1), &from, &notice(7, "r1", end));
    let first_chunk = GrantEvent::FirstChunk(Duration::ZERO);
    let late = [GrantEvent::Started, first_chunk, GrantEvent::Kept];
    for (delay, event) in [2, 400, 1_400].into_iter().zip(late) {
        ledger.notice(at(delay), &from, &notice(7, "r1", event));
        assert_eq!(ledger.reservation_count(), 0);
        assert_eq!(used(&ledger), 0);
    }
    // A later attempt of the same request is reserved as usual.
    grant(&mut ledger, 8, "r1");
    ledger.notice(at(1_500), &from, &notice(8, "r1", GrantEvent::Started));
    assert_eq!(used(&ledger), 300);
    let reservation = ledger.reservation(&id("r1")).unwrap();
    assert_eq!(reservation.state, ReservationState::Started);
}

/// Guards against a request that is not counted by a new owner, which did not
/// grant it, because an earlier attempt had ended there.
#[test]
fn test_ledger_counts_later_attempts_of_ended_requests() {
    let mut ledger = ledger();
    let from: InstanceId = id("a");
    grant(&mut ledger, 7, "r1");
    ledger.notice(at(1), &from, &notice(7, "r1", GrantEvent::Overcommitted));
    ledger.notice(at(2), &from, &notice(9, "r1", GrantEvent::Started));
    assert_eq!(used(&ledger), 300);
}

/// Guards against freeing a reservation that is in use although the notice of
/// its use was lost.
#[test]
fn test_ledger_expired_grant_is_freed_only_by_a_later_list() {
    let mut ledger = ledger();
    let none = BTreeSet::new();
    grant(&mut ledger, 1, "r1");
    grant(&mut ledger, 2, "r2");
    let expired = START.after(UNUSED_GRANT_TIMEOUT);
    ledger.tick(expired);
    assert_eq!(used(&ledger), 600);
    ledger.reconcile(expired, at(0), &report(&[]), &none);
    assert_eq!(used(&ledger), 600, "the list is older than the expiry");
    ledger.reconcile(at(800), at(790), &report(&[("r1", true)]), &none);
    assert_eq!(used(&ledger), 300);
    let reservation = ledger.reservation(&id("r1")).unwrap();
    assert_eq!(reservation.state, ReservationState::Started);
}

/// Guards against a late notice of an earlier grant that frees the reservation
/// of a later one.
#[test]
fn test_ledger_ignores_notices_of_earlier_grants() {
    let mut ledger = ledger();
    grant(&mut ledger, 7, "r1");
    let from: InstanceId = id("a");
    ledger.notice(at(1), &from, &notice(6, "r1", GrantEvent::Unused));
    assert_eq!(used(&ledger), 300);
    ledger.notice(at(2), &from, &notice(7, "r1", GrantEvent::Unused));
    assert_eq!(used(&ledger), 0);
}

/// Guards against freeing the reservation of a cancelled request while the
/// engine may still hold it.
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
    assert_eq!(
        used(&ledger),
        300,
        "the request may still be in transit to the engine"
    );
    ledger.reconcile(at(300), at(290), &report(&[]), &none);
    assert_eq!(used(&ledger), 0);
}

/// Guards against requests of a dead instance, and requests without a client,
/// that hold memory forever.
#[test]
fn test_ledger_orphans_are_cancelled() {
    let mut ledger = ledger();
    let dead = BTreeSet::from([id::<InstanceId>("b")]);
    let listed = report(&[("a-1-1", false), ("b-1-1", true)]);
    let change = ledger.reconcile(at(1), at(0), &listed, &dead);
    assert_eq!(change.cancel, [id::<RequestId>("b-1-1")]);
    assert_eq!(used(&ledger), 600);
    let late = at(2).after(DETACHED_TIMEOUT);
    let change = ledger.reconcile(late, late, &listed, &dead);
    assert!(change.cancel.contains(&id("a-1-1")));
}

/// Guards against counting requests that a restarted engine has lost, and
/// against dropping a grant for a request that may still be sent to it.
#[test]
fn test_ledger_new_incarnation_drops_sent_requests() {
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

/// A step of the test against the reference model, for one of six requests.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Grant(usize, u64),
    Notice(usize, u8),
    List(u8),
    Wait(u64),
}

#[derive(Clone, Copy, PartialEq)]
enum ModelState {
    Granted,
    Expired,
    Started,
    Cancelled,
}

/// Reference model of a ledger, which recomputes its totals from all
/// reservations.
#[derive(Default)]
struct ModelLedger {
    /// Request, tokens, state, and the time in milliseconds from which a list
    /// without the request proves that the engine does not hold it.
    reservations: Vec<(usize, u64, ModelState, u64)>,
}

impl ModelLedger {
    fn used(&self) -> u64 {
        self.reservations
            .iter()
            .map(|reservation| reservation.1)
            .sum()
    }

    fn fits(&self, tokens: u64) -> bool {
        self.reservations.len() < 3 && self.used() + tokens <= 900
    }

    fn notice(&mut self, now: u64, request: usize, kind: u8) {
        let found = self
            .reservations
            .iter_mut()
            .find(|reservation| reservation.0 == request);
        let Some(reservation) = found else {
            return;
        };
        let fresh =
            matches!(reservation.2, ModelState::Granted | ModelState::Expired);
        match kind {
            0 if fresh => {
                reservation.2 = ModelState::Started;
                reservation.3 = now + 1000;
            }
            1 if reservation.2 == ModelState::Granted => {
                self.reservations
                    .retain(|reservation| reservation.0 != request);
            }
            2 => self
                .reservations
                .retain(|reservation| reservation.0 != request),
            3 => {
                reservation.2 = ModelState::Cancelled;
                reservation.3 = now + 250;
            }
            _ => {}
        }
    }

    fn expire(&mut self, now: u64) {
        for reservation in &mut self.reservations {
            if reservation.2 == ModelState::Granted && reservation.3 <= now {
                reservation.2 = ModelState::Expired;
            }
        }
    }

    fn list(&mut self, now: u64, listed: &[bool]) {
        self.reservations.retain(|reservation| {
            listed[reservation.0]
                || reservation.2 == ModelState::Granted
                || reservation.3 > now
        });
    }
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..6_usize, 1..700_u64)
            .prop_map(|(request, tokens)| Operation::Grant(request, tokens)),
        4 => (0..6_usize, 0..4_u8)
            .prop_map(|(request, kind)| Operation::Notice(request, kind)),
        2 => any::<u8>().prop_map(Operation::List),
        3 => (1..600_u64).prop_map(Operation::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Guards against a ledger whose running total or decisions differ from
    /// those of a model that sums up all reservations.
    #[test]
    fn test_ledger_agrees_with_reference_model(
        operations in prop::collection::vec(operation(), 1..80),
    ) {
        let (mut ledger, mut model) = (ledger(), ModelLedger::default());
        let from: InstanceId = id("a");
        let mut now = 0;
        for (number, operation) in (1..).zip(operations) {
            match operation {
                Operation::Grant(request, tokens) => {
                    let fits = model.fits(tokens);
                    prop_assert_eq!(ledger.fits(TokenCount::new(tokens)), fits);
                    let name = format!("r{request}");
                    if !fits || ledger.reservation(&id(&name)).is_some() {
                        continue;
                    }
                    let grant_request = grant_request(number, &name, tokens);
                    let tokens = TokenCount::new(tokens);
                    ledger.grant(at(now), from.clone(), &grant_request, tokens);
                    let state = ModelState::Granted;
                    let reservation = (request, tokens.get(), state, now + 750);
                    model.reservations.push(reservation);
                }
                Operation::Notice(request, kind) => {
                    let name = format!("r{request}");
                    let known = ledger.reservation(&id(&name));
                    let sequence = known.map(|known| known.sequence);
                    let Some(sequence) = sequence else {
                        continue;
                    };
                    let event = match kind {
                        0 => GrantEvent::Started,
                        1 => GrantEvent::Unused,
                        2 => GrantEvent::Finished(TokenCount::ZERO),
                        _ => GrantEvent::Cancelled,
                    };
                    let notice = notice(sequence, &name, event);
                    ledger.notice(at(now), &from, &notice);
                    model.notice(now, request, kind);
                }
                Operation::List(bits) => {
                    // Lists contain only requests that the ledger knows as
                    // sent.
                    let started = |request: &usize| {
                        let name = format!("r{request}");
                        bits & (1 << request) != 0
                            && ledger.reservation(&id(&name)).is_some_and(|it| {
                                it.state == ReservationState::Started
                            })
                    };
                    let kept: Vec<usize> = (0..6).filter(started).collect();
                    let mut listed = report(&[]);
                    listed.requests = kept.iter().map(|request| HeldRequest {
                        request: id(&format!("r{request}")),
                        tokens: TokenCount::ZERO,
                        age_ms: 0,
                        attached: true,
                    }).collect();
                    let none = BTreeSet::new();
                    ledger.reconcile(at(now), at(now), &listed, &none);
                    let named: Vec<bool> =
                        (0..6).map(|request| kept.contains(&request)).collect();
                    model.list(now, &named);
                }
                Operation::Wait(millis) => {
                    now += millis;
                    ledger.tick(at(now));
                    model.expire(now);
                }
            }
            prop_assert_eq!(used(&ledger), model.used());
            let count = model.reservations.len();
            prop_assert_eq!(ledger.reservation_count(), count);
        }
    }
}
