//! Stand-in of a plain service that must not run a call twice.
//!
//! Each POST, PUT, PATCH or DELETE runs the operation of its path and
//! answers the number issued, which rises over all paths; every run counts.
//! GET looks up how often the path has run. Idempotency keys are counted and
//! otherwise ignored, so a second run of a key can be seen:
//! `GET /control/counts` answers
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

/// How often each operation and key ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Runs of all operations; also the last number issued.
    pub issued: u64,
    /// Lookups.
    pub lookups: u64,
    /// Runs by path.
    pub paths: BTreeMap<String, u64>,
    /// Runs by idempotency key.
    pub keys: BTreeMap<String, u64>,
}

/// A plain service.
#[derive(Debug)]
pub struct PlainService {
    delay: Duration,
    gate: FaultGate,
    counts: Mutex<ServiceCounts>,
}

/// Starts a plain service that takes `delay` for each call.
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
    /// How often each operation and key ran.
    pub fn counts(&self) -> ServiceCounts {
        lock(&self.counts).clone()
    }

    /// Runs an operation. Its effect comes before the delay, so that a
    /// caller that gives up in between cannot know whether it ran.
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
                // The number issued last is the service's durable state.
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
