//! Simulation of instances that compete for the lease of the duties, of the
//! store and of the service that takes the calls, without network and clock.

mod store;

use std::{collections::BTreeMap, net::IpAddr, time::Duration};

use borageline_lib::{
    gateway::{
        duty::FencingToken,
        duty_lease::{
            DutyLease, LeaseChange, LeaseOwner, LeaseRecord, LeaseStep,
            LeaseTime, LeaseTiming,
        },
        store_era::StoreEra,
        wire::{AppendResult, LogTail},
    },
    units::{Incarnation, LogOffset},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use self::store::{LogStore, LogTopicBackup};

/// Duration of a lease in the simulation.
pub(crate) const LEASE: Duration = Duration::from_millis(3_000);
/// Interval at which the instances act.
const TICK_MS: u64 = 10;
/// Usual time of a message to the store or back, and to the service.
const DELAY_MS: u64 = 5;

/// Whether and when something that is sent arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Delivery {
    /// After this many milliseconds.
    After(u64),
    Never,
}

/// Behavior of the links of an instance to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StoreLink {
    pub(crate) requests: Delivery,
    pub(crate) responses: Delivery,
}

impl StoreLink {
    pub(crate) const GOOD: Self = Self {
        requests: Delivery::After(DELAY_MS),
        responses: Delivery::After(DELAY_MS),
    };
    pub(crate) const CUT: Self = Self {
        requests: Delivery::Never,
        responses: Delivery::Never,
    };
    /// Requests arrive and the responses are lost.
    pub(crate) const NO_RESPONSES: Self = Self {
        requests: Delivery::After(DELAY_MS),
        responses: Delivery::Never,
    };
}

/// A call that arrived at the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ArrivedCall {
    pub(crate) at_ms: u64,
    pub(crate) sender: IpAddr,
    pub(crate) token: FencingToken,
    /// Whether it arrived after its sender had given up on it.
    pub(crate) late: bool,
    /// Whether the service refused it (409).
    pub(crate) refused: bool,
}

#[derive(Debug)]
enum Event {
    Read {
        call: CallId,
        from: LogOffset,
        until_ms: u64,
        link: StoreLink,
    },
    Append {
        call: CallId,
        at: LogOffset,
        record: LeaseRecord,
        link: StoreLink,
    },
    Response {
        call: CallId,
        era: StoreEra,
        response: StoreResponse,
    },
    Timeout(CallId),
    DutyCall(ArrivedCall, u64),
    DutyTimeout {
        instance: usize,
        sequence: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct CallId {
    instance: usize,
    incarnation: u64,
    sequence: u64,
    is_append: bool,
}

#[derive(Debug)]
enum StoreResponse {
    Tail(LogOffset, LogTail, LogOffset),
    Append(AppendResult),
}

/// One instance. Its clock differs from that of the others.
#[derive(Debug)]
pub(crate) struct SimulatedInstance {
    pub(crate) ip: IpAddr,
    incarnation: u64,
    clock_offset_ms: u64,
    /// `None` while the process is down.
    pub(crate) lease: Option<DutyLease>,
    pub(crate) rank: Option<usize>,
    pub(crate) link: StoreLink,
    /// How calls travel to the service.
    pub(crate) service: Delivery,
    pub(crate) frozen_until_ms: u64,
    starts_at_ms: Option<u64>,
    stopping: bool,
    /// Call to the store whose response is awaited.
    store_call: Option<u64>,
    store_calls: u64,
    next_step_at_ms: u64,
    /// Number of the call of a duty that is open.
    duty_call: Option<u64>,
    duty_calls: u64,
    /// When a call was last given up.
    unanswered_at_ms: Option<u64>,
    pub(crate) changes: Vec<LeaseChange>,
}

impl SimulatedInstance {
    fn is_running(&self, now_ms: u64) -> bool {
        self.lease.is_some() && self.frozen_until_ms <= now_ms
    }

    fn clock(&self, now_ms: u64) -> LeaseTime {
        LeaseTime::new((self.clock_offset_ms + now_ms) * 1_000)
    }
}

/// The simulation.
#[derive(Debug)]
pub(crate) struct LeaseSimulation {
    pub(crate) now_ms: u64,
    pub(crate) store: LogStore,
    pub(crate) instances: Vec<SimulatedInstance>,
    pub(crate) calls: Vec<ArrivedCall>,
    /// Whether the service refuses calls with a lower token.
    pub(crate) fenced: bool,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    pub(crate) rng: ChaCha8Rng,
}

impl LeaseSimulation {
    /// Starts instances that are candidates in their order.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Self {
            now_ms: 0,
            store: LogStore::default(),
            instances: (0..count)
                .map(|index| SimulatedInstance {
                    ip: [127, 0, 1, index as u8].into(),
                    incarnation: 0,
                    clock_offset_ms: rng.random_range(0..1_000_000),
                    lease: None,
                    rank: Some(index),
                    link: StoreLink::GOOD,
                    service: Delivery::After(DELAY_MS),
                    frozen_until_ms: 0,
                    starts_at_ms: None,
                    stopping: false,
                    store_call: None,
                    store_calls: 0,
                    next_step_at_ms: 0,
                    duty_call: None,
                    duty_calls: 0,
                    unanswered_at_ms: None,
                    changes: Vec::new(),
                })
                .collect(),
            calls: Vec::new(),
            fenced: true,
            events: BTreeMap::new(),
            sequence: 0,
            rng,
        };
        for index in 0..count {
            simulation.start(index);
        }
        simulation
    }

