//! I/O around the deterministic core: sockets, clocks and tasks.
//!
//! All serving decisions are made in `borageline_lib`. This crate feeds events
//! to that core, carries out the actions that it returns, and provides the
//! commands of the binary. `main.rs` only parses the command line, so that
//! tests can start servers in their own process.

pub mod buffer;
pub mod callers;
pub mod commands;
mod connection_probe;
pub mod context;
pub mod core_handle;
pub mod credentials;
pub mod driver;
pub mod duty_connection;
pub mod engine_client;
pub mod gateway;
pub mod http_client;
mod lingering_stream;
mod listener_connections;
pub mod logging;
pub mod metrics;
mod operator_client;
pub mod operators;
mod output;
pub mod peers;
pub mod platform;
pub mod prompt;
pub mod quarantine;
pub mod received_body;
pub mod relay;
pub mod reply;
pub mod request_task;
pub mod server;
mod service_answer;
pub mod service_route;
pub mod services;
mod socket_state;
pub mod stop_signal;
mod traffic;
pub mod upstream_client;
pub mod watched_answer;
pub mod watched_stream;
