//! Passes requests on to other instances while this one has no links to the
//! upstreams of a service.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        attempt::SendOutcome,
        delegation::{
            DelegatedReply, DelegatedRequest, is_refused_by_instance, millis,
        },
        wire::GatewayWire,
    },
    ids::UpstreamId,
    log_event::LogEvent,
    refusal::{Refusal, RefusalCode, RunState},
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Uri, header};
use http_body_util::Full;

use super::{
    SharedGateway,
    forward::{CallerAttempt, ReplyPath, SendError, UpstreamReply},
    reply_body::ReplyBody,
};
use crate::{
    http_client::{CallTarget, HttpError},
    log_decision,
};

/// Header with the [`DelegatedRequest`] of a request.
pub(super) const REQUEST_HEADER: HeaderName =
    HeaderName::from_static("borageline-delegated");
/// Header with the [`DelegatedReply`] of a response.
pub(super) const REPLY_HEADER: HeaderName =
    HeaderName::from_static("borageline-delegate");
/// Time that the delegate's report of a timeout may take in addition to the
/// timeout.
const REPORT_MARGIN: Duration = Duration::from_millis(100);

/// Headers of the caller's connection.
const CONNECTION_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::UPGRADE,
    header::EXPECT,
];

/// Counts a request that another instance sends, until it is dropped.
#[derive(Debug)]
pub(super) struct DelegationGuard<W: GatewayWire> {
    context: SharedGateway<W>,
    ip: IpAddr,
}

impl<W: GatewayWire> DelegationGuard<W> {
    fn new(context: &SharedGateway<W>, ip: IpAddr) -> Self {
        context.core().begin_delegation(ip);
        Self {
            context: context.clone(),
            ip,
        }
    }
}

impl<W: GatewayWire> Drop for DelegationGuard<W> {
    fn drop(&mut self) {
        self.context.core().end_delegation(self.ip);
    }
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// Sends the request to an upstream through another instance and waits for
    /// the head of the reply.
    pub(super) async fn send_through(
        &mut self,
        ip: IpAddr,
        resume_after: Option<u64>,
        wait: impl Fn(Duration) -> Duration,
    ) -> Result<UpstreamReply<W>, SendError> {
        let peer = self.context.settings().peer_address_of(ip);
        // What the delegate expects is not known yet.
        let expected = self.admitted.route.latency_target;
        let reply_wait = wait(expected).min(self.time_left());
        let reply_wait = if self.stop_allows_resend(reply_wait) {
            reply_wait
        } else {
            // Nothing else could take the request after that.
            self.time_left()
        };
        let request = self.delegated_request(peer, resume_after, reply_wait);
        let before = self.record.run_state();
        self.begin_send();
        if self.sends == 1 {
            self.timings.waited = self.elapsed();
        }
        log_decision!(
            LogEvent::RequestDelegated,
            {
                request = self.id(),
                route = self.admitted.route.name,
                service = self.admitted.service,
                delegate = ip,
                time_left_ms = self.time_left().as_millis(),
            },
            "send {} through {ip}", self.sends,
        );
        let guard = DelegationGuard::new(&self.context, ip);
        let target = CallTarget {
            step: "delegate",
            peer,
            timeout: (reply_wait + REPORT_MARGIN).min(self.time_left()),
        };
        let sent = tokio::select! {
            biased;
            sent = self.context.delegates.send(target, request) => sent,
            refusal = self.wait_until_held() => {
                return Err(SendError::Refused(refusal));
            }
            refusal = self.context.wait_until_stop_ends() => {
                return Err(SendError::Refused(refusal));
            }
        };
        let (mut head, body) = match sent {
            Ok(response) => response.into_parts(),
            Err(error) => {
                let outcome = match error {
                    HttpError::ConnectFailed { .. } => {
                        SendOutcome::NotConnected
                    }
                    _ => SendOutcome::Lost,
                };
                self.record_failed_delegate(ip, outcome, &error.to_string());
                return Err(SendError::Ended(before, outcome));
            }
        };
        let report = match head.headers.remove(REPLY_HEADER) {
            Some(value) => parse_report(&value),
            // An older build rejects what it does not know before it does
            // anything.
            None => DelegatedReply::refused(&Refusal::new(
                RefusalCode::NotReady,
                format!("status {} without a report", head.status),
            )),
        };
        let (upstream, time_to_first_event) =
            self.apply_report(ip, before, report)?;
        let process = {
            let core = self.context.core();
            core.upstreams().get(&upstream).map(|it| it.entry.process())
        };
        if let Some(process) = process {
            self.record_departure(process, &head);
        }
        self.timings.expected = time_to_first_event;
        Ok(UpstreamReply {
            head,
            body: ReplyBody::new(body, self.reply_deadline()),
            upstream,
            path: ReplyPath::Delegated(guard),
            time_to_first_event,
        })
    }

