//! Which engines change now, from the shared view alone.
//!
//! Instances with the same view plan alike. Engines that still differ from
//! their wanted state are ranked by a hash of their ids, those that load first;
//! the first of them within the bounds change. The configuration's version is
//! no part of the hash, since each change would then move all places.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use super::{TAKEOVER_WAIT, row::LOAD_LIMIT, weight_rate};
use crate::{
    engine_api::{CapabilityReport, EngineAction},
    fleet::{FleetState, UpstreamRule},
    fleet_view::{FleetView, UpstreamEntry},
    ids::{DomainId, ModelName, UpstreamId},
    units::{LogOffset, Timestamp},
};

/// One engine in this many of a domain or a model changes at once, and always
/// at least one.
const CHANGING_PARTS: usize = 4;
/// Time for which an engine may hold its place without beginning its load.
const STALL_LIMIT: Duration = Duration::from_secs(60);
/// Time for which a load that is not reported yet may be on its way to an
/// engine that lost its place: its order, then a reading that is passed on.
const UNSEEN_LOAD: Duration =
    TAKEOVER_WAIT.saturating_add(Duration::from_millis(2_500));
/// An owner begins no load this long before others give its place away.
const STALL_MARGIN: Duration = Duration::from_secs(10);

/// Whether an engine may act on an order with an old token.
pub(super) fn ignores_tokens(engine: &UpstreamId, view: &FleetView) -> bool {
    let rule = view.fleet.upstreams.get(engine);
    let stated = rule.and_then(|rule| rule.checks_fencing);
    let entry = view.upstreams.get(engine);
    let report = entry.and_then(|entry| entry.capability.as_ref());
    let reported = report.is_some_and(|report| report.checks_fencing);
    !reported || stated == Some(false)
}

/// The next step of each engine that may change now.
#[derive(Debug, Default)]
pub(super) struct ChangePlan {
    pub(super) steps: BTreeMap<UpstreamId, EngineAction>,
    /// Engines that differ, whether they may change now or not.
    differing: BTreeSet<UpstreamId>,
}

struct Candidate<'a> {
    rank: (bool, u32, u64),
    engine: &'a UpstreamId,
    entry: &'a UpstreamEntry,
    report: &'a CapabilityReport,
    step: EngineAction,
}

/// Engines that the configuration gives a model, and those that serve and
/// keep it.
#[derive(Debug, Default)]
struct ModelCount {
    wanted: usize,
    keepers: usize,
}

impl ModelCount {
    /// Fewest engines that must go on serving the model.
    fn floor(&self) -> usize {
        self.wanted.div_ceil(2).max(1)
    }
}

