//! The queue of asks for one engine.
//!
//! The queue is bounded per class and, within a class, ordered by deadline.
//! Between classes it is shared by weight over the tokens admitted, so that no
//! class starves: the class that has received the least for its weight is
//! next, and if its first ask does not fit yet, nobody overtakes it. The queue
//! refuses at once what is predicted not to finish in time, and later what can
//! no longer start in time.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    api::PriorityClass,
    ids::{InstanceId, RequestId},
    peer_api::GrantRequest,
    refusal::{Refusal, RefusalCode},
    units::{Timestamp, TokenCount},
};

/// Longest time that an ask is kept; the entry instance then asks again, so
/// that an entry instance that is gone does not occupy the queue.
pub const QUEUE_WAIT_MAX: Duration = Duration::from_secs(5);
/// Most asks of one class.
pub const CLASS_QUEUE_MAX: usize = 128;
/// Scale of a class's account of tokens divided by its weight.
const SCALE: u128 = 1000;

/// Guaranteed share of a class, in percent.
pub const fn class_weight(class: PriorityClass) -> u64 {
    match class {
        PriorityClass::Interactive => 50,
        PriorityClass::Standard => 30,
        PriorityClass::Batch => 20,
    }
}

/// One ask that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedGrantRequest {
    /// Entry instance.
    pub from: InstanceId,
    /// Number for the answer.
    pub response_id: u64,
    /// The ask.
    pub grant_request: GrantRequest,
    /// When it was queued.
    pub queued_at: Timestamp,
    /// When the request must have ended.
    pub deadline: Timestamp,
    /// Latest start that is predicted to meet the deadline.
    pub latest_start: Timestamp,
}

impl QueuedGrantRequest {
    /// The ask with the time that is left now.
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

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    requests: BTreeMap<(Timestamp, u64), QueuedGrantRequest>,
    weighted_tokens: u128,
}

/// Asks of one class that wait for one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueStatus {
    /// Class.
    pub class: PriorityClass,
    /// Number of asks.
    pub waiting: usize,
    /// Prompt and output tokens that they ask for.
    pub tokens: TokenCount,
    /// When the first of them was queued.
    pub oldest: Timestamp,
}

/// Asks that wait for one engine.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    classes: BTreeMap<PriorityClass, ClassQueue>,
    virtual_time: u128,
    sequence: u64,
}

impl AdmissionQueue {
    /// A queue without asks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of asks.
    pub fn len(&self) -> usize {
        self.classes
            .values()
            .map(|class| class.requests.len())
            .sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.requests.is_empty())
    }

    /// The classes in which something waits.
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

    /// Prompt tokens that would be prefilled before an ask: those of its class
    /// with earlier deadlines, enlarged by the share of the other classes that
    /// wait.
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

    /// Adds an ask unless its class is full.
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
            // A class gains nothing by having been idle.
            queue.weighted_tokens = queue.weighted_tokens.max(virtual_time);
        }
        self.sequence += 1;
        queue
            .requests
            .insert((queued.deadline, self.sequence), queued);
        Ok(())
    }

    /// The ask whose turn it is.
    pub fn first(&self) -> Option<&QueuedGrantRequest> {
        let class = self.next_class()?;
        self.classes.get(&class)?.requests.values().next()
    }

    /// Takes the ask whose turn it is and books its tokens for its class.
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

    /// Removes an ask for a request, if there is one.
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

    /// Removes the asks of a dead entry instance.
    pub fn remove_entry_instance(&mut self, dead: &InstanceId) {
        for queue in self.classes.values_mut() {
            queue.requests.retain(|_, queued| queued.from != *dead);
        }
    }

    /// Removes what cannot start in time or has waited for long enough.
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

    /// Removes everything.
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

/// Refusal after waiting. A retry-after of zero tells the entry instance that
/// it may ask again at once.
fn expiry_refusal(queued: &QueuedGrantRequest, now: Timestamp) -> Refusal {
    if queued.latest_start <= now {
        let message = "the request can no longer finish by its deadline";
        return Refusal::new(RefusalCode::NoCapacity, message)
            .with_retry_after(Duration::from_secs(1));
    }
    let message = "the engine had no room while the request was queued";
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(Duration::ZERO)
}
