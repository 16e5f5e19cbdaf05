//! The settings file.

mod file;
mod load;

pub use file::{File, LogFormat};
pub use load::{InstanceSettings, embedded, load};
