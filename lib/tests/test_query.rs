//! Tests of the operators' language: parsing, orders, dry runs and completion.

#![expect(
    clippy::unwrap_used,
    reason = "clippy only exempts functions marked as tests"
)]

#[expect(dead_code, reason = "this test uses only some helpers")]
mod common;

use std::collections::BTreeSet;

use borageline_lib::{
    api::PriorityClass,
    fleet::{
        DrainMode, FleetChange, FleetOrder, FleetState, LimitRule,
        WorkspaceRule,
    },
    query::{
        FILTER_DEPTH_MAX, ORDER_CHANGES_MAX, OrderPreview, QueryError,
        QueryTable, TEXT_MAX_BYTES, complete_order, complete_query,
        parse_order, parse_query,
    },
    units::{LogOffset, TokenCount},
};
use proptest::prelude::*;
use rstest::rstest;

const MALFORMED_QUERIES: &str = include_str!("data/malformed_queries.tsv");
const MALFORMED_ORDERS: &str = include_str!("data/malformed_orders.tsv");

/// Checks that the position of an error lies within the text.
fn check_position(text: &str, error: &QueryError) {
    let line = text.split('\n').nth(error.line - 1);
    let line = line.unwrap_or_else(|| panic!("{error:?} of {text:?}"));
    let end = line.chars().count() + 1;
    assert!((1..=end).contains(&error.column), "{error:?} of {text:?}");
    assert!(text.is_char_boundary(error.offset), "{error:?} of {text:?}");
    assert!(!error.message.is_empty());
    let rendered = error.render(text);
    let lines: Vec<_> = rendered.split('\n').collect();
    assert!(lines.last().unwrap().ends_with('^'), "{rendered}");
}

/// Text made of words of the language, so that the parser gets past the first
/// one.
fn similar_text() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        proptest::sample::select(vec![
            "select",
            "from",
            "where",
            "and",
            "or",
            "not",
            "group",
            "order",
            "by",
            "desc",
            "limit",
            "requests",
            "engines",
            "id",
            "prompt",
            "(",
            ")",
            ",",
            ";",
            "=",
            "!=",
            "<",
            "contains",
            "count",
            "sum",
            "'a",
            "\"",
            "{",
            "}",
            "close",
            "domain",
            "set",
            "workspace",
            "json",
            "{\"a\": 1}",
            "5/s",
            "tokens",
            "upstream",
            "explain",
            "1e400",
            "-",
            "\n",
            "é",
            "\u{0}",
        ])
        .prop_map(str::to_owned),
        any::<String>(),
    ];
    proptest::collection::vec(word, 0..24).prop_map(|words| words.join(" "))
}

proptest! {
    #![proptest_config(common::config(2_000))]

    /// Guards against a panic of the parser, and against errors whose position
    /// lies outside the text.
    #[test]
    fn test_parser_handles_arbitrary_text(
        text in prop_oneof![any::<String>(), similar_text()],
    ) {
        if let Err(error) = parse_query(&text) {
            check_position(&text, &error);
        }
        if let Err(error) = parse_order(&text) {
            check_position(&text, &error);
        }
        complete_query(&text);
        complete_order(&text);
    }
}

/// Parses the text of each line and compares the column and message of the
/// error. Returns the number of lines.
fn check_table(
    table: &str,
    parse: impl Fn(&str) -> Option<QueryError>,
) -> usize {
    let mut count = 0;
    for line in table.lines() {
        let mut parts = line.splitn(3, '\t');
        let column: usize = parts.next().unwrap().parse().unwrap();
        let text = parts.next().unwrap();
        let message = parts.next().unwrap();
        let error = parse(text).unwrap_or_else(|| panic!("{text:?} parses"));
        check_position(text, &error);
        assert_eq!(error.column, column, "{text:?}: {error}");
        assert_eq!(&*error.message, message, "{text:?}");
        count += 1;
    }
    count
}

/// Guards against malformed queries that parse, and against errors with a wrong
/// position or list of expected tokens.
#[test]
fn test_malformed_queries() {
    let parse = |text: &str| parse_query(text).err();
    assert!(check_table(MALFORMED_QUERIES, parse) >= 100);
}

