//! Memory and processor time of the core's state at the size of the capacity
//! page, in one process.
//!
//! Each state is built at two sizes; the slope is the difference over the
//! difference of the sizes, so that fixed costs do not count.

use std::{alloc::System, hint::black_box, sync::Arc, time::Instant};

use borageline_lib::{
    api::PriorityClass,
    core::{
        CoreAction, CoreEvent, CoreSetup, PolicyName, RequestDecision,
        RequestDescriptor, RequestProgress, ServingCore,
    },
    engine_api::{CapabilityReport, HeldReport, LoadReport},
    fleet::{
        FleetChange, FleetOrder, FleetRecord, FleetState, LimitRule,
        WorkspaceRule,
    },
    fleet_view::{UpstreamEntry, UpstreamTable},
    ids::{RequestId, UpstreamId},
    membership::{MemberAction, MemberEvent, MemberSetup, MemberTable},
    ownership::{OwnerCandidates, owners},
    peer_api::{Gossip, MemberState, MemberUpdate},
    platform_api::{
        InstanceListing, ListedProcess, LogRecord, ProcessKind, RecordPage,
    },
    refusal::RunState,
    units::{
        Incarnation, LogOffset, LogTime, Timestamp, TokenCount, TokenRate,
    },
};

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

use crate::{fleet::MODEL, report::MeasureReport};

/// Allocator that counts what is in use.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Workspaces of the capacity page.
const WORKSPACES: u64 = 16_000;
/// Engines of the capacity page.
const ENGINES: u64 = 10_000;
/// Instances of the capacity page.
const INSTANCES: u64 = 950;
/// Requests run through one core.
const REQUESTS: u64 = 20_000;

/// Runs the measure.
pub fn run(seed: u64) -> MeasureReport {
    let mut report = MeasureReport::new("capacity", seed);
    let mut add = |name: &str, unit: &str, value: f64| {
        report.add("product", name, unit, value);
    };
    let (small, large) = (workspaces(1_000), workspaces(WORKSPACES));
    let span = (WORKSPACES - 1_000) as f64;
    let bytes = large.1.saturating_sub(small.1) as f64 / span;
    add("bytes_per_workspace", "B", bytes);
    let json = |state: &FleetState| {
        serde_json::to_vec(&state.snapshot())
            .expect("a state is JSON")
            .len()
    };
    let snapshot = json(&large.0) as f64;
    add("snapshot_bytes_16000_workspaces", "B", snapshot);
    add(
        "apply_change_us_16000_workspaces",
        "us",
        apply_change(large.0),
    );
    let (small, large) = (upstreams(1_000), upstreams(ENGINES));
    let span = (ENGINES - 1_000) as f64;
    let bytes = large.1.saturating_sub(small.1) as f64 / span;
    add("bytes_per_engine", "B", bytes);
    add("owners_us_10000_engines", "us", ownership(&large.0));
    let (small, large) = (members(50), members(INSTANCES));
    let bytes = large.1.saturating_sub(small.1) as f64;
    add("bytes_per_member", "B", bytes / (INSTANCES - 50) as f64);
    add("gossip_bytes_950", "B", large.0);
    add("core_us_per_request", "us", core_requests(seed));
    report
}

/// Builds something and returns it with the memory that it keeps.
fn sized<T>(build: impl FnOnce() -> T) -> (T, u64) {
    let region = Region::new(ALLOCATOR);
    let value = black_box(build());
    let change = region.change();
    let kept = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    (value, kept as u64)
}

fn workspace_change(index: u64) -> FleetChange {
    // Far beyond what the measure sends.
    let limit = LimitRule {
        model: None,
        class: None,
        requests_per_s: Some(1e6),
        tokens_per_s: Some(TokenRate::new(1_000_000_000)),
        held_tokens: Some(TokenCount::new(1_000_000_000)),
        concurrency: Some(1_000_000),
    };
    FleetChange::SetWorkspace {
        workspace: format!("workspace-{index}").parse().expect("an id"),
        rule: WorkspaceRule {
            key_digests: [format!("{index:064x}").into()].into(),
            enabled: true,
            default_class: PriorityClass::Interactive,
            classes: PriorityClass::ALL.iter().copied().collect(),
            models: None,
            domains: None,
            limits: vec![limit],
        },
    }
}

