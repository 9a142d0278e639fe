//! Routes of the HTTP listener, and the handlers for completions, addresses,
//! health and metrics.
//!
//! A handler returns a response, or a [`Refusal`] that becomes an error
//! response. Completions are served by a task for each request, see
//! `request_task`. Operators' requests are handled in `operators`, calls to
//! plain services in `services`.

use std::{future::Future, panic::RefUnwindSafe, pin::Pin, sync::Arc};

use borageline_lib::{
    api::{AddressResponse, CompletionRequest, PriorityClass},
    core::{InstanceReadiness, PublishedState, RequestDescriptor},
    fleet::WorkspaceRule,
    gateway::request_content::RequestContent,
    ids::{ModelName, WorkspaceId},
    refusal::{Refusal, RefusalCode, RunState},
    units::{Timestamp, TokenCount},
};
use futures::FutureExt;
use gotham::{
    handler::{HandlerFuture, NewHandler},
    helpers::http::Body,
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
    },
    state::{FromState, State},
};
use http::{Method, Response, StatusCode};

use crate::{
    buffer::{
        ByteReservation, CompletionReader, CompletionStart, StreamItem,
        completion_channel,
    },
    context::SharedContext,
    operators, prompt,
    reply::{
        BodyLimits, BufferedBody, CallerRequest, bytes_response,
        error_response, json_response, parse_json, read_body, stream_response,
    },
    request_task::{BufferedPrompt, RequestTask},
    services,
    watched_answer::WatchedAnswer,
};

/// Time that a caller has after the deadline to read the rest of a buffered
/// completion, before its connection is closed.
const READ_GRACE_PERIOD: std::time::Duration =
    std::time::Duration::from_secs(5);

/// Builds the router of the HTTP listener.
pub fn build_router(context: &SharedContext) -> Router {
    let methods = || {
        vec![
            Method::GET,
            Method::HEAD,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
            Method::OPTIONS,
        ]
    };
    build_simple_router(|route| {
        route
            .get("/v1/addresses")
            .to_new_handler(handler(context, addresses));
        route
            .post("/v1/completions")
            .to_new_handler(handler(context, completions));
        route
            .request(methods(), "/v1/services/*")
            .to_new_handler(handler(context, services::call));
        route
            .post("/v1/query")
            .to_new_handler(handler(context, operators::query));
        route
            .post("/v1/order")
            .to_new_handler(handler(context, operators::order));
        route
            .get("/v1/orders/*")
            .to_new_handler(handler(context, operators::order_outcome));
        route
            .get("/healthz")
            .to_new_handler(handler(context, health));
        route
            .get("/readyz")
            .to_new_handler(handler(context, readiness));
        route
            .get("/metrics")
            .to_new_handler(handler(context, metrics));
    })
}

/// Adapts a handler to gotham's interface.
fn handler<F, R>(
    context: &SharedContext,
    handle: F,
) -> impl NewHandler + use<F, R>
where
    F: Fn(SharedContext, CallerRequest, Body) -> R
        + Copy
        + Send
        + Sync
        + RefUnwindSafe
        + 'static,
    R: Future<Output = Result<Response<Body>, Refusal>> + Send + 'static,
{
    let context = context.clone();
    move || {
        let context = context.clone();
        let run = move |mut state: State| -> Pin<Box<HandlerFuture>> {
            let call = CallerRequest::from_state(&context, &mut state);
            let body = Body::take_from(&mut state);
            let request = call.request.clone();
            async move {
                let answer = handle(context.clone(), call, body).await;
                let answer = answer.unwrap_or_else(|refusal| {
                    error_response(&context, &request, &refusal)
                });
                Ok((state, answer))
            }
            .boxed()
        };
        Ok(run)
    }
}

async fn addresses(
    context: SharedContext,
    call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    let published = context.handle.published();
    let own_address = context.settings.caller_address;
    let stopping = context.is_stopping();
    let listed = published.addresses.iter();
    let addresses = listed
        .filter(|entry| !stopping || entry.address != own_address)
        .cloned()
        .collect();
    let ttl = context.settings.limits.address_ttl.as_millis();
    let answer = AddressResponse {
        addresses,
        ttl_ms: u64::try_from(ttl).unwrap_or(u64::MAX),
    };
    Ok(json_response(StatusCode::OK, &call.request, &answer))
}

async fn health(
    _context: SharedContext,
    call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    let body = serde_json::json!({"status": "alive"});
    Ok(json_response(StatusCode::OK, &call.request, &body))
}

async fn readiness(
    context: SharedContext,
    call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    let readiness = context.handle.published().readiness;
    match readiness {
        _ if context.is_stopping() => {
            let text = "the instance is stopping";
            Err(Refusal::new(RefusalCode::Stopping, text))
        }
        InstanceReadiness::Ready => {
            let body = serde_json::json!({"status": "ready"});
            Ok(json_response(StatusCode::OK, &call.request, &body))
        }
        InstanceReadiness::Stale => Err(stale_configuration()),
        InstanceReadiness::Starting => Err(not_ready()),
        InstanceReadiness::Stopping => {
            let text = "the instance is stopping";
            Err(Refusal::new(RefusalCode::Stopping, text))
        }
    }
}