    /// Applies the report of a delegate on its send. `before` is the run state
    /// before it. Returns the upstream that replied and the predicted time to
    /// the first event.
    fn apply_report(
        &mut self,
        ip: IpAddr,
        before: RunState,
        report: DelegatedReply,
    ) -> Result<(UpstreamId, Duration), SendError> {
        let outcome = match report {
            DelegatedReply::Reply {
                upstream,
                expected_ms,
            } => return Ok((upstream, Duration::from_millis(expected_ms))),
            DelegatedReply::Ended { upstream, outcome } => {
                let text = format!("the delegate {ip} reports it");
                match upstream {
                    Some(id) => {
                        self.unreached.retain(|unreached| *unreached != id);
                        self.record_failed_send(&id, outcome, &text);
                    }
                    None => self.record_failed_delegate(ip, outcome, &text),
                }
                outcome
            }
            DelegatedReply::Refused {
                code,
                message,
                run_state: RunState::NotRun,
                retry_after_ms,
            } if !is_refused_by_instance(code) => {
                let now = self.context.now();
                let declined = SendOutcome::Declined;
                self.record.finish_send(now, before, declined);
                return Err(SendError::Refused(Refusal {
                    retry_after: retry_after_ms.map(Duration::from_millis),
                    ..Refusal::new(code, message)
                }));
            }
            DelegatedReply::Refused {
                code,
                message,
                run_state,
                ..
            } => {
                let outcome = match run_state {
                    RunState::NotRun => SendOutcome::NotConnected,
                    _ => SendOutcome::Lost,
                };
                let text = format!("{code}: {message}");
                self.record_failed_delegate(ip, outcome, &text);
                outcome
            }
        };
        Err(SendError::Ended(before, outcome))
    }

    fn delegated_request(
        &self,
        peer: SocketAddr,
        resume_after: Option<u64>,
        reply_wait: Duration,
    ) -> Request<Full<Bytes>> {
        let data = DelegatedRequest {
            service: self.admitted.service.clone(),
            config_version: self.admitted.config_version,
            time_left_ms: millis(self.time_left()),
            waited_ms: millis(self.elapsed()),
            reply_wait_ms: millis(reply_wait),
            was_placed: self.was_placed,
            resume_after,
            excluded: self.excluded_elsewhere(),
            tried: self.tried.clone(),
            tried_parts: self
                .trial
                .as_ref()
                .map_or_else(Vec::new, |trial| trial.parts.clone()),
        };
        let body = self.body.as_ref().map(|body| body.bytes());
        let mut request = Request::new(Full::new(body.unwrap_or_default()));
        *request.method_mut() = self.head.method.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        for name in CONNECTION_HEADERS {
            headers.remove(name);
        }
        // A body that arrived in chunks has a known length by now.
        headers.remove(header::CONTENT_LENGTH);
        headers.insert(REQUEST_HEADER, header_value(&data.to_string()));
        let mut parts = self.head.uri.clone().into_parts();
        parts.scheme = Some(http::uri::Scheme::HTTP);
        let authority = peer.to_string().parse();
        parts.authority =
            Some(authority.expect("a socket address is an authority"));
        *request.uri_mut() = Uri::from_parts(parts)
            .expect("a path with an authority makes a URI");
        request
    }

    /// Upstreams that must not get the request from another instance either.
    fn excluded_elsewhere(&self) -> Vec<UpstreamId> {
        let excluded = self.excluded.iter();
        excluded
            .filter(|id| !self.unreached.contains(id))
            .cloned()
            .collect()
    }

    /// Records that an instance could not send the request.
    fn record_failed_delegate(
        &mut self,
        ip: IpAddr,
        outcome: SendOutcome,
        text: &str,
    ) {
        if !outcome.proves_not_run() {
            self.trial = None;
        }
        let now = self.context.now();
        let avoided = self.context.core().record_delegate_failure(now, ip);
        self.failed_delegates.push(ip);
        log_decision!(
            LogEvent::SendFailed,
            {
                request = self.id(),
                delegate = ip,
                outcome = format_args!("{outcome:?}"),
                avoided_ms = avoided.as_millis(),
                elapsed_ms = self.elapsed().as_millis(),
            },
            "{text}",
        );
    }
}

/// Report in a response of the delegate. One that cannot be read does not say
/// that the request has not run.
fn parse_report(value: &HeaderValue) -> DelegatedReply {
    let report = value.to_str().ok().and_then(|text| text.parse().ok());
    report.unwrap_or(DelegatedReply::Ended {
        upstream: None,
        outcome: SendOutcome::Lost,
    })
}

/// Value of a header with data in JSON.
pub(super) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("ids and numbers are visible ASCII")
}
