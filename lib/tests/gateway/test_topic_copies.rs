//! Local copies of the store's topics, and the selection of the reader.

use std::net::IpAddr;

use borageline_lib::{
    gateway::{
        reader_selection::{
            READER_EXCLUSION, ReadSchedule, ReadSource, ReaderSelector,
        },
        store_era::{StoreEra, TopicPosition},
        topic_copy::TopicCopy,
        wire::{KeyedRecord, StoreTopic},
    },
    units::LogOffset,
};
use rstest::rstest;

use crate::fixtures::{at, core, heartbeat, ms, settings};

fn record(key: &str, value: &str) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: (!value.is_empty()).then(|| value.as_bytes().to_vec().into()),
    }
}

fn offset(value: u64) -> LogOffset {
    LogOffset::new(value)
}

fn position(era: u64, next: u64) -> TopicPosition {
    TopicPosition::new(Some(StoreEra::new(era)), offset(next))
}

fn machine(last: u8) -> IpAddr {
    [10, 1, 0, last].into()
}

/// Copy with a snapshot that ends at offset 10, and two later reads.
fn topic_copy() -> TopicCopy {
    let mut topic_copy = TopicCopy::default();
    let all = [record("a", "1"), record("b", "1")];
    topic_copy.replace(Some(at(100)), &all, position(1, 10));
    topic_copy.extend(Some(at(200)), &[record("a", "2")], offset(11));
    let removal = [record("b", ""), record("c", "1")];
    topic_copy.extend(Some(at(300)), &removal, offset(13));
    topic_copy
}

/// Guards against a reader that misses records or receives them out of order.
#[rstest]
#[case::all(None, true, &["a=2", "c=1"])]
#[case::dropped(Some(9), true, &["a=2", "c=1"])]
#[case::first(Some(10), false, &["a=2", "b=", "c=1"])]
#[case::inside(Some(12), false, &["b=", "c=1"])]
#[case::end(Some(13), false, &[])]
fn test_copy_is_read_from_offset(
    #[case] from: Option<u64>,
    #[case] whole: bool,
    #[case] expected: &[&str],
) {
    let copy = topic_copy()
        .read(at(350), from.map(|next| position(1, next)))
        .expect("was read");
    let records: Vec<_> = copy
        .records
        .iter()
        .map(|it| {
            let value = it.value.as_deref().unwrap_or_default();
            format!("{}={}", it.key, String::from_utf8_lossy(value))
        })
        .collect();
    assert_eq!(records, expected);
    assert_eq!((copy.is_snapshot, copy.next), (whole, offset(13)));
    assert_eq!(copy.age(), Some(ms(50)));
}

/// Guards against an instance that is set back because the copy it reads is
/// older than its own state.
#[test]
fn test_copy_behind_its_reader_returns_no_records() {
    let copy = topic_copy()
        .read(at(350), Some(position(1, 20)))
        .expect("was read");
    assert_eq!((copy.records.len(), copy.next), (0, offset(20)));
    assert_eq!(TopicCopy::default().read(at(350), None), None);
}

/// Guards against copies that grow without bound.
#[test]
fn test_copy_drops_old_records() {
    let mut topic_copy = topic_copy();
    let large = "x".repeat(300 << 10);
    for next in 14..20 {
        let records = [record("large", &large)];
        topic_copy.extend(Some(at(400)), &records, offset(next));
    }
    let late = topic_copy
        .read(at(400), Some(position(1, 13)))
        .expect("was read");
    assert_eq!((late.is_snapshot, late.records.len()), (true, 3));
    let near = topic_copy
        .read(at(400), Some(position(1, 18)))
        .expect("was read");
    assert_eq!((near.is_snapshot, near.records.len()), (false, 1));
}

/// Guards against a copy of unknown age that is taken as recent.
#[test]
fn test_copy_without_read_time_has_no_age() {
    let mut topic_copy = TopicCopy::default();
    topic_copy.replace(None, &[record("a", "1")], position(1, 1));
    let copy = topic_copy.read(at(5_000), None).expect("was read");
    assert_eq!(copy.age(), None);
}

/// Guards against a fleet in which every instance calls the store, and against
/// one in which none does.
#[rstest]
#[case::few(2, 3, ReadSource::Store { shared: false })]
#[case::reader(1, 4, ReadSource::Store { shared: true })]
#[case::other(3, 4, ReadSource::Peer(machine(1)))]
fn test_reader_selection_chooses_one(
    #[case] own: u8,
    #[case] instances: u8,
    #[case] expected: ReadSource,
) {
    let others: Vec<_> = (1..=instances)
        .filter(|it| *it != own)
        .map(machine)
        .collect();
    let source = ReaderSelector::default().source(at(0), machine(own), &others);
    assert_eq!(source, expected);
}

