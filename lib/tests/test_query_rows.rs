//! Tests of evaluating queries and of merging the rows of instances.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{collections::BTreeSet, sync::Arc};

use borageline_lib::{
    api::PriorityClass,
    fleet::{FleetState, WorkspaceRule},
    fleet_view::UpstreamEntry,
    query::{
        CellValue, INSTANCE_ROWS_MAX, INSTANCE_ROWS_MAX_BYTES, InstanceRows,
        ListedUpstream, MergeInput, QueryResponse, QueryStatement, QueryTable,
        RESPONSE_ROWS_MAX, ReplicatedState, TableQuery, TableRow,
        UnansweredInstance, encode_bounded, merge, parse_query,
    },
};
use rstest::rstest;

fn table_query(text: &str) -> TableQuery {
    match parse_query(text) {
        Ok(QueryStatement::Table(query)) => query,
        other => panic!("{text}: {other:?}"),
    }
}

/// A row of `requests`; only what the tests ask for differs.
fn request(
    id: &str,
    workspace: &str,
    class: &'static str,
    prompt: u64,
    instance: &str,
) -> TableRow {
    vec![
        CellValue::text(id),
        CellValue::text(workspace),
        CellValue::text("m"),
        class.into(),
        "sent".into(),
        CellValue::list(["e1", "e10"]),
        prompt.into(),
        100_u64.into(),
        CellValue::Float(1.5),
        CellValue::Float(8.5),
        CellValue::text(instance),
    ]
}

fn parts_of(text: &str, instances: &[(&str, Vec<TableRow>)]) -> MergeInput {
    let query = table_query(text);
    let mut parts = instances.iter().map(|(name, rows)| {
        let rows = rows.iter().cloned();
        let part = InstanceRows {
            rows: query.filter_and_project(rows),
            ..InstanceRows::default()
        };
        (name.parse().unwrap(), part)
    });
    let (own, own_part) = parts.next().unwrap();
    MergeInput {
        local_instance: own,
        local_rows: own_part,
        peer_rows: parts
            .map(|(name, part)| (name, encode_bounded(part)))
            .collect(),
        replicated: ReplicatedState::default(),
        missing: Vec::new(),
        statement: QueryStatement::Table(query),
    }
}

fn fleet_rows() -> Vec<(&'static str, Vec<TableRow>)> {
    vec![
        (
            "i1",
            vec![
                request("r1", "a", "interactive", 10, "i1"),
                request("r2", "b", "batch", 900_000, "i1"),
            ],
        ),
        ("i2", vec![request("r3", "a", "batch", 500, "i2")]),
        ("i3", Vec::new()),
    ]
}

/// One row a line, for comparison.
fn shown(answer: &QueryResponse) -> String {
    let rows = answer.rows.iter().map(|row| {
        let cells = answer
            .columns
            .iter()
            .map(|column| serde_json::to_string(&row[column]).unwrap());
        cells.collect::<Vec<_>>().join(" ")
    });
    rows.collect::<Vec<_>>().join("\n")
}

fn ask(text: &str) -> QueryResponse {
    merge(parts_of(text, &fleet_rows()))
}

/// Guards against filters, groups and orders that give wrong rows when the
/// rows come from several instances.
#[rstest]
#[case(
    "select id from requests order by prompt desc",
    "\"r2\"\n\"r3\"\n\"r1\""
)]
#[case("select id from requests order by prompt limit 1", "\"r1\"")]
#[case(
    "select id from requests where workspace = a order by id desc",
    "\"r3\"\n\"r1\""
)]
#[case(
    "select id from requests where class = batch and workspace != a",
    "\"r2\""
)]
#[case(
    "select id from requests where not (class = batch or prompt < 5)",
    "\"r1\""
)]
#[case(
    "select id from requests where prompt >= 500 and prompt <= 500",
    "\"r3\""
)]
#[case("select id from requests where age > 1500ms", "")]
#[case(
    "select id from requests where age >= 1500ms order by id limit 1",
    "\"r1\""
)]
#[case("select count from requests where engines contains e1", "3")]
#[case("select count from requests where engines contains e", "0")]
#[case("select count from requests where workspace contains b", "1")]
#[case("select count from requests where model = null", "0")]
#[case("select count from requests where nothing = 1 or id = r1", "error")]
#[case(
    "select count, sum(prompt), min(prompt), max(prompt) from requests",
    "3 900510 10 900000"
)]
#[case("select avg(prompt) from requests where workspace = a", "255")]
#[case(
    "select workspace, count, avg(prompt) from requests group by workspace",
    "\"a\" 2 255\n\"b\" 1 900000"
)]
#[case(
    "requests group by class order by count desc",
    "\"batch\" 2\n\"interactive\" 1"
)]
#[case(
    "select class, max(id) from requests group by class order by sum(prompt)",
    "\"interactive\" \"r1\"\n\"batch\" \"r3\""
)]
#[case("select sum(prompt), count from requests where id = none", "null 0")]
#[case(
    "select workspace from requests where id = none group by workspace",
    ""
)]
fn test_query_over_instances(#[case] text: &str, #[case] expected: &str) {
    if expected == "error" {
        parse_query(text).unwrap_err();
        return;
    }
    let answer = ask(text);
    assert_eq!(shown(&answer), expected);
    assert!(answer.complete);
    assert_eq!(answer.answered, 3);
}

