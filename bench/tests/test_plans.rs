//! Tests of plans and reports, without processes.

use std::{collections::BTreeSet, time::Duration};

use borageline_bench::{
    load::quantile_ms,
    measures::first_token::{
        LOAD_SHARE, TIME_SCALE, capacity, planned, warm_up, without_long,
    },
    options::Deployment,
    report::MeasureReport,
    workload::{LONG_TOKENS, PlannedRequest, WorkloadSpec},
};
use serde_json::{Value, json};

const RUN: Duration = Duration::from_secs(30);

fn key(request: &PlannedRequest) -> (Duration, usize, u64, u32, u64) {
    (
        request.at,
        request.workspace,
        request.prompt_tokens,
        request.output_tokens,
        request.text_seed,
    )
}

/// Guards against a product and baselines that get different requests.
#[test]
fn test_plan_is_the_same_for_a_seed() {
    let keys = |seed| -> Vec<_> {
        let plan = planned(Deployment::Facturas, RUN, seed);
        plan.iter().map(key).collect()
    };
    assert_eq!(keys(7), keys(7));
    assert_ne!(keys(7), keys(8));
}

/// Guards against a run without long requests whose short ones differ.
#[test]
fn test_plan_without_long_keeps_the_others() {
    let plan = planned(Deployment::Liit, RUN, 3);
    let rest = without_long(&plan);
    let long = plan.len() - rest.len();
    assert!(long > 0, "the plan has long requests");
    let kept: Vec<_> = plan
        .iter()
        .filter(|request| request.prompt_tokens <= LONG_TOKENS)
        .map(key)
        .collect();
    assert_eq!(rest.iter().map(key).collect::<Vec<_>>(), kept);
}

/// Guards against a mix other than one long request in fifty.
#[test]
fn test_plan_has_one_long_request_in_fifty() {
    let plan = WorkloadSpec::new(1_000.0, RUN).plan(1);
    let long = plan.len() - without_long(&plan).len();
    let share = long as f64 / plan.len() as f64;
    assert!((0.017..0.023).contains(&share), "share {share}");
}

/// Guards against a load that is not the stated share of the capacity.
#[test]
fn test_plan_rate_is_share_of_capacity() {
    let sample = WorkloadSpec::new(1_000.0, Duration::from_secs(100)).plan(0);
    let capacity = capacity(18, TIME_SCALE, &sample);
    let plan = planned(Deployment::Facturas, Duration::from_secs(100), 5);
    let share = plan.len() as f64 / 100.0 / capacity;
    assert!((share / LOAD_SHARE - 1.0).abs() < 0.05, "share {share}");
}

/// Guards against a warm-up whose prompts fill the prefix caches of the run.
#[test]
fn test_warm_up_shares_no_prompt_with_the_run() {
    let seeds = |plan: &[PlannedRequest]| -> BTreeSet<u64> {
        plan.iter().map(|request| request.text_seed).collect()
    };
    let run = seeds(&planned(Deployment::Facturas, RUN, 1));
    let before = seeds(&warm_up(Deployment::Facturas, 1));
    assert!(!before.is_empty(), "the warm-up has requests");
    assert!(run.is_disjoint(&before), "a prompt is in both");
}

/// Guards against a figure that JSON has no number for.
#[test]
fn test_report_leaves_out_ratios_to_nothing() {
    let mut report = MeasureReport::new("slowdown", 1);
    report.add("product", "ratio", "ratio", 1.0 / 0.0);
    report.add("round-robin", "ratio", "ratio", f64::NAN);
    assert!(report.figures.is_empty(), "{report:?}");
}

/// Guards against a report that readers of the last line cannot parse.
#[test]
fn test_report_has_the_documented_shape() {
    let mut report = MeasureReport::new("overhead", 9);
    report.add("product", "added_p50_ms", "ms", 0.25);
    report.add("round-robin", "added_p50_ms", "ms", 0.5);
    report.add("least-requests", "added_p99_ms", "ms", 2.0);
    let value: Value = serde_json::to_value(&report).unwrap();
    let expected = json!({
        "measure": "overhead",
        "seed": 9,
        "figures": {
            "added_p50_ms": {
                "product": 0.25,
                "baselines": {"round-robin": 0.5},
                "unit": "ms",
            },
            "added_p99_ms": {
                "product": null,
                "baselines": {"least-requests": 2.0},
                "unit": "ms",
            },
        },
    });
    assert_eq!(value, expected);
}

/// Guards against quantiles in another unit or of another rank.
#[test]
fn test_quantile_is_in_milliseconds() {
    let times = (1..=100).map(Duration::from_millis);
    let p95 = quantile_ms(times, 0.95);
    assert!((p95 - 95.0).abs() < 0.2, "p95 {p95}");
    assert!(quantile_ms([], 0.95) == 0.0, "empty");
}
