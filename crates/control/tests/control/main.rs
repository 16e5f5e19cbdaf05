//! Tests of the control state.

mod claims;
mod registry;
mod slots;
mod state;
