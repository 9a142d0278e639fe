//! Applies changes of the settings file while the gateway runs.

use std::{
    io,
    path::{Path, PathBuf},
    sync::{Arc, PoisonError},
    time::Duration,
};

use borageline_lib::{
    gateway::{gateway_settings::GatewaySettings, wire::GatewayWire},
    log_event::LogEvent,
};
use tokio::signal::unix::{SignalKind, signal};

use super::SharedGateway;
use crate::log_decision;

/// Interval between reads of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file until the process ends; SIGHUP triggers a read at
/// once.
pub(super) fn start<W: GatewayWire>(
    context: &SharedGateway<W>,
    path: PathBuf,
) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let context = context.clone();
    let mut text = std::fs::read_to_string(&path)?;
    tokio::spawn(async move {
        loop {
            let signalled = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(POLL_INTERVAL) => false,
            };
            if let Some(changed) = read_changed(&path, &text) {
                text = changed;
                apply(&context, &text, signalled);
            }
        }
    });
    Ok(())
}

fn read_changed(path: &Path, before: &str) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => (text != before).then_some(text),
        Err(error) => {
            log_decision!(
                LogEvent::SettingsRejected,
                { path = path.display() },
                "settings file cannot be read: {error}",
            );
            None
        }
    }
}

fn apply<W: GatewayWire>(
    context: &SharedGateway<W>,
    text: &str,
    signalled: bool,
) {
    match GatewaySettings::parse(text) {
        Ok(settings) => {
            let settings = Arc::new(settings);
            context.core().apply_settings(settings.clone());
            context.memory.set_total(settings.account_bytes());
            *context
                .settings
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = settings;
            log_decision!(
                LogEvent::SettingsReloaded,
                { signalled = signalled },
                "settings reloaded; listeners remain unchanged",
            );
        }
        Err(error) => log_decision!(
            LogEvent::SettingsRejected,
            { signalled = signalled },
            "{error}",
        ),
    }
}
