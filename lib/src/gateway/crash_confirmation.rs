//! Whether an upstream that broke off a request has crashed.
//!
//! An upstream that has crashed refuses connections, but so do sound ones to
//! which this instance has lost its links. Other instances are therefore asked;
//! where none knows, other upstreams of the same kind show whether the links are
//! sound.
//!
//! One look is not enough. A listener may be closed a moment after the
//! connections, instances that have just started know of no other to ask, and
//! where all upstreams of a service crash together none is left to compare with.
//! What is not decided is looked at again, [`ROUNDS_MAX`] times in all. After that
//! an upstream that has always refused counts as crashed: if its links were lost
//! everywhere, crashes of the same moment count once, and no request is sent that
//! could add to them.

use std::time::Duration;

/// Looks at one upstream.
pub const ROUNDS_MAX: u32 = 5;
/// Time between two looks.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// How an upstream responded to an attempt to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionView {
    /// It accepted the connection and kept it open.
    Accepted,
    /// It accepted the connection and closed it soon.
    Dropped,
    /// It refused the connection.
    Refused,
    /// It did not respond in time.
    Silent,
}

/// What another instance that was asked says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerView {
    /// The upstream accepts connections.
    Accepts,
    /// The upstream refuses connections, and others like it do not.
    Refuses,
    /// The upstream and others like it refuse connections, so that the links of
    /// that instance may be lost.
    RefusesLikeOthers,
}

/// What one look at an upstream has shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashFindings {
    /// How the upstream responded to this instance.
    pub own: ConnectionView,
    /// Answers of the instances that were asked and know.
    pub peers: Vec<PeerView>,
    /// Whether other upstreams, not known to have crashed, accept connections
    /// of this instance.
    pub others: Vec<bool>,
}

impl CrashFindings {
    /// Findings of this instance alone.
    pub fn new(own: ConnectionView) -> Self {
        Self {
            own,
            peers: Vec::new(),
            others: Vec::new(),
        }
    }
}

/// Why an upstream is not taken for crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeSign {
    /// It accepts connections of this instance.
    AcceptedHere,
    /// It accepts connections of another instance.
    AcceptedElsewhere,
    /// Nothing answers this instance, which may be cut off.
    SilentHere,
}

impl LifeSign {
    /// Name in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AcceptedHere => "accepted_here",
            Self::AcceptedElsewhere => "accepted_elsewhere",
            Self::SilentHere => "silent_here",
        }
    }
}

/// Conclusion from the findings so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The upstream has crashed.
    Crashed,
    /// The upstream may not have crashed.
    NotCrashed(LifeSign),
    /// Another look is needed.
    Undecided,
}

/// Looks at one upstream until it is known whether it has crashed.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashConfirmation {
    rounds: u32,
}

impl CrashConfirmation {
    /// Concludes from the findings of a further look.
    pub fn judge(&mut self, findings: &CrashFindings) -> CrashVerdict {
        self.rounds += 1;
        let is_last = self.rounds >= ROUNDS_MAX;
        match findings.own {
            ConnectionView::Accepted => {
                CrashVerdict::NotCrashed(LifeSign::AcceptedHere)
            }
            ConnectionView::Silent => {
                CrashVerdict::NotCrashed(LifeSign::SilentHere)
            }
            ConnectionView::Dropped if is_last => {
                CrashVerdict::NotCrashed(LifeSign::AcceptedHere)
            }
            ConnectionView::Dropped => CrashVerdict::Undecided,
            ConnectionView::Refused => match judge_refused(findings) {
                CrashVerdict::Undecided if is_last => CrashVerdict::Crashed,
                verdict => verdict,
            },
        }
    }
}

/// Concludes from one look at an upstream that refuses connections.
fn judge_refused(findings: &CrashFindings) -> CrashVerdict {
    let CrashFindings { peers, others, .. } = findings;
    if peers.contains(&PeerView::Accepts) {
        return CrashVerdict::NotCrashed(LifeSign::AcceptedElsewhere);
    }
    let own_links_are_sound = peers.is_empty() && others.contains(&true);
    if peers.contains(&PeerView::Refuses) || own_links_are_sound {
        CrashVerdict::Crashed
    } else {
        CrashVerdict::Undecided
    }
}
