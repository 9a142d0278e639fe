//! Lease of the singleton duties: records, single failures and their order.

use std::{net::IpAddr, time::Duration};

use borageline_lib::{
    gateway::{
        duty::{DutyCallLimit, DutyName, FencingToken},
        duty_lease::{
            ClaimResult, DutyLease, LeaseChange, LeaseEnd, LeaseOwner,
            LeaseRecord, LeaseRecordKind, LeaseStep, LeaseTime, LeaseTiming,
            claim_token, lease_candidates,
        },
        gateway_settings::GatewaySettings,
        store_era::StoreEra,
        wire::{AppendResult, LogTail},
    },
    units::{Incarnation, LogOffset, Timestamp},
};
use bytes::Bytes;
use rstest::rstest;

use crate::{
    fixtures::SETTINGS,
    lease_simulation::{
        ArrivedCall, Delivery, LEASE, LeaseSimulation, StoreLink,
    },
};

const LEASE_MS: u64 = LEASE.as_millis() as u64;
/// Time within which the lease is held after it may be claimed: a read, an
/// append and the wait of the second candidate.
const CLAIM_MS: u64 = 500;
/// Time that a successor takes to receive a release.
const READ_MS: u64 = LEASE_MS / 2 + CLAIM_MS;
/// Time within which the lease of a holder that is lost is held again.
const TAKEOVER_MS: u64 = LEASE_MS + READ_MS;

fn at(millis: u64) -> LeaseTime {
    LeaseTime::new((1_000_000 + millis) * 1_000)
}

fn offset(value: u64) -> LogOffset {
    LogOffset::new(value)
}

fn owner(index: u8) -> LeaseOwner {
    LeaseOwner {
        instance: format!("entry-{index}").parse().expect("valid name"),
        ip: [127, 0, 1, index].into(),
        incarnation: Incarnation::new(7),
    }
}

fn record(index: u8, kind: LeaseRecordKind, token: u64) -> LeaseRecord {
    LeaseRecord {
        kind,
        owner: owner(index),
        token: FencingToken::new(token),
        lease_ms: LEASE_MS,
    }
}

fn candidate(index: u8) -> DutyLease {
    let mut lease = DutyLease::new(owner(index), LeaseTiming::new(LEASE));
    lease.set_rank(Some(0));
    lease
}

/// Passes records that were read from an offset to an instance.
fn receive(
    lease: &mut DutyLease,
    now: LeaseTime,
    era: u64,
    from: u64,
    records: &[LeaseRecord],
) {
    let next = offset(from + records.len() as u64);
    let records = records.iter().map(LeaseRecord::to_bytes).collect();
    let tail = LogTail::Records { records, next };
    let era = StoreEra::new(era);
    lease.receive_tail(now, era, offset(from), &tail, Some(next));
}

/// Returns the append that an instance makes now, and panics if it makes none.
#[track_caller]
fn expect_append(
    lease: &mut DutyLease,
    now: LeaseTime,
) -> (LogOffset, LeaseRecord) {
    match lease.next_step(now) {
        LeaseStep::Append { at, record } => (at, record),
        step => panic!("no append: {step:?}"),
    }
}

fn acknowledge(lease: &mut DutyLease, now: LeaseTime, era: u64, end: u64) {
    let result = AppendResult::Appended(offset(end));
    lease.receive_append(now, Some((StoreEra::new(era), result)));
}

/// An instance that has claimed at offset 0 and sent the claim at 3 s.
fn holder() -> DutyLease {
    let mut lease = candidate(1);
    receive(&mut lease, at(0), 0, 0, &[]);
    let (offset, record) = expect_append(&mut lease, at(3_000));
    assert_eq!(offset, LogOffset::ZERO);
    assert_eq!(record.kind, LeaseRecordKind::Claim);
    acknowledge(&mut lease, at(3_010), 0, 1);
    lease
}

fn claim_results(simulation: &LeaseSimulation) -> Vec<ClaimResult> {
    let changes = simulation.instances.iter().flat_map(|it| &it.changes);
    let claims = changes.filter_map(|change| match change {
        LeaseChange::Claimed(result) => Some(*result),
        _ => None,
    });
    claims.collect()
}

fn calls_of(simulation: &LeaseSimulation, index: usize) -> Vec<ArrivedCall> {
    let ip = simulation.instances[index].ip;
    let calls = simulation.calls.iter().filter(|call| call.sender == ip);
    calls.copied().collect()
}

