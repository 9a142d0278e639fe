//! Dry runs of orders: the changes that an order would make.

use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;

use crate::{
    fleet::{FleetChange, FleetOrder, FleetState, OrderRejection},
    units::LogOffset,
    value_type,
};

value_type! {
    /// Result of the dry run of an order.
    pub struct OrderPreview {
        /// Always true, to tell the JSON of a preview from that of a report.
        pub dry_run: bool,
        /// Version of the configuration to which the order was applied.
        pub version: LogOffset,
        /// Values that would change; empty if the order has no effect.
        pub changes: Vec<ValueChange>,
    }
}

value_type! {
    /// A value that an order would change.
    pub struct ValueChange {
        /// Kind and name of the entity, and the path of the value within it.
        pub path: Arc<str>,
        /// Value before the change; null if there is none.
        pub before: Value,
        /// Value after the change; null if there is none.
        pub after: Value,
    }
}

impl OrderPreview {
    /// Applies an order to a copy of a configuration and compares the two.
    /// Fails if the order would be rejected.
    pub fn new(
        fleet: &FleetState,
        order: &FleetOrder,
    ) -> Result<Self, OrderRejection> {
        let after = fleet.preview(order)?;
        let mut changes = Vec::new();
        let mut seen = std::collections::BTreeSet::new();
        for change in &order.changes {
            let (kind, name) = entity_of(change);
            if !seen.insert((kind, name.clone())) {
                continue;
            }
            let path = format!("{kind} {name}");
            let before = entity_value(fleet, kind, &name);
            let after = entity_value(&after, kind, &name);
            collect_changes(&path, &before, &after, &mut changes);
        }
        Ok(Self {
            dry_run: true,
            version: fleet.version,
            changes,
        })
    }
}

/// Kind and name of the entity that a change affects.
fn entity_of(change: &FleetChange) -> (&'static str, String) {
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

fn entity_value(fleet: &FleetState, kind: &str, name: &str) -> Value {
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

/// Collects the values that differ, descending into objects. Lists are compared
/// as a whole.
fn collect_changes(
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
            collect_changes(&path, &value(old), &value(new), changes);
        }
        return;
    }
    changes.push(ValueChange {
        path: path.into(),
        before: before.clone(),
        after: after.clone(),
    });
}
