//! Figures of a measure and their output.

use std::collections::BTreeMap;

use serde::Serialize;

/// Figures of one measure.
#[derive(Debug, Serialize)]
pub struct MeasureReport {
    /// Name of the measure.
    pub measure: String,
    /// Seed of the workload.
    pub seed: u64,
    /// Figures by name.
    pub figures: BTreeMap<String, MeasureFigure>,
}

/// One figure beside its baselines.
#[derive(Debug, Serialize)]
pub struct MeasureFigure {
    /// Value for the product's policy; absent if it was not run.
    pub product: Option<f64>,
    /// Values for the baselines by policy.
    pub baselines: BTreeMap<String, f64>,
    /// Unit.
    pub unit: String,
}

impl MeasureReport {
    /// A report without figures.
    pub fn new(measure: &str, seed: u64) -> Self {
        let figures = BTreeMap::new();
        Self {
            measure: measure.into(),
            seed,
            figures,
        }
    }

    /// Adds the value of one policy to a figure. A ratio to nothing is left
    /// out, because JSON has no number for it.
    pub fn add(&mut self, policy: &str, name: &str, unit: &str, value: f64) {
        if !value.is_finite() {
            return;
        }
        let figure =
            self.figures
                .entry(name.into())
                .or_insert_with(|| MeasureFigure {
                    product: None,
                    baselines: BTreeMap::new(),
                    unit: unit.into(),
                });
        if policy == "product" {
            figure.product = Some(value);
        } else {
            figure.baselines.insert(policy.into(), value);
        }
    }

    /// Value of one policy for a figure.
    pub fn value(&self, policy: &str, name: &str) -> Option<f64> {
        let figure = self.figures.get(name)?;
        if policy == "product" {
            return figure.product;
        }
        figure.baselines.get(policy).copied()
    }

    /// Prints one JSON object, or a table for people.
    pub fn print(&self, json: bool) {
        if json {
            let line = serde_json::to_string(self)
                .expect("a report has only numbers and text");
            println!("{line}");
            return;
        }
        println!("{} (seed {})", self.measure, self.seed);
        for (name, figure) in &self.figures {
            let product = figure
                .product
                .map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"));
            print!("  {name:45} {product:>12} {:8}", figure.unit);
            for (policy, value) in &figure.baselines {
                print!("  {policy} {value:.3}");
            }
            println!();
        }
    }
}
