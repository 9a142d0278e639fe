//! Traces of the decisions on recent requests, for the `explain` query.
//!
//! The core records the arrival of each request at this instance, the grant
//! requests and their responses, the decisions and the progress. Steps share
//! their strings with the values they were recorded from; text is only
//! formatted when a query asks for it.
//!
//! [`RequestTraces`] keeps the last [`TRACES_MAX`] requests and, of each, the
//! first and last [`STEPS_KEPT_PER_END`] steps. A step takes at most 80 B,
//! so that the steps take at most 4,096 x 32 x 80 B = 10.5 MB. Names are shared
//! with the tables of the core; refusal messages and candidates that only a
//! step keeps alive are estimated at 150 B per step, which makes 30 MB in total
//! if every request has the maximum number of steps. A request that is placed
//! at the first attempt has about seven steps (a vector capacity of eight) and
//! takes about 1,000 B including the request's metadata: 4 MB in total.

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

/// Maximum number of traces; the oldest is evicted first.
pub const TRACES_MAX: usize = 4_096;
/// Number of steps that are kept from the start of a request, and from its
/// end.
pub const STEPS_KEPT_PER_END: usize = 16;
/// Maximum size of a step with its timestamp, in bytes.
const STEP_BYTES_MAX: usize = 80;
const _: () = assert!(size_of::<(Timestamp, TraceStep)>() <= STEP_BYTES_MAX);

/// A candidate engine of a request and its load, as known to the entry
/// instance.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateLoad {
    /// Candidate engine.
    pub engine: UpstreamId,
    /// Memory that can probably be granted; `None` without a recent summary from
    /// the owner.
    pub headroom: Option<TokenCount>,
    /// Number of requests that this instance has running on the engine.
    pub running: u32,
}

/// One step of a trace: a decision, or an event that led to one.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceStep {
    /// The limits of the workspace admitted the request.
    WithinLimits,
    /// Engines for which grants will be requested, in order of preference.
    Candidates(Arc<[CandidateLoad]>),
    /// A grant was requested.
    GrantRequested {
        /// Engine for which the grant was requested.
        engine: UpstreamId,
        /// Owner of the engine, which received the grant request.
        owner: InstanceId,
        /// Whether the owner may queue the grant request.
        may_queue: bool,
    },
    /// The owner granted the request.
    Granted {
        /// Engine for which the grant is valid.
        engine: UpstreamId,
        /// Reserved memory.
        reserved: TokenCount,
        /// Predicted time until the request finishes.
        predicted: Duration,
    },
    /// The owner of the engine refused the grant.
    GrantRefused(UpstreamId, Refusal),
    /// The receiver of the grant request does not own the engine. Contains the
    /// owner that the receiver named, if any.
    NotOwner(UpstreamId, Option<InstanceId>),
    /// The owner of the engine did not respond to the grant request.
    NoResponse(UpstreamId),
    /// The request waits until this time for its next placement round.
    Waits(Timestamp, WaitReason),
    /// The request is sent to these engines: all but the last one prefill a
    /// segment, the last one also decodes.
    Dispatched(Arc<[UpstreamId]>),
    /// An interrupted stream is resumed at the engine.
    Resumed(UpstreamId),
    /// The request was written to an engine.
    Sent(UpstreamId),
    /// The first chunk of the completion was received.
    FirstChunk,
    /// The stream from an engine failed.
    Failed {
        /// Engine that sent the stream.
        engine: UpstreamId,
        /// Kind of the failure.
        failure: StreamFailure,
        /// Generated tokens that were already sent to the caller.
        delivered: TokenCount,
    },
    /// The request is retried.
    Retried(RetryReason),
    /// The completion is complete, with this many generated tokens.
    Finished(TokenCount),
    /// The caller disconnected before the request finished.
    CallerDisconnected,
    /// The request ended with a refusal.
    Refused(Refusal),
}

/// Why a request waits for its next placement round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The configuration may be out of date.
    Stale,
    /// No engine has the model loaded.
    NoEngine,
    /// None of the engines that were tried granted it.
    NotTaken,
}

/// Metadata and steps of one request.
#[derive(Clone, Debug)]
struct RequestTrace {
    workspace: WorkspaceId,
    model: ModelName,
    class: PriorityClass,
    prompt: TokenCount,
    output: TokenCount,
    arrived_at: Timestamp,
    deadline: Timestamp,
    steps: Vec<(Timestamp, TraceStep)>,
    dropped_steps: usize,
}

/// Traces of the most recent requests, at most [`TRACES_MAX`].
#[derive(Clone, Debug, Default)]
pub struct RequestTraces {
    traces: BTreeMap<RequestId, RequestTrace>,
    arrival_order: VecDeque<RequestId>,
}

impl RequestTraces {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests with a trace.
    pub fn len(&self) -> usize {
        self.traces.len()
    }

    /// Whether there is no trace.
    pub fn is_empty(&self) -> bool {
        self.traces.is_empty()
    }

    /// Starts the trace of a request, unless it has one. If the table is
    /// full, evicts the oldest trace.
    pub fn record_arrival(
        &mut self,
        now: Timestamp,
        descriptor: &RequestDescriptor,
    ) {
        if self.traces.contains_key(&descriptor.request) {
            return;
        }
        if self.arrival_order.len() >= TRACES_MAX
            && let Some(oldest) = self.arrival_order.pop_front()
        {
            self.traces.remove(&oldest);
        }
        let trace = RequestTrace {
            workspace: descriptor.workspace.clone(),
            model: descriptor.model.clone(),
            class: descriptor.class,
            prompt: descriptor.prompt,
            output: descriptor.output,
            arrived_at: now,
            deadline: descriptor.deadline,
            steps: Vec::new(),
            dropped_steps: 0,
        };
        self.arrival_order.push_back(descriptor.request.clone());
        self.traces.insert(descriptor.request.clone(), trace);
    }

