//! What is known of each part: the crashes whose prompts had it, and the last
//! answer that shows it to be sound.
//!
//! A part is stored once for each crash, however many requests with it the engine
//! had not answered, so that memory depends on the different parts and not on the
//! number of requests. The bounds hold for all requests together, so that no part
//! is left out because of its place in one of them.

use std::{collections::BTreeMap, time::Duration};

use super::{ONSET_TIME, SOUND_PARTS_MAX, SOUND_TIME};
use crate::{gateway::wire::PartId, units::Timestamp};

/// Number of a crash, in the order in which this instance learned of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CrashNumber(u64);

impl CrashNumber {
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Occurrence of a part in the prompts of one crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartSighting {
    pub(super) crash: CrashNumber,
    pub(super) crash_at: Timestamp,
    /// Hash of one attempt whose prompt has the part.
    pub(super) attempt: u64,
    /// Whether the prompts of other attempts have it too.
    pub(super) has_others: bool,
    /// Position in the prompt, the furthest back of several.
    pub(super) position: usize,
}

/// Last answer that shows a part to be sound.
#[derive(Clone, Copy, Debug)]
pub(super) struct SoundAnswer {
    pub(super) begun_at: Timestamp,
    /// Whether this instance forwarded the answer itself.
    pub(super) seen_here: bool,
    /// Reports, of any instance, that named the part after its last crash.
    pub(super) reports: u32,
}

impl SoundAnswer {
    fn clears(&self, crash_at: Timestamp) -> bool {
        crash_at <= self.begun_at.after(ONSET_TIME)
    }
}

/// A part of prompts that were on engines which crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectPart {
    /// Its crashes, oldest first.
    sightings: Vec<PartSighting>,
    sound: Option<SoundAnswer>,
}

impl SuspectPart {
    /// Number of crashes, also those of which the part is cleared.
    pub(super) fn crash_count(&self) -> usize {
        self.sightings.len()
    }

    /// Crashes for which the part may be responsible, oldest first.
    pub(super) fn suspicious(&self) -> impl Iterator<Item = &PartSighting> {
        let cleared_until = self.sound.map(|it| it.begun_at.after(ONSET_TIME));
        self.sightings
            .iter()
            .filter(move |it| Some(it.crash_at) > cleared_until)
    }

    /// Whether the part may be responsible for a crash.
    pub(super) fn may_have_caused(&self, crash: CrashNumber) -> bool {
        self.suspicious().any(|it| it.crash == crash)
    }

    /// Begin of the last answer with the part.
    pub(super) fn last_answer_at(&self) -> Option<Timestamp> {
        self.sound.map(|answer| answer.begun_at)
    }

    /// Last answer with the part, if this instance forwarded it.
    pub(super) fn answer_seen_here(&self) -> Option<&SoundAnswer> {
        self.sound.as_ref().filter(|it| it.seen_here)
    }
}

/// All parts that are remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct PartTable {
    /// Parts in crashes.
    suspects: BTreeMap<PartId, SuspectPart>,
    /// Sound parts in no crash.
    sound: BTreeMap<PartId, SoundAnswer>,
    /// Sightings of all suspects.
    sightings: usize,
}

impl PartTable {
    pub(super) fn suspects(
        &self,
    ) -> impl Iterator<Item = (&PartId, &SuspectPart)> {
        self.suspects.iter()
    }

    pub(super) fn suspect(&self, part: &PartId) -> Option<&SuspectPart> {
        self.suspects.get(part)
    }

    /// Sightings of all parts in all crashes.
    pub(super) fn sighting_count(&self) -> usize {
        self.sightings
    }

    /// Parts that are remembered as sound and are in no crash.
    pub(super) fn sound_count(&self) -> usize {
        self.sound.len()
    }

    /// Adds the occurrence of a part in the prompt of one attempt; returns whether
    /// it says anything new.
    pub(super) fn add_sighting(
        &mut self,
        part: &PartId,
        new: PartSighting,
    ) -> bool {
        if !self.suspects.contains_key(part) {
            let suspect = SuspectPart {
                sightings: Vec::with_capacity(1),
                sound: self.sound.remove(part),
            };
            self.suspects.insert(part.clone(), suspect);
        }
        let suspect =
            self.suspects.get_mut(part).expect("the part was inserted");
        let sightings = &mut suspect.sightings;
        if let Some(known) =
            sightings.iter_mut().find(|it| it.crash == new.crash)
        {
            let is_other = known.attempt != new.attempt && !known.has_others;
            let is_further = new.position > known.position;
            known.has_others |= is_other;
            known.position = known.position.max(new.position);
            return is_other || is_further;
        }
        let index = sightings.partition_point(|it| it.crash_at <= new.crash_at);
        sightings.insert(index, new);
        self.sightings += 1;
        if let Some(answer) = &mut suspect.sound {
            answer.reports = 0;
        }
        true
    }

