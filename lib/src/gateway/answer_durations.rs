//! Learns how long answers are decoded compared with their predictions.
//!
//! The prediction for a prompt covers the most tokens that its answer may have,
//! while most answers are much shorter. Whether a request can end before a
//! planned stop does is therefore judged by what recent answers of its service
//! took.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::ids::ServiceName;

/// Longest predicted decoding time from which something is learned.
const PREDICTION_MAX: Duration = Duration::from_secs(120);
/// Recent answers of a service that are remembered.
const SAMPLES_MAX: usize = 256;
/// Answers from which on their durations replace the prediction.
const SAMPLES_MIN: usize = 32;
/// Share of the recent answers that an expected duration covers.
const COVERED_SHARE: f64 = 0.99;

/// Predicted times of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerForecast {
    /// Time from the send to the first event, or to a whole answer.
    pub first_event: Duration,
    /// Longest time from the first event to the end, by the tokens that the
    /// answer may have.
    pub decoding: Duration,
}

impl AnswerForecast {
    /// Longest time from the send to the end of the answer.
    pub fn longest(&self) -> Duration {
        self.first_event.saturating_add(self.decoding)
    }
}

/// Decoding times of the recent answers of each service, as shares of their
/// predictions.
#[derive(Clone, Debug, Default)]
pub struct AnswerDurations {
    services: BTreeMap<ServiceName, VecDeque<f64>>,
}

impl AnswerDurations {
    /// Records the decoding time of an answer that is complete. A prediction
    /// far beyond usual answers says nothing and is ignored.
    pub fn record(
        &mut self,
        service: &ServiceName,
        predicted: Duration,
        actual: Duration,
    ) {
        if predicted.is_zero() || predicted > PREDICTION_MAX {
            return;
        }
        let shares = self.services.entry(service.clone()).or_default();
        if shares.len() == SAMPLES_MAX {
            shares.pop_front();
        }
        shares.push_back(actual.as_secs_f64() / predicted.as_secs_f64());
    }

    /// Forgets services that are not configured any more.
    pub fn retain(&mut self, is_configured: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }

    /// Decoding time that few answers with this prediction exceed.
    pub fn expected(
        &self,
        service: &ServiceName,
        predicted: Duration,
    ) -> Duration {
        let shares = self.services.get(service);
        let Some(shares) = shares.filter(|it| it.len() >= SAMPLES_MIN) else {
            return predicted;
        };
        let mut sorted: Vec<_> = shares.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * COVERED_SHARE) as usize;
        let share = sorted[index.min(sorted.len() - 1)];
        Duration::try_from_secs_f64(predicted.as_secs_f64() * share)
            .unwrap_or(Duration::MAX)
    }
}
