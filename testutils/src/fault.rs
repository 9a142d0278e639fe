//! Faults that tests inject, and the gate for those of all stand-ins.
//!
//! The JSON body of `POST /control` is one [`Fault`], with the name of the
//! variant in snake case under `fault`, e.g. `{"fault":"freeze"}` or
//! `{"fault":"slow","delay_ms":200}`. Without the optional field `count`, a
//! fault lasts until `{"fault":"clear"}`. In the names of faults, a part is
//! a chunk of a completion stream and an answer is a response.

use std::{
    fmt::{Display, Formatter},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::{platform_api::ListedProcess, value_type};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Locks a mutex, also after a panic of a thread that held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn without_end() -> u64 {
    u64::MAX
}

value_type! {
    /// A fault, as the body of `POST /control`.
    #[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
    pub enum Fault {
        /// Ends all faults. Does not restore lost state, and keeps the
        /// values that `leave`, `lag` and the weight store's `bandwidth`
        /// have set.
        Clear,
        /// Fails every call: `{"fault":"fail","mode":"close"}`.
        Fail {
            /// How the call fails.
            #[serde(default)]
            mode: FailMode,
        },
        /// Blocks all calls; an engine also generates no tokens.
        Freeze,
        /// Delays each call before it is carried out.
        Slow {
            /// Delay in milliseconds.
            delay_ms: u64,
        },
        /// Carries out the next calls, read-only ones included, and closes
        /// their connections instead of sending responses.
        DropAnswers {
            /// Number of responses to drop.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Closes all open connections; new ones are accepted.
        Cut,
        /// Closes all open connections. An engine also loses its requests
        /// and prefix cache and starts a new incarnation; the state of the
        /// other stand-ins is durable.
        Restart,
        /// Engine: reduces rates and capacity to those of a cold start.
        GoCold,
        /// Engine: multiplies all rates by a factor.
        Speed {
            /// Factor relative to the configured rates; one restores them.
            factor: f64,
        },
        /// Engine: sets whether its load report announces a shutdown.
        Leave {
            /// Whether the engine is about to shut down.
            leaving: bool,
        },
        /// Engine: sends an additional chunk with another request id and
        /// other text before each of the next chunks.
        ForeignId {
            /// Number of additional chunks.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine: sends each of the next chunks twice.
        DuplicateParts {
            /// Number of chunks to duplicate.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine: closes the connections of the next streams before the
        /// end marker; the requests keep running and can be resumed.
        TruncateStreams {
            /// Chunks sent in each stream before it is closed.
            after_parts: u64,
            /// Number of streams to truncate.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine: delays each of the next chunks.
        LateParts {
            /// Delay in milliseconds.
            delay_ms: u64,
            /// Number of chunks to delay.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine, instance list: sets the age of the load reports or lists
        /// that are returned.
        Lag {
            /// Age in milliseconds.
            lag_ms: u64,
        },
        /// Instance list: adds or replaces an entry; readers see it after
        /// the lag of the list.
        Add {
            /// The entry.
            instance: ListedProcess,
        },
        /// Instance list: removes an entry.
        Remove {
            /// Name of the entry.
            id: String,
        },
        /// Instance list: sets whether an entry is marked as leaving.
        MarkLeaving {
            /// Name of the entry.
            id: String,
            /// Whether the entry is marked as leaving.
            leaving: bool,
        },
        /// Log: stores the records of the next appends and closes their
        /// connections instead of sending responses.
        LoseAppendAnswers {
            /// Number of append responses to drop.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Log: blocks appends before they take effect; reads still work.
        StallAppends,
        /// Log: drops all records of a stream before an offset.
        TrimStream {
            /// Name of the stream.
            stream: String,
            /// Lowest offset that is kept.
            before: u64,
        },
        /// Forwarder: closes its port, so that new connections are refused;
        /// open connections stay open.
        Refuse,
        /// Forwarder: stops both directions of open connections and leaves
        /// attempts to connect without any answer, like a partition.
        Silence,
        /// Forwarder: delays data in both directions.
        Delay {
            /// Delay in milliseconds.
            delay_ms: u64,
        },
        /// Forwarder: stops forwarding in one direction.
        Stall {
            /// Direction of the data.
            direction: Direction,
        },
        /// Forwarder, weight store: limits the bandwidth.
        Bandwidth {
            /// Bytes per second: in the forwarder for each direction of a
            /// connection, in the weight store for all transfers together.
            bytes_per_s: u64,
        },
    }
}

value_type! {
    /// How a call fails under [`Fault::Fail`].
    #[derive(Copy, Default, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum FailMode {
        /// Returns HTTP 503.
        #[default]
        Status,
        /// Closes the connection without a response.
        Close,
    }
}

value_type! {
    /// Direction of data through the forwarder.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Direction {
        /// From the client to the target.
        ToTarget,
        /// From the target to the client.
        ToClient,
    }
}

/// Why [`Fault`] was not injected.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultError {
    /// The stand-in does not support the fault.
    Unsupported(Fault),
    /// The fault names a stream or list entry that does not exist.
    Unknown(String),
}

impl Display for FaultError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unsupported(fault) => {
                write!(formatter, "fault {fault:?} does not apply here")
            }
            Self::Unknown(name) => {
                write!(formatter, "{name:?} does not exist")
            }
        }
    }
}

impl std::error::Error for FaultError {}

/// Active faults among those that all stand-ins share.
#[derive(Clone, Debug, Default)]
struct ActiveFaults {
    fail: Option<FailMode>,
    frozen: bool,
    delay: Duration,
    drop_answers: u64,
}

/// Whether the gate lets a call through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// Carry the call out.
    Pass,
    /// Fail the call without carrying it out.
    Fail(FailMode),
}

