//! HTTP handlers for operators: queries, orders and their outcomes.

use std::{future::ready, sync::Arc};

use borageline_lib::{
    core::InstanceReadiness,
    fleet::{FleetChange, FleetOrder, FleetState, OperatorRole},
    ids::{OperatorName, OrderId},
    peer_api::OrderReport,
    query::{OrderPreview, merge, parse_order, parse_query},
    refusal::{Refusal, RefusalCode, RunState},
    units::LogOffset,
    value_type,
};
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use percent_encoding::percent_decode_str;

use crate::{
    callers::{malformed, not_ready, read_whole_body},
    context::SharedContext,
    core_handle::ORDER_TIMEOUT,
    reply::{CallerRequest, json_response, parse_json},
};

value_type! {
    /// Body of `POST /v1/order`.
    #[serde(deny_unknown_fields)]
    pub struct OrderRequest {
        /// Id of the order, chosen by the operator.
        pub order: OrderId,
        /// Configuration version on which the order is based; without one, the
        /// order applies to any version.
        #[serde(default)]
        pub expect_version: Option<LogOffset>,
        /// Operator that issues the order; must be the one that the key belongs
        /// to.
        #[serde(default)]
        pub issued_by: Option<OperatorName>,
        /// Changes to apply, all or none; empty if `text` is set.
        #[serde(default)]
        pub changes: Vec<FleetChange>,
        /// Changes to apply, in the operators' language.
        #[serde(default)]
        pub text: Option<Arc<str>>,
        /// Whether to only report what the order would change.
        #[serde(default)]
        pub dry_run: bool,
    }
}

value_type! {
    /// Body of `POST /v1/query`.
    #[serde(deny_unknown_fields)]
    pub struct QueryRequest {
        /// Text of the query, in the operators' language.
        pub query: Arc<str>,
    }
}

fn authenticate(
    context: &SharedContext,
    call: &CallerRequest,
) -> Result<(OperatorName, OperatorRole), Refusal> {
    let published = context.handle.published();
    if published.readiness == InstanceReadiness::Starting {
        return Err(not_ready());
    }
    context
        .credentials
        .operator(&published.fleet, &call.headers)
}

/// Handles `POST /v1/query`.
pub async fn query(
    context: SharedContext,
    call: CallerRequest,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    authenticate(&context, &call)?;
    let body = read_whole_body(&context, &call, body).await?;
    let request: QueryRequest = parse_json(&body.bytes)?;
    let text = request.query;
    parse_query(&text).map_err(|error| malformed(error.render(&text)))?;
    let query = context.handle.query(text);
    let input = context.stop.until_end(query).await??;
    // Merging many rows takes long, and must not block the other tasks of this
    // thread.
    let answer = tokio::task::spawn_blocking(move || merge(*input)).await;
    let answer = answer.map_err(|error| {
        Refusal::new(RefusalCode::Internal, error.to_string())
    })?;
    Ok(json_response(StatusCode::OK, &call.request, &answer))
}

/// Changes of a requested order, and the configuration version that it
/// expects, if any. The changes are given either directly or as text.
fn requested_changes(
    request: &OrderRequest,
    fleet: &FleetState,
) -> Result<(Vec<FleetChange>, Option<LogOffset>), Refusal> {
    let Some(text) = &request.text else {
        if request.changes.is_empty() {
            return Err(malformed("neither changes nor text say what to do"));
        }
        return Ok((request.changes.clone(), request.expect_version));
    };
    if !request.changes.is_empty() {
        return Err(malformed("both changes and text say what to do"));
    }
    let order = parse_order(text);
    let order = order.map_err(|error| malformed(error.render(text)))?;
    let (changes, resolved_version) = order.resolve(fleet);
    match (request.expect_version, resolved_version) {
        // Changes resolved from text are only valid for the version that they
        // were resolved with: a concurrent change may be missing from it.
        (Some(expected), Some(found)) if expected != found => {
            let text = format!("expected version {expected} but found {found}");
            Err(Refusal::new(RefusalCode::OrderRejected, text))
        }
        (expected, resolved_version) => {
            Ok((changes, expected.or(resolved_version)))
        }
    }
}

