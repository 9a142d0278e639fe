//! Tests of `check-config --desired-state`, run as a process on the desired
//! states in `tests/data/desired_states`.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step in a helper fails the test"
)]

use std::{
    io::Write,
    path::Path,
    process::{Command, Output, Stdio},
    time::{Duration, Instant},
};

use rstest::rstest;
use serde_json::{Value, json};

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
/// Limit on the time of a check of 4 MiB. A debug build takes about a second.
const TIME_MAX: Duration = Duration::from_secs(30);

fn data(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = folder.join("tests/data/desired_states");
    let path = folder.join(format!("{name}.json"));
    path.to_str().unwrap().to_owned()
}

fn run(arguments: &[&str], input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_borageline"));
    command.arg("check-config").args(arguments);
    command.stdin(Stdio::piped());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // The process may not read its input.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().unwrap()
}

fn check(name: &str) -> Output {
    run(&["--desired-state", &data(name)], &[])
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Guards against findings about a sound desired state, from a file and from
/// standard input.
#[test]
fn test_desired_state_clean_has_no_findings() {
    let result = check("clean");
    assert_eq!(text(&result), "errors: 0, warnings: 0, differences: 0\n");
    assert_eq!(code(&result), DONE);
    let input = std::fs::read(data("clean")).unwrap();
    let result = run(&["--desired-state", "-"], &input);
    assert_eq!(code(&result), DONE);
}

/// Guards against a kind of fault that is not reported, or not with its part.
#[rstest]
#[case::unreadable("unreadable", &[
    "error: unreadable: desired state: ",
])]
#[case::unusable_part("unusable_part", &[
    "error: unusable_part: route \"broken\": ",
    "error: unusable_part: status path \"plain\": ",
    "error: unusable_part: workspace \" padded \": ",
])]
#[case::unusable_scaling("unusable_scaling", &[
    "error: unusable_part: scaling \"models\": ",
])]
#[case::never_matches("never_matches", &[
    "warning: never_matches: route \"chat\": a later route has \
     models.example/chat/, too",
    "warning: never_matches: route \"no-slash\": the prefix does not",
    "warning: never_matches: route \"undefined\": service missing is not",
    "warning: never_matches: route \"weightless\": no service has",
    "warning: never_matches: service \"idle\": no route sends",
    "warning: never_matches: workspace \"shop\": one of its keys is",
    "warning: never_matches: workspace \"keyless\": it has no keys",
])]
#[case::contradiction("contradiction", &[
    "warning: contradiction: route \"chat\": the latency target of 20s",
    "warning: contradiction: route \"chat\": the pause target of 20s",
    "warning: contradiction: route \"chat\": no attempt is allowed",
    "warning: contradiction: service \"models\": the fewest engines, 9",
    "warning: contradiction: service \"models-b\": its number is bounded",
    "warning: contradiction: service \"models-c\": its engines have no slots",
    "warning: contradiction: limits: the largest body is 0",
])]
fn test_desired_state_finds(#[case] name: &str, #[case] lines: &[&str]) {
    let result = check(name);
    let output = text(&result);
    for line in lines {
        assert!(output.contains(line), "{line} is missing in\n{output}");
    }
    let kind = lines[0].split(": ").nth(1).unwrap();
    let of_kind = output.lines().filter(|it| it.contains(kind)).count();
    assert_eq!(of_kind, lines.len(), "{output}");
    let errors = output
        .lines()
        .filter(|it| it.starts_with("error: "))
        .count();
    assert!(output.contains(&format!("errors: {errors}, ")), "{output}");
    assert!(!output.contains("secret-key"), "{output}");
    assert_eq!(code(&result), FAILED);
}

/// Guards against a change of permissions that is overlooked among others, and
/// against keys in the output.
#[test]
fn test_desired_state_differences_begin_with_permissions() {
    let arguments = ["--desired-state", &data("proposed"), "--in-force"];
    let result = run(&[&arguments[..], &[&data("in_force")]].concat(), &[]);
    let output = text(&result);
    let expected = "\
access removed: route \"old\": models.example/old/ is removed
access removed: workspace \"bank\": keys are removed: 1
access widened: route \"calls\": models.example/calls/ needs no key any more
access widened: workspace \"shop\": keys are added: 1
access unchanged: route \"chat\": latency target: 300ms -> 250ms
access unchanged: service \"models\": number of engines: 2 to 8, 8s to start \
-> 2 to 9, 8s to start
access unchanged: workspace \"shop\": priority: of the route -> 0
errors: 0, warnings: 0, differences: 7
";
    assert_eq!(output, expected);
    assert_eq!(code(&result), DONE);
}

