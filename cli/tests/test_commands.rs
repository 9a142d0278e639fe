//! Tests of the output and the exit codes of the commands, run as processes.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step in a helper fails the test"
)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::Command,
    sync::mpsc::{Receiver, channel},
    thread,
};

use borageline_testutils::loopback::new_address;
use rstest::rstest;
use serde_json::{Value, json};

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
const UNKNOWN: i32 = 3;

const CHANGE: &str =
    r#"{"kind":"close_domain","domain":"domain-a","mode":"finish"}"#;

struct CommandOutput {
    code: i32,
    output: String,
    errors: String,
}

/// Runs the binary with an operator key in its environment.
fn run(arguments: &[&str]) -> CommandOutput {
    run_with_key(arguments, Some("operator-key"))
}

fn run_with_key(arguments: &[&str], key: Option<&str>) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_borageline"));
    command
        .args(arguments)
        .env_remove("BORAGELINE_OPERATOR_KEY");
    if let Some(key) = key {
        command.env("BORAGELINE_OPERATOR_KEY", key);
    }
    let output = command.output().unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A request received by the scripted instance.
struct ReceivedRequest {
    line: String,
    authorization: String,
    body: String,
}

/// Reads one request; `None` if the connection closes first.
fn read_request(stream: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let mut authorization = String::new();
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).unwrap() == 0 {
            return None;
        }
        let Some((name, value)) = header.trim_end().split_once(": ") else {
            break;
        };
        match name.to_lowercase().as_str() {
            "authorization" => authorization = value.to_owned(),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    Some(ReceivedRequest {
        line: line.trim_end().to_owned(),
        authorization,
        body: String::from_utf8(body).unwrap(),
    })
}

/// Starts a scripted instance that sends one response to each connection; an
/// empty response closes it.
fn start_instance(
    answers: Vec<String>,
) -> (SocketAddr, Receiver<ReceivedRequest>) {
    let listener = TcpListener::bind(new_address()).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            if let Some(request) = read_request(&stream) {
                sender.send(request).unwrap();
            }
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    (address, receiver)
}

fn answer(status: &str, body: &Value) -> String {
    let body = body.to_string();
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}",
    )
}

fn report(accepted: Option<bool>, in_force: bool) -> Value {
    json!({
        "order": "o-1", "offset": 4, "accepted": accepted,
        "reason": null, "in_force": in_force,
        "waiting_for": if in_force { vec![] } else { vec!["entry-2"] },
        "run_state": if accepted.is_some() { "ran" } else { "may_have_run" },
    })
}

fn refusal(code: &str, run_state: &str) -> Value {
    json!({"error": {
        "code": code, "message": "version 3 is not 2",
        "run_state": run_state, "request_id": "r-1",
    }})
}

fn write_file(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Guards against a default settings file that `check-config` rejects.
#[test]
fn test_default_file_is_valid() {
    let default = run(&["config", "default"]);
    assert_eq!(default.code, DONE);
    let directory = tempfile::tempdir().unwrap();
    let file = write_file(directory.path(), "a.jsonc", &default.output);
    let result = run(&["check-config", &file]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    assert!(result.output.contains("entry-1"), "{}", result.output);
}

/// Guards against errors in a settings file that are not printed, or that end
/// with another exit code.
#[test]
fn test_check_config_prints_every_fault() {
    let directory = tempfile::tempdir().unwrap();
    let text = r#"{"instance": "a b", "limits": {"connections": 0}}"#;
    let file = write_file(directory.path(), "a.jsonc", text);
    let result = run(&["check-config", &file, "--set", "policy=fastest"]);
    assert_eq!(result.code, USAGE);
    let paths: Vec<_> = result
        .errors
        .lines()
        .map(|line| line.split(':').next().unwrap())
        .collect();
    insta::assert_snapshot!(paths.join("\n"), @r#"
    failure_domain
    caller_address
    peer_address
    fleet_secret
    log_service
    instance_list
    instance
    policy (--set policy)
    limits.connections
    "#);
}

/// Guards against a schema that scripts cannot parse.
#[test]
fn test_schema_as_json() {
    let result = run(&["config", "schema", "--json"]);
    assert_eq!(result.code, DONE);
    let schema: Value = serde_json::from_str(&result.output).unwrap();
    let rows = schema["settings"].as_array().unwrap();
    let row = rows
        .iter()
        .find(|row| row["key"] == "limits.body_bytes")
        .unwrap();
    insta::assert_snapshot!(format!("{row:#}"), @r#"
    {
      "allowed": "1024 to 1073741824 B",
      "default": 16777216,
      "description": "largest request body",
      "instead": null,
      "key": "limits.body_bytes",
      "max": 1073741824,
      "min": 1024,
      "required": false,
      "type": "whole number",
      "unit": "B",
      "variable": "BORAGELINE_LIMITS_BODY_BYTES"
    }
    "#);
}

/// Guards against usage errors with the exit code of a refusal.
#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["frobnicate"])]
#[case::no_file(&["check-config"])]
#[case::missing_settings(&["serve", "--config", "/nonexistent.jsonc"])]
#[case::missing_file(&["check-config", "/nonexistent.jsonc"])]
#[case::no_address(&["query", "engines"])]
#[case::bad_address(&["query", "--address", "here", "engines"])]
#[case::bad_key_file(
    &["query", "--address", "127.0.0.1:9", "--key-file", "/nonexistent", "q"]
)]
#[case::bad_change(&["order", "--address", "127.0.0.1:9", "{}"])]
#[case::no_change(&["order", "--address", "127.0.0.1:9", "[]"])]
#[case::trailing_text(&["order", "--address", "127.0.0.1:9", "[] []"])]
#[case::bad_wait(&["order", "--address", "127.0.0.1:9", "--wait", "x", CHANGE])]
#[case::outcome_and_change(
    &["order", "--address", "127.0.0.1:9", "--outcome", "o-1", CHANGE]
)]
fn test_usage_error(#[case] arguments: &[&str]) {
    let result = run(arguments);
    assert_eq!(result.code, USAGE, "{}", result.errors);
    assert!(!result.errors.is_empty());
}

