//! Gateway: serves callers on a platform that keeps the desired state and the
//! list of upstreams.
//!
//! Callers send their own attempt ids, deadlines and prompt sizes. Every
//! decision is made on the instance that the caller is connected to, from the
//! instance's own in-flight requests and the load that other instances report
//! in their heartbeats. No request waits for the platform or for another
//! instance. `docs/design/platform.md` compares this design with the grants of
//! [`crate::owner`].
//!
//! The modules here hold state and make decisions only. Sockets, clocks and
//! tasks belong to the binary; the encoding of requests, replies and records
//! belongs to an implementation of the traits in [`wire`].

pub mod answer_durations;
pub mod attempt;
pub mod config_check;
pub mod cost_model;
pub mod crash_confirmation;
pub mod crash_evidence;
pub mod delegation;
pub mod departure_log;
pub mod dispatch_rate;
pub mod duty;
pub mod duty_lease;
pub mod engine_choice;
pub mod engine_limits;
pub mod engine_scaling;
pub mod failure_history;
pub mod fleet_clock;
pub mod gateway_core;
pub mod gateway_settings;
pub mod heartbeat_relay;
pub mod kv_split;
pub mod load_table;
pub mod member_table;
pub mod memory_account;
pub mod placement;
pub mod planned_stop;
pub mod prefill_gate;
pub mod prompt_quarantine;
pub mod reachability;
pub mod reader_selection;
pub mod request_content;
pub mod request_limit;
pub mod request_timings;
pub mod reservation_orders;
pub mod retry_budget;
pub mod routing_config;
pub mod store_era;
pub mod stream_cursor;
pub mod topic_copy;
pub mod upstream_return;
pub mod upstream_table;
pub mod usage_counts;
pub mod usage_exchange;
pub mod usage_report;
pub mod wire;
