//! Decisions on prompts that crash engines.

use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::GatewayCore;
use crate::{
    gateway::{
        crash_evidence::SuspectPrompt,
        prompt_quarantine::{
            DueTrial, QuarantineChange, QuarantineReport, QuarantinedPrompt,
            TrialAnswer, TrialGrant,
        },
        upstream_table::UpstreamProcess,
        wire::PartId,
    },
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};

/// A prompt that must not be sent, unless a trial is granted.
#[derive(Clone, Debug)]
pub struct HeldPrompt {
    /// Refusal if no trial is granted.
    pub refusal: Refusal,
    /// Trials to ask their owners for; empty if none is due.
    pub due_trials: Vec<DueTrial>,
}

impl GatewayCore {
    /// Whether a prompt with these shared parts may be sent to an engine now, and
    /// under which trial if some are in quarantine.
    pub fn check_prompt(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
    ) -> Result<Option<TrialGrant>, HeldPrompt> {
        if parts.is_empty() {
            return Ok(None);
        }
        let mut quarantine = std::mem::take(&mut self.quarantine);
        let checked =
            quarantine.check(now, parts, |part| self.owns_part(now, part));
        self.quarantine = quarantine;
        checked.map_err(|found| HeldPrompt {
            refusal: self.quarantine_refusal(&found),
            due_trials: found.due_trials,
        })
    }

    /// Refusal of a prompt that passed [`Self::check_prompt`] and must no longer
    /// wait for an answer, since one of its parts is in quarantine by now; `None`
    /// if none is, apart from those on trial.
    pub fn held_prompt_refusal(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
        grant: Option<&TrialGrant>,
    ) -> Option<Refusal> {
        let found = self.quarantine.find_held(now, parts, grant)?;
        Some(self.quarantine_refusal(&found))
    }

    /// Whether this instance makes the trials of a part and keeps its record in
    /// the store.
    pub fn owns_part(&self, now: Timestamp, part: &PartId) -> bool {
        self.part_owner(now, part) == self.settings.ip
    }

    /// Instance that makes the trials of a part: of all serving ones the first
    /// in an order that depends on the part.
    pub fn part_owner(&self, now: Timestamp, part: &PartId) -> IpAddr {
        let rank = |ip: &IpAddr| {
            let seed = xxh3_64_with_seed(part.as_str().as_bytes(), 0);
            let rank = xxh3_64_with_seed(ip.to_string().as_bytes(), seed);
            (rank, *ip != self.settings.ip)
        };
        let others = self.members.serving(now, &self.settings.failure_domain);
        let instances = others.into_iter().chain([self.settings.ip]);
        instances
            .min_by_key(rank)
            .expect("this instance is among them")
    }

    /// Answers an instance that asks for a trial.
    pub fn grant_trial(
        &mut self,
        now: Timestamp,
        trial: &DueTrial,
    ) -> TrialAnswer {
        self.quarantine.grant_trial(now, trial)
    }

    /// Begins trials that other instances have granted.
    pub fn begin_trials(
        &mut self,
        now: Timestamp,
        trials: &[DueTrial],
    ) -> TrialGrant {
        self.quarantine.begin_trials(now, trials)
    }

    /// Returns a permission whose request was not run.
    pub fn return_trial(&mut self, grant: &TrialGrant) {
        self.quarantine.return_trial(grant);
    }

    /// Records that a trial was not granted; `None` if no answer came.
    pub fn record_trial_denial(
        &mut self,
        now: Timestamp,
        trial: &DueTrial,
        answer: Option<TrialAnswer>,
    ) {
        self.quarantine.record_denial(now, trial, answer);
    }

    fn quarantine_refusal(&mut self, found: &QuarantinedPrompt) -> Refusal {
        let text = format!(
            "requests with part {} crashed {} upstreams",
            found.part, found.crashes,
        );
        let mut refusal =
            self.retryable_refusal(RefusalCode::PromptQuarantined, &text);
        refusal.retry_after =
            refusal.retry_after.map(|spread| found.retry_after + spread);
        refusal
    }

    /// Records a crash of an upstream that broke off requests at `broken_at`.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        process: UpstreamProcess,
        broken_at: Timestamp,
        prompts: Vec<SuspectPrompt>,
    ) {
        self.quarantine
            .record_past_crash(now, process, broken_at, prompts);
    }

    /// Whether a crash of the process is known.
    pub fn has_crash(&self, process: &UpstreamProcess) -> bool {
        self.quarantine.has_crash(process)
    }

    /// Records that the answer to a prompt with these shared parts, which began
    /// at `begun_at`, went on or is complete.
    pub fn record_sound_prompt(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
        begun_at: Timestamp,
    ) {
        self.quarantine.record_sound(now, parts, begun_at);
    }

    /// Adopts a quarantine that the store has kept.
    pub fn restore_quarantine(
        &mut self,
        now: Timestamp,
        report: QuarantineReport,
    ) {
        self.quarantine.restore(now, report);
    }

    /// Quarantines whose record this instance keeps, and `None` for parts that
    /// have left the quarantine lately.
    pub fn owned_quarantines(
        &mut self,
        now: Timestamp,
    ) -> Vec<(PartId, Option<QuarantineReport>)> {
        let mut records = self.quarantine.records(now);
        records.retain(|(part, _)| self.owns_part(now, part));
        records
    }

    /// Removes and returns the changes of the quarantine since the last call.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        self.quarantine.take_changes()
    }
}
