//! The settings file.

mod file;
mod load;

pub use file::{File, LogFormat};
pub use load::{Loaded, embedded, load};
