//! Applies records of the store's topics to the gateway's state.
//!
//! A malformed record is logged and otherwise ignored, except that an upstream
//! whose entry is malformed is no longer used.

use borageline_lib::{
    gateway::{
        routing_config::{ConfigFault, RoutingConfig},
        upstream_table::{UpstreamChange, UpstreamEntry},
        wire::{ControlRecord, GatewayWire, KeyedRecord, StoreTopic},
    },
    ids::DomainId,
    log_event::LogEvent,
};

use super::SharedGateway;
use crate::log_decision;

/// Applies the records of one topic.
pub(super) struct RecordApplier<W> {
    context: SharedGateway<W>,
    topic: StoreTopic,
}

impl<W: GatewayWire> RecordApplier<W> {
    pub(super) fn new(context: SharedGateway<W>, topic: StoreTopic) -> Self {
        Self { context, topic }
    }

    /// Applies the desired state among the records of another instance's copy;
    /// one that is not newer than the known one has no effect.
    pub(super) fn apply_config(&self, records: &[KeyedRecord]) {
        let mut configs = records.to_vec();
        configs.retain(|record| {
            let read = self.context.wire.read_control(record);
            matches!(read, Ok(ControlRecord::Config(_)))
        });
        self.apply_control(&configs);
    }

    /// Replaces the state by the newest record of each key.
    pub(super) fn replace(&self, records: &[KeyedRecord]) {
        match self.topic {
            StoreTopic::Control => {
                let closed = self.apply_control(records);
                let now = self.context.now();
                let changes = self.context.core().replace_closed(now, &closed);
                for (domain, closed) in changes {
                    log_domain(&domain, closed);
                }
            }
            StoreTopic::Upstreams => {
                let mut entries = Vec::<UpstreamEntry>::new();
                for record in records {
                    match self.read_upstream(record) {
                        Some(UpstreamChange::Set(entry)) => {
                            entries.push(entry);
                        }
                        Some(change @ UpstreamChange::Unreadable(_)) => {
                            self.apply_upstream(change);
                        }
                        Some(UpstreamChange::Removed(_)) | None => {}
                    }
                }
                let now = self.context.now();
                log_decision!(
                    LogEvent::UpstreamChanged,
                    { upstreams = entries.len() },
                    "list of upstreams read in full",
                );
                self.context.core().replace_upstreams(now, entries);
            }
            StoreTopic::Instances | StoreTopic::Quarantine => {}
        }
    }

    /// Applies records that follow the ones applied before.
    pub(super) fn apply(&self, records: &[KeyedRecord]) {
        match self.topic {
            StoreTopic::Control => {
                self.apply_control(records);
            }
            StoreTopic::Upstreams => {
                for record in records {
                    if let Some(change) = self.read_upstream(record) {
                        self.apply_upstream(change);
                    }
                }
            }
            StoreTopic::Instances | StoreTopic::Quarantine => {}
        }
    }

    /// Applies records of the control topic; returns the failure domains that
    /// they close.
    fn apply_control(&self, records: &[KeyedRecord]) -> Vec<DomainId> {
        let mut closed = Vec::new();
        // Only the newest of several desired states is applied. It need not be
        // the last one: the store may carry out a write late.
        let mut newest: Option<(Box<RoutingConfig>, &KeyedRecord)> = None;
        for record in records {
            match self.context.wire.read_control(record) {
                Ok(ControlRecord::Config(config)) => {
                    let known = newest.as_ref().map(|(it, _)| it.version);
                    if known < Some(config.version) {
                        newest = Some((config, record));
                    }
                }
                Ok(ControlRecord::CloseDomain(domain)) => {
                    self.set_closed(&domain, true);
                    closed.push(domain);
                }
                Ok(ControlRecord::OpenDomain(domain)) => {
                    self.set_closed(&domain, false);
                }
                Ok(ControlRecord::Other) => {}
                Err(error) => log_decision!(
                    LogEvent::RecordSkipped,
                    { key = record.key },
                    "{error}",
                ),
            }
        }
        if let Some((config, record)) = newest {
            let version = config.version;
            let routes = config.route_count();
            let faults = config.faults().to_vec();
            let mut core = self.context.core();
            let is_applied = core.apply_config(*config);
            if is_applied {
                core.set_config_record(record.clone());
            }
            drop(core);
            if is_applied {
                let gauge = i64::try_from(version.get()).unwrap_or(i64::MAX);
                self.context.metrics.config_version.set(gauge);
                log_decision!(
                    LogEvent::ConfigurationApplied,
                    { config_version = version, routes = routes },
                    "desired state version {version} in force",
                );
                self.report_faults(&faults);
            }
        }
        closed
    }

    /// Reports the parts of the desired state in force that cannot be used.
    fn report_faults(&self, faults: &[ConfigFault]) {
        self.context.metrics.set_config_faults(faults);
        for fault in faults {
            log_decision!(
                LogEvent::RecordSkipped,
                { part = fault.kind, name = fault.name },
                "part of the desired state left out: {}",
                fault.reason,
            );
        }
    }

    fn set_closed(&self, domain: &DomainId, closed: bool) {
        if self.context.core().set_closed(domain.clone(), closed) {
            log_domain(domain, closed);
        }
    }

    fn read_upstream(&self, record: &KeyedRecord) -> Option<UpstreamChange> {
        match self.context.wire.read_upstream(record) {
            Ok(change) => Some(change),
            Err(error) => {
                log_decision!(
                    LogEvent::RecordSkipped,
                    { key = record.key },
                    "{error}",
                );
                // The address in a malformed entry is unknown, so the upstream
                // cannot be used.
                let id = record.key.parse().ok()?;
                Some(UpstreamChange::Unreadable(id))
            }
        }
    }

    fn apply_upstream(&self, change: UpstreamChange) {
        let now = self.context.now();
        let mut core = self.context.core();
        let (id, state) = match &change {
            UpstreamChange::Set(entry) => (entry.id.clone(), Some(entry.state)),
            UpstreamChange::Removed(id) | UpstreamChange::Unreadable(id) => {
                (id.clone(), None)
            }
        };
        let before = core
            .upstreams()
            .get(&id)
            .map(|upstream| upstream.entry.state);
        core.apply_upstream(now, change);
        let is_doubtful = core.is_doubtful(now, &id);
        drop(core);
        if is_doubtful {
            self.context.status_check_due.notify_one();
        }
        if before != state {
            log_decision!(
                LogEvent::UpstreamChanged,
                {
                    upstream = id,
                    before = format_args!("{before:?}"),
                    state = format_args!("{state:?}"),
                    doubtful = is_doubtful,
                },
                "list entry of {id} changed",
            );
        }
    }
}

fn log_domain(domain: &DomainId, closed: bool) {
    log_decision!(
        LogEvent::DomainChanged,
        { domain = domain, closed = closed },
        "failure domain {}",
        if closed { "closed" } else { "reopened" },
    );
}
