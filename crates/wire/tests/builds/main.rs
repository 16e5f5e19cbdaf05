//! Builds side by side: this build reads what earlier builds sent and stored, and what a newer build
//! may send.
//!
//! `tests/recorded/BUILD` holds messages that the build itself encoded, with the source of the program
//! that wrote them.

mod messages;
mod stored;
mod unknown;

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::{OwnedSegments, read_message, write_message_to_words};
use std::path::PathBuf;

/// The builds whose messages are recorded, the oldest first.
const BUILDS: [&str; 2] = ["4f1d2c8", "3b461ea"];
/// The last of them.
const LAST_BUILD: &str = "3b461ea";

fn folder_of(build: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(build)
}

fn recorded_bytes(build: &str, file: &str) -> Vec<u8> {
    let path = folder_of(build).join(file);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn message_of(bytes: &[u8]) -> Reader<OwnedSegments> {
    read_message(&mut &bytes[..], ReaderOptions::new()).unwrap()
}

fn recorded(build: &str, name: &str) -> Reader<OwnedSegments> {
    message_of(&recorded_bytes(build, &format!("{name}.capnp")))
}

fn written(write: impl FnOnce(&mut Builder<HeapAllocator>)) -> Vec<u8> {
    let mut message = Builder::new_default();
    write(&mut message);
    write_message_to_words(&message)
}
