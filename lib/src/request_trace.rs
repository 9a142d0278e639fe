//! The record of decisions on the latest requests of this instance.
//!
//! The core reports what it sees pass between the entry side of requests and
//! the rest: arrivals, asks and their answers, decisions and progress. A step
//! is a small value that shares the texts of the decision; nothing is
//! formatted until somebody asks.
//!
//! The record holds the last [`TRACES_MAX`] requests and, of each, the first
//! and last [`STEPS_KEPT_PER_END`] steps. A step takes at most 80 B, so that the steps
//! take at most 4,096 x 32 x 80 B = 10.5 MB. Names are shared with the tables
//! of the core; refusal messages and candidates that a step keeps alive are
//! estimated at 150 B, which makes 30 MB where every request has all its steps.
//! A request that is placed at the first try has about seven steps, eight with
//! the room of its vector, and so about 1,000 B with its head: 4 MB in all.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    api::PriorityClass,
    core::{
        RequestDecision, RequestDescriptor, RequestProgress, StreamFailure,
    },
    ids::{InstanceId, ModelName, RequestId, UpstreamId, WorkspaceId},
    peer_api::GrantResponse,
    query::{CellValue, TableRow},
    refusal::{Refusal, RetryReason},
    units::{Timestamp, TokenCount},
};

/// Requests that are remembered.
pub const TRACES_MAX: usize = 4_096;
/// Steps kept from the beginning and from the end of a request.
pub const STEPS_KEPT_PER_END: usize = 16;
/// Largest size of a step with its time, in bytes.
const STEP_BYTES_MAX: usize = 80;
const _: () = assert!(size_of::<(Timestamp, TraceStep)>() <= STEP_BYTES_MAX);

/// An engine that a request may go to, as its entry instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateLoad {
    /// Engine.
    pub engine: UpstreamId,
    /// Memory that can probably be granted, if its owner has said so recently.
    pub headroom: Option<TokenCount>,
    /// Requests of this instance that it runs.
    pub running: u32,
}

/// One decision on a request, or something that led to it.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceStep {
    /// It keeps within the limits of its workspace.
    WithinLimits,
    /// Engines that will be asked for, the best first.
    Candidates(Arc<[CandidateLoad]>),
    /// An engine's owner was asked for a grant.
    GrantRequested {
        /// Engine.
        engine: UpstreamId,
        /// Its owner.
        owner: InstanceId,
        /// Whether the owner may queue the ask.
        may_queue: bool,
    },
    /// The owner gave a grant.
    Granted {
        /// Engine.
        engine: UpstreamId,
        /// Memory.
        reserved: TokenCount,
        /// Predicted time until the request ends.
        predicted: Duration,
    },
    /// The owner refused.
    GrantRefused(UpstreamId, Refusal),
    /// The instance that was asked does not own the engine.
    NotOwner(UpstreamId, Option<InstanceId>),
    /// The owner did not answer.
    NoResponse(UpstreamId),
    /// It waits for its next round until a time.
    Waits(Timestamp, WaitReason),
    /// It is to be sent to engines; the last one decodes.
    Dispatched(Arc<[UpstreamId]>),
    /// A cut stream is to be taken up again.
    Resumed(UpstreamId),
    /// It was written to an engine.
    Sent(UpstreamId),
    /// The first part of the answer came.
    FirstChunk,
    /// Its stream from an engine failed.
    Failed {
        /// Engine.
        engine: UpstreamId,
        /// How it failed.
        failure: StreamFailure,
        /// Generated tokens that the caller already has.
        delivered: TokenCount,
    },
    /// It is tried again.
    Retried(RetryReason),
    /// The answer is whole.
    Finished(TokenCount),
    /// The caller went away.
    CallerDisconnected,
    /// It ended with a refusal.
    Refused(Refusal),
}

/// Why a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The configuration may be out of date.
    Stale,
    /// No engine has the model loaded.
    NoEngine,
    /// No engine that was asked has taken it.
    NotTaken,
}

/// What is known of one request.
#[derive(Clone, Debug)]
struct RequestTrace {
    workspace: WorkspaceId,
    model: ModelName,
    class: PriorityClass,
    prompt: TokenCount,
    output: TokenCount,
    arrived: Timestamp,
    deadline: Timestamp,
    steps: Vec<(Timestamp, TraceStep)>,
    skipped: usize,
}

