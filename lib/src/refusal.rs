//! Reasons for refusals and retries, and whether a request ran.
//!
//! Each refusal and retry reason has a stable code, which callers can match on
//! and which labels a counter in the metrics.

use std::{
    fmt::{Display, Formatter},
    sync::Arc,
    time::Duration,
};

use crate::value_type;

value_type! {
    /// Whether an upstream ran a request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RunState {
        /// No upstream received any part of the request that it could act on.
        NotRun,
        /// The request was sent, but its outcome is unknown.
        MayHaveRun,
        /// An upstream ran the request, at least in part.
        Ran,
    }
}

impl Display for RunState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        })
    }
}

/// Defines the refusal codes with their code text and HTTP status.
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
            /// All codes, in order of definition.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Stable code text, in `snake_case`.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// HTTP status of a response with the code.
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
    /// The credential is missing or invalid.
    Unauthenticated = "unauthenticated", 401;
    /// The credential does not permit the operation.
    Forbidden = "forbidden", 403;
    /// The path does not exist.
    UnknownPath = "unknown_path", 404;
    /// The model does not exist, or the workspace may not use it.
    UnknownModel = "unknown_model", 404;
    /// The plain service does not exist.
    UnknownService = "unknown_service", 404;
    /// No order with this id is known.
    UnknownOrder = "unknown_order", 404;
    /// The request body did not arrive within the time limit.
    SlowSender = "slow_sender", 408;
    /// The idempotency key was used for a different request.
    KeyConflict = "key_conflict", 409;
    /// The idempotency key is missing, malformed or too old.
    KeyInvalid = "key_invalid", 400;
    /// The first attempt with the idempotency key is still running.
    KeyInProgress = "key_in_progress", 409;
    /// An earlier attempt with the idempotency key may have run.
    KeyMayHaveRun = "key_may_have_run", 409;
    /// The request body exceeds the size limit.
    BodyTooLarge = "body_too_large", 413;
    /// No engine or group of engines can hold the prompt.
    PromptTooLarge = "prompt_too_large", 413;
    /// The order conflicts with an earlier one or refers to an unknown entity.
    OrderRejected = "order_rejected", 409;
    /// A limit of the workspace is exhausted.
    WorkspaceLimit = "workspace_limit", 429;
    /// Too many connections or requests from the caller's address.
    AddressLimit = "address_limit", 429;
    /// The queue of the priority class is full.
    QueueFull = "queue_full", 503;
    /// No engine is predicted to finish the request before its deadline.
    NoCapacity = "no_capacity", 503;
    /// No engine with the model, or no process of the service, can be used now.
    NoUpstream = "no_upstream", 503;
    /// The configuration may be out of date, so that no new work is accepted.
    ConfigurationStale = "configuration_stale", 503;
    /// Prompts with a part of this one crash engines.
    PromptQuarantined = "prompt_quarantined", 503;
    /// The instance has not read the configuration yet.
    NotReady = "not_ready", 503;
    /// The instance is shedding load.
    Overloaded = "overloaded", 503;
    /// The instance is shutting down.
    Stopping = "stopping", 503;
    /// The log service cannot be reached.
    LogUnavailable = "log_unavailable", 503;
    /// The upstream failed and no retry was possible.
    UpstreamFailed = "upstream_failed", 502;
    /// The response of the upstream ended without its end marker.
    AnswerTruncated = "answer_truncated", 502;
    /// The request's deadline has passed.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// An internal error of borageline.
    Internal = "internal", 500;
}

impl Display for RefusalCode {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Why a request was retried.
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
    /// The owner of the engine refused the grant.
    GrantRefused,
    /// The owner of the engine did not respond to the grant request.
    OwnerUnreachable,
    /// The grant expired before the request was sent.
    GrantExpired,
    /// The engine refused the request for lack of memory or slots.
    EngineOvercommitted,
    /// The engine failed before the first chunk of the completion.
    FailedBeforeFirstPart,
    /// The stream broke off and is resumed at the next token index.
    AnswerCut,
    /// The upstream was drained or left, or its failure domain was closed.
    UpstreamLeaving,
}

impl RetryReason {
    /// All reasons, in order of definition.
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

    /// Stable code text, in `snake_case`.
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

/// A refusal or failure of a request, as reported to the caller.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Human-readable description.
    pub message: Arc<str>,
    /// Whether an upstream ran the request.
    pub run_state: RunState,
    /// Time after which a retry may succeed. `None` if a retry is not expected
    /// to help or the time is unknown.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run, without a retry time.
    pub fn new(code: RefusalCode, message: impl Into<Arc<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            run_state: RunState::NotRun,
            retry_after: None,
        }
    }

    /// Sets whether an upstream ran the request.
    pub fn with_run_state(self, run_state: RunState) -> Self {
        Self { run_state, ..self }
    }

    /// Sets the time after which a retry may succeed.
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
