//! Plan of the engines that may change now, computed from the shared view.
//!
//! Instances with the same view compute the same plan. Engines that have a
//! next action towards their desired state are ranked: those that are loading
//! first, then by the number of stalls and by a hash of their ids. The first
//! of them that fit the bounds may change; each of these has a slot. The hash
//! leaves out the version of the configuration, since otherwise each new
//! version would assign all slots anew.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use super::{TAKEOVER_WAIT, engine_state::LOAD_TIMEOUT, weight_rate};
use crate::{
    engine_api::{CapabilityReport, EngineAction},
    fleet::{FleetState, UpstreamRule},
    fleet_view::{FleetView, UpstreamEntry},
    ids::{DomainId, ModelName, UpstreamId},
    units::{LogOffset, Timestamp},
};

/// Of the engines of a failure domain or a model one in this many may change
/// at once, and at least one.
const ENGINES_PER_CHANGE: usize = 4;
/// Time after which an engine that has not started its load loses its slot.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which an engine that lost its slot may have a load that is not
/// reported yet: until its owner can send no more orders, and then until a
/// read of its capabilities has spread by gossip.
const UNREPORTED_LOAD_WAIT: Duration =
    TAKEOVER_WAIT.saturating_add(Duration::from_millis(2_500));
/// Time before the loss of a slot in which the owner starts no load.
const STALL_MARGIN: Duration = Duration::from_secs(10);

/// Whether an engine may carry out an order with an old fencing token. It
/// counts as checking tokens only if it reports so and the configuration does
/// not say otherwise.
pub(super) fn ignores_fencing(engine: &UpstreamId, view: &FleetView) -> bool {
    let rule = view.fleet.upstreams.get(engine);
    let stated = rule.and_then(|rule| rule.checks_fencing);
    let entry = view.upstreams.get(engine);
    let report = entry.and_then(|entry| entry.capability.as_ref());
    let reported = report.is_some_and(|report| report.checks_fencing);
    !reported || stated == Some(false)
}

/// Next action of each engine that may change now.
#[derive(Debug, Default)]
pub(super) struct ChangePlan {
    pub(super) steps: BTreeMap<UpstreamId, EngineAction>,
    /// Engines with a next action, whether or not they may change now.
    unconverged: BTreeSet<UpstreamId>,
}

struct Candidate<'a> {
    rank: (bool, u32, u64),
    engine: &'a UpstreamId,
    entry: &'a UpstreamEntry,
    report: &'a CapabilityReport,
    step: EngineAction,
}

/// Number of engines for a model: `desired` are to have it by the
/// configuration; `retaining` serve it now, accept work and will keep it.
#[derive(Debug, Default)]
struct ModelCount {
    desired: usize,
    retaining: usize,
}

impl ModelCount {
    /// Number of engines that must keep serving the model: half of those that
    /// should have it, rounded up, and at least one.
    fn min_serving(&self) -> usize {
        self.desired.div_ceil(2).max(1)
    }
}

impl ChangePlan {
    pub(super) fn new(view: &FleetView, change_slots: &ChangeSlots) -> Self {
        let mut plan = Self::default();
        let counts = ModelCounts::new(view);
        let mut bounds = ChangeBounds::new(view);
        let mut candidates: Vec<Candidate> = managed_engines(view)
            .filter_map(|(engine, rule, entry, report)| {
                let step = counts.next_step(view, engine, rule, report)?;
                let loading = is_loading(report);
                let hash = xxh3_64(engine.as_str().as_bytes());
                let rank = (!loading, change_slots.stalls(engine), hash);
                Some(Candidate {
                    rank,
                    engine,
                    entry,
                    report,
                    step,
                })
            })
            .collect();
        candidates.sort_by_key(|candidate| candidate.rank);
        for candidate in candidates {
            plan.unconverged.insert(candidate.engine.clone());
            if bounds.try_admit(view, &candidate) {
                plan.steps.insert(candidate.engine.clone(), candidate.step);
            }
        }
        plan
    }
}

