//! How often watchers of a directory receive changes, and how many at once.
//!
//! Load pattern: hundreds of instances watch, and either thousands of endpoints announce themselves
//! within a second or all instances start at once. Sending each change to all watchers immediately
//! would occupy the replicas completely. Sending all changes in one reply would fill the memory
//! with replies in flight.

/// The maximum number of changes in a reply, about 20 KB.
pub const MAX_CHANGES_PER_REPLY: usize = 128;
/// The number of watchers that receive a reply per millisecond while changes arrive continuously.
const REPLIES_PER_MS: u64 = 1;
/// The maximum time for which changes are batched, in milliseconds. It is a part of the time within
/// which the departure of an endpoint must take effect.
const MAX_BATCH_DELAY_MS: u64 = 400;
/// The time for a reply to arrive, in milliseconds, including some delay.
const TRANSIT_MS: u64 = 50;

/// What a watcher has not received yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backlog {
    /// The watcher is up to date.
    Empty,
    /// The watcher has received no change of this epoch, or does not know the leader or the latest
    /// state.
    Immediate,
    /// The watcher lacks some endpoint changes.
    Changes {
        /// The number of changes.
        count: usize,
        /// The age of the oldest change, in milliseconds.
        oldest_ms: u64,
    },
}

/// Returns how long changes are batched before they are sent to a watcher, in milliseconds, with
/// `watchers` watchers in total.
///
/// # Examples
/// ```
/// use lycheehub_control::directory::batching::{Backlog, batch_delay_ms};
///
/// assert_eq!(batch_delay_ms(Backlog::Changes { count: 1, oldest_ms: 7 }, 67), 60);
/// assert_eq!(batch_delay_ms(Backlog::Immediate, 67), 0);
/// ```
pub fn batch_delay_ms(backlog: Backlog, watchers: usize) -> u64 {
    match backlog {
        Backlog::Empty | Backlog::Immediate => 0,
        // A full reply gains nothing from waiting.
        Backlog::Changes { count, .. } if count >= MAX_CHANGES_PER_REPLY => 0,
        Backlog::Changes { oldest_ms, .. } => {
            longest_batch_delay_ms(watchers).saturating_sub(oldest_ms)
        }
    }
}

/// Returns how long a change of another replica is held before it is relayed to a watcher that
/// lacks it, in milliseconds. The other replica batches it for as long before it sends it to this
/// replica and to the watcher.
///
/// # Examples
/// ```
/// assert_eq!(lycheehub_control::directory::batching::relay_delay_ms(67), 184);
/// ```
pub fn relay_delay_ms(watchers: usize) -> u64 {
    2 * longest_batch_delay_ms(watchers) + TRANSIT_MS
}

fn longest_batch_delay_ms(watchers: usize) -> u64 {
    (watchers as u64 / REPLIES_PER_MS).min(MAX_BATCH_DELAY_MS)
}
