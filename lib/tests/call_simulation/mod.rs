//! Simulation of instances that run at-most-once calls: their tables, the
//! network between them and the log.

use std::{collections::BTreeMap, time::Duration};

use borageline_lib::{
    call_log::{
        CALL_STREAMS, CallAppendId, CallEntryAction, CallEntryEvent,
        CallEntryTable, CallOwnerAction, CallOwnerEvent, CallOwnerTable,
        CallRequester, EntryCallId,
    },
    core::{CallFailure, InboundCallId},
    ids::{InstanceId, RequestId},
    peer_api::{
        CallKey, CallOutcome, CallResult, ClaimResponse, PeerRequest,
        PeerResponse,
    },
    platform_api::{AppendResponse, RecordPage},
    refusal::RunState,
    units::{Incarnation, LogOffset, Timestamp},
};
use rand::Rng;
use uuid::Builder;

use crate::common::{EventQueue, LogModel, log_time, millis};

pub(crate) const FAULT_TIME_MS: u64 = 20_000;
pub(crate) const RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Crash(usize),
    Pause(usize, u64),
    LogDown(u64),
    /// An instance assigns a stream to an owner that others may not agree on.
    WrongOwner(usize, usize, usize),
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    StartAttempt(usize, CallKey),
    Fault(Fault),
    Tick(usize, u64),
    Peer(usize, usize, u64, EntryCallId, PeerRequest),
    Reply(usize, u64, EntryCallId, Result<PeerResponse, CallFailure>),
    AppendToLog(usize, Vec<serde_json::Value>),
    Appended(
        usize,
        u64,
        CallAppendId,
        Result<AppendResponse, CallFailure>,
    ),
    /// A read that the log serves once it has a record, or at the given time.
    ReadLog(usize, u64, usize, LogOffset, Timestamp),
    Read(usize, u64, usize, Result<RecordPage, CallFailure>),
    Send(usize, u64, RequestId),
    Settled(usize, u64, RequestId, CallResult),
}

pub(crate) struct Node {
    id: InstanceId,
    process: u64,
    paused_until: Timestamp,
    owner_table: CallOwnerTable,
    pub(crate) entry_table: CallEntryTable,
    owners: [Option<InstanceId>; CALL_STREAMS],
    inbound: BTreeMap<InboundCallId, (usize, u64, EntryCallId)>,
    pub(crate) attempts: BTreeMap<InboundCallId, RequestId>,
    /// Claims held in memory only, for the naive mechanism.
    memory_claims: BTreeMap<CallKey, RequestId>,
}

pub(crate) struct Attempt {
    key: CallKey,
    deadline: Timestamp,
    pub(crate) not_run: bool,
    pub(crate) ran: bool,
}

pub(crate) struct CallSimulation {
    pub(crate) queue: EventQueue<Event>,
    logs: Vec<LogModel>,
    log_up_at: Timestamp,
    pub(crate) nodes: Vec<Node>,
    pub(crate) attempts: BTreeMap<RequestId, Attempt>,
    next_id: u64,
    pub(crate) reliable: bool,
    naive: bool,
    pub(crate) violation: Option<String>,
    pub(crate) won: usize,
}

fn failure(run_state: RunState) -> CallFailure {
    let message = "failed".into();
    CallFailure { run_state, message }
}

pub(crate) fn instance(index: usize) -> InstanceId {
    format!("i{index}").parse().unwrap()
}

pub(crate) fn key(number: u8, now: Timestamp) -> CallKey {
    let millis = log_time(now).get();
    let uuid = Builder::from_unix_timestamp_millis(millis, &[number; 10]);
    CallKey {
        workspace: "w".parse().unwrap(),
        service: "numbers".parse().unwrap(),
        key: uuid.into_uuid(),
    }
}

fn outcome(attempt: &RequestId) -> CallOutcome {
    CallOutcome {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(attempt.as_str().into()),
        body_digest: "".into(),
    }
}

impl CallSimulation {
    pub(crate) fn new(seed: u64, count: usize, naive: bool) -> Self {
        let queue = EventQueue::new(seed);
        let nodes = (0..count).map(|index| Node {
            id: instance(index),
            process: 0,
            paused_until: Timestamp::ZERO,
            owner_table: CallOwnerTable::new(instance(index)),
            entry_table: CallEntryTable::new(),
            owners: Default::default(),
            inbound: BTreeMap::new(),
            attempts: BTreeMap::new(),
            memory_claims: BTreeMap::new(),
        });
        let mut simulation = Self {
            queue,
            logs: vec![LogModel::new(RETENTION); CALL_STREAMS],
            log_up_at: Timestamp::ZERO,
            nodes: nodes.collect(),
            attempts: BTreeMap::new(),
            next_id: 0,
            reliable: false,
            naive,
            violation: None,
            won: 0,
        };
        (0..count).for_each(|index| simulation.reset_owners(index));
        simulation
    }

