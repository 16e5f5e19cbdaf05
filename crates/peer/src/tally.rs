//! Counts what is under way.

use std::cell::Cell;

/// Counts one for as long as it lives.
pub(crate) struct Tally<'a>(&'a Cell<usize>);

impl<'a> Tally<'a> {
    pub(crate) fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Tally<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
