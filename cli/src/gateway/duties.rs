//! Holds the lease of the singleton duties, and makes their calls.
//!
//! [`DutyLease`] decides; the task here reads and appends the records of the
//! lease. [`duty_connection`](crate::duty_connection) sends the calls.

use std::{
    fmt::{Display, Formatter},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        duty::{DutyCallLimit, DutyName, FencingToken},
        duty_lease::{
            DutyLease, HeldLease, KnownHolder, LeaseChange, LeaseOwner,
            LeaseRecord, LeaseStep, LeaseTime, LeaseTiming,
        },
        store_era::StoreEra,
        wire::{AppendResult, GatewayWire, LogTopic},
    },
    log_event::LogEvent,
    units::LogOffset,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use rustix::time::{ClockId, clock_gettime};
use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
};

use super::{
    SharedGateway,
    store_client::{ReadError, STORE_TIMEOUT, StoreResponse, call_store},
};
use crate::{
    duty_connection::{CallFailure, LeaseCheck, send_within_lease},
    log_decision, logging,
};

/// Longest time between two looks at the candidates, which follow from the
/// members.
const RANK_INTERVAL: Duration = Duration::from_millis(1_000);

/// One call of a duty.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// Duty for which the call is made.
    pub duty: DutyName,
    /// Token that the request carries.
    pub token: FencingToken,
    /// The request, without an address.
    pub request: Request<Bytes>,
}

/// Why a call of a duty has no successful response.
#[derive(Clone, Debug, PartialEq)]
pub enum DutyCallError {
    /// This instance does not hold the lease with the token of the call, or
    /// not for long enough. Nothing was sent.
    NotHeld,
    /// The limit of calls per second is reached. Nothing was sent.
    Limited {
        /// Time until a call is possible.
        retry_after: Duration,
    },
    /// No connection was established. Nothing was sent.
    NotSent(Arc<str>),
    /// No response was received; the call may still be executed.
    Unanswered(Arc<str>),
    /// The service has seen a higher token (409). This instance has given up
    /// the lease.
    Superseded,
    /// The service answered with another status than 200 and 409.
    Rejected(StatusCode),
}

impl Display for DutyCallError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotHeld => formatter.write_str("the lease is not held"),
            Self::Limited { retry_after } => {
                write!(formatter, "limit of calls, free in {retry_after:?}")
            }
            Self::NotSent(text) => write!(formatter, "not sent: {text}"),
            Self::Unanswered(text) => write!(formatter, "unanswered: {text}"),
            Self::Superseded => {
                formatter.write_str("the service has seen a higher token")
            }
            Self::Rejected(status) => write!(formatter, "status {status}"),
        }
    }
}

impl DutyCallError {
    /// Name of the result as a metric label.
    const fn as_str(&self) -> &'static str {
        match self {
            Self::NotHeld => "not_held",
            Self::Limited { .. } => "limited",
            Self::NotSent(_) => "not_sent",
            Self::Unanswered(_) => "unanswered",
            Self::Superseded => "superseded",
            Self::Rejected(_) => "rejected",
        }
    }
}

/// Calls that were begun and have not ended.
#[derive(Clone, Copy, Debug, Default)]
struct OpenCalls {
    count: usize,
    token: FencingToken,
}

/// State of the duties that the tasks of the instance share.
#[derive(Debug)]
pub struct DutyState {
    /// `None` if the instance has no duties.
    lease: Mutex<Option<DutyLease>>,
    /// Lease that this instance holds; `None` if it holds none.
    held: watch::Sender<Option<HeldLease>>,
    /// Holder according to the store's records. Only candidates and the holder
    /// read them; `None` on other instances.
    holder: watch::Sender<Option<KnownHolder>>,
    open_calls: watch::Sender<OpenCalls>,
    limit: Mutex<DutyCallLimit>,
    /// When a call last ended without a response.
    unanswered_at: Mutex<Option<LeaseTime>>,
    /// Wakes the task of the lease.
    changed: Notify,
}

