//! Stand-ins that run in separate processes.

use std::{process::Command, time::Duration};

use borageline_testutils::{
    client,
    process::{self, ChildSignal},
};
use serde_json::{Value, json};

const LIMIT: Duration = Duration::from_secs(10);

/// Guards against a paused process that still answers calls, and against a
/// child process that survives a kill.
#[tokio::test]
async fn test_process_pause_and_kill() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_borageline-standin"));
    command.args(["service", "--listen", "127.0.0.1:0"]);
    let (mut child, line) =
        process::start_and_read_address(command, LIMIT).unwrap();
    process::wait_http(line.address, "/look", LIMIT)
        .await
        .unwrap();
    child.signal(ChildSignal::Stop).unwrap();
    let short = Duration::from_millis(200);
    let paused = process::wait_http(line.address, "/look", short).await;
    assert!(paused.is_err());
    child.signal(ChildSignal::Continue).unwrap();
    process::wait_http(line.address, "/look", LIMIT)
        .await
        .unwrap();
    child.kill().unwrap();
    assert!(!child.is_running());
    assert!(client::get(line.address, "/look").await.is_err());
    assert!(child.signal(ChildSignal::Stop).is_err());
}

/// Guards against command-line options without effect on the engine, and
/// against faults that cannot be injected over HTTP.
#[tokio::test]
async fn test_engine_process_arguments() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_borageline-standin"));
    command.args(["engine", "--listen", "127.0.0.1:0", "--id", "engine-7"]);
    command.args(["--model", "model-a", "--memory", "1000", "--start-warm"]);
    command.args(["--time-scale", "10"]);
    let (_child, line) =
        process::start_and_read_address(command, LIMIT).unwrap();
    let path = "/v1/capabilities";
    let report: Value = client::get_json(line.address, path).await.unwrap();
    assert_eq!(report["engine"], "engine-7");
    assert_eq!(report["memory"], 1000);
    let body = json!({"fault": "restart"});
    let response =
        client::post_json(line.address, "/control", &[], &body).await;
    assert!(response.unwrap().status.is_success());
    process::wait_http(line.address, path, LIMIT).await.unwrap();
    let later: Value = client::get_json(line.address, path).await.unwrap();
    assert_ne!(later["incarnation"], report["incarnation"]);
}