/// Engines with a desired state that may get orders: reported, not leaving,
/// and in a failure domain that is not closed.
fn managed_engines<'a>(
    view: &FleetView<'a>,
) -> impl Iterator<
    Item = (
        &'a UpstreamId,
        &'a UpstreamRule,
        &'a UpstreamEntry,
        &'a CapabilityReport,
    ),
> {
    let (fleet, upstreams) = (view.fleet, view.upstreams);
    let rules = fleet.upstreams.iter();
    let stated =
        rules.filter(|(_, rule)| rule.models.is_some() || rule.role.is_some());
    stated.filter_map(move |(engine, rule)| {
        let entry = upstreams.get(engine)?;
        let domain = fleet.domains.get(&entry.domain);
        let closed = domain.is_some_and(|rule| rule.closed.is_some());
        let report = entry.capability.as_deref()?;
        let open = !closed && !entry.leaving && entry.service.is_none();
        open.then_some((engine, rule, entry, report))
    })
}

fn is_loading(report: &CapabilityReport) -> bool {
    let loading = report.loading.as_ref();
    loading.is_some_and(|loading| !loading.is_empty())
}

struct ModelCounts<'a> {
    counts: BTreeMap<&'a ModelName, ModelCount>,
}

impl<'a> ModelCounts<'a> {
    fn new(view: &FleetView<'a>) -> Self {
        let mut counts: BTreeMap<&ModelName, ModelCount> = BTreeMap::new();
        for rule in view.fleet.upstreams.values() {
            for model in rule.models.iter().flatten() {
                counts.entry(model).or_default().desired += 1;
            }
        }
        // Only engines with a desired state ever unload models.
        for (.., report) in managed_engines(view) {
            for model in &report.models {
                counts.entry(model).or_default();
            }
        }
        for (model, count) in &mut counts {
            let serving = view.upstreams.serving(model).iter();
            let keeps = |engine: &&UpstreamId| {
                let rule = view.fleet.upstreams.get(*engine);
                let models = rule.and_then(|rule| rule.models.as_ref());
                models.is_none_or(|models| models.contains(*model))
                    && view.accepts_work(engine)
            };
            count.retaining = serving.filter(keeps).count();
        }
        Self { counts }
    }

    /// Next action of an engine, if there is one that leaves enough engines
    /// serving each model: loads first, then the role, then unloads.
    fn next_step(
        &self,
        view: &FleetView,
        engine: &UpstreamId,
        rule: &UpstreamRule,
        report: &CapabilityReport,
    ) -> Option<EngineAction> {
        let desired = rule.models.as_ref();
        let missing = desired.and_then(|desired| {
            desired.iter().find(|model| !report.models.contains(model))
        });
        if let Some(model) = missing {
            let model = model.clone();
            return Some(EngineAction::LoadModel { model });
        }
        let idle = !view.accepts_work(engine);
        if let (Some(role), Some(present)) = (&rule.role, &report.role)
            && role != present
            && (idle || self.others_have_enough(rule, report))
        {
            return Some(EngineAction::SetRole { role: role.clone() });
        }
        let desired = desired?;
        let mut surplus = report.models.iter();
        let model = surplus.find(|model| {
            !desired.contains(*model) && (idle || self.has_enough(model, 0))
        });
        model
            .cloned()
            .map(|model| EngineAction::UnloadModel { model })
    }

    /// Whether enough engines keep a model if `without` of them stop serving.
    fn has_enough(&self, model: &ModelName, without: usize) -> bool {
        let count = self.counts.get(model);
        count.is_some_and(|count| {
            count.retaining >= count.min_serving() + without
        })
    }

    /// Whether enough other engines keep each model of an engine.
    fn others_have_enough(
        &self,
        rule: &UpstreamRule,
        report: &CapabilityReport,
    ) -> bool {
        report.models.iter().all(|model| {
            let desired = rule.models.as_ref();
            let keeps = desired.is_none_or(|models| models.contains(model));
            self.has_enough(model, usize::from(keeps))
        })
    }
}

