//! Finds out whether an upstream that broke off a request has crashed, and
//! answers other instances that want to know it.
//!
//! An upstream is looked at by one task at a time; further requests that it
//! broke off meanwhile are recorded with the same crash.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        crash_confirmation::{
            ConnectionView, CrashConfirmation, CrashFindings, CrashVerdict,
            PeerView, ROUND_INTERVAL,
        },
        crash_evidence::SuspectPrompt,
        upstream_table::{UpstreamEntry, UpstreamProcess},
        wire::GatewayWire,
    },
    ids::UpstreamId,
    log_event::LogEvent,
    units::Timestamp,
};
use futures::future::join_all;
use http::{Method, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use super::{SharedGateway, forward::CallerAttempt};
use crate::{
    connection_probe::{OPEN_TIME, accepts_connections, view_connection},
    http_client::{CallTarget, plain_request},
    log_decision,
};

/// Path with which instances ask each other about an upstream.
const ASK_PREFIX: &str = "/links/";
/// Time for the answer, which takes up to two connect timeouts.
const ASK_TIMEOUT: Duration = Duration::from_millis(750);

/// Time for which an accepted connection must stay open here. The instance that
/// asks was refused before, so the listener is not just being closed.
const ASKED_OPEN_TIME: Duration = Duration::from_millis(100);

/// Most parts of requests that are kept of all upstreams while these are looked
/// at, 16 bytes each. A further request is left out.
const SUSPECT_PARTS_MAX: usize = 262_144;

type SuspectsByProcess = BTreeMap<UpstreamProcess, Vec<SuspectPrompt>>;

/// Upstreams that are looked at, with the requests that they broke off.
#[derive(Debug, Default)]
pub(super) struct CrashSuspicions(Mutex<SuspectsByProcess>);

impl CrashSuspicions {
    fn lock(&self) -> MutexGuard<'_, SuspectsByProcess> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request; returns whether the upstream is not looked at yet.
    fn add(&self, process: &UpstreamProcess, prompt: SuspectPrompt) -> bool {
        let mut suspicions = self.lock();
        let is_new = !suspicions.contains_key(process);
        let kept = suspicions.values().flatten();
        let kept: usize = kept.map(|it| it.parts.len()).sum();
        let prompts = suspicions.entry(process.clone()).or_default();
        if kept + prompt.parts.len() <= SUSPECT_PARTS_MAX {
            prompts.push(prompt);
        }
        is_new
    }

    fn take(&self, process: &UpstreamProcess) -> Vec<SuspectPrompt> {
        self.lock().remove(process).unwrap_or_default()
    }
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// Finds out whether an upstream crashed that broke off this request before
    /// or shortly after the beginning of its answer.
    pub(super) fn suspect_crash(&self, upstream: &UpstreamId) {
        self.crash_suspicion().record(upstream);
    }

    /// What a suspicion must know of this request.
    pub(super) fn crash_suspicion(&self) -> CrashSuspicion<W> {
        CrashSuspicion {
            context: self.context.clone(),
            attempt: self.id().to_owned(),
            prompt: SuspectPrompt {
                attempt: xxh3_64(self.id().as_bytes()),
                parts: self.contents.clone(),
            },
        }
    }
}

/// A request that may crash an upstream, apart from its attempt, which may be
/// in use for another send when the upstream breaks off.
pub(super) struct CrashSuspicion<W: GatewayWire> {
    context: SharedGateway<W>,
    attempt: String,
    prompt: SuspectPrompt,
}

impl<W: GatewayWire> CrashSuspicion<W> {
    /// Finds out whether an upstream that broke off the request crashed.
    pub(super) fn record(self, upstream: &UpstreamId) {
        let Self {
            context,
            attempt,
            prompt,
        } = self;
        let core = context.core();
        let Some(upstream) = core.upstreams().get(upstream) else {
            return;
        };
        let entry = upstream.entry.clone();
        drop(core);
        if context.suspicions.add(&entry.process(), prompt) {
            let broken_at = context.now();
            tokio::spawn(confirm_crash(context, entry, attempt, broken_at));
        }
    }
}

/// Looks at an upstream until it is known whether it has crashed, and records
/// the crash.
async fn confirm_crash<W: GatewayWire>(
    context: SharedGateway<W>,
    entry: UpstreamEntry,
    attempt: String,
    broken_at: Timestamp,
) {
    let process = entry.process();
    let mut confirmation = CrashConfirmation::default();
    let mut is_known = false;
    let verdict = loop {
        if context.core().has_crash(&process) {
            is_known = true;
            break CrashVerdict::Crashed;
        }
        let findings = look_at(&context, &entry).await;
        match confirmation.judge(&findings) {
            CrashVerdict::Undecided => tokio::time::sleep(ROUND_INTERVAL).await,
            verdict => break verdict,
        }
    };
    let prompts = context.suspicions.take(&process);
    if let CrashVerdict::NotCrashed(sign) = verdict {
        log_decision!(
            LogEvent::CrashUnconfirmed,
            {
                request = attempt,
                upstream = entry.id,
                address = entry.address,
                reason = sign.as_str(),
            },
            "the upstream broke off a request and may not have crashed",
        );
        return;
    }
    if !is_known {
        log_decision!(
            LogEvent::EngineCrashed,
            {
                request = attempt,
                upstream = entry.id,
                address = entry.address,
            },
            "the engine refuses connections after it broke off a request",
        );
    }
    let now = context.now();
    context
        .core()
        .record_crash(now, process, broken_at, prompts);
    context.heartbeat_due.notify_one();
}

/// Connects to an upstream and, if it refuses, asks other instances. If none of
/// them knows, connects to other upstreams like it.
async fn look_at<W: GatewayWire>(
    context: &SharedGateway<W>,
    entry: &UpstreamEntry,
) -> CrashFindings {
    let own = view_connection(entry.address, OPEN_TIME).await;
    let mut findings = CrashFindings::new(own);
    if findings.own == ConnectionView::Refused {
        findings.peers = ask_instances(context, entry).await;
        if findings.peers.is_empty() {
            findings.others = compare_others(context, &entry.id).await;
        }
    }
    findings
}

/// Whether other upstreams like the given one accept connections.
async fn compare_others<W: GatewayWire>(
    context: &SharedGateway<W>,
    id: &UpstreamId,
) -> Vec<bool> {
    let others = context.core().others_not_crashed(id);
    join_all(others.into_iter().map(accepts_connections)).await
}

/// Answers of other instances on an upstream, without those that do not know.
async fn ask_instances<W: GatewayWire>(
    context: &SharedGateway<W>,
    entry: &UpstreamEntry,
) -> Vec<PeerView> {
    let now = context.now();
    let instances = context.core().instances_to_ask(now, &entry.service);
    let asked = instances
        .into_iter()
        .map(|ip| ask_instance(context, ip, &entry.id));
    join_all(asked).await.into_iter().flatten().collect()
}

async fn ask_instance<W: GatewayWire>(
    context: &SharedGateway<W>,
    ip: IpAddr,
    upstream: &UpstreamId,
) -> Option<PeerView> {
    let peer = context.settings().peer_address_of(ip);
    let target = CallTarget {
        step: "links",
        peer,
        timeout: ASK_TIMEOUT,
    };
    let path = format!("{ASK_PREFIX}{upstream}");
    let request = plain_request(Method::GET, peer, &path);
    match context.peers.send(target, request).await.ok()?.status() {
        StatusCode::OK => Some(PeerView::Accepts),
        StatusCode::GONE => Some(PeerView::Refuses),
        StatusCode::CONFLICT => Some(PeerView::RefusesLikeOthers),
        _ => None,
    }
}

/// Upstream of which another instance asks whether it accepts connections here;
/// `None` if the path asks for something else.
pub(super) fn asked_upstream(path: &str) -> Option<UpstreamId> {
    path.strip_prefix(ASK_PREFIX)?.parse().ok()
}

/// Answers another instance: 200 if the upstream accepts connections, 410 if it
/// refuses them, 409 if others like it refuse them, too, and 404 if it is not
/// listed here, does not respond or closes connections at once.
pub(super) async fn answer_question<W: GatewayWire>(
    context: &SharedGateway<W>,
    upstream: &UpstreamId,
) -> StatusCode {
    let entry = {
        let core = context.core();
        core.upstreams().get(upstream).map(|it| it.entry.clone())
    };
    let Some(entry) = entry else {
        return StatusCode::NOT_FOUND;
    };
    match view_connection(entry.address, ASKED_OPEN_TIME).await {
        ConnectionView::Accepted => StatusCode::OK,
        ConnectionView::Dropped | ConnectionView::Silent => {
            StatusCode::NOT_FOUND
        }
        ConnectionView::Refused => {
            let others = compare_others(context, upstream).await;
            if others.contains(&true) {
                StatusCode::GONE
            } else {
                StatusCode::CONFLICT
            }
        }
    }
}
