//! Requests whose end was reported to the owner of their engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::RequestId, units::Timestamp};

/// How long a late notice about an ended request is recognized. Exceeds the time
/// after which a notice that is not delivered is given up, which is 1 s.
const ENDED_RETENTION: Duration = Duration::from_secs(5);

/// Recently ended requests, each with the sequence number of its last grant
/// request.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedRequests {
    requests: BTreeMap<RequestId, (u64, Timestamp)>,
    by_time: BTreeSet<(Timestamp, RequestId)>,
}

impl EndedRequests {
    /// Records that a request has ended under a grant request, and removes what
    /// is too old.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        sequence: u64,
    ) {
        while let Some((at, oldest)) = self.by_time.first()
            && now.since(*at) >= ENDED_RETENTION
        {
            self.requests.remove(oldest);
            self.by_time.pop_first();
        }
        let ended = self.requests.insert(request.clone(), (sequence, now));
        if let Some((_, at)) = ended {
            self.by_time.remove(&(at, request.clone()));
        }
        self.by_time.insert((now, request.clone()));
    }

    /// Whether a request has ended under this grant request or a later one.
    pub(super) fn covers(
        &self,
        now: Timestamp,
        request: &RequestId,
        sequence: u64,
    ) -> bool {
        self.requests.get(request).is_some_and(|(ended, at)| {
            sequence <= *ended && now.since(*at) < ENDED_RETENTION
        })
    }
}