/// Bounds on the number of engines that change at once.
struct ChangeBounds<'a> {
    loads: usize,
    concurrent: usize,
    /// Engines that change, and all engines with a desired state, per domain.
    domains: BTreeMap<&'a DomainId, (usize, usize)>,
    /// Engines that change, by the models that they have loaded.
    models: BTreeMap<ModelName, usize>,
}

impl<'a> ChangeBounds<'a> {
    fn new(view: &FleetView<'a>) -> Self {
        let mut domains: BTreeMap<&DomainId, (usize, usize)> = BTreeMap::new();
        for (_, _, entry, _) in managed_engines(view) {
            domains.entry(&entry.domain).or_default().1 += 1;
        }
        let concurrent = weight_rate(view).concurrent as usize;
        // An engine that has all its desired models and still loads one loads
        // a model that is no longer desired. That load counts too, since it
        // reads from the weight store.
        let done = managed_engines(view).filter(|(_, rule, _, report)| {
            let desired = rule.models.as_ref();
            let has = |model: &ModelName| report.models.contains(model);
            is_loading(report)
                && desired.is_none_or(|desired| desired.iter().all(has))
        });
        Self {
            loads: done.count(),
            concurrent,
            domains,
            models: BTreeMap::new(),
        }
    }

    fn try_admit(
        &mut self,
        view: &FleetView,
        candidate: &Candidate<'a>,
    ) -> bool {
        let load = matches!(candidate.step, EngineAction::LoadModel { .. });
        if load && self.loads >= self.concurrent {
            return false;
        }
        let domain = self.domains.entry(&candidate.entry.domain).or_default();
        if domain.0 >= (domain.1 / ENGINES_PER_CHANGE).max(1) {
            return false;
        }
        let role = matches!(candidate.step, EngineAction::SetRole { .. });
        let carried = &candidate.report.models;
        let within = carried.iter().all(|model| {
            let serving = view.upstreams.serving(model).len();
            let most = if role {
                1
            } else {
                serving / ENGINES_PER_CHANGE
            };
            let changing = self.models.get(model).copied().unwrap_or(0);
            changing < most.max(1)
        });
        if !within {
            return false;
        }
        domain.0 += 1;
        self.loads += usize::from(load);
        for model in carried {
            *self.models.entry(model.clone()).or_default() += 1;
        }
        true
    }
}

#[derive(Clone, Debug)]
struct ChangeSlot {
    since: Timestamp,
    ready_at: Timestamp,
    expires_at: Timestamp,
    load: Option<ModelName>,
}

/// Slots of the engines that may change, with the times since they hold them.
#[derive(Debug, Default)]
pub(super) struct ChangeSlots {
    slots: BTreeMap<UpstreamId, ChangeSlot>,
    stalls: BTreeMap<UpstreamId, u32>,
    /// Until when loads that are not reported yet may be in flight. `None`
    /// before the first plan.
    load_wait_until: Option<Timestamp>,
}

impl ChangeSlots {
    /// How often an engine held its slot too long without progress.
    fn stalls(&self, engine: &UpstreamId) -> u32 {
        self.stalls.get(engine).copied().unwrap_or(0)
    }

    /// Whether a load may start on an engine, which needs a slot for that.
    /// Each slot starts with a wait of `concurrent / rate`. As at most
    /// `concurrent` loads start in that time, the fleet stays within the rate,
    /// whichever instances own the engines.
    pub(super) fn may_load(&self, now: Timestamp, engine: &UpstreamId) -> bool {
        let slot = self.slots.get(engine);
        slot.is_some_and(|slot| {
            now >= slot.ready_at && now.after(STALL_MARGIN) < slot.expires_at
        })
    }

