//! Listener for the requests of other instances: copies of topics, questions
//! about upstreams and trials, loans of retries, and callers' requests that this
//! instance sends for another.

use std::{io, time::Duration};

use borageline_lib::gateway::wire::GatewayWire;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Either;
use hyper::body::Incoming;

use super::{
    SharedGateway,
    caller_listener::AnswerBody,
    crash_confirmation, delegate,
    forward::buffered_body,
    listener::{ConnectionHold, empty_response, serve_requests},
    peer_copies, quarantine_trial, retry_loan,
};
use crate::server::bind_with_receive_buffer;

/// Idle timeout of connections from other instances.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens the listener and serves requests until the process ends.
pub(super) fn serve<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> io::Result<()> {
    let settings = context.settings();
    // Bodies of delegated requests arrive here.
    let buffer = settings.caller_receive_buffer().get();
    let buffer = u32::try_from(buffer).unwrap_or(u32::MAX);
    let address = settings.peer_address();
    let listener = bind_with_receive_buffer(address, Some(buffer))?;
    let context = context.clone();
    let served = serve_requests(
        listener,
        context.clone(),
        || IDLE_TIMEOUT,
        move |request, hold| {
            let context = context.clone();
            async move { answer(&context, request, &hold).await }
        },
    );
    tokio::spawn(served);
    Ok(())
}

async fn answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    request: Request<Incoming>,
    hold: &ConnectionHold,
) -> Response<AnswerBody> {
    if delegate::is_delegated(&request) {
        hold.track(&context.delegated_requests);
        let mut response = delegate::answer(context, request).await;
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        return response;
    }
    if let Some(upstream) =
        crash_confirmation::asked_upstream(request.uri().path())
    {
        let status =
            crash_confirmation::answer_question(context, &upstream).await;
        return empty_response(status).map(Either::Left);
    }
    if let Some(service) = retry_loan::asked_service(request.uri().path()) {
        let status = retry_loan::answer(context, &service);
        return empty_response(status).map(Either::Left);
    }
    if let Some(trial) = quarantine_trial::asked_trial(request.uri()) {
        let status = quarantine_trial::answer(context, &trial);
        return empty_response(status).map(Either::Left);
    }
    let copy = peer_copies::answer(context, request).await;
    let (head, body) = copy.into_parts();
    Response::from_parts(head, buffered_body(body))
}
