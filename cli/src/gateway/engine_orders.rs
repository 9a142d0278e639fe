//! Orders engines while this instance holds the lease of the duties.

use std::time::Duration;

use borageline_lib::{
    gateway::{
        duty::{DutyCaller, DutyName, FencingToken},
        duty_lease::HeldLease,
        engine_scaling::{EngineScaling, ScaleOrder, ScalingState},
        wire::GatewayWire,
    },
    ids::ServiceName,
    log_event::LogEvent,
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{MissedTickBehavior, interval},
};

use super::{
    SharedGateway,
    duties::{DutyCall, DutyCallError, lease_now, send_duty_call},
    scaling_metrics::OrderOutcome,
};
use crate::log_decision;

/// Interval of the decisions.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the task if the fleet has the duty.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    let settings = context.settings();
    let duties = settings.duties.as_ref();
    if duties.is_some_and(|duties| duties.includes(DutyName::Autoscale)) {
        tokio::spawn(order_engines(context.clone()));
    }
}

async fn order_engines<W: GatewayWire>(context: SharedGateway<W>) {
    let mut held = context.duties.subscribe_held();
    while held.wait_for(is_valid).await.is_ok() {
        let token = valid_token(&held);
        if let Some(token) = token {
            hold_duty(&context, &held, token).await;
            context.metrics.scaling.clear();
        }
    }
}

fn is_valid(lease: &Option<HeldLease>) -> bool {
    lease.is_some_and(|lease| lease.until > lease_now())
}

fn valid_token(
    held: &watch::Receiver<Option<HeldLease>>,
) -> Option<FencingToken> {
    let lease = *held.borrow();
    lease.filter(|_| is_valid(&lease)).map(|lease| lease.token)
}

/// Decides and orders until the lease with this token is lost. A new lease
/// begins with no memory of earlier orders.
async fn hold_duty<W: GatewayWire>(
    context: &SharedGateway<W>,
    held: &watch::Receiver<Option<HeldLease>>,
    token: FencingToken,
) {
    let mut duty = OrderDuty::new(token);
    let mut ticks = interval(DECISION_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if valid_token(held) != Some(token) {
            break;
        }
        duty.decide(context);
    }
    // Calls under way check the lease themselves.
    duty.calls.detach_all();
}

/// State of the duty under one lease.
struct OrderDuty {
    token: FencingToken,
    scaling: EngineScaling,
    /// Last state of each service, for the log.
    states: Vec<(ServiceName, ScalingState)>,
    /// Calls under way; one that was not executed returns its order.
    calls: JoinSet<Option<ScaleOrder>>,
}

impl OrderDuty {
    fn new(token: FencingToken) -> Self {
        Self {
            token,
            scaling: EngineScaling::default(),
            states: Vec::new(),
            calls: JoinSet::new(),
        }
    }

    fn decide<W: GatewayWire>(&mut self, context: &SharedGateway<W>) {
        while let Some(ended) = self.calls.try_join_next() {
            if let Ok(Some(order)) = ended {
                self.scaling.record_refusal(&order);
            }
        }
        let now = context.now();
        let observations = context.core().scaling_observations(now);
        let is_scaled = |service: &ServiceName| {
            observations.iter().any(|(name, _)| name == service)
        };
        self.scaling.retain(is_scaled);
        let mut states = Vec::new();
        for (service, observed) in &observations {
            let decision = self.scaling.decide(now, service, observed);
            context.metrics.scaling.set_decision(service, &decision);
            let last = self.states.iter().find(|(name, _)| name == service);
            if last.is_none_or(|(_, state)| *state != decision.state) {
                let state = decision.state.as_str();
                log_decision!(
                    LogEvent::ScalingStateChanged,
                    {
                        service = service,
                        state = state,
                        demand = format!("{:.1}", decision.demand),
                    },
                    "engines of {service}: {state}",
                );
            }
            states.push((service.clone(), decision.state));
            for order in decision.orders {
                self.send(context, order, decision.demand);
            }
        }
        self.states = states;
    }

    fn send<W: GatewayWire>(
        &mut self,
        context: &SharedGateway<W>,
        order: ScaleOrder,
        demand: f64,
    ) {
        let ScaleOrder {
            service,
            domain,
            count,
            serving,
            reason,
        } = &order;
        log_decision!(
            LogEvent::EnginesOrdered,
            {
                service = service,
                domain = domain,
                count = count,
                serving = serving,
                reason = reason.as_str(),
                demand = format!("{demand:.1}"),
            },
            "{count} engines of {service} in {domain} for {serving}",
        );
        context.metrics.scaling.record_order(&order);
        let caller = DutyCaller {
            holder: context.settings().instance.clone(),
            token: self.token,
        };
        let call = DutyCall {
            duty: DutyName::Autoscale,
            token: self.token,
            request: context.wire.scale_order(&caller, service, domain, *count),
        };
        self.calls.spawn(place_order(context.clone(), call, order));
    }
}

/// Sends an order; returns it if it is known that it was not executed.
async fn place_order<W: GatewayWire>(
    context: SharedGateway<W>,
    call: DutyCall,
    order: ScaleOrder,
) -> Option<ScaleOrder> {
    let error = send_duty_call(&context, call).await.err();
    let outcome = match &error {
        None => OrderOutcome::Accepted,
        Some(DutyCallError::Unanswered(_)) => OrderOutcome::Unanswered,
        Some(_) => OrderOutcome::Refused,
    };
    context.metrics.scaling.count_outcome(outcome);
    if let Some(error) = error {
        let ScaleOrder {
            service, domain, ..
        } = &order;
        log_decision!(
            LogEvent::EnginesNotOrdered,
            {
                service = service,
                domain = domain,
                count = order.count,
                outcome = outcome.as_str(),
            },
            "order for {service} in {domain}: {error}",
        );
    }
    (outcome == OrderOutcome::Refused).then_some(order)
}
