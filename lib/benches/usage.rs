//! Time and memory of the usage counts on the instance that reports them.
//!
//! The fleet has 950 instances; 16,000 workspaces have 20 begins in each window,
//! or 4,000 begins of 1,000 workspaces.

use std::fs;

use borageline_lib::{
    gateway::{
        fleet_clock::WallTime,
        usage_counts::{
            UsageCounts, UsageSender, UsageTable, WINDOWS_MAX, WindowNumber,
        },
    },
    units::{ByteSize, Incarnation},
};
use divan::Bencher;

const INSTANCES: u64 = 950;
const LIMIT: ByteSize = ByteSize::new(64 << 20);
/// Entries of 16,000 workspaces in a datagram of 1,200 B.
const ENTRIES_MAX: usize = 46;

fn main() {
    let before = resident_bytes();
    let mut table = UsageTable::new(LIMIT);
    for window in 0..WINDOWS_MAX as u64 {
        for datagram in datagrams(window, 16_000, 320_000) {
            table.receive(WindowNumber::new(window), &datagram);
        }
    }
    println!(
        "16,000 workspaces, 320,000 begins in each of {WINDOWS_MAX} windows: \
         {} B estimated, {} B resident",
        table.held_bytes().get(),
        resident_bytes().saturating_sub(before),
    );
    drop(table);
    divan::main();
}

/// Resident memory of the process.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}

/// Datagrams of all instances in one window, which is not closed.
fn datagrams(window: u64, workspaces: u64, begins: u64) -> Vec<UsageCounts> {
    let mut datagrams = Vec::new();
    for instance in 0..INSTANCES {
        let own = (0..begins / INSTANCES).map(|begin| {
            let workspace = (begin * 7_919 + instance * 104_729) % workspaces;
            (format!("workspace{workspace}").into(), 1)
        });
        let own: Vec<_> = own.collect();
        for entries in own.chunks(ENTRIES_MAX) {
            datagrams.push(UsageCounts {
                sender: UsageSender {
                    ip: std::net::Ipv4Addr::from(instance as u32).into(),
                    incarnation: Incarnation::new(1),
                },
                wall: WallTime::ZERO,
                window: WindowNumber::new(window),
                entries: entries.to_vec(),
                closed_total: None,
            });
        }
    }
    datagrams
}

/// Merges the datagrams of one window.
#[divan::bench(args = [(1_000, 4_000), (16_000, 320_000)])]
fn receive_window(bencher: Bencher, (workspaces, begins): (u64, u64)) {
    let datagrams = datagrams(0, workspaces, begins);
    println!("{} datagrams", datagrams.len());
    bencher
        .with_inputs(|| UsageTable::new(LIMIT))
        .bench_local_values(|mut table| {
            for datagram in &datagrams {
                table.receive(WindowNumber::ZERO, datagram);
            }
            table
        });
}

/// Collects the counts of a report.
#[divan::bench(args = [(1_000, 4_000), (16_000, 320_000)])]
fn collect_report(bencher: Bencher, (workspaces, begins): (u64, u64)) {
    let mut table = UsageTable::new(LIMIT);
    for datagram in datagrams(0, workspaces, begins) {
        table.receive(WindowNumber::ZERO, &datagram);
    }
    bencher.bench_local(|| table.counts(WindowNumber::ZERO));
}
