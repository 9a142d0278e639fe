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
//! An earlier answer does not clear it, since a part may turn harmful, but makes it
//! less suspect than a part in as many crashes without an answer or with an older
//! one. Of the parts that remain, the one in the most crashes explains these, and
//! the next one is sought in the rest. So parts that only accompany a harmful
//! one are not blamed, and independent harmful parts are all found. A request that
//! comes again is blamed itself if it explains about as much as a part of it.
//!
//! A prompt may have thousands of parts, and the harmful one may stand anywhere.
//! So no request is cut off: what is bounded is the memory for all requests
//! ([`SIGHTINGS_MAX`], [`SOUND_PARTS_MAX`]) and the size of a report. What does not
//! fit in a report goes into the next ones.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use self::part_table::{CrashNumber, PartSighting, PartTable, SuspectPart};
use super::{upstream_table::UpstreamProcess, wire::PartId};
use crate::{units::Timestamp, value_type};

pub use self::blame_doubt::BlameDoubt;

mod blame_doubt;
mod part_table;

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
/// Time for which a crash is reported to other instances; several heartbeats
/// may be lost.
pub const REPORT_TIME: Duration = Duration::from_secs(3);
/// Time for which a sound part is remembered that is in no crash.
const SOUND_TIME: Duration = Duration::from_secs(60);
/// Most crashes that are kept.
const CRASHES_MAX: usize = 64;
/// Most occurrences of parts in crashes that are kept, each part counted once a
/// crash; about 190 bytes each. Above it the oldest crashes are dropped. The
/// prompts on one engine share its memory of some 315,000 tokens, so that parts of
/// 20 tokens or more leave room for eight crashes even if no two are alike.
pub const SIGHTINGS_MAX: usize = 131_072;
/// Most sound parts in no crash that are remembered, about 120 bytes each. Above
/// it the older half is dropped.
pub const SOUND_PARTS_MAX: usize = 32_768;
/// Most parts of prompts that wait for their report to other instances, for at
/// most [`REPORT_TIME`]. A further prompt is evidence on this instance only.
const UNREPORTED_PARTS_MAX: usize = 131_072;
/// Most bytes of crashes in one report, so that a whole report takes at most 45 KiB
/// of a datagram's 60 KiB.
const CRASHES_MAX_BYTES: usize = 32 << 10;
/// Most bytes of a prompt in one report; a longer one is spread over several. Leaves
/// room for the processes of [`CRASHES_MAX`] crashes.
const PROMPT_MAX_BYTES: usize = 20 << 10;
/// Most bytes of sound parts in one report.
const SOUND_MAX_BYTES: usize = 8 << 10;
/// Reports, of any instance, after which a sound part is known to all.
const SOUND_REPORTS_MIN: u32 = 3;
/// Most sound parts in a report that were in so many before.
const REPEATED_SOUND_MAX: usize = 32;

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

/// One crash.
#[derive(Clone, Debug)]
struct CrashRecord {
    process: UpstreamProcess,
    at: Timestamp,
    /// Time at which this instance learned of the crash.
    learned_at: Timestamp,
    /// Prompts that this instance reports, by the hash of the attempt.
    prompts: BTreeMap<u64, ReportedPrompt>,
    /// Whether this instance saw the crash itself.
    seen_here: bool,
}

/// A prompt that this instance had sent to an engine that crashed.
#[derive(Clone, Debug)]
struct ReportedPrompt {
    /// Parts that were not known to be sound.
    parts: Vec<PartId>,
    added_at: Timestamp,
    /// Reports that had the prompt, or a piece of it.
    reports: usize,
}

/// Crashes for which a part may be responsible.
#[derive(Clone, Debug)]
struct PartSuspicion {
    /// Times of the crashes, without those that coincide with an earlier one.
    crashes: Vec<Timestamp>,
    has_several_attempts: bool,
    /// Begin of the last answer that went on, before the crashes.
    last_answer_at: Option<Timestamp>,
    /// Position in the prompt; parts further back are shared by fewer prompts.
    position: usize,
}

