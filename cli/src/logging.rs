//! Log lines: one JSON object a line.

mod bounded;

use borageline_lib::log_event::LogEvent;
use logforth::{append::Stderr, layout::JsonLayout, record::LevelFilter};

pub use self::bounded::{BoundedStdout, LineLimits};

/// Directs the log of the process to standard error.
///
/// Fails if the process has a logger already.
pub fn start(level: LevelFilter) -> Result<(), logforth::Error> {
    let layout = JsonLayout::default();
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(level)
                .append(Stderr::default().with_layout(layout))
        })
        .try_apply()
}

/// Directs the log of the process to standard output, through a bounded
/// queue. Writing a line never waits; lines over the limits are counted and
/// left out.
///
/// Fails if the process has a logger already.
pub fn start_bounded(
    level: LevelFilter,
    limits: LineLimits,
) -> Result<(), logforth::Error> {
    let output = BoundedStdout::start(JsonLayout::default(), limits);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(level).append(output))
        .try_apply()
}

/// Logs a numbered event.
pub fn event(event: LogEvent, text: &str) {
    log::log!(
        event.level(),
        event = event.number(), name = event.name();
        "{text}"
    );
}

/// Logs a numbered event with the inputs and the outcome of a decision.
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
