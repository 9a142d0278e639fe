//! The routes of the HTTP listener, and the handlers for completions,
//! addresses and health.

use std::{future::Future, panic::RefUnwindSafe, pin::Pin, sync::Arc};

use borageline_lib::{
    api::{AddressResponse, CompletionRequest, PriorityClass},
    core::{InstanceReadiness, PublishedState, RequestDescriptor},
    fleet::WorkspaceRule,
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
    buffer::{AnswerStart, HeldBytes, PartReader, StreamItem, part_channel},
    context::SharedContext,
    operators, prompt,
    reply::{
        BodyLimits, CallerRequest, bytes_answer, json_answer, parse_json,
        read_body, refusal_answer, stream_answer,
    },
    request_task::{HeldPrompt, RequestTask},
    services,
};

/// How long a caller may take over the rest of a buffered answer after the
/// deadline, before its connection is closed.
const LINGER: std::time::Duration = std::time::Duration::from_secs(5);

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

/// Wraps a handler of ours for gotham.
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
            let call = CallerRequest::take(&context, &mut state);
            let body = Body::take_from(&mut state);
            let request = call.request.clone();
            async move {
                let answer = handle(context.clone(), call, body).await;
                let answer = answer.unwrap_or_else(|refusal| {
                    refusal_answer(&context, &request, &refusal)
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
    let view = context.handle.view();
    let own = context.settings.caller_address;
    let stopping = context.is_stopping();
    let listed = view.addresses.iter();
    let addresses = listed
        .filter(|entry| !stopping || entry.address != own)
        .cloned()
        .collect();
    let ttl = context.settings.limits.address_ttl.as_millis();
    let answer = AddressResponse {
        addresses,
        ttl_ms: u64::try_from(ttl).unwrap_or(u64::MAX),
    };
    Ok(json_answer(StatusCode::OK, &call.request, &answer))
}

async fn health(
    _context: SharedContext,
    call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    let body = serde_json::json!({"status": "alive"});
    Ok(json_answer(StatusCode::OK, &call.request, &body))
}

async fn readiness(
    context: SharedContext,
    call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    let readiness = context.handle.view().readiness;
    match readiness {
        _ if context.is_stopping() => {
            let text = "the instance is stopping";
            Err(Refusal::new(RefusalCode::Stopping, text))
        }
        InstanceReadiness::Ready => {
            let body = serde_json::json!({"status": "ready"});
            Ok(json_answer(StatusCode::OK, &call.request, &body))
        }
        InstanceReadiness::Stale => Err(stale()),
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
    Ok(bytes_answer(
        status,
        content_type,
        &call.request,
        text.into(),
    ))
}

/// Refusal of an instance whose configuration is too old.
pub fn stale() -> Refusal {
    Refusal::new(
        RefusalCode::ConfigurationStale,
        "the configuration may be out of date",
    )
}

/// Refusal of an instance without configuration.
pub fn not_ready() -> Refusal {
    Refusal::new(
        RefusalCode::NotReady,
        "the instance has not yet read its configuration",
    )
}

/// Refusal of a malformed request.
pub fn malformed(text: impl Into<Arc<str>>) -> Refusal {
    Refusal::new(RefusalCode::Malformed, text)
}

/// Finds the workspace of a call and its rule.
pub fn authenticate(
    context: &SharedContext,
    view: &PublishedState,
    call: &CallerRequest,
) -> Result<(WorkspaceId, Arc<WorkspaceRule>), Refusal> {
    if view.readiness == InstanceReadiness::Starting {
        return Err(not_ready());
    }
    let credentials = &context.credentials;
    let workspace = credentials.workspace(&view.fleet, &call.headers)?;
    let rule = view.fleet.workspaces.get(&workspace).cloned();
    let rule = rule.expect("index was built from this configuration");
    if !rule.enabled {
        let text = format!("workspace {workspace} is not served");
        return Err(Refusal::new(RefusalCode::Forbidden, text));
    }
    Ok((workspace, rule))
}

/// Bounds on the request bodies of an instance.
pub fn body_limits(context: &SharedContext) -> BodyLimits {
    let limits = &context.settings.limits;
    BodyLimits {
        size: limits.body_bytes,
        timeout: limits.body_timeout,
    }
}

async fn completions(
    context: SharedContext,
    call: CallerRequest,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let view = context.handle.view();
    let (workspace, rule) = authenticate(&context, &view, &call)?;
    let limits = body_limits(&context);
    let budget = context.body_budget.clone();
    let body = read_body(body, &call.headers, limits, budget).await?;
    let asked: CompletionRequest = parse_json(&body.bytes)?;
    let spec = check_request(&context, &view, &call, workspace, rule, &asked)?;
    context.metrics.count_request(spec.class);

    let channel = part_channel(
        call.request.clone(),
        context.settings.limits.stream_buffer,
        &context.stream_budget,
    );
    let (sender, mut reader) = channel.ok_or_else(|| {
        let text = "the instance serves too many answers at once";
        Refusal::new(RefusalCode::Overloaded, text)
            .with_retry_after(std::time::Duration::from_secs(1))
    })?;
    let deadline = spec.deadline;
    let tools = context.task_tools();
    let prompt = HeldPrompt {
        prompt: asked.prompt,
        held: body.held,
    };
    drop(body.bytes);
    let task = RequestTask::new(tools, spec, prompt, call.arrived);
    tokio::spawn(task.run(sender));
    if !asked.stream {
        return collect_answer(&context, &call, reader).await;
    }
    match reader.begin().await {
        AnswerStart::Failed(refusal) => Err(refusal),
        AnswerStart::Streaming => {
            close_after(&context, &call, &reader, deadline);
            let body = Body::new(reader);
            let content_type = "text/event-stream";
            let status = StatusCode::OK;
            Ok(stream_answer(status, content_type, &call.request, body))
        }
        AnswerStart::Lost => Err(internal()),
    }
}

fn check_request(
    context: &SharedContext,
    view: &PublishedState,
    call: &CallerRequest,
    workspace: WorkspaceId,
    rule: Arc<WorkspaceRule>,
    asked: &CompletionRequest,
) -> Result<RequestDescriptor, Refusal> {
    let class = check_class(&rule, asked.class)?;
    let allowed = rule
        .models
        .as_ref()
        .is_none_or(|m| m.contains(&asked.model));
    if !allowed || !is_known(view, &asked.model) {
        let text = format!("model {} is not known", asked.model);
        return Err(Refusal::new(RefusalCode::UnknownModel, text));
    }
    let prompt = prompt::prompt_length(&asked.prompt);
    if prompt == TokenCount::ZERO {
        return Err(malformed("prompt is empty"));
    }
    if asked.max_tokens == 0 {
        return Err(malformed("max_tokens is 0; the least is 1"));
    }
    let deadline = check_timeout(context, call, asked.timeout_ms)?;
    Ok(RequestDescriptor {
        request: call.request.clone(),
        workspace,
        model: asked.model.clone(),
        class,
        prompt,
        output: TokenCount::new(asked.max_tokens.into()),
        prefix: prompt::prefix_hash(&asked.prompt),
        deadline,
    })
}

fn check_class(
    rule: &WorkspaceRule,
    asked: Option<PriorityClass>,
) -> Result<PriorityClass, Refusal> {
    match asked {
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

fn is_known(view: &PublishedState, model: &ModelName) -> bool {
    let meant =
        |models: &std::collections::BTreeSet<ModelName>| models.contains(model);
    view.models.contains(model)
        || view
            .fleet
            .upstreams
            .values()
            .any(|rule| rule.models.as_ref().is_some_and(meant))
}

fn check_timeout(
    context: &SharedContext,
    call: &CallerRequest,
    asked: Option<u64>,
) -> Result<Timestamp, Refusal> {
    let limits = &context.settings.limits;
    let timeout = match asked {
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

/// Closes the connection of a caller that does not read its answer even
/// after the deadline. Without this, hyper would hold the answer for as long
/// as the caller keeps the connection open.
fn close_after(
    context: &SharedContext,
    call: &CallerRequest,
    reader: &PartReader,
    deadline: Timestamp,
) {
    let closer = call.closer.clone();
    let watch = reader.watch();
    let until = context.handle.clock().instant(deadline) + LINGER;
    tokio::spawn(async move {
        let gone = tokio::time::timeout_at(until, watch.gone()).await;
        if gone.is_err() {
            watch.abort();
            if let Some(closer) = closer {
                closer.0.cancel();
            }
        }
    });
}

/// Collects a whole answer; a failure is never answered with a part of it.
async fn collect_answer(
    context: &SharedContext,
    call: &CallerRequest,
    mut reader: PartReader,
) -> Result<Response<Body>, Refusal> {
    let mut held = HeldBytes::new(context.body_budget.clone());
    let mut whole: Option<borageline_lib::api::CompletionChunk> = None;
    while let Some(item) = reader.next().await {
        match item {
            StreamItem::Part(part) => {
                let text = part.choices.iter().map(|c| c.text.len());
                if !held.grow(text.sum::<usize>() as u64) {
                    let text = "the instance holds too many answers";
                    let code = RefusalCode::Overloaded;
                    let refusal = Refusal::new(code, text);
                    return Err(refusal.with_run_state(RunState::Ran));
                }
                match &mut whole {
                    None => whole = Some(part),
                    Some(whole) => append(whole, part),
                }
            }
            StreamItem::Failure(refusal) => return Err(refusal),
            StreamItem::End => {
                let whole = whole.ok_or_else(internal)?;
                let status = StatusCode::OK;
                return Ok(json_answer(status, &call.request, &whole));
            }
        }
    }
    Err(internal())
}

fn append(
    whole: &mut borageline_lib::api::CompletionChunk,
    part: borageline_lib::api::CompletionChunk,
) {
    whole.token_count += part.token_count;
    for (choice, more) in whole.choices.iter_mut().zip(part.choices) {
        choice.text.push_str(&more.text);
        choice.finish_reason = more.finish_reason;
    }
}

fn internal() -> Refusal {
    Refusal::new(RefusalCode::Internal, "the request's task has ended")
        .with_run_state(RunState::MayHaveRun)
}
