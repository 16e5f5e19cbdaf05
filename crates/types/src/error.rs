//! An error that names the failed step and the peer.

use quick_error::quick_error;
use smol_str::SmolStr;

quick_error! {
    /// A failed exchange with a peer, an endpoint or a file.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PeerError {
        /// The step failed with an error.
        Failed(step: &'static str, peer: SmolStr, message: SmolStr) {
            display("{} at {}: {}", step, peer, message)
        }
        /// The step did not complete within its timeout.
        TimedOut(step: &'static str, peer: SmolStr, after_ms: u64) {
            display("{} at {}: no answer within {} ms", step, peer, after_ms)
        }
    }
}

impl PeerError {
    /// Creates an error for a failed `step` at `peer` from any cause.
    pub fn failed(step: &'static str, peer: impl Into<SmolStr>, cause: impl ToString) -> Self {
        Self::Failed(step, peer.into(), cause.to_string().into())
    }

    /// Returns the step that failed.
    ///
    /// # Examples
    /// ```
    /// let error = lycheehub_types::PeerError::failed("connect", "entry-1", "refused");
    /// assert_eq!(error.step(), "connect");
    /// ```
    pub fn step(&self) -> &'static str {
        match self {
            Self::Failed(step, ..) | Self::TimedOut(step, ..) => step,
        }
    }
}
