//! Orders for the number of engines, against a stand-in of the platform that
//! starts and stops engines in virtual time.

use std::collections::BTreeMap;

use borageline_lib::{
    gateway::{
        engine_scaling::{
            EngineCounts, EngineDemand, EngineScaling, ReportCounts,
            ScaleOrder, ScaleReason, ScalingDecision, ScalingObservation,
            ScalingState,
        },
        gateway_core::GatewayCore,
        load_table::{PrefillDemand, UpstreamLoad},
        routing_config::{RoutingConfig, ScalingBounds},
        store_era::StoreEra,
        upstream_table::UpstreamState,
    },
    ids::DomainId,
    units::Timestamp,
};
use proptest::prelude::*;

use crate::fixtures::{at, config, core, entry, heartbeat, id, ms};

const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];
/// Time until an ordered engine serves, in milliseconds.
const BOOT_MS: u64 = 8_000;
/// Time between two decisions, in milliseconds.
const TICK_MS: u64 = 1_000;
/// Instances in each domain.
const INSTANCES: usize = 10;

/// A platform that carries out orders within their bounds.
struct StandIn {
    scaling: EngineScaling,
    bounds: ScalingBounds,
    now_ms: u64,
    /// Engines that take requests, by domain.
    serving: BTreeMap<DomainId, u32>,
    /// Engines that will serve, with the time from which they do.
    starting: Vec<(u64, DomainId, u32)>,
    /// Numbers to which domains will be reduced, with the time.
    stopping: Vec<(u64, DomainId, u32)>,
    /// Time until engines that are not wanted any more leave.
    stop_ms: u64,
    /// Engines of the first domain that are listed and leave.
    leaving: u32,
    closed: Vec<DomainId>,
    reports: BTreeMap<DomainId, ReportCounts>,
    /// Cold engines among the serving ones of each domain.
    cold: u32,
    is_list_current: bool,
    is_demand_known: bool,
    /// Engines that hold requests in flight.
    occupied: u32,
    /// Orders with the time at which they were placed.
    orders: Vec<(Timestamp, ScaleOrder)>,
    last: ScalingDecision,
}

impl StandIn {
    /// Platform with `count` engines in each domain.
    fn new(count: u32, min: u32, max: u32) -> Self {
        let domains = DOMAINS.map(id::<DomainId>);
        let all = ReportCounts {
            known: INSTANCES,
            recent: INSTANCES,
        };
        Self {
            scaling: EngineScaling::default(),
            bounds: ScalingBounds {
                min,
                max,
                boot: ms(BOOT_MS),
            },
            now_ms: 0,
            serving: domains.iter().map(|it| (it.clone(), count)).collect(),
            starting: Vec::new(),
            stopping: Vec::new(),
            stop_ms: 0,
            leaving: 0,
            closed: Vec::new(),
            reports: domains.iter().map(|it| (it.clone(), all)).collect(),
            cold: 0,
            is_list_current: true,
            is_demand_known: true,
            occupied: 0,
            orders: Vec::new(),
            last: ScalingDecision::default(),
        }
    }

    fn observation(&self, demand: f64) -> ScalingObservation {
        let counts = self.serving.iter().map(|(domain, serving)| {
            let cold = self.cold.min(*serving);
            let is_first = *domain == id("domain-a");
            let leaving = if is_first { self.leaving } else { 0 };
            let counts = EngineCounts {
                listed: serving + leaving,
                ready: serving - cold,
                cold,
                leaving,
            };
            (domain.clone(), counts)
        });
        let demand = EngineDemand {
            prefill: demand / 2.0,
            decode: demand / 2.0,
            occupied: self.occupied,
        };
        ScalingObservation {
            bounds: self.bounds,
            demand: self.is_demand_known.then_some(demand),
            engines: counts.filter(|it| it.1.listed > 0).collect(),
            closed: self.closed.iter().cloned().collect(),
            reports: self.reports.clone(),
            is_list_current: self.is_list_current,
        }
    }

