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

    /// Waits until the event happens.
    pub async fn wait(&self) {
        // No value is ever sent; `recv` returns once the channel is closed.
        let _ = self.receiver.recv().await;
    }
}
