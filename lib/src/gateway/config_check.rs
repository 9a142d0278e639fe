//! Checks a desired state before it is put into force, and compares it with the
//! version in force.
//!
//! Whether a part can be used is decided by the decoder of the instances. The
//! checks here concern what the decoder accepts although it cannot work as its
//! author meant it. Keys of callers are counted and never named.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::routing_config::{
    AnswerForm, CallerLimits, RouteSpec, RoutingConfig, ServiceSpec,
    WorkspaceName,
};

/// What is wrong with a part of a desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// Instances cannot read the desired state and keep the one in force.
    Unreadable,
    /// Instances cannot use the part; the rest is in force without it.
    UnusablePart,
    /// Instances ignore the desired state, since its version is not newer.
    NotNewer,
    /// No request can ever use the part, or none can be served by it.
    NeverMatches,
    /// Limits of the part contradict each other.
    Contradiction,
}

impl FindingKind {
    /// The kind as a string slice.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::UnusablePart => "unusable_part",
            Self::NotNewer => "not_newer",
            Self::NeverMatches => "never_matches",
            Self::Contradiction => "contradiction",
        }
    }

    /// Whether instances do not take the desired state as a whole.
    pub const fn is_error(self) -> bool {
        matches!(self, Self::Unreadable | Self::UnusablePart | Self::NotNewer)
    }
}

/// A finding about one part of a desired state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigFinding {
    /// What is wrong.
    pub kind: FindingKind,
    /// Kind of the part.
    pub part: &'static str,
    /// Name of the part.
    pub name: Arc<str>,
    /// What follows from it, or why.
    pub text: Arc<str>,
}

/// How a difference changes what callers may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccessChange {
    /// Some callers may do less.
    Removed,
    /// Some callers may do more.
    Widened,
    /// Callers may do the same.
    Unchanged,
}

impl AccessChange {
    /// The change as a string slice.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Removed => "removed",
            Self::Widened => "widened",
            Self::Unchanged => "unchanged",
        }
    }
}

/// A difference between two desired states. The order of the fields puts
/// changes of permissions first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDifference {
    /// How it changes what callers may do.
    pub access: AccessChange,
    /// Kind of the part.
    pub part: &'static str,
    /// Name of the part.
    pub name: Arc<str>,
    /// What changes.
    pub text: Arc<str>,
}

/// Findings about a desired state that was decoded, errors first.
pub fn check_config(config: &RoutingConfig) -> Vec<ConfigFinding> {
    let mut findings = Findings::default();
    for fault in config.faults() {
        let (kind, name) = (FindingKind::UnusablePart, &fault.name);
        findings.add(kind, fault.kind, name, &fault.reason);
    }
    for part in config.replaced_parts() {
        let kind = FindingKind::NeverMatches;
        findings.add(kind, part.kind, &part.name, &part.reason);
    }
    let has_faulty_route = config.faults().iter().any(|it| it.kind == "route");
    let mut used = BTreeMap::new();
    for route in config.routes() {
        for share in &route.services {
            *used.entry(&share.service).or_insert(0_u64) +=
                u64::from(share.weight);
        }
        // A route that cannot be used is in the table without services.
        if !(has_faulty_route && route.services.is_empty()) {
            check_route(&mut findings, config, route);
        }
    }
    for service in config.services() {
        let name = &service.name;
        if used.get(name).is_none_or(|weight| *weight == 0) {
            let text = "no route sends it requests";
            findings.never("service", name.as_str(), text);
        }
        check_service(&mut findings, service);
    }
    check_limits(&mut findings, &config.limits);
    findings.0.sort();
    findings.0
}

/// Finding about a version that is not above the one in force.
pub fn check_version(
    in_force: &RoutingConfig,
    proposed: &RoutingConfig,
) -> Option<ConfigFinding> {
    let (before, after) = (in_force.version, proposed.version);
    (after <= before).then(|| ConfigFinding {
        kind: FindingKind::NotNewer,
        part: "version",
        name: after.to_string().into(),
        text: format!("version {before} is in force").into(),
    })
}

/// Longest name or text of a finding, in characters. Names are opaque and may be
/// as long as the desired state, and each may be part of several findings.
const TEXT_MAX_CHARS: usize = 400;

fn cut(text: &str) -> Arc<str> {
    match text.char_indices().nth(TEXT_MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]).into(),
        None => text.into(),
    }
}

