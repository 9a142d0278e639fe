//! Which upstreams this instance can reach.
//!
//! A failed connection means either that the upstream is gone or that the
//! instance has lost its own links to it. One failure cannot tell the two
//! apart; several can, if they concern different upstreams and none was reached
//! in between. The evidence is kept for each service and failure domain, since
//! a partition may separate an instance from one domain only.
//!
//! Connections are compared by the time at which they were begun: one that was
//! begun before a partition and answered later says nothing about the links
//! now.
//!
//! Doubt is settled by probes, connections that carry no request. While links
//! are lost, further probes show when they are back; then they are used only
//! after [`RETURN_HOLD`], so that the other instances know of it first.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    ids::{DomainId, ServiceName, UpstreamId},
    units::Timestamp,
    value_type,
};

/// Upstreams that must be unreachable, without another one reached, to doubt
/// the links.
const DOUBT_UPSTREAMS: usize = 2;
/// Upstreams of a failure domain that must be unreachable, without another one
/// reached, before the links to it count as lost.
const LOST_UPSTREAMS: usize = 3;
/// Age above which a failed connection no longer raises doubt.
const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(3);
/// Time between two rounds of probes while links are in doubt; at least the
/// connect timeout, so that a round sees the results of the one before.
const DOUBT_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two probes of a failure domain while its links are lost.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Probes of one round, over all groups; a group that got none goes first in the
/// next. It bounds the cost where there are many services and failure domains.
const PROBES_MAX: usize = 32;
/// Time between the first connection after a loss and the use of the links.
/// Longer than the longest interval of heartbeats, so that the shares of limits
/// have been divided anew by then.
pub const RETURN_HOLD: Duration = Duration::from_millis(700);

/// State of the links to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkState {
    /// At least one upstream can be reached, as far as is known.
    Reachable,
    /// Links were lost and an upstream was reached again a moment ago.
    Returning,
    /// Several upstreams were not reached, and none in between.
    Doubtful,
    /// No upstream can be reached.
    Lost,
}

impl LinkState {
    /// All states.
    pub const ALL: [Self; 4] =
        [Self::Reachable, Self::Returning, Self::Doubtful, Self::Lost];

    /// Name of the state in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Reachable => "reachable",
            Self::Returning => "returning",
            Self::Doubtful => "doubtful",
            Self::Lost => "lost",
        }
    }
}

value_type! {
    /// What an instance tells the others of its links.
    #[derive(Default, Eq)]
    pub struct LinkReport {
        /// Services whose upstreams the instance may be unable to reach.
        pub unreachable: Vec<ServiceName>,
    }
}

/// A service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkGroup {
    /// Service of the upstreams.
    pub service: ServiceName,
    /// Failure domain in which they run.
    pub domain: DomainId,
}

/// Usable upstreams by service and failure domain.
pub type LinkTargets = BTreeMap<LinkGroup, BTreeSet<UpstreamId>>;

/// Evidence on the links to one group of upstreams.
#[derive(Clone, Debug, Default)]
struct GroupLinks {
    /// Begin of the newest connection that was established.
    reached_at: Timestamp,
    /// Begin of the newest failed connection to each upstream, since then.
    failed: BTreeMap<UpstreamId, Timestamp>,
    /// Since when the links count as lost.
    lost_since: Option<Timestamp>,
    /// Since when they are back, before they are used.
    returning_since: Option<Timestamp>,
    probed_at: Option<Timestamp>,
}

impl GroupLinks {
    fn recent_failures(&self, now: Timestamp) -> usize {
        let recent = self.failed.values().filter(|begun_at| {
            self.lost_since.is_some()
                || now.since(**begun_at) <= EVIDENCE_MAX_AGE
        });
        recent.count()
    }

    fn is_returning(&self, now: Timestamp) -> bool {
        self.returning_since
            .is_some_and(|since| now.since(since) < RETURN_HOLD)
    }