impl ChangePlan {
    pub(super) fn new(view: &FleetView, window: &WindowTable) -> Self {
        let mut plan = Self::default();
        let counts = ModelCounts::new(view);
        let mut bounds = ChangeBounds::new(view);
        let mut candidates: Vec<Candidate> = ruled(view)
            .filter_map(|(engine, rule, entry, report)| {
                let step = counts.next_step(view, engine, rule, report)?;
                let loading = is_loading(report);
                let hash = xxh3_64(engine.as_str().as_bytes());
                let rank = (!loading, window.passes(engine), hash);
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
            plan.differing.insert(candidate.engine.clone());
            if bounds.take(view, &candidate) {
                plan.steps.insert(candidate.engine.clone(), candidate.step);
            }
        }
        plan
    }
}

/// Engines with a stated wanted state that may get orders.
fn ruled<'a>(
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
                counts.entry(model).or_default().wanted += 1;
            }
        }
        // Only models of engines with a stated wanted state are ever left.
        for (.., report) in ruled(view) {
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
            count.keepers = serving.filter(keeps).count();
        }
        Self { counts }
    }

    /// The next step that leaves enough engines serving each model.
    fn next_step(
        &self,
        view: &FleetView,
        engine: &UpstreamId,
        rule: &UpstreamRule,
        report: &CapabilityReport,
    ) -> Option<EngineAction> {
        let wanted = rule.models.as_ref();
        let missing = wanted.and_then(|wanted| {
            wanted.iter().find(|model| !report.models.contains(model))
        });
        if let Some(model) = missing {
            let model = model.clone();
            return Some(EngineAction::LoadModel { model });
        }
        let idle = !view.accepts_work(engine);
        if let (Some(role), Some(present)) = (&rule.role, &report.role)
            && role != present
            && (idle || self.others_suffice(rule, report))
        {
            return Some(EngineAction::SetRole { role: role.clone() });
        }
        let wanted = wanted?;
        let mut surplus = report.models.iter();
        let model = surplus.find(|model| {
            !wanted.contains(*model) && (idle || self.suffices(model, 0))
        });
        model
            .cloned()
            .map(|model| EngineAction::UnloadModel { model })
    }

    /// Whether enough engines keep the model without some of them.
    fn suffices(&self, model: &ModelName, without: usize) -> bool {
        let count = self.counts.get(model);
        count.is_some_and(|count| count.keepers >= count.floor() + without)
    }

    /// Whether enough other engines keep each model of this one.
    fn others_suffice(
        &self,
        rule: &UpstreamRule,
        report: &CapabilityReport,
    ) -> bool {
        report.models.iter().all(|model| {
            let wanted = rule.models.as_ref();
            let keeps = wanted.is_none_or(|models| models.contains(model));
            self.suffices(model, usize::from(keeps))
        })
    }
}

/// How many engines may change at once.
struct ChangeBounds<'a> {
    loads: usize,
    concurrent: usize,
    domains: BTreeMap<&'a DomainId, (usize, usize)>,
    models: BTreeMap<ModelName, usize>,
}

impl<'a> ChangeBounds<'a> {
    fn new(view: &FleetView<'a>) -> Self {
        let mut domains: BTreeMap<&DomainId, (usize, usize)> = BTreeMap::new();
        for (_, _, entry, _) in ruled(view) {
            domains.entry(&entry.domain).or_default().1 += 1;
        }
        let concurrent = weight_rate(view).concurrent as usize;
        // A load that is no longer wanted still reads the store.
        let done = ruled(view).filter(|(_, rule, _, report)| {
            let wanted = rule.models.as_ref();
            let has = |model: &ModelName| report.models.contains(model);
            is_loading(report)
                && wanted.is_none_or(|wanted| wanted.iter().all(has))
        });
        Self {
            loads: done.count(),
            concurrent,
            domains,
            models: BTreeMap::new(),
        }
    }

