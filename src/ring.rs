//! Bounded single-producer, single-consumer ring buffers between threads, with async wake-ups on both ends.

use std::sync::{
    Arc,
    Mutex, //
};

use rtrb::{
    Consumer,
    Producer,
    PushError,
    RingBuffer, //
};
use tokio::sync::Notify;

use crate::sync::lock;

#[derive(Debug, Default)]
struct Wakers {
    /// Wakes the receiver when an item was sent.
    item: Notify,
    /// Wakes senders when an item was received.
    space: Notify,
}

/// Wakes the other end when this one is dropped.
///
/// It must be the last field of an end, since fields are dropped in order. If it were dropped before the ring's half, the
/// other end could see the ring as still connected and wait forever.
#[derive(Debug, Clone)]
struct WakeOnDrop(Arc<Wakers>);

impl Drop for WakeOnDrop {
    fn drop(&mut self) {
        self.0.item.notify_one();
        self.0.space.notify_waiters();
    }
}

/// The sending end of a ring. Its clones are used by the tasks of one thread, so that its lock is never contended.
#[derive(Debug)]
pub struct Sender<T> {
    ring: Arc<Mutex<Producer<T>>>,
    wakers: WakeOnDrop,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            ring: self.ring.clone(),
            wakers: self.wakers.clone(),
        }
    }
}

/// The receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    ring: Consumer<T>,
    wakers: WakeOnDrop,
}

/// Creates a ring for up to `capacity` items.
pub fn channel<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let wakers = Arc::new(Wakers::default());
    let sender = Sender {
        ring: Arc::new(Mutex::new(producer)),
        wakers: WakeOnDrop(wakers.clone()),
    };
    let receiver = Receiver {
        ring: consumer,
        wakers: WakeOnDrop(wakers),
    };
    (sender, receiver)
}

impl<T> Sender<T> {
    /// Sends an item if the ring has space.
    ///
    /// # Errors
    ///
    /// Returns the item if the ring is full.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        match lock(&self.ring).push(item) {
            Ok(()) => {
                self.wakers.0.item.notify_one();
                Ok(())
            }
            Err(PushError::Full(item)) => Err(item),
        }
    }

    /// Sends an item and waits while the ring is full. The item is dropped if the receiver was dropped.
    ///
    /// Tasks that receive from a ring use [`Self::try_send`] instead, except where the other thread never waits for
    /// theirs: else two threads with full rings would wait for each other.
    pub async fn send(&self, mut item: T) {
        loop {
            let space = self.wakers.0.space.notified();
            match self.try_send(item) {
                Ok(()) => return,
                Err(returned) => item = returned,
            }
            if lock(&self.ring).is_abandoned() {
                return;
            }
            space.await;
        }
    }
}

impl<T> Receiver<T> {
    /// Receives the next item and waits while there is none. Returns `None` once all senders are dropped and the ring is
    /// empty.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.try_recv() {
                return Some(item);
            }
            if self.ring.is_abandoned() {
                return self.try_recv();
            }
            self.wakers.0.item.notified().await;
        }
    }

    /// Receives the next item if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        let item = self.ring.pop().ok()?;
        self.wakers.0.space.notify_waiters();
        Some(item)
    }
}
