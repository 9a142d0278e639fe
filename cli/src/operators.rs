//! The handlers for operators.

use std::sync::Arc;

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
    callers::{body_limits, malformed, not_ready},
    context::SharedContext,
    reply::{CallerRequest, json_answer, parse_json, read_body},
};

value_type! {
    /// Body of `POST /v1/order`.
    #[serde(deny_unknown_fields)]
    pub struct OrderRequest {
        /// Id of the order, chosen by whoever issues it.
        pub order: OrderId,
        /// Configuration version that the order expects, if it matters.
        #[serde(default)]
        pub expect_version: Option<LogOffset>,
        /// Who issues it; must be the operator that the key belongs to.
        #[serde(default)]
        pub issued_by: Option<OperatorName>,
        /// What changes, all or none; absent where `text` says it.
        #[serde(default)]
        pub changes: Vec<FleetChange>,
        /// What changes, in the operators' language.
        #[serde(default)]
        pub text: Option<Arc<str>>,
        /// Whether only to tell what would change.
        #[serde(default)]
        pub dry_run: bool,
    }
}

value_type! {
    /// Body of `POST /v1/query`.
    #[serde(deny_unknown_fields)]
    pub struct QueryRequest {
        /// The question, in the operators' language.
        pub query: Arc<str>,
    }
}

fn authenticate(
    context: &SharedContext,
    call: &CallerRequest,
) -> Result<(OperatorName, OperatorRole), Refusal> {
    let view = context.handle.view();
    if view.readiness == InstanceReadiness::Starting {
        return Err(not_ready());
    }
    context.credentials.operator(&view.fleet, &call.headers)
}

/// Handles `POST /v1/query`.
pub async fn query(
    context: SharedContext,
    call: CallerRequest,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    authenticate(&context, &call)?;
    let limits = body_limits(&context);
    let budget = context.body_budget.clone();
    let body = read_body(body, &call.headers, limits, budget).await?;
    let asked: QueryRequest = parse_json(&body.bytes)?;
    let text = asked.query;
    parse_query(&text).map_err(|fault| malformed(fault.render(&text)))?;
    let parts = context.handle.query(text).await?;
    // Merging many rows must not hold up the tasks of this thread.
    let answer = tokio::task::spawn_blocking(move || merge(*parts)).await;
    let answer = answer.map_err(|error| {
        Refusal::new(RefusalCode::Internal, error.to_string())
    })?;
    Ok(json_answer(StatusCode::OK, &call.request, &answer))
}

/// Changes of an order and the version that it expects.
fn read_changes(
    asked: &OrderRequest,
    fleet: &FleetState,
) -> Result<(Vec<FleetChange>, Option<LogOffset>), Refusal> {
    let Some(text) = &asked.text else {
        if asked.changes.is_empty() {
            return Err(malformed("neither changes nor text say what to do"));
        }
        return Ok((asked.changes.clone(), asked.expect_version));
    };
    if !asked.changes.is_empty() {
        return Err(malformed("both changes and text say what to do"));
    }
    let order = parse_order(text);
    let order = order.map_err(|fault| malformed(fault.render(text)))?;
    let (changes, made_for) = order.resolve(fleet);
    match (asked.expect_version, made_for) {
        // The limits that this instance knows may lack a racing change.
        (Some(expected), Some(found)) if expected != found => {
            let text = format!("expected version {expected} but found {found}");
            Err(Refusal::new(RefusalCode::OrderRejected, text))
        }
        (expected, made_for) => Ok((changes, expected.or(made_for))),
    }
}

/// Handles `POST /v1/order`.
pub async fn order(
    context: SharedContext,
    call: CallerRequest,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let (operator, role) = authenticate(&context, &call)?;
    let limits = body_limits(&context);
    let budget = context.body_budget.clone();
    let body = read_body(body, &call.headers, limits, budget).await?;
    let asked: OrderRequest = parse_json(&body.bytes)?;
    if let Some(name) = asked.issued_by.as_ref()
        && *name != operator
    {
        let text = format!("issued_by is {name}, but the key is {operator}'s");
        return Err(Refusal::new(RefusalCode::Forbidden, text));
    }
    let fleet = context.handle.view().fleet.clone();
    let (changes, expect_version) = read_changes(&asked, &fleet)?;
    let needed = changes.iter().map(needed_role).max();
    let needed = needed.unwrap_or(OperatorRole::Admin);
    if role < needed {
        let text = format!("the order needs role {needed:?}, not {role:?}");
        return Err(Refusal::new(RefusalCode::Forbidden, text));
    }
    let order = FleetOrder {
        order: asked.order,
        expect_version,
        issued_by: operator,
        changes,
    };
    if asked.dry_run {
        let preview =
            OrderPreview::new(&fleet, &order).map_err(|rejection| {
                let text = rejection.to_string();
                Refusal::new(RefusalCode::OrderRejected, text)
            })?;
        return Ok(json_answer(StatusCode::OK, &call.request, &preview));
    }
    // The order goes on even if the operator hangs up.
    let handle = context.handle.clone();
    let report = tokio::spawn(async move { handle.order(order).await });
    let report = report.await.map_err(|error| {
        Refusal::new(RefusalCode::Internal, error.to_string())
            .with_run_state(RunState::MayHaveRun)
    })?;
    report_answer(&call, &report)
}

/// Role that a change needs; credentials are for administrators.
fn needed_role(change: &FleetChange) -> OperatorRole {
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
    let report = context.handle.order_outcome(id.clone()).await;
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
        Some(true) => Ok(json_answer(StatusCode::OK, &call.request, report)),
        Some(false) => {
            let code = report.code.unwrap_or(RefusalCode::OrderRejected);
            Err(Refusal::new(code, reason()))
        }
        None if report.run_state == RunState::NotRun => {
            Err(Refusal::new(RefusalCode::LogUnavailable, reason()))
        }
        None => Ok(json_answer(StatusCode::ACCEPTED, &call.request, report)),
    }
}
