//! Tells at a start whether the run before ended in order.
//!
//! A process that a signal or a loss of power ends writes no line of its own: handlers of the signals
//! that faults raise need unsafe code. A file in the data folder stands for it, as long as a run lasts.

use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

const FILE: &str = "running";

/// The file that exists while an instance runs.
pub(super) struct RunMarker {
    path: PathBuf,
}

impl RunMarker {
    /// Marks the begin of a run; logs if the run before did not stop in order.
    pub(super) fn begin(folder: &Path, now_unix_ms: u64) -> Self {
        let path = folder.join(FILE);
        match fs::read_to_string(&path) {
            Ok(began) => spdlog::warn!("the run before did not stop in order", kv: {
                // Empty if the file was not written whole.
                began_unix_ms = began.trim(),
                path: = path.display(),
            }),
            Err(error) if error.kind() == ErrorKind::NotFound => {}
            Err(error) => spdlog::warn!("no word of the run before", kv: { error: }),
        }
        // Not made durable: what it says matters less than the time that would take.
        if let Err(error) = fs::write(&path, now_unix_ms.to_string()) {
            spdlog::warn!("the run is not marked", kv: { error: });
        }
        Self { path }
    }

    /// Marks that the run stopped in order.
    pub(super) fn end(self) {
        if let Err(error) = fs::remove_file(&self.path) {
            spdlog::warn!("the end of the run is not marked", kv: { error: });
        }
    }
}
