//! Load and experiment tool of borageline.
//!
//! Starts fleets of real processes on loopback, sends them seeded workloads
//! and prints figures beside those of the baselines.

pub mod caller;
pub mod capacity;
pub mod endings;
pub mod fleet;
pub mod load;
pub mod measures;
pub mod options;
pub mod probe;
pub mod quickstart;
pub mod report;
pub mod stream_cost;
pub mod workload;
