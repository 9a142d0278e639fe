//! Slowdown of short requests by long ones.
//!
//! The runs are those of `first-token`; the figure is the ratio of the 99th
//! percentiles of the whole time of short answered requests, with long
//! requests over without. The answered shares stand beside it.

use std::io;

use crate::{
    measures::first_token::run_pair, options::MeasureOptions,
    report::MeasureReport,
};

/// Runs the measure.
pub async fn run(options: &MeasureOptions) -> io::Result<MeasureReport> {
    let mut report = MeasureReport::new("slowdown", options.seed);
    for policy in options.policies() {
        let pair = run_pair(options, &policy).await?;
        let with = pair.with.short_total_p99();
        let without = pair.without.short_total_p99();
        let mut add = |name: &str, unit: &str, value: f64| {
            report.add(&policy, name, unit, value);
        };
        add("short_p99_with_long_over_without", "ratio", with / without);
        add("short_p99_ms_with_long", "ms", with);
        add("short_p99_ms_without_long", "ms", without);
        let share = pair.with.short_share();
        add("short_answered_share_with_long", "share", share);
        let share = pair.without.short_share();
        add("short_answered_share_without_long", "share", share);
    }
    Ok(report)
}