impl PartSuspicion {
    /// Order of parts in about as many crashes, the most suspect part last. Where
    /// the answers say nothing, parts at the front of a prompt are shared by more
    /// prompts and so are in the same crashes by accident.
    fn rank(&self) -> (Reverse<Option<Timestamp>>, usize, usize) {
        let Self {
            crashes,
            last_answer_at,
            position,
            ..
        } = self;
        (Reverse(*last_answer_at), *position, crashes.len())
    }
}

/// A part that may be blamed.
type Candidate<'a> = (&'a PartId, &'a SuspectPart);

/// Crashes of which other instances should learn.
#[derive(Clone, Debug, Default)]
pub struct CrashesToReport {
    /// Processes that crashed, the time, and prompts that may have caused it, the
    /// newest first.
    pub crashes: Vec<(UpstreamProcess, Timestamp, Vec<SuspectPrompt>)>,
    /// Whether some prompts did not fit that were never reported.
    pub is_partial: bool,
}

/// Sound parts of which other instances should learn.
#[derive(Clone, Debug, Default)]
pub struct SoundToReport {
    /// Parts, with the time at which the last answer began.
    pub parts: Vec<(PartId, Timestamp)>,
    /// Whether some parts did not fit that were never reported.
    pub is_partial: bool,
}

