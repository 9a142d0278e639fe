//! `borageline query`: sends a query about the fleet to a running instance and
//! prints the rows of its answer.

use borageline_lib::query::{complete_query, parse_query};
use bpaf::Bpaf;
use http::Method;
use serde_json::{Value, json};

use super::ExitReason;
use crate::{
    operator_client::{
        OperatorClient, OperatorTarget, operator_target, run_calls,
    },
    output::{
        print_error, print_hint, print_incomplete, print_text, render_rows,
    },
};

/// Ask a running instance about the fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("query"),
    footer(
        "Example: borageline query --address 10.0.0.1:8080 --key-file key 'select id, wait from engines where free > 0 order by wait desc limit 5'"
    )
)]
pub struct QueryOptions {
    #[bpaf(external(operator_target))]
    target: OperatorTarget,
    /// Text of the query
    #[bpaf(positional("QUERY"), complete(|input: &String| complete_text(input)))]
    query: String,
}

fn complete_text(input: &str) -> Vec<(String, Option<String>)> {
    let texts = complete_query(input).into_iter();
    texts.map(|text| (text, None)).collect()
}

/// Sends the query and prints its answer. A query with a syntax error is not
/// sent.
pub fn run(options: &QueryOptions) -> ExitReason {
    run_calls(send_query(options))
}

async fn send_query(options: &QueryOptions) -> ExitReason {
    let client = match OperatorClient::new(&options.target) {
        Ok(client) => client,
        Err(failure) => {
            print_error(&failure);
            return failure.read_exit_reason();
        }
    };
    if let Err(error) = parse_query(&options.query) {
        print_error(error.render(&options.query));
        return ExitReason::Usage;
    }
    let body = json!({ "query": options.query });
    match client.call(Method::POST, "/v1/query", Some(&body)).await {
        Ok(answer) if options.target.json => print_text(&format!("{answer}\n")),
        Ok(answer) => {
            let reason = print_text(&render_rows(&answer));
            print_incomplete(&answer);
            let rows = answer.get("rows").and_then(Value::as_array);
            if rows.is_some_and(Vec::is_empty) {
                print_hint("no instance has rows that match");
            }
            reason
        }
        Err(failure) => {
            print_error(&failure);
            failure.read_exit_reason()
        }
    }
}
