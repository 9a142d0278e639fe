//! Tests of the operators' language: parsing, orders and completion.

#![expect(
    clippy::unwrap_used,
    reason = "clippy only exempts functions marked as tests"
)]

#[expect(dead_code, reason = "this test uses a part")]
mod common;

use std::collections::BTreeSet;

use borageline_lib::{
    api::PriorityClass,
    fleet::{
        DrainMode, FleetChange, FleetOrder, FleetState, LimitRule,
        WorkspaceRule,
    },
    query::{
        FILTER_DEPTH_MAX, ORDERS_MAX, OrderPreview, QueryError, QueryTable,
        TEXT_MAX_BYTES, complete_order, complete_query, parse_order,
        parse_query,
    },
    units::{LogOffset, TokenCount},
};
use proptest::prelude::*;
use rstest::rstest;

const MALFORMED_QUERIES: &str = include_str!("data/malformed_queries.tsv");
const MALFORMED_ORDERS: &str = include_str!("data/malformed_orders.tsv");

fn check_place(text: &str, fault: &QueryError) {
    let line = text.split('\n').nth(fault.line - 1);
    let line = line.unwrap_or_else(|| panic!("{fault:?} of {text:?}"));
    let end = line.chars().count() + 1;
    assert!((1..=end).contains(&fault.column), "{fault:?} of {text:?}");
    assert!(text.is_char_boundary(fault.offset), "{fault:?} of {text:?}");
    assert!(!fault.message.is_empty());
    let rendered = fault.render(text);
    let lines: Vec<_> = rendered.split('\n').collect();
    assert!(lines.last().unwrap().ends_with('^'), "{rendered}");
}

/// Text near to the language, so that more than its first word is read.
fn near_text() -> impl Strategy<Value = String> {
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

    /// Guards against text that makes the parser panic, and against errors
    /// whose place lies outside the text.
    #[test]
    fn test_parser_survives_any_text(
        text in prop_oneof![any::<String>(), near_text()],
    ) {
        if let Err(fault) = parse_query(&text) {
            check_place(&text, &fault);
        }
        if let Err(fault) = parse_order(&text) {
            check_place(&text, &fault);
        }
        complete_query(&text);
        complete_order(&text);
    }
}

/// Parses each line and compares column and message.
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
        let fault = parse(text).unwrap_or_else(|| panic!("{text:?} parses"));
        check_place(text, &fault);
        assert_eq!(fault.column, column, "{text:?}: {fault}");
        assert_eq!(&*fault.message, message, "{text:?}");
        count += 1;
    }
    count
}

/// Guards against malformed queries that are taken for others, and against
/// errors that point at a wrong place or leave out what was expected.
#[test]
fn test_malformed_queries() {
    let parse = |text: &str| parse_query(text).err();
    assert!(check_table(MALFORMED_QUERIES, parse) >= 100);
}

/// Guards against malformed orders of which a part takes effect.
#[test]
fn test_malformed_orders() {
    let parse = |text: &str| parse_order(text).err();
    assert!(check_table(MALFORMED_ORDERS, parse) >= 100);
}

/// Guards against an error without the place in a text of several lines.
#[test]
fn test_fault_is_rendered_with_line() {
    let text = "select id\nfrom engines\nwhere memry > 5";
    let fault = parse_query(text).unwrap_err();
    assert_eq!((fault.line, fault.column), (3, 7));
    let rendered = fault.render(text);
    let (_, place) = rendered.split_once('\n').unwrap();
    assert_eq!(place, "  where memry > 5\n        ^^^^^");
    assert!(rendered.contains("did you mean `memory`?"), "{rendered}");
}

/// Guards against a long line that hides the place, and against control
/// characters that reach the terminal.
#[test]
fn test_fault_of_long_line_is_short() {
    let text = format!("requests where id = {}\u{1b}[2J", "a".repeat(5_000));
    let fault = parse_query(&text).unwrap_err();
    let rendered = fault.render(&text);
    assert!(rendered.len() < 1_000, "{rendered}");
    assert!(!rendered.contains('\u{1b}'));
}

/// Guards against text that uses up the stack or the memory.
#[rstest]
#[case::depth(format!("requests where {}id = a", "not ".repeat(30_000)))]
#[case::parentheses(format!("requests where {}", "(".repeat(60_000)))]
#[case::json(format!("set workspace w json {}", "{\"a\":".repeat(10_000)))]
#[case::orders("close domain d;".repeat(ORDERS_MAX + 1))]
#[case::length(" ".repeat(TEXT_MAX_BYTES + 1))]
fn test_hostile_text_is_refused(#[case] text: String) {
    check_place(&text, &parse_query(&text).unwrap_err());
    check_place(&text, &parse_order(&text).unwrap_err());
}

/// Guards against a bound that is lower than stated.
#[test]
fn test_depth_within_bound() {
    let nots = "not ".repeat(FILTER_DEPTH_MAX - 1);
    let text = format!("requests where {nots}id = a");
    parse_query(&text).unwrap();
    let text = format!("requests where id = a{}", " and id = a".repeat(5_000));
    parse_query(&text).unwrap();
}

/// Guards against a table or column that is not reachable by its name.
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

/// Guards against words that make another change than they say.
#[test]
fn test_orders_in_words() {
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

/// Guards against a limit in words that undoes the other limits of the
/// workspace or moves them, and against one that ignores a racing change.
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
    assert_eq!(version, None, "the text itself says what the limits are");
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
    let shown = OrderPreview::new(&fleet, &order);
    shown.map_err(|rejection| rejection.to_string())
}

/// Guards against a preview that tells something else than the order does.
#[test]
fn test_preview_names_changes() {
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

/// Guards against a preview of an order that would be rejected.
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

/// Guards against completion that offers what does not parse.
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
/// Guards against completion that offers what does not parse.
fn test_order_completion(#[case] text: &str, #[case] offered: &str) {
    let found = complete_order(text);
    assert!(found.iter().any(|text| text == offered), "{found:?}");
}

/// Guards against completion after an error, where nothing can help.
#[test]
fn test_completion_after_error_is_empty() {
    assert!(complete_query("select nosuch from requests wh").is_empty());
    assert!(complete_order("close window d").is_empty());
    assert!(complete_query("engines where id = 'a").is_empty());
}

const OPERATORS_PAGE: &str = include_str!("../../docs/operators.md");

/// Lines of the fenced blocks of a language.
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

/// Guards against examples that do not work, and against ones that are both a
/// query and an order.
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
            (Ok(_), Ok(_)) => panic!("{example} is both"),
            _ => {}
        }
    }
}

/// Guards against a page that names other tables or columns than there are.
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

/// Guards against a page whose grammar differs from the parser's.
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
