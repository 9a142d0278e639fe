//! Stand-in for the log service.
//!
//! Stores streams of records with dense offsets, in memory. Retention limits
//! the age and the count of records and applies on reads. Appends above the
//! limit per second get HTTP 429 and have no effect. The faults `fail`,
//! `slow`, `freeze`, `stall_appends` and `lose_append_answers` simulate
//! outages.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use borageline_lib::{
    ids::StreamName,
    platform_api::{AppendRequest, AppendResponse, LogRecord, RecordPage},
    units::{LogOffset, LogTime},
};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    fault::{Fault, FaultError, FaultGate, decrement_if_left, lock},
    http_server::{
        Call, CallError, Handle, HandlerResult, Standin, json_response,
        not_found, serve,
    },
};

/// Maximum number of records in one response.
const MAX_PAGE_RECORDS: u64 = 10_000;

/// Maximum duration of a long poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

/// Configuration of a log service.
#[derive(Clone, Copy, Debug)]
pub struct LogConfig {
    /// Maximum age of records.
    pub retention: Duration,
    /// Maximum number of records in a stream.
    pub retention_count: u64,
    /// Maximum appends per second, over all streams.
    pub appends_per_s: u64,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(7 * 24 * 3_600),
            retention_count: 1_000_000,
            appends_per_s: 500,
        }
    }
}

#[derive(Debug)]
struct LogStream {
    records: VecDeque<LogRecord>,
    earliest: u64,
    head: watch::Sender<u64>,
}

impl LogStream {
    fn new() -> Self {
        Self {
            records: VecDeque::new(),
            earliest: 0,
            head: watch::Sender::new(0),
        }
    }

    fn append(&mut self, values: Vec<Value>, now_ms: u64) -> AppendResponse {
        let first = *self.head.borrow();
        let count = values.len() as u64;
        for (offset, value) in (first..).zip(values) {
            self.records.push_back(LogRecord {
                offset: LogOffset::new(offset),
                appended_at: LogTime::new(now_ms),
                value,
            });
        }
        self.head.send_replace(first + count);
        AppendResponse {
            first_offset: LogOffset::new(first),
            count,
        }
    }

    fn trim(&mut self, keep: impl Fn(&LogRecord, usize) -> bool) {
        while let Some(first) = self.records.front() {
            if keep(first, self.records.len()) {
                return;
            }
            self.earliest = first.offset.get() + 1;
            self.records.pop_front();
        }
    }
}

#[derive(Debug, Default)]
struct LogState {
    streams: BTreeMap<StreamName, LogStream>,
    recent: VecDeque<Instant>,
    lose_answers: u64,
    appends: u64,
    records: u64,
    over_limit: u64,
    answers_lost: u64,
    reads: u64,
}

/// State of the log service and its injected faults.
#[derive(Debug)]
pub struct LogService {
    config: LogConfig,
    gate: FaultGate,
    stalled: watch::Sender<bool>,
    state: Mutex<LogState>,
}

/// Starts a log service.
pub async fn spawn(
    listen: SocketAddr,
    config: LogConfig,
) -> io::Result<Handle<LogService>> {
    let service = LogService {
        config,
        gate: FaultGate::default(),
        stalled: watch::Sender::new(false),
        state: Mutex::new(LogState::default()),
    };
    serve(listen, Arc::new(service)).await
}

fn now_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

impl LogService {
    /// Appends records directly, not subject to limits and faults.
    pub fn append(&self, stream: &StreamName, values: Vec<Value>) {
        let mut state = lock(&self.state);
        let stream = state.streams.entry(stream.clone());
        stream
            .or_insert_with(LogStream::new)
            .append(values, now_ms());
    }

    /// Stored records of a stream; empty if the stream does not exist.
    pub fn records(&self, stream: &StreamName) -> Vec<LogRecord> {
        let state = lock(&self.state);
        let stream = state.streams.get(stream);
        stream.map_or_else(Vec::new, |stream| {
            stream.records.iter().cloned().collect()
        })
    }

    async fn handle_append(
        &self,
        stream: StreamName,
        call: &Call,
    ) -> HandlerResult {
        let request: AppendRequest = call.json()?;
        let mut stalled = self.stalled.subscribe();
        let thawed = stalled.wait_for(|stalled| !stalled).await;
        drop(thawed.map_err(|_| CallError::Cut)?);
        let mut state = lock(&self.state);
        if !state.try_count_append(self.config.appends_per_s) {
            state.over_limit += 1;
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Err(CallError::new(
                status,
                "append_limit",
                "too many appends",
            ));
        }
        state.appends += 1;
        state.records += request.records.len() as u64;
        let entry = state.streams.entry(stream);
        let log = entry.or_insert_with(LogStream::new);
        let response = log.append(request.records, now_ms());
        if decrement_if_left(&mut state.lose_answers) {
            state.answers_lost += 1;
            return Err(CallError::Cut);
        }
        json_response(StatusCode::OK, &response)
    }

