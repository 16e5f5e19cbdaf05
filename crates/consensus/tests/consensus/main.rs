//! Tests of the replicated log: fault schedules over pure replicas, and storage on a real disk.

mod bootstrap;
mod elections;
mod membership;
mod network;
mod replacements;
mod schedules;
mod storage;
mod stored;
mod unknown;
mod world;
