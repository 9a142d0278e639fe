//! Faults that a test injects, and the gate that applies the general ones.
//!
//! The JSON body of `POST /control` is one [`Fault`], with the name of the
//! variant in snake case under `fault`, e.g. `{"fault":"freeze"}` or
//! `{"fault":"slow","delay_ms":200}`. Fields that count how often a fault
//! applies may be left out; the fault then lasts until `{"fault":"clear"}`.

use std::{
    fmt::{Display, Formatter},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::{platform_api::ListedProcess, value_type};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Locks a mutex; a panic of another holder is ignored.
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
        /// Ends all faults. State that was lost stays lost, and what
        /// `leave`, `lag` and the weight store's `bandwidth` set stays set.
        Clear,
        /// Fails every call: `{"fault":"fail","mode":"close"}`.
        Fail {
            /// How the call fails.
            #[serde(default)]
            mode: FailMode,
        },
        /// Stops answering; calls wait, and an engine makes no progress.
        Freeze,
        /// Delays each answer.
        Slow {
            /// Delay in milliseconds.
            delay_ms: u64,
        },
        /// Runs the next calls and closes the connection in place of an
        /// answer. Reads count as calls.
        DropAnswers {
            /// Number of answers.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Closes all connections that are open now.
        Cut,
        /// Loses the state, breaks streams and starts a new incarnation.
        Restart,
        /// Engine: rates and capacity fall to those after a start.
        GoCold,
        /// Engine: all rates are multiplied by a factor.
        Speed {
            /// Factor; one is normal.
            factor: f64,
        },
        /// Engine: announces in its load report that it leaves.
        Leave {
            /// Whether it leaves.
            leaving: bool,
        },
        /// Engine: sends an additional part with another id and other text
        /// before the next parts.
        ForeignId {
            /// Number of foreign parts.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine: sends the next parts twice.
        DuplicateParts {
            /// Number of duplicates.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine: closes the next streams without their end marker; the
        /// requests go on and can be resumed.
        TruncateStreams {
            /// Parts that are still sent in each stream.
            after_parts: u64,
            /// Number of streams.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine: delays each part of a stream.
        LateParts {
            /// Delay in milliseconds.
            delay_ms: u64,
            /// Number of parts.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Engine, instance list: sets how old the answers are.
        Lag {
            /// Lag in milliseconds.
            lag_ms: u64,
        },
        /// Instance list: adds or replaces an entry, in effect at once for
        /// the list and after its lag for readers.
        Add {
            /// The entry.
            instance: ListedProcess,
        },
        /// Instance list: removes an entry.
        Remove {
            /// Name of the entry.
            id: String,
        },
        /// Instance list: marks an entry as leaving, or not.
        MarkLeaving {
            /// Name of the entry.
            id: String,
            /// Whether it leaves.
            leaving: bool,
        },
        /// Log: appends take effect, their answers are lost.
        LoseAppendAnswers {
            /// Number of appends.
            #[serde(default = "without_end")]
            count: u64,
        },
        /// Log: reads answer, appends wait without taking effect.
        StallAppends,
        /// Log: drops all records of a stream before an offset.
        TrimStream {
            /// Stream.
            stream: String,
            /// First offset that is kept.
            before: u64,
        },
        /// Forwarder: closes its port, so that connecting fails; present
        /// connections stay.
        Refuse,
        /// Forwarder: delays data in both directions.
        Delay {
            /// Delay in milliseconds.
            delay_ms: u64,
        },
        /// Forwarder: holds data back in one direction.
        Stall {
            /// Direction of the data.
            direction: Direction,
        },
        /// Forwarder, weight store: limits the rate.
        Bandwidth {
            /// Bytes per second; of each direction of each connection in
            /// the forwarder, of all readers together in the weight store.
            bytes_per_s: u64,
        },
    }
}

value_type! {
    /// How a failing stand-in fails.
    #[derive(Copy, Default, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum FailMode {
        /// Answers HTTP 503.
        #[default]
        Status,
        /// Closes the connection.
        Close,
    }
}

value_type! {
    /// Direction of forwarded data.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Direction {
        /// From the client to the target.
        ToTarget,
        /// From the target to the client.
        ToClient,
    }
}

/// Why a fault was not injected.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultError {
    /// The stand-in has no such fault.
    Unsupported(Fault),
    /// The fault names something that does not exist.
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

/// Present general faults.
#[derive(Clone, Debug, Default)]
struct ActiveFaults {
    fail: Option<FailMode>,
    frozen: bool,
    delay: Duration,
    drop_answers: u64,
}

/// What becomes of a call at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// The call is carried out.
    Pass,
    /// The call fails without being carried out.
    Fail(FailMode),
}

/// General faults of a stand-in.
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
    /// Applies a general fault; false if it is not a general one.
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

    /// Closes all connections that are open now.
    pub fn cut_connections(&self) {
        let fresh = CancellationToken::new();
        let old = std::mem::replace(&mut *lock(&self.connections), fresh);
        old.cancel();
    }

    /// Token that ends the connections accepted from now on.
    pub(crate) fn connection_token(&self) -> CancellationToken {
        lock(&self.connections).clone()
    }

    /// Whether the stand-in is frozen.
    pub fn is_frozen(&self) -> bool {
        self.state.borrow().frozen
    }

    /// Waits while the stand-in is frozen.
    pub async fn wait_unfrozen(&self) {
        let mut receiver = self.state.subscribe();
        // The sender lives as long as `self`, so this cannot fail.
        let _ = receiver.wait_for(|state| !state.frozen).await;
    }

    /// Holds a call back as long as the faults say.
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

    /// Takes one of the answers to be dropped.
    pub(crate) fn take_dropped_response(&self) -> bool {
        let mut taken = false;
        self.state.send_if_modified(|state| {
            taken = decrement_if_left(&mut state.drop_answers);
            taken
        });
        taken
    }
}

/// Takes one off a counter, where the largest value means no end.
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