/// Guards against malformed orders that parse, and against errors with a wrong
/// position or list of expected tokens.
#[test]
fn test_malformed_orders() {
    let parse = |text: &str| parse_order(text).err();
    assert!(check_table(MALFORMED_ORDERS, parse) >= 100);
}

/// Guards against an error in a text of several lines that is shown with the
/// wrong line.
#[test]
fn test_error_is_rendered_with_line() {
    let text = "select id\nfrom engines\nwhere memry > 5";
    let error = parse_query(text).unwrap_err();
    assert_eq!((error.line, error.column), (3, 7));
    let rendered = error.render(text);
    let (_, excerpt) = rendered.split_once('\n').unwrap();
    assert_eq!(excerpt, "  where memry > 5\n        ^^^^^");
    assert!(rendered.contains("did you mean `memory`?"), "{rendered}");
}

/// Guards against an excerpt of unbounded length, and against control
/// characters that reach the terminal.
#[test]
fn test_error_in_long_line_is_short() {
    let text = format!("requests where id = {}\u{1b}[2J", "a".repeat(5_000));
    let error = parse_query(&text).unwrap_err();
    let rendered = error.render(&text);
    assert!(rendered.len() < 1_000, "{rendered}");
    assert!(!rendered.contains('\u{1b}'));
}

/// Guards against text that overflows the stack or uses unbounded memory.
#[rstest]
#[case::depth(format!("requests where {}id = a", "not ".repeat(30_000)))]
#[case::parentheses(format!("requests where {}", "(".repeat(60_000)))]
#[case::json(format!("set workspace w json {}", "{\"a\":".repeat(10_000)))]
#[case::orders("close domain d;".repeat(ORDER_CHANGES_MAX + 1))]
#[case::length(" ".repeat(TEXT_MAX_BYTES + 1))]
fn test_hostile_text_is_refused(#[case] text: String) {
    check_position(&text, &parse_query(&text).unwrap_err());
    check_position(&text, &parse_order(&text).unwrap_err());
}

/// Guards against a bound on nesting that is lower than documented.
#[test]
fn test_depth_within_bound() {
    let nots = "not ".repeat(FILTER_DEPTH_MAX - 1);
    let text = format!("requests where {nots}id = a");
    parse_query(&text).unwrap();
    let text = format!("requests where id = a{}", " and id = a".repeat(5_000));
    parse_query(&text).unwrap();
}

/// Guards against a table or column that the parser does not accept by name.
#[test]
fn test_all_tables_parse() {
    for table in QueryTable::ALL {
        parse_query(table.name()).unwrap();
        for (column, _) in table.columns() {
            let name = table.name();
            let text =
                format!("select {column} from {name} where {column} = null");
            parse_query(&text).unwrap();
        }
    }
}

fn limit(class: Option<PriorityClass>, concurrency: u32) -> LimitRule {
    LimitRule {
        model: None,
        class,
        requests_per_s: None,
        tokens_per_s: None,
        held_tokens: None,
        concurrency: Some(concurrency),
    }
}

fn fleet() -> FleetState {
    let rule = WorkspaceRule {
        key_digests: BTreeSet::new(),
        enabled: true,
        default_class: PriorityClass::Batch,
        classes: BTreeSet::from([PriorityClass::Batch]),
        models: None,
        domains: None,
        limits: vec![limit(None, 10), limit(Some(PriorityClass::Batch), 5)],
    };
    let mut fleet = FleetState {
        applied: Some(LogOffset::new(7)),
        version: LogOffset::new(7),
        ..FleetState::default()
    };
    fleet.workspaces.insert("w".parse().unwrap(), rule.into());
    fleet
}

