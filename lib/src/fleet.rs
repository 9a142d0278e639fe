//! The fleet's configuration as a state machine over the log.
//!
//! Every instance applies the records of the `config` stream in offset order
//! with this code, so that all of them judge an order alike. The state never
//! goes back to an older offset.

mod apply;
mod change;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

pub use self::{
    apply::{ApplyOutcome, OUTCOMES_KEPT, OrderRejection, SnapshotError},
    change::ChangeError,
};
use crate::{
    api::PriorityClass,
    ids::{
        DomainId, InstanceId, ModelName, OperatorName, OrderId, ServiceName,
        UpstreamId, WorkspaceId,
    },
    units::{Incarnation, LogOffset, LogTime, TokenCount, TokenRate},
    value_type,
};

/// Name of the stream with orders and snapshots.
pub const CONFIG_STREAM: &str = "config";

value_type! {
    /// What becomes of running work when a domain or upstream is taken out.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum DrainMode {
        /// Running work finishes.
        Finish,
        /// Running work is moved elsewhere where that is possible.
        Move,
        /// Running work fails at once.
        Fail,
    }
}

value_type! {
    /// Rules for one failure domain.
    #[derive(Default)]
    pub struct DomainRule {
        /// Set while the domain is closed.
        pub closed: Option<DrainMode>,
        /// Offset at which the domain was last reopened.
        pub reopened_at: Option<LogOffset>,
    }
}

value_type! {
    /// Rules for one upstream, over what the instance list says.
    #[derive(Default)]
    pub struct UpstreamRule {
        /// Set while the upstream is drained.
        pub drained: Option<DrainMode>,
        /// Whether it checks fencing tokens, where that was stated.
        pub checks_fencing: Option<bool>,
        /// Models that it is meant to carry, where that was stated.
        pub models: Option<BTreeSet<ModelName>>,
        /// Role that it is meant to have, where that was stated.
        pub role: Option<Arc<str>>,
    }
}

value_type! {
    /// Rules for one workspace.
    pub struct WorkspaceRule {
        /// SHA-256 of each valid key, in lower-case hex.
        pub key_digests: BTreeSet<Arc<str>>,
        /// Whether it is served at all.
        pub enabled: bool,
        /// Class of requests that name none.
        pub default_class: PriorityClass,
        /// Classes that it may ask for.
        pub classes: BTreeSet<PriorityClass>,
        /// Models that it may use; absent means all.
        pub models: Option<BTreeSet<ModelName>>,
        /// Failure domains that it may use; absent means all.
        pub domains: Option<BTreeSet<DomainId>>,
        /// Limits over the whole fleet; all that match hold.
        pub limits: Vec<LimitRule>,
    }
}

value_type! {
    /// A limit of a workspace over the whole fleet.
    pub struct LimitRule {
        /// Only requests for this model, if set.
        pub model: Option<ModelName>,
        /// Only requests of this class, if set.
        pub class: Option<PriorityClass>,
        /// Requests per second.
        pub requests_per_s: Option<f64>,
        /// Prompt and output tokens per second.
        pub tokens_per_s: Option<TokenRate>,
        /// Tokens held at once.
        pub held_tokens: Option<TokenCount>,
        /// Requests at once.
        pub concurrency: Option<u32>,
    }
}

value_type! {
    /// Rules for one plain service.
    pub struct ServiceRule {
        /// Routes; one that is not listed is not idempotent.
        pub routes: Vec<RouteRule>,
        /// Time for one call, in milliseconds.
        pub timeout_ms: u64,
    }
}

value_type! {
    /// Whether calls of a route may be repeated.
    pub struct RouteRule {
        /// HTTP method.
        pub method: Arc<str>,
        /// Prefix of the path, with its leading slash.
        pub path_prefix: Arc<str>,
        /// Whether a repeat does no harm.
        pub idempotent: bool,
    }
}

value_type! {
    /// What an operator may do.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum OperatorRole {
        /// May ask.
        Viewer,
        /// May ask and give orders, but for credentials.
        Operator,
        /// May do everything.
        Admin,
    }
}

value_type! {
    /// Rules for one operator account.
    pub struct OperatorRule {
        /// SHA-256 of the key, in lower-case hex.
        pub key_digest: Arc<str>,
        /// What the operator may do.
        pub role: OperatorRole,
    }
}

value_type! {
    /// The lease on giving orders to one upstream.
    pub struct LeaseEntry {
        /// Holder.
        pub holder: InstanceId,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Fencing token: the offset of the claim.
        pub token: LogOffset,
    }
}

value_type! {
    /// How fast the weight store may be read by the whole fleet.
    #[derive(Copy, Eq)]
    pub struct WeightRate {
        /// Most loads begun in a minute, if that is limited.
        pub loads_per_minute: Option<u32>,
        /// Most loads at once.
        pub concurrent: u32,
    }
}

