//! Stand-ins that run in separate processes.

use std::{
    io::{BufRead, BufReader},
    os::unix::process::CommandExt,
    process::{Command, Stdio},
    time::Duration,
};

use borageline_testutils::{
    client,
    process::{self, ChildProcess, ChildSignal},
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

/// Guards against a paused process that continues because the shell that started
/// the tests ends.
#[test]
fn test_process_pause_outlives_shell() {
    const PAUSE: &str = "BORAGELINE_TEST_PAUSE";
    let pause = Duration::from_secs(2);
    if std::env::var_os(PAUSE).is_some() {
        let mut command = Command::new("sleep");
        command.arg("20");
        let mut child = ChildProcess::start(command).unwrap();
        child.signal(ChildSignal::Stop).unwrap();
        println!("\npaused {}", child.id());
        std::thread::sleep(pause);
        return;
    }
    let name = "test_process_pause_outlives_shell";
    let script = format!("\"$0\" --exact {name} --nocapture & read -r line");
    let mut command = Command::new("sh");
    command.args(["-c", &script]);
    command.arg(std::env::current_exe().unwrap());
    command.env(PAUSE, "1").process_group(0);
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    command.stderr(Stdio::null());
    let mut shell = command.spawn().unwrap();
    let mut lines = BufReader::new(shell.stdout.take().unwrap()).lines();
    let id = lines.find_map(|line| {
        Some(line.unwrap().strip_prefix("paused ")?.to_owned())
    });
    // Waiting closes the shell's standard input, which ends it.
    shell.wait().unwrap();
    std::thread::sleep(pause / 4);
    let stat = format!("/proc/{}/stat", id.expect("a process is paused"));
    let stat = std::fs::read_to_string(stat).expect("the process exists");
    assert!(stat.contains(" T "), "{stat}");
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
