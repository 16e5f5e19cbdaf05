//! Version moves: the schedule, the comparison of versions and the controllers.

mod controller;
mod failures;
mod observation;
mod plan;
mod rollouts;
mod sequential;
mod slowdowns;
mod window;

pub use controller::{MoveController, SlotsByVersion};
pub use observation::{Observation, ObservationKey, Observations};
pub use plan::{Plan, is_on_schedule, next_share_permille};
pub use rollouts::{RolloutController, RolloutOptions, VersionCapacity};
pub use sequential::{Comparison, Side, Verdict};