    /// Removes a crash from all parts.
    pub(super) fn remove_crash(&mut self, crash: CrashNumber) {
        let Self {
            suspects,
            sound,
            sightings,
        } = self;
        suspects.retain(|part, suspect| {
            let before = suspect.sightings.len();
            suspect.sightings.retain(|it| it.crash != crash);
            *sightings -= before - suspect.sightings.len();
            let is_kept = !suspect.sightings.is_empty();
            if let (false, Some(answer)) = (is_kept, suspect.sound) {
                sound.insert(part.clone(), answer);
            }
            is_kept
        });
    }

    /// Records an answer that shows a part to be sound; returns whether it clears
    /// the part of a further crash.
    pub(super) fn add_sound(
        &mut self,
        now: Timestamp,
        part: &PartId,
        begun_at: Timestamp,
        seen_here: bool,
    ) -> bool {
        let answer = SoundAnswer {
            begun_at,
            seen_here,
            reports: u32::from(!seen_here),
        };
        if let Some(suspect) = self.suspects.get_mut(part) {
            return suspect.add_answer(answer);
        }
        if let Some(known) = self.sound.get_mut(part) {
            if known.begun_at < begun_at {
                *known = answer;
            }
            return false;
        }
        if self.sound.len() >= SOUND_PARTS_MAX {
            self.make_room(now);
        }
        self.sound.insert(part.clone(), answer);
        false
    }

    /// Whether a part is known to be sound at the time of a crash.
    pub(super) fn is_sound(&self, part: &PartId, crash_at: Timestamp) -> bool {
        self.answer(part).is_some_and(|it| it.clears(crash_at))
    }

    /// Last answer with a part.
    pub(super) fn answer(&self, part: &PartId) -> Option<&SoundAnswer> {
        match self.suspects.get(part) {
            Some(suspect) => suspect.sound.as_ref(),
            None => self.sound.get(part),
        }
    }

    /// Counts a report that names a part as sound.
    pub(super) fn count_report(&mut self, part: &PartId) {
        let answer = match self.suspects.get_mut(part) {
            Some(suspect) => suspect.sound.as_mut(),
            None => self.sound.get_mut(part),
        };
        if let Some(answer) = answer {
            answer.reports = answer.reports.saturating_add(1);
        }
    }

    /// Drops sound parts that are older and in no crash.
    pub(super) fn expire_sound(&mut self, now: Timestamp, age: Duration) {
        self.sound
            .retain(|_, answer| now.since(answer.begun_at) < age);
    }

    /// Drops at least half of the sound parts in no crash, the oldest ones. Half of
    /// them at once, so that the cost is spread over many answers.
    fn make_room(&mut self, now: Timestamp) {
        self.expire_sound(now, SOUND_TIME);
        if self.sound.len() <= SOUND_PARTS_MAX / 2 {
            return;
        }
        let mut times: Vec<_> =
            self.sound.values().map(|it| it.begun_at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.sound.retain(|_, answer| answer.begun_at > median);
    }
}

impl SuspectPart {
    /// Adds an answer with the part; returns whether it clears the part of a
    /// further crash.
    fn add_answer(&mut self, mut answer: SoundAnswer) -> bool {
        let Some(known) = &mut self.sound else {
            let is_first = self.sightings.first();
            let clears = is_first.is_some_and(|it| answer.clears(it.crash_at));
            self.sound = Some(answer);
            return clears;
        };
        if known.begun_at >= answer.begun_at {
            let last = self.sightings.last();
            if last.is_some_and(|it| answer.clears(it.crash_at)) {
                known.reports = known.reports.saturating_add(answer.reports);
            }
            return false;
        }
        let clears = self
            .sightings
            .iter()
            .any(|it| !known.clears(it.crash_at) && answer.clears(it.crash_at));
        if !clears {
            answer.reports = answer.reports.saturating_add(known.reports);
        }
        *known = answer;
        clears
    }
}
