//! Log appender that never blocks: a thread writes the lines to standard
//! output, and lines over the limits are dropped.

use std::{
    io::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, Instant},
};

use borageline_lib::log_event::LogEvent;
use logforth::{Append, Diagnostic, Error, Layout, record::Record};

use super::EventLayout;

/// Longest time that a flush takes: nobody may read standard output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause before a flush is queued again after it found the queue full.
const FLUSH_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Limits on the log lines that a process writes.
#[derive(Clone, Copy, Debug)]
pub struct LineLimits {
    /// Lines per second, on average.
    pub per_second: f64,
    /// Lines that may be written at once: the capacity of the token bucket.
    pub burst: f64,
    /// Lines that may be queued for the writing thread.
    pub queue: usize,
}

impl Default for LineLimits {
    /// Two lines for each of 100 requests per second, which is four times the
    /// rate of an instance in a fleet of the planned size (docs/CAPACITY.md).
    fn default() -> Self {
        Self {
            per_second: 200.0,
            burst: 600.0,
            queue: 1_024,
        }
    }
}

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// Work for the writing thread.
#[derive(Debug)]
enum OutputJob {
    /// Writes a line.
    Write(Vec<u8>),
    /// Reports that all lines before it were written.
    Flush(SyncSender<()>),
}

/// Appender with a token bucket, a bounded queue and a writing thread.
#[derive(Debug)]
pub struct BoundedStdout {
    limits: LineLimits,
    bucket: Mutex<TokenBucket>,
    dropped: AtomicU64,
    sender: SyncSender<OutputJob>,
}

impl BoundedStdout {
    /// Starts the writing thread.
    pub fn start(limits: LineLimits) -> Self {
        let (sender, receiver) = sync_channel(limits.queue);
        std::thread::spawn(move || write_lines(&receiver));
        Self {
            limits,
            bucket: Mutex::new(TokenBucket {
                tokens: limits.burst,
                refilled_at: Instant::now(),
            }),
            dropped: AtomicU64::new(0),
            sender,
        }
    }

    fn take_token(&self) -> bool {
        let mut bucket =
            self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(bucket.refilled_at).as_secs_f64();
        let tokens = bucket.tokens + gained * self.limits.per_second;
        bucket.tokens = tokens.min(self.limits.burst);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Writes how many lines were dropped since the last such report, if there
    /// is room in the queue.
    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped == 0 {
            return;
        }
        let event = LogEvent::LogLinesDropped;
        let line = serde_json::json!({
            "level": "WARN",
            "message": "log lines were dropped",
            "kvs": {
                "event": event.number(),
                "name": event.name(),
                "lines": dropped,
            },
        });
        let mut line = line.to_string().into_bytes();
        line.push(b'\n');
        if self.sender.try_send(OutputJob::Write(line)).is_err() {
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
        let mut line = EventLayout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.sender.try_send(OutputJob::Write(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the queued lines are written, for a bounded time.
    fn flush(&self) -> Result<(), Error> {
        let until = Instant::now() + FLUSH_TIMEOUT;
        let (written, receiver) = sync_channel(1);
        let mut job = OutputJob::Flush(written);
        while let Err(error) = self.sender.try_send(job) {
            match error {
                TrySendError::Full(unsent) if Instant::now() < until => {
                    job = unsent;
                    std::thread::sleep(FLUSH_RETRY_PAUSE);
                }
                TrySendError::Full(_) | TrySendError::Disconnected(_) => {
                    return Ok(());
                }
            }
        }
        // After the timeout the lines that are left are lost.
        let left = until.saturating_duration_since(Instant::now());
        let _ = receiver.recv_timeout(left);
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<OutputJob>) {
    let mut output = std::io::stdout();
    while let Ok(job) = receiver.recv() {
        let line = match job {
            OutputJob::Write(line) => line,
            OutputJob::Flush(written) => {
                // Whoever asked may have stopped waiting.
                let _ = written.try_send(());
                continue;
            }
        };
        // If standard output is closed, there is nowhere to report that.
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
