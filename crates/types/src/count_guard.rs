//! A counter of operations in progress.

use std::cell::Cell;

/// Increments a counter on creation and decrements it on drop.
///
/// # Examples
/// ```
/// use lycheehub_types::CountGuard;
/// use std::cell::Cell;
///
/// let running = Cell::new(0);
/// let guard = CountGuard::new(&running);
/// assert_eq!(running.get(), 1);
/// drop(guard);
/// assert_eq!(running.get(), 0);
/// ```
#[derive(Debug)]
pub struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    /// Increments `count`.
    pub fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