/// Guards against instances that keep reading from a reader that failed.
#[test]
fn test_reader_selection_skips_failed_readers() {
    let others = [1, 2, 4].map(machine);
    let mut selector = ReaderSelector::default();
    selector.exclude_reader(at(0), machine(1));
    let source = |selector: &ReaderSelector, now| {
        selector.source(now, machine(3), &others)
    };
    let second = ReadSource::Peer(machine(2));
    assert_eq!(source(&selector, at(10)), second);
    selector.exclude_reader(at(20), machine(2));
    let own = ReadSource::Store { shared: true };
    assert_eq!(source(&selector, at(30)), own);
    let later = at(0).after(READER_EXCLUSION);
    let first = ReadSource::Peer(machine(1));
    assert_eq!(source(&selector, later), first);
}

/// Guards against a failed reader that makes the others miss their bounds: the
/// record is written just after the last good copy, and the next reads fail.
#[rstest]
#[case::upstreams(StoreTopic::Upstreams, 2_000)]
#[case::control(StoreTopic::Control, 2_000)]
fn test_read_schedule_leaves_time_after_failed_reader(
    #[case] topic: StoreTopic,
    #[case] bound: u64,
) {
    let bounds = settings().bounds;
    let schedule =
        ReadSchedule::new(topic, &bounds, ReadSource::Peer(machine(1)));
    // Worst case: a copy of the largest accepted age, an interval, and a read
    // that is not answered. The rest of the bound is left for reading the
    // store.
    let worst = schedule.copy_age_max
        + schedule.interval
        + schedule.long_poll
        + schedule.peer_timeout;
    assert!(worst < ms(bound * 9 / 10), "{worst:?}");
}

/// Guards against instances that read from a stopping one until it is gone,
/// and against readers in another failure domain.
#[test]
fn test_reader_selection_skips_stopping_instances() {
    let mut core = core(1);
    let mut far = heartbeat("far", [127, 0, 0, 9]);
    far.domain = "domain-b".parse().expect("id is valid");
    core.receive_heartbeat(at(0), far, None);
    for last in 2..6 {
        core.receive_heartbeat(
            at(0),
            heartbeat(&format!("near-{last}"), [127, 0, 0, last]),
            None,
        );
    }
    // This instance has the lowest address.
    let own = ReadSource::Store { shared: true };
    assert_eq!(core.read_source(at(10)), own);
    for last in 2..4 {
        let mut leaving = heartbeat(&format!("near-{last}"), [127, 0, 0, last]);
        leaving.serving = false;
        core.receive_heartbeat(at(20), leaving, None);
    }
    let alone = ReadSource::Store { shared: false };
    assert_eq!(core.read_source(at(30)), alone);
}

/// Guards against records that a reader misses since the store has reused the
/// offsets before its own.
#[rstest]
#[case::lower_offset(position(2, 4))]
#[case::same_offset(position(2, 13))]
#[case::higher_offset(position(2, 20))]
fn test_copy_of_restored_store_is_read_as_a_whole(
    #[case] restored: TopicPosition,
) {
    let mut copy = topic_copy();
    copy.replace(Some(at(400)), &[record("a", "3")], restored);
    let reader = Some(position(1, 13));
    assert!(copy.has_news_for(reader));
    let read = copy.read(at(400), reader).expect("was read");
    assert_eq!((read.is_snapshot, read.position()), (true, restored));
    assert_eq!(read.records, [record("a", "3")]);
    assert!(!copy.has_news_for(Some(restored)));
}

/// Guards against an instance of an older build, which states no era, that gets
/// the whole topic with each read and does not wait for new records.
#[test]
fn test_copy_is_read_by_older_build() {
    let copy = topic_copy();
    let end = Some(TopicPosition::new(None, offset(13)));
    assert!(!copy.has_news_for(end));
    let reader = Some(TopicPosition::new(None, offset(11)));
    assert!(copy.has_news_for(reader));
    let read = copy.read(at(350), reader).expect("was read");
    assert!(!read.is_snapshot);
    assert_eq!(read.records, [record("b", ""), record("c", "1")]);
}
