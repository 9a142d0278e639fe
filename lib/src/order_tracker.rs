//! The life of an operator order at the instance that took it.
//!
//! An order is appended to the `config` stream, read back and judged with all
//! others. The desk answers once the order is in force on every live instance,
//! was rejected, or a time has passed; an answer never claims more than is
//! known then. Judging is left to [`FleetState`].

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
/// Time for an appended order to be read back and judged.
const JUDGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an accepted order to be in force before the answer names the
/// instances that lag.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two times of asking members that lag what they applied.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Most members asked at once.
const ASK_MAX: usize = 16;
/// Time for which an order of unknown outcome is remembered.
const UNKNOWN_KEPT: Duration = Duration::from_secs(600);
/// Most orders held at once.
pub const ORDERS_MAX: usize = 1_024;

/// Number of one append of the desk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderAppendId(pub u64);

/// Input of the desk.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderTrackerEvent {
    /// An operator gave an order.
    Submitted(InboundCallId, FleetOrder),
    /// An operator asked for the outcome of an order.
    ReportRequested(InboundCallId, OrderId),
    /// An append was answered, or not.
    Appended(OrderAppendId, Result<AppendResponse, CallFailure>),
}

/// Output of the desk.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderTrackerAction {
    /// Append records to the `config` stream.
    Append(OrderAppendId, Vec<serde_json::Value>),
    /// Answer an operator.
    Respond(InboundCallId, OrderReport),
    /// Ask members for their gossip, with [`MemberTable::request_gossip`].
    RequestGossip(Vec<InstanceId>),
}

/// What the desk may read.
#[derive(Clone, Copy, Debug)]
pub struct OrderTrackerView<'a> {
    /// Configuration.
    pub fleet: &'a FleetState,
    /// Members.
    pub members: &'a MemberTable,
    /// Whether the configuration is complete.
    pub ready: bool,
    /// Whether the log answered when it was last asked.
    pub log_answers: bool,
}

/// How far an order has come.
#[derive(Clone, Debug, PartialEq)]
enum OrderPhase {
    /// Waits for the append in flight to end.
    Queued,
    /// Is part of the append in flight.
    Appending,
    /// May stand in the log and was not read back yet.
    Sent,
    /// Was accepted and is not yet in force everywhere.
    Accepted(OrderOutcome),
}

/// An order that was not answered yet or whose outcome is unknown.
#[derive(Clone, Debug)]
struct TrackedOrder {
    order: FleetOrder,
    phase: OrderPhase,
    /// When the phase ends without further news.
    due: Timestamp,
    waiting: Vec<InboundCallId>,
    /// Whether an append may have written the order.
    may_stand: bool,
}

/// Takes operator orders and answers for them.
#[derive(Debug, Default)]
pub struct OrderTracker {
    entries: BTreeMap<OrderId, TrackedOrder>,
    in_flight: Option<(OrderAppendId, Timestamp)>,
    next_append: u64,
    ask_due: Timestamp,
}