fn order(offset: u64, changes: Vec<FleetChange>) -> LogRecord {
    let record = FleetRecord::Order(FleetOrder {
        order: format!("order-{offset}").parse().expect("an id"),
        expect_version: None,
        issued_by: "bench".parse().expect("an id"),
        changes,
    });
    LogRecord {
        offset: LogOffset::new(offset),
        appended_at: LogTime::new(0),
        value: serde_json::to_value(record).expect("a record is JSON"),
    }
}

fn workspaces(count: u64) -> (FleetState, u64) {
    sized(|| {
        let mut state = FleetState::default();
        for (offset, first) in (0..count).step_by(500).enumerate() {
            let last = (first + 500).min(count);
            let changes = (first..last).map(workspace_change).collect();
            state.apply(&order(offset as u64, changes));
        }
        state
    })
}

/// Time to apply one change to a state that a published view still holds.
fn apply_change(state: FleetState) -> f64 {
    const CHANGES: u64 = 20;
    let first = state.next_offset().get();
    let mut state = Arc::new(state);
    let started = Instant::now();
    for step in 0..CHANGES {
        let published = state.clone();
        let record = order(first + step, vec![workspace_change(step)]);
        Arc::make_mut(&mut state).apply(&record);
        black_box(published);
    }
    started.elapsed().as_secs_f64() * 1e6 / CHANGES as f64
}

fn capability(engine: UpstreamId) -> CapabilityReport {
    CapabilityReport {
        engine,
        incarnation: Incarnation::new(1),
        models: vec![MODEL.parse().expect("an id")],
        memory: TokenCount::new(400_000),
        slots: 32,
        prefill_rate: TokenRate::new(20_000),
        decode_rate: TokenRate::new(50),
        segments: true,
        checks_fencing: true,
        role: None,
        loading: None,
    }
}

fn upstreams(count: u64) -> (UpstreamTable, u64) {
    sized(|| {
        let mut table = UpstreamTable::new();
        for index in 0..count {
            let id: UpstreamId =
                format!("engine-{index}").parse().expect("an id");
            let entry = UpstreamEntry {
                address: "127.0.0.1:1".parse().expect("an address"),
                domain: format!("d-{}", index % 18).parse().expect("an id"),
                service: None,
                leaving: false,
                capability: Some(Arc::new(capability(id.clone()))),
            };
            table.insert(id, entry);
        }
        table
    })
}

/// Time to work out the owners of all engines anew.
fn ownership(table: &UpstreamTable) -> f64 {
    let candidates: OwnerCandidates = (0..INSTANCES)
        .map(|index| {
            let id = format!("instance-{index}").parse().expect("an id");
            let domain = format!("d-{}", index % 18).parse().expect("an id");
            (id, domain)
        })
        .collect();
    let started = Instant::now();
    black_box(owners(table, &candidates));
    started.elapsed().as_secs_f64() * 1e6
}

fn update(index: u64) -> MemberUpdate {
    MemberUpdate {
        instance: format!("instance-{index}").parse().expect("an id"),
        incarnation: Incarnation::new(1),
        state: MemberState::Alive,
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        caller_address: "127.0.0.1:2".parse().expect("an address"),
        domain: format!("d-{}", index % 18).parse().expect("an id"),
        applied: Some(LogOffset::new(7)),
    }
}

