//! Follows the topics of the platform's store.
//!
//! Each topic is read once in full and then from its last offset on, either
//! from the store or from the instance that reads for the failure domain
//! ([`ReadSource`]). If the store has dropped records that were not read yet,
//! the topic is read in full again.
//!
//! If the store was restored from an earlier copy, its offsets start from that
//! copy's end, and what was written since the copy is written again after a
//! while. So the topic is then read in full twice: at once, and when the
//! restored records are complete.

use std::{net::IpAddr, time::Duration};

use borageline_lib::{
    gateway::{
        reader_selection::{ReadSchedule, ReadSource},
        store_era::{EraChange, StoreEra, TopicPosition},
        topic_copy::CopyResponse,
        wire::{GatewayWire, KeyedRecord, NewestPage, StoreTopic, TailPage},
    },
    log_event::LogEvent,
    units::{ByteSize, LogOffset, Timestamp},
};
use bytes::Bytes;
use http::{Request, StatusCode};
use tokio::sync::watch;

use super::{
    SharedGateway,
    peer_copies::{self, CopyQuery},
    record_applier::RecordApplier,
    store_client::{
        ReadError, STORE_TIMEOUT, StoreResponse, call_store, observe_era,
    },
};
use crate::log_decision;

/// Pause after the first failed call; it doubles with each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Longest pause after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(600);
/// Most pages of one full read, which bounds the read of a store that keeps
/// returning further pages.
const PAGES_MAX: usize = 200;

/// Most memory for the records of one topic. Those of 10,000 upstreams take 5
/// MB.
const TOPIC_MAX_BYTES: usize = 16 << 20;
/// Memory of a record in addition to its key and value: two allocations and
/// their owners.
const RECORD_OVERHEAD_BYTES: usize = 96;

/// Instances whose copies are read after the first read from the store: one of them
/// may have started at the same time and know no more.
const COMPARED_COPIES: usize = 3;
/// Time for which a starting instance looks for such copies. Instances learn of each
/// other within a few heartbeats; one that finds none is alone.
const COMPARE_TIME: Duration = Duration::from_secs(10);
/// Pause between two attempts to read one.
const COMPARE_PAUSE: Duration = Duration::from_millis(200);

/// Starts to follow the topics.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    let control = TopicReader::new(context.clone(), StoreTopic::Control);
    tokio::spawn(control.run());
    let upstreams = TopicReader::new(context.clone(), StoreTopic::Upstreams);
    tokio::spawn(upstreams.run());
    tokio::spawn(compare_copies(context.clone()));
}

/// Applies the desired state of other instances if it is newer than the one that
/// this instance has read at its start. The store may have carried out the write
/// of an older one after that, and then lists only the older one.
async fn compare_copies<W: GatewayWire>(context: SharedGateway<W>) {
    let applier = RecordApplier::new(context.clone(), StoreTopic::Control);
    // A copy may be of any age, so the store is read first.
    while context.core().config().is_none() {
        tokio::time::sleep(COMPARE_PAUSE).await;
    }
    let started_at = context.now();
    let mut compared = Vec::new();
    while compared.len() < COMPARED_COPIES
        && context.now().since(started_at) < COMPARE_TIME
    {
        tokio::time::sleep(COMPARE_PAUSE).await;
        let now = context.now();
        let peer = context.core().random_serving_peer(now);
        let Some(ip) = peer.filter(|ip| !compared.contains(ip)) else {
            continue;
        };
        let query = CopyQuery {
            topic: StoreTopic::Control,
            from: None,
            wait: Duration::ZERO,
        };
        let copy = peer_copies::fetch(&context, ip, query, STORE_TIMEOUT);
        if let Ok(copy) = copy.await {
            applier.apply_config(&copy.records);
            compared.push(ip);
        }
    }
}

/// Follows one topic and applies its records.
struct TopicReader<W> {
    context: SharedGateway<W>,
    topic: StoreTopic,
    applier: RecordApplier<W>,
    /// Position of the next record to read; `None` before the first read.
    position: Option<TopicPosition>,
    /// When the topic is to be read in full again.
    reread_at: Option<Timestamp>,
    /// Notifies of a restored store.
    eras: watch::Receiver<Option<StoreEra>>,
    /// Source of the last read.
    source: Option<ReadSource>,
    /// Start of the current outage; `None` if the last read succeeded.
    failed_since: Option<Timestamp>,
    /// Failed calls since the last successful one.
    failures: u32,
}