    /// Passes one second in which the callers keep `demand` engines busy.
    fn tick(&mut self, demand: f64) {
        self.now_ms += TICK_MS;
        let now_ms = self.now_ms;
        for (_, domain, count) in
            self.starting.extract_if(.., |it| it.0 <= now_ms)
        {
            *self.serving.entry(domain).or_default() += count;
        }
        for (_, domain, count) in
            self.stopping.extract_if(.., |it| it.0 <= now_ms)
        {
            let serving = self.serving.entry(domain).or_default();
            *serving = count.min(*serving);
        }
        let now = at(self.now_ms);
        let observed = self.observation(demand);
        let service = id("models");
        self.last = self.scaling.decide(now, &service, &observed);
        for order in self.last.orders.clone() {
            self.carry_out(&order);
            self.orders.push((now, order));
        }
    }

    fn carry_out(&mut self, order: &ScaleOrder) {
        let count = order.count.clamp(self.bounds.min, self.bounds.max);
        let serving = self.serving.entry(order.domain.clone()).or_default();
        let starting = self.starting.iter().filter(|it| it.1 == order.domain);
        let present = *serving + starting.map(|it| it.2).sum::<u32>();
        if count > present {
            let from = self.now_ms + BOOT_MS;
            let domain = order.domain.clone();
            self.starting.push((from, domain, count - present));
        } else if self.stop_ms > 0 {
            let at = self.now_ms + self.stop_ms;
            self.stopping.push((at, order.domain.clone(), count));
        } else {
            *serving = count.min(*serving);
        }
    }

    /// Passes some seconds at one demand.
    fn run(&mut self, seconds: u64, demand: f64) {
        for _ in 0..seconds {
            self.tick(demand);
        }
    }

    /// Passes a flood of 9.5 s of `peak`, as averages over `window` seconds show
    /// it, and then `after` seconds of `demand`.
    fn flood(&mut self, demand: f64, peak: f64, window: u64, after: u64) {
        for second in 1..=after + 10 {
            let end = second as f64;
            let start = end - window as f64;
            let overlap = (end.min(9.5) - start.max(0.0)).max(0.0);
            let share = overlap / window as f64;
            self.tick(demand + (peak - demand) * share);
        }
    }

    fn total(&self) -> u32 {
        self.serving.values().sum()
    }

    fn lose_domain(&mut self) {
        self.serving.remove(&id::<DomainId>("domain-c"));
        let reports = self.reports.get_mut(&id::<DomainId>("domain-c"));
        reports.expect("all domains have instances").recent = 0;
    }
}

/// Load pattern: steady. Guards against orders without a need.
#[test]
fn test_engine_scaling_steady_keeps_number() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.run(600, 48.0);
    assert_eq!(platform.orders, []);
    assert_eq!(platform.last.state, ScalingState::Steady);
}

/// Load pattern: waves of one minute that the engines carry. Guards against
/// engines that are removed in each trough and missing at each peak.
#[test]
fn test_engine_scaling_wave_keeps_number() {
    let mut platform = StandIn::new(20, 10, 40);
    for second in 0..600 {
        let phase = f64::from(second) * std::f64::consts::TAU / 60.0;
        platform.tick(40.0 + 12.0 * phase.sin());
    }
    assert_eq!(platform.orders, []);
}

/// Load pattern: floods of 9.5 s at 2.8 times the demand, of short prompts
/// (averaged over 1 s) and of long ones (4 s), at any load before. Guards
/// against engines that serve when the flood is over.
#[test]
fn test_engine_scaling_flood_orders_nothing() {
    for percent in (20..=89).step_by(3) {
        for window in [1, 4] {
            let mut platform = StandIn::new(20, 20, 80);
            let demand = 60.0 * f64::from(percent) / 100.0;
            platform.run(60, demand);
            platform.flood(demand, 2.8 * demand, window, 60);
            assert_eq!(platform.orders, [], "{percent} %, {window} s");
        }
    }
}

