//! Keeps requests that crash engines and other upstreams away from them.
//!
//! A part that [`CrashEvidence`] blames, of a prompt or the request as a whole, is
//! quarantined: requests with it are refused at once by all instances, and others
//! with the same caller and other parts are served. The quarantine is shared in two ways: instances exchange
//! reports with their heartbeats, and the platform's store keeps a record for
//! instances that start when no other is left.
//!
//! A quarantine may be wrong, and what was harmful may be repaired. After a
//! hold time, which doubles with each crash, one instance lets single requests
//! through as a trial, its own or those of instances that ask it. An answer that
//! goes on ends the quarantine, a crash extends it.
//!
//! Where other parts explain the same crashes ([`BlameDoubt`]), the first request
//! that tells them apart is let through without waiting for the end of the hold
//! time, so that a sound part that was blamed is in quarantine for seconds. Trials
//! that fail leave no doubt, and then the hold time applies.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use super::{
    crash_evidence::{BlameDoubt, CRASHES_MIN, CrashEvidence, SuspectPrompt},
    upstream_table::UpstreamProcess,
    wire::PartId,
};
use crate::{units::Timestamp, value_type};

/// Time for which an answer must go on to show that its prompt is sound.
pub const SOUND_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Hold time of a quarantine after the fewest crashes that cause one.
pub const HOLD_TIME_MIN: Duration = Duration::from_secs(15);
/// Longest hold time.
pub const HOLD_TIME_MAX: Duration = Duration::from_secs(600);
/// Time after the last crash for which a quarantine is remembered.
pub const FORGET_TIME: Duration = Duration::from_secs(3_600);
/// Interval between two trials; the result of one is known by then.
const TRIAL_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between two trials that tell the blamed part from others. Their
/// requests may end without a result, and many sound ones may wait for it.
const DECISIVE_TRIAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time after a crash until a part may be tried before the end of its hold time.
/// Requests that the crash broke off have been sent again by then, and their
/// answers have cleared the sound parts.
const DECISIVE_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Like [`DECISIVE_TRIAL_DELAY`], after a decisive trial that has failed and left
/// a doubt: its request had another harmful part.
const NEXT_DECISIVE_TRIAL_DELAY: Duration = Duration::from_secs(4);
/// Time after which a request may come again that is refused while a trial is
/// about to clear its part.
const TRIAL_RESULT_TIME: Duration = Duration::from_secs(1);
/// Time until an instance asks again for a trial that another one makes.
const ASK_PAUSE: Duration = Duration::from_secs(1);
/// Most parts in quarantine.
const QUARANTINED_MAX: usize = 256;
/// Time for which a new quarantine is in each report; an instance that was cut
/// off may have it alone, and learns by then that others know better.
const CHANGE_REPORT_TIME: Duration = Duration::from_secs(10);
/// Most quarantines in a report.
const REPORTED_QUARANTINES_MAX: usize = 32;
/// Longest time between two evaluations of unchanged evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);

value_type! {
    /// A crash of an engine that the sender saw.
    #[derive(Eq)]
    pub struct CrashReport {
        /// Process that crashed.
        pub process: UpstreamProcess,
        /// Time since the crash, in milliseconds.
        pub age_ms: u32,
        /// Prompts that may have caused it.
        pub prompts: Vec<SuspectPrompt>,
    }
}

value_type! {
    /// A part of which the sender forwarded an answer.
    #[derive(Eq)]
    pub struct SoundReport {
        /// The part.
        pub part: PartId,
        /// Time since the answer began, in milliseconds.
        pub age_ms: u32,
    }
}

value_type! {
    /// A part in quarantine.
    #[derive(Eq)]
    pub struct QuarantineReport {
        /// The part.
        pub part: PartId,
        /// Crashes that it caused.
        pub crashes: u32,
        /// Time since the last of them, in milliseconds.
        pub age_ms: u32,
    }
}

