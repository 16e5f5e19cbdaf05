//! Request tiers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The priority of a request; rank 0 is the highest tier.
///
/// Tiers are ordered by priority: a higher tier compares as greater.
///
/// # Examples
/// ```
/// use lycheehub_types::Tier;
/// assert!(Tier::new(0) > Tier::new(4));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tier(u8);

impl Tier {
    /// The number of tiers.
    pub const COUNT: u8 = 5;
    /// The highest tier.
    pub const HIGHEST: Self = Self(0);
    /// The lowest tier.
    pub const LOWEST: Self = Self(Self::COUNT - 1);

    /// Returns the tier of `rank`; ranks beyond the lowest tier map to the lowest tier.
    pub fn new(rank: u8) -> Self {
        Self(rank.min(Self::COUNT - 1))
    }

    /// Returns the rank, 0 for the highest tier.
    pub fn rank(self) -> u8 {
        self.0
    }
}

impl PartialOrd for Tier {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tier {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.0.cmp(&self.0)
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