/// Guards against orders that parse to the wrong change.
#[test]
fn test_orders_parse_to_changes() {
    let text = "close domain d move; drain upstream u; open domain d;\
                return upstream u; disable workspace w; unlimit workspace w;\
                remove workspace w; remove operator o;\
                set upstream u fencing off models a,b role prefill";
    let (changes, version) = parse_order(text).unwrap().resolve(&fleet());
    assert_eq!(version, None);
    let json = serde_json::to_string(&changes).unwrap();
    insta::assert_snapshot!(json.replace("},{", "},\n{"), @r#"
    [{"kind":"close_domain","domain":"d","mode":"move"},
    {"kind":"drain_upstream","upstream":"u","mode":"finish"},
    {"kind":"open_domain","domain":"d"},
    {"kind":"return_upstream","upstream":"u"},
    {"kind":"enable_workspace","workspace":"w","enabled":false},
    {"kind":"set_limits","workspace":"w","limits":[]},
    {"kind":"remove_workspace","workspace":"w"},
    {"kind":"remove_operator","operator":"o"},
    {"kind":"set_upstream","upstream":"u","rule":{"drained":null,"checks_fencing":false,"models":["a","b"],"role":"prefill"}}]
    "#);
    assert!(matches!(
        &changes[1],
        FleetChange::DrainUpstream {
            mode: DrainMode::Finish,
            ..
        }
    ));
}

/// Guards against a `limit` order that removes or reorders other limits of the
/// workspace, or that is not conditional on the version it was based on.
#[test]
fn test_limit_keeps_other_limits() {
    let text = "limit workspace w class batch concurrency 3 held 500; \
                limit workspace w model m requests 2.5/s tokens 9/s";
    let (changes, version) = parse_order(text).unwrap().resolve(&fleet());
    assert_eq!(version, Some(LogOffset::new(7)));
    let FleetChange::SetLimits { limits, .. } = &changes[1] else {
        panic!("{changes:?}");
    };
    assert_eq!(limits.len(), 3);
    assert_eq!(limits[0], limit(None, 10));
    let mut batch = limit(Some(PriorityClass::Batch), 3);
    batch.held_tokens = Some(TokenCount::new(500));
    assert_eq!(limits[1], batch);
    assert_eq!(limits[2].requests_per_s, Some(2.5));
    let text = "unlimit workspace w; limit workspace w concurrency 1";
    let (changes, version) = parse_order(text).unwrap().resolve(&fleet());
    assert_eq!(version, None, "the order itself sets all limits before");
    let limits = vec![limit(None, 1)];
    let workspace = "w".parse().unwrap();
    assert_eq!(changes[1], FleetChange::SetLimits { workspace, limits });
}

fn preview(text: &str) -> Result<OrderPreview, String> {
    let fleet = fleet();
    let (changes, expect_version) = parse_order(text).unwrap().resolve(&fleet);
    let order = FleetOrder {
        order: "o".parse().unwrap(),
        expect_version,
        issued_by: "op".parse().unwrap(),
        changes,
    };
    let preview = OrderPreview::new(&fleet, &order);
    preview.map_err(|rejection| rejection.to_string())
}

/// Guards against a preview that differs from the effect of the order.
#[test]
fn test_preview_lists_changes() {
    let text = "close domain d; disable workspace w; enable workspace w; \
                limit workspace w concurrency 4";
    let preview = preview(text).unwrap();
    let lines: Vec<_> = preview
        .changes
        .iter()
        .map(|line| format!("{}: {} -> {}", line.path, line.before, line.after))
        .collect();
    let shown = lines.join("\n").replace("},{", "},\n  {");
    let shown = shown.replace("-> [", "->\n  [");
    insta::assert_snapshot!(shown, @r#"
    domain d: null -> {"closed":"finish","reopened_at":null}
    workspace w.limits: [{"class":null,"concurrency":10,"held_tokens":null,"model":null,"requests_per_s":null,"tokens_per_s":null},
      {"class":"batch","concurrency":5,"held_tokens":null,"model":null,"requests_per_s":null,"tokens_per_s":null}] ->
      [{"class":null,"concurrency":4,"held_tokens":null,"model":null,"requests_per_s":null,"tokens_per_s":null},
      {"class":"batch","concurrency":5,"held_tokens":null,"model":null,"requests_per_s":null,"tokens_per_s":null}]
    "#);
}

/// Guards against a preview that succeeds for an order that would be rejected.
#[rstest]
#[case("enable workspace x", "unknown workspace x")]
#[case("open domain d", "unknown domain without a rule d")]
#[case(
    "close domain d; limit workspace x concurrency 1",
    "unknown workspace x"
)]
fn test_preview_is_validated(#[case] text: &str, #[case] reason: &str) {
    assert_eq!(preview(text).unwrap_err(), reason);
}

