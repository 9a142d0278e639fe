//! Configuration of the fleet as a replicated state machine over the log.
//!
//! The `config` stream holds operator orders, lease claims and snapshots.
//! Every instance applies its records in offset order to a [`FleetState`].
//! The result depends on the records alone, so all instances accept or reject
//! an order alike. The state never returns to an older offset.
//!
//! [`crate::config_reader`] reads the stream; [`crate::order_tracker`] and
//! [`crate::engine_orders`] append orders and lease claims to it.

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

/// Name of the stream with orders, lease claims and snapshots.
pub const CONFIG_STREAM: &str = "config";

value_type! {
    /// What happens to running requests when a failure domain is closed or an
    /// upstream is drained.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum DrainMode {
        /// Running requests finish.
        Finish,
        /// Running requests are moved to other upstreams where possible.
        Move,
        /// Running requests fail at once.
        Fail,
    }
}

value_type! {
    /// Rules for one failure domain.
    #[derive(Default)]
    pub struct DomainRule {
        /// How the domain was closed; `None` while it is open.
        pub closed: Option<DrainMode>,
        /// Offset of the order that last reopened the domain.
        pub reopened_at: Option<LogOffset>,
    }
}

value_type! {
    /// Rules for one upstream, which add to its entry in the instance list.
    #[derive(Default)]
    pub struct UpstreamRule {
        /// How the upstream was drained; `None` while it is in service.
        pub drained: Option<DrainMode>,
        /// Whether the upstream checks fencing tokens; `None` if unstated.
        pub checks_fencing: Option<bool>,
        /// Models that the engine should have loaded; `None` leaves them as
        /// they are.
        pub models: Option<BTreeSet<ModelName>>,
        /// Role that the engine should have; `None` leaves it as it is.
        pub role: Option<Arc<str>>,
    }
}

value_type! {
    /// Rules for one workspace.
    pub struct WorkspaceRule {
        /// SHA-256 digests of the valid API keys, in lower-case hex.
        pub key_digests: BTreeSet<Arc<str>>,
        /// Whether requests of the workspace are served.
        pub enabled: bool,
        /// Priority class of requests that name none. One of `classes`.
        pub default_class: PriorityClass,
        /// Priority classes that requests may name.
        pub classes: BTreeSet<PriorityClass>,
        /// Models that the workspace may use; `None` means all.
        pub models: Option<BTreeSet<ModelName>>,
        /// Failure domains that the workspace may use; `None` means all.
        pub domains: Option<BTreeSet<DomainId>>,
        /// Limits over the whole fleet. A request must stay within all that
        /// match it.
        pub limits: Vec<LimitRule>,
    }
}

value_type! {
    /// Limit of a workspace over the whole fleet. A bound of `None` is not
    /// enforced.
    pub struct LimitRule {
        /// Model of the requests that the limit matches; `None` means all.
        pub model: Option<ModelName>,
        /// Priority class of the requests that the limit matches; `None`
        /// means all.
        pub class: Option<PriorityClass>,
        /// Maximum rate of requests, per second.
        pub requests_per_s: Option<f64>,
        /// Maximum rate of prompt and output tokens, per second.
        pub tokens_per_s: Option<TokenRate>,
        /// Maximum number of tokens reserved on engines at once.
        pub held_tokens: Option<TokenCount>,
        /// Maximum number of requests at once.
        pub concurrency: Option<u32>,
    }
}

value_type! {
    /// Rules for a plain service, that is one without a model.
    pub struct ServiceRule {
        /// Rules by route. A route without one is not idempotent.
        pub routes: Vec<RouteRule>,
        /// Timeout of a call, in milliseconds.
        pub timeout_ms: u64,
    }
}

value_type! {
    /// Whether calls of a route may be retried.
    pub struct RouteRule {
        /// HTTP method, in upper case.
        pub method: Arc<str>,
        /// Prefix of the path, with a leading slash.
        pub path_prefix: Arc<str>,
        /// Whether calls may be sent again after a failure.
        pub idempotent: bool,
    }
}

value_type! {
    /// Permissions of an operator. Each role includes the ones before it.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum OperatorRole {
        /// May query the fleet.
        Viewer,
        /// May also give orders, except those that change credentials.
        Operator,
        /// May also change credentials.
        Admin,
    }
}

value_type! {
    /// Rules for one operator account.
    pub struct OperatorRule {
        /// SHA-256 digest of the operator's key, in lower-case hex.
        pub key_digest: Arc<str>,
        /// Permissions of the operator.
        pub role: OperatorRole,
    }
}

value_type! {
    /// Lease that allows one instance to send orders to an engine.
    pub struct LeaseEntry {
        /// Instance that holds the lease.
        pub holder: InstanceId,
        /// Incarnation of the holder when it claimed the lease.
        pub incarnation: Incarnation,
        /// Fencing token: the offset of the claim in the `config` stream.
        pub token: LogOffset,
    }
}

value_type! {
    /// Limit on model loads from the weight store, over the whole fleet.
    #[derive(Copy, Eq)]
    pub struct WeightRate {
        /// Maximum number of loads started per minute; `None` means no limit.
        pub loads_per_minute: Option<u32>,
        /// Maximum number of loads at once.
        pub concurrent: u32,
    }
}

