//! Whether the configuration is recent enough to send new requests.
//!
//! The configuration is confirmed when the log reports that the applied offset
//! is its head. A confirmation is dated to the sending of the read that
//! returned it. It comes from reads of this instance or from the gossip of
//! peers. Because all times are those of sending, an instance that was
//! suspended detects that its configuration is stale even if old responses wait
//! in its sockets.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::InstanceId,
    peer_api::Gossip,
    units::{LogOffset, Timestamp},
};

/// Maximum age of a confirmation with which new requests are sent.
pub const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2_500);
/// How recently an instance must have been alive to count for the majority.
pub const RECENTLY_ALIVE_WINDOW: Duration = Duration::from_secs(600);
/// Minimum allowance for the transmission between two instances.
const TRANSMISSION_MIN: Duration = Duration::from_millis(50);
/// Age of the confirmation from which peers are asked for theirs.
const PEER_REQUEST_AGE: Duration = Duration::from_millis(1_200);
/// Minimum interval between two requests to the same peer that has answered.
const PEER_REQUEST_REPEAT: Duration = Duration::from_millis(1_000);
/// Maximum number of peers that are asked at once.
const PEER_REQUESTS_MAX: usize = 16;
/// Minimum interval between two rounds of requests to peers.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// How far the configuration can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Confirmed by the log within the last 2.5 s.
    Confirmed,
    /// The log is unreachable for a majority of the instances, so no order can
    /// have been accepted that is not applied here.
    LogOutage,
    /// Orders that are not applied here may have been accepted.
    Stale,
}

/// Configuration state that a peer reported.
#[derive(Clone, Debug)]
struct PeerConfirmation {
    /// When the request that the peer answered was sent.
    requested_at: Timestamp,
    applied: Option<LogOffset>,
    /// Latest confirmation of `applied`, less the transmission time.
    confirmed_at: Option<Timestamp>,
}

/// Confirmations of the configuration by the log and by peers.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTable {
    applied: Option<LogOffset>,
    confirmed_at: Option<Timestamp>,
    /// When the latest answered read of the log was sent.
    log_reached_at: Option<Timestamp>,
    peers: BTreeMap<InstanceId, PeerConfirmation>,
    recently_alive: BTreeSet<InstanceId>,
    peer_request_due: Timestamp,
}

impl FreshnessTable {
    /// A table without confirmations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a response of the log, after its records were applied.
    /// `confirmed` says whether the applied offset is the head of the log.
    pub fn log_answered(&mut self, sent_at: Timestamp, confirmed: bool) {
        self.log_reached_at = self.log_reached_at.max(Some(sent_at));
        if confirmed {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        }
    }

    /// Sets the applied offset, which never decreases, and adopts confirmations
    /// of peers for offsets up to it.
    pub fn set_applied(&mut self, applied: Option<LogOffset>) {
        if applied > self.applied {
            self.applied = applied;
            self.adopt_peer_confirmations();
        }
    }

    /// Records the gossip of a peer. Only responses count (`requested_at` is when
    /// the request was sent), because the time that other messages waited in
    /// this instance's sockets is unknown.
    pub fn record_peer_confirmation(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        requested_at: Option<Timestamp>,
        gossip: &Gossip,
    ) {
        let Some(requested_at) = requested_at else {
            return;
        };
        let age = |age: Duration| {
            let transmission = now.since(requested_at).max(TRANSMISSION_MIN);
            now.before(age.saturating_add(transmission))
        };
        let confirmed_at = gossip.confirmed_age.and_then(age);
        let confirmation = PeerConfirmation {
            requested_at,
            applied: gossip.applied,
            confirmed_at,
        };
        let previous = self.peers.get(&peer);
        if previous.is_none_or(|previous| previous.requested_at <= requested_at)
        {
            self.peers.insert(peer, confirmation);
            self.adopt_peer_confirmations();
        }
    }

    /// Sets the other instances that were alive within the last ten minutes and
    /// did not leave on purpose.
    pub fn set_recently_alive(&mut self, recently_alive: BTreeSet<InstanceId>) {
        self.peers.retain(|peer, _| recently_alive.contains(peer));
        self.recently_alive = recently_alive;
    }

    /// How far the configuration can be relied on at this time.
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

    /// Whether new requests may be sent.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.freshness(now) != Freshness::Stale
    }

    /// Time of the latest confirmation of the applied offset; `None` if there
    /// was none.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Whether the log has answered within [`CONFIRMATION_MAX_AGE`].
    pub fn log_reached(&self, now: Timestamp) -> bool {
        is_recent(now, self.log_reached_at)
    }

    /// Peers to ask for their confirmations because that of this instance is
    /// aging. In a fleet of more than a few instances, the regular probes do
    /// not reach a majority within [`CONFIRMATION_MAX_AGE`].
    pub fn peers_to_ask(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let fresh = |at: Timestamp| now.since(at) < PEER_REQUEST_AGE;
        if now < self.peer_request_due || self.confirmed_at.is_some_and(fresh) {
            return Vec::new();
        }
        self.peer_request_due = now.after(PEER_REQUEST_INTERVAL);
        let not_asked_recently = |id: &&InstanceId| {
            let at = self.peers.get(*id).map(|peer| peer.requested_at);
            at.filter(|at| now.since(*at) < PEER_REQUEST_REPEAT)
                .is_none()
        };
        let mut ids: Vec<_> = self
            .recently_alive
            .iter()
            .filter(not_asked_recently)
            .collect();
        ids.sort_by_key(|id| self.peers.get(*id).map(|peer| peer.requested_at));
        ids.into_iter().take(PEER_REQUESTS_MAX).cloned().collect()
    }

    fn adopt_peer_confirmations(&mut self) {
        let usable_peers = self.peers.values().filter(|peer| {
            self.applied.is_some() && peer.applied <= self.applied
        });
        let newest = usable_peers.filter_map(|peer| peer.confirmed_at).max();
        self.confirmed_at = self.confirmed_at.max(newest);
    }

    fn is_log_outage(&self, now: Timestamp) -> bool {
        let others = self.recently_alive.len();
        let recent_peers = || {
            let peers = self.peers.iter();
            let alive =
                peers.filter(|(id, _)| self.recently_alive.contains(*id));
            let peers = alive.map(|(_, peer)| peer);
            peers.filter(|peer| is_recent(now, Some(peer.requested_at)))
        };
        let majority = (1 + recent_peers().count()) * 2 > 1 + others;
        // A peer that has applied a later offset proves that an order is
        // missing here.
        let contradicted = recent_peers().any(|peer| {
            is_recent(now, peer.confirmed_at) || peer.applied > self.applied
        });
        !self.log_reached(now) && majority && !contradicted
    }
}

fn is_recent(now: Timestamp, at: Option<Timestamp>) -> bool {
    at.is_some_and(|at| now.since(at) < CONFIRMATION_MAX_AGE)
}