impl Default for DutyState {
    fn default() -> Self {
        Self {
            lease: Mutex::default(),
            held: watch::Sender::new(None),
            holder: watch::Sender::new(None),
            open_calls: watch::Sender::default(),
            limit: Mutex::default(),
            unanswered_at: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

impl DutyState {
    /// Notifies of the lease that this instance holds. The value changes with
    /// each renewal; `until` must be compared with [`lease_now`], since the
    /// process may have been frozen.
    pub fn subscribe_held(&self) -> watch::Receiver<Option<HeldLease>> {
        self.held.subscribe()
    }

    /// Notifies of the holder as far as this instance knows it from the store.
    pub fn subscribe_holder(&self) -> watch::Receiver<Option<KnownHolder>> {
        self.holder.subscribe()
    }

    fn with_lease<T>(
        &self,
        operate: impl FnOnce(&mut DutyLease) -> T,
    ) -> Option<T> {
        lock(&self.lease).as_mut().map(operate)
    }

    /// Registers a call. Waits until those with another token have ended, which
    /// could otherwise arrive after this one.
    pub async fn open_call(&self, token: FencingToken) -> OpenCall<'_> {
        let mut calls = self.open_calls.subscribe();
        loop {
            let is_opened = self.open_calls.send_if_modified(|calls| {
                let may_open = calls.count == 0 || calls.token == token;
                if may_open {
                    calls.count += 1;
                    calls.token = token;
                }
                may_open
            });
            if is_opened {
                return OpenCall(self);
            }
            // The sender is part of this state.
            let _ = calls.wait_for(|calls| calls.count == 0).await;
        }
    }

    /// Whether all calls of the last `time` were answered.
    fn all_answered(&self, now: LeaseTime, time: Duration) -> bool {
        lock(&self.unanswered_at).is_none_or(|at| at.after(time) <= now)
    }

    /// Whether the lease with a token is held until after `ends_at`, which is in
    /// the future.
    fn is_held(&self, token: FencingToken, ends_at: LeaseTime) -> bool {
        let now = lease_now();
        let held = self.with_lease(|lease| lease.held(now)).flatten();
        held.is_some_and(|held| {
            held.token == token && now < ends_at && ends_at < held.until
        })
    }
}

/// Check of the lease for one call.
struct CallCheck<W> {
    context: SharedGateway<W>,
    token: FencingToken,
    ends_at: LeaseTime,
}

impl<W: GatewayWire> LeaseCheck for CallCheck<W> {
    fn is_held(&self) -> bool {
        self.context.duties.is_held(self.token, self.ends_at)
    }
}

/// A registered call, which ends on drop.
#[derive(Debug)]
pub struct OpenCall<'a>(&'a DutyState);

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_calls.send_modify(|calls| calls.count -= 1);
    }
}

/// Makes a call of a duty, if this instance holds the lease long enough.
/// Returns the response if its status is 200.
pub async fn send_duty_call<W: GatewayWire>(
    context: &SharedGateway<W>,
    call: DutyCall,
) -> Result<Response<Bytes>, DutyCallError> {
    let (duty, token) = (call.duty, call.token);
    let result = try_call(context, call).await;
    let label = result.as_ref().err().map_or("done", DutyCallError::as_str);
    context.metrics.count_duty_call(duty, label);
    match &result {
        // Nothing was sent, and the caller tries again.
        Ok(_) | Err(DutyCallError::NotHeld | DutyCallError::Limited { .. }) => {
        }
        Err(error) => log_decision!(
            LogEvent::DutyCallFailed,
            { duty = duty, token = token, result = label },
            "{error}",
        ),
    }
    result
}

async fn try_call<W: GatewayWire>(
    context: &SharedGateway<W>,
    call: DutyCall,
) -> Result<Response<Bytes>, DutyCallError> {
    let state = &context.duties;
    let settings = context.settings();
    let duties = settings.duties.as_ref().ok_or(DutyCallError::NotHeld)?;
    let timing = state.with_lease(|lease| lease.timing());
    let timeout = timing.ok_or(DutyCallError::NotHeld)?.call_timeout();
    let _open = state.open_call(call.token).await;
    let ends_at = lease_now().after(timeout);
    if !state.is_held(call.token, ends_at) {
        return Err(DutyCallError::NotHeld);
    }
    lock(&state.limit)
        .take(context.now(), duties.calls_per_s)
        .map_err(|retry_after| DutyCallError::Limited { retry_after })?;
    let check = CallCheck {
        context: context.clone(),
        token: call.token,
        ends_at,
    };
    let address = duties.address;
    let sent = send_within_lease(check, address, timeout, call.request).await;
    let response = sent.map_err(|failure| match failure {
        CallFailure::LeaseEnded => DutyCallError::NotHeld,
        CallFailure::NotConnected(text) => DutyCallError::NotSent(text),
        CallFailure::Unanswered(text) => {
            *lock(&state.unanswered_at) = Some(lease_now());
            DutyCallError::Unanswered(text)
        }
    })?;
    match response.status() {
        StatusCode::OK => Ok(response),
        StatusCode::CONFLICT => {
            let now = lease_now();
            state.with_lease(|lease| lease.refuse_token(now, call.token));
            publish(context);
            state.changed.notify_one();
            Err(DutyCallError::Superseded)
        }
        status => Err(DutyCallError::Rejected(status)),
    }
}

