//! The owner's side of at-most-once calls.
//!
//! The owner of a call stream reads it from the earliest record, appends the
//! claims, releases and outcomes that entries send, and responds to them once
//! it has read their records back. It takes only what it reads as proof that
//! an append succeeded, so a lost response of the log cannot mislead it.

use std::time::Duration;

use super::{
    CALL_STREAMS, entry::EntryCallId, stream::OwnedStream, stream_index,
};
use crate::{
    core::{CallFailure, InboundCallId},
    ids::InstanceId,
    peer_api::{ClaimRequest, ClaimResponse, PeerResponse, SettleRequest},
    platform_api::{AppendResponse, RecordPage},
    units::{LogOffset, Timestamp},
};

/// Id that pairs an append with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallAppendId(pub u64);

/// Sender of a claim or settlement, to which the response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRequester {
    /// An entry on another instance.
    Peer(InboundCallId),
    /// The [`CallEntryTable`](super::CallEntryTable) of this instance.
    Local(EntryCallId),
}

/// Input of the [`CallOwnerTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallOwnerEvent {
    /// An entry claims a key for an attempt.
    Claim {
        /// Where the response goes.
        requester: CallRequester,
        /// Instance that holds the caller's connection.
        entry: InstanceId,
        /// Key, attempt and digest.
        request: ClaimRequest,
    },
    /// An entry reports that an attempt ended or was given up.
    Settle {
        /// Where the response goes.
        requester: CallRequester,
        /// Outcome or release to record.
        notice: SettleRequest,
    },
    /// A read of a stream has completed or failed.
    Read {
        /// Index of the stream.
        stream: usize,
        /// Records, or why there are none.
        result: Result<RecordPage, CallFailure>,
    },
    /// An append has completed or failed.
    Appended {
        /// Id from [`CallOwnerAction::Append`].
        append: CallAppendId,
        /// Response of the log service.
        result: Result<AppendResponse, CallFailure>,
    },
}

/// Output of the [`CallOwnerTable`].
#[derive(Clone, Debug, PartialEq)]
pub enum CallOwnerAction {
    /// Respond to a claim or settlement.
    Respond(CallRequester, PeerResponse),
    /// Read a stream.
    Read {
        /// Index of the stream.
        stream: usize,
        /// First offset to read.
        from: LogOffset,
        /// How long the log service may wait for a record before it returns
        /// an empty page.
        wait: Duration,
    },
    /// Append records to a stream.
    Append {
        /// Id to report the result with.
        append: CallAppendId,
        /// Index of the stream.
        stream: usize,
        /// [`CallRecord`](super::CallRecord)s as JSON.
        records: Vec<serde_json::Value>,
    },
}

/// Statistics of one owned call stream, for queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallStreamStats {
    /// Keys held in memory.
    pub keys: usize,
    /// Claimed keys whose attempt has neither an outcome nor a release.
    pub in_progress: usize,
    /// Records that were requested and not read back yet.
    pub waiting: usize,
    /// Whether the last read reached the head of the stream.
    pub at_head: bool,
}

/// Call streams that this instance owns.
#[derive(Debug)]
pub struct CallOwnerTable {
    local_instance: InstanceId,
    owners: [Option<InstanceId>; CALL_STREAMS],
    streams: [Option<OwnedStream>; CALL_STREAMS],
    live: Vec<InstanceId>,
    next_append: u64,
}

impl CallOwnerTable {
    /// A table that owns no stream.
    pub fn new(local_instance: InstanceId) -> Self {
        Self {
            local_instance,
            owners: Default::default(),
            streams: Default::default(),
            live: Vec::new(),
            next_append: 0,
        }
    }

    /// Sets the owner of each stream and the live instances. A stream that is
    /// now owned here is read from its start by the next ticks; one that no
    /// longer is gets dropped, with a response to all who wait on it.
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

    /// Processes an event and returns what to do.
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
                request,
            } => {
                self.handle_claim(now, requester, entry, request, &mut actions);
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

    /// Expires waiting requests and starts the appends and reads that are due.
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

    /// When [`Self::tick`] must be called next. `None` without owned streams.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let tables = self.streams.iter().flatten();
        tables.filter_map(OwnedStream::next_timer).min()
    }

    /// Statistics of the owned streams with their indices.
    pub fn stream_stats(
        &self,
    ) -> impl Iterator<Item = (usize, CallStreamStats)> {
        let streams = self.streams.iter().enumerate();
        streams.filter_map(|(index, slot)| {
            slot.as_ref().map(|table| (index, table.stats()))
        })
    }

    /// Number of keys in memory over all owned streams.
    pub fn key_count(&self) -> usize {
        let tables = self.streams.iter().flatten();
        tables.map(|table| table.key_count()).sum()
    }

    fn handle_claim(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        entry: InstanceId,
        request: ClaimRequest,
        actions: &mut Vec<CallOwnerAction>,
    ) {
        let index = stream_index(&request.key);
        let answer = match &mut self.streams[index] {
            None => {
                let owner = self.owners[index].clone();
                Some(ClaimResponse::NotOwner(owner))
            }
            Some(table) => {
                table.handle_claim(now, requester, entry, request, &self.live)
            }
        };
        if let Some(answer) = answer {
            let reply = PeerResponse::Claim(answer);
            actions.push(CallOwnerAction::Respond(requester, reply));
        }
    }

    fn handle_settle(
        &mut self,
        now: Timestamp,
        requester: CallRequester,
        notice: SettleRequest,
        actions: &mut Vec<CallOwnerAction>,
    ) {
        let reply = match &mut self.streams[stream_index(&notice.key)] {
            None => Some(PeerResponse::Rejected(
                "this instance does not own the call stream".into(),
            )),
            Some(table) => table.handle_settle(now, requester, notice),
        };
        if let Some(reply) = reply {
            actions.push(CallOwnerAction::Respond(requester, reply));
        }
    }
}