value_type! {
    /// What an instance tells the others about harmful prompts.
    #[derive(Default, Eq)]
    pub struct PromptReport {
        /// Crashes that the sender saw in the last seconds.
        pub crashes: Vec<CrashReport>,
        /// Parts of crashed prompts that are sound.
        pub sound: Vec<SoundReport>,
        /// Parts in quarantine, not always all.
        pub quarantined: Vec<QuarantineReport>,
    }
}

/// A change of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A part is in quarantine, or has caused further crashes.
    Quarantined(QuarantineReport),
    /// A part has left the quarantine.
    Released(PartId),
}

/// Why a request must not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedPrompt {
    /// Part of its prompt that is in quarantine.
    pub part: PartId,
    /// Crashes that the part caused.
    pub crashes: u32,
    /// Time until a request with the part may be tried.
    pub retry_after: Duration,
    /// Trials that would let the request through, if the instances that make
    /// them agree.
    pub due_trials: Vec<DueTrial>,
}

/// A trial that an instance may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueTrial {
    /// Part in quarantine.
    pub part: PartId,
    /// Whether the request tells the part from others that explain its crashes.
    pub is_decisive: bool,
}

/// Permission to send a request with parts in quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialGrant {
    /// Parts that are tried.
    pub parts: Vec<PartId>,
    /// Time of the permission.
    pub granted_at: Timestamp,
}

impl TrialGrant {
    fn covers(&self, part: &PartId, last_crash_at: Timestamp) -> bool {
        last_crash_at <= self.granted_at && self.parts.contains(part)
    }
}

/// Answer of the instance that makes the trials of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialAnswer {
    /// The request may be sent.
    Granted,
    /// Another trial is under way or about to begin.
    Running,
    /// The part is held.
    Held,
}

/// Last trial of a part.
#[derive(Clone, Copy, Debug)]
struct TrialRecord {
    at: Timestamp,
    is_decisive: bool,
    /// Time until which no trial of the same kind follows.
    blocked_until: Timestamp,
    /// Whether the request was not run, so that another one may take its place.
    is_unused: bool,
}

impl TrialRecord {
    fn new(now: Timestamp, is_decisive: bool) -> Self {
        let interval = match is_decisive {
            true => DECISIVE_TRIAL_INTERVAL,
            false => TRIAL_INTERVAL,
        };
        Self {
            at: now,
            is_decisive,
            blocked_until: now.after(interval),
            is_unused: false,
        }
    }

    /// Whether a request may take the place of one that was not run.
    fn is_vacant(&self, now: Timestamp, is_decisive: bool) -> bool {
        self.is_unused
            && now < self.blocked_until
            && (is_decisive || !self.is_decisive)
    }

    /// Whether it must end before a trial. One that tells nothing does not delay
    /// one that is decisive.
    fn blocks(&self, now: Timestamp, is_decisive: bool) -> bool {
        now < self.blocked_until && (self.is_decisive || !is_decisive)
    }
}

/// Whether a part may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialState {
    Due,
    /// A trial is under way or about to begin that may clear the part.
    Running,
    /// Not before this time has passed.
    Held(Duration),
}

/// One part in quarantine.
#[derive(Clone, Debug)]
struct QuarantineEntry {
    crashes: u32,
    last_crash_at: Timestamp,
    changed_at: Timestamp,
    /// Doubt whether the part is to blame, with the version of the evidence that
    /// it follows from.
    doubt: Option<(u64, BlameDoubt)>,
}

impl QuarantineEntry {
    fn held_until(&self) -> Timestamp {
        let beyond = self.crashes.saturating_sub(CRASHES_MIN as u32);
        let hold = HOLD_TIME_MIN.saturating_mul(1 << beyond.min(16));
        self.last_crash_at.after(hold.min(HOLD_TIME_MAX))
    }