/// Starts the task of the lease if the settings have duties. It ends after a
/// planned stop, when the lease is released. The duration of the lease is not
/// changed while the process runs.
pub(super) fn start<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> Option<JoinHandle<()>> {
    let settings = context.settings();
    let duties = settings.duties.as_ref()?;
    let is_known = |duty: &DutyName| duties.includes(*duty);
    if !DutyName::ALL.iter().any(is_known) {
        return None;
    }
    let own = LeaseOwner {
        instance: settings.instance.clone(),
        ip: settings.ip,
        incarnation: context.core().incarnation(),
    };
    let lease = DutyLease::new(own, LeaseTiming::new(duties.lease()));
    *lock(&context.duties.lease) = Some(lease);
    Some(tokio::spawn(keep_lease(context.clone())))
}

async fn keep_lease<W: GatewayWire>(context: SharedGateway<W>) {
    let state = &context.duties;
    let mut stop = context.stop_begun.subscribe();
    let mut is_stopping = false;
    let mut outage = StoreOutage::default();
    loop {
        if !is_stopping && context.is_stopping() {
            is_stopping = true;
            state.with_lease(DutyLease::begin_stop);
        }
        if is_stopping {
            end_calls(state);
        }
        let rank = own_rank(&context);
        let now = lease_now();
        let step = state.with_lease(|lease| {
            lease.set_rank(rank);
            lease.next_step(now)
        });
        publish(&context);
        match step {
            Some(LeaseStep::Read { from, wait }) => tokio::select! {
                result = read(&context, from, wait) => {
                    outage.record(result);
                }
                // A long poll is not waited for.
                _ = stop.wait_for(|begun| *begun), if !is_stopping => {}
                () = state.changed.notified() => {}
            },
            Some(LeaseStep::Append { at, record }) => {
                outage.record(append(&context, at, &record).await);
            }
            Some(LeaseStep::Wait(time)) => {
                let mut calls = state.open_calls.subscribe();
                tokio::select! {
                    () = tokio::time::sleep(time.min(RANK_INTERVAL)) => {}
                    _ = stop.wait_for(|begun| *begun), if !is_stopping => {}
                    _ = calls.changed(), if is_stopping => {}
                    () = state.changed.notified() => {}
                }
            }
            Some(LeaseStep::Done) | None => break,
        }
        publish(&context);
    }
}

/// Logs the first of several failed calls to the store.
#[derive(Debug, Default)]
struct StoreOutage {
    is_down: bool,
}

impl StoreOutage {
    fn record(&mut self, result: Result<(), ReadError>) {
        let was_down = self.is_down;
        self.is_down = result.is_err();
        if let Err(error) = result
            && !was_down
        {
            logging::event(LogEvent::DutyStoreFailed, &error.to_string());
        }
    }
}

/// Allows the release of the lease once no call is open.
fn end_calls(state: &DutyState) {
    if state.open_calls.borrow().count > 0 {
        return;
    }
    let now = lease_now();
    state.with_lease(|lease| {
        let time = lease.timing().lease();
        lease.end_calls(state.all_answered(now, time));
    });
}

/// Position of this instance among the candidates; `None` if it is none.
fn own_rank<W: GatewayWire>(context: &SharedGateway<W>) -> Option<usize> {
    let own = context.settings().ip;
    let candidates = context.core().lease_candidates(context.now());
    candidates.iter().position(|ip| *ip == own)
}