value_type! {
    /// A change of the configuration.
    #[expect(
        missing_docs,
        reason = "the names of these fields say what they hold"
    )]
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum FleetChange {
        /// Stop placing requests in a failure domain.
        CloseDomain {
            domain: DomainId,
            /// What happens to running requests.
            mode: DrainMode,
        },
        /// Place requests in a failure domain again. Rejected if the domain
        /// has no rule.
        OpenDomain { domain: DomainId },
        /// Stop placing requests on an upstream.
        DrainUpstream {
            upstream: UpstreamId,
            /// What happens to running requests.
            mode: DrainMode,
        },
        /// Place requests on an upstream again. Rejected if the upstream has
        /// no rule.
        ReturnUpstream { upstream: UpstreamId },
        /// Set fields of the rule for an upstream.
        SetUpstream {
            upstream: UpstreamId,
            /// New values. A field of `None` keeps its present value.
            rule: UpstreamRule,
        },
        /// Add or replace a workspace.
        SetWorkspace {
            workspace: WorkspaceId,
            rule: WorkspaceRule,
        },
        /// Replace the limits of a workspace. Rejected if it does not exist.
        SetLimits {
            workspace: WorkspaceId,
            limits: Vec<LimitRule>,
        },
        /// Start or stop serving a workspace. Rejected if it does not exist.
        EnableWorkspace {
            workspace: WorkspaceId,
            enabled: bool,
        },
        /// Remove a workspace. Rejected if it does not exist.
        RemoveWorkspace { workspace: WorkspaceId },
        /// Add or replace a plain service.
        SetService {
            service: ServiceName,
            rule: ServiceRule,
        },
        /// Add or replace an operator account.
        SetOperator {
            operator: OperatorName,
            rule: OperatorRule,
        },
        /// Remove an operator account. Rejected if it does not exist.
        RemoveOperator { operator: OperatorName },
        /// Limit the model loads from the weight store.
        SetWeightRate {
            /// Maximum number of loads started per minute over the whole
            /// fleet; `None` means no limit.
            #[serde(default)]
            loads_per_minute: Option<u32>,
            /// Maximum number of loads at once over the whole fleet.
            concurrent: u32,
        },
    }
}

value_type! {
    /// An operator order as stored in the log.
    pub struct FleetOrder {
        /// Id, chosen by the issuer. An order whose id has an outcome is not
        /// applied again.
        pub order: OrderId,
        /// Version that the configuration must have for the order to be
        /// accepted; zero means that no order was accepted yet. `None` accepts
        /// any version.
        pub expect_version: Option<LogOffset>,
        /// Operator who issued the order.
        pub issued_by: OperatorName,
        /// Changes, which are applied all or none.
        pub changes: Vec<FleetChange>,
    }
}

value_type! {
    /// A record of the `config` stream.
    #[serde(tag = "record", rename_all = "snake_case")]
    pub enum FleetRecord {
        /// An operator order.
        Order(FleetOrder),
        /// A claim of the lease on sending orders to an engine.
        Lease {
            /// Engine whose lease is claimed.
            upstream: UpstreamId,
            /// Instance that claims the lease.
            holder: InstanceId,
            /// Incarnation of the claimant.
            incarnation: Incarnation,
            /// Token of the lease that the claim replaces; `None` if there is
            /// none. The claim is rejected if another lease is current.
            replaces: Option<LogOffset>,
        },
        /// The state after all records through an offset.
        Snapshot(Box<FleetSnapshot>),
    }
}

value_type! {
    /// The state after all records through an offset, with its digest.
    pub struct FleetSnapshot {
        /// State; its `applied` is the offset.
        pub state: FleetState,
        /// SHA-256 digest of the state as JSON, in lower-case hex.
        pub digest: Arc<str>,
    }
}

value_type! {
    /// Whether an order took effect.
    pub struct OrderOutcome {
        /// Offset of the order's record.
        pub offset: LogOffset,
        /// Whether it took effect.
        pub accepted: bool,
        /// Why it was rejected; `None` if it was accepted.
        pub reason: Option<Arc<str>>,
    }
}

value_type! {
    /// The configuration after all records through an offset.
    #[derive(Default)]
    pub struct FleetState {
        /// Highest offset applied; `None` before the first record.
        pub applied: Option<LogOffset>,
        /// Offset of the last accepted order; zero before the first.
        pub version: LogOffset,
        /// When the newest snapshot was appended, by the log service's clock.
        /// Before the first snapshot, when the first record was.
        pub snapshot_at: Option<LogTime>,
        /// Id of the last accepted order.
        pub last_order: Option<OrderId>,
        /// Rules of the failure domains that have one.
        pub domains: BTreeMap<DomainId, DomainRule>,
        /// Rules of the upstreams that have one.
        pub upstreams: BTreeMap<UpstreamId, UpstreamRule>,
        /// Rules of all workspaces.
        pub workspaces: BTreeMap<WorkspaceId, Arc<WorkspaceRule>>,
        /// Rules of all plain services.
        pub services: BTreeMap<ServiceName, ServiceRule>,
        /// All operator accounts.
        pub operators: BTreeMap<OperatorName, OperatorRule>,
        /// Current leases on sending orders to engines.
        pub leases: BTreeMap<UpstreamId, LeaseEntry>,
        /// Limit on model loads, if one was set.
        ///
        /// Not serialized if absent, so that digests of snapshots from before
        /// this field stay valid.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub weight_rate: Option<WeightRate>,
        /// Outcomes of the last [`OUTCOMES_KEPT`] orders.
        pub outcomes: BTreeMap<OrderId, OrderOutcome>,
    }
}
