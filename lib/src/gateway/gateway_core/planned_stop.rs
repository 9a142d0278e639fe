//! Requests during a planned stop of this instance.

use std::time::Duration;

use rand::Rng;

use super::{GatewayCore, PlacementRequest};
use crate::{
    gateway::{
        answer_durations::AnswerForecast,
        load_table::UpstreamLoad,
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

    /// Records the decoding time of a complete answer, and what was predicted
    /// when it was sent.
    pub fn record_decoding(
        &mut self,
        service: &ServiceName,
        forecast: &AnswerForecast,
        actual: Duration,
    ) {
        self.answer_durations
            .record(service, forecast.decoding, actual);
    }

    /// Predicted times of a request that is not placed yet, or by another
    /// instance; `None` if nothing is known of it.
    pub fn unplaced_forecast(
        &self,
        request: &PlacementRequest<'_>,
    ) -> Option<AnswerForecast> {
        let config = self.config.as_ref()?;
        let spec = config.find_service(&request.admitted.service)?;
        let first_event = request.admitted.route.latency_target;
        answer_forecast(request, spec, &UpstreamLoad::default(), first_event)
    }

    /// Refuses a request that could not end before a planned stop does. One
    /// whose caller already has a part of the answer goes on: a refusal would
    /// cut it off, too.
    pub fn check_stop(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        forecast: Option<AnswerForecast>,
    ) -> Result<(), Refusal> {
        let Some(stop) = self.stop.filter(|_| !request.is_resumed) else {
            return Ok(());
        };
        let service = &request.admitted.service;
        let expected = forecast.map(|forecast| {
            let durations = &self.answer_durations;
            let decoding = durations.expected(service, forecast.decoding);
            forecast.first_event.saturating_add(decoding)
        });
        let send = SendForecast {
            retry_safety: request.admitted.route.retry_safety,
            time_left: request.time_left,
            expected,
        };
        if stop.allows_send(now, &send) {
            return Ok(());
        }
        Err(self.stop_refusal())
    }
}

/// Predicted times of an answer whose first event comes after `first_event`,
/// given the load of its upstream without it; `None` if nothing is known of it.
pub(super) fn answer_forecast(
    request: &PlacementRequest<'_>,
    spec: &ServiceSpec,
    load: &UpstreamLoad,
    first_event: Duration,
) -> Option<AnswerForecast> {
    let route = &request.admitted.route;
    match (&spec.engine, request.size) {
        (Some(engine), Some(size)) => {
            let own = size.prompt.saturating_add(size.output_max);
            let context = own.saturating_add(TokenCount::new(load.kv_tokens));
            let sequences = load.requests().saturating_add(1);
            Some(AnswerForecast {
                first_event,
                decoding: engine.decode_time(
                    size.output_max,
                    sequences,
                    context,
                ),
            })
        }
        _ if route.form == AnswerForm::Whole => Some(AnswerForecast {
            first_event: route.latency_target.mul_f64(WHOLE_ANSWER_TARGETS),
            decoding: Duration::ZERO,
        }),
        _ => None,
    }
}