    /// Appends a step to the trace of a request. Without a trace it does
    /// nothing; in a full trace it drops the oldest step of the second half.
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
            trace.dropped_steps += 1;
        }
        trace.steps.push((now, step));
    }

    /// Records the response to a grant request; `None` stands for no response.
    pub fn record_response(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        engine: &UpstreamId,
        response: Option<&GrantResponse>,
    ) {
        let engine = engine.clone();
        let step = match response {
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

    /// Records a decision on a request.
    pub fn record_decision(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        decision: &RequestDecision,
    ) {
        let step = match decision {
            RequestDecision::Dispatch(assignment) => {
                let engines = assignment.engines.iter();
                let engines = engines.map(|assigned| assigned.engine.clone());
                TraceStep::Dispatched(engines.collect())
            }
            RequestDecision::Resume { engine, .. } => {
                TraceStep::Resumed(engine.engine.clone())
            }
            RequestDecision::End(refusal) => {
                TraceStep::Refused(refusal.clone())
            }
        };
        self.record_step(now, request, step);
    }

    /// Records the progress of a request.
    pub fn record_progress(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        progress: &RequestProgress,
    ) {
        let step = match progress {
            RequestProgress::Sent(engine) => TraceStep::Sent(engine.clone()),
            RequestProgress::FirstChunk => TraceStep::FirstChunk,
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

    /// Model of a request; `None` if it has no trace.
    pub fn model(&self, request: &RequestId) -> Option<&ModelName> {
        self.traces.get(request).map(|trace| &trace.model)
    }

    /// Formats the trace of a request as rows of `explain`: instance, seconds
    /// since the arrival, step and detail. Empty if the request has no trace.
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
                CellValue::seconds(at.since(trace.arrived_at)),
                step.into(),
                CellValue::text(detail),
            ]
        };
        let mut rows =
            vec![row(trace.arrived_at, "arrived", arrival_detail(trace))];
        for (index, (at, step)) in trace.steps.iter().enumerate() {
            if index == STEPS_KEPT_PER_END && trace.dropped_steps > 0 {
                let detail = format!("{} steps not kept", trace.dropped_steps);
                rows.push(row(*at, "skipped", detail));
            }
            let (name, detail) = format_step(step, trace);
            rows.push(row(*at, name, detail));
        }
        rows
    }
}

fn arrival_detail(trace: &RequestTrace) -> String {
    let RequestTrace {
        workspace,
        model,
        class,
        prompt,
        output,
        ..
    } = trace;
    let left = trace.deadline.since(trace.arrived_at);
    format!(
        "workspace {workspace}, model {model}, class {class}, prompt \
         {prompt}, output up to {output}, deadline in {left:?}",
    )
}

fn format_step(
    step: &TraceStep,
    trace: &RequestTrace,
) -> (&'static str, String) {
    match step {
        TraceStep::WithinLimits => {
            ("limits", "within the limits of its workspace".into())
        }
        TraceStep::Candidates(loads) => {
            ("candidates", candidates_detail(loads))
        }
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
        TraceStep::GrantRefused(engine, refusal) => (
            "not granted",
            format!("{engine}: {}", refusal_detail(refusal)),
        ),
        TraceStep::NotOwner(engine, owner) => {
            let owner = owner.as_ref().map_or("none known", InstanceId::as_str);
            ("not owner", format!("{engine}: its owner is {owner}"))
        }
        TraceStep::NoResponse(engine) => {
            ("no answer", format!("owner of {engine} has not answered"))
        }
        TraceStep::Waits(until, reason) => {
            let until = until.since(trace.arrived_at);
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
            let failure = failure_detail(*failure);
            let detail = format!("{engine}: {failure}, {delivered} delivered");
            ("failed", detail)
        }
        TraceStep::Retried(reason) => ("retried", reason.to_string()),
        TraceStep::Finished(tokens) => {
            ("finished", format!("{tokens} generated"))
        }
        TraceStep::CallerDisconnected => ("caller gone", String::new()),
        TraceStep::Refused(refusal) => ("refused", refusal_detail(refusal)),
    }
}

fn candidates_detail(loads: &[CandidateLoad]) -> String {
    let texts = loads.iter().map(|load| {
        let CandidateLoad {
            engine,
            headroom,
            running,
        } = load;
        let room = match headroom {
            Some(tokens) => format!("{tokens} free"),
            None => "room not known".into(),
        };
        format!("{engine} ({room}, {running} running)")
    });
    texts.collect::<Vec<_>>().join(", ")
}

fn refusal_detail(refusal: &Refusal) -> String {
    let retry = refusal.retry_after;
    let retry = retry.map(|wait| format!(", retry after {wait:?}"));
    format!("{refusal}{}", retry.unwrap_or_default())
}

fn failure_detail(failure: StreamFailure) -> &'static str {
    match failure {
        StreamFailure::ConnectFailed => "the connection was refused",
        StreamFailure::AssignmentExpired => "the grant ran out before use",
        StreamFailure::Overcommitted => "the engine could not hold it",
        StreamFailure::EngineError => "the engine answered with an error",
        StreamFailure::Interrupted => "the stream was cut",
        StreamFailure::IdleTimeout => "the engine was silent",
    }
}
