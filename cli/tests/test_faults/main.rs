//! Fault tests with real processes: engines and instances are killed, suspended
//! and restarted, and the platform fails, while callers check every response.
//!
//! Labels such as I7 are the numbers of the invariants in docs/design.md,
//! section 1.2.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step in a helper fails the test"
)]

mod engine_tap;
mod fixture;
mod load;
mod test_calls;
mod test_crashes;
mod test_cut_answers;
mod test_domains;
mod test_engines;
mod test_interruptions;
mod test_late_requests;
mod test_leaving;
mod test_links;
mod test_orders;
mod test_security;
mod test_stops;