/// Guards against a record that another build cannot read: the names of the
/// fields and kinds are part of the protocol between builds.
#[test]
fn test_duty_lease_record_format() {
    let text = r#"{"kind":"claim","holder":"entry-1","ip":"127.0.1.1","incarnation":7,"token":4294967299,"lease_ms":3000}"#;
    let token = claim_token(StoreEra::new(1), offset(2));
    let record = record(1, LeaseRecordKind::Claim, token.get());
    assert_eq!(record.to_bytes(), text.as_bytes());
    assert_eq!(LeaseRecord::parse(text.as_bytes()), Some(record));
}

/// Guards against a field that a newer build adds, or one that an older build
/// does not write, making the record unreadable.
#[test]
fn test_duty_lease_record_of_other_build() {
    let text = br#"{"kind":"renew","holder":"a","ip":"127.0.1.1","incarnation":7,"token":3,"color":"red"}"#;
    let record = LeaseRecord::parse(text).unwrap();
    assert_eq!(record.kind, LeaseRecordKind::Renew);
    assert_eq!(record.lease_ms, 0);
}

/// Guards against a token that is used twice: after a restore that lost a claim,
/// the next claim may have the same offset.
#[test]
fn test_duty_lease_token_grows_with_era() {
    let lost = claim_token(StoreEra::ZERO, offset(90_000));
    let next = claim_token(StoreEra::new(1), offset(40_000));
    assert!(lost < next);
    assert_eq!(claim_token(StoreEra::ZERO, offset(0)).get(), 1);
}

/// Guards against candidates that differ between instances with the same view,
/// and against a claim by every instance of a fleet.
#[test]
fn test_duty_lease_candidates_agree() {
    let ips: Vec<IpAddr> =
        (1..=140).map(|index| [10, 0, 0, index].into()).collect();
    let candidates = lease_candidates(&ips);
    assert_eq!(candidates.len(), 3);
    let reversed: Vec<_> = ips.iter().rev().copied().collect();
    assert_eq!(lease_candidates(&reversed), candidates);
    let without_first: Vec<_> = ips
        .iter()
        .copied()
        .filter(|ip| *ip != candidates[0])
        .collect();
    let remaining = lease_candidates(&without_first);
    assert_eq!(remaining[..2], candidates[1..]);
}

/// Guards against two holders after two claims at the same moment.
#[test]
fn test_duty_lease_claims_at_once() {
    let mut simulation = LeaseSimulation::new(2, 1);
    simulation.set_rank(1, Some(0));
    simulation.run(LEASE_MS + CLAIM_MS);
    let mut results = claim_results(&simulation);
    results.sort_by_key(|result| result.as_str());
    assert_eq!(results, [ClaimResult::Lost, ClaimResult::Won]);
    simulation.run(2 * LEASE_MS);
    simulation.check_calls();
    let holder = simulation.holder().unwrap();
    assert!(!calls_of(&simulation, holder).is_empty());
    assert!(calls_of(&simulation, 1 - holder).is_empty());
}

/// Guards against a claim that is made earlier than a lease after the first
/// read: the records may be as new as the read.
#[test]
fn test_duty_lease_first_claim_waits() {
    let mut simulation = LeaseSimulation::new(1, 2);
    simulation.run(LEASE_MS - 10);
    assert!(simulation.store.records.is_empty());
    simulation.run_until_held(CLAIM_MS);
}

/// Guards against a holder that does not know that it is one, and against a
/// second claim by it.
#[test]
fn test_duty_lease_claim_response_lost() {
    let mut simulation = LeaseSimulation::new(1, 3);
    simulation.run(LEASE_MS - 100);
    simulation.instances[0].link = StoreLink::NO_RESPONSES;
    simulation.run(200);
    assert_eq!(simulation.store.records.len(), 1);
    assert_eq!(simulation.holder(), None);
    simulation.instances[0].link = StoreLink::GOOD;
    simulation.run_until_held(2 * LEASE_MS);
    let claims = simulation.store.records.iter().filter(|record| {
        let record = LeaseRecord::parse(record).unwrap();
        record.kind == LeaseRecordKind::Claim
    });
    assert_eq!(claims.count(), 1);
}

