//! What was sent, answered and run, with times.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> Duration {
        let now = self.now();
        let mut file = self.file.lock().unwrap_or_else(|it| it.into_inner());
        let _ = writeln!(file, "{:9.3} {text}", now.as_secs_f64());
        now
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        // Nobody may read the output.
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }
}
