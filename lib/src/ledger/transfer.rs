//! Transfer of reservations from the former owner of an engine to its new one.

use super::{EngineLedger, Reservation, SEND_DELAY_MAX};
use crate::{peer_api::TransferredReservation, units::Timestamp};

impl EngineLedger {
    /// Reservations for a new owner, with times relative to now.
    pub fn export(&self, now: Timestamp) -> Vec<TransferredReservation> {
        let left = |at: Timestamp| at.since(now);
        self.reservations
            .iter()
            .map(|(request, reservation)| TransferredReservation {
                request: request.clone(),
                entry: reservation.entry.clone(),
                sequence: reservation.sequence,
                tokens: reservation.tokens,
                prompt: reservation.prompt,
                state: reservation.state,
                expires_in: reservation.expires.map(left),
                deadline_in: reservation.deadline.map(left),
                prefilling: reservation.prefilling,
            })
            .collect()
    }

    /// Adds a reservation of the former owner. An own reservation for the same
    /// request is newer and stays.
    pub fn import(
        &mut self,
        now: Timestamp,
        transferred: TransferredReservation,
    ) {
        if self.reservations.contains_key(&transferred.request) {
            return;
        }
        let expires = transferred.expires_in.map(|left| now.after(left));
        let reservation = Reservation {
            entry: transferred.entry,
            sequence: transferred.sequence,
            tokens: transferred.tokens,
            prompt: transferred.prompt,
            state: transferred.state,
            state_since: now,
            renewed_at: now,
            expires,
            deadline: transferred.deadline_in.map(|left| now.after(left)),
            prefilling: transferred.prefilling,
            cancel_due: None,
            absence_provable_from: expires
                .unwrap_or(now)
                .max(now.after(SEND_DELAY_MAX)),
        };
        self.insert(transferred.request, reservation);
    }
}
