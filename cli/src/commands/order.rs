//! `borageline order`: submits a change of the configuration, or asks for the
//! outcome of an earlier one.

use std::{str::FromStr, time::Duration};

use borageline_lib::{
    fleet::FleetChange,
    ids::OrderId,
    peer_api::OrderReport,
    query::{OrderPreview, complete_order, parse_order},
    units::LogOffset,
};
use bpaf::Bpaf;
use http::Method;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::ExitReason;
use crate::{
    operator_client::{
        OperatorClient, OperatorFailure, OperatorTarget, operator_target,
        run_calls,
    },
    output::{
        print_error, print_hint, print_text, render_preview, render_report,
    },
};

/// Time between two polls while waiting for an order to be in force.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Change the configuration, or ask what became of an order.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("order"),
    footer(
        "Example: borageline order --address 10.0.0.1:8080 --key-file key --wait in-force 'close domain domain-a finish'"
    )
)]
pub struct OrderOptions {
    #[bpaf(external(operator_target))]
    target: OperatorTarget,
    /// Wait until the order is `in-force`, at most as long as --timeout says
    #[bpaf(long, argument("STATE"), optional)]
    wait: Option<WaitGoal>,
    #[bpaf(external(order_action))]
    action: OrderAction,
}

/// State of an order that the command waits for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WaitGoal {
    /// Every live instance has applied the order.
    InForce,
}

impl FromStr for WaitGoal {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "in-force" => Ok(Self::InForce),
            other => Err(format!("state {other:?} is not in-force")),
        }
    }
}

/// Whether to give an order or to ask for its outcome.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum OrderAction {
    Ask {
        /// Ask what became of the order with this id
        #[bpaf(long("outcome"), argument("ID"))]
        order: OrderId,
    },
    Give {
        /// Configuration version that the order expects
        #[bpaf(long, argument("VERSION"), optional)]
        expect: Option<LogOffset>,
        /// Id of the order; a new one by default
        #[bpaf(long, argument("ID"), optional)]
        order_id: Option<OrderId>,
        /// Tell what would change, and change nothing
        #[bpaf(long("dry-run"))]
        dry_run: bool,
        /// Changes in words, or one change or a list of changes as JSON
        #[bpaf(positional("CHANGES"), complete(|input: &String| complete_text(input)))]
        changes: String,
    },
}

fn complete_text(input: &str) -> Vec<(String, Option<String>)> {
    let texts = complete_order(input).into_iter();
    texts.map(|text| (text, None)).collect()
}

/// Submits the order or fetches its outcome, and prints the report.
pub fn run(options: &OrderOptions) -> ExitReason {
    run_calls(run_action(options))
}

async fn run_action(options: &OrderOptions) -> ExitReason {
    let client = match OperatorClient::new(&options.target) {
        Ok(client) => client,
        Err(failure) => {
            print_error(&failure);
            return ExitReason::Usage;
        }
    };
    let deadline = Instant::now() + Duration::from_secs(options.target.timeout);
    let (order, first) = match &options.action {
        OrderAction::Ask { order } => {
            (order.clone(), fetch_outcome(&client, order).await)
        }
        OrderAction::Give {
            expect,
            order_id,
            dry_run,
            changes,
        } => {
            let order = order_id.clone().unwrap_or_else(new_order_id);
            let changes = match parse_changes_argument(changes) {
                Ok(changes) => changes,
                Err(cause) => {
                    print_error(cause);
                    return ExitReason::Usage;
                }
            };
            let body = order_body(&order, *expect, changes);
            if *dry_run {
                return preview(options, &client, body).await;
            }
            let submitted = submit(&client, &body).await;
            (order, submitted)
        }
    };
    let report = match first {
        Ok(report) => report,
        Err(failure) => return finish_with_failure(options, &order, &failure),
    };
    let report = match options.wait {
        Some(WaitGoal::InForce) => {
            wait_in_force(&client, report, deadline).await
        }
        None => report,
    };
    finish_with_report(options, &report)
}

fn new_order_id() -> OrderId {
    let text = Uuid::now_v7().to_string();
    text.parse().expect("a UUID has only characters of an id")
}

/// Parses changes in words or as JSON, so that errors are found before
/// anything is sent. Returns the field of the request body and its value.
fn parse_changes_argument(text: &str) -> Result<(&'static str, Value), String> {
    let start = text.trim_start();
    if start.starts_with(['[', '{']) {
        return Ok(("changes", json!(parse_changes(text)?)));
    }
    parse_order(text).map_err(|error| error.render(text))?;
    Ok(("text", json!(text)))
}

