//! Child processes of tests: starting, observing, pausing and ending them.

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

use serde::Deserialize;

use crate::{client, fault::lock, process_group::link_group};

/// Time between checks of a process or an address.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum time until all threads of a paused process have stopped.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Signals that a test sends to its child processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChildSignal {
    /// SIGTERM: requests an orderly shutdown.
    Terminate,
    /// SIGSTOP: pauses the process.
    Stop,
    /// SIGCONT: resumes a paused process.
    Continue,
    /// SIGHUP: requests a reload of the settings.
    HangUp,
}

impl ChildSignal {
    const fn argument(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::HangUp => "-HUP",
        }
    }
}

#[derive(Debug, Default)]
struct OutputLines {
    lines: Vec<String>,
    ended: bool,
}

/// A child process whose standard output is captured line by line; killed
/// when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    output: Arc<(Mutex<OutputLines>, Condvar)>,
}

impl ChildProcess {
    /// Starts a command; the caller configures its standard error.
    pub fn start(mut command: Command) -> io::Result<Self> {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let output = Arc::<(Mutex<OutputLines>, Condvar)>::default();
        if let Some(stdout) = child.stdout.take() {
            let output = output.clone();
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines() {
                    let Ok(line) = line else { break };
                    lock(&output.0).lines.push(line);
                    output.1.notify_all();
                }
                lock(&output.0).ended = true;
                output.1.notify_all();
            });
        }
        Ok(Self { child, output })
    }

    /// Starts a command whose standard output is a pipe that is never read,
    /// to test a process whose output blocks.
    pub fn start_unread(mut command: Command) -> io::Result<Self> {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        Ok(Self {
            // The child owns the read end, which keeps the pipe open.
            child: command.spawn()?,
            output: Arc::default(),
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lines captured from standard output so far.
    pub fn output(&self) -> Vec<String> {
        lock(&self.output.0).lines.clone()
    }

    /// Waits for a line on standard output that satisfies `matches`, also
    /// among earlier ones. Fails after `limit` or when the output ends.
    pub fn wait_line(
        &self,
        limit: Duration,
        matches: impl Fn(&str) -> bool,
    ) -> io::Result<String> {
        let until = Instant::now() + limit;
        let mut output = lock(&self.output.0);
        loop {
            if let Some(line) = output.lines.iter().find(|line| matches(line)) {
                return Ok(line.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if output.ended || left.is_zero() {
                let text = format!("no matching line in {:?}", output.lines);
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            let waited = self.output.1.wait_timeout(output, left);
            output = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end; fails after `limit`.
    pub fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= until {
                let text = format!("process {} did not end in time", self.id());
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Sends a signal with the command `kill`. After [`ChildSignal::Stop`],
    /// returns once the process is paused.
    ///
    /// The operating system does not reuse the process id before the child
    /// is waited for, so the signal cannot reach another process.
    pub fn signal(&mut self, signal: ChildSignal) -> io::Result<()> {
        if !self.is_running() {
            let text = format!("process {} has ended", self.id());
            return Err(io::Error::new(io::ErrorKind::NotFound, text));
        }
        if signal == ChildSignal::Stop {
            link_group()?;
        }
        let status = Command::new("kill")
            .arg(signal.argument())
            .arg(self.id().to_string())
            .status()?;
        if status.success() {
            return match signal {
                ChildSignal::Stop => self.wait_stopped(),
                ChildSignal::Terminate
                | ChildSignal::Continue
                | ChildSignal::HangUp => Ok(()),
            };
        }
        let text =
            format!("kill {} {}: {status}", signal.argument(), self.id());
        Err(io::Error::other(text))
    }
}

impl ChildProcess {
    /// Waits until all threads have stopped. `kill` returns earlier, while a
    /// running thread can still answer a call.
    fn wait_stopped(&self) -> io::Result<()> {
        let until = Instant::now() + STOP_TIMEOUT;
        while !threads_stopped(self.id())? {
            if Instant::now() >= until {
                let text =
                    format!("process {} did not stop in time", self.id());
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Whether procfs shows all threads of a process in state `T` (stopped).
fn threads_stopped(id: u32) -> io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
        let path = thread?.path().join("stat");
        // A thread that ended after the listing counts as running, so that
        // the caller lists the threads again.
        let Ok(stat) = std::fs::read_to_string(path) else {
            return Ok(false);
        };
        // The state follows the name, which is in parentheses and can
        // contain spaces.
        let state = stat.rsplit(')').next().unwrap_or_default();
        if !state.trim_start().starts_with('T') {
            return Ok(false);
        }
    }
    Ok(true)
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.kill();
    }
}

/// Line of JSON that a stand-in prints once it listens.
#[derive(Clone, Debug, Deserialize)]
pub struct AddressLine {
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
    /// Address of a forwarder's control server; `None` for other stand-ins.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// Starts a stand-in and waits for its address line; fails after `limit`.
pub fn start_and_read_address(
    command: Command,
    limit: Duration,
) -> io::Result<(ChildProcess, AddressLine)> {
    let child = ChildProcess::start(command)?;
    let line = child.wait_line(limit, |line| line.starts_with('{'))?;
    let announced = serde_json::from_str(&line)?;
    Ok((child, announced))
}

/// Path of a binary of this Cargo workspace in the target directory of the
/// running test.
///
/// Fails if it is not built: Cargo builds the binaries of other crates only
/// with `--workspace`.
pub fn binary_path(name: &str) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let parents = test.ancestors().skip(1).take(2);
    let mut paths = parents.map(|directory| directory.join(name));
    paths.find(|path| path.is_file()).ok_or_else(|| {
        let text = format!("binary {name} is not built beside {test:?}");
        io::Error::new(io::ErrorKind::NotFound, text)
    })
}

/// Polls with GET until the response is a success; fails after `limit`.
pub async fn wait_http(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(), client::ClientError> {
    let poll = async {
        loop {
            let response = client::get(address, path).await;
            if response.is_ok_and(|response| response.status.is_success()) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(limit, poll)
        .await
        .map_err(|_| client::ClientError::Timeout(limit))
}