value_type! {
    /// One change of the configuration.
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum FleetChange {
        /// Take a failure domain out.
        CloseDomain {
            /// Domain.
            domain: DomainId,
            /// What becomes of running work.
            mode: DrainMode,
        },
        /// Put a failure domain back.
        OpenDomain {
            /// Domain.
            domain: DomainId,
        },
        /// Take an upstream out.
        DrainUpstream {
            /// Upstream.
            upstream: UpstreamId,
            /// What becomes of running work.
            mode: DrainMode,
        },
        /// Put an upstream back.
        ReturnUpstream {
            /// Upstream.
            upstream: UpstreamId,
        },
        /// State facts about an upstream.
        SetUpstream {
            /// Upstream.
            upstream: UpstreamId,
            /// Rule.
            rule: UpstreamRule,
        },
        /// Add or replace a workspace.
        SetWorkspace {
            /// Workspace.
            workspace: WorkspaceId,
            /// Rule.
            rule: WorkspaceRule,
        },
        /// Replace the limits of a workspace.
        SetLimits {
            /// Workspace.
            workspace: WorkspaceId,
            /// Limits.
            limits: Vec<LimitRule>,
        },
        /// Serve a workspace or stop serving it.
        EnableWorkspace {
            /// Workspace.
            workspace: WorkspaceId,
            /// Whether it is served.
            enabled: bool,
        },
        /// Remove a workspace.
        RemoveWorkspace {
            /// Workspace.
            workspace: WorkspaceId,
        },
        /// Add or replace a plain service.
        SetService {
            /// Service.
            service: ServiceName,
            /// Rule.
            rule: ServiceRule,
        },
        /// Add or replace an operator account.
        SetOperator {
            /// Operator.
            operator: OperatorName,
            /// Rule.
            rule: OperatorRule,
        },
        /// Remove an operator account.
        RemoveOperator {
            /// Operator.
            operator: OperatorName,
        },
        /// Set how fast the weight store may be read.
        SetWeightRate {
            /// Most loads begun in a minute, over the whole fleet.
            #[serde(default)]
            loads_per_minute: Option<u32>,
            /// Most loads at once, over the whole fleet.
            concurrent: u32,
        },
    }
}

value_type! {
    /// An operator order as it stands in the log.
    pub struct FleetOrder {
        /// Id, chosen by whoever issues it.
        pub order: OrderId,
        /// Configuration version that the order expects, if it matters.
        pub expect_version: Option<LogOffset>,
        /// Who issued it.
        pub issued_by: OperatorName,
        /// What changes, all or none.
        pub changes: Vec<FleetChange>,
    }
}

value_type! {
    /// One record of the `config` stream.
    #[serde(tag = "record", rename_all = "snake_case")]
    pub enum FleetRecord {
        /// An operator order.
        Order(FleetOrder),
        /// A claim of the lease on giving orders to an upstream.
        Lease {
            /// Upstream.
            upstream: UpstreamId,
            /// Claimant.
            holder: InstanceId,
            /// Incarnation of the claimant.
            incarnation: Incarnation,
            /// Token of the lease that it replaces, if any.
            replaces: Option<LogOffset>,
        },
        /// The state through an offset.
        Snapshot(Box<FleetSnapshot>),
    }
}

value_type! {
    /// The state through an offset, with a digest.
    pub struct FleetSnapshot {
        /// State.
        pub state: FleetState,
        /// SHA-256 of the state's JSON, in lower-case hex.
        pub digest: Arc<str>,
    }
}

value_type! {
    /// How an order was judged.
    pub struct OrderOutcome {
        /// Offset of the order.
        pub offset: LogOffset,
        /// Whether it took effect.
        pub accepted: bool,
        /// Why it was rejected.
        pub reason: Option<Arc<str>>,
    }
}

value_type! {
    /// The configuration through an offset.
    #[derive(Default)]
    pub struct FleetState {
        /// Highest offset applied, if any.
        pub applied: Option<LogOffset>,
        /// Offset of the last record that changed the configuration.
        pub version: LogOffset,
        /// When the newest snapshot was appended, by the log service's clock;
        /// without one, when the first record was.
        pub snapshot_at: Option<LogTime>,
        /// Order that made the last change.
        pub last_order: Option<OrderId>,
        /// Failure domains with rules.
        pub domains: BTreeMap<DomainId, DomainRule>,
        /// Upstreams with rules.
        pub upstreams: BTreeMap<UpstreamId, UpstreamRule>,
        /// Workspaces.
        pub workspaces: BTreeMap<WorkspaceId, Arc<WorkspaceRule>>,
        /// Plain services.
        pub services: BTreeMap<ServiceName, ServiceRule>,
        /// Operator accounts.
        pub operators: BTreeMap<OperatorName, OperatorRule>,
        /// Leases on giving orders to upstreams.
        pub leases: BTreeMap<UpstreamId, LeaseEntry>,
        /// How fast the weight store may be read, where that was stated.
        ///
        /// Left out where absent, so that digests of older snapshots hold.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub weight_rate: Option<WeightRate>,
        /// Outcomes of the latest orders.
        pub outcomes: BTreeMap<OrderId, OrderOutcome>,
    }
}