/// Crashes and sound parts, merged over all instances.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<CrashNumber, CrashRecord>,
    /// Number of the newest crash.
    last_crash: CrashNumber,
    parts: PartTable,
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
        self.crashes.values().any(|it| it.process == *process)
    }

    /// Number of entries for parts: occurrences in crashes, and sound parts.
    pub fn part_entries(&self) -> (usize, usize) {
        (self.parts.sighting_count(), self.parts.sound_count())
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
        let number = self
            .known_crash(&process, at)
            .unwrap_or_else(|| self.insert_crash(now, process, at));
        if let Some(crash) = self.crashes.get_mut(&number) {
            crash.seen_here |= seen_here;
        }
        for prompt in prompts {
            self.add_prompt(number, &prompt);
            if seen_here {
                self.keep_for_report(now, number, prompt);
            }
        }
    }

    /// The crash of a process, if it is known. Where processes have no common
    /// number, instances name the same one differently, but an upstream crashes
    /// only once at a time.
    fn known_crash(
        &self,
        process: &UpstreamProcess,
        at: Timestamp,
    ) -> Option<CrashNumber> {
        let known = self.crashes.iter().find(|(_, crash)| {
            crash.process == *process
                || (crash.process.upstream == process.upstream
                    && coincide(crash.at, at))
        });
        known.map(|(number, _)| *number)
    }

    fn insert_crash(
        &mut self,
        now: Timestamp,
        process: UpstreamProcess,
        at: Timestamp,
    ) -> CrashNumber {
        if self.crashes.len() >= CRASHES_MAX {
            self.remove_oldest();
        }
        self.last_crash = self.last_crash.next();
        let crash = CrashRecord {
            process,
            at,
            learned_at: now,
            prompts: BTreeMap::new(),
            seen_here: false,
        };
        self.crashes.insert(self.last_crash, crash);
        self.last_crash
    }

    /// Adds the parts of a prompt to a crash, within the bound of the memory.
    fn add_prompt(&mut self, number: CrashNumber, prompt: &SuspectPrompt) {
        while self.parts.sighting_count() + prompt.parts.len() > SIGHTINGS_MAX
            && self.crashes.len() > 1
            && self.crashes.contains_key(&number)
        {
            self.remove_oldest();
        }
        let Some(crash) = self.crashes.get(&number) else {
            return;
        };
        if self.parts.sighting_count() + prompt.parts.len() > SIGHTINGS_MAX {
            return;
        }
        let mut is_new = false;
        for (position, part) in prompt.parts.iter().enumerate() {
            let sighting = PartSighting {
                crash: number,
                crash_at: crash.at,
                attempt: prompt.attempt,
                has_others: false,
                position,
            };
            is_new |= self.parts.add_sighting(part, sighting);
        }
        self.version += u64::from(is_new);
    }

    /// Keeps a prompt until it was reported to the other instances.
    fn keep_for_report(
        &mut self,
        now: Timestamp,
        number: CrashNumber,
        prompt: SuspectPrompt,
    ) {
        let crashes = self.crashes.values();
        let kept = crashes.flat_map(|it| it.prompts.values());
        let kept: usize = kept.map(|it| it.parts.len() + 1).sum();
        let Some(crash) = self.crashes.get_mut(&number) else {
            return;
        };
        if kept + prompt.parts.len() >= UNREPORTED_PARTS_MAX
            || crash.prompts.contains_key(&prompt.attempt)
        {
            return;
        }
        let mut parts = prompt.parts;
        parts.retain(|part| !self.parts.is_sound(part, crash.at));
        let prompt_kept = ReportedPrompt {
            parts,
            added_at: now,
            reports: 0,
        };
        crash.prompts.insert(prompt.attempt, prompt_kept);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, it)| it.at);
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.remove_crash(number);
        }
    }

    fn remove_crash(&mut self, number: CrashNumber) {
        self.crashes.remove(&number);
        self.parts.remove_crash(number);
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
        // Most answers clear no further crash.
        let clears = self.parts.add_sound(now, part, begun_at, seen_here);
        self.version += u64::from(clears);
    }

    /// Whether the part is known to be sound at the time of a crash.
    pub fn is_sound(&self, part: &PartId, crash_at: Timestamp) -> bool {
        self.parts.is_sound(part, crash_at)
    }

    /// Parts that are to blame, with the times of their crashes, oldest first.
    /// `known` are the parts that were blamed before; for them one more crash
    /// suffices.
    pub fn culprits<'a>(
        &'a self,
        now: Timestamp,
        known: impl Iterator<Item = &'a PartId>,
    ) -> BTreeMap<PartId, Vec<Timestamp>> {
        let settled = self
            .crashes
            .iter()
            .filter(|(_, crash)| now.since(crash.learned_at) >= SETTLE_TIME);
        let mut unexplained: BTreeSet<_> =
            settled.map(|(number, _)| *number).collect();
        let known: BTreeSet<_> = known.collect();
        let mut candidates: Vec<Candidate<'_>> = match unexplained.is_empty() {
            true => Vec::new(),
            false => self
                .parts
                .suspects()
                .filter(|(part, suspect)| {
                    suspect.crash_count() >= CRASHES_MIN || known.contains(part)
                })
                .collect(),
        };
        let mut culprits = BTreeMap::new();
        while let Some((part, suspect, suspicion)) =
            self.strongest_suspect(&candidates, &unexplained, &known)
        {
            culprits.insert(part.clone(), suspicion.crashes);
            for sighting in suspect.suspicious() {
                unexplained.remove(&sighting.crash);
            }
            candidates.retain(|(other, _)| *other != part);
        }
        culprits
    }

    /// The part in the most crashes. Of parts in about as many, the one with the
    /// highest [`PartSuspicion::rank`].
    fn strongest_suspect<'a>(
        &self,
        candidates: &[Candidate<'a>],
        unexplained: &BTreeSet<CrashNumber>,
        known: &BTreeSet<&PartId>,
    ) -> Option<(&'a PartId, &'a SuspectPart, PartSuspicion)> {
        let suspects = candidates.iter().filter_map(|(part, suspect)| {
            let suspicion = self.suspicion(part, suspect, unexplained)?;
            let is_blamed = known.contains(part)
                || (suspicion.crashes.len() >= CRASHES_MIN
                    && (part.is_request() || suspicion.has_several_attempts));
            is_blamed.then_some((*part, *suspect, suspicion))
        });
        let suspects: Vec<_> = suspects.collect();
        let most = suspects.iter().map(|(.., it)| it.crashes.len()).max()?;
        let enough = about_as_many(most);
        suspects
            .into_iter()
            .filter(|(.., suspicion)| suspicion.crashes.len() >= enough)
            .max_by_key(|(.., suspicion)| suspicion.rank())
    }

    /// Suspicion against a part for some of the crashes; `None` if it is in none of
    /// them or known to be sound.
    fn suspicion(
        &self,
        part: &PartId,
        suspect: &SuspectPart,
        unexplained: &BTreeSet<CrashNumber>,
    ) -> Option<PartSuspicion> {
        let sightings: Vec<_> = suspect
            .suspicious()
            .filter(|it| unexplained.contains(&it.crash))
            .collect();
        let first = sightings.first()?;
        let is_other =
            |it: &&PartSighting| it.has_others || it.attempt != first.attempt;
        let positions = sightings.iter().map(|it| it.position);
        Some(PartSuspicion {
            has_several_attempts: sightings
                .iter()
                .copied()
                .any(|it| is_other(&it)),
            last_answer_at: suspect.last_answer_at(),
            position: positions.max().unwrap_or_default(),
            crashes: self.distinct_times(part, suspect, &sightings),
        })
    }

    /// Times of crashes, which are in their order, without those that do not
    /// count for a part since they coincide with an earlier one.
    fn distinct_times(
        &self,
        part: &PartId,
        suspect: &SuspectPart,
        sightings: &[&PartSighting],
    ) -> Vec<Timestamp> {
        let mut times = Vec::<Timestamp>::new();
        for at in sightings.iter().map(|it| it.crash_at) {
            let coincides =
                |last: &Timestamp| at.since(*last) < COINCIDENCE_TIME;
            let counts = !times.last().is_some_and(coincides)
                || (part.is_request() && self.was_on_all(suspect, at));
            if counts {
                times.push(at);
            }
        }
        times
    }

    /// Whether a part was on all engines that crashed at about this time.
    fn was_on_all(&self, suspect: &SuspectPart, at: Timestamp) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.all(|(number, crash)| {
            !coincide(crash.at, at) || suspect.may_have_caused(*number)
        })
    }

    /// Number of crashes for which a part may be responsible.
    pub fn crashes_with(&self, part: &PartId) -> usize {
        let Some(suspect) = self.parts.suspect(part) else {
            return 0;
        };
        let sightings: Vec<_> = suspect.suspicious().collect();
        self.distinct_times(part, suspect, &sightings).len()
    }

    /// Crashes that this instance saw itself in the last [`REPORT_TIME`], with the
    /// parts that are not known to be sound, as many as fit in a report. Those
    /// that were reported least often come first.
    pub fn take_crashes_to_report(
        &mut self,
        now: Timestamp,
    ) -> CrashesToReport {
        self.drop_reported(now);
        // Crashes without a suspect show that others coincide with them.
        let recent = self.crashes.iter().filter(|(_, it)| {
            it.seen_here
                && (now.since(it.learned_at) <= REPORT_TIME
                    || !it.prompts.is_empty())
        });
        let mut heads: Vec<_> = recent
            .map(|(number, it)| (Reverse(it.at), *number))
            .collect();
        heads.sort_unstable();
        let mut due = Vec::new();
        for (at, number) in &heads {
            let prompts = self.crashes[number].prompts.iter();
            due.extend(prompts.map(|(attempt, prompt)| {
                (prompt.reports, *at, *number, *attempt)
            }));
        }
        due.sort_unstable();
        let crashes = heads.iter().map(|(_, number)| {
            let process = &self.crashes[number].process;
            CRASH_HEAD_BYTES + process.upstream.as_str().len()
        });
        let heads_size: usize = crashes.sum();
        let mut left = CRASHES_MAX_BYTES.saturating_sub(heads_size);
        let mut is_partial = false;
        let mut reported = BTreeMap::<CrashNumber, Vec<SuspectPrompt>>::new();
        let Self { crashes, parts, .. } = self;
        for (_, _, number, attempt) in due {
            let Some(crash) = crashes.get_mut(&number) else {
                continue;
            };
            let at = crash.at;
            let Some(prompt) = crash.prompts.get_mut(&attempt) else {
                continue;
            };
            if left < PROMPT_HEAD_BYTES {
                is_partial |= prompt.reports == 0;
                continue;
            }
            prompt.parts.retain(|part| !parts.is_sound(part, at));
            let pieces = pieces(&prompt.parts);
            let Some(piece) = pieces.get(prompt.reports % pieces.len().max(1))
            else {
                // All its parts are known to be sound.
                prompt.reports += 1;
                continue;
            };
            let size = PROMPT_HEAD_BYTES
                + piece.iter().map(encoded_size).sum::<usize>();
            if size > left {
                is_partial |= prompt.reports < pieces.len();
                continue;
            }
            left -= size;
            let suspect = SuspectPrompt {
                attempt,
                parts: piece.to_vec(),
            };
            prompt.reports += 1;
            is_partial |= prompt.reports < pieces.len();
            reported.entry(number).or_default().push(suspect);
        }
        let crashes = heads.into_iter().map(|(_, number)| {
            let crash = &self.crashes[&number];
            let prompts = reported.remove(&number).unwrap_or_default();
            (crash.process.clone(), crash.at, prompts)
        });
        CrashesToReport {
            crashes: crashes.collect(),
            is_partial,
        }
    }

    /// Those of `others` and of the parts in crashes that this instance knows
    /// to be sound from its own answers, as many as fit in a report. Leaves out
    /// requests in a single crash, which nobody blames.
    pub fn take_sound_to_report<'a>(
        &mut self,
        others: impl Iterator<Item = &'a PartId>,
    ) -> SoundToReport {
        let suspects = self.parts.suspects();
        let suspects = suspects.filter(|(part, suspect)| {
            !part.is_request() || suspect.crash_count() > 1
        });
        let suspects = suspects.filter_map(|(part, suspect)| {
            Some((part, suspect.answer_seen_here()?))
        });
        let others = others.filter_map(|part| {
            let answer = self.parts.answer(part)?;
            answer.seen_here.then_some((part, answer))
        });
        let mut due: Vec<_> = suspects
            .chain(others)
            .map(|(part, answer)| (answer.reports, part, answer.begun_at))
            .collect();
        due.sort_unstable();
        due.dedup_by_key(|(_, part, _)| *part);
        let mut left = SOUND_MAX_BYTES;
        let mut report = SoundToReport::default();
        for (reports, part, begun_at) in due {
            let is_known = reports >= SOUND_REPORTS_MIN;
            if is_known && report.parts.len() >= REPEATED_SOUND_MAX {
                break;
            }
            let size = encoded_size(part) + AGE_BYTES;
            if size > left {
                report.is_partial = reports == 0;
                break;
            }
            left -= size;
            report.parts.push((part.clone(), begun_at));
        }
        for (part, _) in &report.parts {
            self.parts.count_report(part);
        }
        report
    }

    /// Drops old crashes and sound parts.
    pub fn expire(&mut self, now: Timestamp) {
        let old = self
            .crashes
            .iter()
            .filter(|(_, crash)| now.since(crash.at) >= EVIDENCE_TIME);
        let old: Vec<_> = old.map(|(number, _)| *number).collect();
        for number in old {
            self.remove_crash(number);
        }
        self.drop_reported(now);
        if self.crashes.is_empty()
            || self.parts.sound_count() > SOUND_PARTS_MAX / 2
        {
            self.parts.expire_sound(now, SOUND_TIME);
        }
    }

    /// Drops the prompts that were reported for [`REPORT_TIME`].
    fn drop_reported(&mut self, now: Timestamp) {
        for crash in self.crashes.values_mut() {
            crash
                .prompts
                .retain(|_, it| now.since(it.added_at) <= REPORT_TIME);
        }
    }
}

/// Bytes of a crash in a report beside the upstream's id and the prompts.
const CRASH_HEAD_BYTES: usize = 28;
/// Bytes of a prompt in a report beside its parts.
const PROMPT_HEAD_BYTES: usize = 16;
/// Bytes of an age in a report.
const AGE_BYTES: usize = 4;

/// Bytes of a part in a report: a length and the text.
fn encoded_size(part: &PartId) -> usize {
    8 + part.as_str().len()
}

/// Pieces of a prompt that fit in one report each.
fn pieces(parts: &[PartId]) -> Vec<&[PartId]> {
    let mut size = parts.first().map_or(0, encoded_size);
    let pieces = parts.chunk_by(|_, next| {
        let next_size = encoded_size(next);
        let fits = size + next_size <= PROMPT_MAX_BYTES;
        size = if fits { size + next_size } else { next_size };
        fits
    });
    pieces.collect()
}

/// Fewest crashes that count as about as many as `most`: one may have another
/// cause, and a report may be lost.
fn about_as_many(most: usize) -> usize {
    most - (most / 4).max(1).min(most.saturating_sub(1))
}

fn coincide(one: Timestamp, other: Timestamp) -> bool {
    one.since(other).max(other.since(one)) < COINCIDENCE_TIME
}
