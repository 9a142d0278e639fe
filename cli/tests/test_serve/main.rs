//! Tests of `borageline serve` against scripted engines and services.

#![expect(
    clippy::unwrap_used,
    reason = "clippy only exempts functions marked as tests"
)]

mod fixture;
mod test_bounds;
mod test_completions;
mod test_endless;
mod test_lingering;
mod test_operators;
mod test_services;
mod test_standins;
