//! Serving on a platform that keeps the desired state and the list of
//! upstreams.
//!
//! The gateway answers callers that bring their own attempt ids, deadlines
//! and prompt sizes. All its decisions are made on the instance that the
//! caller is connected to, from its own requests in flight and from what the
//! other instances report of theirs. Nothing on a request's path waits for
//! the platform or for another instance. `docs/design/platform.md` compares
//! this with the grants of [`crate::owner`].
//!
//! Sockets, clocks and tasks belong to the binary. The form of
//! requests, replies and records belongs to an implementation of the traits
//! in [`wire`].

pub mod attempt;
pub mod cost_model;
pub mod dispatch_rate;
pub mod gateway_core;
pub mod gateway_settings;
pub mod kv_split;
pub mod load_table;
pub mod member_table;
pub mod placement;
pub mod prefill_gate;
pub mod reader_selection;
pub mod retry_budget;
pub mod routing_config;
pub mod stream_cursor;
pub mod topic_copy;
pub mod upstream_table;
pub mod wire;
