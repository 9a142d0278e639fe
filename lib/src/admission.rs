//! The queue of grant requests for one engine.
//!
//! The queue is bounded for each class and ordered by deadline within a class.
//! Classes share the engine by weighted fair queueing over the admitted tokens,
//! so that none starves: the class with the fewest tokens for its weight is
//! next, and no other class overtakes it if its first request does not fit yet.
//! Requests that are predicted to miss their deadline are refused at once;
//! queued ones are refused when they can no longer start in time.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    api::PriorityClass,
    ids::{InstanceId, RequestId},
    peer_api::GrantRequest,
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount},
};

/// Maximum time in the queue. The entry instance then repeats its grant
/// request, so requests of a lost entry instance do not occupy the queue.
pub const QUEUE_WAIT_MAX: Duration = Duration::from_secs(5);
/// Maximum number of queued requests of one class.
pub const CLASS_QUEUE_MAX: usize = 128;
/// Factor that keeps precision when tokens are divided by a weight.
const SCALE: u128 = 1000;

/// Guaranteed share of a class in the tokens of an engine, in percent.
pub const fn class_weight(class: PriorityClass) -> u64 {
    match class {
        PriorityClass::Interactive => 50,
        PriorityClass::Standard => 30,
        PriorityClass::Batch => 20,
    }
}

/// A grant request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedGrantRequest {
    /// Entry instance, which gets the answer.
    pub from: InstanceId,
    /// Id that the answer repeats.
    pub response_id: u64,
    /// Message of the entry instance.
    pub grant_request: GrantRequest,
    /// When the request was queued.
    pub queued_at: Timestamp,
    /// Time by which the request must have ended.
    pub deadline: Timestamp,
    /// Latest start with which the request is predicted to meet its deadline.
    pub latest_start: Timestamp,
}

impl QueuedGrantRequest {
    /// The grant request with its time left as of now.
    pub fn with_time_left(&self, now: Timestamp) -> GrantRequest {
        GrantRequest {
            time_left: self.deadline.since(now),
            ..self.grant_request.clone()
        }
    }

    fn tokens(&self) -> TokenCount {
        self.grant_request
            .prompt
            .saturating_add(self.grant_request.output)
    }

    fn expires_at(&self) -> Timestamp {
        self.latest_start.min(self.queued_at.after(QUEUE_WAIT_MAX))
    }
}

/// Queue of one class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    /// Queued requests by deadline and order of arrival.
    requests: BTreeMap<(Timestamp, u64), QueuedGrantRequest>,
    /// Tokens admitted so far, scaled and divided by the class's weight.
    weighted_tokens: u128,
}

/// Status of the queue of one class at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueStatus {
    /// Class of the requests.
    pub class: PriorityClass,
    /// Number of queued requests.
    pub waiting: usize,
    /// Prompt and output tokens of the queued requests.
    pub tokens: TokenCount,
    /// When the oldest queued request was queued.
    pub oldest: Timestamp,
}

/// Queue of the grant requests for one engine.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<PriorityClass, ClassQueue>,
    virtual_time: u128,
    sequence: u64,
}