    /// Whether a request may be sent as a trial now, after the last trial of the
    /// part.
    fn trial_state(
        &self,
        now: Timestamp,
        is_decisive: bool,
        last_trial: Option<&TrialRecord>,
    ) -> TrialState {
        let held = self.held_until().since(now);
        if last_trial.is_some_and(|it| it.is_vacant(now, is_decisive)) {
            return TrialState::Due;
        }
        if last_trial.is_some_and(|it| it.blocks(now, is_decisive)) {
            return match is_decisive {
                true => TrialState::Running,
                false => TrialState::Held(held.max(TRIAL_INTERVAL)),
            };
        }
        if held == Duration::ZERO {
            return TrialState::Due;
        }
        let has_failed = last_trial
            .is_some_and(|it| it.is_decisive && self.last_crash_at > it.at);
        let delay = match has_failed {
            true => NEXT_DECISIVE_TRIAL_DELAY,
            false => DECISIVE_TRIAL_DELAY,
        };
        match delay.saturating_sub(now.since(self.last_crash_at)) {
            _ if !is_decisive => TrialState::Held(held),
            Duration::ZERO => TrialState::Due,
            _ => TrialState::Running,
        }
    }

    fn refuse(
        &self,
        part: &PartId,
        retry_after: Duration,
        due_trials: Vec<DueTrial>,
    ) -> QuarantinedPrompt {
        QuarantinedPrompt {
            part: part.clone(),
            crashes: self.crashes,
            retry_after,
            due_trials,
        }
    }

    fn report(&self, now: Timestamp, part: &PartId) -> QuarantineReport {
        QuarantineReport {
            part: part.clone(),
            crashes: self.crashes,
            age_ms: age_ms(now, self.last_crash_at),
        }
    }
}

/// Parts in quarantine and the evidence against others.
#[derive(Clone, Debug, Default)]
pub struct PromptQuarantine {
    evidence: CrashEvidence,
    entries: BTreeMap<PartId, QuarantineEntry>,
    /// Last trials of the parts in quarantine, and those granted to instances that
    /// know of a quarantine that this one does not know.
    trials: BTreeMap<PartId, TrialRecord>,
    /// Parts that left the quarantine, or that others have wrongly in theirs,
    /// within [`TRIAL_INTERVAL`]; reported as sound.
    released: BTreeMap<PartId, Timestamp>,
    changes: Vec<QuarantineChange>,
    /// Version of the evidence at the last evaluation, and its time.
    evaluated: Option<(u64, Timestamp)>,
    /// Whether the last report left out what no other had.
    is_report_partial: bool,
}

impl PromptQuarantine {
    /// Whether a crash of the process is known.
    pub fn has_crash(&self, process: &UpstreamProcess) -> bool {
        self.evidence.has_crash(process)
    }

