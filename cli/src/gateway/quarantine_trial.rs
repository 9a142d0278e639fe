//! Trials of parts in quarantine that another instance makes.
//!
//! One instance makes the trials of a part, so that few requests are sent. In a
//! large fleet it may get none with the part for long, so instances that get one
//! ask it: `POST /trials/PART` at the first peer port, with the query `decisive` if
//! the request tells the part from others that explain its crashes. The answer is
//! 200 if the request may be sent, 409 if another trial is under way or about to
//! begin, and 410 if the part is held. Other builds do not know the path.

use std::time::Duration;

use borageline_lib::gateway::{
    prompt_quarantine::{DueTrial, TrialAnswer},
    wire::GatewayWire,
};
use http::{Method, StatusCode, Uri};
use percent_encoding::{
    NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode,
};

use super::SharedGateway;
use crate::http_client::{CallTarget, plain_request};

/// Path with which instances ask each other for a trial.
const TRIAL_PREFIX: &str = "/trials/";
/// Query of a decisive trial.
const DECISIVE: &str = "decisive";
/// Time for the answer; the request is refused without one.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks the owners of these trials; returns whether all are granted.
pub(super) async fn ask_for_trials<W: GatewayWire>(
    context: &SharedGateway<W>,
    trials: &[DueTrial],
) -> bool {
    for trial in trials {
        let answer = ask_for_trial(context, trial).await;
        if answer != Some(TrialAnswer::Granted) {
            let now = context.now();
            context.core().record_trial_denial(now, trial, answer);
            return false;
        }
    }
    true
}

/// Answer of the trial's owner; `None` if it gives none.
async fn ask_for_trial<W: GatewayWire>(
    context: &SharedGateway<W>,
    trial: &DueTrial,
) -> Option<TrialAnswer> {
    let now = context.now();
    let owner = context.core().part_owner(now, &trial.part);
    if owner == context.settings().ip {
        return Some(context.core().grant_trial(now, trial));
    }
    let peer = context.settings().peer_address_of(owner);
    let target = CallTarget {
        step: "ask for trial",
        peer,
        timeout: ASK_TIMEOUT,
    };
    let request = plain_request(Method::POST, peer, &trial_path(trial));
    let answer = context.peers.send(target, request).await.ok()?;
    match answer.status() {
        StatusCode::OK => Some(TrialAnswer::Granted),
        StatusCode::CONFLICT => Some(TrialAnswer::Running),
        _ => Some(TrialAnswer::Held),
    }
}

fn trial_path(trial: &DueTrial) -> String {
    let part = utf8_percent_encode(trial.part.as_str(), NON_ALPHANUMERIC);
    match trial.is_decisive {
        true => format!("{TRIAL_PREFIX}{part}?{DECISIVE}"),
        false => format!("{TRIAL_PREFIX}{part}"),
    }
}

/// Trial for which another instance asks; `None` if it asks for something else.
pub(super) fn asked_trial(uri: &Uri) -> Option<DueTrial> {
    let part = uri.path().strip_prefix(TRIAL_PREFIX)?;
    let part = percent_decode_str(part).decode_utf8().ok()?;
    Some(DueTrial {
        part: part.parse().ok()?,
        is_decisive: uri.query() == Some(DECISIVE),
    })
}

/// Answers another instance that asks for a trial.
pub(super) fn answer<W: GatewayWire>(
    context: &SharedGateway<W>,
    trial: &DueTrial,
) -> StatusCode {
    let now = context.now();
    match context.core().grant_trial(now, trial) {
        TrialAnswer::Granted => StatusCode::OK,
        TrialAnswer::Running => StatusCode::CONFLICT,
        TrialAnswer::Held => StatusCode::GONE,
    }
}