fn order_body(
    order: &OrderId,
    expect: Option<LogOffset>,
    (field, changes): (&'static str, Value),
) -> Value {
    json!({
        "order": order,
        "expect_version": expect,
        field: changes,
    })
}

/// Sends an order as a dry run and prints what it would change.
async fn preview(
    options: &OrderOptions,
    client: &OperatorClient,
    mut body: Value,
) -> ExitReason {
    body["dry_run"] = json!(true);
    let answer = client.call(Method::POST, "/v1/order", Some(&body)).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(failure) => {
            print_error(&failure);
            return failure.read_exit_reason();
        }
    };
    if options.target.json {
        return print_text(&format!("{answer}\n"));
    }
    match serde_json::from_value::<OrderPreview>(answer) {
        Ok(preview) => print_text(&render_preview(&preview)),
        Err(error) => {
            print_error(format_args!("malformed preview: {error}"));
            ExitReason::Failed
        }
    }
}

/// Parses one change or a list of changes from JSON.
fn parse_changes(text: &str) -> Result<Vec<FleetChange>, String> {
    let changes = match text.trim_start().starts_with('[') {
        true => parse_json::<Vec<FleetChange>>(text)?,
        false => vec![parse_json::<FleetChange>(text)?],
    };
    match changes.is_empty() {
        true => Err("list of changes is empty".into()),
        false => Ok(changes),
    }
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| format!("changes at {}: {}", error.path(), error))?;
    reader.end().map_err(|error| format!("changes: {error}"))?;
    Ok(value)
}

async fn submit(
    client: &OperatorClient,
    body: &Value,
) -> Result<OrderReport, OperatorFailure> {
    let answer = client.call(Method::POST, "/v1/order", Some(body)).await?;
    read_report(answer)
}

async fn fetch_outcome(
    client: &OperatorClient,
    order: &OrderId,
) -> Result<OrderReport, OperatorFailure> {
    let id = order.as_str().replace('/', "%2F");
    let path = format!("/v1/orders/{id}");
    read_report(client.call(Method::GET, &path, None).await?)
}

fn read_report(answer: Value) -> Result<OrderReport, OperatorFailure> {
    serde_json::from_value(answer).map_err(|error| {
        OperatorFailure::Lost(format!("malformed report: {error}"))
    })
}

/// Polls until the order is in force or rejected, or until the deadline.
/// Returns the last report.
async fn wait_in_force(
    client: &OperatorClient,
    mut report: OrderReport,
    deadline: Instant,
) -> OrderReport {
    while !report.in_force
        && report.accepted != Some(false)
        && Instant::now() < deadline
    {
        sleep(POLL_PERIOD).await;
        // If a poll fails, the previous report stays valid.
        if let Ok(newer) = fetch_outcome(client, &report.order).await {
            report = newer;
        }
    }
    report
}

fn finish_with_report(
    options: &OrderOptions,
    report: &OrderReport,
) -> ExitReason {
    let text = match options.target.json {
        true => {
            let text = serde_json::to_string(report)
                .expect("a report has only text keys");
            text + "\n"
        }
        false => render_report(report),
    };
    let printed = print_text(&text);
    match report.accepted {
        Some(false) => ExitReason::Failed,
        None => {
            hint_outcome(options, &report.order);
            ExitReason::Unknown
        }
        Some(true) if options.wait.is_some() && !report.in_force => {
            print_error(format_args!(
                "order {} is accepted but not in force after {} s",
                report.order, options.target.timeout,
            ));
            hint_outcome(options, &report.order);
            ExitReason::Failed
        }
        Some(true) => printed,
    }
}

fn finish_with_failure(
    options: &OrderOptions,
    order: &OrderId,
    failure: &OperatorFailure,
) -> ExitReason {
    let is_outcome_query = matches!(options.action, OrderAction::Ask { .. });
    if is_outcome_query || !failure.may_have_run() {
        print_error(format_args!("order {order}: {failure}"));
        return failure.read_exit_reason();
    }
    print_error(format_args!(
        "it is not known whether order {order} took effect: {failure}",
    ));
    hint_outcome(options, order);
    ExitReason::Unknown
}

/// Prints the command that asks for the outcome again.
fn hint_outcome(options: &OrderOptions, order: &OrderId) {
    print_hint(format_args!(
        "ask again with: borageline order --address {} --outcome {order}",
        options.target.address,
    ));
}
