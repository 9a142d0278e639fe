//! Decisions on prompts that crash engines.

use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::GatewayCore;
use crate::{
    gateway::{
        crash_evidence::SuspectPrompt,
        prompt_quarantine::{
            QuarantineChange, QuarantineReport, QuarantinedPrompt,
        },
        upstream_table::UpstreamProcess,
        wire::PartId,
    },
    refusal::{Refusal, RefusalCode},
    units::Timestamp,
};

impl GatewayCore {
    /// Whether a prompt with these shared parts may be sent to an engine now.
    pub fn check_prompt(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
    ) -> Result<(), Refusal> {
        if parts.is_empty() {
            return Ok(());
        }
        let mut quarantine = std::mem::take(&mut self.quarantine);
        let checked =
            quarantine.check(now, parts, |part| self.owns_part(now, part));
        self.quarantine = quarantine;
        checked.map_err(|found| self.quarantine_refusal(&found))
    }

    /// Refusal of a prompt that passed [`Self::check_prompt`] and must no longer
    /// wait for an answer, since one of its parts is in quarantine by now; `None`
    /// if none is.
    pub fn held_prompt_refusal(
        &mut self,
        now: Timestamp,
        parts: &[PartId],
    ) -> Option<Refusal> {
        let found = self.quarantine.find_held(now, parts)?;
        Some(self.quarantine_refusal(&found))
    }

    /// Whether this instance makes the trials of a part and keeps its record in
    /// the store: of all serving instances the first one in an order that
    /// depends on the part.
    pub fn owns_part(&self, now: Timestamp, part: &PartId) -> bool {
        let rank = |ip: IpAddr| {
            let seed = xxh3_64_with_seed(part.as_str().as_bytes(), 0);
            xxh3_64_with_seed(ip.to_string().as_bytes(), seed)
        };
        let own = rank(self.settings.ip);
        let others = self.members.serving(now, &self.settings.failure_domain);
        others.into_iter().all(|ip| own <= rank(ip))
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