    fn take(&mut self, view: &FleetView, candidate: &Candidate<'a>) -> bool {
        let load = matches!(candidate.step, EngineAction::LoadModel { .. });
        if load && self.loads >= self.concurrent {
            return false;
        }
        let domain = self.domains.entry(&candidate.entry.domain).or_default();
        if domain.0 >= (domain.1 / CHANGING_PARTS).max(1) {
            return false;
        }
        let role = matches!(candidate.step, EngineAction::SetRole { .. });
        let carried = &candidate.report.models;
        let within = carried.iter().all(|model| {
            let serving = view.upstreams.serving(model).len();
            let most = if role { 1 } else { serving / CHANGING_PARTS };
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
struct WindowPlace {
    since: Timestamp,
    ready_at: Timestamp,
    given_up_at: Timestamp,
    load: Option<ModelName>,
}

/// Since when each engine has been among those that may change.
#[derive(Debug, Default)]
pub(super) struct WindowTable {
    places: BTreeMap<UpstreamId, WindowPlace>,
    passes: BTreeMap<UpstreamId, u32>,
    /// Until when loads that are not reported yet may be under way; none
    /// before the first plan.
    unseen_until: Option<Timestamp>,
}

impl WindowTable {
    /// Times that an engine held its place for too long without progress.
    fn passes(&self, engine: &UpstreamId) -> u32 {
        self.passes.get(engine).copied().unwrap_or(0)
    }

    /// Whether a load may begin on an engine that has a place. A wait of
    /// `concurrent / rate` in each place keeps the rate, whoever owns the
    /// engines: no more than `concurrent` loads begin in that time.
    pub(super) fn may_load(&self, now: Timestamp, engine: &UpstreamId) -> bool {
        let place = self.places.get(engine);
        place.is_some_and(|place| {
            now >= place.ready_at && now.after(STALL_MARGIN) < place.given_up_at
        })
    }

    pub(super) fn update(
        &mut self,
        now: Timestamp,
        plan: &ChangePlan,
        view: &FleetView,
    ) {
        self.drop_places(now, plan, view);
        self.passes
            .retain(|engine, _| plan.differing.contains(engine));
        let rate = weight_rate(view);
        let wait = rate.loads_per_minute.map_or(Duration::ZERO, |loads| {
            Duration::from_secs(60) * rate.concurrent / loads.max(1)
        });
        let unseen_until = self.unseen_until.unwrap_or(now);
        for (engine, step) in &plan.steps {
            let place = self.places.entry(engine.clone());
            let place = place.or_insert(WindowPlace {
                since: now,
                ready_at: now.after(wait).max(unseen_until),
                given_up_at: now,
                load: None,
            });
            place.load = match step {
                EngineAction::LoadModel { model } => Some(model.clone()),
                _ => None,
            };
            let idle = place.load.is_some() && shows_no_load(engine, view);
            let limit = if idle { STALL_LIMIT } else { LOAD_LIMIT };
            let from = place.ready_at.max(place.since);
            place.given_up_at = from.after(limit);
            if now >= place.given_up_at {
                *self.passes.entry(engine.clone()).or_default() += 1;
            }
        }
        self.places.retain(|_, place| now < place.given_up_at);
    }

    /// Drops lost places. Whoever gets one instead waits while a load of the
    /// engine that lost it may be on its way.
    fn drop_places(
        &mut self,
        now: Timestamp,
        plan: &ChangePlan,
        view: &FleetView,
    ) {
        let mut unseen = self.unseen_until.is_none();
        self.places.retain(|engine, place| {
            if plan.steps.contains_key(engine) {
                return true;
            }
            let entry = view.upstreams.get(engine);
            let report = entry.and_then(|entry| entry.capability.as_ref());
            unseen |= place.load.as_ref().is_some_and(|model| {
                !report.is_some_and(|report| report.models.contains(model))
            });
            false
        });
        if unseen {
            self.unseen_until = Some(now.after(UNSEEN_LOAD));
        }
    }
}

fn shows_no_load(engine: &UpstreamId, view: &FleetView) -> bool {
    let entry = view.upstreams.get(engine);
    let report = entry.and_then(|entry| entry.capability.as_deref());
    let loading = report.and_then(|report| report.loading.as_ref());
    loading.is_some_and(Vec::is_empty)
}

/// Since when the wanted engines of each model have stood.
///
/// An order under an older configuration can still be sent for as long as a
/// lease's earlier holder may send. Until that is over, an engine that the new
/// configuration gives a model may yet unload it.
#[derive(Debug, Default)]
pub(super) struct ModelStamps {
    version: Option<LogOffset>,
    stamps: BTreeMap<ModelName, (u64, Timestamp)>,
}

impl ModelStamps {
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
        self.stamps.retain(|model, _| named.contains_key(model));
        for (model, bytes) in named {
            let hash = xxh3_64(&bytes);
            let stamp = self.stamps.entry(model.clone());
            let stamp = stamp.or_insert((hash, now));
            if stamp.0 != hash {
                *stamp = (hash, now);
            }
        }
    }

    /// Whether no order under an older configuration can still be sent.
    pub(super) fn is_settled(&self, now: Timestamp, model: &ModelName) -> bool {
        let stamp = self.stamps.get(model);
        stamp.is_none_or(|(_, since)| now.since(*since) >= TAKEOVER_WAIT)
    }
}