/// Decisions on the latest requests.
#[derive(Clone, Debug, Default)]
pub struct RequestTraces {
    traces: BTreeMap<RequestId, RequestTrace>,
    order: VecDeque<RequestId>,
}

impl RequestTraces {
    /// An empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.traces.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }

    /// Notes a request that arrived.
    pub fn record_arrival(&mut self, now: Timestamp, spec: &RequestDescriptor) {
        if self.traces.contains_key(&spec.request) {
            return;
        }
        if self.order.len() >= TRACES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.traces.remove(&oldest);
        }
        let trace = RequestTrace {
            workspace: spec.workspace.clone(),
            model: spec.model.clone(),
            class: spec.class,
            prompt: spec.prompt,
            output: spec.output,
            arrived: now,
            deadline: spec.deadline,
            steps: Vec::new(),
            skipped: 0,
        };
        self.order.push_back(spec.request.clone());
        self.traces.insert(spec.request.clone(), trace);
    }

    /// Notes a step of a request.
    pub fn record_step(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        step: TraceStep,
    ) {
        let Some(trace) = self.traces.get_mut(request) else {
            return;
        };
        if trace.steps.len() >= 2 * STEPS_KEPT_PER_END {
            trace.steps.remove(STEPS_KEPT_PER_END);
            trace.skipped += 1;
        }
        trace.steps.push((now, step));
    }

    /// Notes the answer to an ask.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        engine: &UpstreamId,
        answer: Option<&GrantResponse>,
    ) {
        let engine = engine.clone();
        let step = match answer {
            Some(GrantResponse::Granted(grant)) => TraceStep::Granted {
                engine,
                reserved: grant.reserved,
                predicted: grant.predicted,
            },
            Some(GrantResponse::Refused(refused)) => {
                TraceStep::GrantRefused(engine, refused.refusal.clone())
            }
            Some(GrantResponse::NotOwner(owner)) => {
                TraceStep::NotOwner(engine, owner.clone())
            }
            None => TraceStep::NoResponse(engine),
        };
        self.record_step(now, request, step);
    }

    /// Notes a decision.
    pub fn record_decision(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        decision: &RequestDecision,
    ) {
        let step = match decision {
            RequestDecision::Dispatch(assignment) => {
                let engines = assignment.engines.iter();
                let engines = engines.map(|part| part.engine.clone());
                TraceStep::Dispatched(engines.collect())
            }
            RequestDecision::Resume(part) => {
                TraceStep::Resumed(part.engine.clone())
            }
            RequestDecision::End(refusal) => {
                TraceStep::Refused(refusal.clone())
            }
        };
        self.record_step(now, request, step);
    }

    /// Notes the progress of a request.
    pub fn record_progress(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        progress: &RequestProgress,
    ) {
        let step = match progress {
            RequestProgress::Sent(engine) => TraceStep::Sent(engine.clone()),
            RequestProgress::FirstPart => TraceStep::FirstChunk,
            RequestProgress::Finished(tokens) => TraceStep::Finished(*tokens),
            RequestProgress::Failed {
                engine,
                failure,
                delivered,
            } => TraceStep::Failed {
                engine: engine.clone(),
                failure: *failure,
                delivered: *delivered,
            },
            RequestProgress::CallerDisconnected => {
                TraceStep::CallerDisconnected
            }
        };
        self.record_step(now, request, step);
    }

    /// Model of a request that is remembered.
    pub fn model(&self, request: &RequestId) -> Option<&ModelName> {
        self.traces.get(request).map(|trace| &trace.model)
    }

    /// The record of a request as rows of instance, time since its arrival in
    /// seconds, step and detail.
    pub fn rows(
        &self,
        request: &RequestId,
        instance: &InstanceId,
    ) -> Vec<TableRow> {
        let Some(trace) = self.traces.get(request) else {
            return Vec::new();
        };
        let row = |at: Timestamp, step: &'static str, detail: String| {
            vec![
                CellValue::text(instance),
                CellValue::seconds(at.since(trace.arrived)),
                step.into(),
                CellValue::text(detail),
            ]
        };
        let mut rows = vec![row(trace.arrived, "arrived", arrival(trace))];
        for (index, (at, step)) in trace.steps.iter().enumerate() {
            if index == STEPS_KEPT_PER_END && trace.skipped > 0 {
                let detail = format!("{} steps not kept", trace.skipped);
                rows.push(row(*at, "skipped", detail));
            }
            let (name, detail) = describe(step, trace);
            rows.push(row(*at, name, detail));
        }
        rows
    }
}