    pub(crate) fn reset_owners(&mut self, index: usize) {
        let count = self.nodes.len();
        let owner = |stream| Some(instance(stream % count));
        self.nodes[index].owners = std::array::from_fn(owner);
        self.update_owners(index);
    }

    fn update_owners(&mut self, index: usize) {
        let live = (0..self.nodes.len()).map(instance).collect();
        let node = &mut self.nodes[index];
        let owners = node.owners.clone();
        node.entry_table.set_owners(owners.clone());
        let actions = node.owner_table.set_owners(owners, live);
        self.owner_actions(index, actions);
        self.tick(index);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.queue.now.after(time);
        while let Some(event) = self.queue.pop_until(end) {
            let target = match &event {
                Event::Tick(to, _)
                | Event::Peer(to, ..)
                | Event::Reply(to, ..)
                | Event::Appended(to, ..)
                | Event::Read(to, ..)
                | Event::Send(to, ..)
                | Event::Settled(to, ..)
                | Event::StartAttempt(to, _) => Some(*to),
                _ => None,
            };
            let paused = target.map(|to| self.nodes[to].paused_until);
            if let Some(until) = paused.filter(|at| *at > self.queue.now) {
                self.queue.push(until, event);
            } else {
                self.step(event);
            }
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::StartAttempt(to, key) => self.start_attempt(to, key),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Tick(to, process) if self.is_running(to, process) => {
                self.tick(to)
            }
            Event::Peer(to, from, process, call, message) => {
                self.peer(to, from, process, call, message);
            }
            Event::Reply(to, process, call, result)
                if self.is_running(to, process) =>
            {
                let event = CallEntryEvent::OwnerCallCompleted { call, result };
                self.entry_event(to, event);
            }
            Event::AppendToLog(stream, values) => {
                self.logs[stream].append(now, values);
            }
            Event::Appended(to, process, append, result)
                if self.is_running(to, process) =>
            {
                let event = CallOwnerEvent::Appended { append, result };
                self.owner_event(to, event);
            }
            Event::ReadLog(_, _, stream, from, until)
                if now < until && self.logs[stream].head() <= from =>
            {
                self.queue.push_in(millis(10), event);
            }
            Event::ReadLog(to, process, stream, from, _) => {
                let page = self.logs[stream].read(now, from, 3);
                let result = if now < self.log_up_at {
                    Err(failure(RunState::NotRun))
                } else {
                    Ok(page)
                };
                let delay = self.delay();
                let event = Event::Read(to, process, stream, result);
                self.queue.push_in(delay, event);
            }
            Event::Read(to, process, stream, result)
                if self.is_running(to, process) =>
            {
                self.owner_event(to, CallOwnerEvent::Read { stream, result });
            }
            Event::Send(to, process, attempt)
                if self.is_running(to, process) =>
            {
                self.send(to, process, attempt);
            }
            Event::Settled(to, process, attempt, result)
                if self.is_running(to, process) =>
            {
                let key = self.attempts[&attempt].key.clone();
                let event = CallEntryEvent::AttemptEnded {
                    key,
                    attempt,
                    result,
                };
                self.entry_event(to, event);
            }
            _ => {}
        }
    }

    fn is_running(&self, node: usize, process: u64) -> bool {
        self.nodes[node].process == process
    }

    fn delay(&mut self) -> Duration {
        if !self.reliable && self.queue.chance(5) {
            return self.queue.delay(1_000, 8_000);
        }
        self.queue.delay(0, 20)
    }

    fn random_fault(&mut self, percent: u32) -> bool {
        !self.reliable && self.queue.chance(percent)
    }

    pub(crate) fn start_attempt(&mut self, to: usize, key: CallKey) {
        self.next_id += 1;
        let deadline = self.queue.now.after(self.queue.delay(300, 6_000));
        let node = &mut self.nodes[to];
        let incarnation = Incarnation::new(node.process);
        let attempt = RequestId::build(&node.id, incarnation, self.next_id);
        let inbound = InboundCallId(self.next_id);
        node.attempts.insert(inbound, attempt.clone());
        let state = Attempt {
            key: key.clone(),
            deadline,
            not_run: false,
            ran: false,
        };
        self.attempts.insert(attempt.clone(), state);
        let event = CallEntryEvent::ClaimRequested {
            inbound,
            key,
            attempt,
            digest: "digest".into(),
            deadline,
        };
        self.entry_event(to, event);
    }