impl<W: GatewayWire> TopicReader<W> {
    fn new(context: SharedGateway<W>, topic: StoreTopic) -> Self {
        Self {
            applier: RecordApplier::new(context.clone(), topic),
            eras: context.store_eras.subscribe(),
            context,
            topic,
            position: None,
            reread_at: None,
            source: None,
            failed_since: None,
            failures: 0,
        }
    }

    /// Reads the topic until the process ends.
    async fn run(mut self) {
        loop {
            let started_at = self.context.now();
            let bounds = self.context.settings().bounds;
            let source = self.select_source();
            let schedule = ReadSchedule::new(self.topic, &bounds, source);
            let mut from = "store";
            let result = match source {
                ReadSource::Store { .. } => {
                    self.read_store(schedule.long_poll).await
                }
                ReadSource::Peer(ip) => {
                    match self.read_copy(ip, schedule).await {
                        Ok(()) => {
                            from = "copy";
                            Ok(())
                        }
                        Err(reason) => {
                            self.reject_copy(ip, &reason);
                            self.read_store(Duration::ZERO).await
                        }
                    }
                }
            };
            let pause = match result {
                Ok(()) => {
                    self.record_answer(from);
                    let elapsed = self.context.now().since(started_at);
                    schedule.interval.saturating_sub(elapsed)
                }
                Err(error) => {
                    let pause = self.record_failure(&error);
                    if self.position.is_none() {
                        self.bootstrap_from_copy().await;
                    }
                    pause
                }
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.wait_for_restore(), if self.failures == 0 => {}
            }
        }
    }

    /// Resolves when the store is restored after the last read.
    async fn wait_for_restore(&mut self) {
        let is_outdated = |era: &Option<StoreEra>| {
            self.position.is_some_and(|position| position.era < *era)
        };
        if self.eras.wait_for(is_outdated).await.is_err() {
            std::future::pending().await
        }
    }

    fn select_source(&mut self) -> ReadSource {
        let now = self.context.now();
        let source = match self.position {
            // A copy may be of any age, so the first read goes to the store.
            None => ReadSource::Store { shared: false },
            Some(_) => self.context.core().read_source(now),
        };
        if self.source != Some(source) {
            self.source = Some(source);
            log_decision!(
                LogEvent::ReadSourceChanged,
                {
                    topic = self.topic,
                    source = format_args!("{source:?}"),
                },
                "read source of the topic changed",
            );
        }
        source
    }

    fn reject_copy(&self, ip: IpAddr, reason: &str) {
        let now = self.context.now();
        self.context.core().exclude_reader(now, ip);
        log_decision!(
            LogEvent::CopyRejected,
            { topic = self.topic, peer = ip },
            "{reason}",
        );
    }

    /// Records a successful read from the store or a copy, and logs the end of
    /// an outage.
    fn record_answer(&mut self, from: &str) {
        self.failures = 0;
        let Some(since) = self.failed_since.take() else {
            return;
        };
        let now = self.context.now();
        log_decision!(
            LogEvent::StoreRegained,
            {
                topic = self.topic,
                from = from,
                away_ms = now.since(since).as_millis(),
            },
            "reads of the topic succeed again",
        );
    }

    /// Records a failed call, and returns the pause before the next one.
    fn record_failure(&mut self, error: &ReadError) -> Duration {
        let now = self.context.now();
        if self.failed_since.is_none() {
            self.failed_since = Some(now);
            log_decision!(
                LogEvent::StoreLost,
                { topic = self.topic },
                "{error}",
            );
        }
        let pause = RETRY_DELAY_MIN.saturating_mul(1 << self.failures.min(4));
        self.failures += 1;
        pause.min(RETRY_DELAY_MAX)
    }