fn arrival(trace: &RequestTrace) -> String {
    let RequestTrace {
        workspace,
        model,
        class,
        prompt,
        output,
        ..
    } = trace;
    let left = trace.deadline.since(trace.arrived);
    format!(
        "workspace {workspace}, model {model}, class {class}, prompt \
         {prompt}, output up to {output}, deadline in {left:?}",
    )
}

fn describe(step: &TraceStep, trace: &RequestTrace) -> (&'static str, String) {
    match step {
        TraceStep::WithinLimits => {
            ("limits", "within the limits of its workspace".into())
        }
        TraceStep::Candidates(figures) => ("candidates", candidates(figures)),
        TraceStep::GrantRequested {
            engine,
            owner,
            may_queue,
        } => {
            let queue = if *may_queue {
                ", which may queue it"
            } else {
                ""
            };
            ("asked", format!("{owner} for engine {engine}{queue}"))
        }
        TraceStep::Granted {
            engine,
            reserved,
            predicted,
        } => {
            let detail =
                format!("{reserved} on {engine}, predicted {predicted:?}");
            ("granted", detail)
        }
        TraceStep::GrantRefused(engine, refusal) => {
            ("not granted", format!("{engine}: {}", refused(refusal)))
        }
        TraceStep::NotOwner(engine, owner) => {
            let owner = owner.as_ref().map_or("none known", InstanceId::as_str);
            ("not owner", format!("{engine}: its owner is {owner}"))
        }
        TraceStep::NoResponse(engine) => {
            ("no answer", format!("owner of {engine} has not answered"))
        }
        TraceStep::Waits(until, reason) => {
            let until = until.since(trace.arrived);
            let reason = match reason {
                WaitReason::Stale => "the configuration may be out of date",
                WaitReason::NoEngine => "no engine has the model loaded",
                WaitReason::NotTaken => "no engine that was asked has room",
            };
            ("waits", format!("until {until:?}: {reason}"))
        }
        TraceStep::Dispatched(engines) => {
            let names: Vec<_> =
                engines.iter().map(UpstreamId::as_str).collect();
            ("dispatched", names.join(", "))
        }
        TraceStep::Resumed(engine) => ("resumed", engine.to_string()),
        TraceStep::Sent(engine) => ("sent", engine.to_string()),
        TraceStep::FirstChunk => ("first part", String::new()),
        TraceStep::Failed {
            engine,
            failure,
            delivered,
        } => {
            let failure = failure_text(*failure);
            let detail = format!("{engine}: {failure}, {delivered} delivered");
            ("failed", detail)
        }
        TraceStep::Retried(reason) => ("retried", reason.to_string()),
        TraceStep::Finished(tokens) => {
            ("finished", format!("{tokens} generated"))
        }
        TraceStep::CallerDisconnected => ("caller gone", String::new()),
        TraceStep::Refused(refusal) => ("refused", refused(refusal)),
    }
}

fn candidates(figures: &[CandidateLoad]) -> String {
    let texts = figures.iter().map(|figure| {
        let CandidateLoad {
            engine,
            headroom,
            running,
        } = figure;
        let room = match headroom {
            Some(tokens) => format!("{tokens} free"),
            None => "room not known".into(),
        };
        format!("{engine} ({room}, {running} running)")
    });
    texts.collect::<Vec<_>>().join(", ")
}

fn refused(refusal: &Refusal) -> String {
    let retry = refusal.retry_after;
    let retry = retry.map(|wait| format!(", retry after {wait:?}"));
    format!("{refusal}{}", retry.unwrap_or_default())
}

fn failure_text(failure: StreamFailure) -> &'static str {
    match failure {
        StreamFailure::ConnectFailed => "the connection was refused",
        StreamFailure::AssignmentExpired => "the grant ran out before use",
        StreamFailure::Overcommitted => "the engine could not hold it",
        StreamFailure::EngineError => "the engine answered with an error",
        StreamFailure::Interrupted => "the stream was cut",
        StreamFailure::IdleTimeout => "the engine was silent",
    }
}
