//! Child processes of tests: start, watch, pause and end them by their id.

use std::{
    io::{self, BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

use serde::Deserialize;

use crate::{client, fault::lock};

/// Time between two looks at a process or an address.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time until all threads of a paused process are stopped.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Signals that a test sends to its own children.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChildSignal {
    /// Asks it to end.
    Terminate,
    /// Pauses it.
    Stop,
    /// Lets it go on.
    Continue,
    /// Tells it that its settings have changed.
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

/// A child process with its standard output captured line by line; it is
/// killed when this is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    output: Arc<(Mutex<OutputLines>, Condvar)>,
}

impl ChildProcess {
    /// Starts a command; its standard error goes where the command says.
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

    /// Starts a command whose standard output nobody reads.
    pub fn start_unread(mut command: Command) -> io::Result<Self> {
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        Ok(Self {
            // Keeps the pipe open.
            child: command.spawn()?,
            output: Arc::default(),
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lines on standard output so far.
    pub fn output(&self) -> Vec<String> {
        lock(&self.output.0).lines.clone()
    }

    /// Waits for a line on standard output that meets a condition.
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
                let text = format!("no such line in {:?}", output.lines);
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

    /// Waits for the process to end.
    pub fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= until {
                let text = format!("process {} goes on", self.id());
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Ends the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Sends a signal by the command `kill`; a pause is in effect on return.
    ///
    /// The id belongs to the child until it is waited for, so no other
    /// process can be hit.
    pub fn signal(&mut self, signal: ChildSignal) -> io::Result<()> {
        if !self.is_running() {
            let text = format!("process {} has ended", self.id());
            return Err(io::Error::new(io::ErrorKind::NotFound, text));
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
    /// Waits until all threads are stopped. The signal returns earlier, and
    /// a thread that is running then can still answer a call.
    fn wait_stopped(&self) -> io::Result<()> {
        let until = Instant::now() + STOP_TIMEOUT;
        while !threads_stopped(self.id())? {
            if Instant::now() >= until {
                let text = format!("process {} does not stop", self.id());
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Whether each thread of a process has the state `T` (stopped) in procfs.
fn threads_stopped(id: u32) -> io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{id}/task"))? {
        let path = thread?.path().join("stat");
        // A thread that has ended since the listing counts as running, so
        // that the list is read again.
        let Ok(stat) = std::fs::read_to_string(path) else {
            return Ok(false);
        };
        // The name in parentheses can hold spaces; the state follows it.
        let state = stat.rsplit(')').next().unwrap_or_default();
        if !state.trim_start().starts_with('T') {
            return Ok(false);
        }
    }
    Ok(true)
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails only if the process has ended before.
        let _ = self.kill();
    }
}

/// The line that a stand-in prints once it listens.
#[derive(Clone, Debug, Deserialize)]
pub struct AddressLine {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Address of the control calls of a forwarder.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// Starts a process and waits for its address line.
pub fn start_and_read_address(
    command: Command,
    limit: Duration,
) -> io::Result<(ChildProcess, AddressLine)> {
    let child = ChildProcess::start(command)?;
    let line = child.wait_line(limit, |line| line.starts_with('{'))?;
    let announced = serde_json::from_str(&line)?;
    Ok((child, announced))
}

/// Path of a binary of this workspace, next to the running test.
///
/// Cargo builds the binaries of other crates only with `--workspace`.
pub fn binary_path(name: &str) -> io::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let parents = test.ancestors().skip(1).take(2);
    let mut paths = parents.map(|directory| directory.join(name));
    paths.find(|path| path.is_file()).ok_or_else(|| {
        let text = format!("binary {name} is not built beside {test:?}");
        io::Error::new(io::ErrorKind::NotFound, text)
    })
}

/// Free loopback addresses, all different.
///
/// They are free at this moment; a process that binds port 0 itself is the
/// safer choice where it can be asked for its address.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0));
    let listeners: Vec<TcpListener> =
        (0..count).map(bind).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// Waits until a GET is answered with success.
pub async fn wait_http(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(), client::ClientError> {
    let poll = async {
        loop {
            let answer = client::get(address, path).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(limit, poll)
        .await
        .map_err(|_| client::ClientError::Timeout(limit))
}
