//! Requests during a planned stop of this instance.

use std::time::Duration;

use rand::Rng;

use super::{GatewayCore, PlacementRequest};
use crate::{
    gateway::{
        load_table::UpstreamLoad,
        placement::Placement,
        planned_stop::{PlannedStop, SendForecast},
        routing_config::{AnswerForm, ServiceSpec},
    },
    ids::ServiceName,
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount},
};

/// Range of the random `Retry-After` of a refusal by a stopping instance. Other
/// instances can take the request at once; the spread keeps callers from
/// arriving there together.
const STOP_RETRY_SPREAD: Duration = Duration::from_millis(200);
/// Predicted time of a whole answer, in latency targets of its route.
const WHOLE_ANSWER_TARGETS: f64 = 2.5;

impl GatewayCore {
    /// Begins the planned stop and returns it; the instance is no longer ready
    /// from then on. A later call does not prolong a stop that has begun.
    pub fn begin_stop(&mut self, now: Timestamp) -> PlannedStop {
        let grace = self.settings.bounds.grace();
        *self
            .stop
            .get_or_insert_with(|| PlannedStop::new(now, grace))
    }

    /// The planned stop; `None` before it has begun.
    pub fn planned_stop(&self) -> Option<PlannedStop> {
        self.stop
    }

    /// Refusal of a request that has not run and that the planned stop ends.
    pub fn stop_refusal(&mut self) -> Refusal {
        let text = "the instance stops before the answer would be complete";
        let wait = STOP_RETRY_SPREAD.mul_f64(self.rng.random::<f64>());
        Refusal::new(RefusalCode::Stopping, text).with_retry_after(wait)
    }

    /// Records the duration of a complete answer, and what was predicted when
    /// it was sent.
    pub fn record_duration(
        &mut self,
        service: &ServiceName,
        predicted: Duration,
        actual: Duration,
    ) {
        self.answer_durations.record(service, predicted, actual);
    }

    /// Refuses a request that could not end before a planned stop does. One
    /// whose caller already has a part of the answer goes on: a refusal would
    /// cut it off, too.
    pub(super) fn check_stop(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        duration: Option<Duration>,
    ) -> Result<(), Refusal> {
        let service = &request.admitted.service;
        let durations = &self.answer_durations;
        let expected =
            duration.map(|longest| durations.expected(service, longest));
        let forecast = SendForecast {
            retry_safety: request.admitted.route.retry_safety,
            time_left: request.time_left,
            expected,
            longest: duration,
        };
        let allowed = request.is_resumed
            || self
                .stop
                .is_none_or(|stop| stop.allows_send(now, &forecast));
        if allowed {
            return Ok(());
        }
        Err(self.stop_refusal())
    }

    /// Like [`Self::place`], for a request that another instance will place:
    /// refuses it if it could not end before a planned stop does.
    pub fn check_delegation(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
    ) -> Result<(), Refusal> {
        let config = self.config.as_ref();
        let spec = config
            .and_then(|it| it.find_service(&request.admitted.service))
            .cloned();
        let duration = spec.and_then(|spec| {
            let first = request.admitted.route.latency_target;
            answer_duration(request, &spec, &UpstreamLoad::default(), first)
        });
        self.check_stop(now, request, duration)
    }
}

/// Predicted time from now to the end of the answer of a placed request, given
/// the load of its upstream without it; `None` if nothing is known of it.
pub(super) fn predicted_duration(
    request: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    placed: &Placement,
    load: &UpstreamLoad,
) -> Option<Duration> {
    answer_duration(request, spec, load, placed.time_to_first_event)
}

/// Predicted time to the end of an answer whose first event comes after
/// `first_event`.
fn answer_duration(
    request: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    load: &UpstreamLoad,
    first_event: Duration,
) -> Option<Duration> {
    let route = &request.admitted.route;
    match (&spec.engine, request.size) {
        (Some(engine), Some(size)) => {
            let own = size.prompt.saturating_add(size.output_max);
            let context = own.saturating_add(TokenCount::new(load.kv_tokens));
            let sequences = load.requests().saturating_add(1);
            let decoding =
                engine.decode_time(size.output_max, sequences, context);
            Some(first_event.saturating_add(decoding))
        }
        _ if route.form == AnswerForm::Whole => {
            Some(route.latency_target.mul_f64(WHOLE_ANSWER_TARGETS))
        }
        _ => None,
    }
}
