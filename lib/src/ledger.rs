//! The owner's ledger of one engine's memory and slots.
//!
//! A reservation counts from the grant until the engine is known not to have
//! the request. If a grant expired without a notice, or a request failed or was
//! cancelled, the reservation stays until the engine's list of held requests,
//! read after that moment, does not contain the request. The ledger may
//! therefore count too much memory as used, but never too little. The owner
//! reads the lists and passes them in; this module sends nothing.
//!
//! Notices about one request are sent without waiting for each other, so the
//! one about its end may arrive before that about its start. The ledger
//! remembers ended requests for some time and ignores such late notices.

mod ended_requests;
mod transfer;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use self::ended_requests::EndedRequests;
use crate::{
    engine_api::HeldReport,
    ids::{InstanceId, RequestId},
    peer_api::{GrantEvent, GrantNotice, GrantRequest},
    units::{Incarnation, Timestamp, TokenCount},
    value_type,
};

/// Validity of a grant, counted from the sending of the grant request.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(500);
/// How long the owner counts an unused grant after answering. Exceeds the
/// validity by [`SEND_DELAY_MAX`].
pub const UNUSED_GRANT_TIMEOUT: Duration = Duration::from_millis(750);
/// How long the reservation for a later segment of a group counts after its
/// last renewal.
pub const KEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a started request may be missing from the engine's list before its
/// reservation is dropped.
pub const LIST_GRACE: Duration = Duration::from_secs(1);
/// Maximum time from the sending of a request to its arrival at the engine.
pub const SEND_DELAY_MAX: Duration = Duration::from_millis(250);
/// How long an adopted or started request may have neither a notice nor an
/// attached stream before it is cancelled.
pub const DETACHED_TIMEOUT: Duration = Duration::from_secs(30);
/// How long after its deadline the owner waits for the entry instance to end a
/// request, before it cancels the request itself.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Interval between two cancellations of the same request.
const CANCEL_INTERVAL: Duration = Duration::from_secs(2);
/// Percentage of the memory that an owner may grant. The rest covers a second
/// instance that considers itself the owner.
const FULL_PERCENT: u64 = 90;
/// Percentage of the memory that may be granted before the takeover is
/// complete.
const TAKEOVER_PERCENT: u64 = 10;

value_type! {
/// State of a reservation.
#[derive(Copy, Eq)]
pub enum ReservationState {
    /// Granted; the use of the grant has not been reported.
    Granted,
    /// Reserved for a later segment of a group whose grants are complete.
    Kept,
    /// Sent to the engine.
    Started,
    /// Found in the engine's list without a grant of this owner or a notice.
    Adopted,
    /// Ended or expired; the engine may still have the request.
    Ending,
}
}

/// Memory and a slot of one engine reserved for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Entry instance; `None` if unknown.
    pub entry: Option<InstanceId>,
    /// Sequence number of the grant request; zero for an adopted request.
    pub sequence: u64,
    /// Reserved memory.
    pub tokens: TokenCount,
    /// Prompt tokens to prefill; zero if unknown.
    pub prompt: TokenCount,
    /// Present state.
    pub state: ReservationState,
    /// When the present state was entered.
    pub state_since: Timestamp,
    /// When a notice or an attached stream last showed that an instance uses
    /// the reservation.
    pub renewed_at: Timestamp,
    /// When the present state expires; `None` if it does not.
    pub expires: Option<Timestamp>,
    /// Time by which the request must have ended; `None` if unknown.
    pub deadline: Option<Timestamp>,
    /// Whether the prefill is pending, as far as this owner can tell.
    pub prefilling: bool,
    cancel_due: Option<Timestamp>,
    /// If a list that was requested at this time or later does not contain the
    /// request, the engine does not have it.
    absence_provable_from: Timestamp,
}

/// Effects of a list of held requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LedgerChange {
    /// Requests to cancel at the engine.
    pub cancel: Vec<RequestId>,
    /// Whether the engine has restarted with a new incarnation.
    pub restarted: bool,
}

/// Ledger of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLedger {
    incarnation: Option<Incarnation>,
    memory: TokenCount,
    slots: u32,
    takeover_complete: bool,
    reservations: BTreeMap<RequestId, Reservation>,
    used: TokenCount,
    ended: EndedRequests,
}

impl EngineLedger {
    /// A ledger without reservations, for an engine of unknown size.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the engine's memory and its number of slots.
    pub fn set_size(&mut self, memory: TokenCount, slots: u32) {
        self.memory = memory;
        self.slots = slots;
    }

    /// Sets whether the takeover is complete. Until then only a tenth of the
    /// memory is granted.
    pub fn set_complete(&mut self, takeover_complete: bool) {
        self.takeover_complete = takeover_complete;
    }

