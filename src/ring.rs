//! Bounded rings between threads: one sender, one receiver, woken on either side.

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
struct Wake {
    item: Notify,
    space: Notify,
}

/// Wakes the other end when this one is dropped.
///
/// Fields are dropped in their order, and this is the last one: an end that woke any earlier would find the ring
/// not yet abandoned and sleep again, for good.
#[derive(Debug, Clone)]
struct Signal(Arc<Wake>);

impl Drop for Signal {
    fn drop(&mut self) {
        self.0.item.notify_one();
        self.0.space.notify_waiters();
    }
}

/// The end of a ring that puts items in. The tasks of one thread share it, so that its lock is never contended.
#[derive(Debug)]
pub struct Sender<T> {
    ring: Arc<Mutex<Producer<T>>>,
    wake: Signal,
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            ring: self.ring.clone(),
            wake: self.wake.clone(),
        }
    }
}

/// The end of a ring that takes items out.
#[derive(Debug)]
pub struct Receiver<T> {
    ring: Consumer<T>,
    wake: Signal,
}

/// Makes a ring with `places` places.
pub fn channel<T>(places: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = RingBuffer::new(places);
    let wake = Arc::new(Wake::default());
    let sender = Sender {
        ring: Arc::new(Mutex::new(producer)),
        wake: Signal(wake.clone()),
    };
    let receiver = Receiver {
        ring: consumer,
        wake: Signal(wake),
    };
    (sender, receiver)
}

impl<T> Sender<T> {
    /// Puts an item in.
    ///
    /// # Errors
    ///
    /// Gives the item back when the ring is full.
    pub fn try_send(&self, item: T) -> Result<(), T> {
        match lock(&self.ring).push(item) {
            Ok(()) => {
                self.wake.0.item.notify_one();
                Ok(())
            }
            Err(PushError::Full(item)) => Err(item),
        }
    }

    /// Puts an item in, waiting for a place.
    ///
    /// Only tasks that read no ring may wait here. The tasks that read the rings never wait for a place, so
    /// two threads with full rings can't wait for each other.
    pub async fn send(&self, mut item: T) {
        loop {
            let space = self.wake.0.space.notified();
            match self.try_send(item) {
                Ok(()) => return,
                Err(back) => item = back,
            }
            if lock(&self.ring).is_abandoned() {
                return;
            }
            space.await;
        }
    }
}

impl<T> Receiver<T> {
    /// Takes the next item, waiting for it; none once the sender is gone.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.try_recv() {
                return Some(item);
            }
            if self.ring.is_abandoned() {
                return self.try_recv();
            }
            self.wake.0.item.notified().await;
        }
    }

    /// Takes the next item if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        let item = self.ring.pop().ok()?;
        self.wake.0.space.notify_waiters();
        Some(item)
    }
}