async fn read<W: GatewayWire>(
    context: &SharedGateway<W>,
    from: LogOffset,
    wait: Duration,
) -> Result<(), ReadError> {
    let timing = context.duties.with_lease(|lease| lease.timing());
    let timeout = timing.map_or(STORE_TIMEOUT, LeaseTiming::store_timeout);
    let request = context.wire.log_tail(LogTopic::Duties, from, wait);
    let response = call_store(context, request, wait + timeout).await;
    let result = response.and_then(|response| {
        let StoreResponse { status, body, era } = response;
        let expected =
            [StatusCode::OK, StatusCode::NOT_FOUND, StatusCode::GONE];
        if !expected.contains(&status) {
            return Err(ReadError::Status(status));
        }
        let tail = context.wire.read_log_tail(from, status, &body);
        let tail = tail.map_err(ReadError::Malformed)?;
        let end = context.wire.log_end(status, &body);
        Ok((era.unwrap_or_default(), tail, end))
    });
    let now = lease_now();
    context.duties.with_lease(|lease| match &result {
        Ok((era, tail, end)) => {
            lease.receive_tail(now, *era, from, tail, *end);
        }
        Err(_) => lease.fail_read(now),
    });
    result.map(drop)
}

async fn append<W: GatewayWire>(
    context: &SharedGateway<W>,
    at: LogOffset,
    record: &LeaseRecord,
) -> Result<(), ReadError> {
    let timing = context.duties.with_lease(|lease| lease.timing());
    let timeout = timing.map_or(STORE_TIMEOUT, LeaseTiming::store_timeout);
    let record = record.to_bytes();
    let request = context.wire.append_at(LogTopic::Duties, at, &record);
    let called = call_store(context, request, timeout).await;
    let result = called.and_then(|response| {
        let StoreResponse { status, body, era } = response;
        let result = context.wire.read_append(status, &body);
        let result = result.map_err(ReadError::Malformed)?;
        Ok((era.unwrap_or_default(), result))
    });
    let response: Option<(StoreEra, AppendResult)> =
        result.as_ref().ok().copied();
    let now = lease_now();
    context
        .duties
        .with_lease(|lease| lease.receive_append(now, response));
    result.map(drop)
}

/// Logs and counts the changes of the lease, and passes them to the other tasks.
fn publish<W: GatewayWire>(context: &SharedGateway<W>) {
    let state = &context.duties;
    let now = lease_now();
    let current = state.with_lease(|lease| {
        let changes = lease.take_changes();
        (changes, lease.held(now), lease.holder().cloned())
    });
    let Some((changes, held, holder)) = current else {
        return;
    };
    for change in &changes {
        report_change(context, change);
    }
    context.metrics.set_held_lease(held.map(|held| held.token));
    state.held.send_if_modified(|value| {
        let is_changed = *value != held;
        *value = held;
        is_changed
    });
    state.holder.send_if_modified(|value| {
        let is_changed = *value != holder;
        *value = holder;
        is_changed
    });
}

fn report_change<W: GatewayWire>(
    context: &SharedGateway<W>,
    change: &LeaseChange,
) {
    match change {
        LeaseChange::Acquired(token) => log_decision!(
            LogEvent::LeaseAcquired,
            { token = token },
            "this instance holds the lease of the duties",
        ),
        LeaseChange::Ended(token, reason) => log_decision!(
            LogEvent::LeaseEnded,
            { token = token, reason = reason.as_str() },
            "this instance no longer holds the lease of the duties",
        ),
        LeaseChange::Claimed(result) => {
            context.metrics.count_lease_claim(*result);
            log_decision!(
                LogEvent::LeaseClaimed,
                { result = result.as_str() },
                "the lease of the duties was claimed",
            );
        }
        LeaseChange::HolderChanged(Some(holder)) => log_decision!(
            LogEvent::LeaseHolderChanged,
            {
                holder = holder.owner.instance,
                peer = holder.owner.ip,
                token = holder.token,
            },
            "the records name another holder of the lease",
        ),
        LeaseChange::HolderChanged(None) => log_decision!(
            LogEvent::LeaseHolderChanged,
            { holder = "-" },
            "the records name no holder of the lease",
        ),
        LeaseChange::Restored(era) => log_decision!(
            LogEvent::LeaseRecordsLost,
            { era = era },
            "the store was restored; the records are read again",
        ),
        LeaseChange::RecordsMissed => logging::event(
            LogEvent::LeaseRecordsLost,
            "records were dropped before they were read",
        ),
    }
}

/// Current time of the clock of leases. It includes the time for which the
/// machine was suspended.
pub fn lease_now() -> LeaseTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    LeaseTime::new(seconds * 1_000_000 + nanos / 1_000)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
