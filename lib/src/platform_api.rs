//! JSON bodies of the platform: log service, instance list, weight store.

use std::net::SocketAddr;

use crate::{
    ids::{DomainId, ServiceName},
    units::{LogOffset, LogTime},
    value_type,
};

value_type! {
    /// Body of `POST /v1/streams/{stream}/records`.
    pub struct AppendRequest {
        /// Records to append, in order, all or none.
        pub records: Vec<serde_json::Value>,
    }
}

value_type! {
    /// Answer of `POST /v1/streams/{stream}/records`.
    pub struct AppendResponse {
        /// Offset of the first record.
        pub first_offset: LogOffset,
        /// Number of records.
        pub count: u64,
    }
}

value_type! {
    /// Answer of `GET /v1/streams/{stream}/records`.
    pub struct RecordPage {
        /// Records from the asked offset on.
        pub records: Vec<LogRecord>,
        /// Oldest offset that is still kept.
        pub earliest: LogOffset,
        /// Offset that the next append gets.
        pub head: LogOffset,
        /// How long records are kept, in milliseconds.
        pub retention_ms: u64,
        /// The log service's clock.
        pub now_ms: LogTime,
    }
}

value_type! {
    /// One record of a stream.
    pub struct LogRecord {
        /// Offset of the record.
        pub offset: LogOffset,
        /// When it was appended, by the log service's clock.
        pub appended_at: LogTime,
        /// The record.
        pub value: serde_json::Value,
    }
}

value_type! {
    /// Answer of `GET /v1/instances`.
    pub struct InstanceListing {
        /// Everything known to be live or leaving.
        pub instances: Vec<ListedProcess>,
    }
}

value_type! {
    /// One line of the instance list.
    pub struct ListedProcess {
        /// Name; an instance id or an upstream id.
        pub id: std::sync::Arc<str>,
        /// What it is.
        pub kind: ProcessKind,
        /// Address: HTTP for upstreams, the peer port for instances.
        pub address: SocketAddr,
        /// Failure domain.
        pub failure_domain: DomainId,
        /// Whether it is about to leave.
        #[serde(default)]
        pub leaving: bool,
    }
}

value_type! {
    /// What a line of the instance list stands for.
    #[serde(rename_all = "snake_case")]
    pub enum ProcessKind {
        /// A borageline instance.
        Instance,
        /// A model engine.
        Engine,
        /// A process of a plain service.
        Service(ServiceName),
    }
}

value_type! {
    /// Answer of `GET /v1/weights/{model}`.
    pub struct WeightResponse {
        /// Size of the weights, in bytes.
        pub bytes: u64,
    }
}
