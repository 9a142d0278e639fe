//! Shell of borageline: sockets, tasks and commands around the core.

pub mod commands;
mod operator_client;
mod output;
pub mod peers;
pub mod platform;
mod traffic;
