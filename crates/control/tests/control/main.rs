//! Tests of the control state.

mod claims;
mod decode;
mod directory;
mod document;
mod evacuations;
mod false_alarms;
mod farewells;
mod fixtures;
mod late_regressions;
mod moves;
mod orders;
mod pauses;
mod placement;
mod registry;
mod rollouts;
mod slots;
mod state;
