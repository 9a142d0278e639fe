//! Log lines: one JSON object a line on standard error.

use borageline_lib::log_event::LogEvent;
use logforth::{append::Stderr, record::LevelFilter};

/// Directs the log of the process to standard error.
///
/// Fails if the process has a logger already.
pub fn start(level: LevelFilter) -> Result<(), logforth::Error> {
    let layout = logforth::layout::JsonLayout::default();
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(level)
                .append(Stderr::default().with_layout(layout))
        })
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
