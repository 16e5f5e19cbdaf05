//! Bounds the connections of a listener to which anybody may connect.
//!
//! Load pattern: hundreds of clients connect and send nothing, or stop within a request, while readiness
//! checks, announcements and operators' calls come on new connections. At the maximum the connection that
//! was opened first gives way, unless a request of it is being answered.

use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The open connections of a listener.
#[derive(Debug)]
pub(super) struct OpenConnections {
    max: usize,
    count: Cell<usize>,
    last_number: Cell<u64>,
    /// The senders that close connections without a whole request, by number: the first one opened first.
    waiting: RefCell<BTreeMap<u64, Sender<()>>>,
}

impl OpenConnections {
    pub(super) fn new(max: usize) -> Rc<Self> {
        let (count, last_number) = (Cell::new(0), Cell::new(0));
        Rc::new(Self { max, count, last_number, waiting: RefCell::default() })
    }

    /// Adds a connection. At the maximum another one is closed for it; if all are being answered, there is
    /// none to add.
    pub(super) fn add(self: &Rc<Self>) -> Option<OpenConnection> {
        if self.count.get() >= self.max {
            metrics::counter!("lycheehub_connections_refused_total").increment(1);
            let (_, closer) = self.waiting.borrow_mut().pop_first()?;
            // The connection may have ended meanwhile.
            let _ = closer.try_send(());
        }
        self.count.set(self.count.get() + 1);
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (closer, closed) = bounded(1);
        self.waiting.borrow_mut().insert(number, closer.clone());
        Some(OpenConnection { connections: self.clone(), number, closer, closed })
    }
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    connections: Rc<OpenConnections>,
    number: u64,
    closer: Sender<()>,
    closed: Receiver<()>,
}

impl OpenConnection {
    /// Receives a request, after which the connection is not closed for others; returns `None` if it is
    /// closed before.
    pub(super) async fn unless_closed<T>(
        &self,
        receive: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        let waiting = &self.connections.waiting;
        if self.closed.is_empty() {
            waiting.borrow_mut().insert(self.number, self.closer.clone());
        }
        let closed = async {
            // The channel stays open as long as the connection.
            let _ = self.closed.recv().await;
            None
        };
        let received = smol::future::or(closed, receive).await;
        waiting.borrow_mut().remove(&self.number);
        received
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.waiting.borrow_mut().remove(&self.number);
        self.connections.count.set(self.connections.count.get() - 1);
    }
}