    /// Whether the takeover is complete.
    pub fn is_complete(&self) -> bool {
        self.takeover_complete
    }

    /// Incarnation of the engine that the ledger applies to; `None` if unknown.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Reservations in the order of the request ids.
    pub fn reservations(
        &self,
    ) -> impl Iterator<Item = (&RequestId, &Reservation)> {
        self.reservations.iter()
    }

    /// The reservation of a request.
    pub fn reservation(&self, request: &RequestId) -> Option<&Reservation> {
        self.reservations.get(request)
    }

    /// Number of reservations.
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Total memory of the engine.
    pub fn memory(&self) -> TokenCount {
        self.memory
    }

    /// Memory that can be granted once the takeover is complete.
    pub fn full_memory_limit(&self) -> TokenCount {
        percent_of(self.memory, FULL_PERCENT)
    }

    /// Memory of all reservations.
    pub fn used(&self) -> TokenCount {
        self.used
    }

    /// Maximum memory that this owner may grant now.
    pub fn memory_limit(&self) -> TokenCount {
        if self.takeover_complete {
            self.full_memory_limit()
        } else {
            percent_of(self.memory, TAKEOVER_PERCENT)
        }
    }

    /// Maximum number of concurrent requests that this owner may grant now. One
    /// slot is left for a second owner.
    pub fn slot_limit(&self) -> u32 {
        if self.takeover_complete && self.slots > 1 {
            self.slots - 1
        } else {
            self.slots.min(1)
        }
    }

    /// Memory that can still be granted.
    pub fn headroom(&self) -> TokenCount {
        self.memory_limit().saturating_sub(self.used)
    }

    /// Slots that can still be granted.
    pub fn free_slots(&self) -> u32 {
        let held = u32::try_from(self.reservations.len()).unwrap_or(u32::MAX);
        self.slot_limit().saturating_sub(held)
    }

    /// Whether a request of this size can be granted. False while the
    /// incarnation is unknown.
    pub fn fits(&self, tokens: TokenCount) -> bool {
        self.incarnation.is_some()
            && self.free_slots() > 0
            && tokens <= self.headroom()
    }

    /// Whether the reservations are within the limits. Adopted requests can
    /// exceed them.
    pub fn is_within_limits(&self) -> bool {
        self.used <= self.memory_limit()
            && self.reservations.len() <= self.slot_limit() as usize
    }

    /// Prompt tokens of the reservations whose prefill is pending.
    pub fn prefill_backlog(&self) -> TokenCount {
        let pending = self
            .reservations
            .values()
            .filter(|reservation| reservation.prefilling);
        pending.map(|reservation| reservation.prompt).sum()
    }

    /// Sets the incarnation, and returns whether the engine has restarted. A
    /// restart removes the reservations of requests that the engine has lost,
    /// but not of those that may still arrive there.
    pub fn set_incarnation(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
    ) -> bool {
        if self
            .incarnation
            .is_some_and(|current| current >= incarnation)
        {
            return false;
        }
        let restarted = self.incarnation.is_some();
        self.incarnation = Some(incarnation);
        if restarted {
            self.reservations.retain(|_, reservation| {
                let unsent = matches!(
                    reservation.state,
                    ReservationState::Granted | ReservationState::Kept
                );
                unsent || reservation.absence_provable_from > now
            });
            self.used = self
                .reservations
                .values()
                .map(|reservation| reservation.tokens)
                .sum();
        }
        restarted
    }

    /// Adds the reservation for a grant. The caller has checked [`Self::fits`].
    pub fn grant(
        &mut self,
        now: Timestamp,
        entry: InstanceId,
        grant_request: &GrantRequest,
        tokens: TokenCount,
    ) {
        let reservation = Reservation {
            entry: Some(entry),
            sequence: grant_request.sequence,
            tokens,
            prompt: grant_request.prompt,
            state: ReservationState::Granted,
            state_since: now,
            renewed_at: now,
            expires: Some(now.after(UNUSED_GRANT_TIMEOUT)),
            deadline: Some(now.after(grant_request.time_left)),
            prefilling: true,
            cancel_due: None,
            absence_provable_from: now.after(UNUSED_GRANT_TIMEOUT),
        };
        self.insert(grant_request.request.clone(), reservation);
    }

