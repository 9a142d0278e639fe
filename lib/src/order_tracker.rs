//! Operator orders from their submission to the report on them.
//!
//! The instance that receives an order appends it to the `config` stream and
//! waits until the order is read back and applied. [`OrderTracker`] responds
//! with an [`OrderReport`] once the order is in force, which means applied on
//! every live instance; once it is rejected; or after a timeout. A report says
//! only what is certain at that time. [`FleetState`] decides whether an order
//! is accepted.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    core::{CallFailure, InboundCallId},
    fleet::{
        ChangeError, FleetOrder, FleetRecord, FleetState, OrderOutcome,
        OrderRejection,
    },
    ids::{InstanceId, OrderId},
    membership::MemberTable,
    peer_api::OrderReport,
    platform_api::AppendResponse,
    refusal::{RefusalCode, RunState},
    units::{LogOffset, Timestamp},
};

/// Time after which the outcome of an append counts as unknown.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an appended order to be read back and applied.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an accepted order to be in force, after which the report names the
/// instances that have not applied it.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two requests for the gossip of members that have not
/// applied an accepted order.
const GOSSIP_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of members whose gossip is requested at once.
const GOSSIP_REQUEST_MEMBERS_MAX: usize = 16;
/// Time for which an order with an unknown outcome is kept.
const UNKNOWN_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of orders that are tracked at once.
pub const ORDERS_MAX: usize = 1_024;

/// Id that pairs an append with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderAppendId(pub u64);

/// Input of the [`OrderTracker`].
#[derive(Clone, Debug, PartialEq)]
pub enum OrderTrackerEvent {
    /// An operator submitted an order.
    Submitted(InboundCallId, FleetOrder),
    /// An operator requested the report on an order.
    ReportRequested(InboundCallId, OrderId),
    /// An append has completed or failed.
    Appended(OrderAppendId, Result<AppendResponse, CallFailure>),
}

/// Output of the [`OrderTracker`].
#[derive(Clone, Debug, PartialEq)]
pub enum OrderTrackerAction {
    /// Append orders as JSON records to the `config` stream.
    Append(OrderAppendId, Vec<serde_json::Value>),
    /// Respond to an operator.
    Respond(InboundCallId, OrderReport),
    /// Call [`MemberTable::request_gossip`] with these members.
    RequestGossip(Vec<InstanceId>),
}

/// State of other components that the tracker reads.
#[derive(Clone, Copy, Debug)]
pub struct OrderTrackerView<'a> {
    /// Configuration applied on this instance.
    pub fleet: &'a FleetState,
    /// Members of the fleet, with the offsets that they have applied.
    pub members: &'a MemberTable,
    /// Whether the configuration was read completely.
    pub ready: bool,
    /// Whether the last read of the log succeeded.
    pub log_available: bool,
}

/// Phase of an order.
#[derive(Clone, Debug, PartialEq)]
enum OrderPhase {
    /// Waits for the append in flight to complete.
    Queued,
    /// Is part of the append in flight.
    Appending,
    /// May be in the log and was not read back yet.
    Sent,
    /// Was accepted and is not in force yet.
    Accepted(OrderOutcome),
}

/// An order on which a report is due, or whose outcome is unknown.
#[derive(Clone, Debug)]
struct TrackedOrder {
    order: FleetOrder,
    phase: OrderPhase,
    /// When the phase times out.
    due: Timestamp,
    /// Requests that wait for the report.
    waiting: Vec<InboundCallId>,
    /// Whether an append may have written the order to the log.
    may_be_logged: bool,
}

/// Appends the orders of operators and follows them until they are reported.
#[derive(Debug, Default)]
pub struct OrderTracker {
    entries: BTreeMap<OrderId, TrackedOrder>,
    /// The append in flight and when it times out.
    in_flight: Option<(OrderAppendId, Timestamp)>,
    next_append: u64,
    gossip_request_due: Timestamp,
}