    /// Records the first response of the store after an outage, before its
    /// records are applied.
    fn record_recovery(&self) {
        if self.failed_since.is_some() {
            let now = self.context.now();
            let mut core = self.context.core();
            core.store_recovered(now);
            core.topic_copy(self.topic).store_recovered(now);
        }
    }

    /// Reads another instance's copy. The error is the reason why the copy
    /// cannot be used.
    async fn read_copy(
        &mut self,
        ip: IpAddr,
        schedule: ReadSchedule,
    ) -> Result<(), String> {
        let started_at = self.context.now();
        let query = CopyQuery {
            topic: self.topic,
            from: self.read_position(started_at),
            wait: schedule.long_poll,
        };
        let timeout = schedule.long_poll + schedule.peer_timeout;
        let copy = peer_copies::fetch(&self.context, ip, query, timeout)
            .await
            .map_err(|error| error.to_string())?;
        match copy.age() {
            Some(age) if age <= schedule.copy_age_max => {}
            Some(age) => return Err(format!("the copy is {age:?} old")),
            None => return Err("the copy's age is unknown".into()),
        }
        self.check_era(&copy)?;
        self.apply_copy(started_at, schedule.long_poll, &copy);
        Ok(())
    }

    /// Position from which to read; `None` to read the topic in full.
    fn read_position(&self, now: Timestamp) -> Option<TopicPosition> {
        let is_due = self.reread_at.is_some_and(|at| at <= now);
        self.position.filter(|_| !is_due)
    }

    /// Checks that a copy was read after the last known restore of the store.
    fn check_era(&self, copy: &CopyResponse) -> Result<(), String> {
        let known = self.context.core().store_era();
        match observe_era(&self.context, copy.era) {
            EraChange::Outdated => {
                Err("the copy is from before the store's restore".into())
            }
            _ if copy.era.is_none() && known.is_some() => {
                Err("the copy states no era".into())
            }
            _ => Ok(()),
        }
    }

    /// Reads a random instance's copy, whatever its age, since the store is
    /// unavailable and this instance has no records yet.
    async fn bootstrap_from_copy(&mut self) {
        let started_at = self.context.now();
        let Some(ip) = self.context.core().random_serving_peer(started_at)
        else {
            return;
        };
        let query = CopyQuery {
            topic: self.topic,
            from: None,
            wait: Duration::ZERO,
        };
        match peer_copies::fetch(&self.context, ip, query, STORE_TIMEOUT).await
        {
            Ok(copy) => {
                if let Err(reason) = self.check_era(&copy) {
                    self.reject_copy(ip, &reason);
                    return;
                }
                log_decision!(
                    LogEvent::TopicReread,
                    {
                        topic = self.topic,
                        peer = ip,
                        age_ms = format_args!("{:?}", copy.age_ms),
                    },
                    "store unavailable; using another instance's copy",
                );
                self.apply_copy(started_at, Duration::ZERO, &copy);
            }
            Err(error) => self.reject_copy(ip, &error.to_string()),
        }
    }

    /// Applies another instance's copy. `wait` is the longest time for which
    /// that instance may have delayed the response.
    fn apply_copy(
        &mut self,
        started_at: Timestamp,
        wait: Duration,
        copy: &CopyResponse,
    ) {
        let now = self.context.now();
        let responded_at = started_at.after(wait.min(now.since(started_at)));
        let read_at = copy.age().and_then(|age| responded_at.before(age));
        {
            let mut core = self.context.core();
            // Another instance may have seen an outage of the store that this
            // one did not notice.
            let recovered = copy.recovered_ms.map(Duration::from_millis);
            if let Some(at) = recovered.and_then(|ago| now.before(ago)) {
                core.store_recovered(at);
                core.topic_copy(self.topic).store_recovered(at);
            }
        }
        if copy.is_snapshot {
            self.replace(read_at, &copy.records, copy.position());
        } else {
            self.extend(read_at, &copy.records, copy.next);
        }
    }

    fn replace(
        &mut self,
        read_at: Option<Timestamp>,
        records: &[KeyedRecord],
        position: TopicPosition,
    ) {
        self.applier.replace(records);
        let now = self.context.now();
        let mut core = self.context.core();
        // Also reads again what was read just before the records were complete.
        self.reread_at = core.restored_until().filter(|until| now < *until);
        self.position = Some(position);
        core.topic_copy(self.topic)
            .replace(read_at, records, position);
        drop(core);
        self.context.notify_copy_readers(self.topic);
    }

