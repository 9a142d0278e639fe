//! Decision logic and message types of borageline.
//!
//! The code is deterministic: state machines take events, the current time and
//! a seeded random source, and return actions. Apart from loading settings
//! files it does no I/O. The `borageline` binary owns the sockets, clocks and
//! tasks and executes the actions.

pub mod admission;
pub mod api;
pub mod call_log;
pub mod cold_start;
pub mod completion_stream;
pub mod config_reader;
pub mod core;
pub mod cost;
pub mod derives;
pub mod engine_api;
pub mod engine_capabilities;
pub mod engine_orders;
pub mod entry;
pub mod fleet;
pub mod fleet_view;
pub mod freshness;
pub mod gateway;
pub mod ids;
pub mod ledger;
pub mod limits;
pub mod log_event;
pub mod long_share;
pub mod membership;
pub mod order_tracker;
pub mod owner;
pub mod ownership;
pub mod peer_api;
pub mod placement;
pub mod planned_stop;
pub mod platform_api;
pub mod query;
pub mod refusal;
pub mod request_trace;
pub mod retry;
pub mod settings;
pub mod units;