    fn record_reached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
    ) -> Option<Timestamp> {
        let before = self.reached_at;
        self.reached_at = self.reached_at.max(begun_at);
        self.failed.retain(|_, failed_at| *failed_at > begun_at);
        if self.failed.is_empty() && self.lost_since.take().is_some() {
            self.returning_since = Some(now);
            return Some(before);
        }
        None
    }

    /// Records a failed connection to one of `count` upstreams.
    fn record_failed(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        upstream: &UpstreamId,
        count: usize,
    ) {
        if begun_at <= self.reached_at {
            return;
        }
        self.failed.insert(upstream.clone(), begun_at);
        let is_lost = self.recent_failures(now) >= LOST_UPSTREAMS.min(count);
        if self.lost_since.is_none() && is_lost {
            self.lost_since = Some(now);
            self.returning_since = None;
        }
    }

    /// Upstreams to probe now: the ones that were not tried before the others,
    /// then those whose last failure is oldest.
    fn probe_targets(
        &mut self,
        now: Timestamp,
        upstreams: &BTreeSet<UpstreamId>,
        doubtful: bool,
    ) -> Vec<UpstreamId> {
        let is_lost = self.lost_since.is_some();
        let is_untried = |id: &UpstreamId| !self.failed.contains_key(id);
        let any_untried = upstreams.iter().any(is_untried);
        let (interval, count) = if is_lost && !any_untried {
            (LOST_PROBE_INTERVAL, 1)
        } else if is_lost || doubtful {
            (DOUBT_PROBE_INTERVAL, LOST_UPSTREAMS)
        } else {
            return Vec::new();
        };
        if self.probed_at.is_some_and(|at| now.since(at) < interval) {
            return Vec::new();
        }
        self.probed_at = Some(now);
        let mut targets: Vec<_> = upstreams.iter().collect();
        targets.sort_by_key(|id| self.failed.get(*id));
        targets.into_iter().take(count).cloned().collect()
    }
}

/// Links of this instance to all upstreams.
#[derive(Clone, Debug, Default)]
pub struct ReachabilityTable {
    groups: BTreeMap<LinkGroup, GroupLinks>,
    /// Last state of each service that was logged.
    reported: BTreeMap<ServiceName, LinkState>,
}

/// A change of the links to a service, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkChange {
    /// Service whose links changed.
    pub service: ServiceName,
    /// New state.
    pub state: LinkState,
    /// Upstreams that were not reached since another one was.
    pub unreached: usize,
    /// Failure domains to which the links are lost.
    pub lost_domains: Vec<DomainId>,
}

impl ReachabilityTable {
    /// Records that a connection to an upstream, begun at `begun_at`, was
    /// established. If the links were lost, returns the begin of the last
    /// connection before the loss.
    pub fn record_reached(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        group: LinkGroup,
    ) -> Option<Timestamp> {
        let links = self.groups.entry(group).or_default();
        links.record_reached(now, begun_at)
    }

    /// Records that a connection to an upstream, begun at `begun_at`, was not
    /// established. `count` is the number of upstreams of the group.
    pub fn record_failed(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        group: LinkGroup,
        upstream: &UpstreamId,
        count: usize,
    ) {
        let links = self.groups.entry(group).or_default();
        links.record_failed(now, begun_at, upstream, count);
    }

    /// Drops the evidence on upstreams that are no longer listed.
    pub fn retain(&mut self, targets: &LinkTargets) {
        self.groups.retain(|group, links| {
            let Some(upstreams) = targets.get(group) else {
                return false;
            };
            links.failed.retain(|id, _| upstreams.contains(id));
            true
        });
    }

    /// State of the links to a service.
    pub fn state(
        &self,
        now: Timestamp,
        service: &ServiceName,
        targets: &LinkTargets,
    ) -> LinkState {
        let mut count = 0;
        let mut unreached = 0;
        let mut reached_at = Timestamp::ZERO;
        let mut all_lost = true;
        let mut any_returning = false;
        for (group, upstreams) in of_service(targets, service) {
            count += upstreams.len();
            let links = self.groups.get(group);
            let is_lost = links.is_some_and(|it| it.lost_since.is_some());
            let is_returning = links.is_some_and(|it| it.is_returning(now));
            all_lost &= is_lost || is_returning;
            any_returning |= is_returning;
            if let Some(links) = links {
                reached_at = reached_at.max(links.reached_at);
            }
        }
        for (group, _) in of_service(targets, service) {
            let links = self.groups.get(group);
            unreached += links.map_or(0, |links| {
                let failed = links.failed.values();
                let newer = failed.filter(|begun_at| {
                    **begun_at > reached_at
                        && now.since(**begun_at) <= EVIDENCE_MAX_AGE
                });
                newer.count()
            });
        }
        if count == 0 {
            LinkState::Reachable
        } else if all_lost && any_returning {
            LinkState::Returning
        } else if all_lost {
            LinkState::Lost
        } else if unreached >= DOUBT_UPSTREAMS.min(count) {
            LinkState::Doubtful
        } else {
            LinkState::Reachable
        }
    }

    /// Whether no upstream of a service was reached by a connection begun
    /// after `begun_at`.
    pub fn is_unreached_since(
        &self,
        service: &ServiceName,
        begun_at: Timestamp,
    ) -> bool {
        let groups = self.groups.iter();
        groups
            .filter(|(group, _)| group.service == *service)
            .all(|(_, links)| links.reached_at <= begun_at)
    }

