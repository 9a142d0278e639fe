//! Tests of the addresses that test processes have to themselves.

use std::{
    net::TcpListener,
    process::{Command, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use borageline_testutils::loopback::{LoopbackHost, new_address};

/// Guards against an address that cannot be bound because a child process that
/// is being started still holds a copy of a listener at it.
#[test]
fn test_loopback_addresses_can_be_bound_while_processes_start() {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    let mut command = Command::new("true");
                    command.stdin(Stdio::null()).stdout(Stdio::null());
                    command.status().expect("the command runs");
                }
            });
        }
        let until = Instant::now() + Duration::from_secs(1);
        let mut failed = Vec::new();
        for _ in 0..10_000 {
            if Instant::now() > until {
                break;
            }
            failed.extend(TcpListener::bind(new_address()).err());
        }
        done.store(true, Ordering::Relaxed);
        assert!(failed.is_empty(), "{failed:?}");
    });
}

/// Guards against an address that is given to two users.
#[test]
fn test_loopback_hosts_differ() {
    let claim = || LoopbackHost::claim().expect("loopback can be bound");
    let [first, second] = [claim(), claim()];
    assert_ne!(first.ip(), second.ip());
    assert_ne!(first.new_address(), first.new_address());
    let dropped = first.ip();
    drop(first);
    assert_ne!(claim().ip(), dropped);
}
