//! Shell of borageline: sockets, tasks and commands around the core.

pub mod peers;
pub mod platform;
mod traffic;
