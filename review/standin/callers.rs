//! Callers of the plain service: each sends its next request some time after
//! the last was answered, to the gateways in turn, over a new connection. The
//! callers begin one after the other.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use crate::{gateway::Gateway, http, record::Record, site};

/// One request and how it ended.
pub struct Ended {
    pub attempt: String,
    pub kind: &'static str,
    pub sent: Duration,
    /// Status of the answer, or how there was none.
    pub outcome: String,
}

pub struct Callers {
    stop: Arc<AtomicBool>,
    ended: Arc<Mutex<Vec<Ended>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(
        record: &Record,
        gateways: &[Gateway],
        count: usize,
        pause: Duration,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ended = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicU64::new(0));
        let fronts: Vec<_> = gateways.iter().map(|it| it.front).collect();
        let threads = (0..count).map(|caller| {
            let (stop, ended, next) =
                (stop.clone(), ended.clone(), next.clone());
            let (record, fronts) = (record.clone(), fronts.clone());
            std::thread::spawn(move || {
                std::thread::sleep(pause / count as u32 * caller as u32);
                while !stop.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let front = fronts[number as usize % fronts.len()];
                    let request = send(&record, front, number);
                    ended.lock().expect("no panic").push(request);
                    std::thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self {
            stop,
            ended,
            threads,
        }
    }

    /// Lets the requests that run end, and returns all.
    pub fn stop(self) -> Vec<Ended> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut ended = self.ended.lock().expect("no panic");
        std::mem::take(&mut *ended)
    }
}

fn send(record: &Record, front: std::net::SocketAddr, number: u64) -> Ended {
    let is_retirement = number / 2 % 2 == 0;
    let (kind, method, path) = if is_retirement {
        ("non_idempotent", "POST", "/retire/1")
    } else {
        ("idempotent", "GET", "/status/1")
    };
    let attempt = format!("{number:016x}");
    let sent =
        record.line(&format!("caller sends {attempt} ({kind}) to {front}"));
    let headers = [
        ("Host", site::HOST),
        ("Attempt-Id", attempt.as_str()),
        ("Deadline-Ms", "1000"),
        ("Authorization", site::KEY),
    ];
    let wait = Duration::from_millis(1_500);
    let body: &[u8] = if is_retirement { b"{}" } else { b"" };
    let outcome = match http::call(front, method, path, &headers, body, wait) {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("no answer ({error})"),
    };
    record.line(&format!("caller got {outcome} to {attempt}"));
    Ended {
        attempt,
        kind,
        sent,
        outcome,
    }
}
