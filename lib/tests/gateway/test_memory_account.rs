//! Shares of the memory account.

use std::time::Duration;

use borageline_lib::{
    gateway::memory_account::{
        MemoryAccount, MemoryUse, ShareNumber, ShareState,
    },
    units::{ByteSize, Timestamp},
};

const MIB: u64 = 1 << 20;

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

/// An account of 32 MiB, of which long bodies may take 20, and a little more.
fn account() -> MemoryAccount {
    MemoryAccount::new(ByteSize::new(32 * MIB + (64 << 10)))
}

fn request(
    account: &mut MemoryAccount,
    second: u64,
    memory_use: MemoryUse,
    size: u64,
) -> Option<ShareNumber> {
    let size = ByteSize::new(size);
    let deadline = at(second + 15);
    let requested = account.request(at(second), memory_use, size, deadline);
    requested.ok()
}

fn fill_with_bodies(account: &mut MemoryAccount) -> Vec<ShareNumber> {
    (0..5)
        .map(|_| request(account, 0, MemoryUse::Body, 4 * MIB).expect("room"))
        .collect()
}

/// Guards against bodies that take all of the memory: more of them wait, and
/// are refused once as many wait as may be held. Answers and short bodies still
/// find room.
#[test]
fn test_memory_account_holds_bodies_back() {
    let mut account = account();
    let held = fill_with_bodies(&mut account);
    let waiting = fill_with_bodies(&mut account);
    assert_eq!(request(&mut account, 0, MemoryUse::Body, 4 * MIB), None);
    let short = request(&mut account, 0, MemoryUse::Body, 1 << 10);
    let answer = request(&mut account, 0, MemoryUse::Answer, 11 * MIB);
    for number in held.iter().chain(&short).chain(&answer) {
        assert_eq!(account.state(*number), ShareState::Granted);
    }
    account.release(at(1), held[3]);
    assert_eq!(account.state(waiting[0]), ShareState::Granted);
    assert_eq!(account.state(waiting[1]), ShareState::Waiting);
    for number in held.into_iter().chain(waiting).chain(short).chain(answer) {
        account.release(at(1), number);
    }
    assert_eq!(account.used(), ByteSize::new(0));
}

/// Guards against senders that trickle and hold the memory until their
/// deadline, and against slow ones that are cut off while there is room.
#[test]
fn test_memory_account_revokes_slowest_body() {
    let mut account = account();
    let held = fill_with_bodies(&mut account);
    // Half a MiB a second is twice the pace needed.
    let rates = [MIB / 2, 1, 0, MIB / 2, MIB / 2];
    for second in 1..4 {
        for (number, rate) in held.iter().zip(rates) {
            let received = ByteSize::new(rate * second);
            account.record_received(at(second), *number, received);
        }
        account.settle(at(second));
    }
    let states = |account: &MemoryAccount| -> Vec<_> {
        held.iter().map(|number| account.state(*number)).collect()
    };
    assert_eq!(states(&account), [ShareState::Granted; 5]);
    let waiting = request(&mut account, 3, MemoryUse::Body, 4 * MIB);
    let waiting = waiting.expect("it may wait");
    let mut expected = [ShareState::Granted; 5];
    expected[2] = ShareState::Revoked;
    assert_eq!(states(&account), expected);
    assert_eq!(account.take_changed().last(), Some(&held[2]));
    assert_eq!(account.state(waiting), ShareState::Waiting);
    account.release(at(3), held[2]);
    assert_eq!(account.state(waiting), ShareState::Granted);
}

/// Guards against a body that is complete and loses its share, or keeps what it
/// does not need.
#[test]
fn test_memory_account_keeps_complete_body() {
    let mut account = account();
    let held = fill_with_bodies(&mut account);
    account.complete(at(0), held[0], ByteSize::new(2 * MIB));
    for number in &held[1..] {
        account.complete(at(0), *number, ByteSize::new(4 * MIB));
    }
    assert_eq!(account.used(), ByteSize::new(18 * MIB));
    let waiting = request(&mut account, 9, MemoryUse::Body, 4 * MIB);
    account.settle(at(12));
    assert_eq!(account.state(held[0]), ShareState::Granted);
    let waiting = waiting.expect("it may wait");
    assert_eq!(account.state(waiting), ShareState::Waiting);
    // Answers may fill the account, and bodies wait for them.
    let answer = request(&mut account, 12, MemoryUse::Answer, 14 * MIB);
    let answer = answer.expect("room");
    assert_eq!(account.state(answer), ShareState::Granted);
    account.release(at(13), held[0]);
    assert_eq!(account.state(waiting), ShareState::Waiting);
    account.release(at(14), answer);
    assert_eq!(account.state(waiting), ShareState::Granted);
}

/// Guards against a body of unknown length that grows past the account.
#[test]
fn test_memory_account_grows_share() {
    let mut account = account();
    let held = fill_with_bodies(&mut account);
    let grown = request(&mut account, 0, MemoryUse::Body, 1 << 10);
    let grown = grown.expect("room");
    let larger = account.grow(at(0), grown, ByteSize::new(MIB));
    larger.expect("it may wait");
    assert_eq!(account.state(grown), ShareState::Waiting);
    account.release(at(1), held[0]);
    assert_eq!(account.state(grown), ShareState::Granted);
    assert_eq!(account.used(), ByteSize::new(17 * MIB));
}
