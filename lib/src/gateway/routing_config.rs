//! Desired state of the operators: routes, services, workspaces and limits.
//!
//! A version is applied as a whole. An instance never returns to a version
//! below the newest one that it has applied.

use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use http::HeaderValue;

use super::cost_model::EngineProfile;
use crate::{ids::ServiceName, quantity_type, units::ByteSize};

quantity_type! {
    /// Version of the desired state; a newer version is larger.
    ConfigVersion, ""
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once for each attempt of a caller.
    AtMostOnce,
}

/// Form of a route's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// One response body.
    Whole,
    /// A stream of events with ids.
    Events,
}

/// A service in a route's traffic split.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the route's other services; 0 receives no requests.
    pub weight: u32,
}

/// Configuration of one route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name of the route, for logs and errors.
    pub name: Arc<str>,
    /// Host that requests must name, in lower case.
    pub host: Arc<str>,
    /// Path prefix that requests must have; it starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be sent again after it may have run.
    pub retry_safety: RetrySafety,
    /// Form of the answers.
    pub form: AnswerForm,
    /// Longest time that a request may take, even if its caller allows more.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers expect.
    pub latency_target: Duration,
    /// Longest pause between two events that callers expect.
    pub gap_target: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services among which the requests are divided by weight.
    pub services: Vec<ServiceShare>,
    /// Most upstreams to which one attempt of a caller may be sent.
    pub sends_max: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

/// Lower bound of [`RouteSpec::abandon_after`].
const ABANDON_MIN: Duration = Duration::from_secs(2);
/// Latency targets after which callers abandon a stream without any event.
const ABANDON_TARGETS: u32 = 4;
/// Expected gaps after which callers abandon a silent stream.
const ABANDON_GAPS: u32 = 8;

impl RouteSpec {
    /// Time after which callers abandon a stream that has no first event; at
    /// most the route's `timeout`.
    pub fn abandon_after(&self) -> Duration {
        let targets = self.latency_target * ABANDON_TARGETS;
        let gaps = self.gap_target * ABANDON_GAPS;
        ABANDON_MIN.max(targets).max(gaps).min(self.timeout)
    }

    /// Chooses a service by weight; `draw` is a random number from 0 to below
    /// 1. `None` if the weights are all 0.
    pub fn draw_service(&self, draw: f64) -> Option<&ServiceName> {
        let weights = self.services.iter().map(|it| u64::from(it.weight));
        let total: u64 = weights.sum();
        let mut left = (draw * total as f64) as u64;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests per second that one cold upstream tolerates; 0 if upstreams of
    /// the service are never cold.
    pub cold_requests_per_s: f64,
    /// Speed and capacity of the upstreams if they are engines; `None`
    /// otherwise.
    pub engine: Option<EngineProfile>,
    /// Path at which the upstreams tell their status; `None` if it is not
    /// known.
    pub status_path: Option<StatusPath>,
    /// Bounds on the number of engines that may be ordered; `None` if the
    /// number cannot be changed.
    pub scaling: Option<ScalingBounds>,
}

/// Bounds on the number of engines of a service in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScalingBounds {
    /// Fewest engines.
    pub min: u32,
    /// Most engines.
    pub max: u32,
    /// Time from an order until a new engine serves.
    pub boot: Duration,
}

/// Path at which the upstreams of a service tell whether they serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusPath(Arc<str>);

impl StatusPath {
    /// The path as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Error for a text that is no path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusPathError(Arc<str>);

impl Display for StatusPathError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is no path that begins with a slash",
            self.0
        )
    }
}

impl std::error::Error for StatusPathError {}

impl Display for StatusPath {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for StatusPath {
    type Err = StatusPathError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_path = text.starts_with('/')
            && text.parse::<http::uri::PathAndQuery>().is_ok();
        if is_path {
            Ok(Self(text.into()))
        } else {
            Err(StatusPathError(text.into()))
        }
    }
}

/// Longest name of a workspace in bytes, so that it leaves room for the other
/// headers of a request.
const WORKSPACE_NAME_MAX_BYTES: usize = 1_024;

/// Name of a workspace as the operators write it: any text that a header can
/// carry unchanged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkspaceName(Arc<str>);

impl WorkspaceName {
    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Error for a name that no header can carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceNameError;

impl Display for WorkspaceNameError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "the name of a workspace has 1 to {WORKSPACE_NAME_MAX_BYTES} \
             bytes, no control characters, and no space at its ends",
        )
    }
}

impl std::error::Error for WorkspaceNameError {}

