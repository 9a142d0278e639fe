//! Decides how many engines of a service should run in each failure domain.
//!
//! The instance that holds the duty asks for a decision once a second. Engines
//! cost by the second and need time to start, so the decision is slow on
//! purpose: a flood that is over before a new engine serves is left to the
//! engines that are there. The number is kept whenever the demand or the list of
//! engines is not known well enough. A failure domain with fewer engines than the
//! operators' minimum is brought to it at once.
//!
//! The listed engines are the truth. Orders of this process only bridge the time
//! until their effect is listed, and a new holder starts without any: it decides
//! after it has watched the demand for longer than an engine needs to start, so
//! that the orders of an earlier holder have taken effect by then.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use super::{load_table::LONG_DEMAND_WINDOW, routing_config::ScalingBounds};
use crate::{
    ids::{DomainId, ServiceName},
    units::Timestamp,
};

/// Share of the engines' time above which more engines are needed.
const OVERLOAD_SHARE: f64 = 0.9;
/// Share of the time of the smaller number below which an engine is not needed.
const LOW_SHARE: f64 = 2.0 / 3.0;
/// Share of the engines' time for which engines are ordered. It is between the
/// two bounds, so that no order leads to the next one.
const TARGET_SHARE: f64 = 0.75;
/// Boot times for which demand has to be low before an engine is removed.
const LASTING_BOOTS: u32 = 4;
/// Boot times after which an order counts as lost if its engines are not listed.
const ORDER_BOOTS: u32 = 2;
/// Samples of the demand kept for each boot time.
const SAMPLES_PER_BOOT: u32 = 16;
/// Shortest time without a decision after which it begins anew. Decisions are
/// made once a second; a busy instance delays some.
const GAP_MIN: Duration = Duration::from_secs(3);
/// One in this many members may be without a recent report.
const UNREPORTED_PART: usize = 4;

/// Engine time that the callers' prompts ask for, as the number of engines that
/// it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    /// Prefill of the prompts that arrive.
    pub prefill: f64,
    /// Decoding of the requests in flight.
    pub decode: f64,
    /// Fewest engines whose slots and memory hold the requests in flight and
    /// their reservations.
    pub occupied: u32,
}

impl EngineDemand {
    fn engines(&self) -> f64 {
        self.prefill + self.decode
    }
}

/// Engines of a service in one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines in the list.
    pub listed: u32,
    /// Warm engines that take requests.
    pub ready: u32,
    /// Cold engines that take requests.
    pub cold: u32,
    /// Engines that complete their requests and leave.
    pub leaving: u32,
}

impl EngineCounts {
    /// Engines that take requests.
    pub fn serving(&self) -> u32 {
        self.ready.saturating_add(self.cold)
    }
}

/// Instances of one failure domain, without those that said that they leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportCounts {
    /// Instances that have not been removed from the members.
    pub known: usize,
    /// Those among them with recent reports.
    pub recent: usize,
}

/// What is known of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingObservation {
    /// Bounds on the number of engines in each failure domain.
    pub bounds: ScalingBounds,
    /// Demand of the callers of all instances; `None` if the reports do not
    /// tell it.
    pub demand: Option<EngineDemand>,
    /// Engines by failure domain.
    pub engines: BTreeMap<DomainId, EngineCounts>,
    /// Closed failure domains.
    pub closed: BTreeSet<DomainId>,
    /// Instances by failure domain.
    pub reports: BTreeMap<DomainId, ReportCounts>,
    /// Whether the list of engines is complete and not outdated.
    pub is_list_current: bool,
}

/// Why the number of engines is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScaleReason {
    /// The domain has fewer engines than the operators' minimum.
    BelowMin,
    /// Demand has exceeded the capacity of the engines for long enough.
    Overload,
    /// The same, while the service has no engines, or may not use them, in a
    /// domain in which it had some.
    DomainLost,
    /// Fewer engines have sufficed for long enough.
    LowDemand,
}

impl ScaleReason {
    /// The reason as a string slice.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BelowMin => "below_min",
            Self::Overload => "overload",
            Self::DomainLost => "domain_lost",
            Self::LowDemand => "low_demand",
        }
    }
}

/// How the demand for a service compares with its engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScalingState {
    /// Reports are missing or the list of engines is outdated.
    #[default]
    NoData,
    /// The number of engines fits.
    Steady,
    /// Demand exceeds nine tenths of the capacity.
    Overload,
    /// One engine fewer would suffice.
    LowDemand,
}

impl ScalingState {
    /// All states.
    pub const ALL: [Self; 4] =
        [Self::NoData, Self::Steady, Self::Overload, Self::LowDemand];

    /// The state as a string slice.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoData => "no_data",
            Self::Steady => "steady",
            Self::Overload => "overload",
            Self::LowDemand => "low_demand",
        }
    }
}