    fn extend(
        &mut self,
        read_at: Option<Timestamp>,
        records: &[KeyedRecord],
        next: LogOffset,
    ) {
        self.applier.apply(records);
        if let Some(position) = &mut self.position {
            position.next = next;
        }
        let mut core = self.context.core();
        core.topic_copy(self.topic).extend(read_at, records, next);
        drop(core);
        self.context.notify_copy_readers(self.topic);
    }

    async fn read_store(&mut self, wait: Duration) -> Result<(), ReadError> {
        match self.read_position(self.context.now()) {
            None => self.read_all().await,
            Some(from) => self.read_tail(from, wait).await,
        }
    }

    async fn read_tail(
        &mut self,
        from: TopicPosition,
        wait: Duration,
    ) -> Result<(), ReadError> {
        let started_at = self.context.now();
        let request = self.context.wire.tail(self.topic, from.next, wait);
        let StoreResponse { status, body, era } =
            call_store(&self.context, request, wait + STORE_TIMEOUT).await?;
        if status != StatusCode::OK && status != StatusCode::GONE {
            return Err(ReadError::Status(status));
        }
        if era != from.era {
            self.log_reread(from, "the store was restored");
            return self.read_all().await;
        }
        let page = self
            .context
            .wire
            .read_tail(from.next, status, &body)
            .map_err(ReadError::Malformed)?;
        match page {
            TailPage::Records { records, next } => {
                self.record_recovery();
                let elapsed = self.context.now().since(started_at);
                let read_at = started_at.after(elapsed.min(wait));
                self.extend(Some(read_at), &records, next);
                Ok(())
            }
            TailPage::Gap => {
                self.log_reread(
                    from,
                    "the store dropped records before they were read",
                );
                self.read_all().await
            }
        }
    }

    fn log_reread(&self, from: TopicPosition, text: &str) {
        log_decision!(
            LogEvent::TopicReread,
            { topic = self.topic, from = from.next },
            "{text}",
        );
    }

    /// Reads the newest record of each key.
    async fn read_all(&mut self) -> Result<(), ReadError> {
        let started_at = self.context.now();
        let (mut records, mut size) = (Vec::new(), 0);
        let mut start = None;
        for _ in 0..PAGES_MAX {
            let after = records.last().map(|record: &KeyedRecord| &*record.key);
            let request = self.context.wire.newest(self.topic, after);
            let (page, era) = self.newest_page(request).await?;
            // The pages are no consistent snapshot. Records that were written
            // after the first page are read again from its end offset on.
            let first: &TopicPosition =
                start.get_or_insert(TopicPosition::new(era, page.end));
            if first.era != era {
                return Err(ReadError::Restored);
            }
            let more = page.more && !page.records.is_empty();
            size += page.records.iter().map(record_size).sum::<usize>();
            if size > TOPIC_MAX_BYTES {
                let limit = ByteSize::new(TOPIC_MAX_BYTES as u64);
                return Err(ReadError::TooLarge(limit));
            }
            records.extend(page.records);
            if !more {
                break;
            }
        }
        self.record_recovery();
        if let Some(position) = start {
            self.replace(Some(started_at), &records, position);
        }
        Ok(())
    }

    async fn newest_page(
        &self,
        request: Request<Bytes>,
    ) -> Result<(NewestPage, Option<StoreEra>), ReadError> {
        let StoreResponse { status, body, era } =
            call_store(&self.context, request, STORE_TIMEOUT).await?;
        if status != StatusCode::OK {
            return Err(ReadError::Status(status));
        }
        let page = self.context.wire.read_newest(&body);
        page.map(|page| (page, era)).map_err(ReadError::Malformed)
    }
}

/// Memory that a record takes, in bytes.
fn record_size(record: &KeyedRecord) -> usize {
    let value = record.value.as_ref().map_or(0, Bytes::len);
    RECORD_OVERHEAD_BYTES + record.key.len() + value
}