impl FromStr for WorkspaceName {
    type Err = WorkspaceNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // Receivers drop spaces and tabs at the ends of a header's value, so
        // that the name would become another one.
        let is_whole = text.trim_matches([' ', '\t']) == text;
        let has_length = (1..=WORKSPACE_NAME_MAX_BYTES).contains(&text.len());
        let is_value = HeaderValue::from_bytes(text.as_bytes()).is_ok();
        if is_whole && has_length && is_value {
            Ok(Self(text.into()))
        } else {
            Err(WorkspaceNameError)
        }
    }
}

/// A part of a desired state that cannot be used. The other parts are in force
/// without it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Kind of the part.
    pub kind: &'static str,
    /// Name of the part, as far as it can be read.
    pub name: Arc<str>,
    /// Why it cannot be used.
    pub reason: Arc<str>,
}

/// A part of a desired state that no request can use, since another part takes
/// its place or it has no keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplacedPart {
    /// Kind of the part.
    pub kind: &'static str,
    /// Name of the part.
    pub name: Arc<str>,
    /// What takes its place.
    pub reason: Arc<str>,
}

/// Most parts without use that are kept, for operators.
const REPLACED_MAX: usize = 100;

/// Configuration of one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Priority that replaces the route's; `None` keeps it.
    pub priority: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest request body.
    pub body_max: ByteSize,
    /// Largest request head.
    pub head_max: ByteSize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_max: ByteSize::new(4 << 20),
            head_max: ByteSize::new(16 << 10),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the desired state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Version of this desired state.
    pub version: ConfigVersion,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<RouteSpec>>>,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    /// Shortest pause that the streams of each service accept.
    shortest_pauses: BTreeMap<ServiceName, Duration>,
    /// Workspace of each key; `None` if the workspace cannot be used.
    keys: BTreeMap<Arc<str>, Option<Arc<WorkspaceSpec>>>,
    requires_keys: bool,
    /// Whether there may be keys that were not read.
    has_unread_keys: bool,
    /// Whether there may be routes that were not read.
    has_unread_routes: bool,
    faults: Vec<ConfigFault>,
    replaced: Vec<ReplacedPart>,
}

/// Result of the authentication of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The request needs no key.
    Anonymous,
    /// The key belongs to this workspace.
    Workspace(Arc<WorkspaceSpec>),
    /// The key belongs to a workspace that cannot be used, or perhaps to one
    /// that was not read.
    Unusable,
    /// The key is missing or belongs to no workspace.
    Unknown,
}

impl RoutingConfig {
    /// Creates a desired state without routes, services and workspaces.
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Sets the limits on callers.
    pub fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Adds a route; it replaces an earlier one with the same host and prefix.
    pub fn with_route(mut self, route: RouteSpec) -> Self {
        if route.form == AnswerForm::Events {
            // A route without a pause target still has one for the first event.
            let pause = route.gap_target.min(route.latency_target);
            for share in &route.services {
                self.shortest_pauses
                    .entry(share.service.clone())
                    .and_modify(|shortest| *shortest = pause.min(*shortest))
                    .or_insert(pause);
            }
        }
        let prefixes = self.routes.entry(route.host.clone()).or_default();
        let former = prefixes.insert(route.prefix.clone(), Arc::new(route));
        if let Some(former) = former {
            let (host, prefix) = (&former.host, &former.prefix);
            let reason = format!("a later route has {host}{prefix}, too");
            self.add_replaced("route", &former.name, &reason);
        }
        self
    }

    /// Records a part that no request can use.
    fn add_replaced(&mut self, kind: &'static str, name: &str, reason: &str) {
        let is_known = |part: &ReplacedPart| {
            part.kind == kind && *part.name == *name && *part.reason == *reason
        };
        if self.replaced.len() < REPLACED_MAX
            && !self.replaced.iter().any(is_known)
        {
            self.replaced.push(ReplacedPart {
                kind,
                name: name.into(),
                reason: reason.into(),
            });
        }
    }

    /// Adds a service; it replaces an earlier one with the same name.
    pub fn with_service(mut self, service: ServiceSpec) -> Self {
        let name = service.name.clone();
        let former = self.services.insert(name.clone(), Arc::new(service));
        if former.is_some() {
            let reason = "a later service has the name, too";
            self.add_replaced("service", name.as_str(), reason);
        }
        self
    }

