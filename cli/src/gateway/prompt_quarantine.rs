//! Requests that crash upstreams: logs the quarantine and keeps its records in the
//! store.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        gateway_core::HeldPrompt,
        prompt_quarantine::{QuarantineChange, QuarantineReport},
        wire::{GatewayWire, PartId, QuarantineRecord, StoreTopic},
    },
    log_event::LogEvent,
    refusal::Refusal,
    units::Timestamp,
};
use http::StatusCode;
use tokio::sync::{Notify, watch};

use super::{
    SharedGateway,
    forward::CallerAttempt,
    quarantine_trial::ask_for_trials,
    store_client::{STORE_TIMEOUT, call_store},
    unix_millis,
};
use crate::{log_decision, logging, quarantine::log_change};

/// Pause after the records were written, so that further crashes of a part
/// cause few calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Most ids of a request's content in a log line.
const LOGGED_IDS_MAX: usize = 64;
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// State of the tasks for the quarantine.
#[derive(Debug, Default)]
pub(super) struct QuarantineTasks {
    /// Notifies requests that wait for an answer of changes.
    changes: watch::Sender<()>,
    /// Records to write to the store; `None` removes one.
    unwritten: Mutex<BTreeMap<PartId, Option<QuarantineRecord>>>,
    /// Notifies the writer of unwritten records.
    write_due: Notify,
}

