//! Numbered log events.
//!
//! Each event has a number that never changes its meaning and a short name.
//! `docs/log-events.md` lists them with their fields and what to do.

/// Defines the log events with number, name and level.
macro_rules! log_events {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal, $level:ident;)*) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum LogEvent {
            $($(#[$meta])* $name,)*
        }

        impl LogEvent {
            /// All events, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Number of the event.
            pub const fn number(self) -> u32 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Short name of the event.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Level at which the event is logged.
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
    /// The instance accepts requests.
    InstanceReady = 101, "instance_ready", Info;
    /// A planned stop has begun.
    StopBegun = 102, "stop_begun", Info;
    /// The planned stop is over.
    StopDone = 103, "stop_done", Info;
    /// A listener could not accept a connection.
    AcceptFailed = 110, "accept_failed", Warn;
    /// A request was refused or failed.
    RequestRefused = 200, "request_refused", Debug;
    /// A request was tried again.
    RequestRetried = 201, "request_retried", Info;
    /// A part of an answer carried another request's id.
    ForeignPart = 202, "foreign_part", Warn;
    /// An answer ended without its end marker.
    AnswerTruncated = 203, "answer_truncated", Warn;
    /// A peer could not be reached.
    PeerUnreachable = 300, "peer_unreachable", Warn;
    /// A member's state changed.
    MemberChanged = 301, "member_changed", Info;
    /// An engine's ownership was taken over.
    OwnershipTaken = 302, "ownership_taken", Info;
    /// An engine's account differed from the engine's own list.
    AccountCorrected = 303, "account_corrected", Warn;
    /// An engine came back with another incarnation.
    EngineRestarted = 304, "engine_restarted", Warn;
    /// A newer configuration was applied.
    ConfigurationApplied = 400, "configuration_applied", Info;
    /// A record of the log was invalid and was skipped.
    RecordSkipped = 401, "record_skipped", Error;
    /// The log service cannot be reached.
    LogUnavailable = 402, "log_unavailable", Warn;
    /// The log service can be reached again.
    LogAvailable = 403, "log_available", Info;
    /// The configuration is too old to act on.
    ConfigurationStale = 404, "configuration_stale", Warn;
    /// A snapshot of the configuration was appended.
    SnapshotAppended = 405, "snapshot_appended", Info;
    /// An operator order was judged.
    OrderJudged = 406, "order_judged", Info;
    /// The instance list cannot be read.
    ListUnavailable = 410, "list_unavailable", Warn;
    /// An order was given to an engine.
    EngineOrderSent = 411, "engine_order_sent", Info;
    /// An order to an engine had no effect and is repeated later.
    EngineOrderFailed = 412, "engine_order_failed", Warn;
    /// An engine loaded a model that it was ordered to load.
    EngineModelLoaded = 413, "engine_model_loaded", Info;
    /// A call attempt was given up and its key released.
    CallReleased = 500, "call_released", Info;
    /// The outcome of a call could not be recorded.
    OutcomeUnrecorded = 501, "outcome_unrecorded", Error;
    /// A request was sent to an upstream.
    RequestPlaced = 600, "request_placed", Info;
    /// A request has ended.
    RequestFinished = 601, "request_finished", Info;
    /// A send to an upstream ended without an answer.
    SendFailed = 602, "send_failed", Warn;
    /// A request was refused without being sent.
    RequestRejected = 603, "request_rejected", Info;
    /// A caller left before its answer was complete.
    CallerLeft = 604, "caller_left", Info;
    /// An order about an engine's memory was refused or not answered.
    MemoryOrderFailed = 605, "memory_order_failed", Warn;
    /// A caller's connection failed.
    CallerConnectionFailed = 606, "caller_connection_failed", Debug;
    /// An upstream was listed, has changed or is gone.
    UpstreamChanged = 610, "upstream_changed", Info;
    /// A failure domain was closed or reopened.
    DomainChanged = 612, "domain_changed", Info;
    /// The platform's store does not answer.
    StoreLost = 620, "store_lost", Warn;
    /// A topic is read again after the store was away.
    StoreRegained = 621, "store_regained", Info;
    /// A topic is read anew, since records are gone or were missed.
    TopicReread = 622, "topic_reread", Info;
    /// A topic is read from another place: the store or another instance.
    ReadSourceChanged = 623, "read_source_changed", Info;
    /// Another instance's copy of a topic cannot be used.
    CopyRejected = 624, "copy_rejected", Warn;
    /// The settings file has changed.
    SettingsReloaded = 630, "settings_reloaded", Info;
    /// The changed settings file is wrong; the last settings stay.
    SettingsRejected = 631, "settings_rejected", Error;
    /// Log lines were left out, since there were too many.
    LogLinesDropped = 632, "log_lines_dropped", Warn;
}
