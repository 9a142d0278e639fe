//! The desired state: routes, services, workspaces and caller limits.
//!
//! A version is applied as a whole. A gateway never returns to a version
//! below the newest one that it has applied.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::cost_model::EngineProfile;
use crate::{
    ids::{ServiceName, WorkspaceId},
    quantity_type,
    units::ByteSize,
};

quantity_type! {
    /// Version of the desired state; later versions are larger.
    ConfigVersion, ""
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Any number of times.
    Idempotent,
    /// At most once for each attempt of a caller.
    AtMostOnce,
}

/// Form of a route's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// One body.
    Whole,
    /// Numbered events.
    Events,
}

/// One service that a route sends to, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Service.
    pub service: ServiceName,
    /// Weight against the route's other services.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that the route belongs to, in lower case.
    pub host: Arc<str>,
    /// Path prefix, from one slash to another.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub retry_safety: RetrySafety,
    /// Form of the answers.
    pub form: AnswerForm,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers expect.
    pub target: Duration,
    /// Longest pause between two events that callers expect.
    pub gap: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Services that take the requests.
    pub services: Vec<ServiceShare>,
    /// Most upstreams that one attempt of a caller may be sent to.
    pub sends_max: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

/// Shortest silence after which callers give a stream up.
const FIRST_EVENT_TIMEOUT_MIN: Duration = Duration::from_secs(2);
/// Targets, and pauses, after which callers give a stream up.
const FIRST_EVENT_TIMEOUT_TARGETS: u32 = 4;
const FIRST_EVENT_TIMEOUT_GAPS: u32 = 8;

impl RouteSpec {
    /// Silence after which callers give a stream of this route up.
    pub fn first_event_timeout(&self) -> Duration {
        let targets = self.target * FIRST_EVENT_TIMEOUT_TARGETS;
        let gaps = self.gap * FIRST_EVENT_TIMEOUT_GAPS;
        FIRST_EVENT_TIMEOUT_MIN
            .max(targets)
            .max(gaps)
            .min(self.timeout)
    }

    /// Picks a service by weight; `draw` is at least 0 and below 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|share| share.weight).sum();
        let mut left = (draw * f64::from(total)) as u32;
        for share in &self.services {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        None
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Requests per second that one cold upstream tolerates; 0 if none of
    /// the service's upstreams becomes cold.
    pub cold_rate: f64,
    /// Speed and memory of the upstreams, if they are engines.
    pub engine: Option<EngineProfile>,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Rank that takes the place of the route's.
    pub priority: Option<u8>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest request body.
    pub body: ByteSize,
    /// Largest request head.
    pub head: ByteSize,
    /// Time for a request head to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body: ByteSize::new(4 << 20),
            head: ByteSize::new(16 << 10),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the desired state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Limits on callers.
    pub limits: CallerLimits,
    routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<RouteSpec>>>,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    keys: BTreeMap<Arc<str>, Arc<WorkspaceSpec>>,
    requires_keys: bool,
}

/// What the credentials of a request amount to.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The request needs no key.
    Anonymous,
    /// The key belongs to a workspace.
    Workspace(Arc<WorkspaceSpec>),
    /// The key is missing or belongs to nobody.
    Unknown,
}

impl RoutingConfig {
    /// An empty desired state.
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

    /// Adds a route; of two with the same host and prefix, the last counts.
    pub fn with_route(mut self, route: RouteSpec) -> Self {
        let prefixes = self.routes.entry(route.host.clone()).or_default();
        prefixes.insert(route.prefix.clone(), Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: ServiceSpec) -> Self {
        self.services
            .insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Adds a workspace with its keys; from then on requests need a key.
    pub fn with_workspace(
        mut self,
        workspace: WorkspaceSpec,
        keys: impl IntoIterator<Item = Arc<str>>,
    ) -> Self {
        let workspace = Arc::new(workspace);
        self.requires_keys = true;
        for key in keys {
            self.keys.insert(key, workspace.clone());
        }
        self
    }

    /// Route of a host with the longest prefix that begins the path.
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

    /// Service of a name.
    pub fn find_service(
        &self,
        name: &ServiceName,
    ) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Who sends a request with this key on this route.
    pub fn identify(
        &self,
        route: &RouteSpec,
        key: Option<&str>,
    ) -> CallerIdentity {
        if route.anonymous || !self.requires_keys {
            return CallerIdentity::Anonymous;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(workspace) => CallerIdentity::Workspace(workspace.clone()),
            None => CallerIdentity::Unknown,
        }
    }
}