/// Load pattern: a flood of short prompts followed at once by one of long
/// prompts, with fewer engines than `min`. Guards against an order for the flood
/// beside those that bring the domains to `min`.
#[test]
fn test_engine_scaling_double_flood_below_min_orders_min_only() {
    let mut platform = StandIn::new(18, 26, 80);
    platform.run(60, 40.0);
    platform.run(20, 112.0);
    platform.run(120, 40.0);
    let counts: Vec<_> = platform.orders.iter().map(|it| it.1.count).collect();
    assert_eq!(counts, [26; 3]);
}

/// Load pattern: a flood after a quiet time in which engines were removed.
/// Guards against engines that are ordered for the flood, and against a removal
/// during it.
#[test]
fn test_engine_scaling_flood_after_quiet_orders_nothing() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.run(600, 12.0);
    assert_eq!(platform.total(), 30);
    let before = platform.orders.len();
    platform.flood(12.0, 33.6, 4, 60);
    assert_eq!(platform.orders.len(), before);
}

/// Load pattern: low demand that lasts. Guards against a removal before it has
/// lasted for four boot times, and against several engines in one step.
#[test]
fn test_engine_scaling_low_demand_removes_one_by_one() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.run(60, 48.0);
    platform.run(33, 20.0);
    assert_eq!(platform.orders, []);
    platform.run(200, 20.0);
    let mut removed = 0;
    for (_, order) in &platform.orders {
        assert_eq!(order.reason, ScaleReason::LowDemand);
        assert_eq!(order.count + 1, order.serving);
        removed += 1;
    }
    // 20 busy engines are two thirds of 30.
    assert_eq!((removed, platform.total()), (29, 31));
}

/// Failure: engines take 12 s to leave. Guards against a second removal on the
/// capacity of an engine that is about to go.
#[test]
fn test_engine_scaling_slow_removal_counts_once() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.stop_ms = 12_000;
    // Above two thirds of 58 engines, below those of 59.
    platform.run(120, 38.9);
    assert_eq!(platform.orders.len(), 1);
    assert_eq!(platform.total(), 59);
}

/// Failure: an engine is leaving. Guards against an order that counts on the
/// others of its domain while their number is about to change.
#[test]
fn test_engine_scaling_leaving_engine_delays_removal() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.leaving = 1;
    platform.run(200, 4.0);
    let orders = &platform.orders;
    assert_ne!(orders.len(), 0);
    assert!(orders.iter().all(|it| it.1.domain != id("domain-a")));
    platform.leaving = 0;
    platform.run(100, 4.0);
    let mut orders = platform.orders.iter();
    assert!(orders.any(|it| it.1.domain == id("domain-a")));
}

/// Load pattern: lasting overload with a moment of low demand in every 5 s.
/// Guards against an order that never comes since the overload is taken for
/// many short ones.
#[test]
fn test_engine_scaling_uneven_overload_orders_engines() {
    let mut platform = StandIn::new(20, 10, 40);
    for second in 0..60 {
        platform.tick(if second % 5 == 0 { 40.0 } else { 66.0 });
    }
    assert_ne!(platform.orders, []);
}

/// Load pattern: growth that lasts. Guards against callers that find too few
/// engines for good, and against more engines than they need.
#[test]
fn test_engine_scaling_growth_orders_engines() {
    let mut platform = StandIn::new(20, 10, 40);
    for second in 0..300 {
        platform.tick(45.0 + f64::from(second) * 0.1);
    }
    assert!(platform.orders.iter().all(|(_, order)| {
        order.reason == ScaleReason::Overload && order.count > order.serving
    }));
    platform.run(60, 75.0);
    let total = f64::from(platform.total());
    assert!(75.0 < 0.9 * total, "{total} engines");
    assert!(75.0 > 2.0 / 3.0 * total, "{total} engines");
}