/// An order for the number of engines of a service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Service whose engines are ordered.
    pub service: ServiceName,
    /// Failure domain in which they run.
    pub domain: DomainId,
    /// Number of engines that should run there.
    pub count: u32,
    /// Engines that take requests there now.
    pub serving: u32,
    /// Why the number is changed.
    pub reason: ScaleReason,
}

/// Numbers of engines in one failure domain, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainStatus {
    /// Engines that take requests.
    pub present: u32,
    /// Engines that are expected once the orders in effect are carried out.
    pub wanted: u32,
    /// Number in the last order; `None` if this holder has placed none.
    pub ordered: Option<u32>,
}

/// Result of one decision on a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Orders to send now.
    pub orders: Vec<ScaleOrder>,
    /// How the demand compares with the engines.
    pub state: ScalingState,
    /// Smoothed demand, as a number of busy engines.
    pub demand: f64,
    /// Numbers by failure domain.
    pub domains: BTreeMap<DomainId, DomainStatus>,
}

/// The last order for one failure domain.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    at: Timestamp,
    count: u32,
    grows: bool,
    /// Whether the platform has refused it.
    refused: bool,
}

impl PlacedOrder {
    /// Engines to expect in a domain in which `serving` take requests.
    fn expected(&self, now: Timestamp, boot: Duration, serving: u32) -> u32 {
        if self.refused || now.since(self.at) >= boot * ORDER_BOOTS {
            serving
        } else if self.grows {
            serving.max(self.count)
        } else {
            serving.min(self.count)
        }
    }
}

/// Demand at one time, as a number of busy engines.
#[derive(Clone, Copy, Debug)]
struct DemandSample {
    at: Timestamp,
    engines: f64,
}

/// Demand and orders of one service, as its holder has seen them.
#[derive(Clone, Debug, Default)]
struct ServiceScaling {
    /// Samples of the last boot time.
    samples: VecDeque<DemandSample>,
    /// Since when demand has exceeded the capacity.
    overload_since: Option<Timestamp>,
    /// Since when one engine fewer has sufficed.
    low_since: Option<Timestamp>,
    orders: BTreeMap<DomainId, PlacedOrder>,
    /// Failure domains in which the service had engines.
    seen_domains: BTreeSet<DomainId>,
}

/// Decides on the number of engines of all services.
#[derive(Clone, Debug, Default)]
pub struct EngineScaling {
    services: BTreeMap<ServiceName, ServiceScaling>,
}

impl EngineScaling {
    /// Drops the state of services that are gone or are not scaled any more.
    pub fn retain(&mut self, is_scaled: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_scaled(service));
    }

    /// Decides on one service; to be called about once a second. The orders
    /// count as placed.
    pub fn decide(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        observed: &ScalingObservation,
    ) -> ScalingDecision {
        let scaling = self.services.entry(service.clone()).or_default();
        scaling.decide(now, service, observed)
    }

    /// Records that the platform has refused an order, so that its engines are
    /// not expected. The next order still keeps its distance.
    pub fn record_refusal(&mut self, order: &ScaleOrder) {
        let scaling = self.services.get_mut(&order.service);
        let placed = scaling.and_then(|it| it.orders.get_mut(&order.domain));
        if let Some(placed) = placed {
            placed.refused = true;
        }
    }
}

