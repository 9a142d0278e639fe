//! Connects the engine orders to the rest of the core: capability reports go
//! in, log appends, reads and orders come out.

use super::{
    CoreAction, ServingCore,
    request_routing::fleet_view,
    routing::{CallPurpose, TickOutput, config_stream},
};
use crate::{
    engine_api::CapabilityReport,
    engine_orders::{EngineOrderAction, EngineOrderEvent},
    fleet_view::FleetView,
    ids::UpstreamId,
    log_event::LogEvent,
    peer_api::{GrantRefusal, GrantRequest, GrantResponse},
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};

impl ServingCore {
    /// Applies a capability report of an engine; `None` if the read failed.
    pub(super) fn capability_read(
        &mut self,
        now: Timestamp,
        id: UpstreamId,
        report: Option<CapabilityReport>,
        output: &mut TickOutput,
    ) {
        self.upstreams
            .record_capability_read(now, &id, report.is_some());
        if let Some(report) = report.clone() {
            self.members.capabilities().observe(report);
            let capability = self.members.capabilities().get(&id);
            self.upstreams.apply_capability_update(&id, capability);
        }
        let event = EngineOrderEvent::ReadEnded(id, report);
        self.handle_engine_order(now, event, output);
    }

    pub(super) fn handle_engine_order(
        &mut self,
        now: Timestamp,
        event: EngineOrderEvent,
        output: &mut TickOutput,
    ) {
        self.engine_orders
            .set_confirmed(self.freshness.confirmed_at());
        let view = fleet_view!(self, now);
        let actions = self.engine_orders.handle(now, event, &view);
        self.route_engine_orders(now, actions, output);
    }

    pub(super) fn tick_engine_orders(
        &mut self,
        now: Timestamp,
        output: &mut TickOutput,
    ) {
        for engine in self.engine_orders.engines_pending_unload() {
            if let Some(ledger) = self.owners.ledger(&engine) {
                let running = ledger.reservations().map(|(id, _)| id.clone());
                self.engine_orders
                    .set_running_requests(&engine, running.collect());
            }
        }
        self.engine_orders
            .set_confirmed(self.freshness.confirmed_at());
        let view = fleet_view!(self, now);
        let actions = self.engine_orders.tick(now, &view);
        self.route_engine_orders(now, actions, output);
    }

    /// Refusal for a grant request whose model is about to be unloaded from its
    /// engine; `None` if it is not.
    pub(super) fn refuse_unloading(
        &self,
        grant_request: &GrantRequest,
    ) -> Option<GrantResponse> {
        if !self
            .engine_orders
            .is_unload_pending(&grant_request.engine, &grant_request.model)
        {
            return None;
        }
        let (engine, model) = (&grant_request.engine, &grant_request.model);
        let message = format!("engine {engine} is about to unload {model}");
        let refusal = Refusal::new(RefusalCode::NoCapacity, message);
        Some(GrantResponse::Refused(GrantRefusal {
            refusal,
            summary: None,
        }))
    }

    fn route_engine_orders(
        &mut self,
        now: Timestamp,
        actions: Vec<EngineOrderAction>,
        output: &mut TickOutput,
    ) {
        for action in actions {
            match action {
                EngineOrderAction::ClaimLease(engine, record) => {
                    let call =
                        self.register_call(CallPurpose::LeaseAppend(engine));
                    let record = serde_json::to_value(record);
                    output.actions.push(CoreAction::AppendLog {
                        call,
                        stream: config_stream(),
                        records: vec![record.expect("a lease is JSON")],
                    });
                }
                EngineOrderAction::ReadCapabilities(engine) => {
                    self.upstreams.schedule_read(now, &engine);
                }
                EngineOrderAction::SendOrder(engine, order, until) => {
                    let Some(entry) = self.upstreams.table().get(&engine)
                    else {
                        continue;
                    };
                    let text = format!("{engine}: {:?}", order.action);
                    output.log(LogEvent::EngineOrderSent, &text);
                    let address = entry.address;
                    let order =
                        CoreAction::OrderEngine(engine, address, order, until);
                    output.actions.push(order);
                }
                EngineOrderAction::ModelLoaded(engine, model) => {
                    self.owners.reset_cold(&engine);
                    let text = format!("{engine}: {model}");
                    output.log(LogEvent::EngineModelLoaded, &text);
                }
                EngineOrderAction::OrderFailed(engine, reason) => {
                    let text = format!("{engine}: {reason}");
                    output.log(LogEvent::EngineOrderFailed, &text);
                }
            }
        }
    }
}
