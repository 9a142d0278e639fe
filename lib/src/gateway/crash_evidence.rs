//! Evidence on which content crashes engines and other upstreams.
//!
//! A request's content is known by ids: those of the shared parts of its prompt,
//! and those of the request itself ([`RequestContent`]), all called parts here.
//! An engine that crashes breaks off all its requests, and each instance sees
//! only those that it sent itself. The evidence is therefore merged over all
//! instances: for each crash, the requests that the engine had not answered yet
//! or had just begun to answer.
//!
//! [`RequestContent`]: super::request_content::RequestContent
//!
//! A part that crashes every engine that begins to answer it occurs in all
//! crashes that it causes, and never in an answer that goes on. A part that
//! was seen in such an answer is sound, which clears it of the crashes before.
//! Of the parts that remain, the one in the most crashes explains these, and
//! the next one is sought in the rest. So parts that only accompany a harmful
//! one are not blamed, and independent harmful parts are all found. A request that
//! comes again is blamed itself if it explains about as much as a part of it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{upstream_table::UpstreamProcess, wire::PartId};
use crate::{units::Timestamp, value_type};

/// Crashes that must have a part in common before it is blamed.
pub const CRASHES_MIN: usize = 3;
/// Attempts of callers among them, before a shared part is blamed. One attempt may
/// crash several engines, and another one that is retried with it crashes along;
/// for that the request is to blame, not what it shares with others.
pub const ATTEMPTS_MIN: usize = 2;
/// Time within which crashes of several engines count as one: engines that fall
/// together have a cause of their own, such as a failed host. A whole request is
/// rarely on many engines, so it counts for each of them if it was on all.
pub const COINCIDENCE_TIME: Duration = Duration::from_millis(100);
/// Time after which a crash counts: until then other instances report the
/// parts that they know to be sound.
pub const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time within which a part is not assumed to turn harmful: an answer that
/// began so shortly before a crash and went on still clears the part.
pub const ONSET_TIME: Duration = Duration::from_secs(2);
/// Time for which a crash is kept as evidence. Harmful prompts may be rare.
pub const EVIDENCE_TIME: Duration = Duration::from_secs(600);
/// Time for which a sound part is remembered that is in no crash.
const SOUND_TIME: Duration = Duration::from_secs(60);
/// Most crashes that are kept.
const CRASHES_MAX: usize = 64;
/// Most prompts that are kept of one crash.
const PROMPTS_MAX: usize = 16;
/// Time for which sound parts are remembered that are in no crash, when there are
/// too many: those of answers that clear a crash of this moment.
const SOUND_TIME_MIN: Duration = ONSET_TIME;
/// Most sound parts that are remembered.
const SOUND_PARTS_MAX: usize = 4_096;

value_type! {
    /// Shared parts of a prompt that an engine was about to answer.
    #[derive(Eq)]
    pub struct SuspectPrompt {
        /// Hash of the attempt's id.
        pub attempt: u64,
        /// Shared parts, in the order of the prompt.
        pub parts: Vec<PartId>,
    }
}

/// One crash, with the prompts that may have caused it.
#[derive(Clone, Debug)]
struct CrashRecord {
    at: Timestamp,
    /// Time at which this instance learned of the crash.
    learned_at: Timestamp,
    /// Parts of the prompts, by the hash of the attempt.
    prompts: BTreeMap<u64, Vec<PartId>>,
    /// Whether this instance saw the crash itself.
    seen_here: bool,
}

/// Last answer that shows a part to be sound.
#[derive(Clone, Copy, Debug)]
struct SoundAnswer {
    begun_at: Timestamp,
    /// Whether this instance forwarded the answer itself.
    seen_here: bool,
}

/// Crashes for which a part may be responsible.
#[derive(Clone, Debug, Default)]
struct PartSuspicion {
    /// Times of the crashes, without those that coincide with an earlier one.
    crashes: Vec<Timestamp>,
    attempts: BTreeSet<u64>,
    /// Position in the prompt; parts further back are shared by fewer prompts.
    position: usize,
}