    /// Adds a route that cannot be used, unless there is one with the same host
    /// and prefix. Its requests are refused before their keys are looked at.
    pub fn with_unusable_route(self, host: Arc<str>, prefix: Arc<str>) -> Self {
        let prefixes = self.routes.get(&host);
        if prefixes.is_some_and(|known| known.contains_key(&prefix)) {
            return self;
        }
        self.with_route(RouteSpec {
            name: format!("{host}{prefix}").into(),
            host,
            prefix,
            retry_safety: RetrySafety::AtMostOnce,
            form: AnswerForm::Whole,
            timeout: Duration::ZERO,
            latency_target: Duration::ZERO,
            gap_target: Duration::ZERO,
            priority: 0,
            services: Vec::new(),
            sends_max: 0,
            anonymous: true,
        })
    }

    /// Adds a part that cannot be used.
    pub fn with_fault(mut self, fault: ConfigFault) -> Self {
        self.faults.push(fault);
        self
    }

    /// Records that there may be routes that were not read.
    pub fn with_unread_routes(mut self) -> Self {
        self.has_unread_routes = true;
        self
    }

    /// Records that there may be keys that were not read.
    pub fn with_unread_keys(mut self) -> Self {
        self.has_unread_keys = true;
        self
    }

    /// Requires keys on all routes that are not anonymous, also if there is no
    /// workspace.
    pub fn with_required_keys(mut self) -> Self {
        self.requires_keys = true;
        self
    }

    /// Adds keys of a workspace that cannot be used.
    pub fn with_unusable_keys(
        mut self,
        keys: impl IntoIterator<Item = Arc<str>>,
    ) -> Self {
        for key in keys {
            self.keys.entry(key).or_insert(None);
        }
        self.with_required_keys()
    }

    /// Parts that cannot be used.
    pub fn faults(&self) -> &[ConfigFault] {
        &self.faults
    }

    /// Some of the parts that no request can use.
    pub fn replaced_parts(&self) -> &[ReplacedPart] {
        &self.replaced
    }

    /// Whether routes that are not anonymous need a key.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// All routes, in the order of their hosts and prefixes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteSpec>> {
        self.routes.values().flat_map(BTreeMap::values)
    }

    /// All keys with their workspaces; `None` if the workspace cannot be used.
    pub fn keys(&self) -> impl Iterator<Item = (&str, Option<&WorkspaceSpec>)> {
        let keys = self.keys.iter();
        keys.map(|(key, workspace)| (&**key, workspace.as_deref()))
    }

    /// Returns the workspace of a key, if it can be used.
    pub fn find_workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        self.keys.get(key)?.as_deref()
    }

    /// Whether a path without a route may have one that was not read.
    pub fn has_unread_routes(&self) -> bool {
        self.has_unread_routes
    }

    /// Adds a workspace with its keys. As soon as there is a workspace, all
    /// routes that are not anonymous need a key.
    pub fn with_workspace(
        mut self,
        workspace: WorkspaceSpec,
        keys: impl IntoIterator<Item = Arc<str>>,
    ) -> Self {
        let workspace = Arc::new(workspace);
        self.requires_keys = true;
        let name = workspace.name.as_str();
        let mut has_keys = false;
        for key in keys {
            has_keys = true;
            let former = self.keys.insert(key, Some(workspace.clone()));
            let Some(former) = former.flatten() else {
                continue;
            };
            if former.name != workspace.name {
                let reason = format!("one of its keys is {name:?}'s, too");
                let former = former.name.as_str();
                self.add_replaced("workspace", former, &reason);
            }
        }
        if !has_keys {
            self.add_replaced("workspace", name, "it has no keys");
        }
        self
    }

    /// Returns the route of a host with the longest prefix of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<Arc<RouteSpec>> {
        let prefixes = self.routes.get(host)?;
        let slashes = path.match_indices('/').map(|(at, _)| at + 1);
        let mut found = None;
        for end in slashes {
            if let Some(route) = prefixes.get(&path[..end]) {
                found = Some(route);
            }
        }
        found.cloned()
    }

    /// Returns the service with this name.
    pub fn find_service(
        &self,
        name: &ServiceName,
    ) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Shortest pause, between two events or before the first one, at which all
    /// streams of a service are on time; `None` if it has no streams.
    pub fn shortest_pause(&self, service: &ServiceName) -> Option<Duration> {
        self.shortest_pauses.get(service).copied()
    }

    /// All services, in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Identifies the caller of a request with this key on this route.
    pub fn identify(
        &self,
        route: &RouteSpec,
        key: Option<&str>,
    ) -> CallerIdentity {
        if route.anonymous || !self.requires_keys {
            return CallerIdentity::Anonymous;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(Some(workspace)) => {
                CallerIdentity::Workspace(workspace.clone())
            }
            Some(None) => CallerIdentity::Unusable,
            None if key.is_some() && self.has_unread_keys => {
                CallerIdentity::Unusable
            }
            None => CallerIdentity::Unknown,
        }
    }
}
