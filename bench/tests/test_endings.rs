//! Table of endings from log lines.

use borageline_bench::endings::EndingTable;
use serde_json::json;

fn line(message: &str, fields: serde_json::Value) -> String {
    json!({ "level": "INFO", "message": message, "kvs": fields }).to_string()
}

fn table(lines: &[String]) -> EndingTable {
    EndingTable::read(lines.join("\n").as_bytes()).expect("a slice can be read")
}

/// Guards against endings that are counted under the wrong cause or phase, and
/// against requests that vanish because their process was killed.
#[test]
fn test_endings_groups_requests_by_cause() {
    let refused = |id: &str, prompt: &str| {
        line(
            &format!("no_capacity: no memory for a prompt of {prompt} tokens"),
            json!({ "name": "request_finished", "request": id,
                "outcome": "refused", "sends": "0", "first_event_ms": "-",
                "prompt": prompt, "late": "no_answer" }),
        )
    };
    let placed = |id: &str| {
        line(
            "send 1",
            json!({ "name": "request_placed", "request": id,
                "prompt": "5000" }),
        )
    };
    let answered = |id: &str, late: &str| {
        line(
            "30 events",
            json!({ "name": "request_finished", "request": id,
                "outcome": "answered", "sends": "1", "first_event_ms": "310",
                "prompt": "5000", "late": late }),
        )
    };
    let rejected = line(
        "no route",
        json!({ "name": "request_rejected", "request": "e5",
            "code": "unknown_path" }),
    );
    let lines = [
        refused("a1", "252801"),
        refused("a2", "133000"),
        format!("  1.25 entry-1 {}", placed("b1")),
        answered("b1", "first_event"),
        placed("c1"),
        answered("d1", "in_time"),
        rejected,
        "no JSON".to_owned(),
        "{\"truncated\":".to_owned(),
    ];
    let rendered = table(&lines).to_string();
    let expected = "\
requests  outcome           prompt   phase               cause, examples
       2  refused           long     waiting             no_capacity: no memory for a prompt of # tokens, a1 a2
       1  answered          short    answering           -, d1
       1  answered          short    answering           late: first_event, b1
       1  no_end            short    before first event  -, c1
       1  rejected          -        admission           unknown_path, e5
";
    assert_eq!(rendered, expected);
}

/// Guards against a log with bytes that are no UTF-8, which ended the whole
/// report.
#[test]
fn test_endings_skips_bytes_that_are_no_text() {
    let mut bytes = vec![0xff, 0xfe, b'\n'];
    bytes.extend(
        line("-", json!({ "name": "caller_left", "request": "a1" })).bytes(),
    );
    let table = EndingTable::read(&bytes[..]).expect("a slice can be read");
    assert_eq!(table.groups().len(), 1);
}
