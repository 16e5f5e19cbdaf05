//! A gate that holds the threads of an endpoint while the endpoint is silent.

use std::sync::{Condvar, Mutex, PoisonError};

/// Open unless it was closed more often than opened.
#[derive(Default)]
pub struct Gate {
    closed: Mutex<usize>,
    opened: Condvar,
}

impl Gate {
    /// Holds all threads that come to the gate.
    pub fn close(&self) {
        *self.closed.lock().unwrap_or_else(PoisonError::into_inner) += 1;
    }

    /// Takes one [`Gate::close`] back.
    pub fn open(&self) {
        *self.closed.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        self.opened.notify_all();
    }

    /// Waits while the gate is closed.
    pub fn pass(&self) {
        let mut closed = self.closed.lock().unwrap_or_else(PoisonError::into_inner);
        while *closed > 0 {
            closed = self.opened.wait(closed).unwrap_or_else(PoisonError::into_inner);
        }
    }
}
