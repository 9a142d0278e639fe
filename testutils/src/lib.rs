//! Stand-ins for the systems that borageline talks to, and test helpers.
//!
//! Each stand-in serves HTTP/1.1 on a loopback address, in the test process
//! through a `spawn` function or in a separate process through the binary
//! `borageline-standin`. Tests inject faults through the handle or through
//! `POST /control`; see [`fault::Fault`] for the request bodies.

pub mod client;
pub mod content;
pub mod crashing_server;
pub mod engine;
pub mod engine_config;
pub mod engine_sim;
pub mod engine_stream;
pub mod fault;
pub mod forwarder;
pub mod http_server;
pub mod instance_list;
pub mod log_service;
pub mod loopback;
pub mod plain_service;
pub mod prefix_cache;
pub mod process;
pub mod process_group;
pub mod weight_store;