/// Guards against missing completions of queries.
#[rstest]
#[case("", "explain")]
#[case("re", "requests")]
#[case("select id f", "select id from")]
#[case("select id from en", "select id from engines")]
#[case("engines where fr", "engines where free")]
#[case("engines where free > 5 or", "engines where free > 5 order")]
#[case("engines order by free d", "engines order by free desc")]
fn test_query_completion(#[case] text: &str, #[case] offered: &str) {
    let found = complete_query(text);
    assert!(found.iter().any(|text| text == offered), "{found:?}");
    assert!(found.iter().all(|found| found.starts_with(text)));
}

#[rstest]
#[case("cl", "close")]
#[case("close ", "close domain")]
#[case("close domain d m", "close domain d move")]
#[case("close domain d; op", "close domain d; open")]
#[case("limit workspace w class ", "limit workspace w class interactive")]
#[case("set upstream u fencing o", "set upstream u fencing off")]
/// Guards against missing completions of orders.
fn test_order_completion(#[case] text: &str, #[case] offered: &str) {
    let found = complete_order(text);
    assert!(found.iter().any(|text| text == offered), "{found:?}");
}

/// Guards against completions of a text that already has an error.
#[test]
fn test_completion_after_error_is_empty() {
    assert!(complete_query("select nosuch from requests wh").is_empty());
    assert!(complete_order("close window d").is_empty());
    assert!(complete_query("engines where id = 'a").is_empty());
}

const OPERATORS_PAGE: &str = include_str!("../../docs/operators.md");

/// Lines of all fenced code blocks with the given language.
fn fenced(page: &'static str, language: &str) -> Vec<&'static str> {
    let mut lines = Vec::new();
    let mut inside = false;
    for line in page.lines() {
        match line.strip_prefix("```") {
            Some(mark) => inside = !inside && mark == language,
            None if inside => lines.push(line),
            None => {}
        }
    }
    lines
}

/// Guards against examples that do not parse, and against text that is both a
/// valid query and a valid order.
#[test]
fn test_examples_of_operators_page_parse() {
    let examples = fenced(OPERATORS_PAGE, "borageline");
    assert!(examples.len() > 60, "{} examples", examples.len());
    for example in examples {
        let query = parse_query(example);
        let order = parse_order(example);
        match (query, order) {
            (Err(query), Err(order)) => {
                panic!("{}\n{}", query.render(example), order.render(example),)
            }
            (Ok(_), Ok(_)) => panic!("{example} is a query and an order"),
            _ => {}
        }
    }
}

/// Guards against a page whose tables and columns differ from the code.
#[test]
fn test_operators_page_lists_tables() {
    let text = OPERATORS_PAGE.replace("\n  ", " ");
    for table in QueryTable::ALL {
        let columns = table.columns().iter();
        let columns: Vec<_> =
            columns.map(|(name, _)| format!("`{name}`")).collect();
        let line = format!("- `{}`: {}.", table.name(), columns.join(", "));
        assert!(text.contains(&line), "missing: {line}");
    }
}

/// Guards against a page whose grammar differs from the documentation of the
/// parsers.
#[test]
fn test_operators_page_repeats_grammar() {
    let sources = [
        include_str!("../src/query/query_parser.rs"),
        include_str!("../src/query/order_parser.rs"),
    ];
    let mut grammar = Vec::new();
    for source in sources {
        let prose = source.lines().map_while(|line| line.strip_prefix("//!"));
        let lines = prose.map(|line| line.strip_prefix(' ').unwrap_or(line));
        let lines = lines.skip_while(|line| *line != "```text").skip(1);
        grammar.extend(lines.take_while(|line| *line != "```"));
    }
    assert_eq!(fenced(OPERATORS_PAGE, "text"), grammar);
}