/// Load pattern: a jump that lasts. Guards against an order later than 24 s
/// after the jump, 32 s with the start of the engines.
#[test]
fn test_engine_scaling_jump_orders_in_time() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.run(60, 45.0);
    platform.run(24, 66.0);
    assert_eq!(platform.orders.len(), 3);
    let wanted: u32 = platform.orders.iter().map(|it| it.1.count).sum();
    assert_eq!(wanted, 88);
}

/// Load pattern: low demand with fewer engines than `min`. Guards against a
/// domain that is left below the operators' minimum, an order other than the
/// minimum, and one that is repeated while its engines start.
#[test]
fn test_engine_scaling_below_min_is_raised_at_once() {
    let mut platform = StandIn::new(18, 26, 40);
    platform.tick(4.0);
    let orders = platform.orders.iter();
    assert_eq!(orders.map(|it| it.1.count).collect::<Vec<_>>(), [26; 3]);
    assert!(platform.orders.iter().all(|(time, order)| {
        *time == at(TICK_MS) && order.reason == ScaleReason::BelowMin
    }));
    platform.run(900, 4.0);
    assert_eq!(platform.orders.len(), 3);
    assert_eq!(platform.total(), 78);
}

/// Failure: the demand is unknown while a domain has fewer engines than `min`.
/// Guards against a minimum that waits for reports, which it does not need.
#[test]
fn test_engine_scaling_below_min_needs_no_reports() {
    let mut platform = StandIn::new(18, 26, 40);
    platform.is_demand_known = false;
    platform.run(60, 4.0);
    assert_eq!(platform.orders.len(), 3);
}

/// Failure: the list of engines is outdated. Guards against an order in place of
/// engines that are only missing in the list.
#[test]
fn test_engine_scaling_below_min_needs_current_list() {
    let mut platform = StandIn::new(18, 26, 40);
    platform.is_list_current = false;
    platform.run(60, 4.0);
    assert_eq!(platform.orders, []);
}

/// Failure: the machines of a domain are lost, instances and engines. Guards
/// against its lost instances being taken for missing data, and against orders
/// in the lost domain.
#[test]
fn test_engine_scaling_lost_domain_is_replaced() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.run(60, 42.0);
    platform.lose_domain();
    platform.run(60, 42.0);
    let orders = &platform.orders;
    assert!(orders.iter().all(|(_, order)| {
        order.domain != id("domain-c")
            && order.reason == ScaleReason::DomainLost
    }));
    // 42 busy engines ask for 56.
    assert_eq!(platform.total(), 56);
}

/// Failure: a domain is closed. Guards against orders in it and against a count
/// of its engines as capacity.
#[test]
fn test_engine_scaling_closed_domain_gets_no_order() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.run(60, 42.0);
    platform.closed.push(id("domain-a"));
    platform.run(60, 42.0);
    let orders = &platform.orders;
    assert!(orders.iter().all(|it| it.1.domain != id("domain-a")));
    assert_eq!(platform.total(), 20 + 56);
}

/// Failure: engines have restarted cold. Guards against the removal of engines
/// while those that should carry the load are cold, and against orders in place
/// of engines that are about to be warm.
#[test]
fn test_engine_scaling_cold_engines_change_nothing() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.cold = 8;
    for demand in [10.0, 50.0, 30.0] {
        platform.run(120, demand);
        assert_eq!(platform.orders, [], "demand of {demand}");
    }
    // The 36 warm engines had no spare one.
    platform.cold = 0;
    platform.run(20, 30.0);
    assert_eq!(platform.orders, []);
}