    fn apply_fault(&mut self, fault: Fault) {
        let count = self.nodes.len();
        let now = self.queue.now;
        match fault {
            Fault::Crash(node) => {
                let node = node % count;
                let id = self.nodes[node].id.clone();
                self.nodes[node] = Node {
                    process: self.nodes[node].process + 1,
                    paused_until: Timestamp::ZERO,
                    owner_table: CallOwnerTable::new(id.clone()),
                    entry_table: CallEntryTable::new(),
                    owners: Default::default(),
                    inbound: BTreeMap::new(),
                    attempts: BTreeMap::new(),
                    memory_claims: BTreeMap::new(),
                    id,
                };
                self.reset_owners(node);
            }
            Fault::Pause(node, time) => {
                self.nodes[node % count].paused_until = now.after(millis(time));
            }
            Fault::LogDown(time) => self.log_up_at = now.after(millis(time)),
            Fault::WrongOwner(node, stream, owner) => {
                let node = node % count;
                let owner = Some(instance(owner % count));
                self.nodes[node].owners[stream % CALL_STREAMS] = owner;
                self.update_owners(node);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.queue.now;
        let node = &mut self.nodes[index];
        let owner = node.owner_table.tick(now);
        let entry = node.entry_table.tick(now);
        self.owner_actions(index, owner);
        self.entry_actions(index, entry);
        self.schedule(index);
    }

    fn schedule(&mut self, index: usize) {
        let node = &self.nodes[index];
        let timers =
            [node.owner_table.next_timer(), node.entry_table.next_timer()];
        let process = node.process;
        if let Some(at) = timers.into_iter().flatten().min() {
            self.queue.push(at, Event::Tick(index, process));
        }
    }

    fn owner_event(&mut self, index: usize, event: CallOwnerEvent) {
        let now = self.queue.now;
        let actions = self.nodes[index].owner_table.handle(now, event);
        self.owner_actions(index, actions);
        self.schedule(index);
    }

    fn entry_event(&mut self, index: usize, event: CallEntryEvent) {
        let now = self.queue.now;
        let actions = self.nodes[index].entry_table.handle(now, event);
        self.entry_actions(index, actions);
        self.schedule(index);
    }

    fn owner_actions(&mut self, index: usize, actions: Vec<CallOwnerAction>) {
        let process = self.nodes[index].process;
        for action in actions {
            match action {
                CallOwnerAction::Respond(
                    CallRequester::Peer(inbound),
                    reply,
                ) => {
                    let requester = self.nodes[index].inbound.remove(&inbound);
                    let (to, process, call) = requester.unwrap();
                    self.reply(to, process, call, reply);
                }
                CallOwnerAction::Respond(CallRequester::Local(call), reply) => {
                    let event = Event::Reply(index, process, call, Ok(reply));
                    self.queue.push_in(Duration::ZERO, event);
                }
                CallOwnerAction::Read { stream, from, wait } => {
                    let until = self.queue.now.after(wait);
                    let event =
                        Event::ReadLog(index, process, stream, from, until);
                    let delay = self.delay();
                    self.queue.push_in(delay, event);
                }
                CallOwnerAction::Append {
                    append,
                    stream,
                    records,
                } => self.append(index, append, stream, records),
            }
        }
    }

    fn reply(
        &mut self,
        to: usize,
        process: u64,
        call: EntryCallId,
        r: PeerResponse,
    ) {
        let copies = 1 + usize::from(self.random_fault(5))
            - usize::from(self.random_fault(5));
        for _ in 0..copies {
            let delay = self.delay();
            let event = Event::Reply(to, process, call, Ok(r.clone()));
            self.queue.push_in(delay, event);
        }
    }

    fn append(
        &mut self,
        index: usize,
        append: CallAppendId,
        stream: usize,
        records: Vec<serde_json::Value>,
    ) {
        let process = self.nodes[index].process;
        let down = self.queue.now < self.log_up_at;
        let refused = down && self.queue.chance(60);
        let swallowed = down && self.queue.chance(50);
        let lands = !refused && !swallowed;
        let first_offset = self.logs[stream].head();
        let count = records.len() as u64;
        if lands {
            let copies = 1 + usize::from(self.random_fault(3));
            for _ in 0..copies {
                let delay = self.delay();
                let event = Event::AppendToLog(stream, records.clone());
                self.queue.push_in(delay, event);
            }
        }
        let result = if refused {
            Err(failure(RunState::NotRun))
        } else if down || self.random_fault(10) {
            Err(failure(RunState::MayHaveRun))
        } else {
            Ok(AppendResponse {
                first_offset,
                count,
            })
        };
        let delay = self.delay();
        let event = Event::Appended(index, process, append, result);
        self.queue.push_in(delay, event);
    }

    fn entry_actions(&mut self, index: usize, actions: Vec<CallEntryAction>) {
        for action in actions {
            match action {
                CallEntryAction::Call {
                    call,
                    to,
                    message,
                    timeout,
                } => self.call(index, call, &to, message, timeout),
                CallEntryAction::Respond(inbound, answer) => {
                    self.handle_claim_response(index, inbound, answer);
                }
                CallEntryAction::Log(..) => {}
            }
        }
    }

    fn call(
        &mut self,
        from: usize,
        call: EntryCallId,
        to: &InstanceId,
        message: PeerRequest,
        timeout: Duration,
    ) {
        let process = self.nodes[from].process;
        let to = self.nodes.iter().position(|n| n.id == *to).unwrap();
        let copies = 1 + usize::from(self.random_fault(5))
            - usize::from(self.random_fault(5));
        for _ in 0..copies {
            let delay = self.delay();
            let message = message.clone();
            let event = Event::Peer(to, from, process, call, message);
            self.queue.push_in(delay, event);
        }
        let lost = Err(failure(RunState::MayHaveRun));
        let event = Event::Reply(from, process, call, lost);
        self.queue.push_in(timeout, event);
    }

    fn peer(
        &mut self,
        to: usize,
        from: usize,
        process: u64,
        call: EntryCallId,
        message: PeerRequest,
    ) {
        self.next_id += 1;
        let inbound = InboundCallId(self.next_id);
        self.nodes[to]
            .inbound
            .insert(inbound, (from, process, call));
        let local = to == from && self.is_running(to, process);
        let requester = if local {
            CallRequester::Local(call)
        } else {
            CallRequester::Peer(inbound)
        };
        let event = match message {
            PeerRequest::ClaimCall(request) if self.naive => {
                let memory_claims = &mut self.nodes[to].memory_claims;
                let holder = memory_claims
                    .entry(request.key)
                    .or_insert(request.attempt.clone());
                let answer = if *holder == request.attempt {
                    ClaimResponse::Won
                } else {
                    ClaimResponse::InProgress
                };
                return self.reply(
                    from,
                    process,
                    call,
                    PeerResponse::Claim(answer),
                );
            }
            PeerRequest::ClaimCall(request) => {
                let entry = instance(from);
                CallOwnerEvent::Claim {
                    requester,
                    entry,
                    request,
                }
            }
            PeerRequest::SettleCall(notice) => {
                CallOwnerEvent::Settle { requester, notice }
            }
            _ => unreachable!(),
        };
        self.owner_event(to, event);
    }

    fn handle_claim_response(
        &mut self,
        index: usize,
        to: InboundCallId,
        a: ClaimResponse,
    ) {
        let id = self.nodes[index].attempts.remove(&to);
        let id = id.expect("an attempt is answered once");
        match a {
            ClaimResponse::Won => {
                let delay = self.delay();
                let process = self.nodes[index].process;
                self.won += 1;
                self.queue.push_in(delay, Event::Send(index, process, id));
            }
            ClaimResponse::Undecided(refusal) => {
                if refusal.run_state != RunState::NotRun {
                    self.fail(format!("{id} is undecided and not not_run"));
                }
                self.not_run(&id);
            }
            ClaimResponse::Recorded(outcome) => {
                let ran = outcome.body.unwrap().parse().unwrap();
                if !self.attempts.get(&ran).is_some_and(|a| a.ran) {
                    self.fail(format!("{id} got an outcome of no call"));
                }
            }
            _ => {}
        }
    }

    /// The attempt is about to be sent to the upstream.
    fn send(&mut self, index: usize, process: u64, id: RequestId) {
        let now = self.queue.now;
        let attempt = self.attempts.get_mut(&id).unwrap();
        let result = if now < attempt.deadline {
            attempt.ran = true;
            let key = attempt.key.clone();
            let runs = self.attempts.values().filter(|a| a.key == key && a.ran);
            if runs.count() > 1 {
                self.fail(format!("key of {id} ran twice"));
            }
            CallResult::Ran(outcome(&id))
        } else {
            self.not_run(&id);
            CallResult::Released
        };
        let delay = self.delay();
        let event = Event::Settled(index, process, id, result);
        self.queue.push_in(delay, event);
    }

    fn not_run(&mut self, id: &RequestId) {
        let attempt = self.attempts.get_mut(id).unwrap();
        attempt.not_run = true;
        if attempt.ran {
            self.fail(format!("{id} ran and was answered not_run"));
        }
    }

    fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    pub(crate) fn schedule_load(&mut self, faults: Vec<(u64, Fault)>) {
        let start = self.queue.now;
        for (at, fault) in faults {
            self.queue.push_in(millis(at), Event::Fault(fault));
        }
        for _ in 0..40 {
            let node = self.queue.rng.random_range(0..self.nodes.len());
            let key = key(self.queue.rng.random_range(0..6), start);
            let delay = self.queue.delay(0, FAULT_TIME_MS);
            self.queue.push_in(delay, Event::StartAttempt(node, key));
        }
    }
}
