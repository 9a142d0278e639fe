//! The planned stop as request handlers see it.
//!
//! A stop may begin while a request waits or is at work, so each step that can
//! wait is run through this signal, which ends it when the stop leaves no more
//! time. The times are decided by [`StopSchedule`].

use std::future::Future;

use borageline_lib::{
    planned_stop::{RequestLimit, StopSchedule, stopping},
    refusal::Refusal,
    units::Timestamp,
};
use tokio::{sync::watch, time::sleep_until};

use crate::core_handle::CoreClock;

/// Announces a planned stop; clones share it.
#[derive(Clone, Debug)]
pub struct StopSignal {
    clock: CoreClock,
    schedule: watch::Sender<Option<StopSchedule>>,
}

impl StopSignal {
    /// Creates the signal of an instance that is not stopping.
    pub fn new(clock: CoreClock) -> Self {
        let (schedule, _) = watch::channel(None);
        Self { clock, schedule }
    }

    /// Announces a stop.
    pub fn begin(&self, schedule: StopSchedule) {
        self.schedule.send_replace(Some(schedule));
    }

    /// Times of the stop; `None` if none has begun.
    pub fn schedule(&self) -> Option<StopSchedule> {
        *self.schedule.borrow()
    }

    /// Time from the begin of the stop to `at` in milliseconds, for the log:
    /// negative before it, `-` if none has begun.
    pub fn age_ms(&self, at: Timestamp) -> String {
        let Some(begun_at) = self.schedule().map(|it| it.begun_at()) else {
            return "-".into();
        };
        if at < begun_at {
            return format!("-{}", begun_at.since(at).as_millis());
        }
        at.since(begun_at).as_millis().to_string()
    }

    /// Whether a stop closes the connections that are still open.
    pub fn closes_connections(&self) -> bool {
        let now = self.clock.now();
        self.schedule()
            .is_some_and(|schedule| now >= schedule.connections_close())
    }

    /// Limit of a request with this deadline, as known now.
    pub fn limit(&self, deadline: Timestamp) -> RequestLimit {
        RequestLimit::new(deadline, self.schedule())
    }

    /// Waits until a request with this deadline has to end.
    pub async fn limit_passed(&self, deadline: Timestamp) -> RequestLimit {
        let mut schedule = self.schedule.subscribe();
        loop {
            let limit =
                RequestLimit::new(deadline, *schedule.borrow_and_update());
            tokio::select! {
                // This signal holds the sender, so that it is not closed.
                _ = schedule.changed() => {}
                () = sleep_until(self.clock.instant(limit.ends_at())) => {
                    return limit;
                }
            }
        }
    }

    /// Waits until the listener has to be closed.
    pub async fn listener_closed(&self) -> StopSchedule {
        let schedule = self.begun(|_| true).await;
        sleep_until(self.clock.instant(schedule.listener_closes())).await;
        schedule
    }

    /// Runs a step of a request until a stop ends all requests.
    pub async fn until_end<T>(
        &self,
        step: impl Future<Output = T>,
    ) -> Result<T, Refusal> {
        let end = async {
            let schedule = self.begun(|_| true).await;
            sleep_until(self.clock.instant(schedule.requests_end())).await;
        };
        tokio::select! {
            biased;
            output = step => Ok(output),
            () = end => Err(stopping()),
        }
    }

    /// Runs a step before the sending of a request that may not be repeated,
    /// until a stop begins that a request with this deadline may outlive.
    pub async fn unless_outlived<T>(
        &self,
        deadline: Timestamp,
        step: impl Future<Output = T>,
    ) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            _ = self.begun(|schedule| schedule.is_outlived_by(deadline)) => {
                Err(stopping())
            }
            output = step => Ok(output),
        }
    }

    /// Waits for a stop whose schedule fulfils a condition.
    async fn begun(
        &self,
        condition: impl Fn(&StopSchedule) -> bool,
    ) -> StopSchedule {
        let mut schedule = self.schedule.subscribe();
        let begun = schedule
            .wait_for(|schedule| schedule.as_ref().is_some_and(&condition))
            .await;
        begun
            .ok()
            .and_then(|schedule| *schedule)
            .expect("this signal holds the sender, and a stop has begun")
    }
}
