//! Validation and application of the changes of an order.

use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
    sync::Arc,
};

use super::{
    DomainRule, FleetChange, FleetState, LimitRule, OperatorRule, ServiceRule,
    UpstreamRule, WeightRate, WorkspaceRule,
};
use crate::{
    ids::{DomainId, OperatorName, UpstreamId, WorkspaceId},
    units::LogOffset,
};

/// Maximum timeout of a call to a plain service, in milliseconds.
const SERVICE_TIMEOUT_MAX_MS: u64 = 3_600_000;
/// Number of hex digits of a SHA-256 digest.
const DIGEST_HEX_LENGTH: usize = 64;

/// Why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// The change needs a subject that does not exist.
    UnknownSubject {
        /// Kind of the subject, such as `workspace`.
        kind: &'static str,
        /// Id of the subject.
        name: String,
    },
    /// A value of the change is not allowed.
    Invalid {
        /// Id of the subject and path of the field, joined by a dot.
        field: String,
        /// Rule that the value violates.
        problem: &'static str,
    },
}

impl Display for ChangeError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownSubject { kind, name } => {
                write!(formatter, "unknown {kind} {name}")
            }
            Self::Invalid { field, problem } => {
                write!(formatter, "{field}: {problem}")
            }
        }
    }
}

impl std::error::Error for ChangeError {}

/// Subjects that exist after the changes of an order that were checked so far.
///
/// Whether a change is valid depends only on its values and on whether its
/// subject exists, so an order is checked without a copy of the state.
pub(super) struct SubjectOverlay<'a> {
    state: &'a FleetState,
    domains: BTreeMap<&'a DomainId, bool>,
    upstreams: BTreeMap<&'a UpstreamId, bool>,
    workspaces: BTreeMap<&'a WorkspaceId, bool>,
    operators: BTreeMap<&'a OperatorName, bool>,
}

impl<'a> SubjectOverlay<'a> {
    pub(super) fn new(state: &'a FleetState) -> Self {
        Self {
            state,
            domains: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            operators: BTreeMap::new(),
        }
    }

    /// Checks one change and records what it adds or removes.
    pub(super) fn check(
        &mut self,
        change: &'a FleetChange,
    ) -> Result<(), ChangeError> {
        match change {
            FleetChange::CloseDomain { domain, .. } => {
                self.domains.insert(domain, true);
            }
            FleetChange::OpenDomain { domain } => {
                let exists = self.state.domains.contains_key(domain);
                let exists = *self.domains.get(domain).unwrap_or(&exists);
                require_exists(exists, "domain without a rule", domain)?;
            }
            FleetChange::DrainUpstream { upstream, .. }
            | FleetChange::SetUpstream { upstream, .. } => {
                self.upstreams.insert(upstream, true);
            }
            FleetChange::ReturnUpstream { upstream } => {
                let exists = self.state.upstreams.contains_key(upstream);
                let exists = *self.upstreams.get(upstream).unwrap_or(&exists);
                require_exists(exists, "upstream without a rule", upstream)?;
            }
            FleetChange::SetWorkspace { workspace, rule } => {
                require_valid_workspace(workspace, rule)?;
                self.workspaces.insert(workspace, true);
            }
            FleetChange::SetLimits { workspace, limits } => {
                self.require_workspace(workspace)?;
                require_valid_limits(workspace, limits)?;
            }
            FleetChange::EnableWorkspace { workspace, .. } => {
                self.require_workspace(workspace)?;
            }
            FleetChange::RemoveWorkspace { workspace } => {
                self.require_workspace(workspace)?;
                self.workspaces.insert(workspace, false);
            }
            FleetChange::SetService { service, rule } => {
                require_valid_service(service, rule)?;
            }
            FleetChange::SetOperator { operator, rule } => {
                require_valid_operator(operator, rule)?;
                self.operators.insert(operator, true);
            }
            FleetChange::RemoveOperator { operator } => {
                let exists = self.state.operators.contains_key(operator);
                let exists = *self.operators.get(operator).unwrap_or(&exists);
                require_exists(exists, "operator", operator)?;
                self.operators.insert(operator, false);
            }
            FleetChange::SetWeightRate {
                loads_per_minute,
                concurrent,
            } => {
                let positive = *concurrent > 0 && *loads_per_minute != Some(0);
                let subject = "weight_rate";
                require(positive, &subject, "value", "must not be zero")?;
            }
        }
        Ok(())
    }

    fn require_workspace(&self, id: &WorkspaceId) -> Result<(), ChangeError> {
        let exists = self.state.workspaces.contains_key(id);
        let exists = *self.workspaces.get(id).unwrap_or(&exists);
        require_exists(exists, "workspace", id)
    }
}

