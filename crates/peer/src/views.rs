//! The latest view, shared between the control thread and the traffic threads.

use lycheehub_control::View;
use smol::channel::{Receiver, Sender, bounded};
use std::sync::{Arc, Mutex, PoisonError};

/// The latest [`View`], replaced as a whole.
///
/// # Examples
/// ```
/// let views = lycheehub_peer::Views::default();
/// assert_eq!(views.latest().revision, 0);
/// ```
#[derive(Clone, Debug)]
pub struct Views {
    latest: Arc<Mutex<Arc<View>>>,
    changed: (Sender<()>, Receiver<()>),
}

impl Default for Views {
    fn default() -> Self {
        Self { latest: Arc::default(), changed: bounded(1) }
    }
}

impl Views {
    /// Returns the latest view.
    pub fn latest(&self) -> Arc<View> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the view, unless the new view has an older revision.
    pub fn publish(&self, view: View) {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        if view.revision < latest.revision {
            return;
        }
        *latest = Arc::new(view);
        drop(latest);
        // If the channel is full, a change is already signalled.
        let _ = self.changed.0.try_send(());
    }

    /// Waits until the view is replaced.
    pub async fn changed(&self) {
        // The channel cannot close while `self` holds its sender.
        let _ = self.changed.1.recv().await;
    }
}

/// The latest value of a type, replaced as a whole.
///
/// # Examples
/// ```
/// let latest = lycheehub_peer::Latest::new(7);
/// latest.publish(8);
/// assert_eq!(*latest.get(), 8);
/// ```
#[derive(Debug)]
pub struct Latest<T> {
    value: Mutex<Arc<T>>,
    changed: (Sender<()>, Receiver<()>),
}

impl<T> Latest<T> {
    /// Creates a cell that holds `value`.
    pub fn new(value: T) -> Self {
        Self { value: Mutex::new(Arc::new(value)), changed: bounded(1) }
    }

    /// Returns the latest value.
    pub fn get(&self) -> Arc<T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the value.
    pub fn publish(&self, value: T) {
        *self.value.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(value);
        // If the channel is full, a change is already signalled.
        let _ = self.changed.0.try_send(());
    }

    /// Waits until the value is replaced. Only one task may wait, as each change wakes one.
    pub async fn changed(&self) {
        // The channel cannot close while `self` holds its sender.
        let _ = self.changed.1.recv().await;
    }
}