    /// Whether the links to a group are lost, or were until a moment ago.
    pub fn is_lost(&self, now: Timestamp, group: &LinkGroup) -> bool {
        self.groups.get(group).is_some_and(|links| {
            links.lost_since.is_some() || links.is_returning(now)
        })
    }

    /// Since when the links to a group have been lost; `None` if they are not.
    pub fn lost_since(&self, group: &LinkGroup) -> Option<Timestamp> {
        self.groups.get(group)?.lost_since
    }

    /// Whether failures of an upstream of the group may be due to lost links.
    pub fn is_doubtful(&self, now: Timestamp, group: &LinkGroup) -> bool {
        self.is_lost(now, group)
            || self.groups.get(group).is_some_and(|links| {
                links.recent_failures(now) >= DOUBT_UPSTREAMS
            })
    }

    /// What this instance tells the others.
    pub fn report(&self, now: Timestamp, targets: &LinkTargets) -> LinkReport {
        if !self.has_evidence() {
            return LinkReport::default();
        }
        let unreachable = services_of(targets).into_iter().filter(|service| {
            matches!(
                self.state(now, service, targets),
                LinkState::Doubtful | LinkState::Lost
            )
        });
        LinkReport {
            unreachable: unreachable.collect(),
        }
    }

    /// Whether any connection has failed lately or links were lost.
    fn has_evidence(&self) -> bool {
        self.groups
            .values()
            .any(|links| !links.failed.is_empty() || links.lost_since.is_some())
    }

    /// Upstreams to probe now.
    pub fn next_probes(
        &mut self,
        now: Timestamp,
        targets: &LinkTargets,
    ) -> Vec<UpstreamId> {
        if !self.has_evidence() {
            return Vec::new();
        }
        let doubtful: BTreeSet<_> = services_of(targets)
            .into_iter()
            .filter(|service| {
                self.state(now, service, targets) == LinkState::Doubtful
            })
            .collect();
        let mut groups: Vec<_> = targets.iter().collect();
        groups.sort_by_key(|(group, _)| {
            self.groups.get(*group).and_then(|links| links.probed_at)
        });
        let mut probes = Vec::new();
        for (group, upstreams) in groups {
            if probes.len() >= PROBES_MAX {
                break;
            }
            let Some(doubt) =
                self.group_doubt(now, group, upstreams.len(), &doubtful)
            else {
                continue;
            };
            let links = self.groups.entry(group.clone()).or_default();
            probes.extend(links.probe_targets(now, upstreams, doubt));
        }
        probes
    }

    /// Whether the links to a group are in doubt; `None` if there is no reason
    /// to probe them.
    fn group_doubt(
        &self,
        now: Timestamp,
        group: &LinkGroup,
        count: usize,
        doubtful: &BTreeSet<ServiceName>,
    ) -> Option<bool> {
        let links = self.groups.get(group);
        let own = links.is_some_and(|links| {
            links.lost_since.is_none()
                && links.recent_failures(now) >= DOUBT_UPSTREAMS.min(count)
        });
        let is_lost = links.is_some_and(|links| links.lost_since.is_some());
        let doubt = own || doubtful.contains(&group.service);
        (doubt || is_lost).then_some(doubt)
    }

    /// Returns the services whose state has changed since the last call.
    pub fn take_changes(
        &mut self,
        now: Timestamp,
        targets: &LinkTargets,
    ) -> Vec<LinkChange> {
        let is_calm = |state: &LinkState| *state == LinkState::Reachable;
        if !self.has_evidence() && self.reported.values().all(is_calm) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for service in services_of(targets) {
            let state = self.state(now, &service, targets);
            let before = self.reported.insert(service.clone(), state);
            if before.unwrap_or(LinkState::Reachable) == state {
                continue;
            }
            let of_service =
                self.groups.iter().filter(|(it, _)| it.service == service);
            let unreached =
                of_service.clone().map(|(_, links)| links.failed.len());
            let lost =
                of_service.filter(|(_, links)| links.lost_since.is_some());
            changes.push(LinkChange {
                state,
                unreached: unreached.sum(),
                lost_domains: lost
                    .map(|(group, _)| group.domain.clone())
                    .collect(),
                service,
            });
        }
        changes
    }
}

fn services_of(targets: &LinkTargets) -> BTreeSet<ServiceName> {
    targets.keys().map(|group| group.service.clone()).collect()
}

fn of_service<'a>(
    targets: &'a LinkTargets,
    service: &'a ServiceName,
) -> impl Iterator<Item = (&'a LinkGroup, &'a BTreeSet<UpstreamId>)> {
    targets
        .iter()
        .filter(move |(group, _)| group.service == *service)
}
