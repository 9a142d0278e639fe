//! Checks the status of upstreams that may have left although they are listed.

use std::time::Duration;

use borageline_lib::{
    gateway::{gateway_core::StatusCheck, wire::GatewayWire},
    log_event::LogEvent,
};

use super::{SharedGateway, reservations::with_absolute_uri};
use crate::{http_client::CallTarget, log_decision};

/// Interval at which due checks are looked for, unless a list entry asks for
/// them at once.
const CHECK_TICK: Duration = Duration::from_millis(100);
/// Timeout for the reply: a check waits for a slot of the upstream.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends due status checks until the process ends.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    tokio::spawn(send_checks(context.clone()));
}

async fn send_checks<W: GatewayWire>(context: SharedGateway<W>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_TICK) => {}
            () = context.status_check_due.notified() => {}
        }
        let now = context.now();
        let checks = context.core().next_status_checks(now);
        for check in checks {
            tokio::spawn(run_check(context.clone(), check));
        }
    }
}

async fn run_check<W: GatewayWire>(
    context: SharedGateway<W>,
    check: StatusCheck,
) {
    let StatusCheck {
        process,
        address,
        path,
    } = check;
    let upstream = process.upstream.clone();
    let request = context.wire.status_check(&upstream, &path);
    let request = with_absolute_uri(request, address);
    let target = CallTarget {
        step: "status check",
        peer: address,
        timeout: CHECK_TIMEOUT,
    };
    let text = match context.upstreams.send(target, request).await {
        Ok(response) => {
            let (head, _) = response.into_parts();
            if context.wire.is_serving(&upstream, &head) {
                if context.core().confirm_upstream(&process) {
                    log_decision!(
                        LogEvent::UpstreamChanged,
                        { upstream = upstream, state = "confirmed" },
                        "{upstream} is back in the list and serves",
                    );
                }
                return;
            }
            if context.wire.is_leaving(&head) {
                let now = context.now();
                context.core().mark_leaving(now, process);
            }
            format!("status {}", head.status)
        }
        Err(error) => error.to_string(),
    };
    log_decision!(
        LogEvent::UpstreamChanged,
        { upstream = upstream, state = "doubtful" },
        "{upstream} is listed again but does not confirm it: {text}",
    );
}
