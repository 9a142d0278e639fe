//! JSON bodies of the platform's HTTP services: the log service, the instance
//! list and the weight store.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::{
    ids::{DomainId, ServiceName},
    units::{LogOffset, LogTime},
    value_type,
};

value_type! {
    /// Request body of `POST /v1/streams/{stream}/records`.
    pub struct AppendRequest {
        /// Records to append in this order. The append is atomic.
        pub records: Vec<serde_json::Value>,
    }
}

value_type! {
    /// Response body of `POST /v1/streams/{stream}/records`.
    pub struct AppendResponse {
        /// Offset of the first appended record.
        pub first_offset: LogOffset,
        /// Number of appended records, at consecutive offsets.
        pub count: u64,
    }
}

value_type! {
    /// Response body of `GET /v1/streams/{stream}/records`.
    pub struct RecordPage {
        /// Records from the requested offset on, in order.
        pub records: Vec<LogRecord>,
        /// Oldest offset that is still retained.
        pub earliest: LogOffset,
        /// Offset that the next appended record will get.
        pub head: LogOffset,
        /// Retention period of records, in milliseconds.
        pub retention_ms: u64,
        /// Present time by the clock of the log service.
        pub now_ms: LogTime,
    }
}

value_type! {
    /// One record of a stream.
    pub struct LogRecord {
        /// Position of the record in the stream.
        pub offset: LogOffset,
        /// Time of the append, by the clock of the log service.
        pub appended_at: LogTime,
        /// Content of the record.
        pub value: serde_json::Value,
    }
}

value_type! {
    /// Response body of `GET /v1/instances`.
    #[derive(Default)]
    pub struct InstanceListing {
        /// Instances and upstreams that are running or shutting down. Lines that
        /// cannot be read name no process and are left out.
        #[serde(deserialize_with = "readable_processes")]
        pub instances: Vec<ListedProcess>,
    }
}

/// Reads each line by itself: another writer may have left an odd one, which
/// must not hide the others.
fn readable_processes<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<ListedProcess>, D::Error> {
    let lines = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let processes = lines.iter();
    Ok(processes
        .filter_map(|line| serde_json::from_str(line.get()).ok())
        .collect())
}

value_type! {
    /// A process in the instance list: a borageline instance or an upstream.
    pub struct ListedProcess {
        /// Name of the process: an `InstanceId` or an `UpstreamId`.
        pub id: std::sync::Arc<str>,
        /// Whether the process is an instance, an engine or part of a service.
        pub kind: ProcessKind,
        /// Address of an upstream's HTTP interface or of an instance's peer
        /// listener.
        pub address: SocketAddr,
        /// Failure domain in which the process runs.
        pub failure_domain: DomainId,
        /// Whether the process is about to shut down.
        #[serde(default)]
        pub leaving: bool,
    }
}

value_type! {
    /// Kind of a process in the instance list.
    #[serde(rename_all = "snake_case")]
    pub enum ProcessKind {
        /// A borageline instance.
        Instance,
        /// A model engine.
        Engine,
        /// A process of the named plain service.
        Service(ServiceName),
    }
}

value_type! {
    /// Response body of `GET /v1/weights/{model}`.
    pub struct WeightResponse {
        /// Size of the model's weights, in bytes.
        pub bytes: u64,
    }
}
