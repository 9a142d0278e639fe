//! `borageline query`: asks a running instance.

use bpaf::Bpaf;
use http::Method;
use serde_json::json;

use super::ExitReason;
use crate::{
    operator_client::{
        OperatorClient, OperatorTarget, operator_target, run_calls,
    },
    output::{print_error, print_text, render_rows},
};

/// Ask a running instance about the fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("query"),
    footer(
        "Example: borageline query --address 10.0.0.1:8080 --key-file key 'engines'"
    )
)]
pub struct QueryOptions {
    #[bpaf(external(operator_target))]
    target: OperatorTarget,
    /// Text of the query
    #[bpaf(positional("QUERY"))]
    query: String,
}

/// Runs the command.
pub fn run(options: &QueryOptions) -> ExitReason {
    run_calls(ask(options))
}

async fn ask(options: &QueryOptions) -> ExitReason {
    let client = match OperatorClient::new(&options.target) {
        Ok(client) => client,
        Err(failure) => {
            print_error(&failure);
            return failure.read_reason();
        }
    };
    let body = json!({ "query": options.query });
    match client.call(Method::POST, "/v1/query", Some(&body)).await {
        Ok(answer) if options.target.json => print_text(&format!("{answer}\n")),
        Ok(answer) => print_text(&render_rows(&answer)),
        Err(failure) => {
            print_error(&failure);
            failure.read_reason()
        }
    }
}
