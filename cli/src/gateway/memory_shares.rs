//! Shares of the memory account, held by the tasks that read bodies and
//! answers, and by the bytes themselves.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use borageline_lib::{
    gateway::memory_account::{
        MemoryAccount, MemoryFull, MemoryUse, ShareNumber, ShareState,
    },
    units::{ByteSize, Timestamp},
};
use bytes::Bytes;
use tokio::sync::Notify;

/// Interval at which a waiting share looks for bodies that are too slow.
const SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// Memory account of a gateway.
#[derive(Debug)]
pub(super) struct GatewayMemory {
    state: Mutex<MemoryState>,
    started: Instant,
}

#[derive(Debug)]
struct MemoryState {
    account: MemoryAccount,
    /// Notifies the reader of each share that its state has changed.
    readers: BTreeMap<ShareNumber, Arc<Notify>>,
}

impl GatewayMemory {
    pub(super) fn new(total: ByteSize) -> Self {
        let state = MemoryState {
            account: MemoryAccount::new(total),
            readers: BTreeMap::new(),
        };
        Self {
            state: Mutex::new(state),
            started: Instant::now(),
        }
    }

    /// Changes the size of the account.
    pub(super) fn set_total(&self, total: ByteSize) {
        self.update(|account, now| {
            account.set_total(total);
            account.settle(now);
        });
    }

    /// Asks for a share of bytes that will arrive within `allowed`.
    pub(super) fn request(
        self: &Arc<Self>,
        memory_use: MemoryUse,
        size: ByteSize,
        allowed: Duration,
    ) -> Result<MemoryShare, MemoryFull> {
        let requested = self.update(|account, now| {
            let deadline = now.after(allowed);
            account.request(now, memory_use, size, deadline)
        });
        let number = requested?;
        let changed = Arc::new(Notify::new());
        self.lock().readers.insert(number, changed.clone());
        Ok(MemoryShare {
            memory: self.clone(),
            number,
            size,
            changed,
        })
    }

    /// Changes the account, and notifies the readers of shares that have
    /// changed.
    fn update<T>(
        &self,
        change: impl FnOnce(&mut MemoryAccount, Timestamp) -> T,
    ) -> T {
        let now = Timestamp::ZERO.after(self.started.elapsed());
        let mut state = self.lock();
        let result = change(&mut state.account, now);
        for number in state.account.take_changed() {
            if let Some(reader) = state.readers.get(&number) {
                reader.notify_one();
            }
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A share of the account, which is returned on drop.
#[derive(Debug)]
pub(super) struct MemoryShare {
    memory: Arc<GatewayMemory>,
    number: ShareNumber,
    size: ByteSize,
    changed: Arc<Notify>,
}

impl MemoryShare {
    /// Bytes that may be held once the share is granted.
    pub(super) fn size(&self) -> ByteSize {
        self.size
    }

    /// Waits until the share is granted. Returns whether it was.
    pub(super) async fn granted(&self) -> bool {
        loop {
            match self.state() {
                ShareState::Granted => return true,
                ShareState::Revoked => return false,
                ShareState::Waiting => {}
            }
            tokio::select! {
                () = self.changed.notified() => {}
                () = tokio::time::sleep(SETTLE_INTERVAL) => {
                    self.memory.update(MemoryAccount::settle);
                }
            }
        }
    }

    /// Waits until the share is revoked.
    pub(super) async fn revoked(&self) {
        while self.state() != ShareState::Revoked {
            self.changed.notified().await;
        }
    }

    /// Asks for a larger share, which has to be granted again.
    pub(super) fn grow(&mut self, size: ByteSize) -> Result<(), MemoryFull> {
        self.memory
            .update(|account, now| account.grow(now, self.number, size))?;
        self.size = size;
        Ok(())
    }

    /// Records how many bytes have arrived.
    pub(super) fn record_received(&self, received: usize) {
        let received = ByteSize::new(received as u64);
        self.memory.update(|account, now| {
            account.record_received(now, self.number, received);
        });
    }

    /// Attaches the share to bytes that have all arrived; it is returned when
    /// the last copy of them is dropped.
    pub(super) fn hold(self, mut bytes: Vec<u8>) -> Bytes {
        // Bytes of unknown length may have taken up to twice their size.
        bytes.shrink_to_fit();
        let size = ByteSize::new(bytes.len() as u64);
        self.memory
            .update(|account, now| account.complete(now, self.number, size));
        Bytes::from_owner(HeldBytes {
            bytes,
            _share: self,
        })
    }

    fn state(&self) -> ShareState {
        self.memory.lock().account.state(self.number)
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.lock().readers.remove(&self.number);
        self.memory
            .update(|account, now| account.release(now, self.number));
    }
}

/// Bytes with their share; fields are dropped in this order, so that the share
/// is returned after the memory.
struct HeldBytes {
    bytes: Vec<u8>,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