impl OrderTracker {
    /// A tracker without orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes an event and returns what to do.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: OrderTrackerEvent,
        view: OrderTrackerView<'_>,
    ) -> Vec<OrderTrackerAction> {
        let mut actions = Vec::new();
        match event {
            OrderTrackerEvent::Submitted(inbound, order) => {
                self.handle_order(now, inbound, order, view, &mut actions);
            }
            OrderTrackerEvent::ReportRequested(inbound, order) => {
                let report = self.report(&order, view);
                actions.push(OrderTrackerAction::Respond(inbound, report));
            }
            OrderTrackerEvent::Appended(append_id, result) => {
                self.handle_append_result(now, append_id, result, &mut actions);
            }
        }
        actions.extend(self.tick(now, view));
        actions
    }

    /// Reports the orders that were applied or timed out, and starts the
    /// appends and gossip requests that are due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: OrderTrackerView<'_>,
    ) -> Vec<OrderTrackerAction> {
        let mut actions = Vec::new();
        if self.in_flight.is_some_and(|(_, due)| now >= due) {
            self.end_append(now);
        }
        self.report_applied(now, view, &mut actions);
        self.request_lagging_gossip(now, view, &mut actions);
        self.expire(now, view, &mut actions);
        self.start_append(now, &mut actions);
        actions
    }

    /// When [`Self::tick`] must be called next. `None` without orders and
    /// without an append in flight.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let entries = self.entries.values().map(|entry| entry.due);
        let append = self.in_flight.map(|(_, due)| due);
        let ask = self.accepted().next().map(|_| self.gossip_request_due);
        entries.chain(append).chain(ask).min()
    }

    /// Report on an order, with what is certain now.
    pub fn report(
        &self,
        order: &OrderId,
        view: OrderTrackerView<'_>,
    ) -> OrderReport {
        if let Some(outcome) = view.fleet.outcomes.get(order) {
            return applied_report(order, outcome, view);
        }
        let held = self.entries.contains_key(order);
        let reason = if held {
            "outcome unknown: the order was not read back from the log yet"
        } else {
            "no outcome of this order is known here"
        };
        unknown_report(order, reason)
    }

    fn handle_order(
        &mut self,
        now: Timestamp,
        inbound: InboundCallId,
        order: FleetOrder,
        view: OrderTrackerView<'_>,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        let id = order.order.clone();
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.waiting.push(inbound);
            // A repeat of an order with an unknown outcome is appended again.
            // It takes effect only once, even if both appends succeed.
            if entry.phase == OrderPhase::Sent && entry.waiting.len() == 1 {
                entry.phase = OrderPhase::Queued;
                entry.due = now.after(APPEND_TIMEOUT + APPLY_TIMEOUT);
            }
            return;
        }
        let known = view.fleet.outcomes.contains_key(&id);
        let refusal = (!known).then(|| self.refuse(&order, view)).flatten();
        if let Some((code, text)) = refusal {
            let report = refused_report(&id, code, &text);
            actions.push(OrderTrackerAction::Respond(inbound, report));
            return;
        }
        let entry = TrackedOrder {
            order,
            phase: OrderPhase::Queued,
            due: now.after(APPEND_TIMEOUT + APPLY_TIMEOUT),
            waiting: vec![inbound],
            may_be_logged: false,
        };
        self.entries.insert(id, entry);
    }

    /// Why an order is refused before it is appended. Its version and subjects
    /// are checked only when it is applied, since this instance may lag behind
    /// the log.
    fn refuse(
        &self,
        order: &FleetOrder,
        view: OrderTrackerView<'_>,
    ) -> Option<(RefusalCode, String)> {
        if !view.ready {
            let text = "the configuration was not read yet";
            return Some((RefusalCode::NotReady, text.into()));
        }
        // An append to a log that is down may succeed all the same, so its
        // outcome would have to be reported as unknown.
        if !view.log_available {
            let text = "the log service does not answer";
            return Some((RefusalCode::LogUnavailable, text.into()));
        }
        if self.entries.len() >= ORDERS_MAX {
            let text = format!("{ORDERS_MAX} orders are waiting");
            return Some((RefusalCode::Overloaded, text));
        }
        match view.fleet.validate(order) {
            Err(
                error @ (OrderRejection::Empty
                | OrderRejection::Change(ChangeError::Invalid {
                    ..
                })),
            ) => Some((RefusalCode::OrderRejected, error.to_string())),
            _ => None,
        }
    }

    fn start_append(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        if self.in_flight.is_some() {
            return;
        }
        let mut records = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.phase != OrderPhase::Queued {
                continue;
            }
            entry.phase = OrderPhase::Appending;
            let record = FleetRecord::Order(entry.order.clone());
            let value = serde_json::to_value(record);
            records.push(value.expect("order has text keys"));
        }
        if records.is_empty() {
            return;
        }
        let append_id = OrderAppendId(self.next_append);
        self.next_append += 1;
        self.in_flight = Some((append_id, now.after(APPEND_TIMEOUT)));
        actions.push(OrderTrackerAction::Append(append_id, records));
    }

    fn handle_append_result(
        &mut self,
        now: Timestamp,
        append_id: OrderAppendId,
        result: Result<AppendResponse, CallFailure>,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        if self.in_flight.map(|(current, _)| current) != Some(append_id) {
            return;
        }
        match result {
            Err(failure) if failure.run_state == RunState::NotRun => {
                self.in_flight = None;
                self.refuse_append(now, &failure, actions);
            }
            _ => self.end_append(now),
        }
    }

    /// Ends the append in flight, whose orders may be in the log.
    fn end_append(&mut self, now: Timestamp) {
        self.in_flight = None;
        for entry in self.entries.values_mut() {
            if entry.phase == OrderPhase::Appending {
                entry.phase = OrderPhase::Sent;
                entry.may_be_logged = true;
                entry.due = now.after(APPLY_TIMEOUT);
            }
        }
    }

    /// Refuses the orders of an append that certainly wrote nothing.
    fn refuse_append(
        &mut self,
        now: Timestamp,
        failure: &CallFailure,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        let appending =
            |entry: &TrackedOrder| entry.phase == OrderPhase::Appending;
        let code = RefusalCode::LogUnavailable;
        self.entries.retain(|id, entry| {
            if !appending(entry) {
                return true;
            }
            // An earlier append of the same order may have written it.
            let report = if entry.may_be_logged {
                unknown_report(id, "outcome unknown: the log is unavailable")
            } else {
                refused_report(id, code, &failure.message)
            };
            answer_all(entry, &report, actions);
            entry.phase = OrderPhase::Sent;
            entry.due = now.after(UNKNOWN_RETENTION);
            entry.may_be_logged
        });
    }

    /// Moves applied orders to the accepted phase. Reports and drops those that
    /// were rejected or are now in force.
    fn report_applied(
        &mut self,
        now: Timestamp,
        view: OrderTrackerView<'_>,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        self.entries.retain(|id, entry| {
            let Some(outcome) = view.fleet.outcomes.get(id) else {
                return true;
            };
            if !matches!(entry.phase, OrderPhase::Accepted(_)) {
                entry.phase = OrderPhase::Accepted(outcome.clone());
                entry.due = now.after(IN_FORCE_TIMEOUT);
            }
            let report = applied_report(id, outcome, view);
            let settled = !outcome.accepted || report.in_force;
            if settled {
                answer_all(entry, &report, actions);
            }
            !settled
        });
    }

    /// Requests the gossip of members that have not reported to have applied
    /// an accepted order, since regular probes need several periods for that.
    fn request_lagging_gossip(
        &mut self,
        now: Timestamp,
        view: OrderTrackerView<'_>,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        let newest = self.accepted().map(|outcome| outcome.offset).max();
        let Some(offset) = newest.filter(|_| now >= self.gossip_request_due)
        else {
            return;
        };
        self.gossip_request_due = now.after(GOSSIP_REQUEST_INTERVAL);
        let mut members = lagging(view, offset);
        members.truncate(GOSSIP_REQUEST_MEMBERS_MAX);
        actions.push(OrderTrackerAction::RequestGossip(members));
    }

    fn accepted(&self) -> impl Iterator<Item = &OrderOutcome> {
        self.entries
            .values()
            .filter_map(|entry| match &entry.phase {
                OrderPhase::Accepted(outcome) => Some(outcome),
                _ => None,
            })
    }

    /// Reports orders whose phase has timed out with what is certain.
    fn expire(
        &mut self,
        now: Timestamp,
        view: OrderTrackerView<'_>,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        self.entries.retain(|id, entry| {
            if now < entry.due {
                return true;
            }
            match &entry.phase {
                OrderPhase::Accepted(outcome) => {
                    let report = applied_report(id, outcome, view);
                    answer_all(entry, &report, actions);
                    false
                }
                OrderPhase::Queued if !entry.may_be_logged => {
                    let code = RefusalCode::LogUnavailable;
                    let text = "the log did not answer in time";
                    let report = refused_report(id, code, text);
                    answer_all(entry, &report, actions);
                    false
                }
                // The append in flight has a timeout of its own.
                OrderPhase::Appending => {
                    entry.due = now.after(APPEND_TIMEOUT);
                    true
                }
                OrderPhase::Queued | OrderPhase::Sent => {
                    let answered = entry.waiting.is_empty();
                    let text =
                        "outcome unknown: the order was not read back in time";
                    answer_all(entry, &unknown_report(id, text), actions);
                    entry.phase = OrderPhase::Sent;
                    entry.due = now.after(UNKNOWN_RETENTION);
                    !answered
                }
            }
        });
    }
}