/// Failure: reports or the list are missing. Guards against orders that follow
/// from what is not known, and against a decision on demand before the gap.
#[test]
fn test_engine_scaling_no_data_keeps_number() {
    type Change = fn(&mut StandIn, bool);
    let gaps: [Change; 3] = [
        |platform, is_missing| platform.is_list_current = !is_missing,
        |platform, is_missing| platform.is_demand_known = !is_missing,
        |platform, is_missing| {
            for reports in platform.reports.values_mut() {
                reports.recent = INSTANCES - usize::from(is_missing) * 3;
            }
        },
    ];
    for set_missing in gaps {
        for demand in [4.0, 66.0] {
            let mut platform = StandIn::new(20, 10, 40);
            platform.run(18, demand);
            set_missing(&mut platform, true);
            platform.run(120, demand);
            assert_eq!(platform.last.state, ScalingState::NoData);
            set_missing(&mut platform, false);
            platform.run(18, demand);
            assert_eq!(platform.orders, [], "demand of {demand}");
            platform.run(60, demand);
            assert_ne!(platform.orders, [], "demand of {demand}");
        }
    }
}

/// Failure: reports are missing for 2 s again and again. Guards against a
/// decision on demand that was never observed for long enough.
#[test]
fn test_engine_scaling_short_gaps_keep_number() {
    for demand in [4.0, 66.0] {
        let mut platform = StandIn::new(20, 10, 40);
        for _ in 0..10 {
            platform.run(18, demand);
            platform.is_demand_known = false;
            platform.run(2, demand);
            platform.is_demand_known = true;
        }
        assert_eq!(platform.orders, [], "demand of {demand}");
    }
}

/// Failure: the holder makes no decision for some time. Guards against demand
/// before and after the gap that is taken for demand in it.
#[test]
fn test_engine_scaling_gap_begins_anew() {
    for demand in [4.0, 66.0] {
        let mut platform = StandIn::new(20, 10, 40);
        platform.run(10, demand);
        platform.now_ms += 60_000;
        platform.run(10, demand);
        assert_eq!(platform.orders, [], "demand of {demand}");
    }
}

/// Failure: a quarter of the instances or fewer are silent. Guards against a
/// decision that waits for every instance.
#[test]
fn test_engine_scaling_few_silent_instances_do_not_matter() {
    let mut platform = StandIn::new(20, 10, 40);
    let reports = platform.reports.get_mut(&id::<DomainId>("domain-b"));
    reports.expect("all domains have instances").recent = 3;
    platform.run(60, 66.0);
    assert_ne!(platform.orders, []);
}

/// Failure: the holder changes while engines start. Guards against a new holder
/// that repeats an order or takes engines away that have just started.
#[test]
fn test_engine_scaling_new_holder_repeats_nothing() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.run(60, 45.0);
    platform.run(24, 66.0);
    let placed = platform.orders.len();
    assert_ne!(placed, 0);
    platform.scaling = EngineScaling::default();
    platform.run(300, 66.0);
    assert_eq!(platform.orders.len(), placed);
}

/// Failure: the platform carries out no order. Guards against an order in every
/// second, and against a holder that never repeats one.
#[test]
fn test_engine_scaling_lost_order_is_repeated_slowly() {
    let mut platform = StandIn::new(20, 10, 40);
    for _ in 0..120 {
        platform.tick(66.0);
        platform.starting.clear();
    }
    let per_domain = platform.orders.len() / DOMAINS.len();
    assert!((3..=100_000 / BOOT_MS as usize).contains(&per_domain));
}

/// Failure: the platform refuses an order. Guards against a holder that counts
/// on its engines, and against one that repeats the order at once.
#[test]
fn test_engine_scaling_refused_order_keeps_distance() {
    let mut platform = StandIn::new(20, 10, 40);
    for _ in 0..120 {
        platform.tick(66.0);
        platform.starting.clear();
        for order in platform.last.orders.clone() {
            platform.scaling.record_refusal(&order);
        }
        if platform.last.orders.is_empty() {
            let mut domains = platform.last.domains.values();
            assert!(domains.all(|it| it.wanted == it.present));
        }
    }
    let mut times = BTreeMap::new();
    for (time, order) in &platform.orders {
        let last = times.insert(order.domain.clone(), *time);
        assert!(last.is_none_or(|last| time.since(last) >= ms(BOOT_MS)));
    }
}