async fn metrics(
    context: SharedContext,
    call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    let text = context.metrics.render();
    let content_type = "text/plain; version=0.0.4";
    let status = StatusCode::OK;
    Ok(bytes_response(
        status,
        content_type,
        &call.request,
        text.into(),
    ))
}

/// Refusal by an instance that cannot rule out that its configuration is out
/// of date.
pub fn stale_configuration() -> Refusal {
    Refusal::new(
        RefusalCode::ConfigurationStale,
        "the configuration may be out of date",
    )
}

/// Refusal by an instance that has not read its configuration yet.
pub fn not_ready() -> Refusal {
    Refusal::new(
        RefusalCode::NotReady,
        "the instance has not yet read its configuration",
    )
}

/// Refusal of a malformed request; `text` describes the error.
pub fn malformed(text: impl Into<Arc<str>>) -> Refusal {
    Refusal::new(RefusalCode::Malformed, text)
}

/// Finds the workspace that a request's key belongs to, and its rule. Refuses
/// requests of disabled workspaces.
pub fn authenticate(
    context: &SharedContext,
    published: &PublishedState,
    call: &CallerRequest,
) -> Result<(WorkspaceId, Arc<WorkspaceRule>), Refusal> {
    if published.readiness == InstanceReadiness::Starting {
        return Err(not_ready());
    }
    let credentials = &context.credentials;
    let workspace = credentials.workspace(&published.fleet, &call.headers)?;
    let rule = published.fleet.workspaces.get(&workspace).cloned();
    let rule = rule.expect("index was built from this configuration");
    if !rule.enabled {
        let text = format!("workspace {workspace} is not served");
        return Err(Refusal::new(RefusalCode::Forbidden, text));
    }
    Ok((workspace, rule))
}

/// Reads a request body within the limits of the instance's settings, and until
/// a planned stop ends all requests.
pub async fn read_whole_body(
    context: &SharedContext,
    call: &CallerRequest,
    body: Body,
) -> Result<BufferedBody, Refusal> {
    let limits = &context.settings.limits;
    let limits = BodyLimits {
        size: limits.body_bytes,
        timeout: limits.body_timeout,
    };
    let budget = context.body_budget.clone();
    let read = read_body(body, &call.headers, limits, budget);
    context.stop.until_end(read).await?
}

async fn completions(
    context: SharedContext,
    call: CallerRequest,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let published = context.handle.published();
    let (workspace, rule) = authenticate(&context, &published, &call)?;
    let body = read_whole_body(&context, &call, body).await?;
    let request: CompletionRequest = parse_json(&body.bytes)?;
    let descriptor = build_descriptor(
        &context, &published, &call, workspace, rule, &request,
    )?;
    let content = RequestContent {
        host: "",
        method: call.method.as_str(),
        path: call.uri.path(),
        query: call.uri.query().unwrap_or_default(),
        workspace: descriptor.workspace.as_str(),
        shared_parts: &[],
        body: &body.bytes,
    };
    let contents = Vec::from(content.ids());
    context.metrics.count_request(descriptor.class);

    let channel = completion_channel(
        call.request.clone(),
        context.settings.limits.stream_buffer,
        &context.stream_budget,
    );
    let (sender, mut reader) = channel.ok_or_else(|| {
        let text = "the instance serves too many answers at once";
        Refusal::new(RefusalCode::Overloaded, text)
            .with_retry_after(std::time::Duration::from_secs(1))
    })?;
    let deadline = descriptor.deadline;
    let tools = context.task_context();
    let prompt = BufferedPrompt {
        prompt: request.prompt,
        reservation: body.reservation,
    };
    drop(body.bytes);
    let task = RequestTask::new(tools, descriptor, prompt, call.arrived)
        .with_contents(contents);
    tokio::spawn(task.run(sender));
    if !request.stream {
        return collect_completion(&context, &call, reader).await;
    }
    match reader.peek_start().await {
        CompletionStart::Failed(refusal) => Err(refusal),
        CompletionStart::Streaming => {
            close_after_deadline(&context, &call, &reader, deadline);
            let body = Body::new(WatchedAnswer::new(
                reader,
                call.request.clone(),
                call.arrived,
                context.stop.clone(),
                context.handle.clock(),
            ));
            let content_type = "text/event-stream";
            let status = StatusCode::OK;
            Ok(stream_response(status, content_type, &call.request, body))
        }
        CompletionStart::Lost => Err(task_ended()),
    }
}