/// Size of one message of a table that knows all members, and its memory.
fn members(count: u64) -> (f64, u64) {
    let ((_, bytes), memory) = sized(|| {
        let own = update(0);
        let mut table = MemberTable::new(MemberSetup {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
            domain: own.domain.clone(),
            peer_address: own.peer_address,
            caller_address: own.caller_address,
            seeds: Vec::new(),
            seed: 1,
        });
        let mut bytes = 0u64;
        for index in 1..count {
            let gossip = Gossip {
                applied: None,
                confirmed_age: None,
                log_reached: true,
                updates: vec![update(index)],
                engines: Vec::new(),
                capabilities: Vec::new(),
            };
            let actions = table.handle(
                Timestamp::new(index),
                MemberEvent::ProbeReceived {
                    inbound: borageline_lib::core::InboundCallId(index),
                    from: update(index).instance,
                    gossip,
                },
            );
            bytes = actions.iter().map(reply_bytes).sum();
        }
        (table, bytes)
    });
    (bytes as f64, memory)
}

/// Size of a reply between instances.
fn reply_bytes(action: &MemberAction) -> u64 {
    let MemberAction::Respond(_, reply) = action else {
        return 0;
    };
    bincode::serialized_size(reply).expect("a reply can be encoded")
}

/// Time of the core for one request, from arrival to end, with ten engines
/// owned by the instance itself.
fn core_requests(seed: u64) -> f64 {
    let mut world = CoreWorld::new(seed);
    world.settle();
    let started = Instant::now();
    let mut dispatched = 0;
    for index in 0..REQUESTS {
        dispatched += u64::from(world.request(index));
    }
    let elapsed = started.elapsed().as_secs_f64() * 1e6;
    assert!(
        dispatched * 10 >= REQUESTS * 9,
        "only {dispatched} of {REQUESTS} requests were dispatched",
    );
    elapsed / REQUESTS as f64
}

/// One core whose log, list and engines answer at once.
struct CoreWorld {
    core: ServingCore,
    now: Timestamp,
    log: Vec<LogRecord>,
    engines: Vec<UpstreamId>,
    /// Empty answers of long polls, with the time at which they come.
    polls: Vec<(Timestamp, CoreEvent)>,
}

impl CoreWorld {
    fn new(seed: u64) -> Self {
        let address = "127.0.0.1:1".parse().expect("an address");
        let core = ServingCore::new(CoreSetup {
            instance: "instance-0".parse().expect("an id"),
            incarnation: Incarnation::new(1),
            domain: "d-0".parse().expect("an id"),
            peer_address: address,
            caller_address: address,
            seeds: Vec::new(),
            seed,
            policy: PolicyName::Product,
        });
        let engines = (0..10)
            .map(|index| format!("engine-{index}").parse().expect("an id"))
            .collect();
        let log = vec![order(0, vec![workspace_change(0)])];
        Self {
            polls: Vec::new(),
            core,
            now: Timestamp::new(1_000_000),
            log,
            engines,
        }
    }

    /// Runs until the instance owns its engines and grants from them.
    fn settle(&mut self) {
        for _ in 0..400 {
            self.now = self.now.after(std::time::Duration::from_millis(10));
            self.run(Vec::new());
        }
    }

