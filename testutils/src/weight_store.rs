//! Stand-in for the weight store, which holds the weights of models.
//!
//! `GET /v1/weights/{model}` returns the size of the weights after the time
//! that a transfer of them takes. All transfers share one bandwidth limit,
//! in slices of 10 ms. A transfer ends when its client disconnects.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use borageline_lib::platform_api::WeightResponse;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::{
    fault::{Fault, FaultError, FaultGate, lock},
    http_server::{
        Call, Handle, HandlerResult, Standin, json_response, not_found, serve,
    },
};

/// Slices per second into which the bandwidth is divided.
const SLICES_PER_S: u64 = 100;

/// Time over which the peak bandwidth is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Configuration of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightConfig {
    /// Bandwidth in bytes per second, shared by all transfers.
    pub bytes_per_s: u64,
    /// Size of each model's weights in bytes.
    pub model_bytes: u64,
}

impl Default for WeightConfig {
    fn default() -> Self {
        Self {
            bytes_per_s: 1 << 30,
            model_bytes: 256 << 20,
        }
    }
}

#[derive(Debug, Default)]
struct WeightState {
    bytes_per_s: u64,
    free_at: Option<Instant>,
    running: u64,
    peak_running: u64,
    finished: BTreeMap<String, u64>,
    aborted: u64,
    window: VecDeque<(Instant, u64)>,
    window_bytes: u64,
    peak_window_bytes: u64,
}

impl WeightState {
    /// Reserves the next slice for a transfer with `left` bytes to go;
    /// returns the bytes of the slice and when it ends.
    fn reserve_slice(&mut self, left: u64, now: Instant) -> (u64, Instant) {
        let rate = self.bytes_per_s.max(1);
        let bytes = left.min((rate / SLICES_PER_S).max(1));
        let start = self.free_at.map_or(now, |free_at| free_at.max(now));
        let length = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let end = start + length;
        self.free_at = Some(end);
        (bytes, end)
    }

    fn count_bytes(&mut self, bytes: u64, now: Instant) {
        self.window.push_back((now, bytes));
        self.window_bytes += bytes;
        while let Some((at, old)) = self.window.front()
            && now.duration_since(*at) >= RATE_WINDOW
        {
            self.window_bytes -= old;
            self.window.pop_front();
        }
        let peak = self.peak_window_bytes.max(self.window_bytes);
        self.peak_window_bytes = peak;
    }
}

/// State of the weight store and its injected faults.
#[derive(Debug)]
pub struct WeightStore {
    model_bytes: u64,
    gate: FaultGate,
    state: Mutex<WeightState>,
}

/// Starts a weight store.
pub async fn spawn(
    listen: SocketAddr,
    config: WeightConfig,
) -> io::Result<Handle<WeightStore>> {
    let store = WeightStore {
        model_bytes: config.model_bytes,
        gate: FaultGate::default(),
        state: Mutex::new(WeightState {
            bytes_per_s: config.bytes_per_s,
            ..WeightState::default()
        }),
    };
    serve(listen, Arc::new(store)).await
}

/// Counts a transfer as running, and as aborted when dropped unfinished.
struct RunningTransfer<'a> {
    store: &'a WeightStore,
    finished: bool,
}

impl<'a> RunningTransfer<'a> {
    fn new(store: &'a WeightStore) -> Self {
        let mut state = lock(&store.state);
        state.running += 1;
        state.peak_running = state.peak_running.max(state.running);
        Self {
            store,
            finished: false,
        }
    }
}

impl Drop for RunningTransfer<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.store.state);
        state.running -= 1;
        state.aborted += u64::from(!self.finished);
    }
}

impl WeightStore {
    async fn transfer(&self, model: String) -> HandlerResult {
        let mut transfer = RunningTransfer::new(self);
        let mut left = self.model_bytes;
        while left > 0 {
            self.gate.wait_unfrozen().await;
            let now = Instant::now();
            let (bytes, end) = lock(&self.state).reserve_slice(left, now);
            tokio::time::sleep_until(end.into()).await;
            lock(&self.state).count_bytes(bytes, Instant::now());
            left -= bytes;
        }
        transfer.finished = true;
        *lock(&self.state).finished.entry(model).or_default() += 1;
        let bytes = self.model_bytes;
        json_response(StatusCode::OK, &WeightResponse { bytes })
    }
}

impl Standin for WeightStore {
    fn gate(&self) -> &FaultGate {
        &self.gate
    }

    async fn handle(self: Arc<Self>, call: Call) -> HandlerResult {
        let segments = call.segments();
        match (&call.method, segments.as_slice()) {
            (&Method::GET, ["v1", "weights", model @ ..])
                if !model.is_empty() =>
            {
                self.transfer(model.join("/")).await
            }
            _ => Err(not_found(&call)),
        }
    }

    fn control(&self, fault: Fault) -> Result<(), FaultError> {
        if self.gate.apply(&fault) {
            return Ok(());
        }
        match fault {
            Fault::Bandwidth { bytes_per_s } => {
                lock(&self.state).bytes_per_s = bytes_per_s;
            }
            Fault::Restart => self.gate.cut_connections(),
            other => return Err(FaultError::Unsupported(other)),
        }
        Ok(())
    }

    fn report(&self) -> Value {
        let state = lock(&self.state);
        json!({
            "bytes_per_s": state.bytes_per_s,
            "running": state.running,
            "peak_running": state.peak_running,
            "finished": state.finished,
            "given_up": state.aborted,
            "peak_bytes_per_s": state.peak_window_bytes,
        })
    }
}