/// Guards against an order that is sent without a key.
#[test]
fn test_missing_key_is_usage_error() {
    let arguments = ["order", "--address", "127.0.0.1:9", CHANGE];
    let result = run_with_key(&arguments, None);
    assert_eq!(result.code, USAGE);
    assert!(result.errors.contains("--key-file"), "{}", result.errors);
}

/// Guards against help texts without an example.
#[rstest]
#[case(&["serve", "--help"])]
#[case(&["check-config", "--help"])]
#[case(&["config", "--help"])]
#[case(&["config", "schema", "--help"])]
#[case(&["config", "default", "--help"])]
#[case(&["query", "--help"])]
#[case(&["order", "--help"])]
fn test_help_has_example(#[case] arguments: &[&str]) {
    let result = run(arguments);
    assert_eq!(result.code, DONE);
    assert!(
        result.output.contains("Example: borageline "),
        "{}",
        result.output
    );
}

/// Guards against shell completion that does not offer the keys of settings.
#[test]
fn test_completion_offers_setting_keys() {
    let result = run(&[
        "--bpaf-complete-rev=8",
        "check-config",
        "--set",
        "limits.con",
    ]);
    assert!(
        result.output.contains("limits.connections="),
        "{}",
        result.output
    );
}

/// Guards against an order that is sent in a wrong format or printed
/// incorrectly.
#[test]
fn test_order_accepted() {
    let script = vec![answer("200 OK", &report(Some(true), true))];
    let (address, requests) = start_instance(script);
    let address = address.to_string();
    let directory = tempfile::tempdir().unwrap();
    let key = write_file(directory.path(), "key", "key-of-file\n");
    let result = run(&[
        "order",
        "--address",
        &address,
        "--key-file",
        &key,
        "--expect",
        "3",
        "--order-id",
        "o-1",
        CHANGE,
    ]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    insta::assert_snapshot!(result.output, @r#"
    order        o-1
    accepted     yes
    offset       4
    in force     yes
    run state    ran
    "#);
    let request = requests.recv().unwrap();
    assert_eq!(request.line, "POST /v1/order HTTP/1.1");
    assert_eq!(request.authorization, "Bearer key-of-file");
    let body: Value = serde_json::from_str(&request.body).unwrap();
    let change: Value = serde_json::from_str(CHANGE).unwrap();
    let expected = json!({
        "order": "o-1", "expect_version": 3, "changes": [change],
    });
    assert_eq!(body, expected);
}

/// Guards against two orders with the same id if the operator gives none.
#[test]
fn test_order_ids_differ() {
    let ids = [0, 1].map(|_| {
        let script = vec![answer("200 OK", &report(Some(true), true))];
        let (address, requests) = start_instance(script);
        run(&["order", "--address", &address.to_string(), CHANGE]);
        let body = requests.recv().unwrap().body;
        let body: Value = serde_json::from_str(&body).unwrap();
        body["order"].as_str().unwrap().to_owned()
    });
    assert_ne!(ids[0], ids[1]);
    assert_eq!(uuid::Uuid::parse_str(&ids[0]).unwrap().get_version_num(), 7);
}

/// Guards against an exit code that the response does not justify.
#[rstest]
#[case::rejected(answer("409 Conflict", &refusal("order_rejected", "not_run")), FAILED)]
#[case::forbidden(answer("403 Forbidden", &refusal("forbidden", "not_run")), FAILED)]
#[case::refused_unknown(answer("500 Internal", &refusal("internal", "may_have_run")), UNKNOWN)]
#[case::other_error(answer("502 Bad Gateway", &json!("proxy")), UNKNOWN)]
#[case::other_refusal(answer("404 Not Found", &json!("proxy")), FAILED)]
#[case::judged_rejected(answer("200 OK", &report(Some(false), false)), FAILED)]
#[case::not_judged(answer("202 Accepted", &report(None, false)), UNKNOWN)]
#[case::broken_after_sending(String::new(), UNKNOWN)]
#[case::cut_answer("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".into(), UNKNOWN)]
#[case::malformed_report(answer("200 OK", &json!({})), UNKNOWN)]
fn test_order_exit_code(#[case] script: String, #[case] code: i32) {
    let (address, _requests) = start_instance(vec![script]);
    let address = address.to_string();
    let result =
        run(&["order", "--address", &address, "--order-id", "o-1", CHANGE]);
    assert_eq!(result.code, code, "{}", result.errors);
    let hint = format!(
        "hint: ask again with: borageline order --address {address} \
         --outcome o-1",
    );
    assert_eq!(
        result.errors.contains(&hint),
        code == UNKNOWN,
        "{}",
        result.errors
    );
}

/// Guards against a failed connection that is reported as an unknown outcome.
#[test]
fn test_order_connection_refused() {
    let address = new_address().to_string();
    let result = run(&["order", "--address", &address, CHANGE]);
    assert_eq!(result.code, FAILED, "{}", result.errors);
    assert!(result.errors.contains("not sent"), "{}", result.errors);
}

/// Guards against a command that waits forever for an instance that does not
/// respond.
#[test]
fn test_order_timeout() {
    let listener = TcpListener::bind(new_address()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let result =
        run(&["order", "--address", &address, "--timeout", "1", CHANGE]);
    assert_eq!(result.code, UNKNOWN, "{}", result.errors);
}

/// Guards against a wait that ends before the order is in force.
#[test]
fn test_order_wait_in_force() {
    let script = vec![
        answer("200 OK", &report(Some(true), false)),
        answer("200 OK", &report(Some(true), false)),
        answer("200 OK", &report(Some(true), true)),
    ];
    let (address, requests) = start_instance(script);
    let result = run(&[
        "order",
        "--address",
        &address.to_string(),
        "--wait",
        "in-force",
        "--json",
        CHANGE,
    ]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    let printed: Value = serde_json::from_str(&result.output).unwrap();
    assert_eq!(printed["in_force"], true);
    assert_eq!(requests.recv().unwrap().line, "POST /v1/order HTTP/1.1");
    let request_line = requests.recv().unwrap().line;
    assert_eq!(request_line, "GET /v1/orders/o-1 HTTP/1.1");
}

/// Guards against a successful exit for an order that is not in force on all
/// instances.
#[test]
fn test_order_wait_ends_without_force() {
    let script = vec![answer("200 OK", &report(Some(true), false))];
    let (address, _requests) = start_instance(script);
    let result = run(&[
        "order",
        "--address",
        &address.to_string(),
        "--wait",
        "in-force",
        "--timeout",
        "1",
        CHANGE,
    ]);
    assert_eq!(result.code, FAILED, "{}", result.errors);
    assert!(
        result.output.contains("waiting for  entry-2"),
        "{}",
        result.output
    );
}

/// Guards against an outcome that is requested at a wrong path.
#[test]
fn test_order_outcome() {
    let script = vec![answer("200 OK", &report(Some(true), false))];
    let (address, requests) = start_instance(script);
    let address = address.to_string();
    let result = run(&["order", "--address", &address, "--outcome", "o-1"]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    let request_line = requests.recv().unwrap().line;
    assert_eq!(request_line, "GET /v1/orders/o-1 HTTP/1.1");
}

/// Guards against a failed query that is reported as an unknown outcome.
#[rstest]
#[case::outcome("order", &["--outcome", "o-1"])]
#[case::query("query", &["engines"])]
fn test_lost_question_is_failure(
    #[case] command: &str,
    #[case] arguments: &[&str],
) {
    let (address, _requests) = start_instance(vec![String::new()]);
    let address = address.to_string();
    let result = run(&[&[command, "--address", &address], arguments].concat());
    assert_eq!(result.code, FAILED, "{}", result.errors);
}

/// Guards against rows that are not aligned as a table, or JSON that is not
/// printed as received.
#[test]
fn test_query_rows() {
    let rows = json!({"rows": [
        {"engine": "co-m-1", "held": 7},
        {"engine": "co-m-10", "held": 1200, "state": "cold"},
    ]});
    let script = vec![answer("200 OK", &rows), answer("200 OK", &rows)];
    let (address, requests) = start_instance(script);
    let address = address.to_string();
    let result = run(&["query", "--address", &address, "engines"]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    insta::assert_snapshot!(result.output, @r#"
    ENGINE   HELD  STATE
    co-m-1   7     -
    co-m-10  1200  cold
    "#);
    assert_eq!(requests.recv().unwrap().body, r#"{"query":"engines"}"#);
    let result = run(&["query", "--address", &address, "--json", "engines"]);
    let printed: Value = serde_json::from_str(&result.output).unwrap();
    assert_eq!(printed, rows);
}

/// Guards against a refused query with a successful exit code.
#[test]
fn test_query_refused() {
    let body = refusal("unauthenticated", "not_run");
    let script = vec![answer("401 Unauthorized", &body)];
    let (address, _requests) = start_instance(script);
    let result = run(&["query", "--address", &address.to_string(), "engines"]);
    assert_eq!(result.code, FAILED);
    assert_eq!(
        result.errors,
        "error: unauthenticated: version 3 is not 2 (request r-1)\n",
    );
}

/// Guards against columns in another order than requested, and against missing
/// rows without a warning.
#[test]
fn test_query_columns_and_missing() {
    let body = json!({
        "columns": ["wait", "id", "models"],
        "rows": [
            {"id": "e1", "wait": 0.5, "models": ["a", "b"]},
            {"id": "e\u{1b}2", "wait": null, "models": []},
        ],
        "missing": [{"instance": "i3", "reason": "no answer"}],
        "cut": [{"instance": "i2", "rows": 7}],
    });
    let script = vec![answer("200 OK", &body)];
    let (address, _requests) = start_instance(script);
    let result = run(&["query", "--address", &address.to_string(), "engines"]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    insta::assert_snapshot!(result.output, @r"
    WAIT  ID   MODELS
    0.5   e1   a,b
    -     e 2
    ");
    insta::assert_snapshot!(result.errors, @r"
    warning: rows of i3 are missing: no answer
    warning: 7 rows of i2 are left out over the bound
    ");
}

/// Guards against a malformed text that is sent, or that is refused without
/// the position of the error.
#[test]
fn test_malformed_text_points_at_column() {
    let arguments = ["query", "--address", "127.0.0.1:9", "engines wher"];
    let result = run(&arguments);
    assert_eq!(result.code, USAGE);
    insta::assert_snapshot!(result.errors, @r"
    error: line 1, column 9: expected `where`, `group`, `order`, `limit` or the end of the text, found `wher`
      engines wher
              ^^^^
    ");
    let text = "close domain d; open d";
    let result = run(&["order", "--address", "127.0.0.1:9", text]);
    assert_eq!(result.code, USAGE);
    insta::assert_snapshot!(result.errors, @r"
    error: line 1, column 22: expected `domain`, found `d`
      close domain d; open d
                           ^
    ");
}

/// Guards against an order in words that is sent in a wrong format.
#[test]
fn test_order_in_words() {
    let script = vec![answer("200 OK", &report(Some(true), true))];
    let (address, requests) = start_instance(script);
    let address = address.to_string();
    let text = "close domain domain-a move";
    let result =
        run(&["order", "--address", &address, "--order-id", "o-1", text]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    let body: Value =
        serde_json::from_str(&requests.recv().unwrap().body).unwrap();
    let expected =
        json!({"order": "o-1", "expect_version": null, "text": text});
    assert_eq!(body, expected);
}

/// Guards against a dry run that is sent as an order.
#[test]
fn test_order_dry_run() {
    let body = json!({"dry_run": true, "version": 4, "changes": [
        {"path": "domain d.closed", "before": null, "after": "move"},
    ]});
    let script = vec![answer("200 OK", &body)];
    let (address, requests) = start_instance(script);
    let address = address.to_string();
    let result = run(&[
        "order",
        "--address",
        &address,
        "--dry-run",
        "--wait",
        "in-force",
        "close domain d move",
    ]);
    assert_eq!(result.code, DONE, "{}", result.errors);
    insta::assert_snapshot!(result.output, @r#"
    version 4, nothing was changed
    domain d.closed: null -> "move"
    "#);
    let body: Value =
        serde_json::from_str(&requests.recv().unwrap().body).unwrap();
    assert_eq!(body["dry_run"], true);
}

/// Guards against shell completion that does not support the operators'
/// language.
#[rstest]
#[case(&["query", "engi"], "engines")]
#[case(&["query", "engines whe"], "engines where")]
#[case(&["order", "close dom"], "close domain")]
#[case(&["order", "close domain d fi"], "close domain d finish")]
fn test_completion_offers_language(
    #[case] arguments: &[&str],
    #[case] offered: &str,
) {
    let result = run(&[&["--bpaf-complete-rev=8"], arguments].concat());
    assert!(result.output.contains(offered), "{}", result.output);
}