    /// Records a prompt that an engine had not answered, or had just begun to
    /// answer, when it crashed.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        process: UpstreamProcess,
        prompt: SuspectPrompt,
    ) {
        self.record_past_crash(now, process, now, vec![prompt]);
    }

    /// Records a crash at an earlier time, which was confirmed only now.
    pub fn record_past_crash(
        &mut self,
        now: Timestamp,
        process: UpstreamProcess,
        at: Timestamp,
        prompts: Vec<SuspectPrompt>,
    ) {
        self.evidence.add_crash(now, process, at, prompts, true);
    }

    /// Records that the answer to a prompt with these parts, which began at
    /// `begun_at`, went on for [`SOUND_ANSWER_TIME`] or is complete.
    pub fn record_sound(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
        begun_at: Timestamp,
    ) {
        for part in parts {
            self.evidence.add_sound_part(now, part, begun_at, true);
            self.evaluate_if_held(part);
        }
        self.update(now);
    }

    /// Whether a request with these parts may be sent, and under which trial if
    /// some are in quarantine. `owns_trials` says whether this instance makes the
    /// trials of a part.
    pub fn check(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
        owns_trials: impl Fn(&PartId) -> bool,
    ) -> Result<Option<TrialGrant>, QuarantinedPrompt> {
        self.update(now);
        if self.entries.is_empty() {
            return Ok(None);
        }
        let mut due_trials = Vec::new();
        for part in parts {
            let is_decisive = self.is_decisive(part, parts);
            let Some(entry) = self.entries.get(part) else {
                continue;
            };
            let last_trial = self.trials.get(part);
            let wait = match entry.trial_state(now, is_decisive, last_trial) {
                TrialState::Due => {
                    due_trials.push(DueTrial {
                        part: part.clone(),
                        is_decisive,
                    });
                    continue;
                }
                TrialState::Running => TRIAL_RESULT_TIME,
                TrialState::Held(wait) => wait,
            };
            return Err(entry.refuse(part, wait, Vec::new()));
        }
        let Some(first) = due_trials.first() else {
            return Ok(None);
        };
        let may_begin = |trial: &DueTrial| {
            owns_trials(&trial.part)
                || self
                    .trials
                    .get(&trial.part)
                    .is_some_and(|last| last.is_vacant(now, trial.is_decisive))
        };
        if due_trials.iter().all(may_begin) {
            return Ok(Some(self.begin_trials(now, &due_trials)));
        }
        let wait = match first.is_decisive {
            true => TRIAL_RESULT_TIME,
            false => TRIAL_INTERVAL,
        };
        let entry = &self.entries[&first.part];
        Err(entry.refuse(&first.part.clone(), wait, due_trials))
    }

    /// Begins trials that this instance makes or was granted.
    pub fn begin_trials(
        &mut self,
        now: Timestamp,
        trials: &[DueTrial],
    ) -> TrialGrant {
        for DueTrial { part, is_decisive } in trials {
            let record = TrialRecord::new(now, *is_decisive);
            self.trials.insert(part.clone(), record);
        }
        TrialGrant {
            parts: trials.iter().map(|it| it.part.clone()).collect(),
            granted_at: now,
        }
    }

    /// Returns a permission whose request was not run.
    pub fn return_trial(&mut self, grant: &TrialGrant) {
        for part in &grant.parts {
            if let Some(record) = self.trials.get_mut(part)
                && record.at == grant.granted_at
            {
                record.is_unused = true;
            }
        }
    }

    /// Answers an instance that asks for a trial, whose evidence says that it is
    /// due. Evidence of this instance may be older, as it may have just started.
    pub fn grant_trial(
        &mut self,
        now: Timestamp,
        trial: &DueTrial,
    ) -> TrialAnswer {
        self.update(now);
        let DueTrial { part, is_decisive } = trial;
        let last_trial = self.trials.get(part);
        let state = match self.entries.get(part) {
            Some(entry) => entry.trial_state(now, *is_decisive, last_trial),
            None if last_trial.is_some_and(|it| now < it.blocked_until) => {
                TrialState::Running
            }
            None => TrialState::Due,
        };
        match state {
            TrialState::Due => {
                self.begin_trials(now, std::slice::from_ref(trial));
                TrialAnswer::Granted
            }
            TrialState::Running => TrialAnswer::Running,
            TrialState::Held(_) => TrialAnswer::Held,
        }
    }

    /// Records that a trial was not granted; `None` if no answer came.
    pub fn record_denial(
        &mut self,
        now: Timestamp,
        trial: &DueTrial,
        answer: Option<TrialAnswer>,
    ) {
        let mut record = TrialRecord::new(now, trial.is_decisive);
        if answer != Some(TrialAnswer::Held) {
            record.blocked_until = now.after(ASK_PAUSE);
        }
        self.trials.insert(trial.part.clone(), record);
    }

    /// First of these parts that is in quarantine and not on trial. `grant` is
    /// the trial under which the request was sent.
    pub fn find_held(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
        grant: Option<&TrialGrant>,
    ) -> Option<QuarantinedPrompt> {
        if self.entries.is_empty() {
            return None;
        }
        parts.iter().find_map(|part| {
            let entry = self.entries.get(part)?;
            let held = entry.held_until().since(now);
            let is_tried =
                grant.is_some_and(|it| it.covers(part, entry.last_crash_at));
            if held == Duration::ZERO || is_tried {
                return None;
            }
            let wait = match self.is_decisive(part, parts) {
                true => TRIAL_RESULT_TIME,
                false => held,
            };
            let entry = &self.entries[part];
            Some(entry.refuse(part, wait, Vec::new()))
        })
    }

    /// Whether the end of a request with these parts tells whether one of them,
    /// which is in quarantine, is to blame.
    fn is_decisive(&mut self, part: &PartId, parts: &[PartId]) -> bool {
        let Some(entry) = self.entries.get_mut(part) else {
            return false;
        };
        let version = self.evidence.version();
        let known = entry.doubt.take_if(|(at, _)| *at == version);
        let (_, doubt) = entry.doubt.insert(
            known.unwrap_or_else(|| (version, self.evidence.doubt(part))),
        );
        doubt.is_settled_by(parts)
    }

    /// Report to the other instances: what has changed lately, and all
    /// quarantines if it is a full one.
    pub fn report(&mut self, now: Timestamp, is_full: bool) -> PromptReport {
        self.update(now);
        let crashes = self.evidence.take_crashes_to_report(now);
        let sound = self.evidence.take_sound_to_report(self.released.keys());
        self.is_report_partial = crashes.is_partial || sound.is_partial;
        let crashes = crashes.crashes.into_iter();
        let crashes = crashes.map(|(process, at, prompts)| CrashReport {
            process,
            age_ms: age_ms(now, at),
            prompts,
        });
        let sound = sound.parts.into_iter();
        let sound = sound.map(|(part, begun_at)| SoundReport {
            part,
            age_ms: age_ms(now, begun_at),
        });
        let mut entries: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, it)| {
                is_full || now.since(it.changed_at) < CHANGE_REPORT_TIME
            })
            .collect();
        entries.sort_by_key(|(_, it)| Reverse(it.last_crash_at));
        let entries = entries.into_iter();
        PromptReport {
            crashes: crashes.collect(),
            sound: sound.collect(),
            quarantined: entries
                .take(REPORTED_QUARANTINES_MAX)
                .map(|(part, entry)| entry.report(now, part))
                .collect(),
        }
    }

    /// Whether the last report left out what no report had yet, so that another
    /// one should follow soon.
    pub fn is_report_partial(&self) -> bool {
        self.is_report_partial
    }

    /// Number of entries for parts that are remembered: occurrences in crashes,
    /// and sound parts in none.
    pub fn part_entries(&self) -> (usize, usize) {
        self.evidence.part_entries()
    }

    /// All quarantines, and `None` for parts that have left it lately.
    pub fn records(
        &self,
        now: Timestamp,
    ) -> Vec<(PartId, Option<QuarantineReport>)> {
        let released = self.released.keys().map(|part| (part.clone(), None));
        let entries = self
            .entries
            .iter()
            .map(|(part, entry)| (part.clone(), Some(entry.report(now, part))));
        released.chain(entries).collect()
    }

    /// Applies the report of another instance.
    pub fn merge(&mut self, now: Timestamp, report: PromptReport) {
        if report == PromptReport::default() {
            return;
        }
        for crash in report.crashes {
            let at = before(now, crash.age_ms);
            let CrashReport {
                process, prompts, ..
            } = crash;
            self.evidence.add_crash(now, process, at, prompts, false);
        }
        for sound in report.sound {
            let begun_at = before(now, sound.age_ms);
            self.evidence
                .add_sound_part(now, &sound.part, begun_at, false);
            self.evaluate_if_held(&sound.part);
        }
        for entry in report.quarantined {
            self.restore(now, entry);
        }
        self.update(now);
    }

    /// Adopts a quarantine of another instance or from the store.
    pub fn restore(&mut self, now: Timestamp, report: QuarantineReport) {
        let last_crash_at = before(now, report.age_ms);
        if self.evidence.is_sound(&report.part, last_crash_at) {
            // The sender learns it from the next reports.
            self.released.insert(report.part, now);
            return;
        }
        let is_new = !self.entries.contains_key(&report.part);
        let entry = self.entries.entry(report.part.clone()).or_insert(
            QuarantineEntry {
                crashes: report.crashes,
                last_crash_at,
                changed_at: now,
                doubt: None,
            },
        );
        let is_grown = report.crashes > entry.crashes;
        if is_grown {
            entry.crashes = report.crashes;
            entry.last_crash_at = entry.last_crash_at.max(last_crash_at);
            entry.changed_at = now;
        }
        if is_new || is_grown {
            self.changes.push(QuarantineChange::Quarantined(report));
        }
        self.bound_entries();
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Makes the next update evaluate the evidence if a part is in quarantine.
    fn evaluate_if_held(&mut self, part: &PartId) {
        if self.entries.contains_key(part) {
            self.evaluated = None;
        }
    }

    /// Brings the quarantine in line with the evidence.
    fn update(&mut self, now: Timestamp) {
        let version = self.evidence.version();
        if self.evaluated.is_some_and(|(evaluated, at)| {
            evaluated == version
                && now.since(at) < EVALUATION_INTERVAL
                && !self.evidence.has_settled(at, now)
        }) {
            return;
        }
        self.evaluated = Some((version, now));
        self.evidence.expire(now);
        self.released
            .retain(|_, at| now.since(*at) < TRIAL_INTERVAL);
        let culprits = self.evidence.culprits(now, self.entries.keys());
        for (part, times) in &culprits {
            self.add_crashes(now, part, times);
        }
        let evidence = &self.evidence;
        let changes = &mut self.changes;
        let released = &mut self.released;
        self.entries.retain(|part, entry| {
            let is_sound = evidence.is_sound(part, entry.last_crash_at);
            // All its crashes are explained by other parts.
            let is_explained = !culprits.contains_key(part)
                && evidence.crashes_with(part) >= entry.crashes as usize;
            let is_old = now.since(entry.last_crash_at) >= FORGET_TIME;
            let is_kept = !(is_sound || is_explained || is_old);
            if !is_kept {
                changes.push(QuarantineChange::Released(part.clone()));
                released.insert(part.clone(), now);
            }
            is_kept
        });
        self.trials.retain(|part, trial| {
            self.entries.contains_key(part) || now < trial.blocked_until
        });
        self.bound_entries();
    }

    /// Counts the crashes of a part that are newer than the last known one.
    fn add_crashes(
        &mut self,
        now: Timestamp,
        part: &PartId,
        times: &[Timestamp],
    ) {
        let known = self.entries.get(part).map(|it| it.last_crash_at);
        let new = times.iter().filter(|at| Some(**at) > known).count();
        let Some(last) = times.last().copied().filter(|_| new > 0) else {
            return;
        };
        let entry =
            self.entries.entry(part.clone()).or_insert(QuarantineEntry {
                crashes: 0,
                last_crash_at: last,
                changed_at: now,
                doubt: None,
            });
        entry.crashes += new as u32;
        entry.last_crash_at = last;
        entry.changed_at = now;
        let report = entry.report(now, part);
        self.changes.push(QuarantineChange::Quarantined(report));
    }

    /// Drops the quarantines with the oldest crashes above the bound.
    fn bound_entries(&mut self) {
        while self.released.len() > QUARANTINED_MAX {
            self.released.pop_first();
        }
        while self.trials.len() > QUARANTINED_MAX {
            self.trials.pop_first();
        }
        while self.entries.len() > QUARANTINED_MAX {
            let oldest =
                self.entries.iter().min_by_key(|(_, it)| it.last_crash_at);
            let Some(part) = oldest.map(|(part, _)| part.clone()) else {
                return;
            };
            self.entries.remove(&part);
            self.changes.push(QuarantineChange::Released(part));
        }
    }
}

/// Time that many milliseconds before `now`.
fn before(now: Timestamp, age_ms: u32) -> Timestamp {
    let age = Duration::from_millis(age_ms.into());
    now.before(age).unwrap_or(Timestamp::ZERO)
}

fn age_ms(now: Timestamp, at: Timestamp) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}
