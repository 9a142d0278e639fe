//! Writes log lines to standard output without ever waiting for it.

use std::{
    io::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Instant,
};

use borageline_lib::log_event::LogEvent;
use logforth::{
    Append, Diagnostic, Error, Layout, layout::JsonLayout, record::Record,
};

/// How many log lines a process writes.
#[derive(Clone, Copy, Debug)]
pub struct LineLimits {
    /// Lines a second, on average.
    pub per_second: f64,
    /// Lines at once.
    pub burst: f64,
    /// Lines that may wait for standard output.
    pub queue: usize,
}

impl Default for LineLimits {
    /// Two lines for each of 100 requests a second: four times the rate of an
    /// instance at the size to come (docs/CAPACITY.md).
    fn default() -> Self {
        Self {
            per_second: 200.0,
            burst: 600.0,
            queue: 1_024,
        }
    }
}

#[derive(Debug)]
struct LineBucket {
    tokens: f64,
    at: Instant,
}

/// Appender with a bounded queue and a thread that writes.
#[derive(Debug)]
pub struct BoundedStdout {
    layout: JsonLayout,
    limits: LineLimits,
    bucket: Mutex<LineBucket>,
    dropped: AtomicU64,
    sender: SyncSender<Vec<u8>>,
}

impl BoundedStdout {
    /// Starts the thread that writes.
    pub fn start(layout: JsonLayout, limits: LineLimits) -> Self {
        let (sender, receiver) = sync_channel(limits.queue);
        std::thread::spawn(move || write_lines(&receiver));
        Self {
            layout,
            limits,
            bucket: Mutex::new(LineBucket {
                tokens: limits.burst,
                at: Instant::now(),
            }),
            dropped: AtomicU64::new(0),
            sender,
        }
    }

    fn take_token(&self) -> bool {
        let mut bucket =
            self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(bucket.at).as_secs_f64();
        let tokens = bucket.tokens + gained * self.limits.per_second;
        bucket.tokens = tokens.min(self.limits.burst);
        bucket.at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Says how many lines were left out, once there is room again.
    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let event = LogEvent::LogLinesDropped;
        let line = serde_json::json!({
            "level": "WARN",
            "message": "log lines were left out",
            "kvs": {
                "event": event.number(),
                "name": event.name(),
                "lines": dropped,
            },
        });
        let mut line = line.to_string().into_bytes();
        line.push(b'\n');
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
    }
}

impl Append for BoundedStdout {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        if !self.take_token() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.report_dropped();
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(line) = receiver.recv() {
        // Nobody is left to tell if standard output is closed.
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