/// Crashes and sound parts, merged over all instances.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<UpstreamProcess, CrashRecord>,
    sound: BTreeMap<PartId, SoundAnswer>,
    /// Number of changes of the evidence.
    version: u64,
}

impl CrashEvidence {
    /// Number that grows with each change of the evidence.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a crash began to count between two times.
    pub fn has_settled(&self, after: Timestamp, until: Timestamp) -> bool {
        self.crashes.values().any(|crash| {
            let settled_at = crash.learned_at.after(SETTLE_TIME);
            after < settled_at && settled_at <= until
        })
    }

    /// Whether a crash of the process is known.
    pub fn has_crash(&self, process: &UpstreamProcess) -> bool {
        self.crashes.contains_key(process)
    }

    /// Adds a crash, with the prompts that may have caused it, or to one that is
    /// known. `seen_here` says whether this instance saw the crash itself.
    pub fn add_crash(
        &mut self,
        now: Timestamp,
        process: UpstreamProcess,
        at: Timestamp,
        prompts: impl IntoIterator<Item = SuspectPrompt>,
        seen_here: bool,
    ) {
        self.expire(now);
        let process = self.known_process(process, at);
        if !self.crashes.contains_key(&process)
            && self.crashes.len() >= CRASHES_MAX
        {
            let oldest = self.crashes.iter().min_by_key(|(_, it)| it.at);
            let oldest = oldest.map(|(process, _)| process.clone());
            oldest.map(|process| self.crashes.remove(&process));
        }
        let crash =
            self.crashes.entry(process).or_insert_with(|| CrashRecord {
                at,
                learned_at: now,
                prompts: BTreeMap::new(),
                seen_here,
            });
        crash.seen_here |= seen_here;
        for prompt in prompts {
            let is_known = crash.prompts.contains_key(&prompt.attempt);
            if !is_known && crash.prompts.len() < PROMPTS_MAX {
                crash.prompts.insert(prompt.attempt, prompt.parts);
                self.version += 1;
            }
        }
    }

    /// The process under which a crash is kept. Where processes have no common
    /// number, instances name the same one differently, but an upstream crashes
    /// only once at a time.
    fn known_process(
        &self,
        process: UpstreamProcess,
        at: Timestamp,
    ) -> UpstreamProcess {
        let known = self.crashes.iter().find(|(known, crash)| {
            known.upstream == process.upstream && coincide(crash.at, at)
        });
        known.map_or(process, |(known, _)| known.clone())
    }

    /// Records that the answer to a prompt with this part went on after it had
    /// begun at `begun_at`.
    pub fn add_sound_part(
        &mut self,
        now: Timestamp,
        part: &PartId,
        begun_at: Timestamp,
        seen_here: bool,
    ) {
        let known_at = self.sound.get(part).map(|it| it.begun_at);
        if known_at >= Some(begun_at) {
            return;
        }
        if known_at.is_none() && self.sound.len() >= SOUND_PARTS_MAX {
            self.expire_sound(now, SOUND_TIME / 4);
            if self.sound.len() > SOUND_PARTS_MAX / 2 {
                self.expire_sound(now, SOUND_TIME_MIN);
            }
            if self.sound.len() >= SOUND_PARTS_MAX {
                return;
            }
        }
        let answer = SoundAnswer {
            begun_at,
            seen_here,
        };
        self.sound.insert(part.clone(), answer);
        // Most answers clear no further crash.
        let cleared_before = known_at.map(|at| at.after(ONSET_TIME));
        let clears = self.crashes.values().any(|crash| {
            Some(crash.at) > cleared_before
                && crash.at <= begun_at.after(ONSET_TIME)
                && crash.contains(part)
        });
        self.version += u64::from(clears);
    }

    /// Whether the part is known to be sound at the time of a crash.
    pub fn is_sound(&self, part: &PartId, crash_at: Timestamp) -> bool {
        self.sound
            .get(part)
            .is_some_and(|it| crash_at <= it.begun_at.after(ONSET_TIME))
    }