#[derive(Default)]
struct Findings(Vec<ConfigFinding>);

impl Findings {
    fn add(
        &mut self,
        kind: FindingKind,
        part: &'static str,
        name: &str,
        text: &str,
    ) {
        self.0.push(ConfigFinding {
            kind,
            part,
            name: cut(name),
            text: cut(text),
        });
    }

    fn never(&mut self, part: &'static str, name: &str, text: &str) {
        self.add(FindingKind::NeverMatches, part, name, text);
    }

    fn contradiction(&mut self, part: &'static str, name: &str, text: &str) {
        self.add(FindingKind::Contradiction, part, name, text);
    }
}

fn check_route(
    findings: &mut Findings,
    config: &RoutingConfig,
    route: &RouteSpec,
) {
    let (part, name) = ("route", &*route.name);
    let prefix = &*route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let text = "the prefix does not begin and end with a slash";
        findings.never(part, name, text);
    } else if prefix.contains(['?', '#']) {
        findings.never(part, name, "the prefix has a character of no path");
    }
    if route.host.is_empty() || route.host.contains(['/', ' ']) {
        findings.never(part, name, "no request can name the host");
    }
    if route.services.iter().all(|share| share.weight == 0) {
        findings.never(part, name, "no service has a weight above 0");
    }
    let mut shares = route.services.iter();
    let missing = shares.find(|it| config.find_service(&it.service).is_none());
    if let Some(share) = missing {
        let text = format!("service {} is not defined", share.service);
        findings.never(part, name, &text);
    }
    if route.timeout.is_zero() {
        findings.contradiction(part, name, "the time limit is 0");
    }
    let targets = [
        ("latency target", route.latency_target),
        ("pause target", route.gap_target),
    ];
    for (target, time) in targets {
        if time > route.timeout {
            let timeout = route.timeout;
            let text = format!(
                "the {target} of {time:?} is above the time limit of \
                 {timeout:?}",
            );
            findings.contradiction(part, name, &text);
        }
    }
    if route.sends_max == 0 {
        let text = "no attempt is allowed; instances make one";
        findings.contradiction(part, name, text);
    }
}

fn check_service(findings: &mut Findings, service: &ServiceSpec) {
    let (part, name) = ("service", service.name.as_str());
    if let Some(engine) = &service.engine {
        let limits = [
            ("slots", engine.slots == 0),
            ("memory", engine.kv_capacity.get() == 0),
            ("passes", engine.steps_per_pass == 0),
        ];
        for (limit, _) in limits.iter().filter(|(_, is_zero)| *is_zero) {
            let text = format!("its engines have no {limit}");
            findings.contradiction(part, name, &text);
        }
    }
    let Some(scaling) = service.scaling else {
        return;
    };
    if scaling.min > scaling.max {
        let (min, max) = (scaling.min, scaling.max);
        let text = format!("the fewest engines, {min}, exceed the most, {max}");
        findings.contradiction(part, name, &text);
    }
    if service.engine.is_none() {
        let text = "its number is bounded, but it has no engines";
        findings.contradiction(part, name, text);
    }
}

fn check_limits(findings: &mut Findings, limits: &CallerLimits) {
    let zero = [
        ("largest body", limits.body_max.get() == 0),
        ("largest head", limits.head_max.get() == 0),
        ("time for a head", limits.head_timeout.is_zero()),
    ];
    for (limit, _) in zero.iter().filter(|(_, is_zero)| *is_zero) {
        let text = format!("the {limit} is 0, so that requests are refused");
        findings.contradiction("limits", "", &text);
    }
}

/// Differences between the desired state in force and a proposed one, with
/// permissions that are removed or widened first.
pub fn compare_configs(
    in_force: &RoutingConfig,
    proposed: &RoutingConfig,
) -> Vec<ConfigDifference> {
    let mut differences = Differences::default();
    match (in_force.requires_keys(), proposed.requires_keys()) {
        (true, false) => {
            let text = "no route needs a key any more";
            differences.add(AccessChange::Widened, "keys", "", text);
        }
        (false, true) => {
            let text = "routes that are not anonymous need a key";
            differences.add(AccessChange::Removed, "keys", "", text);
        }
        _ => {}
    }
    compare_routes(&mut differences, in_force, proposed);
    compare_workspaces(&mut differences, in_force, proposed);
    compare_services(&mut differences, in_force, proposed);
    compare_limits(&mut differences, &in_force.limits, &proposed.limits);
    differences.0.sort();
    differences.0
}

