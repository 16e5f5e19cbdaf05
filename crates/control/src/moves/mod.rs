//! Version moves: the plan, the comparison of versions and the controller.

mod controller;
mod observation;
mod plan;
mod rollout;
mod sequential;

pub use controller::{Controller, Supply};
pub use observation::{Observation, ObservationKey, Observations};
pub use plan::{Plan, is_in_time, next_share_permille};
pub use rollout::{Rollouts, Versions};
pub use sequential::{Comparison, Side, Verdict};
