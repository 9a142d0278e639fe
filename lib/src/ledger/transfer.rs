//! Passing holds from the former owner of an engine to its new one.

use super::{EngineLedger, Reservation, SEND_DELAY_MAX};
use crate::{peer_api::TransferredReservation, units::Timestamp};

impl EngineLedger {
    /// Holds as a new owner needs them, with times relative to now.
    pub fn export(&self, now: Timestamp) -> Vec<TransferredReservation> {
        let left = |at: Timestamp| at.since(now);
        self.reservations
            .iter()
            .map(|(request, reservation)| TransferredReservation {
                request: request.clone(),
                entry: reservation.entry.clone(),
                sequence: reservation.ask,
                tokens: reservation.tokens,
                prompt: reservation.prompt,
                state: reservation.state,
                expires_in: reservation.expires.map(left),
                deadline_in: reservation.deadline.map(left),
                prefilling: reservation.prefilling,
            })
            .collect()
    }

    /// Books a hold of the former owner. One that this owner has booked
    /// itself is newer and stays.
    pub fn import(&mut self, now: Timestamp, handed: TransferredReservation) {
        if self.reservations.contains_key(&handed.request) {
            return;
        }
        let expires = handed.expires_in.map(|left| now.after(left));
        let reservation = Reservation {
            entry: handed.entry,
            ask: handed.sequence,
            tokens: handed.tokens,
            prompt: handed.prompt,
            state: handed.state,
            since: now,
            renewed: now,
            expires,
            deadline: handed.deadline_in.map(|left| now.after(left)),
            prefilling: handed.prefilling,
            cancel_due: None,
            proved_from: expires.unwrap_or(now).max(now.after(SEND_DELAY_MAX)),
        };
        self.put(handed.request, reservation);
    }
}
