//! The simulated engines and the writes of the shell.

use std::time::Duration;

use borageline_lib::{
    core::{Assignment, RequestProgress, StreamFailure},
    engine_api::{HeldRequest, LoadReport},
    entry::EntryEvent,
    ids::{RequestId, UpstreamId},
    owner::OwnerEvent,
    units::{Incarnation, TokenCount, TokenRate},
};
use rand::Rng;

use super::{DECODE, Event, MEMORY, PREFILL, SLOTS, WRITE_MS, World};

impl World {
    /// Delivers the result of a read; a lost one is reported as failed.
    pub(super) fn read(&mut self, at: usize, event: OwnerEvent) {
        let lost = self.frozen
            || self.rng.random_range(0..100) < self.config.loss_percent;
        let event = match event {
            OwnerEvent::LoadRead(engine, _) if lost => {
                OwnerEvent::LoadRead(engine, None)
            }
            OwnerEvent::HeldRead(engine, _) if lost => {
                OwnerEvent::HeldRead(engine, None)
            }
            event => event,
        };
        let delay = self.rng.random_range(0..=self.config.delay_ms);
        self.post(delay, Event::Owner(at, event));
    }

    pub(super) fn load(&self, engine: &UpstreamId) -> LoadReport {
        let state = &self.engines[engine];
        LoadReport {
            engine: engine.clone(),
            incarnation: Incarnation::new(state.incarnation),
            age_ms: self.config.report_lag_ms,
            held: state.held.values().map(|held| held.tokens).sum(),
            running: state.held.len() as u32,
            queued: 0,
            prefill_backlog: TokenCount::ZERO,
            prefill_rate: TokenRate::new(if self.cold {
                PREFILL / 5
            } else {
                PREFILL
            }),
            decode_rate: TokenRate::new(DECODE),
            leaving: false,
        }
    }

    pub(super) fn deliver(&mut self, event: Event) {
        match event {
            Event::Owner(at, event) => self.owner_event(at, event),
            Event::Entry(at, event) => self.entry_event(at, event),
            Event::Owns(at, engine, to) => {
                let owner = self.instances[to].name.clone();
                self.instances[at].owners.insert(engine, owner);
            }
            Event::Cancel(engine, request) => {
                let state = self.engines.get_mut(&engine).expect("known");
                state.held.remove(&request);
            }
            Event::Write(at, request, dispatch, segment) => {
                self.write(at, request, dispatch, segment);
            }
            Event::Arrive(at, request, dispatch, segment) => {
                self.arrive_at_engine(at, request, dispatch, segment);
            }
            Event::FirstChunk(at, request, engine, incarnation) => {
                if self.runs(&request, &engine, incarnation) {
                    let first = RequestProgress::FirstChunk;
                    let event = EntryEvent::Progress(request, first);
                    self.entry_event(at, event);
                }
            }
            Event::End(at, request, engine, incarnation) => {
                self.finish(at, request, engine, incarnation);
            }
        }
    }

    pub(super) fn runs(
        &self,
        request: &RequestId,
        on: &UpstreamId,
        inc: u64,
    ) -> bool {
        let state = &self.engines[on];
        state.incarnation == inc && state.held.contains_key(request)
    }

    pub(super) fn current(
        &self,
        request: &RequestId,
        dispatch: u64,
    ) -> Option<Assignment> {
        let (placed, assignment) = self.placed.get(request)?;
        let ended = self.ends.contains_key(request);
        (*placed == dispatch && !ended).then(|| assignment.clone())
    }

    pub(super) fn write(
        &mut self,
        at: usize,
        request: RequestId,
        dispatch: u64,
        segment: usize,
    ) {
        let Some(assignment) = self.current(&request, dispatch) else {
            return;
        };
        let engine = assignment.engines[segment].engine.clone();
        if segment == 0 && self.now >= assignment.send_before {
            let expired = StreamFailure::AssignmentExpired;
            return self.fail(&request, &engine, expired);
        }
        let sent = RequestProgress::Sent(engine);
        self.entry_event(at, EntryEvent::Progress(request.clone(), sent));
        let delay = self.rng.random_range(0..=WRITE_MS);
        self.post(delay, Event::Arrive(at, request, dispatch, segment));
    }

    pub(super) fn arrive_at_engine(
        &mut self,
        at: usize,
        request: RequestId,
        dispatch: u64,
        segment: usize,
    ) {
        let descriptor = self.descriptors[&request].clone();
        let Some((_, assignment)) = self
            .placed
            .get(&request)
            .filter(|(placed, _)| *placed == dispatch)
        else {
            return;
        };
        let last = segment + 1 == assignment.engines.len();
        let assigned = assignment.engines[segment].clone();
        let engine = assigned.engine;
        let output = if last { descriptor.output.get() } else { 0 };
        let tokens = assigned.prompt.get() + output;
        let now = self.now;
        let state = self.engines.get_mut(&engine).expect("known engine");
        let used: u64 = state.held.values().map(|held| held.tokens.get()).sum();
        if used + tokens > MEMORY || state.held.len() >= SLOTS as usize {
            self.overcommitted += 1;
            return self.fail(&request, &engine, StreamFailure::Overcommitted);
        }
        let held = HeldRequest {
            request: request.clone(),
            tokens: TokenCount::new(tokens),
            age_ms: 0,
            attached: true,
        };
        state.held.insert(request.clone(), held);
        self.accepted.insert(request.clone());
        let start = state.busy_until.max(now);
        let prefill = assigned.prompt.get() * 1_000_000 / PREFILL;
        let first = start.after(Duration::from_micros(prefill));
        state.busy_until = first;
        let incarnation = state.incarnation;
        let most = self.most_held.entry(engine.clone()).or_default();
        *most = state.held.len().max(*most);
        let wait = first.since(now).as_millis() as u64;
        if last {
            let decode = output * 1000 / DECODE;
            let part = Event::FirstChunk(
                at,
                request.clone(),
                engine.clone(),
                incarnation,
            );
            self.post(wait, part);
            let end = Event::End(at, request, engine, incarnation);
            self.post(wait + decode, end);
        } else {
            self.post(wait, Event::Write(at, request, dispatch, segment + 1));
        }
    }

    pub(super) fn finish(
        &mut self,
        at: usize,
        request: RequestId,
        engine: UpstreamId,
        incarnation: u64,
    ) {
        if !self.runs(&request, &engine, incarnation) {
            return;
        }
        let state = self.engines.get_mut(&engine).expect("known engine");
        state.held.remove(&request);
        if self.ends.contains_key(&request) {
            return;
        }
        self.placed.remove(&request);
        self.ends.insert(request.clone(), (self.now, None));
        let done = RequestProgress::Finished(self.descriptors[&request].output);
        self.entry_event(at, EntryEvent::Progress(request, done));
    }
}