/// Applies a change that was checked. `offset` is that of its order.
pub(super) fn apply_change(
    state: &mut FleetState,
    offset: LogOffset,
    change: FleetChange,
) {
    match change {
        FleetChange::CloseDomain { domain, mode } => {
            state.domains.entry(domain).or_default().closed = Some(mode);
        }
        FleetChange::OpenDomain { domain } => {
            let rule = DomainRule {
                closed: None,
                reopened_at: Some(offset),
            };
            state.domains.insert(domain, rule);
        }
        FleetChange::DrainUpstream { upstream, mode } => {
            state.upstreams.entry(upstream).or_default().drained = Some(mode);
        }
        FleetChange::ReturnUpstream { upstream } => {
            state.upstreams.entry(upstream).or_default().drained = None;
        }
        FleetChange::SetUpstream { upstream, rule } => {
            merge_upstream(state.upstreams.entry(upstream).or_default(), rule);
        }
        FleetChange::SetWorkspace { workspace, rule } => {
            state.workspaces.insert(workspace, Arc::new(rule));
        }
        FleetChange::SetLimits { workspace, limits } => {
            if let Some(rule) = state.workspaces.get_mut(&workspace) {
                Arc::make_mut(rule).limits = limits;
            }
        }
        FleetChange::EnableWorkspace { workspace, enabled } => {
            if let Some(rule) = state.workspaces.get_mut(&workspace) {
                Arc::make_mut(rule).enabled = enabled;
            }
        }
        FleetChange::RemoveWorkspace { workspace } => {
            state.workspaces.remove(&workspace);
        }
        FleetChange::SetService { service, rule } => {
            state.services.insert(service, rule);
        }
        FleetChange::SetOperator { operator, rule } => {
            state.operators.insert(operator, rule);
        }
        FleetChange::RemoveOperator { operator } => {
            state.operators.remove(&operator);
        }
        FleetChange::SetWeightRate {
            loads_per_minute,
            concurrent,
        } => {
            state.weight_rate = Some(WeightRate {
                loads_per_minute,
                concurrent,
            });
        }
    }
}

/// Sets the fields of a rule that are present in `stated` and keeps the
/// others, so that an order that sets a role does not end an earlier drain.
fn merge_upstream(rule: &mut UpstreamRule, stated: UpstreamRule) {
    rule.drained = stated.drained.or(rule.drained);
    rule.checks_fencing = stated.checks_fencing.or(rule.checks_fencing);
    rule.models = stated.models.or_else(|| rule.models.take());
    rule.role = stated.role.or_else(|| rule.role.take());
}

fn require_exists(
    exists: bool,
    kind: &'static str,
    name: &impl Display,
) -> Result<(), ChangeError> {
    if exists {
        return Ok(());
    }
    let name = name.to_string();
    Err(ChangeError::UnknownSubject { kind, name })
}

fn require(
    valid: bool,
    subject: &impl Display,
    field: &str,
    problem: &'static str,
) -> Result<(), ChangeError> {
    if valid {
        return Ok(());
    }
    let field = format!("{subject}.{field}");
    Err(ChangeError::Invalid { field, problem })
}

fn is_digest(text: &str) -> bool {
    let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_HEX_LENGTH && text.bytes().all(hex)
}

fn require_valid_workspace(
    id: &WorkspaceId,
    rule: &WorkspaceRule,
) -> Result<(), ChangeError> {
    let digests = rule.key_digests.iter().all(|digest| is_digest(digest));
    require(
        digests,
        id,
        "key_digests",
        "must be SHA-256 in lower-case hex",
    )?;
    let default = rule.classes.contains(&rule.default_class);
    require(default, id, "default_class", "must be one of the classes")?;
    require_valid_limits(id, &rule.limits)
}

fn require_valid_limits(
    id: &WorkspaceId,
    limits: &[LimitRule],
) -> Result<(), ChangeError> {
    for limit in limits {
        let rate = limit.requests_per_s.unwrap_or(0.0);
        let valid = rate.is_finite() && rate >= 0.0;
        require(valid, id, "limits.requests_per_s", "must not be negative")?;
    }
    Ok(())
}

fn require_valid_service(
    id: &impl Display,
    rule: &ServiceRule,
) -> Result<(), ChangeError> {
    let timeout = (1..=SERVICE_TIMEOUT_MAX_MS).contains(&rule.timeout_ms);
    require(timeout, id, "timeout_ms", "must be 1 to 3600000")?;
    for route in &rule.routes {
        let method = !route.method.is_empty()
            && route.method.bytes().all(|byte| byte.is_ascii_uppercase());
        require(method, id, "routes.method", "must be an upper-case method")?;
        let path = route.path_prefix.starts_with('/');
        require(path, id, "routes.path_prefix", "must start with a slash")?;
    }
    Ok(())
}

fn require_valid_operator(
    id: &OperatorName,
    rule: &OperatorRule,
) -> Result<(), ChangeError> {
    let valid = is_digest(&rule.key_digest);
    require(valid, id, "key_digest", "must be SHA-256 in lower-case hex")
}
