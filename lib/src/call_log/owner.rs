//! The owner's side of the call streams.
//!
//! The owner reads a stream from its earliest record, appends what attempts
//! ask for and answers once it has read the records back. Whether an append
//! succeeded is learnt from reading alone, so a lost answer changes nothing.

use std::time::Duration;

use super::{CALL_STREAMS, entry::EntryCall, stream::StreamTable, stream_of};
use crate::{
    core::{CallFailure, InboundNumber},
    ids::InstanceId,
    peer_api::{ClaimRequest, ClaimResponse, PeerReply, SettleNotice},
    platform_api::{AppendResponse, RecordPage},
    units::{LogOffset, Timestamp},
};

/// Number of one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallAppend(pub u64);

/// Who gets an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAsker {
    /// A peer.
    Peer(InboundNumber),
    /// The entry side of this instance.
    Local(EntryCall),
}

/// Input of the owner's side.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// An attempt asks for a key.
    Claim {
        /// Who gets the answer.
        asker: CallAsker,
        /// Instance that holds the caller.
        entry: InstanceId,
        /// Question.
        ask: ClaimRequest,
    },
    /// An attempt ended.
    Settle {
        /// Who gets the answer.
        asker: CallAsker,
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
        append: CallAppend,
        /// The answer.
        result: Result<AppendResponse, CallFailure>,
    },
}

/// Output of the owner's side.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAction {
    /// Answer a claim or notice.
    Answer(CallAsker, PeerReply),
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
        append: CallAppend,
        /// Index of the stream.
        stream: usize,
        /// Records.
        records: Vec<serde_json::Value>,
    },
}

/// What queries read of one call stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLine {
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
pub struct CallTable {
    own: InstanceId,
    owners: [Option<InstanceId>; CALL_STREAMS],
    streams: [Option<StreamTable>; CALL_STREAMS],
    live: Vec<InstanceId>,
    next_append: u64,
}

impl CallTable {
    /// A table that owns nothing.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
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
    ) -> Vec<CallAction> {
        let mut actions = Vec::new();
        self.live = live;
        for (index, owner) in owners.iter().enumerate() {
            let owned = owner.as_ref() == Some(&self.own);
            let slot = &mut self.streams[index];
            if owned {
                slot.get_or_insert_default();
            } else if let Some(mut table) = slot.take() {
                table.hand_over(owner.as_ref(), &mut actions);
            }
        }
        self.owners = owners;
        actions
    }

    /// Takes an event in.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: CallEvent,
    ) -> Vec<CallAction> {
        let mut actions = Vec::new();
        match event {
            CallEvent::Claim { asker, entry, ask } => {
                self.take_claim(now, asker, entry, ask, &mut actions);
            }
            CallEvent::Settle { asker, notice } => {
                self.take_notice(now, asker, notice, &mut actions);
            }
            CallEvent::Read { stream, result } => {
                let live = &self.live;
                let slot = self.streams.get_mut(stream);
                if let Some(table) = slot.and_then(Option::as_mut) {
                    table.take_read(now, result, live, &mut actions);
                }
            }
            CallEvent::Appended { append, result } => {
                for table in self.streams.iter_mut().flatten() {
                    table.take_append(append, &result, &mut actions);
                }
            }
        }
        actions.extend(self.tick(now));
        actions
    }

    /// Sends and answers what is due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<CallAction> {
        let mut actions = Vec::new();
        for (stream, slot) in self.streams.iter_mut().enumerate() {
            let Some(table) = slot else { continue };
            table.expire(now, &mut actions);
            if let Some(records) = table.start_append(now, self.next_append) {
                let append = CallAppend(self.next_append);
                self.next_append += 1;
                actions.push(CallAction::Append {
                    append,
                    stream,
                    records,
                });
            }
            if let Some((from, wait)) = table.start_read(now) {
                actions.push(CallAction::Read { stream, from, wait });
            }
        }
        actions
    }

    /// When the table wants to be called without input.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let tables = self.streams.iter().flatten();
        tables.filter_map(StreamTable::next_timer).min()
    }

    /// The owned streams by index.
    pub fn lines(&self) -> impl Iterator<Item = (usize, CallLine)> {
        let streams = self.streams.iter().enumerate();
        streams.filter_map(|(index, slot)| {
            slot.as_ref().map(|table| (index, table.line()))
        })
    }

    /// Number of keys held in memory.
    pub fn key_count(&self) -> usize {
        let tables = self.streams.iter().flatten();
        tables.map(|table| table.key_count()).sum()
    }

    fn take_claim(
        &mut self,
        now: Timestamp,
        asker: CallAsker,
        entry: InstanceId,
        ask: ClaimRequest,
        actions: &mut Vec<CallAction>,
    ) {
        let index = stream_of(&ask.key);
        let answer = match &mut self.streams[index] {
            None => {
                let owner = self.owners[index].clone();
                Some(ClaimResponse::NotOwner(owner))
            }
            Some(table) => table.take_claim(now, asker, entry, ask, &self.live),
        };
        if let Some(answer) = answer {
            let reply = PeerReply::Claim(answer);
            actions.push(CallAction::Answer(asker, reply));
        }
    }

    fn take_notice(
        &mut self,
        now: Timestamp,
        asker: CallAsker,
        notice: SettleNotice,
        actions: &mut Vec<CallAction>,
    ) {
        let reply = match &mut self.streams[stream_of(&notice.key)] {
            None => Some(PeerReply::Rejected("not the owner".into())),
            Some(table) => table.take_notice(now, asker, notice),
        };
        if let Some(reply) = reply {
            actions.push(CallAction::Answer(asker, reply));
        }
    }
}