/// Load pattern: few long prompts whose memory needs all engines. Guards
/// against a removal that takes memory from requests in flight.
#[test]
fn test_engine_scaling_occupied_engines_stay() {
    let mut platform = StandIn::new(20, 10, 40);
    platform.occupied = 58;
    platform.run(600, 10.0);
    assert_eq!(platform.total(), 58);
}

/// Load pattern: no demand at all and no lower bound. Guards against a domain
/// without engines, which could get none back.
#[test]
fn test_engine_scaling_keeps_one_engine_in_a_domain() {
    let mut platform = StandIn::new(3, 0, 40);
    platform.run(900, 0.0);
    assert_eq!(platform.serving.values().copied().min(), Some(1));
}

/// Guards against a report out of all proportion that orders every engine.
#[test]
fn test_engine_scaling_absurd_demand_is_bounded() {
    for demand in [1e18, f64::MAX, f64::NAN, f64::INFINITY] {
        let mut platform = StandIn::new(20, 10, u32::MAX);
        platform.run(24, demand);
        let wanted: u32 = platform.orders.iter().map(|it| it.1.count).sum();
        assert!(wanted <= 120, "{wanted} engines for {demand}");
    }
}

fn phases() -> impl Strategy<Value = Vec<(u64, f64)>> {
    prop::collection::vec((1_u64..60, 0.0..110.0), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Load pattern: any sequence of demands. Guards against orders in quick
    /// succession and against engines that are ordered and removed in turn.
    #[test]
    fn test_engine_scaling_never_flaps(
        phases in phases(),
        count in 5_u32..40,
        min in 0_u32..30,
    ) {
        let mut platform = StandIn::new(count, min, 40);
        for (seconds, demand) in phases {
            platform.run(seconds, demand);
        }
        let mut last = BTreeMap::new();
        let mut last_growth: Option<Timestamp> = None;
        let mut last_removal: Option<Timestamp> = None;
        for (time, order) in &platform.orders {
            prop_assert!(order.count <= 40);
            let before = last.insert(order.domain.clone(), *time);
            prop_assert!(
                before.is_none_or(|it| time.since(it) >= ms(BOOT_MS)),
            );
            if order.reason == ScaleReason::LowDemand {
                prop_assert!(order.count >= min.max(1));
                prop_assert_eq!(order.count + 1, order.serving);
                prop_assert!(last_growth
                    .is_none_or(|it| time.since(it) >= ms(4 * BOOT_MS)));
                last_removal = Some(*time);
            } else {
                prop_assert!(order.count > order.serving);
                prop_assert!(last_removal
                    .is_none_or(|it| time.since(it) >= ms(20_000)));
                last_growth = Some(*time);
            }
        }
    }
}

/// Desired state whose service may be scaled.
fn scaled_config(version: u64) -> RoutingConfig {
    let bounds = ScalingBounds {
        min: 2,
        max: 8,
        boot: ms(BOOT_MS),
    };
    let config = config(version);
    let service = config.find_service(&id("models"));
    let mut service = (**service.expect("it is configured")).clone();
    service.scaling = Some(bounds);
    config.with_service(service)
}

fn observed_models(
    core: &GatewayCore,
    now: Timestamp,
) -> Option<ScalingObservation> {
    let observed = core.scaling_observations(now).into_iter();
    let mut models = observed.filter(|(service, _)| *service == id("models"));
    models.next().map(|(_, observed)| observed)
}

/// Guards against a demand that leaves out the callers of other instances, and
/// against requests that wait at an engine being counted as decoding.
#[test]
fn test_engine_scaling_observes_all_instances() {
    let mut core = core(4);
    assert_eq!(core.scaling_observations(at(0)), []);
    core.apply_config(scaled_config(2));
    let mut report = heartbeat("entry-3", [127, 0, 0, 3]);
    report.demand = PrefillDemand {
        deferred_ms: 0,
        long_ms: 8_000,
        short_ms: 500,
    };
    let load = UpstreamLoad {
        short: 40,
        long: 2,
        long_in_prefill: 2,
        prefill_left_ms: 900,
        kv_tokens: 630_000,
    };
    let other = UpstreamLoad { short: 8, ..load };
    report.loads = [(id("i-0"), load), (id("i-1"), other)].into();
    core.receive_heartbeat(at(0), report, None);
    let observed = observed_models(&core, at(500));
    let observed = observed.expect("the service may be scaled");
    let demand = observed.demand.expect("one service has engines");
    assert_eq!(demand.prefill, 2.5);
    // 16 of the 40 on the first engine, and 8 on the other, of 16 each.
    assert_eq!(demand.decode, 1.5);
    // 52 requests fill four engines' slots, 1,260,000 tokens four's memory.
    assert_eq!(demand.occupied, 4);
    let reports = observed.reports[&id("domain-a")];
    assert_eq!((reports.known, reports.recent), (2, 2));
    let late = observed_models(&core, at(5_000)).expect("it still may");
    let reports = late.reports[&id("domain-a")];
    assert_eq!((reports.known, reports.recent), (2, 1));
}

/// Guards against a planned stop that is taken for missing data.
#[test]
fn test_engine_scaling_left_instances_are_not_missed() {
    let mut core = core(4);
    core.apply_config(scaled_config(2));
    let mut report = heartbeat("entry-3", [127, 0, 0, 3]);
    report.serving = false;
    core.receive_heartbeat(at(0), report, None);
    let observed = observed_models(&core, at(5_000)).expect("it is scaled");
    let reports = observed.reports[&id("domain-a")];
    assert_eq!((reports.known, reports.recent), (1, 1));
}

/// Guards against engines that leave, are cold or have another state being
/// counted as capacity.
#[test]
fn test_engine_scaling_counts_engines_by_state() {
    let mut core = core(4);
    core.apply_config(scaled_config(2));
    let mut entries: Vec<_> =
        (0..6).map(|index| entry(&format!("i-{index}"))).collect();
    entries[1].state = UpstreamState::Draining;
    entries[2].cold_for = ms(5_000);
    entries[3].domain = id("domain-b");
    core.replace_upstreams(at(0), entries.clone());
    core.mark_leaving(at(0), entries[4].process());
    let observed = observed_models(&core, at(1_000)).expect("it is scaled");
    assert!(observed.is_list_current);
    let counts = EngineCounts {
        listed: 5,
        ready: 2,
        cold: 1,
        leaving: 2,
    };
    assert_eq!(observed.engines[&id("domain-a")], counts);
    assert_eq!(observed.engines[&id("domain-b")].ready, 1);
}

/// Failure: the store was away or was restored. Guards against a decision on a
/// list from which engines are missing.
#[test]
fn test_engine_scaling_outdated_list_is_told() {
    let mut core = core(4);
    core.apply_config(scaled_config(2));
    let is_current = |core: &GatewayCore, now| {
        observed_models(core, now).is_some_and(|it| it.is_list_current)
    };
    assert!(is_current(&core, at(10_000)));
    core.store_recovered(at(10_000));
    assert!(!is_current(&core, at(10_100)));
    assert!(is_current(&core, at(20_000)));
    core.observe_era(at(20_000), Some(StoreEra::new(0)));
    core.observe_era(at(20_000), Some(StoreEra::new(1)));
    assert!(!is_current(&core, at(23_000)));
    assert!(is_current(&core, at(40_000)));
}

/// Guards against the prompts of one service being taken for demand of another:
/// the reports do not tell them apart.
#[test]
fn test_engine_scaling_demand_of_several_services_is_unknown() {
    let mut core = core(4);
    let config = scaled_config(2);
    let service = config.find_service(&id("models"));
    let mut service = (**service.expect("it is configured")).clone();
    service.name = id("others");
    service.scaling = None;
    core.apply_config(config.with_service(service));
    let observed = observed_models(&core, at(500)).expect("it is scaled");
    assert_eq!(observed.demand, None);
}