    /// Parts that are to blame, with the times of their crashes, oldest first.
    /// `known` are the parts that were blamed before; for them one more crash
    /// suffices.
    pub fn culprits(
        &self,
        now: Timestamp,
        known: impl Fn(&PartId) -> bool,
    ) -> BTreeMap<PartId, Vec<Timestamp>> {
        let mut unexplained = self.crashes_by_time();
        unexplained.retain(|it| now.since(it.learned_at) >= SETTLE_TIME);
        let mut culprits = BTreeMap::new();
        while let Some(part) = self.strongest_suspect(&unexplained, &known) {
            let (explained, rest): (Vec<_>, Vec<_>) = unexplained
                .into_iter()
                .partition(|crash| self.is_suspect(&part, crash));
            let times = self.distinct_times(&part, &explained);
            culprits.insert(part, times);
            unexplained = rest;
        }
        culprits
    }

    fn crashes_by_time(&self) -> Vec<&CrashRecord> {
        let mut crashes: Vec<_> = self.crashes.values().collect();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }

    /// The part in the most crashes. Of parts in about as many, the one
    /// furthest back in its prompts: the parts before it are shared by more
    /// prompts and occur in the same crashes.
    fn strongest_suspect(
        &self,
        crashes: &[&CrashRecord],
        known: &impl Fn(&PartId) -> bool,
    ) -> Option<PartId> {
        let mut suspects = self.suspicions(crashes);
        suspects.retain(|part, suspicion| {
            known(part)
                || (suspicion.crashes.len() >= CRASHES_MIN
                    && (part.is_request()
                        || suspicion.attempts.len() >= ATTEMPTS_MIN))
        });
        let most = suspects.values().map(|it| it.crashes.len()).max()?;
        let enough = most - (most / 4).max(1).min(most - 1);
        let found = suspects
            .iter()
            .filter(|(_, suspicion)| suspicion.crashes.len() >= enough)
            .max_by_key(|(_, suspicion)| {
                (suspicion.position, suspicion.crashes.len())
            });
        found.map(|(part, _)| (*part).clone())
    }