/// Guards against a lease that is counted from a later attempt although an
/// earlier one was carried out: successors count from that one.
#[test]
fn test_duty_lease_counts_from_first_attempt() {
    let mut lease = holder();
    let (offset, renewal) = expect_append(&mut lease, at(4_000));
    assert_eq!(renewal.kind, LeaseRecordKind::Renew);
    lease.receive_append(at(4_750), None);
    receive(&mut lease, at(4_800), 0, 1, &[]);
    let again = expect_append(&mut lease, at(4_810));
    assert_eq!(again, (offset, renewal.clone()));
    lease.receive_append(at(5_400), None);
    receive(&mut lease, at(5_450), 0, 1, &[renewal]);
    let held_for = LeaseTiming::new(LEASE).held_for();
    let until = lease.held(at(5_450)).unwrap().until;
    assert_eq!(until, at(4_000).after(held_for));
}

/// Guards against a lease by a claim that the store carried out long after it
/// was sent: it counts from the sending, and ends before a successor's wait.
#[test]
fn test_duty_lease_late_claim() {
    let mut lease = candidate(1);
    receive(&mut lease, at(0), 0, 0, &[]);
    let (_, claim) = expect_append(&mut lease, at(3_000));
    lease.receive_append(at(3_750), None);
    receive(&mut lease, at(8_000), 0, 0, &[claim]);
    assert_eq!(lease.held(at(8_000)), None);
    // Nobody has claimed since, so that the instance may go on.
    let (offset, renewal) = expect_append(&mut lease, at(8_010));
    assert_eq!(offset, LogOffset::new(1));
    assert_eq!(renewal.kind, LeaseRecordKind::Renew);
    acknowledge(&mut lease, at(8_020), 0, 2);
    assert!(lease.held(at(8_020)).is_some());
}

/// Guards against a claim of an instance that has not noticed a restore: its
/// token may be one that the restore has lost.
#[test]
fn test_duty_lease_claim_in_unnoticed_era() {
    let mut lease = candidate(1);
    receive(&mut lease, at(0), 0, 0, &[]);
    let _ = expect_append(&mut lease, at(3_000));
    acknowledge(&mut lease, at(3_010), 1, 1);
    assert_eq!(lease.held(at(3_020)), None);
    // It claims a lease after it has noticed, with a token of the new era.
    let claim = record(1, LeaseRecordKind::Claim, 1);
    receive(&mut lease, at(3_020), 1, 0, &[claim]);
    let step = lease.next_step(at(6_000));
    assert!(!matches!(step, LeaseStep::Append { .. }), "{step:?}");
    let (_, claim) = expect_append(&mut lease, at(6_030));
    assert_eq!(claim.token, claim_token(StoreEra::new(1), offset(1)));
}

/// Guards against the same after the response was lost.
#[test]
fn test_duty_lease_claim_read_in_later_era() {
    let mut lease = candidate(1);
    receive(&mut lease, at(0), 0, 0, &[]);
    let (_, claim) = expect_append(&mut lease, at(3_000));
    lease.receive_append(at(3_750), None);
    receive(&mut lease, at(3_760), 1, 0, std::slice::from_ref(&claim));
    receive(&mut lease, at(3_770), 1, 0, &[claim]);
    assert_eq!(lease.held(at(3_770)), None);
}

/// Guards against a response that was sent before a restore and arrives after
/// it was noticed.
#[test]
fn test_duty_lease_response_of_earlier_era() {
    let mut lease = candidate(1);
    receive(&mut lease, at(0), 1, 0, &[]);
    let _ = expect_append(&mut lease, at(3_000));
    acknowledge(&mut lease, at(3_010), 0, 1);
    assert_eq!(lease.held(at(3_020)), None);
}

/// Guards against a call of an instance that was frozen while another one took
/// the lease.
#[test]
fn test_duty_lease_frozen_holder() {
    let mut simulation = LeaseSimulation::new(2, 4);
    let first = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    simulation.run(1_500);
    let token = simulation.token(first).unwrap();
    simulation.freeze(first, 4 * LEASE_MS);
    simulation.run(TAKEOVER_MS);
    let second = simulation.holder().unwrap();
    assert_ne!(second, first);
    simulation.run(5 * LEASE_MS);
    assert_eq!(simulation.holder(), Some(second));
    let last = calls_of(&simulation, first).last().copied().unwrap();
    assert_eq!(last.token, token);
    assert!(!last.refused);
    simulation.check_calls();
}

