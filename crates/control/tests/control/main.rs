//! Tests of the control state.

mod claims;
mod moves;
mod registry;
mod slots;
mod state;
