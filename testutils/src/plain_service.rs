//! Stand-in for an HTTP service whose operations are not idempotent.
//!
//! Each POST, PUT, PATCH or DELETE runs the operation of its path and
//! returns a serial number that increases over all paths. GET, HEAD and
//! OPTIONS return how often the path has run. The service counts runs per
//! idempotency key without deduplicating them, so that a test detects a
//! second run. `GET /control/counts` returns
//! `{"issued","lookups","paths":{path: runs},"keys":{key: runs}}`.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use borageline_lib::api::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use http::{HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    fault::{Fault, FaultError, FaultGate, lock},
    http_server::{Call, Handle, HandlerResult, Standin, json_response, serve},
};

/// Runs of each operation and idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Runs of all operations; also the last serial number returned.
    pub issued: u64,
    /// Calls by GET, HEAD or OPTIONS, which run no operation.
    pub lookups: u64,
    /// Runs by path.
    pub paths: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u64>,
}

/// State of the service and its injected faults.
#[derive(Debug)]
pub struct PlainService {
    delay: Duration,
    gate: FaultGate,
    counts: Mutex<ServiceCounts>,
}

/// Starts a service that waits for `delay` before each response.
pub async fn spawn(
    listen: SocketAddr,
    delay: Duration,
) -> io::Result<Handle<PlainService>> {
    let service = PlainService {
        delay,
        gate: FaultGate::default(),
        counts: Mutex::new(ServiceCounts::default()),
    };
    serve(listen, Arc::new(service)).await
}

impl PlainService {
    /// Runs of each operation and idempotency key so far.
    pub fn counts(&self) -> ServiceCounts {
        lock(&self.counts).clone()
    }

    /// Runs an operation. It takes effect before the response delay, so
    /// that a caller that times out cannot know whether it ran.
    fn run(&self, call: &Call) -> Value {
        let key = call.header(IDEMPOTENCY_KEY_HEADER);
        let mut counts = lock(&self.counts);
        counts.issued += 1;
        *counts.paths.entry(call.path.clone()).or_default() += 1;
        if let Some(key) = key {
            *counts.keys.entry(key.to_owned()).or_default() += 1;
        }
        json!({"number": counts.issued, "path": call.path, "key": key})
    }

    fn look_up(&self, call: &Call) -> Value {
        let mut counts = lock(&self.counts);
        counts.lookups += 1;
        let runs = counts.paths.get(&call.path).copied().unwrap_or(0);
        json!({"path": call.path, "runs": runs})
    }
}

impl Standin for PlainService {
    fn gate(&self) -> &FaultGate {
        &self.gate
    }

    async fn handle(self: Arc<Self>, call: Call) -> HandlerResult {
        if call.path == "/control/counts" {
            return json_response(StatusCode::OK, &self.counts());
        }
        let reads = [Method::GET, Method::HEAD, Method::OPTIONS];
        let value = if reads.contains(&call.method) {
            self.look_up(&call)
        } else {
            self.run(&call)
        };
        if !self.delay.is_zero() {
            tokio::time::sleep(self.delay).await;
        }
        let mut response = json_response(StatusCode::OK, &value)?;
        let id = call.header(REQUEST_ID_HEADER);
        let id = id.and_then(|id| HeaderValue::from_str(id).ok());
        if let Some(id) = id {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(response)
    }

    fn control(&self, fault: Fault) -> Result<(), FaultError> {
        if self.gate.apply(&fault) {
            return Ok(());
        }
        match fault {
            Fault::Restart => {
                // The counts are durable; a restart only closes connections.
                self.gate.cut_connections();
                Ok(())
            }
            other => Err(FaultError::Unsupported(other)),
        }
    }

    fn report(&self) -> Value {
        json!({"counts": self.counts()})
    }
}