/// Guards against a holder that goes on without renewals while a successor
/// claims, and against a successor that comes early.
#[test]
fn test_duty_lease_holder_cut_from_store() {
    let mut simulation = LeaseSimulation::new(2, 5);
    let first = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    simulation.run(1_500);
    simulation.instances[first].link = StoreLink::CUT;
    simulation.run(TAKEOVER_MS);
    let second = simulation.holder().unwrap();
    assert_ne!(second, first);
    let last = calls_of(&simulation, first).last().unwrap().at_ms;
    let next = calls_of(&simulation, second).first().unwrap().at_ms;
    let margin = LEASE - LeaseTiming::new(LEASE).held_for();
    assert!(next >= last + margin.as_millis() as u64, "{last} {next}");
    simulation.instances[first].link = StoreLink::GOOD;
    simulation.run(3 * LEASE_MS);
    assert_eq!(simulation.holder(), Some(second));
    simulation.check_calls();
}

/// Guards against calls without a lease while the store is down, and against a
/// lease that is never claimed again.
#[test]
fn test_duty_lease_store_down() {
    let mut simulation = LeaseSimulation::new(3, 6);
    simulation.run(2 * LEASE_MS);
    simulation.store.is_down = true;
    simulation.run(LEASE_MS);
    let calls = simulation.calls.len();
    assert_eq!(simulation.holder(), None);
    simulation.run(10 * LEASE_MS);
    assert_eq!(simulation.calls.len(), calls);
    simulation.store.is_down = false;
    simulation.run_until_held(TAKEOVER_MS);
    simulation.run(LEASE_MS);
    simulation.check_calls();
}

/// Guards against a token that is used again, or a holder that stops, after the
/// store was restored from a copy without the holder's claim.
#[test]
fn test_duty_lease_restore_loses_claim() {
    let mut simulation = LeaseSimulation::new(2, 7);
    simulation.run(2 * LEASE_MS);
    let backup = simulation.store.back_up();
    let first = simulation.holder().unwrap();
    simulation.kill(first, u64::MAX / 2);
    simulation.run(TAKEOVER_MS);
    let second = simulation.holder().unwrap();
    let token = simulation.token(second).unwrap();
    simulation.instances[second].changes.clear();
    simulation.store.restore(&backup);
    // Leaves less than a lease for the holder's new claim.
    simulation.run(LEASE_MS);
    assert_eq!(simulation.holder(), Some(second));
    assert!(simulation.token(second) > Some(token));
    let changes = &simulation.instances[second].changes;
    let ended = |change: &LeaseChange| matches!(change, LeaseChange::Ended(..));
    assert!(!changes.iter().any(ended), "{changes:?}");
    simulation.run(3 * LEASE_MS);
    simulation.check_calls();
}

/// Guards against a claim by a candidate right after a restore, while a holder
/// whose claim was lost still acts.
#[test]
fn test_duty_lease_no_claim_after_restore() {
    let mut lease = candidate(1);
    let claim = record(2, LeaseRecordKind::Claim, 1);
    let release = record(2, LeaseRecordKind::Release, 1);
    receive(&mut lease, at(0), 0, 0, &[claim.clone(), release.clone()]);
    receive(&mut lease, at(9_000), 1, 2, &[]);
    receive(&mut lease, at(9_010), 1, 0, &[claim, release]);
    let step = lease.next_step(at(11_990));
    assert!(!matches!(step, LeaseStep::Append { .. }), "{step:?}");
    let _ = expect_append(&mut lease, at(12_100));
}

/// Guards against a holder that renews by a token of the era before: a claim of
/// another instance may have been lost.
#[test]
fn test_duty_lease_holder_claims_anew() {
    let mut lease = holder();
    let claim = record(1, LeaseRecordKind::Claim, 1);
    receive(&mut lease, at(3_500), 1, 1, &[]);
    receive(&mut lease, at(3_510), 1, 0, &[claim]);
    let (at_offset, again) = expect_append(&mut lease, at(3_520));
    assert_eq!(again.kind, LeaseRecordKind::Claim);
    assert_eq!(again.token, claim_token(StoreEra::new(1), at_offset));
}