/// Reads the records that the store has kept, and then writes changes.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    tokio::spawn(keep_records(context.clone()));
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// Ids of the request's content for the log, the most specific ones if there
    /// are many; those before them are only counted.
    pub(super) fn content_ids(&self) -> String {
        let omitted = self.contents.len().saturating_sub(LOGGED_IDS_MAX);
        let ids = self.contents[omitted..].iter().map(PartId::as_str);
        let ids = ids.collect::<Vec<_>>().join(" ");
        match omitted {
            0 => ids,
            _ => format!("({omitted} more) {ids}"),
        }
    }

    /// Whether the prompt may be sent to an engine now. Asks for a trial if one is
    /// due that another instance makes.
    pub(super) async fn check_prompt(&mut self) -> Result<(), Refusal> {
        if self.trial.is_some() {
            return self.held_refusal().map_or(Ok(()), Err);
        }
        let now = self.context.now();
        let checked = self.context.core().check_prompt(now, &self.contents);
        handle_changes(&self.context);
        self.trial = match checked {
            Ok(trial) => trial,
            Err(HeldPrompt {
                refusal,
                due_trials,
            }) => {
                if due_trials.is_empty()
                    || !ask_for_trials(&self.context, &due_trials).await
                {
                    return Err(refusal);
                }
                let now = self.context.now();
                Some(self.context.core().begin_trials(now, &due_trials))
            }
        };
        if let Some(trial) = &self.trial {
            let parts = trial.parts.iter().map(PartId::as_str);
            log_decision!(
                LogEvent::PartTried,
                {
                    request = self.id(),
                    parts = parts.collect::<Vec<_>>().join(" "),
                },
                "the request is sent as a trial of parts in quarantine",
            );
        }
        Ok(())
    }

    /// Refusal of the prompt if a part of it came into quarantine after it was
    /// checked.
    pub(super) fn held_refusal(&self) -> Option<Refusal> {
        let now = self.context.now();
        let grant = self.trial.as_ref();
        let mut core = self.context.core();
        core.held_prompt_refusal(now, &self.contents, grant)
    }

    /// Resolves when a part of the prompt comes into quarantine.
    pub(super) async fn wait_until_held(&self) -> Refusal {
        let mut changes = self.context.quarantine.changes.subscribe();
        loop {
            if let Some(refusal) = self.held_refusal() {
                return refusal;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that the answer, which began at `begun_at`, shows the prompt to
    /// be sound, and reports it at once if that ends a quarantine.
    pub(super) fn record_sound_prompt(&self, begun_at: Timestamp) {
        let now = self.context.now();
        let parts = &self.contents;
        let mut core = self.context.core();
        core.record_sound_prompt(now, parts, begun_at);
        drop(core);
        if handle_changes(&self.context) {
            self.context.heartbeat_due.notify_one();
        }
    }
}

/// Logs the changes of the quarantine, and passes them to the writer and to
/// requests that wait for an answer. Returns whether there are any.
pub(super) fn handle_changes<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> bool {
    let now = context.now();
    let changes = context.core().take_quarantine_changes();
    if changes.is_empty() {
        return false;
    }
    for change in changes {
        log_change(&change);
        let (part, record) = match change {
            QuarantineChange::Quarantined(report) => {
                let record = quarantine_record(&report);
                (report.part, Some(record))
            }
            QuarantineChange::Released(part) => (part, None),
        };
        if context.core().owns_part(now, &part) {
            let mut unwritten = lock(&context.quarantine.unwritten);
            unwritten.insert(part, record);
            context.quarantine.write_due.notify_one();
        }
    }
    context.quarantine.changes.send_replace(());
    true
}

async fn keep_records<W: GatewayWire>(context: SharedGateway<W>) {
    while let Err(text) = read_records(&context).await {
        logging::event(LogEvent::LogUnavailable, &text);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    handle_changes(&context);
    let mut eras = context.store_eras.subscribe();
    loop {
        tokio::select! {
            () = context.quarantine.write_due.notified() => {}
            changed = eras.changed() => match changed {
                Ok(()) => write_all_again(&context),
                Err(_) => return,
            },
        }
        let records = std::mem::take(&mut *lock(&context.quarantine.unwritten));
        for (part, record) in records {
            if let Err(text) = write_record(&context, &part, record).await {
                logging::event(LogEvent::LogUnavailable, &text);
                // A newer record of the part goes first.
                lock(&context.quarantine.unwritten)
                    .entry(part)
                    .or_insert(record);
                context.quarantine.write_due.notify_one();
            }
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}

/// Makes this instance's records due for a write, since the store was restored
/// from a copy that may lack them.
fn write_all_again<W: GatewayWire>(context: &SharedGateway<W>) {
    let now = context.now();
    let mut core = context.core();
    let mut unwritten = lock(&context.quarantine.unwritten);
    for (part, report) in core.owned_quarantines(now) {
        let record = report.as_ref().map(quarantine_record);
        unwritten.entry(part).or_insert(record);
    }
}

/// Restores the quarantines that the store has kept. The error is a text for
/// the log.
async fn read_records<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> Result<(), String> {
    let mut after: Option<String> = None;
    loop {
        let topic = StoreTopic::Quarantine;
        let request = context.wire.newest(topic, after.as_deref());
        let page = match call_store(context, request, STORE_TIMEOUT).await {
            Ok(response) => match response.status {
                StatusCode::OK => context
                    .wire
                    .read_newest(&response.body)
                    .map_err(|error| error.to_string())?,
                // The topic is created by the first record.
                StatusCode::NOT_FOUND => return Ok(()),
                status => {
                    return Err(format!("quarantine records: status {status}"));
                }
            },
            Err(error) => return Err(format!("quarantine records: {error}")),
        };
        let now = context.now();
        for record in &page.records {
            let Some((part, record)) = context.wire.read_quarantine(record)
            else {
                continue;
            };
            let age_ms = unix_millis().saturating_sub(record.last_crash_ms);
            let report = QuarantineReport {
                part,
                crashes: record.crashes,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            };
            context.core().restore_quarantine(now, report);
        }
        let last = page.records.last().map(|record| record.key.to_string());
        match last {
            Some(last) if page.more => after = Some(last),
            _ => return Ok(()),
        }
    }
}

async fn write_record<W: GatewayWire>(
    context: &SharedGateway<W>,
    part: &PartId,
    record: Option<QuarantineRecord>,
) -> Result<(), String> {
    let record = context.wire.write_quarantine(part, record.as_ref());
    let request = context.wire.append(StoreTopic::Quarantine, &record);
    match call_store(context, request, STORE_TIMEOUT).await {
        Ok(response) if response.status == StatusCode::OK => Ok(()),
        Ok(response) => {
            Err(format!("quarantine of {part}: {}", response.status))
        }
        Err(error) => Err(format!("quarantine of {part}: {error}")),
    }
}

fn quarantine_record(report: &QuarantineReport) -> QuarantineRecord {
    QuarantineRecord {
        crashes: report.crashes,
        last_crash_ms: unix_millis().saturating_sub(report.age_ms.into()),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