impl ServiceScaling {
    fn decide(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        observed: &ScalingObservation,
    ) -> ScalingDecision {
        let boot = observed.bounds.boot;
        let present = observed.engines.iter();
        let present = present.filter(|(_, engines)| engines.serving() > 0);
        let present: BTreeSet<_> = present.map(|(id, _)| id.clone()).collect();
        let demand = observed.demand.filter(|_| {
            observed.is_list_current && self.has_reports(observed, &present)
        });
        let last = self.samples.back().map(|sample| sample.at);
        let gap_max = GAP_MIN.max(boot / 2);
        let is_gap = last.is_some_and(|last| now.since(last) > gap_max);
        if is_gap || demand.is_none() {
            // Demand before a gap says nothing of that in it.
            self.samples.clear();
            self.overload_since = None;
            self.low_since = None;
        }
        let open = self.open_domains(now, observed);
        let raised = match observed.is_list_current {
            true => Self::raise_to_min(observed.bounds, &open),
            false => Vec::new(),
        };
        let Some(demand) = demand else {
            let reason = ScaleReason::BelowMin;
            let orders = self.place(now, service, &open, raised, reason);
            return self.decision(now, observed, orders);
        };
        self.seen_domains.extend(present);
        self.add_sample(now, boot, demand.engines());
        // Half a boot time evens out single long prompts.
        let smoothed = self.mean_demand(now, boot / 2);
        let serving = sum(open.values().map(|it| it.engines.serving()));
        let is_overloaded = smoothed > OVERLOAD_SHARE * f64::from(serving);
        restart_clock(&mut self.overload_since, now, is_overloaded);
        // Only warm engines that are meant to stay can replace another one.
        let warm = sum(open.values().map(|it| it.warm()));
        let smaller = warm.saturating_sub(1);
        let suffices = smoothed < LOW_SHARE * f64::from(smaller)
            && demand.occupied <= smaller;
        restart_clock(&mut self.low_since, now, suffices);
        let (reason, counts) = match (self.overload_since, self.low_since) {
            _ if !raised.is_empty() => (ScaleReason::BelowMin, raised),
            (Some(since), _) => {
                let mean = self.mean_demand(now, boot);
                let lasted = now.since(since);
                let reason = match self.seen_domains.len() > open.len() {
                    true => ScaleReason::DomainLost,
                    false => ScaleReason::Overload,
                };
                (reason, Self::grow(lasted, mean, observed.bounds, &open))
            }
            (None, Some(since)) if now.since(since) >= boot * LASTING_BOOTS => {
                (ScaleReason::LowDemand, Self::shrink(observed.bounds, &open))
            }
            _ => (ScaleReason::LowDemand, Vec::new()),
        };
        let orders = self.place(now, service, &open, counts, reason);
        self.decision(now, observed, orders)
    }

    /// Creates the orders for these numbers and counts them as placed.
    fn place(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        open: &BTreeMap<DomainId, OpenDomain>,
        counts: Vec<(DomainId, u32)>,
        reason: ScaleReason,
    ) -> Vec<ScaleOrder> {
        let orders = counts.into_iter().map(|(domain, count)| ScaleOrder {
            service: service.clone(),
            count,
            serving: open[&domain].engines.serving(),
            domain,
            reason,
        });
        let orders: Vec<_> = orders.collect();
        for order in &orders {
            let placed = PlacedOrder {
                at: now,
                count: order.count,
                grows: reason != ScaleReason::LowDemand,
                refused: false,
            };
            self.orders.insert(order.domain.clone(), placed);
        }
        orders
    }

    /// Whether enough instances report their demand. Instances in a domain that
    /// has also lost its engines are gone and do not count as silent.
    fn has_reports(
        &self,
        observed: &ScalingObservation,
        present: &BTreeSet<DomainId>,
    ) -> bool {
        let is_lost = |domain: &DomainId, reports: &ReportCounts| {
            reports.recent == 0
                && self.seen_domains.contains(domain)
                && !present.contains(domain)
        };
        let counted = observed
            .reports
            .iter()
            .filter(|(domain, reports)| !is_lost(domain, reports));
        let (mut known, mut recent) = (0, 0);
        for (_, reports) in counted {
            known += reports.known;
            recent += reports.recent;
        }
        known.saturating_sub(recent) * UNREPORTED_PART <= known
    }