    async fn handle_read(
        &self,
        stream: StreamName,
        call: &Call,
    ) -> HandlerResult {
        let from = call.number("from").unwrap_or(0);
        let limit = call.number("limit").unwrap_or(MAX_PAGE_RECORDS);
        let wait = call.number("wait_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait).min(MAX_POLL_WAIT);
        let mut head = {
            let mut state = lock(&self.state);
            state.reads += 1;
            let entry = state.streams.entry(stream.clone());
            entry.or_insert_with(LogStream::new).head.subscribe()
        };
        let grown = head.wait_for(|head| *head > from);
        // A long poll that times out returns a page without new records.
        let _ = tokio::time::timeout(wait, grown).await;
        self.gate.wait_unfrozen().await;
        json_response(StatusCode::OK, &self.page(&stream, from, limit))
    }

    fn page(&self, stream: &StreamName, from: u64, limit: u64) -> RecordPage {
        let now = now_ms();
        let retention = self.config.retention.as_millis();
        let retention = u64::try_from(retention).unwrap_or(u64::MAX);
        let oldest = now.saturating_sub(retention);
        let most = self.config.retention_count;
        let mut state = lock(&self.state);
        let entry = state.streams.entry(stream.clone());
        let log = entry.or_insert_with(LogStream::new);
        log.trim(|record, length| {
            record.appended_at.get() >= oldest && length as u64 <= most
        });
        let skip = from.saturating_sub(log.earliest);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let limit = usize::try_from(limit.min(MAX_PAGE_RECORDS)).unwrap_or(0);
        let records = log.records.iter().skip(skip).take(limit);
        RecordPage {
            records: records.cloned().collect(),
            earliest: LogOffset::new(log.earliest),
            head: LogOffset::new(*log.head.borrow()),
            retention_ms: retention,
            now_ms: LogTime::new(now),
        }
    }

    fn trim_stream(&self, name: &str, before: u64) -> Result<(), FaultError> {
        let unknown = || FaultError::Unknown(name.to_owned());
        let stream: StreamName = name.parse().map_err(|_| unknown())?;
        let mut state = lock(&self.state);
        let log = state.streams.get_mut(&stream).ok_or_else(unknown)?;
        log.trim(|record, _| record.offset.get() >= before);
        Ok(())
    }
}

impl LogState {
    /// Counts an append against the limit per second; false, without
    /// counting it, if the limit is reached.
    fn try_count_append(&mut self, limit: u64) -> bool {
        let now = Instant::now();
        let second = Duration::from_secs(1);
        while let Some(at) = self.recent.front()
            && now.duration_since(*at) >= second
        {
            self.recent.pop_front();
        }
        if self.recent.len() as u64 >= limit {
            return false;
        }
        self.recent.push_back(now);
        true
    }
}

impl Standin for LogService {
    fn gate(&self) -> &FaultGate {
        &self.gate
    }

    async fn handle(self: Arc<Self>, call: Call) -> HandlerResult {
        let segments = call.segments();
        let ["v1", "streams", name @ .., "records"] = segments.as_slice()
        else {
            return Err(not_found(&call));
        };
        let stream: StreamName = match name.join("/").parse() {
            Ok(stream) => stream,
            Err(error) => {
                let message = format!("stream name: {error}");
                let status = StatusCode::BAD_REQUEST;
                return Err(CallError::new(status, "malformed", message));
            }
        };
        match call.method {
            Method::POST => self.handle_append(stream, &call).await,
            Method::GET => self.handle_read(stream, &call).await,
            _ => Err(not_found(&call)),
        }
    }

    fn control(&self, fault: Fault) -> Result<(), FaultError> {
        if self.gate.apply(&fault) {
            if fault == Fault::Clear {
                self.stalled.send_replace(false);
                lock(&self.state).lose_answers = 0;
            }
            return Ok(());
        }
        match fault {
            Fault::LoseAppendAnswers { count } => {
                lock(&self.state).lose_answers = count;
            }
            Fault::StallAppends => {
                self.stalled.send_replace(true);
            }
            Fault::TrimStream { stream, before } => {
                self.trim_stream(&stream, before)?;
            }
            // The log is durable; a restart only closes connections.
            Fault::Restart => self.gate.cut_connections(),
            other => return Err(FaultError::Unsupported(other)),
        }
        Ok(())
    }

    fn report(&self) -> Value {
        let state = lock(&self.state);
        let heads: BTreeMap<&str, u64> = state
            .streams
            .iter()
            .map(|(name, log)| (name.as_str(), *log.head.borrow()))
            .collect();
        json!({
            "heads": heads,
            "appends": state.appends,
            "records": state.records,
            "over_limit": state.over_limit,
            "answers_lost": state.answers_lost,
            "reads": state.reads,
        })
    }
}