impl AdmissionQueue {
    /// A queue without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.classes
            .values()
            .map(|class| class.requests.len())
            .sum()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.requests.is_empty())
    }

    /// Status of each class with queued requests.
    pub fn statuses(&self) -> impl Iterator<Item = QueueStatus> {
        self.classes.iter().filter_map(|(class, queue)| {
            let oldest = queue
                .requests
                .values()
                .map(|queued| queued.queued_at)
                .min()?;
            Some(QueueStatus {
                class: *class,
                waiting: queue.requests.len(),
                tokens: queue
                    .requests
                    .values()
                    .map(QueuedGrantRequest::tokens)
                    .sum(),
                oldest,
            })
        })
    }

    /// Prompt tokens predicted to be prefilled before a new request: those of
    /// its class with earlier deadlines, scaled up by the weights of the other
    /// classes with queued requests.
    pub fn prompt_tokens_ahead(
        &self,
        class: PriorityClass,
        deadline: Timestamp,
    ) -> TokenCount {
        let waiting = |other: &PriorityClass| {
            let queue = self.classes.get(other);
            queue.is_some_and(|queue| !queue.requests.is_empty())
        };
        let weights: u64 = PriorityClass::ALL
            .iter()
            .filter(|other| **other == class || waiting(other))
            .map(|other| class_weight(*other))
            .sum();
        let Some(queue) = self.classes.get(&class) else {
            return TokenCount::ZERO;
        };
        let earlier = queue.requests.range(..(deadline, u64::MAX));
        let same_class: TokenCount =
            earlier.map(|(_, queued)| queued.grant_request.prompt).sum();
        let tokens = u128::from(same_class.get()) * u128::from(weights)
            / u128::from(class_weight(class));
        TokenCount::new(u64::try_from(tokens).unwrap_or(u64::MAX))
    }

    /// Queues a request. Fails if the queue of its class is full.
    pub fn push(&mut self, queued: QueuedGrantRequest) -> Result<(), Refusal> {
        let class = queued.grant_request.class;
        let virtual_time = self.virtual_time;
        let queue = self.classes.entry(class).or_default();
        if queue.requests.len() >= CLASS_QUEUE_MAX {
            let message = format!("the queue for class {class} is full");
            let refusal = Refusal::new(RefusalCode::QueueFull, message);
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        if queue.requests.is_empty() {
            // A class that was idle gets no credit for the idle time.
            queue.weighted_tokens = queue.weighted_tokens.max(virtual_time);
        }
        self.sequence += 1;
        queue
            .requests
            .insert((queued.deadline, self.sequence), queued);
        Ok(())
    }

    /// The request that is next.
    pub fn first(&self) -> Option<&QueuedGrantRequest> {
        let class = self.next_class()?;
        self.classes.get(&class)?.requests.values().next()
    }

    /// Removes the request that is next and adds its tokens to those of its
    /// class.
    pub fn pop(&mut self) -> Option<QueuedGrantRequest> {
        let class = self.next_class()?;
        let queue = self.classes.get_mut(&class)?;
        let (_, queued) = queue.requests.pop_first()?;
        self.virtual_time = self.virtual_time.max(queue.weighted_tokens);
        let tokens = u128::from(queued.tokens().get().max(1)) * SCALE;
        let cost = tokens / u128::from(class_weight(class));
        queue.weighted_tokens = queue.weighted_tokens.saturating_add(cost);
        Some(queued)
    }

    /// Removes the grant request for a request; `None` if there is none.
    pub fn remove(
        &mut self,
        request: &RequestId,
    ) -> Option<QueuedGrantRequest> {
        for queue in self.classes.values_mut() {
            let found = queue
                .requests
                .iter()
                .find(|(_, queued)| queued.grant_request.request == *request)
                .map(|(key, _)| *key);
            if let Some(key) = found {
                return queue.requests.remove(&key);
            }
        }
        None
    }

    /// Removes the requests of a dead entry instance.
    pub fn remove_entry_instance(&mut self, dead: &InstanceId) {
        for queue in self.classes.values_mut() {
            queue.requests.retain(|_, queued| queued.from != *dead);
        }
    }

    /// Removes the requests that can no longer start in time and those that
    /// reached [`QUEUE_WAIT_MAX`], with the refusals to answer.
    pub fn expire(
        &mut self,
        now: Timestamp,
    ) -> Vec<(QueuedGrantRequest, Refusal)> {
        let mut expired = Vec::new();
        for queue in self.classes.values_mut() {
            queue.requests.retain(|_, queued| {
                let keep = queued.expires_at() > now;
                if !keep {
                    expired.push((queued.clone(), expiry_refusal(queued, now)));
                }
                keep
            });
        }
        expired
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<QueuedGrantRequest> {
        let classes = std::mem::take(&mut self.classes);
        classes
            .into_values()
            .flat_map(|queue| queue.requests.into_values())
            .collect()
    }

    /// When [`Self::expire`] has something to do.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let requests = self
            .classes
            .values()
            .flat_map(|queue| queue.requests.values());
        requests.map(QueuedGrantRequest::expires_at).min()
    }

    fn next_class(&self) -> Option<PriorityClass> {
        self.classes
            .iter()
            .filter(|(_, queue)| !queue.requests.is_empty())
            .min_by_key(|(class, queue)| (queue.weighted_tokens, **class))
            .map(|(class, _)| *class)
    }
}

/// Refusal of an expired request. A retry-after of zero lets the entry instance
/// repeat the grant request at once.
fn expiry_refusal(queued: &QueuedGrantRequest, now: Timestamp) -> Refusal {
    if queued.latest_start <= now {
        let message = "the request can no longer finish by its deadline";
        return Refusal::new(RefusalCode::NoCapacity, message)
            .with_retry_after(Duration::from_secs(1));
    }
    let message =
        "the engine had no free memory or slot while the request was queued";
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(Duration::ZERO)
}