/// Guards against a lease that is lost, or a claim that comes early, because the
/// store has dropped records.
#[rstest]
#[case::newest_kept(1)]
#[case::all_dropped(0)]
fn test_duty_lease_trimmed_topic(#[case] kept: usize) {
    let mut simulation = LeaseSimulation::new(3, 8);
    let first = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    for _ in 0..10 {
        simulation.run(LEASE_MS / 2);
        simulation.store.trim(kept);
    }
    assert_eq!(simulation.holder(), Some(first));
    simulation.set_only_candidate(2);
    simulation.kill(first, u64::MAX / 2);
    simulation.run_until_held(LEASE_MS + TAKEOVER_MS);
    simulation.run(LEASE_MS);
    assert_eq!(simulation.holder(), Some(2));
    simulation.check_calls();
}

/// Guards against a claim right after records were missed, which may name a
/// holder.
#[test]
fn test_duty_lease_missed_records() {
    let mut lease = candidate(1);
    receive(&mut lease, at(0), 0, 0, &[]);
    let first = Some(offset(40));
    let gap = LogTail::Gap { first };
    lease.receive_tail(at(2_990), StoreEra::ZERO, offset(0), &gap, None);
    let records = LogTail::Records {
        records: Vec::new(),
        next: offset(40),
    };
    lease.receive_tail(at(3_600), StoreEra::ZERO, offset(40), &records, None);
    let step = lease.next_step(at(5_900));
    assert!(!matches!(step, LeaseStep::Append { .. }), "{step:?}");
    let (at_offset, _) = expect_append(&mut lease, at(6_000));
    assert_eq!(at_offset, offset(40));
}

/// Guards against a vacancy of a whole lease after a planned stop.
#[test]
fn test_duty_lease_release() {
    let mut simulation = LeaseSimulation::new(2, 9);
    let first = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    simulation.run(LEASE_MS);
    simulation.stop(first);
    simulation.run(READ_MS);
    assert_eq!(simulation.holder(), Some(1 - first));
    let newest = simulation.store.records.iter().rev();
    let mut newest = newest.map(|record| LeaseRecord::parse(record).unwrap());
    let kind = LeaseRecordKind::Release;
    assert!(newest.any(|record| record.kind == kind));
    simulation.run(2 * LEASE_MS);
    simulation.check_calls();
}

/// Guards against calls in the order A, B, A within a lease: B stops right after
/// A has.
#[test]
fn test_duty_lease_release_back_to_earlier_machine() {
    let mut simulation = LeaseSimulation::new(2, 10);
    let first = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    let second = 1 - first;
    simulation.run(LEASE_MS);
    // The machine of the first holder remains a candidate, without a stop.
    let instance = &mut simulation.instances[first];
    instance.link = StoreLink::CUT;
    simulation.run(LEASE_MS + 200);
    simulation.instances[first].link = StoreLink::GOOD;
    simulation.run_until(TAKEOVER_MS, |it| it.holder() == Some(second));
    simulation.run(300);
    simulation.stop(second);
    simulation.run(3 * LEASE_MS);
    assert!(!calls_of(&simulation, second).is_empty());
    assert_eq!(simulation.holder(), Some(first));
    simulation.check_calls();
}

/// Guards against a claim of the machine that held the lease before the one
/// that has released it, as soon as it has read the release.
#[test]
fn test_duty_lease_waits_after_own_earlier_lease() {
    let mut lease = candidate(1);
    let claim = record(1, LeaseRecordKind::Claim, 1);
    let own_release = record(1, LeaseRecordKind::Release, 1);
    let other_claim = record(2, LeaseRecordKind::Claim, 3);
    let other_release = record(2, LeaseRecordKind::Release, 3);
    receive(&mut lease, at(0), 0, 0, &[claim]);
    receive(&mut lease, at(10_000), 0, 1, &[own_release]);
    receive(&mut lease, at(10_200), 0, 2, &[other_claim]);
    receive(&mut lease, at(10_400), 0, 3, &[other_release]);
    let step = lease.next_step(at(12_990));
    assert!(!matches!(step, LeaseStep::Append { .. }), "{step:?}");
    let _ = expect_append(&mut lease, at(13_010));
}

