//! Requests that one instance sends to an upstream for another one.
//!
//! An instance without links to the upstreams of a service passes the requests
//! of its callers to another instance, the delegate, which has them. The
//! delegate makes one send to an upstream and reports how it ended; whether and
//! where the request is sent again is decided where the caller is connected, by
//! the one record of the attempt. So at most once, the retry budget and the
//! sends of a route are counted once, and a delegate never passes a request on.
//!
//! The data of this module is the value of a header in JSON; unknown fields are
//! ignored.

use std::{
    fmt::{Display, Formatter},
    str::FromStr,
    time::Duration,
};

use super::{
    attempt::SendOutcome, routing_config::ConfigVersion, wire::PartId,
};
use crate::{
    ids::{ServiceName, UpstreamId},
    refusal::{Refusal, RefusalCode, RunState},
    value_type,
};

/// Delegates that are tried for one request; each failure costs time, and those
/// after the first seldom help.
pub const DELEGATES_MAX: usize = 3;
/// Time for which an instance that failed as a delegate is not used again.
pub const DELEGATE_AVOIDANCE: Duration = Duration::from_secs(1);

value_type! {
    /// What the delegate must know besides the caller's request.
    pub struct DelegatedRequest {
        /// Service that was drawn for the request.
        pub service: ServiceName,
        /// Desired state on which the request was admitted; the delegate must
        /// not use an older one.
        pub config_version: ConfigVersion,
        /// Time until the deadline, in milliseconds.
        pub time_left_ms: u64,
        /// Time since the request arrived at the first instance, in
        /// milliseconds.
        pub waited_ms: u64,
        /// Time to wait for the head of the upstream's reply, in milliseconds.
        pub reply_wait_ms: u64,
        /// Whether the request was placed before, so that it counts as demand
        /// already.
        pub was_placed: bool,
        /// Id of the last event that the caller has received.
        pub resume_after: Option<u64>,
        /// Upstreams that must not get the request again.
        pub excluded: Vec<UpstreamId>,
        /// Upstreams on which the request failed.
        pub tried: Vec<UpstreamId>,
        /// Parts in quarantine of which the request is a trial.
        #[serde(default)]
        pub tried_parts: Vec<PartId>,
    }
}

value_type! {
    /// How the delegate's send ended.
    #[serde(rename_all = "snake_case")]
    pub enum DelegatedReply {
        /// The response is the reply of an upstream.
        Reply {
            /// Id of the upstream.
            upstream: UpstreamId,
            /// Predicted time to the first event, in milliseconds.
            expected_ms: u64,
        },
        /// The send ended without a usable reply.
        Ended {
            /// Upstream to which the request was sent; `None` if none was
            /// chosen.
            upstream: Option<UpstreamId>,
            /// How the send ended.
            outcome: SendOutcome,
        },
        /// The request was not sent, or the delegate gave it up.
        Refused {
            /// Reason of the delegate.
            code: RefusalCode,
            /// Description; only ASCII characters.
            message: String,
            /// Whether an upstream may have run the request.
            run_state: RunState,
            /// Time after which a retry may succeed, in milliseconds.
            retry_after_ms: Option<u64>,
        },
    }
}

impl DelegatedReply {
    /// Reply for a refusal of the delegate.
    pub fn refused(refusal: &Refusal) -> Self {
        let text = refusal.message.chars();
        Self::Refused {
            code: refusal.code,
            message: text.filter(|it| matches!(it, ' '..='~')).collect(),
            run_state: refusal.run_state,
            retry_after_ms: refusal.retry_after.map(millis),
        }
    }
}

/// Whether a refusal by a delegate concerns that instance only, so that another
/// one may send the request. Load and quarantines are known to all instances.
pub fn is_refused_by_instance(code: RefusalCode) -> bool {
    !matches!(
        code,
        RefusalCode::NoCapacity
            | RefusalCode::PromptQuarantined
            | RefusalCode::DeadlineExceeded
    )
}

/// Whole milliseconds of a duration.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Formats a value as JSON, and parses it, for use in a header.
macro_rules! json_text {
    ($name:ident) => {
        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
                let text = serde_json::to_string(self);
                formatter.write_str(&text.map_err(|_| std::fmt::Error)?)
            }
        }

        impl FromStr for $name {
            type Err = serde_json::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                serde_json::from_str(text)
            }
        }
    };
}

json_text!(DelegatedRequest);
json_text!(DelegatedReply);
