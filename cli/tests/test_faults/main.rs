//! Tests with real processes that fail: engines and instances are killed,
//! frozen and restarted, and the platform goes down, while callers check
//! every answer.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step in a helper fails the test"
)]

mod engine_tap;
mod fixture;
mod load;
mod test_calls;
mod test_domains;
mod test_engines;
mod test_leaving;
mod test_orders;
mod test_security;
mod test_stops;
