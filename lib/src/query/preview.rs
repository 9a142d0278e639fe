//! What an order would change, without changing it.

use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;

use crate::{
    fleet::{FleetChange, FleetOrder, FleetState, OrderRejection},
    units::LogOffset,
    value_type,
};

value_type! {
    /// What an order would change.
    pub struct OrderPreview {
        /// Always set, to tell a preview from a report.
        pub dry_run: bool,
        /// Version of the configuration that the order was tried on.
        pub version: LogOffset,
        /// What would change; empty if everything is so already.
        pub changes: Vec<ValueChange>,
    }
}

value_type! {
    /// One value that would change.
    pub struct ValueChange {
        /// Subject and path of the value.
        pub path: Arc<str>,
        /// Value before; null if there is none.
        pub before: Value,
        /// Value after; null if there is none.
        pub after: Value,
    }
}

impl OrderPreview {
    /// Tries an order on a copy of a configuration.
    pub fn new(
        fleet: &FleetState,
        order: &FleetOrder,
    ) -> Result<Self, OrderRejection> {
        let after = fleet.preview(order)?;
        let mut changes = Vec::new();
        let mut seen = std::collections::BTreeSet::new();
        for change in &order.changes {
            let (kind, name) = subject(change);
            if !seen.insert((kind, name.clone())) {
                continue;
            }
            let path = format!("{kind} {name}");
            let before = entry(fleet, kind, &name);
            let after = entry(&after, kind, &name);
            compare(&path, &before, &after, &mut changes);
        }
        Ok(Self {
            dry_run: true,
            version: fleet.version,
            changes,
        })
    }
}

/// Kind and name of what a change is about.
fn subject(change: &FleetChange) -> (&'static str, String) {
    match change {
        FleetChange::CloseDomain { domain, .. }
        | FleetChange::OpenDomain { domain } => ("domain", domain.to_string()),
        FleetChange::DrainUpstream { upstream, .. }
        | FleetChange::ReturnUpstream { upstream }
        | FleetChange::SetUpstream { upstream, .. } => {
            ("upstream", upstream.to_string())
        }
        FleetChange::SetWorkspace { workspace, .. }
        | FleetChange::SetLimits { workspace, .. }
        | FleetChange::EnableWorkspace { workspace, .. }
        | FleetChange::RemoveWorkspace { workspace } => {
            ("workspace", workspace.to_string())
        }
        FleetChange::SetService { service, .. } => {
            ("service", service.to_string())
        }
        FleetChange::SetOperator { operator, .. }
        | FleetChange::RemoveOperator { operator } => {
            ("operator", operator.to_string())
        }
        FleetChange::SetWeightRate { .. } => ("weights", "rate".into()),
    }
}

fn entry(fleet: &FleetState, kind: &str, name: &str) -> Value {
    fn value<K: std::str::FromStr + Ord, V: Serialize>(
        entries: &std::collections::BTreeMap<K, V>,
        name: &str,
    ) -> Value {
        let entry = name.parse().ok().and_then(|key| entries.get(&key));
        let entry = entry.map(serde_json::to_value);
        entry.and_then(Result::ok).unwrap_or(Value::Null)
    }
    match kind {
        "domain" => value(&fleet.domains, name),
        "upstream" => value(&fleet.upstreams, name),
        "workspace" => value(&fleet.workspaces, name),
        "service" => value(&fleet.services, name),
        "weights" => {
            serde_json::to_value(fleet.weight_rate).unwrap_or(Value::Null)
        }
        _ => value(&fleet.operators, name),
    }
}

/// Adds the values that differ. Lists are compared as a whole.
fn compare(
    path: &str,
    before: &Value,
    after: &Value,
    changes: &mut Vec<ValueChange>,
) {
    if before == after {
        return;
    }
    if let (Value::Object(old), Value::Object(new)) = (before, after) {
        let added = new.keys().filter(|key| !old.contains_key(*key));
        for key in old.keys().chain(added) {
            let path = format!("{path}.{key}");
            let value = |object: &serde_json::Map<String, Value>| {
                object.get(key).cloned().unwrap_or(Value::Null)
            };
            compare(&path, &value(old), &value(new), changes);
        }
        return;
    }
    changes.push(ValueChange {
        path: path.into(),
        before: before.clone(),
        after: after.clone(),
    });
}