    /// Applies a notice of an entry instance.
    pub fn notice(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        notice: &GrantNotice,
    ) {
        let request = &notice.request;
        let current = self.reservations.get(request);
        // A notice about an earlier grant request of the same request may be
        // late.
        if current
            .is_some_and(|reservation| reservation.sequence > notice.sequence)
        {
            return;
        }
        if self.ended.covers(now, request, notice.sequence) {
            return;
        }
        match &notice.event {
            GrantEvent::Unused => {
                let unsent = current.is_none_or(|reservation| {
                    matches!(
                        reservation.state,
                        ReservationState::Granted | ReservationState::Kept
                    )
                });
                if unsent {
                    self.ended.record(now, request, notice.sequence);
                    self.remove_reservation(request);
                }
            }
            GrantEvent::Finished(_) | GrantEvent::Overcommitted => {
                self.ended.record(now, request, notice.sequence);
                self.remove_reservation(request);
            }
            GrantEvent::Kept => {
                self.renew(now, from, notice, ReservationState::Kept);
            }
            GrantEvent::Started => {
                self.renew(now, from, notice, ReservationState::Started);
            }
            GrantEvent::FirstChunk(_) => {
                self.renew(now, from, notice, ReservationState::Started);
                if let Some(reservation) = self.reservations.get_mut(request) {
                    reservation.prefilling = false;
                }
            }
            GrantEvent::Failed | GrantEvent::Cancelled => {
                self.mark_ending(now, request, true);
            }
        }
    }

    /// Compares the reservations with the engine's list of held requests:
    /// removes those of absent requests and adds those of unknown ones.
    /// `list_requested_at` is when the read of the list was started.
    pub fn reconcile(
        &mut self,
        now: Timestamp,
        list_requested_at: Timestamp,
        report: &HeldReport,
        dead: &BTreeSet<InstanceId>,
    ) -> LedgerChange {
        if self.incarnation.is_some_and(|current_incarnation| {
            current_incarnation > report.incarnation
        }) {
            return LedgerChange::default();
        }
        let restarted = self.set_incarnation(now, report.incarnation);
        let listed: BTreeMap<_, _> = report
            .requests
            .iter()
            .map(|held| (&held.request, held))
            .collect();
        let absent: Vec<RequestId> = self
            .reservations
            .iter()
            .filter(|(request, reservation)| {
                !listed.contains_key(*request)
                    && is_proved_absent(reservation, list_requested_at)
            })
            .map(|(request, _)| request.clone())
            .collect();
        absent
            .iter()
            .for_each(|request| self.remove_reservation(request));
        for held in listed.values() {
            self.apply_listed(now, &held.request, held.tokens, held.attached);
        }
        self.end_orphaned(now, dead);
        let cancel = self.due_cancellations(now);
        LedgerChange { cancel, restarted }
    }

