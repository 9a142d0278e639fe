//! Ends the requests that outlive a planned stop, while the process can still
//! answer them.

use std::{future::pending, sync::atomic::Ordering, time::Duration};

use borageline_lib::{
    gateway::{planned_stop::PlannedStop, wire::GatewayWire},
    log_event::LogEvent,
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};

use super::{GatewayContext, SharedGateway, forward::CallerAttempt};
use crate::log_decision;

/// Begins the planned stop and notifies all open requests.
pub(super) fn begin<W: GatewayWire>(context: &SharedGateway<W>) -> PlannedStop {
    let now = context.now();
    let stop = context.core().begin_stop(now);
    context.stop_begun.send_replace(true);
    context.heartbeat_due.notify_one();
    log_decision!(
        LogEvent::StopBegun,
        {
            requests = context.open_requests.load(Ordering::Relaxed),
            ends_ms = stop.ends_at().since(now).as_millis(),
        },
        "planned stop begun",
    );
    stop
}

impl<W: GatewayWire> GatewayContext<W> {
    /// Time until a planned stop ends the open requests; `None` if none has
    /// begun.
    fn stop_time_left(&self) -> Option<Duration> {
        let stop = self.core().planned_stop()?;
        Some(stop.ends_at().since(self.now()))
    }

    /// Resolves when a planned stop ends the open requests, also if it begins
    /// only later. Returns the refusal of a request that has not run.
    pub(super) async fn wait_until_stop_ends(&self) -> Refusal {
        let mut begun = self.stop_begun.subscribe();
        if begun.wait_for(|begun| *begun).await.is_err() {
            // The context is gone, and with it all requests.
            pending::<()>().await;
        }
        let left = self.stop_time_left().unwrap_or_default();
        tokio::time::sleep(left).await;
        self.core().stop_refusal()
    }
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// Time until the attempt ends: at its deadline, or when a planned stop
    /// ends it.
    pub(super) fn time_left(&self) -> Duration {
        let own = self.deadline_left();
        self.context
            .stop_time_left()
            .map_or(own, |stop| own.min(stop))
    }

    /// Time from the begin of the planned stop to `at` in milliseconds, for the
    /// log: negative before it, `-` without a stop.
    pub(super) fn stop_age_ms(&self, at: Timestamp) -> String {
        let Some(stop) = self.context.core().planned_stop() else {
            return "-".into();
        };
        let begun_at = stop.begun_at();
        if at < begun_at {
            return format!("-{}", begun_at.since(at).as_millis());
        }
        at.since(begun_at).as_millis().to_string()
    }

    /// Logs that the answer is cut off.
    pub(super) fn log_cut(&self, text: &str) {
        let now = self.context.now();
        let silence = self.last_event_at.map(|at| now.since(at));
        log_decision!(
            LogEvent::AnswerCut,
            {
                request = self.id(),
                stop_read_ms = self.stop_age_ms(self.arrival),
                stop_cut_ms = self.stop_age_ms(now),
                sends = self.sends,
                silent_ms = silence.map_or_else(
                    || "-".into(),
                    |silence| silence.as_millis().to_string(),
                ),
                elapsed_ms = self.elapsed().as_millis(),
                longest_ms = self
                    .forecast
                    .map_or(0, |forecast| forecast.longest().as_millis()),
                upstream = self
                    .last_upstream
                    .as_ref()
                    .map_or("-", |upstream| upstream.as_str()),
            },
            "{text}",
        );
    }

    /// Resolves when no time is left, and returns what ended the attempt.
    pub(super) async fn wait_until_expired(&self) -> Refusal {
        tokio::select! {
            biased;
            () = tokio::time::sleep(self.deadline_left()) => {
                let text = "the deadline has passed";
                Refusal::new(RefusalCode::DeadlineExceeded, text)
            }
            refusal = self.context.wait_until_stop_ends() => refusal,
        }
    }

    /// What ended the attempt; `None` if time is left.
    pub(super) fn expiry(&self) -> Option<Refusal> {
        if self.deadline_left() == Duration::ZERO {
            let text = "the deadline has passed";
            return Some(Refusal::new(RefusalCode::DeadlineExceeded, text));
        }
        let stopped = self.context.stop_time_left() == Some(Duration::ZERO);
        stopped.then(|| self.context.core().stop_refusal())
    }
}
