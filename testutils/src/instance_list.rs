//! Stand-in for the platform's instance list.
//!
//! `GET /v1/instances` returns the list with a lag, as it was that long ago.
//! `POST /v1/instances` registers or updates one entry, and
//! `DELETE /v1/instances/{id}` removes one; the faults `add`, `remove` and
//! `mark_leaving` change the list too. With a time to live, entries
//! registered through HTTP expire unless they are registered again; entries
//! from `add` do not expire.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use borageline_lib::platform_api::{InstanceListing, ListedProcess};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::{
    fault::{Fault, FaultError, FaultGate, lock},
    http_server::{
        Call, CallError, Handle, HandlerResult, Standin, json_response,
        not_found, serve,
    },
};

/// Configuration of an instance list.
#[derive(Clone, Copy, Debug)]
pub struct ListConfig {
    /// Age of the lists returned.
    pub lag: Duration,
    /// Time to live of registered entries; `None` means no expiry.
    pub entry_ttl: Option<Duration>,
}

impl Default for ListConfig {
    fn default() -> Self {
        Self {
            lag: Duration::from_millis(500),
            entry_ttl: None,
        }
    }
}

type Entries = BTreeMap<Arc<str>, ListedProcess>;

#[derive(Debug)]
struct ListState {
    lag: Duration,
    entries: Entries,
    registered: BTreeMap<Arc<str>, Instant>,
    history: VecDeque<(Instant, Entries)>,
    reads: u64,
    registrations: u64,
}

/// State of the instance list and its injected faults.
#[derive(Debug)]
pub struct InstanceList {
    entry_ttl: Option<Duration>,
    gate: FaultGate,
    state: Mutex<ListState>,
}

/// Starts an instance list.
pub async fn spawn(
    listen: SocketAddr,
    config: ListConfig,
) -> io::Result<Handle<InstanceList>> {
    let list = InstanceList {
        entry_ttl: config.entry_ttl,
        gate: FaultGate::default(),
        state: Mutex::new(ListState {
            lag: config.lag,
            entries: Entries::new(),
            registered: BTreeMap::new(),
            history: VecDeque::new(),
            reads: 0,
            registrations: 0,
        }),
    };
    serve(listen, Arc::new(list)).await
}

impl InstanceList {
    /// Adds or replaces an entry that does not expire.
    pub fn add(&self, instance: ListedProcess) {
        let mut state = lock(&self.state);
        state.registered.remove(&instance.id);
        state.entries.insert(instance.id.clone(), instance);
        state.record_history();
    }

    /// Removes an entry; false if there is none.
    pub fn remove(&self, id: &str) -> bool {
        let mut state = lock(&self.state);
        let known = state.entries.remove(id).is_some();
        state.registered.remove(id);
        state.record_history();
        known
    }

    /// Sets whether an entry is marked as leaving; false if there is none.
    pub fn mark_leaving(&self, id: &str, leaving: bool) -> bool {
        let mut state = lock(&self.state);
        let Some(entry) = state.entries.get_mut(id) else {
            return false;
        };
        entry.leaving = leaving;
        state.record_history();
        true
    }

    /// Present list, without the lag.
    pub fn current(&self) -> InstanceListing {
        let mut state = lock(&self.state);
        state.remove_expired(self.entry_ttl);
        listing(&state.entries)
    }

    fn read(&self) -> InstanceListing {
        let mut state = lock(&self.state);
        state.reads += 1;
        state.remove_expired(self.entry_ttl);
        state.visible_listing()
    }

    fn register(&self, call: &Call) -> HandlerResult {
        let instance: ListedProcess = call.json()?;
        let mut state = lock(&self.state);
        let id = instance.id.clone();
        state.registrations += 1;
        state.registered.insert(id.clone(), Instant::now());
        let old = state.entries.insert(id, instance.clone());
        if old.as_ref() != Some(&instance) {
            state.record_history();
        }
        json_response(StatusCode::OK, &json!({"registered": true}))
    }
}

fn listing(entries: &Entries) -> InstanceListing {
    InstanceListing {
        instances: entries.values().cloned().collect(),
    }
}

impl ListState {
    fn record_history(&mut self) {
        self.history
            .push_back((Instant::now(), self.entries.clone()));
    }

    fn remove_expired(&mut self, ttl: Option<Duration>) {
        let Some(ttl) = ttl else { return };
        let before = self.registered.len();
        let entries = &mut self.entries;
        self.registered.retain(|id, at| {
            let kept = at.elapsed() < ttl;
            if !kept {
                entries.remove(id);
            }
            kept
        });
        if self.registered.len() < before {
            self.record_history();
        }
    }

    /// Newest list that is at least as old as the lag; empty if none is.
    fn visible_listing(&mut self) -> InstanceListing {
        let old = self
            .history
            .iter()
            .take_while(|(at, _)| at.elapsed() >= self.lag)
            .count();
        // Drops the lists older than the one that is returned.
        self.history.drain(..old.saturating_sub(1));
        match self.history.front() {
            Some((_, entries)) if old > 0 => listing(entries),
            _ => listing(&Entries::new()),
        }
    }
}

fn require_known(known: bool, id: &str) -> Result<(), FaultError> {
    if known {
        return Ok(());
    }
    Err(FaultError::Unknown(id.to_owned()))
}

impl Standin for InstanceList {
    fn gate(&self) -> &FaultGate {
        &self.gate
    }

    async fn handle(self: Arc<Self>, call: Call) -> HandlerResult {
        let segments = call.segments();
        match (&call.method, segments.as_slice()) {
            (&Method::GET, ["v1", "instances"]) => {
                json_response(StatusCode::OK, &self.read())
            }
            (&Method::POST, ["v1", "instances"]) => self.register(&call),
            (&Method::DELETE, ["v1", "instances", id @ ..]) => {
                let id = id.join("/");
                if self.remove(&id) {
                    return json_response(
                        StatusCode::OK,
                        &json!({"removed": true}),
                    );
                }
                let message = format!("instance {id} is not listed");
                let status = StatusCode::NOT_FOUND;
                Err(CallError::new(status, "unknown_instance", message))
            }
            _ => Err(not_found(&call)),
        }
    }

    fn control(&self, fault: Fault) -> Result<(), FaultError> {
        if self.gate.apply(&fault) {
            return Ok(());
        }
        match fault {
            Fault::Add { instance } => self.add(instance),
            Fault::Remove { id } => require_known(self.remove(&id), &id)?,
            Fault::MarkLeaving { id, leaving } => {
                require_known(self.mark_leaving(&id, leaving), &id)?;
            }
            Fault::Lag { lag_ms } => {
                lock(&self.state).lag = Duration::from_millis(lag_ms);
            }
            Fault::Restart => self.gate.cut_connections(),
            other => return Err(FaultError::Unsupported(other)),
        }
        Ok(())
    }

    fn report(&self) -> Value {
        let current = self.current();
        let state = lock(&self.state);
        json!({
            "instances": current.instances,
            "reads": state.reads,
            "registrations": state.registrations,
            "lag_ms": u64::try_from(state.lag.as_millis()).unwrap_or(u64::MAX),
        })
    }
}
