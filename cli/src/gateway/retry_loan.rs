//! Retries that other instances lend.
//!
//! Each instance has an equal part of the limit on retries. At many instances
//! that is one or two in a window, while an instance that loses its links, or an
//! upstream that crashes, breaks off several requests of one instance at once.
//! An instance whose part is spent asks others for one of theirs; the lender
//! counts it as its own, so that the limit holds for all together.

use std::time::Duration;

use borageline_lib::{gateway::wire::GatewayWire, ids::ServiceName};
use http::{Method, StatusCode};

use super::{SharedGateway, forward::CallerAttempt};
use crate::http_client::{CallTarget, plain_request};

/// Path with which instances ask each other for a retry.
const LOAN_PREFIX: &str = "/retries/";
/// Time for the answer of one instance.
const LOAN_TIMEOUT: Duration = Duration::from_millis(100);

impl<W: GatewayWire> CallerAttempt<W> {
    /// Counts one more send against the retry budget of this instance or, if
    /// that is spent, of another one.
    pub(super) async fn pay_for_resend(&self) -> bool {
        let now = self.context.now();
        let service = &self.admitted.service;
        if self.context.core().spend_retry(now, service) {
            return true;
        }
        let lenders = self.context.core().retry_lenders(now, service);
        let has_asked = !lenders.is_empty();
        for ip in lenders {
            let peer = self.context.settings().peer_address_of(ip);
            let path = format!("{LOAN_PREFIX}{service}");
            let target = CallTarget {
                step: "borrow retry",
                peer,
                timeout: LOAN_TIMEOUT.min(self.time_left()),
            };
            let request = plain_request(Method::POST, peer, &path);
            let answer = self.context.peers.send(target, request).await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                self.context.metrics.count_retry_loan(true);
                return true;
            }
        }
        if has_asked {
            let now = self.context.now();
            self.context.core().pause_borrowing(now, service);
            self.context.metrics.count_retry_loan(false);
        }
        false
    }
}

/// Service for which another instance asks for a retry; `None` if the path asks
/// for something else.
pub(super) fn asked_service(path: &str) -> Option<ServiceName> {
    path.strip_prefix(LOAN_PREFIX)?.parse().ok()
}

/// Answers another instance: 200 if it may make one more send, 409 if not.
pub(super) fn answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    service: &ServiceName,
) -> StatusCode {
    let now = context.now();
    if context.core().lend_retry(now, service) {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    }
}
