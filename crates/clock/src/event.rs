//! An event that happens once.

use smol::channel::{Receiver, Sender, bounded};

/// Something that happens once and that any number of tasks wait for.
///
/// # Examples
/// ```
/// let event = lycheehub_clock::Event::default();
/// assert!(!event.is_set());
/// event.set();
/// smol::block_on(event.wait());
/// ```
#[derive(Debug)]
pub struct Event {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Event {
    fn default() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }
}

impl Event {
    /// Lets the event happen.
    pub fn set(&self) {
        self.sender.close();
    }

    /// Returns whether the event has happened.
    pub fn is_set(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Runs a future unless the event happens first; returns `None` then.
    ///
    /// # Examples
    /// ```
    /// let event = lycheehub_clock::Event::default();
    /// event.set();
    /// assert_eq!(smol::block_on(event.interrupt(std::future::pending::<()>())), None);
    /// ```
    pub async fn interrupt<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let done = async { Some(work.await) };
        let interrupted = async {
            self.wait().await;
            None
        };
        smol::future::or(done, interrupted).await
    }

    /// Waits until the event happens.
    pub async fn wait(&self) {
        // No value is ever sent; `recv` returns once the channel is closed.
        let _ = self.receiver.recv().await;
    }
}