/// Guards against a successor that acts while a call of the stopping holder may
/// still be executed.
#[test]
fn test_duty_lease_no_release_after_unanswered_call() {
    let mut simulation = LeaseSimulation::new(2, 11);
    let first = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    simulation.run(LEASE_MS);
    simulation.instances[first].service = Delivery::After(2_000);
    simulation.run(100);
    simulation.stop(first);
    simulation.run(LEASE_MS - 500);
    assert_eq!(simulation.holder(), None);
    simulation.run(TAKEOVER_MS);
    simulation.check_calls();
    let last = calls_of(&simulation, first).last().copied().unwrap();
    assert!(!last.refused, "executed after a call of the successor");
}

/// Guards against a release while calls are open, and a lease that is kept for
/// new calls during a planned stop.
#[test]
fn test_duty_lease_release_after_calls() {
    let mut lease = holder();
    lease.begin_stop();
    assert_eq!(lease.held(at(3_020)), None);
    let step = lease.next_step(at(3_020));
    assert!(matches!(step, LeaseStep::Wait(_)), "{step:?}");
    lease.end_calls(true);
    let (_, release) = expect_append(&mut lease, at(3_100));
    assert_eq!(release.kind, LeaseRecordKind::Release);
    acknowledge(&mut lease, at(3_110), 0, 2);
    assert_eq!(lease.next_step(at(3_120)), LeaseStep::Done);
}

/// Guards against a token that is used again after the service has refused it,
/// and against a claim right after that.
#[test]
fn test_duty_lease_refused_token() {
    let mut lease = holder();
    let token = lease.held(at(3_020)).unwrap().token;
    lease.refuse_token(at(3_020), token);
    assert_eq!(lease.held(at(3_030)), None);
    let ended = LeaseChange::Ended(token, LeaseEnd::Superseded);
    assert!(lease.take_changes().contains(&ended));
    receive(&mut lease, at(3_040), 0, 1, &[]);
    let step = lease.next_step(at(6_000));
    assert!(!matches!(step, LeaseStep::Append { .. }), "{step:?}");
    let (_, claim) = expect_append(&mut lease, at(6_030));
    assert_eq!(claim.kind, LeaseRecordKind::Claim);
    assert!(claim.token > token);
}

/// Guards against a claim before the last lease has ended, after all instances
/// were killed and nobody knows when the last record was written.
#[test]
fn test_duty_lease_all_killed() {
    let mut simulation = LeaseSimulation::new(3, 12);
    simulation.run(2 * LEASE_MS);
    for index in 0..3 {
        simulation.kill(index, 50 + 10 * index as u64);
    }
    let killed_ms = simulation.now_ms;
    let holder = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    assert!(simulation.now_ms >= killed_ms + LEASE_MS);
    simulation.run(LEASE_MS);
    assert_eq!(simulation.holder(), Some(holder));
    simulation.check_calls();
}

/// Guards against a record that blocks all claims, or that takes the lease from
/// its holder: of an unknown kind, malformed, or with an impossible token.
#[rstest]
#[case::malformed(b"\xff{".to_vec())]
#[case::unknown_kind(br#"{"kind":"lend","holder":"a","ip":"127.0.1.9","incarnation":7,"token":2}"#.to_vec())]
#[case::impossible_token(br#"{"kind":"claim","holder":"a","ip":"127.0.1.9","incarnation":7,"token":18446744073709551615}"#.to_vec())]
#[case::low_token(br#"{"kind":"claim","holder":"a","ip":"127.0.1.9","incarnation":7,"token":1}"#.to_vec())]
fn test_duty_lease_faulty_records(#[case] text: Vec<u8>) {
    let mut simulation = LeaseSimulation::new(2, 13);
    let first = simulation.run_until_held(LEASE_MS + CLAIM_MS);
    simulation.run(LEASE_MS);
    let token = simulation.token(first);
    simulation.store.append(Bytes::from(text));
    simulation.run(2 * LEASE_MS);
    assert_eq!(simulation.holder(), Some(first));
    assert_eq!(simulation.token(first), token);
    simulation.kill(first, u64::MAX / 2);
    simulation.run_until_held(TAKEOVER_MS);
    simulation.check_calls();
}

/// Guards against a successor with a shorter lease in its settings that claims
/// while the holder, which has a longer one, still acts.
#[test]
fn test_duty_lease_longer_lease_of_holder() {
    let mut lease = candidate(1);
    let mut claim = record(2, LeaseRecordKind::Claim, 1);
    claim.lease_ms = 3 * LEASE_MS;
    receive(&mut lease, at(0), 0, 0, &[claim]);
    let step = lease.next_step(at(3 * LEASE_MS - 10));
    assert!(!matches!(step, LeaseStep::Append { .. }), "{step:?}");
    let _ = expect_append(&mut lease, at(3 * LEASE_MS));
}

