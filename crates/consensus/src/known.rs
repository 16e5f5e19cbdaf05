//! What the state machine of this build can read.

/// Tells which commands and snapshots the state machine of this build can read. Replicas of several
/// builds run side by side, and a newer one may have written what an older one does not know.
///
/// # Examples
/// ```
/// use lycheehub_consensus::Known;
///
/// let known = Known { command: |bytes| bytes.first() == Some(&1), ..Known::default() };
/// assert!((known.command)(&[1, 2]));
/// assert!(!(known.command)(&[9]));
/// assert!((known.snapshot)(&[9]));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Returns true if a command can be applied.
    pub command: fn(&[u8]) -> bool,
    /// Returns true if a snapshot's data can be restored.
    pub snapshot: fn(&[u8]) -> bool,
}

impl Default for Known {
    /// Everything is known.
    fn default() -> Self {
        Self { command: |_| true, snapshot: |_| true }
    }
}
