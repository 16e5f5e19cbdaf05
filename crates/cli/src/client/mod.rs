//! Commands that call instances, and their client, which tries several instances in turn.

pub mod apply;
mod call;
pub mod evacuations;
pub mod get;
pub mod lists;
pub mod moves;
pub mod quarantines;
mod table;

pub use call::{Call, Client};
