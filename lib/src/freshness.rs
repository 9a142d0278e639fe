//! Whether the configuration is fresh enough to send new work.
//!
//! Evidence is the latest moment at which the log said that the applied
//! offset was its head, counted from when the question was sent. It comes from
//! this instance's own readings or from peers. All times are those at which
//! questions were sent, so an instance that was paused finds itself stale even
//! if old answers wait in its sockets.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::InstanceId,
    peer_api::Gossip,
    units::{LogOffset, Timestamp},
};

/// Age of the evidence up to which new work is sent.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time in which an instance must have been alive to count for the majority.
pub const RECENTLY_ALIVE_WINDOW: Duration = Duration::from_secs(600);
/// Allowance for the hop between two instances.
const HOP_ALLOWANCE: Duration = Duration::from_millis(50);
/// Age of the evidence from which on peers are asked for theirs.
const ASK_AGE: Duration = Duration::from_millis(1_200);
/// Time after which a peer that answered is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(1_000);
/// Most peers asked at once.
const ASK_MAX: usize = 16;
/// Interval between two times of asking.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// How far the configuration can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The log confirmed it within the last 2.5 s.
    Confirmed,
    /// The log is down for a majority; no order can have been accepted here.
    LogOutage,
    /// Orders may have been accepted that are not applied here.
    Stale,
}

/// What a peer said of its configuration.
#[derive(Clone, Debug)]
struct PeerEvidence {
    heard_at: Timestamp,
    applied: Option<LogOffset>,
    confirmed_at: Option<Timestamp>,
}

/// Evidence from the log and from peers.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTable {
    applied: Option<LogOffset>,
    confirmed_at: Option<Timestamp>,
    reached_at: Option<Timestamp>,
    peers: BTreeMap<InstanceId, PeerEvidence>,
    recently_alive: BTreeSet<InstanceId>,
    ask_due: Timestamp,
}

impl FreshnessTable {
    /// A table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an answer of the log in, after its records were applied.
    /// `confirmed` says whether the applied offset is the log's head.
    pub fn log_answered(&mut self, sent_at: Timestamp, confirmed: bool) {
        self.reached_at = self.reached_at.max(Some(sent_at));
        if confirmed {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// Sets the applied offset, which never goes back, and adopts what peers
    /// have confirmed for offsets up to it.
    pub fn set_applied(&mut self, applied: Option<LogOffset>) {
        if applied > self.applied {
            self.applied = applied;
            self.adopt();
        }
    }

    /// Takes a peer's gossip in. Only answers count: how long an unasked
    /// message waited in this instance's sockets is not known.
    pub fn record_peer_evidence(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        asked_at: Option<Timestamp>,
        gossip: &Gossip,
    ) {
        let Some(heard_at) = asked_at else { return };
        let age = |age: Duration| {
            let hop = now.since(heard_at).max(HOP_ALLOWANCE);
            now.before(age.saturating_add(hop))
        };
        let confirmed_at = gossip.confirmed_age.and_then(age);
        let evidence = PeerEvidence {
            heard_at,
            applied: gossip.applied,
            confirmed_at,
        };
        let known = self.peers.get(&peer);
        if known.is_none_or(|known| known.heard_at <= heard_at) {
            self.peers.insert(peer, evidence);
            self.adopt();
        }
    }

    /// Sets the other instances that were alive within the last ten minutes
    /// and did not leave on their own account.
    pub fn set_recently_alive(&mut self, known: BTreeSet<InstanceId>) {
        self.peers.retain(|peer, _| known.contains(peer));
        self.recently_alive = known;
    }

    /// How far the configuration can be relied on.
    pub fn freshness(&self, now: Timestamp) -> Freshness {
        if self.applied.is_none() {
            return Freshness::Stale;
        }
        if is_recent(now, self.confirmed_at) {
            return Freshness::Confirmed;
        }
        if self.is_log_outage(now) {
            return Freshness::LogOutage;
        }
        Freshness::Stale
    }

    /// Whether new work may be sent.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.freshness(now) != Freshness::Stale
    }

    /// Latest confirmation of the applied offset.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Whether the log has answered within the lifetime of evidence.
    pub fn log_reached(&self, now: Timestamp) -> bool {
        is_recent(now, self.reached_at)
    }

    /// Peers to ask for their evidence because that of this instance grows
    /// old. In a fleet of more than a few instances the regular probes reach
    /// no majority within the lifetime of evidence.
    pub fn peers_to_ask(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let fresh = |at: Timestamp| now.since(at) < ASK_AGE;
        if now < self.ask_due || self.confirmed_at.is_some_and(fresh) {
            return Vec::new();
        }
        self.ask_due = now.after(ASK_INTERVAL);
        let heard = |id: &&InstanceId| {
            let at = self.peers.get(*id).map(|peer| peer.heard_at);
            at.filter(|at| now.since(*at) < ASK_AGAIN).is_none()
        };
        let mut ids: Vec<_> =
            self.recently_alive.iter().filter(heard).collect();
        ids.sort_by_key(|id| self.peers.get(*id).map(|peer| peer.heard_at));
        ids.into_iter().take(ASK_MAX).cloned().collect()
    }

    fn adopt(&mut self) {
        let covered = self.peers.values().filter(|peer| {
            self.applied.is_some() && peer.applied <= self.applied
        });
        let newest = covered.filter_map(|peer| peer.confirmed_at).max();
        self.confirmed_at = self.confirmed_at.max(newest);
    }

    fn is_log_outage(&self, now: Timestamp) -> bool {
        let known = self.recently_alive.len();
        let heard = || {
            let peers = self.peers.iter();
            let known =
                peers.filter(|(id, _)| self.recently_alive.contains(*id));
            let peers = known.map(|(_, peer)| peer);
            peers.filter(|peer| is_recent(now, Some(peer.heard_at)))
        };
        let majority = (1 + heard().count()) * 2 > 1 + known;
        // A peer that has applied more shows that an order is missing here.
        let evidence = heard().any(|peer| {
            is_recent(now, peer.confirmed_at) || peer.applied > self.applied
        });
        !self.log_reached(now) && majority && !evidence
    }
}

fn is_recent(now: Timestamp, at: Option<Timestamp>) -> bool {
    at.is_some_and(|at| now.since(at) < EVIDENCE_LIFETIME)
}