    pub(super) fn update(
        &mut self,
        now: Timestamp,
        plan: &ChangePlan,
        view: &FleetView,
    ) {
        self.drop_slots(now, plan, view);
        self.stalls
            .retain(|engine, _| plan.unconverged.contains(engine));
        let rate = weight_rate(view);
        let wait = rate.loads_per_minute.map_or(Duration::ZERO, |loads| {
            Duration::from_secs(60) * rate.concurrent / loads.max(1)
        });
        let load_wait_until = self.load_wait_until.unwrap_or(now);
        for (engine, step) in &plan.steps {
            let slot = self.slots.entry(engine.clone());
            let slot = slot.or_insert(ChangeSlot {
                since: now,
                ready_at: now.after(wait).max(load_wait_until),
                expires_at: now,
                load: None,
            });
            slot.load = match step {
                EngineAction::LoadModel { model } => Some(model.clone()),
                _ => None,
            };
            let idle = slot.load.is_some() && reports_no_load(engine, view);
            let limit = if idle { STALL_TIMEOUT } else { LOAD_TIMEOUT };
            let from = slot.ready_at.max(slot.since);
            slot.expires_at = from.after(limit);
            if now >= slot.expires_at {
                *self.stalls.entry(engine.clone()).or_default() += 1;
            }
        }
        self.slots.retain(|_, slot| now < slot.expires_at);
    }

    /// Drops the slots of engines that are no longer in the plan. An engine
    /// that gets a slot waits while one that lost its slot may have a load
    /// that is not reported yet.
    fn drop_slots(
        &mut self,
        now: Timestamp,
        plan: &ChangePlan,
        view: &FleetView,
    ) {
        let mut unreported = self.load_wait_until.is_none();
        self.slots.retain(|engine, slot| {
            if plan.steps.contains_key(engine) {
                return true;
            }
            let entry = view.upstreams.get(engine);
            let report = entry.and_then(|entry| entry.capability.as_ref());
            unreported |= slot.load.as_ref().is_some_and(|model| {
                !report.is_some_and(|report| report.models.contains(model))
            });
            false
        });
        if unreported {
            self.load_wait_until = Some(now.after(UNREPORTED_LOAD_WAIT));
        }
    }
}

fn reports_no_load(engine: &UpstreamId, view: &FleetView) -> bool {
    let entry = view.upstreams.get(engine);
    let report = entry.and_then(|entry| entry.capability.as_deref());
    let loading = report.and_then(|report| report.loading.as_ref());
    loading.is_some_and(Vec::is_empty)
}

/// Times since when the set of engines that should have a model is unchanged.
///
/// After a change of the configuration, an instance that has not applied it
/// can send orders for up to [`TAKEOVER_WAIT`]. Until then, an engine that
/// should have a model by the new configuration may still unload it.
#[derive(Debug, Default)]
pub(super) struct ModelTargets {
    version: Option<LogOffset>,
    /// Hash of the ids of the engines that should have the model, and since
    /// when it is unchanged.
    targets: BTreeMap<ModelName, (u64, Timestamp)>,
}

impl ModelTargets {
    pub(super) fn update(&mut self, now: Timestamp, fleet: &FleetState) {
        if self.version == Some(fleet.version) {
            return;
        }
        self.version = Some(fleet.version);
        let mut named: BTreeMap<&ModelName, Vec<u8>> = BTreeMap::new();
        for (engine, rule) in &fleet.upstreams {
            for model in rule.models.iter().flatten() {
                let bytes = named.entry(model).or_default();
                bytes.extend_from_slice(engine.as_str().as_bytes());
                bytes.push(0);
            }
        }
        self.targets.retain(|model, _| named.contains_key(model));
        for (model, bytes) in named {
            let hash = xxh3_64(&bytes);
            let target = self.targets.entry(model.clone());
            let target = target.or_insert((hash, now));
            if target.0 != hash {
                *target = (hash, now);
            }
        }
    }

    /// Whether no order for the model that follows from an older configuration
    /// can be sent any more.
    pub(super) fn is_stable(&self, now: Timestamp, model: &ModelName) -> bool {
        let target = self.targets.get(model);
        target.is_none_or(|(_, since)| now.since(*since) >= TAKEOVER_WAIT)
    }
}
