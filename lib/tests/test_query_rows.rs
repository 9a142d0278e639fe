//! Tests of the evaluation of queries and the merge of the instances' rows.

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

/// A row of `requests`. Columns that no test depends on are constant.
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

/// Evaluates a query on the rows of several instances, of which the first
/// received it.
fn merge_input(text: &str, instances: &[(&str, Vec<TableRow>)]) -> MergeInput {
    let query = table_query(text);
    let mut evaluated = instances.iter().map(|(name, rows)| {
        let rows = rows.iter().cloned();
        let rows = InstanceRows {
            rows: query.filter_and_project(rows),
            ..InstanceRows::default()
        };
        (name.parse().unwrap(), rows)
    });
    let (local_instance, local_rows) = evaluated.next().unwrap();
    MergeInput {
        local_instance,
        local_rows,
        peer_rows: evaluated
            .map(|(name, rows)| (name, encode_bounded(rows)))
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

/// The rows of a response, one per line.
fn lines_of(response: &QueryResponse) -> String {
    let rows = response.rows.iter().map(|row| {
        let cells = response
            .columns
            .iter()
            .map(|column| serde_json::to_string(&row[column]).unwrap());
        cells.collect::<Vec<_>>().join(" ")
    });
    rows.collect::<Vec<_>>().join("\n")
}

fn run_query(text: &str) -> QueryResponse {
    merge(merge_input(text, &fleet_rows()))
}

/// Guards against wrong results of filters, groups and sort orders over the
/// rows of several instances.
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
    let response = run_query(text);
    assert_eq!(lines_of(&response), expected);
    assert!(response.complete);
    assert_eq!(response.answered, 3);
}

/// Guards against rows that are dropped without being reported.
#[test]
fn test_dropped_rows_are_reported() {
    let rows = (0..INSTANCE_ROWS_MAX as u64 + 5)
        .map(|number| {
            request(&format!("r{number}"), "a", "batch", number, "i2")
        })
        .collect();
    let instances = [("i1", Vec::new()), ("i2", rows)];
    let response = merge(merge_input("select count from requests", &instances));
    assert!(!response.complete);
    assert_eq!(response.cut[0].instance.as_ref().unwrap().as_str(), "i2");
    assert_eq!(response.cut[0].rows, 5);
    let text = "select id from requests order by prompt desc limit 3";
    let response = merge(merge_input(text, &instances));
    assert!(response.complete, "a limit needs no rows beyond it");
    assert_eq!(lines_of(&response), "\"r2004\"\n\"r2003\"\n\"r2002\"");
}

/// Guards against rows that do not fit into a frame between instances.
#[test]
fn test_encoded_rows_are_bounded() {
    let name = "x".repeat(100);
    let row = request(&name, &name, "batch", 1, &name);
    let query = table_query("requests");
    let rows = query.filter_and_project(vec![row; INSTANCE_ROWS_MAX]);
    let local_rows = InstanceRows {
        rows: rows
            .into_iter()
            .map(|row| [row.clone(), row].concat())
            .collect(),
        ..InstanceRows::default()
    };
    let text = encode_bounded(local_rows);
    assert!(text.len() <= INSTANCE_ROWS_MAX_BYTES);
    let decoded: InstanceRows = serde_json::from_str(&text).unwrap();
    assert_eq!(decoded.rows.len() + decoded.cut, INSTANCE_ROWS_MAX);
    assert!(decoded.cut > 0);
}

/// Guards against wrong counts because rows built from replicated state are
/// subject to the bound for rows that are sent between instances.
#[test]
fn test_rows_of_replicated_state_are_not_dropped() {
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
    let mut input =
        merge_input("select count from workspaces", &[("i1", vec![])]);
    input.replicated.fleet = fleet.into();
    let response = merge(input);
    assert_eq!(lines_of(&response), "16000");
    assert!(response.complete);
}

/// Guards against a response of unbounded size.
#[test]
fn test_response_rows_are_bounded() {
    let instances: Vec<_> = ["a", "b", "c", "d", "e", "f"]
        .into_iter()
        .map(|name| {
            let row = request("r", "a", "batch", 1, name);
            (name, vec![row; INSTANCE_ROWS_MAX])
        })
        .collect();
    let response = merge(merge_input("requests", &instances));
    assert_eq!(response.rows.len(), RESPONSE_ROWS_MAX);
    assert_eq!(response.cut[0].rows, 2_000);
    assert!(!response.complete);
}

/// Guards against an instance that counts as having no rows although it did not
/// respond or its rows cannot be decoded.
#[test]
fn test_missing_instances_are_reported() {
    let mut input = merge_input("requests", &fleet_rows());
    input.peer_rows[0].1 = "nonsense".into();
    input.missing.push(UnansweredInstance {
        instance: "i9".parse().unwrap(),
        reason: "no answer".into(),
    });
    let response = merge(input);
    assert!(!response.complete);
    let missing: Vec<_> = response
        .missing
        .iter()
        .map(|it| it.instance.as_str())
        .collect();
    assert_eq!(missing, ["i9", "i2"]);
    assert_eq!(response.rows.len(), 2);
}

/// Guards against an engine that is omitted because its owner is missing, and
/// against one that is shown twice.
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
    let response = merge(MergeInput {
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
    assert_eq!(lines_of(&response), "\"e1\" 5\n\"e2\" null");
}