    /// Marks the reservations of a dead entry instance as ending.
    pub fn member_dead(&mut self, now: Timestamp, dead: &InstanceId) {
        let requests: Vec<RequestId> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| reservation.entry.as_ref() == Some(dead))
            .map(|(request, _)| request.clone())
            .collect();
        for request in requests {
            self.mark_ending(now, &request, true);
        }
    }

    /// Marks expired reservations as ending and returns the requests to cancel
    /// at the engine.
    pub fn tick(&mut self, now: Timestamp) -> Vec<RequestId> {
        for reservation in self.reservations.values_mut() {
            let expired = reservation.expires.is_some_and(|at| at <= now);
            let past_deadline = reservation
                .deadline
                .is_some_and(|at| at.after(DEADLINE_GRACE) <= now);
            if expired && reservation.state != ReservationState::Ending {
                reservation.state = ReservationState::Ending;
                reservation.state_since = now;
                reservation.expires = None;
                reservation.absence_provable_from = now;
            }
            if past_deadline && reservation.cancel_due.is_none() {
                reservation.state = ReservationState::Ending;
                reservation.state_since = now;
                reservation.expires = None;
                reservation.cancel_due = Some(now);
                reservation.absence_provable_from = now.after(SEND_DELAY_MAX);
            }
        }
        self.due_cancellations(now)
    }

    /// Whether a list of the engine could settle a reservation.
    pub fn needs_list(&self) -> bool {
        self.reservations
            .values()
            .any(|reservation| reservation.state == ReservationState::Ending)
    }

    /// When [`Self::tick`] has something to do.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let due = |reservation: &Reservation| {
            let deadline_due =
                reservation.deadline.map(|at| at.after(DEADLINE_GRACE));
            let deadline_due =
                deadline_due.filter(|_| reservation.cancel_due.is_none());
            [reservation.expires, reservation.cancel_due, deadline_due]
                .into_iter()
                .flatten()
                .min()
        };
        self.reservations.values().filter_map(due).min()
    }

    fn insert(&mut self, request: RequestId, reservation: Reservation) {
        self.remove_reservation(&request);
        self.used = self.used.saturating_add(reservation.tokens);
        self.reservations.insert(request, reservation);
    }

    fn remove_reservation(&mut self, request: &RequestId) {
        if let Some(reservation) = self.reservations.remove(request) {
            self.used = self.used.saturating_sub(reservation.tokens);
        }
    }

    /// Sets the state of a reservation. Adds the reservation if it is unknown,
    /// as happens after a takeover or with a late notice.
    fn renew(
        &mut self,
        now: Timestamp,
        from: &InstanceId,
        notice: &GrantNotice,
        state: ReservationState,
    ) {
        let expires =
            (state == ReservationState::Kept).then(|| now.after(KEPT_TIMEOUT));
        if let Some(reservation) = self.reservations.get_mut(&notice.request) {
            let cancelled = reservation.cancel_due.is_some();
            let started = reservation.state == ReservationState::Started;
            reservation.entry = Some(from.clone());
            reservation.sequence = notice.sequence;
            reservation.renewed_at = now;
            if cancelled || (started && state == ReservationState::Kept) {
                return;
            }
            if reservation.state != state {
                reservation.state_since = now;
                reservation.absence_provable_from = now.after(LIST_GRACE);
            }
            reservation.state = state;
            reservation.expires = expires;
            return;
        }
        let reservation = Reservation {
            entry: Some(from.clone()),
            sequence: notice.sequence,
            tokens: notice.reserved,
            prompt: TokenCount::ZERO,
            state,
            state_since: now,
            renewed_at: now,
            expires,
            deadline: None,
            prefilling: false,
            cancel_due: None,
            absence_provable_from: now.after(LIST_GRACE),
        };
        self.insert(notice.request.clone(), reservation);
    }

    fn mark_ending(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        cancel: bool,
    ) {
        if let Some(reservation) = self.reservations.get_mut(request) {
            reservation.state = ReservationState::Ending;
            reservation.state_since = now;
            reservation.expires = None;
            reservation.prefilling = false;
            reservation.cancel_due = cancel.then_some(now);
            reservation.absence_provable_from = now.after(SEND_DELAY_MAX);
        }
    }

    fn apply_listed(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        tokens: TokenCount,
        attached: bool,
    ) {
        let Some(reservation) = self.reservations.get_mut(request) else {
            let reservation = Reservation {
                entry: request.entry_instance(),
                sequence: 0,
                tokens,
                prompt: TokenCount::ZERO,
                state: ReservationState::Adopted,
                state_since: now,
                renewed_at: now,
                expires: None,
                deadline: None,
                prefilling: false,
                cancel_due: None,
                absence_provable_from: now,
            };
            self.insert(request.clone(), reservation);
            return;
        };
        self.used = self.used.saturating_sub(reservation.tokens);
        reservation.tokens = reservation.tokens.max(tokens);
        self.used = self.used.saturating_add(reservation.tokens);
        if attached {
            reservation.renewed_at = now;
        }
        if reservation.cancel_due.is_some() {
            return;
        }
        match reservation.state {
            ReservationState::Adopted | ReservationState::Started => {
                if now.since(reservation.renewed_at) >= DETACHED_TIMEOUT {
                    reservation.cancel_due = Some(now);
                }
            }
            ReservationState::Granted
            | ReservationState::Kept
            | ReservationState::Ending => {
                reservation.state = ReservationState::Started;
                reservation.state_since = now;
                reservation.renewed_at = now;
                reservation.expires = None;
            }
        }
    }

    fn end_orphaned(&mut self, now: Timestamp, dead: &BTreeSet<InstanceId>) {
        for reservation in self.reservations.values_mut() {
            let orphaned = reservation
                .entry
                .as_ref()
                .is_some_and(|entry| dead.contains(entry));
            if orphaned && reservation.cancel_due.is_none() {
                reservation.state = ReservationState::Ending;
                reservation.state_since = now;
                reservation.expires = None;
                reservation.cancel_due = Some(now);
                reservation.absence_provable_from = now.after(SEND_DELAY_MAX);
            }
        }
    }

    fn due_cancellations(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut cancel = Vec::new();
        for (request, reservation) in &mut self.reservations {
            if reservation.cancel_due.is_some_and(|at| at <= now) {
                reservation.cancel_due = Some(now.after(CANCEL_INTERVAL));
                cancel.push(request.clone());
            }
        }
        cancel
    }
}

/// Whether the absence of a request from a list proves that the engine does not
/// have it.
fn is_proved_absent(
    reservation: &Reservation,
    list_requested_at: Timestamp,
) -> bool {
    match reservation.state {
        ReservationState::Granted | ReservationState::Kept => false,
        ReservationState::Started
        | ReservationState::Adopted
        | ReservationState::Ending => {
            reservation.absence_provable_from <= list_requested_at
        }
    }
}

/// A percentage of a number of tokens, rounded down.
pub fn percent_of(memory: TokenCount, percent: u64) -> TokenCount {
    let tokens = u128::from(memory.get()) * u128::from(percent) / 100;
    TokenCount::new(u64::try_from(tokens).unwrap_or(u64::MAX))
}
