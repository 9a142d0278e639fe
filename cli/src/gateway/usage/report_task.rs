//! Reports the begins of each window while this instance holds the lease.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        duty::{DutyCaller, DutyName, FencingToken},
        usage_counts::WindowNumber,
        usage_report::{ReportCounts, ReportEvent, ReportStep},
        wire::{AppendResult, GatewayWire, LogTail, LogTopic},
    },
    log_event::LogEvent,
    units::LogOffset,
};
use bytes::Bytes;
use http::Request;

use super::super::{
    SharedGateway,
    duties::{DutyCall, lease_now, send_duty_call},
    store_client::{STORE_TIMEOUT, StoreResponse, call_store},
};
use crate::log_decision;

/// Longest time without a look at the lease while this instance does not hold
/// it.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts to report.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    tokio::spawn(report(context.clone()));
}

async fn report<W: GatewayWire>(context: SharedGateway<W>) {
    let mut held = context.duties.subscribe_held();
    let mut eras = context.store_eras.subscribe();
    loop {
        let lease = *held.borrow_and_update();
        let token = lease
            .filter(|lease| lease_now() < lease.until)
            .map(|lease| lease.token);
        set_term(&context, token);
        let Some(token) = token else {
            let changed = held.changed();
            let waited =
                tokio::time::timeout(LEASE_CHECK_INTERVAL, changed).await;
            if matches!(waited, Ok(Err(_))) {
                return;
            }
            continue;
        };
        if eras.has_changed().unwrap_or_default() {
            eras.mark_unchanged();
            context
                .usage
                .with(|state, _| state.reporter.record_restore());
        }
        let Some(step) = next_step(&context) else {
            return;
        };
        match step {
            ReportStep::Append { at, record } => {
                let result = append(&context, at, &record).await;
                if eras.has_changed().unwrap_or_default() {
                    // The offset may be that of another record now.
                    continue;
                }
                context.usage.with(|state, now| {
                    state.reporter.record_append(now, result);
                });
            }
            ReportStep::Read { from } => {
                let result = read(&context, from).await;
                if eras.has_changed().unwrap_or_default() {
                    continue;
                }
                context.usage.with(|state, now| {
                    state.reporter.record_read(now, from, result);
                });
            }
            ReportStep::Send { window, counts } => {
                let accepted = send(&context, token, window, &counts).await;
                context.usage.with(|state, now| {
                    let time = state.exchange.time(now);
                    let reporter = &mut state.reporter;
                    reporter.record_sent(now, time, window, accepted);
                });
            }
            ReportStep::Wait(pause) => tokio::time::sleep(pause).await,
        }
        log_events(&context);
    }
}

/// Begins or ends the reports of this instance.
fn set_term<W: GatewayWire>(
    context: &SharedGateway<W>,
    token: Option<FencingToken>,
) {
    context.usage.with(|state, now| {
        state.exchange.set_holding(token);
        match token {
            Some(token) => {
                let known = state.exchange.reported_through();
                state.reporter.begin_term(now, token, known);
            }
            None => {
                state.reporter.end_term();
                context.metrics.usage.set_due_windows(0);
            }
        }
    });
}

/// Next step; `None` without the duty.
fn next_step<W: GatewayWire>(context: &SharedGateway<W>) -> Option<ReportStep> {
    context.usage.with(|state, now| {
        if let Some(window) = state.reporter.reported_through() {
            state.exchange.record_reported(window);
        }
        let time = state.exchange.time(now);
        context
            .metrics
            .usage
            .set_due_windows(state.reporter.due(time));
        state.reporter.next_step(now, time, state.exchange.table())
    })
}

async fn append<W: GatewayWire>(
    context: &SharedGateway<W>,
    at: LogOffset,
    record: &Bytes,
) -> Option<AppendResult> {
    let request = context.wire.append_at(LogTopic::Usage, at, record);
    let response = call(context, request).await?;
    let result = context.wire.read_append(response.status, &response.body);
    result.ok()
}

async fn read<W: GatewayWire>(
    context: &SharedGateway<W>,
    from: LogOffset,
) -> Option<LogTail> {
    let request = context.wire.log_tail(LogTopic::Usage, from, Duration::ZERO);
    let response = call(context, request).await?;
    let (status, body) = (response.status, &response.body);
    context.wire.read_log_tail(from, status, body).ok()
}

/// Calls the store; `None` without a response, whose cause is in the metrics.
async fn call<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Bytes>,
) -> Option<StoreResponse> {
    call_store(context, request, STORE_TIMEOUT).await.ok()
}

/// Sends a report; returns whether it was accepted.
async fn send<W: GatewayWire>(
    context: &SharedGateway<W>,
    token: FencingToken,
    window: WindowNumber,
    counts: &ReportCounts,
) -> bool {
    let caller = DutyCaller {
        holder: context.settings().instance.clone(),
        token,
    };
    let request = context.wire.usage_report(&caller, window.get(), counts);
    let call = DutyCall {
        duty: DutyName::Metering,
        token,
        request,
    };
    match send_duty_call(context, call).await {
        Ok(_) => true,
        Err(error) => {
            log_decision!(
                LogEvent::UsageNotAccepted,
                { window = window, token = token },
                "report of window {window}: {error}",
            );
            false
        }
    }
}

fn log_events<W: GatewayWire>(context: &SharedGateway<W>) {
    let events = context.usage.with(|state, _| state.reporter.take_events());
    let metrics = &context.metrics.usage;
    for event in events.unwrap_or_default() {
        match event {
            ReportEvent::Prepared {
                window,
                is_complete,
                workspaces,
                begins,
            } => log_decision!(
                LogEvent::UsageCollected,
                {
                    window = window,
                    complete = is_complete,
                    workspaces = workspaces,
                    begins = begins,
                },
                "{begins} begins of {workspaces} workspaces",
            ),
            ReportEvent::Sent {
                window,
                age,
                is_late,
            } => {
                metrics.record_sent(window, is_late);
                log_decision!(
                    LogEvent::UsageReported,
                    {
                        window = window,
                        age_ms = age.as_millis(),
                        late = is_late,
                    },
                    "report accepted {age:?} after the end of its window",
                );
            }
            ReportEvent::Missed { first, count } => {
                metrics.record_missed(count);
                log_decision!(
                    LogEvent::UsageWindowMissed,
                    { window = first, windows = count },
                    "{count} windows get no report, from {first} on",
                );
            }
            ReportEvent::Malformed { offset } => {
                let text = format!("record {offset} of the usage reports");
                crate::logging::event(LogEvent::RecordSkipped, &text);
            }
        }
    }
}