fn answer_all(
    entry: &mut TrackedOrder,
    report: &OrderReport,
    actions: &mut Vec<OrderTrackerAction>,
) {
    for inbound in entry.waiting.drain(..) {
        actions.push(OrderTrackerAction::Respond(inbound, report.clone()));
    }
}

fn applied_report(
    order: &OrderId,
    outcome: &OrderOutcome,
    view: OrderTrackerView<'_>,
) -> OrderReport {
    let waiting_for = if outcome.accepted {
        lagging(view, outcome.offset)
    } else {
        Vec::new()
    };
    OrderReport {
        order: order.clone(),
        offset: Some(outcome.offset),
        accepted: Some(outcome.accepted),
        reason: outcome.reason.clone(),
        code: None,
        in_force: outcome.accepted && waiting_for.is_empty(),
        waiting_for,
        run_state: if outcome.accepted {
            RunState::Ran
        } else {
            RunState::NotRun
        },
    }
}

/// Live instances that have not applied an offset. For this instance the
/// applied state is checked, because the member table gets the offset a tick
/// later.
fn lagging(view: OrderTrackerView<'_>, offset: LogOffset) -> Vec<InstanceId> {
    let own = &view.members.local_member().instance;
    let applied = view.fleet.applied >= Some(offset);
    let lagging = view.members.instances_behind(offset).into_iter();
    lagging.filter(|id| !applied || id != own).collect()
}

fn unknown_report(order: &OrderId, reason: &str) -> OrderReport {
    OrderReport {
        order: order.clone(),
        offset: None,
        accepted: None,
        reason: Some(reason.into()),
        code: None,
        in_force: false,
        waiting_for: Vec::new(),
        run_state: RunState::MayHaveRun,
    }
}

fn refused_report(
    order: &OrderId,
    code: RefusalCode,
    message: &str,
) -> OrderReport {
    let reason: Arc<str> = format!("{code}: {message}").into();
    OrderReport {
        order: order.clone(),
        offset: None,
        accepted: Some(false),
        reason: Some(reason),
        code: Some(code),
        in_force: false,
        waiting_for: Vec::new(),
        run_state: RunState::NotRun,
    }
}