    /// Ticks until nothing is left to answer; returns the decisions.
    fn run(
        &mut self,
        events: Vec<CoreEvent>,
    ) -> Vec<(RequestId, RequestDecision)> {
        let mut events = events;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.polls)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.polls = later;
        let due: Vec<(Timestamp, CoreEvent)> = due;
        events.extend(due.into_iter().map(|(_, event)| event));
        let mut decisions = Vec::new();
        loop {
            let actions = self.core.tick(self.now, events);
            events = Vec::new();
            for action in actions {
                match action {
                    CoreAction::Decide(request, decision) => {
                        decisions.push((request, decision));
                    }
                    action => events.extend(self.answer(action)),
                }
            }
            if events.is_empty() {
                return decisions;
            }
        }
    }

    fn answer(&mut self, action: CoreAction) -> Option<CoreEvent> {
        match action {
            CoreAction::ReadLog { stream, from, wait } => {
                let config = stream.as_str() == "config";
                let records: Vec<LogRecord> = self
                    .log
                    .iter()
                    .filter(|record| config && record.offset >= from)
                    .cloned()
                    .collect();
                let head = if config { self.log.len() as u64 } else { 0 };
                let empty = records.is_empty();
                let event = CoreEvent::LogRead {
                    stream,
                    sent_at: self.now,
                    result: Ok(RecordPage {
                        records,
                        earliest: LogOffset::ZERO,
                        head: LogOffset::new(head),
                        retention_ms: 100 * 3_600_000,
                        now_ms: LogTime::new(0),
                    }),
                };
                if empty && !wait.is_zero() {
                    self.polls.push((self.now.after(wait), event));
                    return None;
                }
                Some(event)
            }
            CoreAction::ReadInstanceList => {
                Some(CoreEvent::InstanceListRead(Ok(InstanceListing {
                    instances: self.engines.iter().map(listed).collect(),
                })))
            }
            CoreAction::ReadCapability(id, _) => {
                let report = capability(id.clone());
                Some(CoreEvent::CapabilityRead(id, Ok(report)))
            }
            CoreAction::ReadLoad(id, _) => {
                let report = load(id.clone());
                Some(CoreEvent::LoadRead(id, Ok(report)))
            }
            CoreAction::ReadHeld(id, _) => {
                let report = HeldReport {
                    engine: id.clone(),
                    incarnation: Incarnation::new(1),
                    requests: Vec::new(),
                };
                Some(CoreEvent::HeldRead(id, Ok(report)))
            }
            CoreAction::AppendLog { call, .. } => {
                let failure = borageline_lib::core::CallFailure {
                    run_state: RunState::NotRun,
                    message: "appends are not simulated".into(),
                };
                Some(CoreEvent::LogAppended {
                    call,
                    result: Err(failure),
                })
            }
            _ => None,
        }
    }

    /// One request from arrival to end; true if it was dispatched.
    fn request(&mut self, index: u64) -> bool {
        self.now = self.now.after(std::time::Duration::from_micros(500));
        let request: RequestId =
            format!("instance-0-1-{index:x}").parse().expect("an id");
        let spec = RequestDescriptor {
            request: request.clone(),
            workspace: "workspace-0".parse().expect("an id"),
            model: MODEL.parse().expect("an id"),
            class: PriorityClass::Interactive,
            prompt: TokenCount::new(1_500),
            output: TokenCount::new(32),
            prefix: index,
            deadline: self.now.after(std::time::Duration::from_secs(30)),
        };
        let decisions = self.run(vec![CoreEvent::RequestArrived(spec)]);
        let engine =
            decisions.iter().find_map(|(_, decision)| match decision {
                RequestDecision::Dispatch(assignment) => {
                    Some(assignment.engines[0].engine.clone())
                }
                _ => None,
            });
        let Some(engine) = engine else { return false };
        for progress in [
            RequestProgress::Sent(engine),
            RequestProgress::FirstChunk,
            RequestProgress::Finished(TokenCount::new(32)),
        ] {
            self.run(vec![CoreEvent::Progress(request.clone(), progress)]);
        }
        true
    }
}

fn listed(id: &UpstreamId) -> ListedProcess {
    ListedProcess {
        id: id.as_str().into(),
        kind: ProcessKind::Engine,
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "d-0".parse().expect("an id"),
        leaving: false,
    }
}

fn load(engine: UpstreamId) -> LoadReport {
    LoadReport {
        engine,
        incarnation: Incarnation::new(1),
        age_ms: 100,
        held: TokenCount::ZERO,
        running: 0,
        queued: 0,
        prefill_backlog: TokenCount::ZERO,
        prefill_rate: TokenRate::new(20_000),
        decode_rate: TokenRate::new(50),
        leaving: false,
    }
}