#[derive(Default)]
struct Differences(Vec<ConfigDifference>);

impl Differences {
    fn add(
        &mut self,
        access: AccessChange,
        part: &'static str,
        name: &str,
        text: &str,
    ) {
        self.0.push(ConfigDifference {
            access,
            part,
            name: cut(name),
            text: cut(text),
        });
    }

    /// Adds a difference of a value, if there is one.
    fn compare<T: PartialEq>(
        &mut self,
        (part, name): (&'static str, &str),
        value: &str,
        [before, after]: [&T; 2],
        text: impl Fn(&T) -> String,
    ) {
        if before != after {
            let (before, after) = (text(before), text(after));
            let text = format!("{value}: {before} -> {after}");
            self.add(AccessChange::Unchanged, part, name, &text);
        }
    }
}

fn route_key(route: &RouteSpec) -> (&str, &str) {
    (&route.host, &route.prefix)
}

fn compare_routes(
    differences: &mut Differences,
    in_force: &RoutingConfig,
    proposed: &RoutingConfig,
) {
    const PART: &str = "route";
    let before: BTreeMap<_, _> =
        in_force.routes().map(|it| (route_key(it), it)).collect();
    let mut after: BTreeMap<_, _> =
        proposed.routes().map(|it| (route_key(it), it)).collect();
    for (key, route) in before {
        let place = format!("{}{}", key.0, key.1);
        let Some(new) = after.remove(&key) else {
            let text = format!("{place} is removed");
            let access = AccessChange::Removed;
            differences.add(access, PART, &route.name, &text);
            continue;
        };
        match (route.anonymous, new.anonymous) {
            (false, true) if in_force.requires_keys() => {
                let text = format!("{place} needs no key any more");
                let access = AccessChange::Widened;
                differences.add(access, PART, &new.name, &text);
            }
            (true, false) if proposed.requires_keys() => {
                let text = format!("{place} needs a key");
                let access = AccessChange::Removed;
                differences.add(access, PART, &new.name, &text);
            }
            _ => {}
        }
        compare_route(differences, route, new);
    }
    for (key, route) in after {
        let open = route.anonymous || !proposed.requires_keys();
        let callers = if open { "anybody" } else { "all workspaces" };
        let text = format!("{}{} is added for {callers}", key.0, key.1);
        let access = AccessChange::Widened;
        differences.add(access, PART, &route.name, &text);
    }
}

fn compare_route(
    differences: &mut Differences,
    before: &RouteSpec,
    after: &RouteSpec,
) {
    let part = ("route", &*after.name);
    let time = |time: &Duration| format!("{time:?}");
    let times = [
        ("time limit", [&before.timeout, &after.timeout]),
        (
            "latency target",
            [&before.latency_target, &after.latency_target],
        ),
        ("pause target", [&before.gap_target, &after.gap_target]),
    ];
    for (value, pair) in times {
        differences.compare(part, value, pair, time);
    }
    let names = [&before.name, &after.name];
    differences.compare(part, "name", names, |name| format!("{name:?}"));
    let priorities = [&before.priority, &after.priority];
    differences.compare(part, "priority", priorities, u8::to_string);
    let sends = [&before.sends_max, &after.sends_max];
    differences.compare(part, "attempts", sends, u32::to_string);
    let safety = [&before.retry_safety, &after.retry_safety];
    differences.compare(part, "repetition", safety, |it| format!("{it:?}"));
    let forms = [&before.form, &after.form];
    differences.compare(part, "answers", forms, |form| {
        let text = match form {
            AnswerForm::Events => "streams",
            AnswerForm::Whole => "whole",
        };
        text.into()
    });
    let services = [&before.services, &after.services];
    differences.compare(part, "services", services, |shares| {
        let shares = shares.iter();
        let texts: Vec<_> = shares
            .map(|share| format!("{} {}", share.service, share.weight))
            .collect();
        format!("[{}]", texts.join(", "))
    });
}

/// What a workspace had and has.
#[derive(Default)]
struct WorkspaceChange {
    keys_before: u64,
    keys_removed: u64,
    keys_added: u64,
    keys_after: u64,
    priorities: [Option<Option<u8>>; 2],
}

fn compare_workspaces(
    differences: &mut Differences,
    in_force: &RoutingConfig,
    proposed: &RoutingConfig,
) {
    const PART: &str = "workspace";
    let mut changes = BTreeMap::<&WorkspaceName, WorkspaceChange>::new();
    for (key, workspace) in in_force.keys() {
        let Some(workspace) = workspace else {
            continue;
        };
        let change = changes.entry(&workspace.name).or_default();
        change.keys_before += 1;
        change.priorities[0] = Some(workspace.priority);
        let new = proposed.find_workspace(key);
        let remains = new.is_some_and(|new| new.name == workspace.name);
        change.keys_removed += u64::from(!remains);
    }
    for (key, workspace) in proposed.keys() {
        let Some(workspace) = workspace else {
            continue;
        };
        let change = changes.entry(&workspace.name).or_default();
        change.keys_after += 1;
        change.priorities[1] = Some(workspace.priority);
        let old = in_force.find_workspace(key);
        let is_old = old.is_some_and(|old| old.name == workspace.name);
        change.keys_added += u64::from(!is_old);
    }
    for (name, change) in changes {
        let name = name.as_str();
        let (removed, added) = (change.keys_removed, change.keys_added);
        if change.keys_after == 0 {
            let text = format!("no key is accepted any more, of {removed}");
            differences.add(AccessChange::Removed, PART, name, &text);
        } else if removed > 0 {
            let text = format!("keys are removed: {removed}");
            differences.add(AccessChange::Removed, PART, name, &text);
        }
        if change.keys_before == 0 {
            let text = format!("is added, with {added} keys");
            differences.add(AccessChange::Widened, PART, name, &text);
        } else if added > 0 {
            let text = format!("keys are added: {added}");
            differences.add(AccessChange::Widened, PART, name, &text);
        }
        if let [Some(before), Some(after)] = change.priorities {
            let pair = [&before, &after];
            differences.compare((PART, name), "priority", pair, |it| {
                it.map_or("of the route".into(), |it| it.to_string())
            });
        }
    }
}

fn compare_services(
    differences: &mut Differences,
    in_force: &RoutingConfig,
    proposed: &RoutingConfig,
) {
    const PART: &str = "service";
    let unchanged = AccessChange::Unchanged;
    for before in in_force.services() {
        let name = before.name.as_str();
        let Some(after) = proposed.find_service(&before.name) else {
            differences.add(unchanged, PART, name, "is removed");
            continue;
        };
        let part = (PART, name);
        let rates = [&before.cold_requests_per_s, &after.cold_requests_per_s];
        let value = "requests per second while cold";
        differences.compare(part, value, rates, f64::to_string);
        let paths = [&before.status_path, &after.status_path];
        differences.compare(part, "status path", paths, |path| {
            path.as_ref().map_or("none".into(), |it| format!("{it:?}"))
        });
        let engines = [&before.engine, &after.engine];
        differences.compare(part, "engines", engines, |engine| {
            engine.map_or("none".into(), |it| format!("{it:?}"))
        });
        let scaling = [&before.scaling, &after.scaling];
        differences.compare(part, "number of engines", scaling, |bounds| {
            bounds.map_or("fixed".into(), |it| {
                format!("{} to {}, {:?} to start", it.min, it.max, it.boot)
            })
        });
    }
    for after in proposed.services() {
        if in_force.find_service(&after.name).is_none() {
            let name = after.name.as_str();
            differences.add(unchanged, PART, name, "is added");
        }
    }
}

fn compare_limits(
    differences: &mut Differences,
    before: &CallerLimits,
    after: &CallerLimits,
) {
    let part = ("limits", "");
    let sizes = [
        ("largest body", [&before.body_max, &after.body_max]),
        ("largest head", [&before.head_max, &after.head_max]),
    ];
    for (value, pair) in sizes {
        differences.compare(part, value, pair, |size| size.to_string());
    }
    let times = [
        (
            "time for a head",
            [&before.head_timeout, &after.head_timeout],
        ),
        ("idle time", [&before.idle_timeout, &after.idle_timeout]),
    ];
    for (value, pair) in times {
        differences.compare(part, value, pair, |time| format!("{time:?}"));
    }
}