    /// Starts a new process of an instance.
    pub(crate) fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        let owner = LeaseOwner {
            instance: format!("entry-{index}").parse().expect("valid name"),
            ip: instance.ip,
            incarnation: Incarnation::new(instance.incarnation),
        };
        let mut lease = DutyLease::new(owner, LeaseTiming::new(LEASE));
        lease.set_rank(instance.rank);
        instance.lease = Some(lease);
        instance.starts_at_ms = None;
        instance.stopping = false;
        instance.store_call = None;
        instance.next_step_at_ms = self.now_ms;
        instance.duty_call = None;
        instance.unanswered_at_ms = None;
        instance.frozen_until_ms = 0;
    }

    /// Kills an instance; it starts again after a time.
    pub(crate) fn kill(&mut self, index: usize, down_ms: u64) {
        let instance = &mut self.instances[index];
        instance.lease = None;
        instance.starts_at_ms = Some(self.now_ms + down_ms);
    }

    /// Begins a planned stop; the instance starts again after it.
    pub(crate) fn stop(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if let Some(lease) = &mut instance.lease
            && !instance.stopping
        {
            lease.begin_stop();
            instance.stopping = true;
            instance.next_step_at_ms = self.now_ms;
        }
    }

    /// Freezes an instance.
    pub(crate) fn freeze(&mut self, index: usize, time_ms: u64) {
        self.instances[index].frozen_until_ms = self.now_ms + time_ms;
    }

    /// Makes only one instance a candidate.
    pub(crate) fn set_only_candidate(&mut self, index: usize) {
        for other in 0..self.instances.len() {
            self.set_rank(other, (other == index).then_some(0));
        }
    }

    pub(crate) fn set_rank(&mut self, index: usize, rank: Option<usize>) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        instance.rank = rank;
        if let Some(lease) = &mut instance.lease {
            lease.set_rank(rank);
        }
        instance.next_step_at_ms = now_ms;
    }

    /// Index of the instance that holds the lease.
    pub(crate) fn holder(&self) -> Option<usize> {
        let instances = &self.instances;
        instances.iter().position(|it| {
            let lease = it.lease.as_ref();
            lease.is_some_and(|lease| {
                lease.held(it.clock(self.now_ms)).is_some()
            })
        })
    }

    /// Token that an instance holds.
    pub(crate) fn token(&self, index: usize) -> Option<FencingToken> {
        let instance = &self.instances[index];
        let lease = instance.lease.as_ref()?;
        lease.held(instance.clock(self.now_ms)).map(|it| it.token)
    }

    /// Calls of all instances to the store.
    pub(crate) fn store_calls(&self) -> u64 {
        self.instances.iter().map(|it| it.store_calls).sum()
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        while self.now_ms < until_ms {
            self.tick();
        }
    }

    /// Runs until some instance holds the lease, and returns it.
    pub(crate) fn run_until_held(&mut self, limit_ms: u64) -> usize {
        self.run_until(limit_ms, |it| it.holder().is_some());
        self.holder().expect("the lease is held")
    }

    /// Runs until a condition holds; panics after a time.
    pub(crate) fn run_until(
        &mut self,
        limit_ms: u64,
        holds: impl Fn(&Self) -> bool,
    ) {
        let until_ms = self.now_ms + limit_ms;
        while !holds(self) {
            assert!(self.now_ms < until_ms, "not within {limit_ms} ms");
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let event = entry.remove();
            self.handle(event);
        }
        for index in 0..self.instances.len() {
            self.act(index);
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let key = (self.now_ms + delay_ms, self.sequence);
        self.events.insert(key, event);
    }

    fn act(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        if instance.starts_at_ms.is_some_and(|at| at <= now_ms) {
            self.start(index);
        }
        let instance = &self.instances[index];
        if !instance.is_running(now_ms) {
            return;
        }
        self.send_duty_call(index);
        let instance = &mut self.instances[index];
        let clock = instance.clock(now_ms);
        if instance.stopping && instance.duty_call.is_none() {
            let lease_ms = LEASE.as_millis() as u64;
            let unanswered = instance.unanswered_at_ms;
            let answered = unanswered.is_none_or(|at| at + lease_ms <= now_ms);
            let lease = instance.lease.as_mut().expect("the process runs");
            lease.end_calls(answered);
        }
        if instance.store_call.is_some() || now_ms < instance.next_step_at_ms {
            return;
        }
        let lease = instance.lease.as_mut().expect("the process runs");
        let step = lease.next_step(clock);
        instance.changes.extend(lease.take_changes());
        self.carry_out(index, step);
    }

    fn carry_out(&mut self, index: usize, step: LeaseStep) {
        let now_ms = self.now_ms;
        let timeout = LeaseTiming::new(LEASE).store_timeout();
        let timeout_ms = timeout.as_millis() as u64;
        let (event, timeout_ms) = match step {
            LeaseStep::Wait(time) => {
                let time_ms = time.as_micros().div_ceil(1_000) as u64;
                let instance = &mut self.instances[index];
                instance.next_step_at_ms = now_ms + time_ms;
                return;
            }
            LeaseStep::Done => {
                let down_ms = self.rng.random_range(100..4_000);
                self.kill(index, down_ms);
                return;
            }
            LeaseStep::Read { from, wait } => {
                let call = self.next_call(index, false);
                let wait_ms = wait.as_millis() as u64;
                let event = Event::Read {
                    call,
                    from,
                    until_ms: now_ms + wait_ms,
                    link: self.instances[index].link,
                };
                (event, timeout_ms + wait_ms)
            }
            LeaseStep::Append { at, record } => {
                let call = self.next_call(index, true);
                let link = self.instances[index].link;
                let event = Event::Append {
                    call,
                    at,
                    record,
                    link,
                };
                (event, timeout_ms)
            }
        };
        let call = match &event {
            Event::Read { call, .. } | Event::Append { call, .. } => *call,
            _ => unreachable!(),
        };
        if let Delivery::After(delay_ms) = self.instances[index].link.requests {
            self.schedule(delay_ms, event);
        }
        self.schedule(timeout_ms, Event::Timeout(call));
    }

    fn next_call(&mut self, index: usize, is_append: bool) -> CallId {
        let instance = &mut self.instances[index];
        instance.store_calls += 1;
        instance.store_call = Some(instance.store_calls);
        CallId {
            instance: index,
            incarnation: instance.incarnation,
            sequence: instance.store_calls,
            is_append,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Read {
                call,
                from,
                until_ms,
                link,
            } => {
                let is_waiting =
                    self.store.has_no_record(from) && self.now_ms < until_ms;
                if self.store.is_down {
                    return;
                }
                if is_waiting {
                    let event = Event::Read {
                        call,
                        from,
                        until_ms,
                        link,
                    };
                    self.schedule(TICK_MS, event);
                    return;
                }
                let (tail, end) = self.store.read(from);
                let response = StoreResponse::Tail(from, tail, end);
                self.respond(call, link, response);
            }
            Event::Append {
                call,
                at,
                record,
                link,
            } => {
                if self.store.is_down {
                    return;
                }
                let result = self.store.append_at(at, record.to_bytes());
                self.respond(call, link, StoreResponse::Append(result));
            }
            Event::Response {
                call,
                era,
                response,
            } => self.receive(call, Some((era, response))),
            Event::Timeout(call) => self.receive(call, None),
            Event::DutyCall(call, sequence) => self.serve_call(call, sequence),
            Event::DutyTimeout { instance, sequence } => {
                let now_ms = self.now_ms;
                let instance = &mut self.instances[instance];
                if instance.duty_call == Some(sequence) {
                    instance.duty_call = None;
                    instance.unanswered_at_ms = Some(now_ms);
                }
            }
        }
    }

    fn respond(
        &mut self,
        call: CallId,
        link: StoreLink,
        response: StoreResponse,
    ) {
        if let Delivery::After(delay_ms) = link.responses {
            let era = self.store.era;
            let event = Event::Response {
                call,
                era,
                response,
            };
            self.schedule(delay_ms, event);
        }
    }

    fn receive(
        &mut self,
        call: CallId,
        response: Option<(StoreEra, StoreResponse)>,
    ) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[call.instance];
        if instance.incarnation != call.incarnation
            || instance.store_call != Some(call.sequence)
            || instance.lease.is_none()
        {
            return;
        }
        if instance.frozen_until_ms > now_ms {
            // The process reads the response, or notices the timeout, when it
            // runs again.
            let delay_ms = instance.frozen_until_ms - now_ms;
            let event = match response {
                Some((era, response)) => Event::Response {
                    call,
                    era,
                    response,
                },
                None => Event::Timeout(call),
            };
            self.schedule(delay_ms, event);
            return;
        }
        instance.store_call = None;
        instance.next_step_at_ms = now_ms;
        let clock = instance.clock(now_ms);
        let lease = instance.lease.as_mut().expect("the process runs");
        match response {
            Some((era, StoreResponse::Tail(from, tail, end))) => {
                lease.receive_tail(clock, era, from, &tail, Some(end));
            }
            Some((era, StoreResponse::Append(result))) => {
                lease.receive_append(clock, Some((era, result)));
            }
            None if call.is_append => lease.receive_append(clock, None),
            None => lease.fail_read(clock),
        }
        instance.changes.extend(lease.take_changes());
    }

    /// Sends a call if the lease is held for long enough, one at a time.
    fn send_duty_call(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        let clock = instance.clock(now_ms);
        let lease = instance.lease.as_ref().expect("the process runs");
        let timeout = lease.timing().call_timeout();
        let held = lease.held(clock);
        let Some(held) = held.filter(|_| instance.duty_call.is_none()) else {
            return;
        };
        if held.until.since(clock) <= timeout {
            return;
        }
        instance.duty_calls += 1;
        let sequence = instance.duty_calls;
        instance.duty_call = Some(sequence);
        let timeout_ms = timeout.as_millis() as u64;
        let (sender, service) = (instance.ip, instance.service);
        if let Delivery::After(delay_ms) = service {
            let call = ArrivedCall {
                at_ms: now_ms + delay_ms,
                sender,
                token: held.token,
                late: delay_ms >= timeout_ms,
                refused: false,
            };
            self.schedule(delay_ms, Event::DutyCall(call, sequence));
        }
        let event = Event::DutyTimeout {
            instance: index,
            sequence,
        };
        self.schedule(timeout_ms, event);
    }

    fn serve_call(&mut self, mut call: ArrivedCall, sequence: u64) {
        let now_ms = self.now_ms;
        call.at_ms = now_ms;
        let newest = self.calls.iter().map(|call| call.token).max();
        call.refused = self.fenced && newest > Some(call.token);
        self.calls.push(call);
        let instances = &mut self.instances;
        let instance = instances.iter_mut().find(|it| it.ip == call.sender);
        let instance = instance.expect("calls come from instances");
        if instance.duty_call != Some(sequence) {
            return;
        }
        instance.duty_call = None;
        let clock = instance.clock(now_ms);
        if let Some(lease) = instance.lease.as_mut().filter(|_| call.refused) {
            lease.refuse_token(clock, call.token);
        }
    }

    /// Checks the rules of the service for all calls that arrived.
    pub(crate) fn check_calls(&self) {
        let mut senders = BTreeMap::new();
        for call in &self.calls {
            let sender = *senders.entry(call.token).or_insert(call.sender);
            assert_eq!(sender, call.sender, "one token from two machines");
        }
        let lease_ms = LEASE.as_millis() as u64;
        let in_time: Vec<_> =
            self.calls.iter().filter(|call| !call.late).collect();
        for pair in in_time.windows(2) {
            assert!(
                pair[0].token <= pair[1].token,
                "a call after one with a higher token: {pair:?}",
            );
        }
        for (index, first) in in_time.iter().enumerate() {
            let rest = in_time[index..].iter();
            let within =
                rest.take_while(|call| call.at_ms <= first.at_ms + lease_ms);
            let mut replaced = false;
            for call in within {
                let same = call.sender == first.sender;
                assert!(!(same && replaced), "A, B, A: {first:?} {call:?}");
                replaced |= !same;
            }
        }
    }
}
