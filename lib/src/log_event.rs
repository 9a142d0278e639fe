//! Catalogue of log events.
//!
//! Each event has a stable number and a stable short name, by which operators
//! and tools recognize it; neither is ever reused for another event.
//! `docs/log-events.md` lists the events with their fields and what to do.

/// Defines the log events with their number, short name and level.
macro_rules! log_events {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal, $level:ident;)*) => {
        /// Type of a log line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum LogEvent {
            $($(#[$meta])* $name,)*
        }

        impl LogEvent {
            /// All events, in order of definition.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Stable number of the event.
            pub const fn number(self) -> u32 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Stable short name of the event, in `snake_case`.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Severity at which the event is logged.
            pub const fn level(self) -> log::Level {
                match self {
                    $(Self::$name => log::Level::$level,)*
                }
            }
        }
    };
}

log_events! {
    /// The instance has started.
    InstanceStarted = 100, "instance_started", Info;
    /// The instance is ready to accept requests.
    InstanceReady = 101, "instance_ready", Info;
    /// A graceful shutdown has begun.
    StopBegun = 102, "stop_begun", Info;
    /// The graceful shutdown is complete.
    StopDone = 103, "stop_done", Info;
    /// A listener could not accept a connection.
    AcceptFailed = 110, "accept_failed", Warn;
    /// A request was refused or failed.
    RequestRefused = 200, "request_refused", Debug;
    /// A request was retried.
    RequestRetried = 201, "request_retried", Info;
    /// A chunk of a completion carried the id of another request.
    ForeignPart = 202, "foreign_part", Warn;
    /// A completion ended without its end marker.
    AnswerTruncated = 203, "answer_truncated", Warn;
    /// A connection to an upstream was made through another instance.
    UpstreamRelayed = 204, "upstream_relayed", Info;
    /// A planned stop refused a request, or ended it before its deadline.
    RequestStopped = 205, "request_stopped", Info;
    /// A call to a peer failed.
    PeerUnreachable = 300, "peer_unreachable", Warn;
    /// The state of a member changed.
    MemberChanged = 301, "member_changed", Info;
    /// The assignment of engines to owners changed.
    OwnershipTaken = 302, "ownership_taken", Info;
    /// The ledger of an engine differed from the requests that the engine
    /// lists.
    AccountCorrected = 303, "account_corrected", Warn;
    /// An engine has restarted and has a new incarnation.
    EngineRestarted = 304, "engine_restarted", Warn;
    /// A newer configuration was applied.
    ConfigurationApplied = 400, "configuration_applied", Info;
    /// An invalid record of the log was skipped.
    RecordSkipped = 401, "record_skipped", Error;
    /// The log service cannot be reached.
    LogUnavailable = 402, "log_unavailable", Warn;
    /// The log service can be reached again after an outage.
    LogAvailable = 403, "log_available", Info;
    /// The configuration may be out of date, so that no new work is accepted.
    ConfigurationStale = 404, "configuration_stale", Warn;
    /// A snapshot of the configuration was appended to the log.
    SnapshotAppended = 405, "snapshot_appended", Info;
    /// An operator order was accepted or rejected.
    OrderJudged = 406, "order_judged", Info;
    /// The instance list cannot be read.
    ListUnavailable = 410, "list_unavailable", Warn;
    /// An order was sent to an engine.
    EngineOrderSent = 411, "engine_order_sent", Info;
    /// An order to an engine failed and will be sent again later.
    EngineOrderFailed = 412, "engine_order_failed", Warn;
    /// An engine has loaded a model as ordered.
    EngineModelLoaded = 413, "engine_model_loaded", Info;
    /// A call attempt was abandoned and its idempotency key released.
    CallReleased = 500, "call_released", Info;
    /// The outcome of a call could not be recorded.
    OutcomeUnrecorded = 501, "outcome_unrecorded", Error;
    /// A request was sent to an upstream.
    RequestPlaced = 600, "request_placed", Info;
    /// A request has ended.
    RequestFinished = 601, "request_finished", Info;
    /// A request to an upstream failed before a response was received.
    SendFailed = 602, "send_failed", Warn;
    /// A request was refused before it was sent to an upstream.
    RequestRejected = 603, "request_rejected", Info;
    /// A caller disconnected before its response was complete.
    CallerLeft = 604, "caller_left", Info;
    /// An engine refused a memory reservation order or did not respond to it.
    MemoryOrderFailed = 605, "memory_order_failed", Warn;
    /// The connection of a caller failed.
    CallerConnectionFailed = 606, "caller_connection_failed", Debug;
    /// A request is sent to an upstream through another instance.
    RequestDelegated = 607, "request_delegated", Info;
    /// An answer was cut off after its beginning had reached the caller.
    AnswerCut = 608, "answer_cut", Warn;
    /// An upstream that had fallen silent goes on with its stream, before
    /// another one has begun.
    StreamContinued = 609, "stream_continued", Info;
    /// An upstream was added to the instance list, changed or removed.
    UpstreamChanged = 610, "upstream_changed", Info;
    /// A failure domain was closed or reopened.
    DomainChanged = 612, "domain_changed", Info;
    /// An upstream named another limit of requests, or none any more.
    UpstreamLimitChanged = 613, "upstream_limit_changed", Warn;
    /// The links of the instance to the upstreams of a service were lost, are
    /// in doubt or are back.
    LinksChanged = 614, "links_changed", Warn;
    /// An upstream turned a request away and wants none for some time.
    UpstreamPaused = 615, "upstream_paused", Warn;
    /// The platform's topic store does not respond.
    StoreLost = 620, "store_lost", Warn;
    /// A topic can be read again after the store was unavailable.
    StoreRegained = 621, "store_regained", Info;
    /// A topic is read again as a whole: records were missed, or the store is
    /// unavailable and the copy of another instance is used.
    TopicReread = 622, "topic_reread", Info;
    /// A topic is now read from another source: the store or another instance.
    ReadSourceChanged = 623, "read_source_changed", Info;
    /// The copy of a topic offered by another instance cannot be used.
    CopyRejected = 624, "copy_rejected", Warn;
    /// The store was restored from an earlier copy of itself.
    StoreRestored = 625, "store_restored", Warn;
    /// A changed settings file was loaded.
    SettingsReloaded = 630, "settings_reloaded", Info;
    /// The changed settings file is invalid; the previous settings stay in
    /// effect.
    SettingsRejected = 631, "settings_rejected", Error;
    /// Log lines were dropped, because the log was written too fast.
    LogLinesDropped = 632, "log_lines_dropped", Warn;
    /// An engine crashed before it had answered a request.
    EngineCrashed = 640, "engine_crashed", Warn;
    /// A part of prompts is in quarantine, or has caused further crashes.
    PartQuarantined = 641, "part_quarantined", Warn;
    /// A part of prompts has left the quarantine.
    PartReleased = 642, "part_released", Info;
    /// An upstream broke off a request and has not been shown to have crashed.
    CrashUnconfirmed = 643, "crash_unconfirmed", Info;
    /// A request is sent as a trial of a part in quarantine.
    PartTried = 644, "part_tried", Info;
    /// The instance holds the lease of the singleton duties.
    LeaseAcquired = 650, "lease_acquired", Info;
    /// The instance no longer holds the lease of the singleton duties.
    LeaseEnded = 651, "lease_ended", Warn;
    /// The instance has claimed the lease of the singleton duties.
    LeaseClaimed = 652, "lease_claimed", Info;
    /// The records of the lease name another holder.
    LeaseHolderChanged = 653, "lease_holder_changed", Info;
    /// Records of the lease were lost: the store was restored, or has dropped
    /// them.
    LeaseRecordsLost = 654, "lease_records_lost", Warn;
    /// A record of the lease could not be read or appended.
    DutyStoreFailed = 655, "duty_store_failed", Warn;
    /// A call of a singleton duty failed.
    DutyCallFailed = 656, "duty_call_failed", Warn;
    /// Another number of engines was ordered.
    EnginesOrdered = 660, "engines_ordered", Info;
    /// An order for a number of engines was refused or got no response.
    EnginesNotOrdered = 661, "engines_not_ordered", Warn;
    /// The demand for a service compares differently with its engines.
    ScalingStateChanged = 662, "scaling_state_changed", Info;
    /// The begins of a usage window were collected.
    UsageCollected = 670, "usage_collected", Info;
    /// The report of a usage window was accepted.
    UsageReported = 671, "usage_reported", Info;
    /// The report of a usage window was not accepted and is sent again.
    UsageNotAccepted = 672, "usage_not_accepted", Warn;
    /// Usage windows get no report.
    UsageWindowMissed = 673, "usage_window_missed", Error;
    /// Usage is not counted on this instance, or its counts cannot be sent.
    UsageUnavailable = 674, "usage_unavailable", Error;
}
