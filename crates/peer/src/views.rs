//! The newest views, shared between the control thread and the traffic threads.

use lycheehub_control::View;
use smol::channel::{Receiver, Sender, bounded};
use std::sync::{Arc, Mutex, PoisonError};

/// The newest [`View`], replaced whole.
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
    /// Returns the newest view.
    pub fn latest(&self) -> Arc<View> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the view; a view of an older revision is not taken.
    pub fn publish(&self, view: View) {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        if view.revision < latest.revision {
            return;
        }
        *latest = Arc::new(view);
        drop(latest);
        // A full channel already tells that the view changed.
        let _ = self.changed.0.try_send(());
    }

    /// Waits until the view was replaced.
    pub async fn changed(&self) {
        // The channel cannot close while `self` holds its sender.
        let _ = self.changed.1.recv().await;
    }
}

/// The newest value of a kind, replaced whole.
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
    /// Begins with `value`.
    pub fn new(value: T) -> Self {
        Self { value: Mutex::new(Arc::new(value)), changed: bounded(1) }
    }

    /// Returns the newest value.
    pub fn get(&self) -> Arc<T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the value.
    pub fn publish(&self, value: T) {
        *self.value.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(value);
        // A full channel already tells that the value changed.
        let _ = self.changed.0.try_send(());
    }

    /// Waits until the value was replaced; for one waiting task.
    pub async fn changed(&self) {
        // The channel cannot close while `self` holds its sender.
        let _ = self.changed.1.recv().await;
    }
}