/// Applies the faults that all stand-ins share to calls and connections.
#[derive(Debug)]
pub struct FaultGate {
    state: watch::Sender<ActiveFaults>,
    connections: Mutex<CancellationToken>,
}

impl Default for FaultGate {
    fn default() -> Self {
        Self {
            state: watch::Sender::new(ActiveFaults::default()),
            connections: Mutex::new(CancellationToken::new()),
        }
    }
}

impl FaultGate {
    /// Activates a fault; false if the fault is specific to a stand-in.
    pub fn apply(&self, fault: &Fault) -> bool {
        match fault {
            Fault::Clear => {
                self.state.send_replace(ActiveFaults::default());
            }
            Fault::Fail { mode } => {
                self.state.send_modify(|state| state.fail = Some(*mode));
                if *mode == FailMode::Close {
                    self.cut_connections();
                }
            }
            Fault::Freeze => {
                self.state.send_modify(|state| state.frozen = true);
            }
            Fault::Slow { delay_ms } => {
                let delay = Duration::from_millis(*delay_ms);
                self.state.send_modify(|state| state.delay = delay);
            }
            Fault::DropAnswers { count } => {
                self.state.send_modify(|state| state.drop_answers = *count);
            }
            Fault::Cut => self.cut_connections(),
            _ => return false,
        }
        true
    }

    /// Closes all open connections.
    pub fn cut_connections(&self) {
        let fresh = CancellationToken::new();
        let old = std::mem::replace(&mut *lock(&self.connections), fresh);
        old.cancel();
    }

    /// Token for new connections; [`Self::cut_connections`] cancels it.
    pub(crate) fn connection_token(&self) -> CancellationToken {
        lock(&self.connections).clone()
    }

    /// Whether [`Fault::Freeze`] is active.
    pub fn is_frozen(&self) -> bool {
        self.state.borrow().frozen
    }

    /// Waits while [`Fault::Freeze`] is active.
    pub async fn wait_unfrozen(&self) {
        let mut receiver = self.state.subscribe();
        // Fails only if the sender is dropped, and `self` owns it.
        let _ = receiver.wait_for(|state| !state.frozen).await;
    }

    /// Applies freeze, delay and failure to a call; returns once the call
    /// may run or must fail.
    pub async fn pass(&self) -> GateDecision {
        self.wait_unfrozen().await;
        let delay = self.state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
            self.wait_unfrozen().await;
        }
        let fail = self.state.borrow().fail;
        fail.map_or(GateDecision::Pass, GateDecision::Fail)
    }

    /// Whether to drop the response to this call; uses up one count of
    /// [`Fault::DropAnswers`].
    pub(crate) fn take_dropped_response(&self) -> bool {
        let mut taken = false;
        self.state.send_if_modified(|state| {
            taken = decrement_if_left(&mut state.drop_answers);
            taken
        });
        taken
    }
}

/// Decrements a counter; false at zero. `u64::MAX` means no limit and is
/// not decremented.
pub(crate) fn decrement_if_left(counter: &mut u64) -> bool {
    match *counter {
        0 => false,
        u64::MAX => true,
        _ => {
            *counter -= 1;
            true
        }
    }
}
