//! Reasons for refusals and retries, and whether a request ran.
//!
//! Each reason has a stable code that callers can match and that names a
//! counter in the metrics.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
    time::Duration,
};

use crate::value_type;

value_type! {
    /// Whether the upstream has run a request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RunState {
        /// No byte of the request reached an upstream that acts on it.
        NotRun,
        /// The request was sent and its outcome is not known.
        MayHaveRun,
        /// The upstream ran the request, at least in part.
        Ran,
    }
}

/// Defines the refusal codes with their text and HTTP status.
macro_rules! refusal_codes {
    ($($(#[$meta:meta])* $name:ident = $code:literal, $status:literal;)*) => {
        /// Why a request was refused or failed.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize,
        )]
        pub enum RefusalCode {
            $($(#[$meta])* $name,)*
        }

        impl RefusalCode {
            /// All codes, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Stable text of the code.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// HTTP status that goes with the code.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

refusal_codes! {
    /// The body or a header is malformed.
    Malformed = "malformed", 400;
    /// The credential is missing or wrong.
    Unauthenticated = "unauthenticated", 401;
    /// The credential does not allow this.
    Forbidden = "forbidden", 403;
    /// No such path.
    UnknownPath = "unknown_path", 404;
    /// No such model, or none that this workspace may use.
    UnknownModel = "unknown_model", 404;
    /// No such plain service.
    UnknownService = "unknown_service", 404;
    /// No such order.
    UnknownOrder = "unknown_order", 404;
    /// The caller sent its request too slowly.
    SlowSender = "slow_sender", 408;
    /// The idempotency key belongs to another request.
    KeyConflict = "key_conflict", 409;
    /// The idempotency key is missing, malformed or too old.
    KeyInvalid = "key_invalid", 400;
    /// The first use of the key is still under way.
    KeyInProgress = "key_in_progress", 409;
    /// An earlier attempt with this key may have run.
    KeyMayHaveRun = "key_may_have_run", 409;
    /// The body is larger than allowed.
    BodyTooLarge = "body_too_large", 413;
    /// No engine or group of engines can hold the prompt.
    PromptTooLarge = "prompt_too_large", 413;
    /// The order lost to another or names something unknown.
    OrderRejected = "order_rejected", 409;
    /// A limit of the workspace is used up.
    WorkspaceLimit = "workspace_limit", 429;
    /// Too many connections or requests from one address.
    AddressLimit = "address_limit", 429;
    /// The queue for this class is full.
    QueueFull = "queue_full", 503;
    /// No engine is predicted to finish in time.
    NoCapacity = "no_capacity", 503;
    /// No engine of the model can be used now.
    NoUpstream = "no_upstream", 503;
    /// The configuration may be out of date.
    ConfigurationStale = "configuration_stale", 503;
    /// The instance has not yet read its configuration.
    NotReady = "not_ready", 503;
    /// The instance sheds load.
    Overloaded = "overloaded", 503;
    /// The instance is stopping.
    Stopping = "stopping", 503;
    /// The log service cannot be reached.
    LogUnavailable = "log_unavailable", 503;
    /// The upstream failed and no retry was possible.
    UpstreamFailed = "upstream_failed", 502;
    /// The answer ended without its end marker.
    AnswerTruncated = "answer_truncated", 502;
    /// The request's deadline has passed.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// A fault in borageline itself.
    Internal = "internal", 500;
}

impl Display for RefusalCode {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request was tried again.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum RetryReason {
    /// The connection was refused; nothing was sent.
    ConnectFailed,
    /// The owner refused the grant.
    GrantRefused,
    /// The owner of the engine did not answer.
    OwnerUnreachable,
    /// The grant expired before the request was sent.
    GrantExpired,
    /// The engine refused the request as it could not hold it.
    EngineOvercommitted,
    /// The engine failed before the first part of the answer.
    FailedBeforeFirstPart,
    /// The answer was cut and is resumed from its index.
    AnswerCut,
    /// The engine left or its failure domain was closed.
    UpstreamLeaving,
}

impl RetryReason {
    /// All reasons, in the order of their definition.
    pub const ALL: &[Self] = &[
        Self::ConnectFailed,
        Self::GrantRefused,
        Self::OwnerUnreachable,
        Self::GrantExpired,
        Self::EngineOvercommitted,
        Self::FailedBeforeFirstPart,
        Self::AnswerCut,
        Self::UpstreamLeaving,
    ];

    /// Stable text of the reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::GrantRefused => "grant_refused",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::GrantExpired => "grant_expired",
            Self::EngineOvercommitted => "engine_overcommitted",
            Self::FailedBeforeFirstPart => "failed_before_first_part",
            Self::AnswerCut => "answer_cut",
            Self::UpstreamLeaving => "upstream_leaving",
        }
    }
}

impl Display for RetryReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// What was wrong, for people.
    pub message: Arc<str>,
    /// Whether the request ran.
    pub run_state: RunState,
    /// When a repeat may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn new(code: RefusalCode, message: impl Into<Arc<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            run_state: RunState::NotRun,
            retry_after: None,
        }
    }

    /// Sets whether the request ran.
    pub fn with_run_state(self, run_state: RunState) -> Self {
        Self { run_state, ..self }
    }

    /// Sets when a repeat may succeed.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}

impl Display for Refusal {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for Refusal {}