/// Handles `POST /v1/order`.
pub async fn order(
    context: SharedContext,
    call: CallerRequest,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let (operator, role) = authenticate(&context, &call)?;
    let body = read_whole_body(&context, &call, body).await?;
    let request: OrderRequest = parse_json(&body.bytes)?;
    if let Some(name) = request.issued_by.as_ref()
        && *name != operator
    {
        let text = format!("issued_by is {name}, but the key is {operator}'s");
        return Err(Refusal::new(RefusalCode::Forbidden, text));
    }
    let fleet = context.handle.published().fleet.clone();
    let (changes, expect_version) = requested_changes(&request, &fleet)?;
    let required = changes.iter().map(required_role).max();
    let required = required.unwrap_or(OperatorRole::Admin);
    if role < required {
        let text = format!("the order needs role {required:?}, not {role:?}");
        return Err(Refusal::new(RefusalCode::Forbidden, text));
    }
    let order = FleetOrder {
        order: request.order,
        expect_version,
        issued_by: operator,
        changes,
    };
    if request.dry_run {
        let preview =
            OrderPreview::new(&fleet, &order).map_err(|rejection| {
                let text = rejection.to_string();
                Refusal::new(RefusalCode::OrderRejected, text)
            })?;
        return Ok(json_response(StatusCode::OK, &call.request, &preview));
    }
    // An order whose outcome the operator would not learn is not submitted.
    let deadline = context.handle.clock().now().after(ORDER_TIMEOUT);
    context.stop.unless_outlived(deadline, ready(())).await?;
    // Runs in a task of its own, so that the order continues even if the
    // operator disconnects.
    let handle = context.handle.clone();
    let report = tokio::spawn(async move { handle.order(order).await });
    let report = context.stop.until_end(report).await;
    let report = report.map_err(outcome_unknown)?.map_err(|error| {
        Refusal::new(RefusalCode::Internal, error.to_string())
            .with_run_state(RunState::MayHaveRun)
    })?;
    report_answer(&call, &report)
}

/// Refusal of a request that waited for the outcome of an order.
fn outcome_unknown(refusal: Refusal) -> Refusal {
    refusal.with_run_state(RunState::MayHaveRun)
}

/// Role required for a change; only administrators may change credentials.
fn required_role(change: &FleetChange) -> OperatorRole {
    match change {
        FleetChange::SetWorkspace { .. }
        | FleetChange::SetOperator { .. }
        | FleetChange::RemoveOperator { .. } => OperatorRole::Admin,
        _ => OperatorRole::Operator,
    }
}

/// Handles `GET /v1/orders/{order_id}`.
pub async fn order_outcome(
    context: SharedContext,
    call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    authenticate(&context, &call)?;
    let path = call.uri.path();
    let id = path.strip_prefix("/v1/orders/").unwrap_or_default();
    let id = percent_decode_str(id).decode_utf8_lossy();
    let id: OrderId = id.parse().map_err(|error| {
        malformed(format!("the path names no order: {error}"))
    })?;
    let report = context.handle.order_outcome(id.clone());
    let report = context.stop.until_end(report).await;
    let report = report.map_err(outcome_unknown)?;
    if report.accepted.is_none() && report.run_state == RunState::NotRun {
        let text = format!("order {id} is not known");
        return Err(Refusal::new(RefusalCode::UnknownOrder, text));
    }
    report_answer(&call, &report)
}

fn report_answer(
    call: &CallerRequest,
    report: &OrderReport,
) -> Result<Response<Body>, Refusal> {
    let reason = || report.reason.clone().unwrap_or_else(|| "".into());
    match report.accepted {
        Some(true) => Ok(json_response(StatusCode::OK, &call.request, report)),
        Some(false) => {
            let code = report.code.unwrap_or(RefusalCode::OrderRejected);
            Err(Refusal::new(code, reason()))
        }
        None if report.run_state == RunState::NotRun => {
            Err(Refusal::new(RefusalCode::LogUnavailable, reason()))
        }
        None => Ok(json_response(StatusCode::ACCEPTED, &call.request, report)),
    }
}
