//! Follows the topics of the platform's store.
//!
//! Each topic is read once in full and then by its tail. When records are
//! gone before they were read, or the store was away, it is read in full
//! again.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        upstream_table::{UpstreamChange, UpstreamEntry},
        wire::{
            ControlRecord, GatewayWire, KeyedRecord, NewestPage, StoreTopic,
            TailPage,
        },
    },
    ids::DomainId,
    log_event::LogEvent,
    units::{LogOffset, Timestamp},
};
use bytes::Bytes;
use http::{Request, StatusCode};

use super::{SharedGateway, memory::addressed};
use crate::{
    http_client::{CallTarget, HttpFault, read_whole},
    log_decision, logging,
};

/// Share of the time in which a leaving upstream must be known after which
/// the upstreams are read again, so that one read may fail.
const UPSTREAM_SHARE: f64 = 0.45;
/// Pause between two reads of the desired state while it changes.
const CONTROL_PAUSE: Duration = Duration::from_millis(250);
/// Share of the time in which a desired state must be in force that the store
/// may wait for a change. A store that went silent is noticed after this and
/// [`ANSWER_TIME`].
const CONTROL_SHARE: f64 = 0.75;
/// Time for an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// First pause after a failed call.
const RETRY_FIRST: Duration = Duration::from_millis(150);
/// Longest pause after failed calls.
const RETRY_MAX: Duration = Duration::from_millis(600);
/// Pages of one full read; more would be a store that never ends.
const PAGES_MAX: usize = 200;

/// Starts to follow the topics and makes this instance known.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    let control = TopicReader::new(context.clone(), StoreTopic::Control);
    tokio::spawn(control.follow());
    let upstreams = TopicReader::new(context.clone(), StoreTopic::Upstreams);
    tokio::spawn(upstreams.follow());
    tokio::spawn(introduce(context.clone()));
}

/// Why a call to the store brought nothing.
#[derive(Debug)]
enum ReadFault {
    Call(HttpFault),
    Status(StatusCode),
    Form(borageline_lib::gateway::wire::WireFault),
}

impl std::fmt::Display for ReadFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(fault) => write!(formatter, "{fault}"),
            Self::Status(status) => write!(formatter, "status {status}"),
            Self::Form(fault) => write!(formatter, "{fault}"),
        }
    }
}

/// Calls the store and reads the whole answer.
async fn call<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), ReadFault> {
    let peer = context.settings().store;
    let target = CallTarget {
        step: "store",
        peer,
        timeout,
    };
    let request = addressed(request, peer);
    let called = async {
        let response = context.store.send(target, request).await?;
        let status = response.status();
        let body = read_whole(target, response.into_body()).await?;
        Ok((status, body))
    };
    let answer = called.await;
    context.metrics.count_store_call(answer.is_ok());
    answer.map_err(ReadFault::Call)
}

struct TopicReader<W> {
    context: SharedGateway<W>,
    topic: StoreTopic,
    next: Option<LogOffset>,
    failed_since: Option<Timestamp>,
    failures: u32,
}

impl<W: GatewayWire> TopicReader<W> {
    fn new(context: SharedGateway<W>, topic: StoreTopic) -> Self {
        Self {
            context,
            topic,
            next: None,
            failed_since: None,
            failures: 0,
        }
    }