    fn add_sample(&mut self, now: Timestamp, boot: Duration, engines: f64) {
        let last = self.samples.back();
        let pause = boot / SAMPLES_PER_BOOT;
        if last.is_some_and(|last| now.since(last.at) < pause) {
            return;
        }
        self.samples.push_back(DemandSample { at: now, engines });
        let is_old = |sample: &DemandSample| now.since(sample.at) > boot;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    fn mean_demand(&self, now: Timestamp, window: Duration) -> f64 {
        let samples = self.samples.iter();
        let recent: Vec<_> = samples
            .filter(|sample| now.since(sample.at) <= window)
            .map(|sample| sample.engines)
            .collect();
        recent.iter().sum::<f64>() / recent.len().max(1) as f64
    }

    /// Failure domains in which engines take requests and may be ordered.
    fn open_domains(
        &self,
        now: Timestamp,
        observed: &ScalingObservation,
    ) -> BTreeMap<DomainId, OpenDomain> {
        let boot = observed.bounds.boot;
        let open = observed.engines.iter().filter(|(domain, engines)| {
            engines.serving() > 0 && !observed.closed.contains(domain)
        });
        open.map(|(domain, engines)| {
            let placed = self.orders.get(domain);
            let serving = engines.serving();
            let expected = placed
                .map_or(serving, |placed| placed.expected(now, boot, serving));
            let is_resting =
                placed.is_some_and(|placed| now.since(placed.at) < boot);
            let open = OpenDomain {
                engines: *engines,
                expected,
                is_resting,
            };
            (domain.clone(), open)
        })
        .collect()
    }

    /// Numbers to order where a domain has fewer engines than the minimum, which
    /// holds at any demand.
    fn raise_to_min(
        bounds: ScalingBounds,
        open: &BTreeMap<DomainId, OpenDomain>,
    ) -> Vec<(DomainId, u32)> {
        let least = bounds.min.min(bounds.max);
        let below = open
            .iter()
            .filter(|(_, open)| !open.is_resting && open.expected < least);
        below.map(|(domain, _)| (domain.clone(), least)).collect()
    }

    /// Numbers to order after demand has exceeded the capacity for some time.
    fn grow(
        lasted: Duration,
        demand: f64,
        bounds: ScalingBounds,
        open: &BTreeMap<DomainId, OpenDomain>,
    ) -> Vec<(DomainId, u32)> {
        if lasted < overload_min(bounds.boot) {
            return Vec::new();
        }
        let expected = sum(open.values().map(|it| it.expected));
        let serving = sum(open.values().map(|it| it.engines.serving()));
        // A conversion from f64 saturates. Doubling bounds what a wrong report
        // can order at once.
        let wanted = (demand / TARGET_SHARE).ceil() as u32;
        let wanted = wanted.min(serving.saturating_mul(2));
        let mut missing = wanted.saturating_sub(expected);
        let mut counts: BTreeMap<_, _> = open
            .iter()
            .filter(|(_, open)| !open.is_resting)
            .map(|(domain, open)| (domain, open.expected))
            .collect();
        while missing > 0 {
            let growing = counts.iter_mut().filter(|it| *it.1 < bounds.max);
            let next = growing.min_by_key(|it| *it.1);
            let Some((_, count)) = next else {
                break;
            };
            missing -= 1;
            *count += 1;
        }
        let changed = counts
            .into_iter()
            .filter(|(domain, count)| *count > open[*domain].expected);
        changed
            .map(|(domain, count)| (domain.clone(), count))
            .collect()
    }

    /// Number to order after fewer engines have sufficed for some time: one
    /// engine less in the domain that has the most.
    fn shrink(
        bounds: ScalingBounds,
        open: &BTreeMap<DomainId, OpenDomain>,
    ) -> Vec<(DomainId, u32)> {
        // Engines that are not warm yet show neither what they carry nor
        // whether they remain.
        if open.values().any(|it| it.engines.cold > 0) {
            return Vec::new();
        }
        // A domain without engines could get none back: a service is ordered
        // only where it runs.
        let least = bounds.min.max(1);
        let candidates = open.iter().filter(|(_, open)| {
            !open.is_resting
                && open.engines.leaving == 0
                && open.expected > least
        });
        let largest = candidates.max_by_key(|(_, open)| open.expected);
        largest
            .map(|(domain, open)| (domain.clone(), open.expected - 1))
            .into_iter()
            .collect()
    }

    fn decision(
        &self,
        now: Timestamp,
        observed: &ScalingObservation,
        orders: Vec<ScaleOrder>,
    ) -> ScalingDecision {
        let boot = observed.bounds.boot;
        let domains = observed.engines.iter().map(|(domain, engines)| {
            let placed = self.orders.get(domain);
            let present = engines.serving();
            let status = DomainStatus {
                present,
                wanted: placed.map_or(present, |placed| {
                    placed.expected(now, boot, present)
                }),
                ordered: placed.map(|placed| placed.count),
            };
            (domain.clone(), status)
        });
        let state = match (self.overload_since, self.low_since) {
            _ if self.samples.is_empty() => ScalingState::NoData,
            (Some(_), _) => ScalingState::Overload,
            (None, Some(_)) => ScalingState::LowDemand,
            (None, None) => ScalingState::Steady,
        };
        ScalingDecision {
            domains: domains.collect(),
            orders,
            state,
            demand: self.mean_demand(now, boot / 2),
        }
    }
}

/// Engines of a failure domain in which engines may be ordered.
#[derive(Clone, Copy, Debug)]
struct OpenDomain {
    engines: EngineCounts,
    /// Engines that take requests once the last order is carried out.
    expected: u32,
    /// Whether the last order is too recent for another one.
    is_resting: bool,
}

impl OpenDomain {
    /// Warm engines that no order removes.
    fn warm(&self) -> u32 {
        self.engines.ready.min(self.expected)
    }
}

/// Time for which demand has to exceed the capacity before engines are ordered.
/// A flood of up to one and a half boot times is over, or nearly so, before an
/// engine that was ordered in it serves. The averages prolong it by half a boot
/// time and by the window of the reports.
fn overload_min(boot: Duration) -> Duration {
    let flood_max = boot * 3 / 2;
    flood_max + boot / 2 + LONG_DEMAND_WINDOW
}

/// Starts a clock when a condition begins to hold and clears it at its end.
fn restart_clock(clock: &mut Option<Timestamp>, now: Timestamp, holds: bool) {
    if holds {
        clock.get_or_insert(now);
    } else {
        *clock = None;
    }
}

fn sum(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}