    /// Suspicions against all parts that are not known to be sound. `crashes` are
    /// in the order of their times.
    fn suspicions<'a>(
        &self,
        crashes: &[&'a CrashRecord],
    ) -> BTreeMap<&'a PartId, PartSuspicion> {
        let mut suspects = BTreeMap::<_, PartSuspicion>::new();
        for crash in crashes {
            let mut suspects_here = BTreeSet::new();
            for (attempt, parts) in &crash.prompts {
                for (position, part) in parts.iter().enumerate() {
                    if self.is_sound(part, crash.at) {
                        continue;
                    }
                    let suspicion = suspects.entry(part).or_default();
                    suspicion.attempts.insert(*attempt);
                    suspicion.position = suspicion.position.max(position);
                    suspects_here.insert(part);
                }
            }
            for part in suspects_here {
                let suspicion = suspects.entry(part).or_default();
                self.add_distinct(part, &mut suspicion.crashes, crash.at);
            }
        }
        suspects
    }

    /// Times of crashes, which are in their order, without those that do not
    /// count for a part since they coincide with an earlier one.
    fn distinct_times(
        &self,
        part: &PartId,
        crashes: &[&CrashRecord],
    ) -> Vec<Timestamp> {
        let mut times = Vec::new();
        for crash in crashes {
            self.add_distinct(part, &mut times, crash.at);
        }
        times
    }

    fn add_distinct(
        &self,
        part: &PartId,
        times: &mut Vec<Timestamp>,
        at: Timestamp,
    ) {
        let coincides = |last: &Timestamp| at.since(*last) < COINCIDENCE_TIME;
        let counts = !times.last().is_some_and(coincides)
            || (part.is_request() && self.was_on_all(part, at));
        if counts {
            times.push(at);
        }
    }

    /// Whether a part was on all engines that crashed at about this time.
    fn was_on_all(&self, part: &PartId, at: Timestamp) -> bool {
        let crashes = self.crashes.values();
        let mut crashes = crashes.filter(|crash| coincide(crash.at, at));
        crashes.all(|crash| self.is_suspect(part, crash))
    }

    fn is_suspect(&self, part: &PartId, crash: &CrashRecord) -> bool {
        crash.contains(part) && !self.is_sound(part, crash.at)
    }

    /// Number of crashes for which a part may be responsible.
    pub fn crashes_with(&self, part: &PartId) -> usize {
        let mut crashes = self.crashes_by_time();
        crashes.retain(|crash| self.is_suspect(part, crash));
        self.distinct_times(part, &crashes).len()
    }

    /// Crashes that this instance saw itself and learned of after `since`,
    /// newest first, with the parts that are not known to be sound.
    pub fn seen_crashes(
        &self,
        since: Timestamp,
    ) -> Vec<(&UpstreamProcess, Timestamp, Vec<SuspectPrompt>)> {
        let crashes = self.crashes.iter();
        let seen =
            crashes.filter(|(_, it)| it.seen_here && it.learned_at >= since);
        let mut seen: Vec<_> = seen
            .map(|(process, crash)| {
                (process, crash.at, self.suspect_prompts(crash))
            })
            .collect();
        seen.sort_by_key(|(_, at, _)| Reverse(*at));
        seen
    }

    /// Prompts of a crash without the parts that are known to be sound.
    fn suspect_prompts(&self, crash: &CrashRecord) -> Vec<SuspectPrompt> {
        let prompts = crash.prompts.iter().map(|(attempt, parts)| {
            let parts = parts.iter();
            let suspects = parts.filter(|it| !self.is_sound(it, crash.at));
            SuspectPrompt {
                attempt: *attempt,
                parts: suspects.cloned().collect(),
            }
        });
        prompts.filter(|it| !it.parts.is_empty()).collect()
    }

    /// Those of `others` and of the parts in crashes that this instance knows
    /// to be sound from its own answers, with the time at which the last answer
    /// began. Leaves out requests in a single crash, which nobody blames.
    pub fn seen_sound_parts<'a>(
        &'a self,
        others: impl Iterator<Item = &'a PartId>,
    ) -> BTreeMap<&'a PartId, Timestamp> {
        let mut crashes = BTreeMap::<_, usize>::new();
        for crash in self.crashes.values() {
            let parts = crash.prompts.values().flatten();
            for part in parts.collect::<BTreeSet<_>>() {
                *crashes.entry(part).or_default() += 1;
            }
        }
        let parts = crashes
            .into_iter()
            .filter(|(part, crashes)| !part.is_request() || *crashes > 1);
        parts
            .map(|(part, _)| part)
            .chain(others)
            .filter_map(|part| {
                let answer = self.sound.get(part)?;
                answer.seen_here.then_some((part, answer.begun_at))
            })
            .collect()
    }

    /// Drops old crashes and sound parts.
    pub fn expire(&mut self, now: Timestamp) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < EVIDENCE_TIME);
        if self.crashes.is_empty() || self.sound.len() > SOUND_PARTS_MAX / 2 {
            self.expire_sound(now, SOUND_TIME);
        }
    }

    /// Drops sound parts that are older and in no crash.
    fn expire_sound(&mut self, now: Timestamp, age: Duration) {
        let crashes = self.crashes.values();
        let in_crash: BTreeSet<_> = crashes
            .flat_map(|it| it.prompts.values().flatten())
            .collect();
        self.sound.retain(|part, answer| {
            now.since(answer.begun_at) < age || in_crash.contains(part)
        });
    }
}

fn coincide(one: Timestamp, other: Timestamp) -> bool {
    one.since(other).max(other.since(one)) < COINCIDENCE_TIME
}

impl CrashRecord {
    fn contains(&self, part: &PartId) -> bool {
        self.prompts.values().any(|parts| parts.contains(part))
    }
}