    async fn follow(mut self) {
        loop {
            let begun = self.context.now();
            let result = match self.next {
                None => self.read_all().await,
                Some(from) => self.read_tail(from).await,
            };
            let pause = match result {
                Ok(()) => {
                    self.note_answered();
                    let used = self.context.now().since(begun);
                    self.pause().saturating_sub(used)
                }
                Err(fault) => self.note_failed(&fault),
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn pause(&self) -> Duration {
        match self.topic {
            StoreTopic::Upstreams => {
                let bounds = self.context.settings().bounds;
                bounds.drain().mul_f64(UPSTREAM_SHARE)
            }
            _ => CONTROL_PAUSE,
        }
    }

    fn note_answered(&mut self) {
        self.failures = 0;
        let Some(since) = self.failed_since.take() else {
            return;
        };
        let now = self.context.now();
        log_decision!(
            LogEvent::StoreRegained,
            {
                topic = format_args!("{:?}", self.topic),
                away_ms = now.since(since).as_millis(),
            },
            "the store answers again",
        );
    }

    fn note_failed(&mut self, fault: &ReadFault) -> Duration {
        let now = self.context.now();
        if self.failed_since.is_none() {
            self.failed_since = Some(now);
            log_decision!(
                LogEvent::StoreLost,
                { topic = format_args!("{:?}", self.topic) },
                "{fault}",
            );
        }
        let pause = RETRY_FIRST.saturating_mul(1 << self.failures.min(4));
        self.failures += 1;
        pause.min(RETRY_MAX)
    }

    async fn read_tail(&mut self, from: LogOffset) -> Result<(), ReadFault> {
        let wait = match self.topic {
            // Reports come all the time; the pause sets the pace.
            StoreTopic::Upstreams => Duration::ZERO,
            _ => {
                let bounds = self.context.settings().bounds;
                bounds.config().mul_f64(CONTROL_SHARE)
            }
        };
        let request = self.context.wire.tail(self.topic, from, wait);
        let (status, body) =
            call(&self.context, request, wait + ANSWER_TIME).await?;
        if status != StatusCode::OK && status != StatusCode::GONE {
            return Err(ReadFault::Status(status));
        }
        let page = self
            .context
            .wire
            .read_tail(from, status, &body)
            .map_err(ReadFault::Form)?;
        match page {
            TailPage::Records { records, next } => {
                if self.failed_since.is_some() {
                    let now = self.context.now();
                    self.context.core().store_returned(now);
                }
                self.apply(&records);
                self.next = Some(next);
                Ok(())
            }
            TailPage::Gap => {
                log_decision!(
                    LogEvent::TopicReread,
                    {
                        topic = format_args!("{:?}", self.topic),
                        from = from,
                    },
                    "records were dropped before they were read",
                );
                self.read_all().await
            }
        }
    }

    /// Reads the newest record of each key.
    async fn read_all(&mut self) -> Result<(), ReadFault> {
        let mut records = Vec::new();
        let mut end = None;
        for _ in 0..PAGES_MAX {
            let after = records.last().map(|record: &KeyedRecord| &*record.key);
            let request = self.context.wire.newest(self.topic, after);
            let page = self.newest_page(request).await?;
            // Pages are no snapshot: what came meanwhile is read again.
            end.get_or_insert(page.end);
            let more = page.more && !page.records.is_empty();
            records.extend(page.records);
            if !more {
                break;
            }
        }
        if self.failed_since.is_some() {
            let now = self.context.now();
            self.context.core().store_returned(now);
        }
        self.replace(&records);
        self.next = end;
        Ok(())
    }

    async fn newest_page(
        &self,
        request: Request<Bytes>,
    ) -> Result<NewestPage, ReadFault> {
        let (status, body) = call(&self.context, request, ANSWER_TIME).await?;
        if status != StatusCode::OK {
            return Err(ReadFault::Status(status));
        }
        self.context
            .wire
            .read_newest(&body)
            .map_err(ReadFault::Form)
    }

    fn replace(&self, records: &[KeyedRecord]) {
        match self.topic {
            StoreTopic::Control => {
                let closed = self.apply_control(records);
                let changes = self.context.core().replace_closed(&closed);
                for (domain, closed) in changes {
                    log_domain(&domain, closed);
                }
            }
            StoreTopic::Upstreams => {
                let mut entries = Vec::<UpstreamEntry>::new();
                for record in records {
                    match self.read_upstream(record) {
                        Some(UpstreamChange::Set(entry)) => {
                            entries.push(entry);
                        }
                        Some(UpstreamChange::Removed(_)) | None => {}
                    }
                }
                let now = self.context.now();
                log_decision!(
                    LogEvent::UpstreamChanged,
                    { upstreams = entries.len() },
                    "the list of upstreams was read in full",
                );
                self.context.core().replace_upstreams(now, entries);
            }
            StoreTopic::Instances => {}
        }
    }

    fn apply(&self, records: &[KeyedRecord]) {
        match self.topic {
            StoreTopic::Control => {
                self.apply_control(records);
            }
            StoreTopic::Upstreams => {
                for record in records {
                    if let Some(change) = self.read_upstream(record) {
                        self.apply_upstream(change);
                    }
                }
            }
            StoreTopic::Instances => {}
        }
    }

    /// Applies records of the operator; returns the domains they close.
    fn apply_control(&self, records: &[KeyedRecord]) -> Vec<DomainId> {
        let mut closed = Vec::new();
        // Only the newest of several desired states counts.
        let mut newest = None;
        for record in records {
            match self.context.wire.read_control(record) {
                Ok(ControlRecord::Config(config)) => newest = Some(config),
                Ok(ControlRecord::CloseDomain(domain)) => {
                    self.set_closed(&domain, true);
                    closed.push(domain);
                }
                Ok(ControlRecord::OpenDomain(domain)) => {
                    self.set_closed(&domain, false);
                }
                Ok(ControlRecord::Other) => {}
                Err(fault) => log_decision!(
                    LogEvent::RecordSkipped,
                    { key = record.key },
                    "{fault}",
                ),
            }
        }
        if let Some(config) = newest {
            let version = config.version;
            let routes = config.route_count();
            if self.context.core().apply_config(*config) {
                let gauge = i64::try_from(version.get()).unwrap_or(i64::MAX);
                self.context.metrics.config_version.set(gauge);
                log_decision!(
                    LogEvent::ConfigurationApplied,
                    { config_version = version, routes = routes },
                    "version {version} is in force",
                );
            }
        }
        closed
    }

    fn set_closed(&self, domain: &DomainId, closed: bool) {
        if self.context.core().set_closed(domain.clone(), closed) {
            log_domain(domain, closed);
        }
    }

    fn read_upstream(&self, record: &KeyedRecord) -> Option<UpstreamChange> {
        match self.context.wire.read_upstream(record) {
            Ok(change) => Some(change),
            Err(fault) => {
                log_decision!(
                    LogEvent::RecordSkipped,
                    { key = record.key },
                    "{fault}",
                );
                // An entry that cannot be read names no upstream to use.
                let id = record.key.parse().ok()?;
                Some(UpstreamChange::Removed(id))
            }
        }
    }

    fn apply_upstream(&self, change: UpstreamChange) {
        let now = self.context.now();
        let mut core = self.context.core();
        let (id, state) = match &change {
            UpstreamChange::Set(entry) => (entry.id.clone(), Some(entry.state)),
            UpstreamChange::Removed(id) => (id.clone(), None),
        };
        let before = core.upstreams().get(&id).map(|row| row.entry.state);
        core.apply_upstream(now, change);
        drop(core);
        if before != state {
            log_decision!(
                LogEvent::UpstreamChanged,
                {
                    upstream = id,
                    before = format_args!("{before:?}"),
                    state = format_args!("{state:?}"),
                },
                "the list's entry of {id} has changed",
            );
        }
    }
}

fn log_domain(domain: &DomainId, closed: bool) {
    log_decision!(
        LogEvent::DomainChanged,
        { domain = domain, closed = closed },
        "the failure domain was {}",
        if closed { "closed" } else { "reopened" },
    );
}

/// Writes this instance's record and reads those of the others.
async fn introduce<W: GatewayWire>(context: SharedGateway<W>) {
    let now = context.now();
    let beat = context.core().beat(now).0;
    let record = context.wire.write_instance(&beat);
    let mut pause = RETRY_FIRST;
    loop {
        let request = context.wire.append(StoreTopic::Instances, &record);
        match call(&context, request, ANSWER_TIME).await {
            Ok((StatusCode::OK, _)) => break,
            Ok((status, _)) => {
                let text = format!("introduction: status {status}");
                logging::event(LogEvent::LogUnavailable, &text);
            }
            Err(fault) => {
                let text = format!("introduction: {fault}");
                logging::event(LogEvent::LogUnavailable, &text);
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX * 4);
    }
    loop {
        let request = context.wire.newest(StoreTopic::Instances, None);
        let page = match call(&context, request, ANSWER_TIME).await {
            Ok((StatusCode::OK, body)) => context.wire.read_newest(&body).ok(),
            _ => None,
        };
        if let Some(page) = page {
            for record in &page.records {
                if let Some(ip) = context.wire.read_instance(record) {
                    context.core().add_contact(ip);
                }
            }
            return;
        }
        tokio::time::sleep(pause).await;
    }
}