/// Guards against rows that are left out without a word.
#[test]
fn test_cut_rows_are_named() {
    let rows = (0..INSTANCE_ROWS_MAX as u64 + 5)
        .map(|number| {
            request(&format!("r{number}"), "a", "batch", number, "i2")
        })
        .collect();
    let instances = [("i1", Vec::new()), ("i2", rows)];
    let answer = merge(parts_of("select count from requests", &instances));
    assert!(!answer.complete);
    assert_eq!(answer.cut[0].instance.as_ref().unwrap().as_str(), "i2");
    assert_eq!(answer.cut[0].rows, 5);
    let text = "select id from requests order by prompt desc limit 3";
    let answer = merge(parts_of(text, &instances));
    assert!(answer.complete, "a limit needs no rows beyond it");
    assert_eq!(shown(&answer), "\"r2004\"\n\"r2003\"\n\"r2002\"");
}

/// Guards against a part that does not fit into a frame between instances.
#[test]
fn test_part_bytes_are_bounded() {
    let name = "x".repeat(100);
    let row = request(&name, &name, "batch", 1, &name);
    let query = table_query("requests");
    let rows = query.filter_and_project(vec![row; INSTANCE_ROWS_MAX]);
    let part = InstanceRows {
        rows: rows
            .into_iter()
            .map(|row| [row.clone(), row].concat())
            .collect(),
        ..InstanceRows::default()
    };
    let text = encode_bounded(part);
    assert!(text.len() <= INSTANCE_ROWS_MAX_BYTES);
    let read: InstanceRows = serde_json::from_str(&text).unwrap();
    assert_eq!(read.rows.len() + read.cut, INSTANCE_ROWS_MAX);
    assert!(read.cut > 0);
}

/// Guards against configured entries that are cut although they need no
/// message, and so against wrong counts of them.
#[test]
fn test_shared_tables_are_counted_whole() {
    let mut fleet = FleetState::default();
    let rule = Arc::new(WorkspaceRule {
        key_digests: BTreeSet::new(),
        enabled: true,
        default_class: PriorityClass::Batch,
        classes: BTreeSet::from([PriorityClass::Batch]),
        models: None,
        domains: None,
        limits: Vec::new(),
    });
    for number in 0..16_000 {
        let id = format!("w{number}").parse().unwrap();
        fleet.workspaces.insert(id, rule.clone());
    }
    let mut parts = parts_of("select count from workspaces", &[("i1", vec![])]);
    parts.replicated.fleet = fleet.into();
    let answer = merge(parts);
    assert_eq!(shown(&answer), "16000");
    assert!(answer.complete);
}

/// Guards against an answer of unbounded size.
#[test]
fn test_answer_rows_are_bounded() {
    let instances: Vec<_> = ["a", "b", "c", "d", "e", "f"]
        .into_iter()
        .map(|name| {
            let row = request("r", "a", "batch", 1, name);
            (name, vec![row; INSTANCE_ROWS_MAX])
        })
        .collect();
    let answer = merge(parts_of("requests", &instances));
    assert_eq!(answer.rows.len(), RESPONSE_ROWS_MAX);
    assert_eq!(answer.cut[0].rows, 2_000);
    assert!(!answer.complete);
}

/// Guards against an unreadable or missing part that counts as no rows.
#[test]
fn test_missing_parts_are_named() {
    let mut parts = parts_of("requests", &fleet_rows());
    parts.peer_rows[0].1 = "nonsense".into();
    parts.missing.push(UnansweredInstance {
        instance: "i9".parse().unwrap(),
        reason: "no answer".into(),
    });
    let answer = merge(parts);
    assert!(!answer.complete);
    let missing: Vec<_> = answer
        .missing
        .iter()
        .map(|it| it.instance.as_str())
        .collect();
    assert_eq!(missing, ["i9", "i2"]);
    assert_eq!(answer.rows.len(), 2);
}

/// Guards against an engine that is left out because its owner is missing,
/// and against one that is shown twice.
#[test]
fn test_engines_without_owner_are_shown() {
    let engine = |id: &str, free: u64| {
        let columns = QueryTable::Engines.columns();
        let mut row = vec![CellValue::Null; columns.len()];
        row[0] = CellValue::text(id);
        row[7] = free.into();
        row
    };
    let query = table_query("select id, free from engines where id != e3");
    let known = ["e1", "e2", "e3"].map(|id| ListedUpstream {
        id: id.parse().unwrap(),
        entry: UpstreamEntry {
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "d".parse().unwrap(),
            service: None,
            leaving: false,
            capability: None,
        },
        owner: Some("i2".parse().unwrap()),
        accepts_work: true,
    });
    let answer = merge(MergeInput {
        local_instance: "i1".parse().unwrap(),
        local_rows: InstanceRows {
            rows: query.filter_and_project([engine("e1", 5), engine("e3", 1)]),
            cut: 0,
            covered: BTreeSet::from(["e1".into(), "e3".into()]),
        },
        peer_rows: Vec::new(),
        replicated: ReplicatedState {
            upstreams: known.into(),
            ..ReplicatedState::default()
        },
        missing: Vec::new(),
        statement: QueryStatement::Table(query),
    });
    assert_eq!(shown(&answer), "\"e1\" 5\n\"e2\" null");
}