impl OrderTracker {
    /// A desk without orders.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an event in.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: OrderTrackerEvent,
        view: OrderTrackerView<'_>,
    ) -> Vec<OrderTrackerAction> {
        let mut actions = Vec::new();
        match event {
            OrderTrackerEvent::Submitted(inbound, order) => {
                self.take_order(now, inbound, order, view, &mut actions);
            }
            OrderTrackerEvent::ReportRequested(inbound, order) => {
                let report = self.report(&order, view);
                actions.push(OrderTrackerAction::Respond(inbound, report));
            }
            OrderTrackerEvent::Appended(number, result) => {
                self.take_append(now, number, result, &mut actions);
            }
        }
        actions.extend(self.tick(now, view));
        actions
    }

    /// Sends and answers what is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: OrderTrackerView<'_>,
    ) -> Vec<OrderTrackerAction> {
        let mut actions = Vec::new();
        if self.in_flight.is_some_and(|(_, due)| now >= due) {
            self.end_append(now);
        }
        self.read_back(now, view, &mut actions);
        self.ask_lagging(now, view, &mut actions);
        self.expire(now, view, &mut actions);
        self.start_append(now, &mut actions);
        actions
    }

    /// When the desk wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let entries = self.entries.values().map(|entry| entry.due);
        let append = self.in_flight.map(|(_, due)| due);
        let ask = self.accepted().next().map(|_| self.ask_due);
        entries.chain(append).chain(ask).min()
    }

    /// What is known of an order.
    pub fn report(
        &self,
        order: &OrderId,
        view: OrderTrackerView<'_>,
    ) -> OrderReport {
        if let Some(outcome) = view.fleet.outcomes.get(order) {
            return judged_report(order, outcome, view);
        }
        let held = self.entries.contains_key(order);
        let reason = if held {
            "outcome unknown: the order was not read back from the log yet"
        } else {
            "no outcome of this order is known here"
        };
        unknown_report(order, reason)
    }

    fn take_order(
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
            // A repeat of an order of unknown outcome is appended again; it
            // takes effect once.
            if entry.phase == OrderPhase::Sent && entry.waiting.len() == 1 {
                entry.phase = OrderPhase::Queued;
                entry.due = now.after(APPEND_TIMEOUT + JUDGE_TIMEOUT);
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
            due: now.after(APPEND_TIMEOUT + JUDGE_TIMEOUT),
            waiting: vec![inbound],
            may_stand: false,
        };
        self.entries.insert(id, entry);
    }

    /// Why an order is refused before anything is appended. Versions and
    /// subjects are left to the log, since this instance may lag.
    fn refuse(
        &self,
        order: &FleetOrder,
        view: OrderTrackerView<'_>,
    ) -> Option<(RefusalCode, String)> {
        if !view.ready {
            let text = "the configuration was not read yet";
            return Some((RefusalCode::NotReady, text.into()));
        }
        // An append to a log that is down may still have taken effect, so it
        // would have to be reported as unknown.
        if !view.log_answers {
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
        let number = OrderAppendId(self.next_append);
        self.next_append += 1;
        self.in_flight = Some((number, now.after(APPEND_TIMEOUT)));
        actions.push(OrderTrackerAction::Append(number, records));
    }

    fn take_append(
        &mut self,
        now: Timestamp,
        number: OrderAppendId,
        result: Result<AppendResponse, CallFailure>,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        if self.in_flight.map(|(current, _)| current) != Some(number) {
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

    /// Ends the append in flight; its orders may stand in the log.
    fn end_append(&mut self, now: Timestamp) {
        self.in_flight = None;
        for entry in self.entries.values_mut() {
            if entry.phase == OrderPhase::Appending {
                entry.phase = OrderPhase::Sent;
                entry.may_stand = true;
                entry.due = now.after(JUDGE_TIMEOUT);
            }
        }
    }

    /// Refuses the orders of an append that was not carried out.
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
            // An earlier append of the same order may still be found.
            let report = if entry.may_stand {
                unknown_report(id, "outcome unknown: the log is unavailable")
            } else {
                refused_report(id, code, &failure.message)
            };
            answer_all(entry, &report, actions);
            entry.phase = OrderPhase::Sent;
            entry.due = now.after(UNKNOWN_KEPT);
            entry.may_stand
        });
    }

    /// Moves orders on that were judged or are now in force.
    fn read_back(
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
            let report = judged_report(id, outcome, view);
            let settled = !outcome.accepted || report.in_force;
            if settled {
                answer_all(entry, &report, actions);
            }
            !settled
        });
    }

    /// Asks members that are not known to have applied an accepted order,
    /// since the regular probes take several periods to tell.
    fn ask_lagging(
        &mut self,
        now: Timestamp,
        view: OrderTrackerView<'_>,
        actions: &mut Vec<OrderTrackerAction>,
    ) {
        let newest = self.accepted().map(|outcome| outcome.offset).max();
        let Some(offset) = newest.filter(|_| now >= self.ask_due) else {
            return;
        };
        self.ask_due = now.after(ASK_INTERVAL);
        let mut members = lagging(view, offset);
        members.truncate(ASK_MAX);
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

    /// Answers orders whose time is over with what is known.
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
                    let report = judged_report(id, outcome, view);
                    answer_all(entry, &report, actions);
                    false
                }
                OrderPhase::Queued if !entry.may_stand => {
                    let code = RefusalCode::LogUnavailable;
                    let text = "the log did not answer in time";
                    let report = refused_report(id, code, text);
                    answer_all(entry, &report, actions);
                    false
                }
                // The append in flight ends by its own time.
                OrderPhase::Appending => {
                    entry.due = now.after(APPEND_TIMEOUT);
                    true
                }
                OrderPhase::Queued | OrderPhase::Sent => {
                    let answered = entry.waiting.is_empty();
                    let text = "outcome unknown: not read back in time";
                    answer_all(entry, &unknown_report(id, text), actions);
                    entry.phase = OrderPhase::Sent;
                    entry.due = now.after(UNKNOWN_KEPT);
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

fn judged_report(
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

/// Live instances that have not applied an offset. What this instance applied
/// is read from its own state, which membership learns of a tick later.
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
