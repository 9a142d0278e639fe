//! The owner's side of the call streams.
//!
//! The owner reads a stream from its earliest record, appends what attempts
//! ask for and answers once it has read the records back. Whether an append
//! succeeded is learnt from reading alone, so a lost answer changes nothing.

use std::time::Duration;

use super::{CALL_STREAMS, entry::EntryCallId, stream::OwnedStream, stream_of};
use crate::{
    core::{CallFailure, InboundCallId},
    ids::InstanceId,
    peer_api::{ClaimRequest, ClaimResponse, PeerReply, SettleNotice},
    platform_api::{AppendResponse, RecordPage},
    units::{LogOffset, Timestamp},
};

/// Number of one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallAppendId(pub u64);

/// Who gets an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRequester {
    /// A peer.
    Peer(InboundCallId),
    /// The entry side of this instance.
    Local(EntryCallId),
}

/// Input of the owner's side.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOwnerEvent {
    /// An attempt asks for a key.
    Claim {
        /// Who gets the answer.
        requester: CallRequester,
        /// Instance that holds the caller.
        entry: InstanceId,
        /// Question.
        ask: ClaimRequest,
    },
    /// An attempt ended.
    Settle {
        /// Who gets the answer.
        requester: CallRequester,
        /// What became of it.
        notice: SettleNotice,
    },
    /// A stream was read, or not.
    Read {
        /// Index of the stream.
        stream: usize,
        /// The page.
        result: Result<RecordPage, CallFailure>,
    },
    /// An append was answered, or not.
    Appended {
        /// Number of the append.
        append: CallAppendId,
        /// The answer.
        result: Result<AppendResponse, CallFailure>,
    },
}

/// Output of the owner's side.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOwnerAction {
    /// Answer a claim or notice.
    Respond(CallRequester, PeerReply),
    /// Read a stream.
    Read {
        /// Index of the stream.
        stream: usize,
        /// First offset to read.
        from: LogOffset,
        /// How long the log may wait for a record.
        wait: Duration,
    },
    /// Append records to a stream.
    Append {
        /// Number of the append.
        append: CallAppendId,
        /// Index of the stream.
        stream: usize,
        /// Records.
        records: Vec<serde_json::Value>,
    },
}

/// What queries read of one call stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallStreamStats {
    /// Keys held in memory.
    pub keys: usize,
    /// Keys whose attempt has neither an outcome nor a release.
    pub in_progress: usize,
    /// Claims and notices that wait to be read back.
    pub waiting: usize,
    /// Whether the stream was read to its head.
    pub at_head: bool,
}

/// The call streams that this instance owns.
#[derive(Debug)]
pub struct CallOwnerTable {
    local_instance: InstanceId,
    owners: [Option<InstanceId>; CALL_STREAMS],
    streams: [Option<OwnedStream>; CALL_STREAMS],
    live: Vec<InstanceId>,
    next_append: u64,
}

impl CallOwnerTable {
    /// A table that owns nothing.
    pub fn new(local_instance: InstanceId) -> Self {
        Self {
            local_instance,
            owners: Default::default(),
            streams: Default::default(),
            live: Vec::new(),
            next_append: 0,
        }
    }

    /// Sets the owner of each stream and the live instances.
    pub fn set_owners(
        &mut self,
        owners: [Option<InstanceId>; CALL_STREAMS],
        live: Vec<InstanceId>,
    ) -> Vec<CallOwnerAction> {
        let mut actions = Vec::new();
        self.live = live;
        for (index, owner) in owners.iter().enumerate() {
            let is_owner = owner.as_ref() == Some(&self.local_instance);
            let slot = &mut self.streams[index];
            if is_owner {
                slot.get_or_insert_default();
            } else if let Some(mut table) = slot.take() {
                table.close(owner.as_ref(), &mut actions);
            }
        }
        self.owners = owners;
        actions
    }

    /// Takes an event in.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: CallOwnerEvent,
    ) -> Vec<CallOwnerAction> {
        let mut actions = Vec::new();
        match event {
            CallOwnerEvent::Claim {
                requester,
                entry,
                ask,
            } => {
                self.handle_claim(now, requester, entry, ask, &mut actions);
            }
            CallOwnerEvent::Settle { requester, notice } => {
                self.handle_settle(now, requester, notice, &mut actions);
            }
            CallOwnerEvent::Read { stream, result } => {
                let live = &self.live;
                let slot = self.streams.get_mut(stream);
                if let Some(table) = slot.and_then(Option::as_mut) {
                    table.handle_read(now, result, live, &mut actions);
                }
            }
            CallOwnerEvent::Appended { append, result } => {
                for table in self.streams.iter_mut().flatten() {
                    table.handle_append_result(append, &result, &mut actions);
                }
            }
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Sends and answers what is due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<CallOwnerAction> {
        let mut actions = Vec::new();
        for (stream, slot) in self.streams.iter_mut().enumerate() {
            let Some(table) = slot else { continue };
            table.expire(now, &mut actions);
            if let Some(records) = table.start_append(now, self.next_append) {
                let append = CallAppendId(self.next_append);
                self.next_append += 1;
                actions.push(CallOwnerAction::Append {
                    append,
                    stream,
                    records,
                });
            }
            if let Some((from, wait)) = table.start_read(now) {
                actions.push(CallOwnerAction::Read { stream, from, wait });
            }
        }
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let tables = self.streams.iter().flatten();
        tables.filter_map(OwnedStream::next_timer).min()
    }

    /// The owned streams by index.
    pub fn stream_stats(
        &self,
    ) -> impl Iterator<Item = (usize, CallStreamStats)> {
        let streams = self.streams.iter().enumerate();
        streams.filter_map(|(index, slot)| {
            slot.as_ref().map(|table| (index, table.stats()))
        })
    }

    /// Number of keys held in memory.
    pub fn key_count(&self) -> usize {
        let tables = self.streams.iter().flatten();
        tables.map(|table| table.key_count()).sum()
    }

    fn handle_claim(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        entry: InstanceId,
        ask: ClaimRequest,
        actions: &mut Vec<CallOwnerAction>,
    ) {
        let index = stream_of(&ask.key);
        let answer = match &mut self.streams[index] {
            None => {
                let owner = self.owners[index].clone();
                Some(ClaimResponse::NotOwner(owner))
            }
            Some(table) => {
                table.handle_claim(now, requester, entry, ask, &self.live)
            }
        };
        if let Some(answer) = answer {
            let reply = PeerReply::Claim(answer);
            actions.push(CallOwnerAction::Respond(requester, reply));
        }
    }

    fn handle_settle(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        notice: SettleNotice,
        actions: &mut Vec<CallOwnerAction>,
    ) {
        let reply = match &mut self.streams[stream_of(&notice.key)] {
            None => Some(PeerReply::Rejected("not the owner".into())),
            Some(table) => table.handle_settle(now, requester, notice),
        };
        if let Some(reply) = reply {
            actions.push(CallOwnerAction::Respond(requester, reply));
        }
    }
}
