//! Conclusions on upstreams that broke off a request.

use borageline_lib::gateway::crash_confirmation::{
    ConnectionView, CrashConfirmation, CrashFindings, CrashVerdict, LifeSign,
    PeerView, ROUNDS_MAX,
};
use rstest::rstest;

fn refused(peers: &[PeerView], others: &[bool]) -> CrashFindings {
    CrashFindings {
        peers: peers.to_vec(),
        others: others.to_vec(),
        ..CrashFindings::new(ConnectionView::Refused)
    }
}

/// Guards against lost links that are taken for a crash, and against a crash
/// that is overlooked, where one look suffices.
#[rstest]
#[case::open(
    CrashFindings::new(ConnectionView::Accepted),
    CrashVerdict::NotCrashed(LifeSign::AcceptedHere)
)]
#[case::silent(
    CrashFindings::new(ConnectionView::Silent),
    CrashVerdict::NotCrashed(LifeSign::SilentHere)
)]
#[case::one_peer_reaches_it(
    refused(&[PeerView::Refuses, PeerView::Accepts], &[]),
    CrashVerdict::NotCrashed(LifeSign::AcceptedElsewhere)
)]
#[case::sound_peer_agrees(
    refused(&[PeerView::RefusesLikeOthers, PeerView::Refuses], &[]),
    CrashVerdict::Crashed
)]
#[case::own_links_are_sound(refused(&[], &[false, true]), CrashVerdict::Crashed)]
fn test_crash_confirmation_one_look(
    #[case] findings: CrashFindings,
    #[case] verdict: CrashVerdict,
) {
    assert_eq!(CrashConfirmation::default().judge(&findings), verdict);
}

/// Guards against a conclusion from instances that may all be cut off, and
/// against a crash of all upstreams that is never confirmed.
#[rstest]
#[case::nobody_knows(refused(&[], &[false, false]))]
#[case::no_other_upstream(refused(&[], &[]))]
#[case::peers_reach_none(refused(&[PeerView::RefusesLikeOthers; 3], &[]))]
fn test_crash_confirmation_last_look_decides(#[case] findings: CrashFindings) {
    let mut confirmation = CrashConfirmation::default();
    for _ in 1..ROUNDS_MAX {
        assert_eq!(confirmation.judge(&findings), CrashVerdict::Undecided);
    }
    assert_eq!(confirmation.judge(&findings), CrashVerdict::Crashed);
}

/// Guards against an instance that is cut off together with those that it asks
/// first, and takes upstreams for crashed that a later one reaches.
#[test]
fn test_crash_confirmation_later_answer_counts() {
    let mut confirmation = CrashConfirmation::default();
    let cut = refused(&[PeerView::RefusesLikeOthers; 3], &[]);
    assert_eq!(confirmation.judge(&cut), CrashVerdict::Undecided);
    let sound = refused(&[PeerView::Accepts], &[]);
    let alive = CrashVerdict::NotCrashed(LifeSign::AcceptedElsewhere);
    assert_eq!(confirmation.judge(&sound), alive);
}

/// Guards against a listener that closes after the connections, and against an
/// upstream with too many connections, which closes new ones at once.
#[rstest]
#[case::closes(ConnectionView::Refused, CrashVerdict::Crashed)]
#[case::is_full(
    ConnectionView::Dropped,
    CrashVerdict::NotCrashed(LifeSign::AcceptedHere)
)]
fn test_crash_confirmation_closed_at_once(
    #[case] later: ConnectionView,
    #[case] verdict: CrashVerdict,
) {
    let mut confirmation = CrashConfirmation::default();
    let dropped = CrashFindings::new(ConnectionView::Dropped);
    for _ in 1..ROUNDS_MAX {
        assert_eq!(confirmation.judge(&dropped), CrashVerdict::Undecided);
    }
    let last = CrashFindings {
        others: vec![true],
        ..CrashFindings::new(later)
    };
    assert_eq!(confirmation.judge(&last), verdict);
}
