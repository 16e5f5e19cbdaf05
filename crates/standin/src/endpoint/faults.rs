//! Faults that a stand-in can be told to have.

use serde::{Deserialize, Serialize};

/// Faults; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// How much slower generation is, 0 or 1 for not at all.
    pub slow: f64,
    /// The chance that a request fails.
    pub fail: f64,
    /// The stream is cut after this many tokens.
    pub cut_after_tokens: Option<u64>,
    /// Nothing more is sent, though connections stay open.
    pub frozen: bool,
    /// The faults hold on this route only.
    pub route: Option<String>,
    /// The faults hold only while at least this many requests run.
    pub min_running: u32,
    /// No announcements are sent.
    pub silent: bool,
    /// Announcements say that the endpoint is leaving.
    pub leaving: bool,
}

impl Faults {
    /// Tells whether the faults hold for a request on `route` while `running` requests run.
    pub fn hold(&self, route: &str, running: u32) -> bool {
        self.route.as_deref().is_none_or(|bad| bad == route) && running >= self.min_running
    }
}
