//! Log output, one JSON object per line.
//!
//! The log goes to standard error, or through a bounded queue to standard
//! output. Each event of the process has a number and a short name, which
//! operators' tools match; the text is for people.

mod bounded;
mod event_layout;

use borageline_lib::log_event::LogEvent;
use logforth::{append::Stderr, record::LevelFilter};

pub use self::{
    bounded::{BoundedStdout, LineLimits},
    event_layout::EventLayout,
};

/// Sends the log of the process to standard error.
///
/// Fails if the process already has a logger.
pub fn start(level: LevelFilter) -> Result<(), logforth::Error> {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(level)
                .append(Stderr::default().with_layout(EventLayout))
        })
        .try_apply()
}

/// Sends the log of the process to standard output, through a bounded queue.
/// Logging never blocks; lines over the limits are counted and dropped.
///
/// Fails if the process already has a logger.
pub fn start_bounded(
    level: LevelFilter,
    limits: LineLimits,
) -> Result<(), logforth::Error> {
    let output = BoundedStdout::start(limits);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(level).append(output))
        .try_apply()
}

/// Logs an event with its number and name.
pub fn event(event: LogEvent, text: &str) {
    log::log!(
        event.level(),
        event = event.number(), name = event.name();
        "{text}"
    );
}

/// Logs an event, with the inputs and the outcome of a decision as fields.
#[macro_export]
macro_rules! log_decision {
    ($event:expr, { $($key:ident = $value:expr),* $(,)? }, $($text:tt)+) => {{
        let event: ::borageline_lib::log_event::LogEvent = $event;
        ::log::log!(
            event.level(),
            event = event.number(), name = event.name(),
            $($key:% = $value),*;
            $($text)+
        )
    }};
}