/// Guards against a read of a day of renewals before the first claim.
#[test]
fn test_duty_lease_long_topic() {
    let mut lease = candidate(1);
    let renewal = record(2, LeaseRecordKind::Renew, 1).to_bytes();
    let tail = LogTail::Records {
        records: vec![renewal; 5_000],
        next: offset(5_000),
    };
    let end = Some(offset(80_000));
    lease.receive_tail(at(0), StoreEra::ZERO, offset(0), &tail, end);
    let LeaseStep::Read { from, wait } = lease.next_step(at(10)) else {
        panic!("no read");
    };
    assert!(from > offset(79_900), "{from}");
    assert_eq!(wait, Duration::ZERO);
}

/// Guards against a candidate or a holder that calls the store all the time:
/// each call has a cost.
#[test]
fn test_duty_lease_store_calls() {
    let mut simulation = LeaseSimulation::new(3, 14);
    simulation.run(2 * LEASE_MS);
    let before = simulation.store_calls();
    simulation.run(20 * LEASE_MS);
    let calls = simulation.store_calls() - before;
    // One renewal in a third of a lease, and one read of each of two candidates
    // in half a lease.
    assert!(calls <= 20 * (3 + 2 * 2), "{calls}");
}

/// Guards against store calls of instances that are neither a candidate nor the
/// holder.
#[test]
fn test_duty_lease_other_instances() {
    let mut lease = DutyLease::new(owner(1), LeaseTiming::new(LEASE));
    let step = lease.next_step(at(0));
    assert!(matches!(step, LeaseStep::Wait(_)), "{step:?}");
}

/// Guards against calls beyond those that the service accepts in any second.
#[rstest]
#[case::several(20.0)]
#[case::fraction(2.5)]
#[case::seldom(0.5)]
fn test_duty_call_limit(#[case] per_s: f64) {
    let mut limit = DutyCallLimit::default();
    let mut taken = Vec::new();
    for millis in 0..20_000_u64 {
        let now = Timestamp::new(millis * 1_000);
        match limit.take(now, Some(per_s)) {
            Ok(()) => taken.push(millis),
            Err(retry_after) => {
                let at = now.after(retry_after);
                assert_eq!(limit.clone().take(at, Some(per_s)), Ok(()));
            }
        }
    }
    // Within any second, or the time of one call if that is longer.
    let window_ms = (1_000.0 / per_s).max(1_000.0) as u64;
    let calls_max = per_s.floor().max(1.0) as usize;
    for (index, start) in taken.iter().enumerate() {
        let within = taken[index..].iter();
        let within = within.take_while(|at| **at < start + window_ms);
        assert!(within.count() <= calls_max);
    }
    assert!(taken.len() as f64 > 20.0 * per_s * 0.7, "{}", taken.len());
}

/// Guards against calls that are withheld if the service states no limit.
#[test]
fn test_duty_call_limit_none() {
    let mut limit = DutyCallLimit::default();
    for _ in 0..1_000 {
        assert_eq!(limit.take(Timestamp::ZERO, None), Ok(()));
    }
}

/// Failure: the platform fills in no duties, or not the times of the lease.
/// Guards against an instance that does not start for want of an optional value.
#[rstest]
#[case::absent("", None)]
#[case::null(
    r#""duties": { "address": "127.0.0.1:9", "names": null },"#,
    Some(false)
)]
#[case::unknown(
    r#""duties": { "address": "127.0.0.1:9", "names": ["later"] },"#,
    Some(false)
)]
#[case::metering(
    r#""duties": {
        "address": "127.0.0.1:9", "names": ["later", "metering"],
        "calls_per_s": null, "fenced": null, "lease_ms": null
    },"#,
    Some(true)
)]
fn test_duty_settings_need_only_an_address(
    #[case] duties: &str,
    #[case] includes_metering: Option<bool>,
) {
    let text = SETTINGS.replacen('{', &format!("{{ {duties}"), 1);
    let settings = GatewaySettings::parse(&text).expect("values are optional");
    let duties = settings.duties.map(|it| it.includes(DutyName::Metering));
    assert_eq!(duties, includes_metering);
}
