//! The newest view, shared between the control thread and the traffic threads.

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
