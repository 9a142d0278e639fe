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
pub const QUEUE_WAIT: Duration = Duration::from_secs(5);
/// Most asks of one class.
pub const CLASS_MAX: usize = 128;
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
pub struct QueuedAsk {
    /// Entry instance.
    pub from: InstanceId,
    /// Number for the answer.
    pub reply: u64,
    /// The ask.
    pub ask: GrantRequest,
    /// When it was queued.
    pub queued_at: Timestamp,
    /// When the request must have ended.
    pub deadline: Timestamp,
    /// Latest start that is predicted to meet the deadline.
    pub latest_start: Timestamp,
}

impl QueuedAsk {
    /// The ask with the time that is left now.
    pub fn current(&self, now: Timestamp) -> GrantRequest {
        GrantRequest {
            time_left: self.deadline.since(now),
            ..self.ask.clone()
        }
    }

    fn tokens(&self) -> TokenCount {
        self.ask.prompt.saturating_add(self.ask.output)
    }

    fn due(&self) -> Timestamp {
        self.latest_start.min(self.queued_at.after(QUEUE_WAIT))
    }
}

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    asks: BTreeMap<(Timestamp, u64), QueuedAsk>,
    received: u128,
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
        self.classes.values().map(|class| class.asks.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.asks.is_empty())
    }

    /// The classes in which something waits.
    pub fn lines(&self) -> impl Iterator<Item = QueueStatus> {
        self.classes.iter().filter_map(|(class, queue)| {
            let oldest = queue.asks.values().map(|ask| ask.queued_at).min()?;
            Some(QueueStatus {
                class: *class,
                waiting: queue.asks.len(),
                tokens: queue.asks.values().map(QueuedAsk::tokens).sum(),
                oldest,
            })
        })
    }

    /// Prompt tokens that would be prefilled before an ask: those of its class
    /// with earlier deadlines, enlarged by the share of the other classes that
    /// wait.
    pub fn ahead(
        &self,
        class: PriorityClass,
        deadline: Timestamp,
    ) -> TokenCount {
        let waiting = |other: &PriorityClass| {
            let queue = self.classes.get(other);
            queue.is_some_and(|queue| !queue.asks.is_empty())
        };
        let weights: u64 = PriorityClass::ALL
            .iter()
            .filter(|other| **other == class || waiting(other))
            .map(|other| class_weight(*other))
            .sum();
        let Some(queue) = self.classes.get(&class) else {
            return TokenCount::ZERO;
        };
        let earlier = queue.asks.range(..(deadline, u64::MAX));
        let own: TokenCount = earlier.map(|(_, ask)| ask.ask.prompt).sum();
        let tokens = u128::from(own.get()) * u128::from(weights)
            / u128::from(class_weight(class));
        TokenCount::new(u64::try_from(tokens).unwrap_or(u64::MAX))
    }

    /// Adds an ask unless its class is full.
    pub fn push(&mut self, ask: QueuedAsk) -> Result<(), Refusal> {
        let class = ask.ask.class;
        let virtual_time = self.virtual_time;
        let queue = self.classes.entry(class).or_default();
        if queue.asks.len() >= CLASS_MAX {
            let message = format!("the queue for class {class} is full");
            let refusal = Refusal::new(RefusalCode::QueueFull, message);
            return Err(refusal.with_retry_after(Duration::from_secs(1)));
        }
        if queue.asks.is_empty() {
            // A class gains nothing by having been idle.
            queue.received = queue.received.max(virtual_time);
        }
        self.sequence += 1;
        queue.asks.insert((ask.deadline, self.sequence), ask);
        Ok(())
    }

    /// The ask whose turn it is.
    pub fn first(&self) -> Option<&QueuedAsk> {
        let class = self.next_class()?;
        self.classes.get(&class)?.asks.values().next()
    }

    /// Takes the ask whose turn it is and books its tokens for its class.
    pub fn pop(&mut self) -> Option<QueuedAsk> {
        let class = self.next_class()?;
        let queue = self.classes.get_mut(&class)?;
        let (_, ask) = queue.asks.pop_first()?;
        self.virtual_time = self.virtual_time.max(queue.received);
        let tokens = u128::from(ask.tokens().get().max(1)) * SCALE;
        let cost = tokens / u128::from(class_weight(class));
        queue.received = queue.received.saturating_add(cost);
        Some(ask)
    }

    /// Removes an ask for a request, if there is one.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedAsk> {
        for queue in self.classes.values_mut() {
            let found = queue
                .asks
                .iter()
                .find(|(_, ask)| ask.ask.request == *request)
                .map(|(key, _)| *key);
            if let Some(key) = found {
                return queue.asks.remove(&key);
            }
        }
        None
    }

    /// Removes the asks of a dead entry instance.
    pub fn remove_entry(&mut self, dead: &InstanceId) {
        for queue in self.classes.values_mut() {
            queue.asks.retain(|_, ask| ask.from != *dead);
        }
    }

    /// Removes what cannot start in time or has waited for long enough.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(QueuedAsk, Refusal)> {
        let mut expired = Vec::new();
        for queue in self.classes.values_mut() {
            queue.asks.retain(|_, ask| {
                let keep = ask.due() > now;
                if !keep {
                    expired.push((ask.clone(), waited(ask, now)));
                }
                keep
            });
        }
        expired
    }

    /// Removes everything.
    pub fn drain(&mut self) -> Vec<QueuedAsk> {
        let classes = std::mem::take(&mut self.classes);
        classes
            .into_values()
            .flat_map(|queue| queue.asks.into_values())
            .collect()
    }

    /// When [`Self::expire`] has something to do.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let asks = self.classes.values().flat_map(|queue| queue.asks.values());
        asks.map(QueuedAsk::due).min()
    }

    fn next_class(&self) -> Option<PriorityClass> {
        self.classes
            .iter()
            .filter(|(_, queue)| !queue.asks.is_empty())
            .min_by_key(|(class, queue)| (queue.received, **class))
            .map(|(class, _)| *class)
    }
}

/// Refusal after waiting. A retry-after of zero tells the entry instance that
/// it may ask again at once.
fn waited(ask: &QueuedAsk, now: Timestamp) -> Refusal {
    if ask.latest_start <= now {
        let message = "the request can no longer finish by its deadline";
        return Refusal::new(RefusalCode::NoCapacity, message)
            .with_retry_after(Duration::from_secs(1));
    }
    let message = "the engine had no room while the request was queued";
    Refusal::new(RefusalCode::NoCapacity, message)
        .with_retry_after(Duration::ZERO)
}