/// Guards against a desired state that instances ignore since a newer one is in
/// force.
#[test]
fn test_desired_state_not_newer_is_found() {
    let arguments = ["--desired-state", &data("in_force"), "--in-force"];
    let result = run(&[&arguments[..], &[&data("proposed")]].concat(), &[]);
    let output = text(&result);
    assert!(
        output.starts_with("error: not_newer: version \"6\""),
        "{output}"
    );
    assert_eq!(code(&result), FAILED);
}

/// Guards against bytes of a desired state that change the state of a terminal,
/// as text and as JSON.
#[rstest]
#[case(&[])]
#[case(&["--json"])]
fn test_desired_state_names_are_escaped(#[case] more: &[&str]) {
    let file = data("hostile_names");
    let arguments = ["--desired-state", &file];
    let result = run(&[&arguments[..], more].concat(), &[]);
    let output = text(&result);
    assert!(output.contains("chat"), "{output}");
    let is_plain =
        |char: char| char == '\n' || ('\x20'..'\x7f').contains(&char);
    assert!(output.chars().all(is_plain), "{output:?}");
    assert_eq!(code(&result), FAILED);
}

/// Guards against JSON that tools cannot read.
#[test]
fn test_desired_state_json_has_findings() {
    let file = data("unusable_scaling");
    let result = run(&["--desired-state", &file, "--json"], &[]);
    let value: Value = serde_json::from_slice(&result.stdout).unwrap();
    let finding = &value["findings"][0];
    assert_eq!(finding["severity"], "error");
    assert_eq!(finding["kind"], "unusable_part");
    assert_eq!(finding["name"], "models");
    assert_eq!(value["differences"], json!([]));
}

/// Guards against exit code 1, which stands for findings, where nothing was
/// checked.
#[rstest]
#[case::no_file(&["--desired-state"])]
#[case::missing_file(&["--desired-state", "/nonexistent.json"])]
#[case::folder(&["--desired-state", "/"])]
#[case::twice_input(&["--desired-state", "-", "--in-force", "-"])]
#[case::in_force_alone(&["--in-force", "/nonexistent.json"])]
#[case::input_in_force(&["--desired-state", "CLEAN", "--in-force", "-"])]
fn test_desired_state_unreadable_input_is_usage(#[case] arguments: &[&str]) {
    let clean = data("clean");
    let arguments: Vec<_> = arguments
        .iter()
        .map(|it| if *it == "CLEAN" { &clean } else { *it })
        .collect();
    let result = run(&arguments, b"no JSON");
    assert_eq!(code(&result), USAGE);
    assert_eq!(text(&result), "");
    assert_ne!(result.stderr, b"");
}

/// Guards against an input without end, and against a largest desired state
/// that takes minutes: 4 MiB with 16,000 workspaces, all new to the other.
#[test]
fn test_desired_state_size_is_bounded() {
    let workspaces: Vec<_> = (0..16_000)
        .map(|index| {
            let key = format!("{index:0>160}");
            json!({ "name": format!("workspace-{index}"), "apiKeys": [key] })
        })
        .collect();
    let state = json!({
        "version": 7, "routes": [], "services": [], "tenants": workspaces,
    });
    let mut input = serde_json::to_vec(&state).unwrap();
    assert!(input.len() < 4 << 20 && input.len() > 3 << 20);
    let started = Instant::now();
    let arguments = ["--desired-state", "-", "--in-force", &data("in_force")];
    let result = run(&arguments, &input);
    assert_eq!(code(&result), DONE);
    assert!(text(&result).contains("differences: 16006"));
    assert!(started.elapsed() < TIME_MAX);
    input.resize((4 << 20) + 1, b' ');
    let result = run(&["--desired-state", "-"], &input);
    assert_eq!(code(&result), USAGE);
}