fn build_descriptor(
    context: &SharedContext,
    published: &PublishedState,
    call: &CallerRequest,
    workspace: WorkspaceId,
    rule: Arc<WorkspaceRule>,
    request: &CompletionRequest,
) -> Result<RequestDescriptor, Refusal> {
    let class = request_class(&rule, request.class)?;
    let allowed = rule
        .models
        .as_ref()
        .is_none_or(|m| m.contains(&request.model));
    if !allowed || !is_served_model(published, &request.model) {
        let text = format!("model {} is not known", request.model);
        return Err(Refusal::new(RefusalCode::UnknownModel, text));
    }
    let prompt = prompt::prompt_length(&request.prompt);
    if prompt == TokenCount::ZERO {
        return Err(malformed("prompt is empty"));
    }
    if request.max_tokens == 0 {
        return Err(malformed("max_tokens is 0; the least is 1"));
    }
    let deadline = request_deadline(context, call, request.timeout_ms)?;
    Ok(RequestDescriptor {
        request: call.request.clone(),
        workspace,
        model: request.model.clone(),
        class,
        prompt,
        output: TokenCount::new(request.max_tokens.into()),
        prefix: prompt::prefix_hash(&request.prompt),
        deadline,
    })
}

/// Class named in a request, or the workspace's default class. Refuses classes
/// that the workspace may not use.
fn request_class(
    rule: &WorkspaceRule,
    requested: Option<PriorityClass>,
) -> Result<PriorityClass, Refusal> {
    match requested {
        Some(class)
            if class != rule.default_class
                && !rule.classes.contains(&class) =>
        {
            let text = format!("class {class} is not allowed");
            Err(Refusal::new(RefusalCode::Forbidden, text))
        }
        Some(class) => Ok(class),
        None => Ok(rule.default_class),
    }
}

/// Whether an engine has the model loaded, or the configuration assigns it to
/// an upstream.
fn is_served_model(published: &PublishedState, model: &ModelName) -> bool {
    let has_model =
        |models: &std::collections::BTreeSet<ModelName>| models.contains(model);
    published.models.contains(model)
        || published
            .fleet
            .upstreams
            .values()
            .any(|rule| rule.models.as_ref().is_some_and(has_model))
}

/// Deadline of a request, from the timeout in its body or the default timeout.
/// Refuses a timeout of zero and one over the limit in the settings.
fn request_deadline(
    context: &SharedContext,
    call: &CallerRequest,
    timeout_ms: Option<u64>,
) -> Result<Timestamp, Refusal> {
    let limits = &context.settings.limits;
    let timeout = match timeout_ms {
        None => limits.default_timeout,
        Some(millis) => std::time::Duration::from_millis(millis),
    };
    if timeout.is_zero() || timeout > limits.longest_timeout {
        let text = format!(
            "timeout_ms is {}; allowed are 1 to {}",
            timeout.as_millis(),
            limits.longest_timeout.as_millis(),
        );
        return Err(malformed(text));
    }
    Ok(call.arrived.after(timeout))
}

/// Closes the connection of a caller that has not read its completion
/// [`READ_GRACE_PERIOD`] after the deadline. Without this, hyper would buffer
/// the completion for as long as the caller keeps the connection open.
fn close_after_deadline(
    context: &SharedContext,
    call: &CallerRequest,
    reader: &CompletionReader,
    deadline: Timestamp,
) {
    let closer = call.closer.clone();
    let monitor = reader.monitor();
    let until = context.handle.clock().instant(deadline) + READ_GRACE_PERIOD;
    tokio::spawn(async move {
        let disconnected =
            tokio::time::timeout_at(until, monitor.disconnected()).await;
        if disconnected.is_err() {
            monitor.abort();
            if let Some(closer) = closer {
                closer.0.cancel();
            }
        }
    });
}

/// Collects all chunks of a completion into one response. If the completion
/// fails, the response is the failure alone, without the text so far.
async fn collect_completion(
    context: &SharedContext,
    call: &CallerRequest,
    mut reader: CompletionReader,
) -> Result<Response<Body>, Refusal> {
    let mut reservation = ByteReservation::new(context.body_budget.clone());
    let mut answer: Option<borageline_lib::api::CompletionChunk> = None;
    while let Some(item) = reader.next().await {
        match item {
            StreamItem::Chunk(chunk) => {
                let text = chunk.choices.iter().map(|c| c.text.len());
                if !reservation.grow(text.sum::<usize>() as u64) {
                    let text = "the instance buffers too many answers";
                    let code = RefusalCode::Overloaded;
                    let refusal = Refusal::new(code, text);
                    return Err(refusal.with_run_state(RunState::Ran));
                }
                match &mut answer {
                    None => answer = Some(chunk),
                    Some(answer) => append_chunk(answer, chunk),
                }
            }
            StreamItem::Failure(refusal) => return Err(refusal),
            StreamItem::End => {
                let answer = answer.ok_or_else(task_ended)?;
                let status = StatusCode::OK;
                return Ok(json_response(status, &call.request, &answer));
            }
        }
    }
    Err(task_ended())
}

fn append_chunk(
    answer: &mut borageline_lib::api::CompletionChunk,
    chunk: borageline_lib::api::CompletionChunk,
) {
    answer.token_count += chunk.token_count;
    for (choice, more) in answer.choices.iter_mut().zip(chunk.choices) {
        choice.text.push_str(&more.text);
        choice.finish_reason = more.finish_reason;
    }
}

fn task_ended() -> Refusal {
    Refusal::new(RefusalCode::Internal, "the request's task has ended")
        .with_run_state(RunState::MayHaveRun)
}
