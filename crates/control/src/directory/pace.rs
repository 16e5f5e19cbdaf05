//! How often those that watch a directory are told, and how much at once.
//!
//! Load pattern: thousands of endpoints announce themselves within a second, or all instances start
//! at once, and hundreds of instances watch. Were each change told to all as it comes, replicas
//! would do nothing else; were all told at once, the answers that are on their way together would
//! fill the memory.

/// How many changes an answer carries at most: some 20 KB.
pub const ANSWER_CHANGES: usize = 128;
/// How many of those that watch are answered in a millisecond where news come all the time.
const ANSWERS_PER_MS: u64 = 1;
/// How long news are gathered at most, in milliseconds: a part of the time in which the word of an
/// endpoint that leaves must be in force.
const GATHER_MAX_MS: u64 = 400;
/// How long an answer takes to arrive, in milliseconds, with some delay.
const WAY_MS: u64 = 50;

/// What one that watches does not know yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behind {
    /// It knows all that there is.
    Nothing,
    /// It knows no change of this run, or does not know the leader or the newest state.
    AtOnce,
    /// It does not know some changes of endpoints.
    Changes {
        /// How many.
        count: usize,
        /// How long ago the oldest of them came, in milliseconds.
        oldest_ms: u64,
    },
}

/// Returns how long news are gathered before one that watches is told, in milliseconds, where
/// `watchers` do so.
///
/// # Examples
/// ```
/// use lycheehub_control::directory::pace::{Behind, gather_ms};
///
/// assert_eq!(gather_ms(Behind::Changes { count: 1, oldest_ms: 7 }, 67), 60);
/// assert_eq!(gather_ms(Behind::AtOnce, 67), 0);
/// ```
pub fn gather_ms(behind: Behind, watchers: usize) -> u64 {
    match behind {
        Behind::Nothing | Behind::AtOnce => 0,
        // A full answer does not get fuller.
        Behind::Changes { count, .. } if count >= ANSWER_CHANGES => 0,
        Behind::Changes { oldest_ms, .. } => longest_gather_ms(watchers).saturating_sub(oldest_ms),
    }
}

/// Returns how long what another replica told is kept before it is passed on to one that has not
/// heard it, in milliseconds: the other replica gathers it for as long as for this one.
///
/// # Examples
/// ```
/// assert_eq!(lycheehub_control::directory::pace::relay_after_ms(67), 184);
/// ```
pub fn relay_after_ms(watchers: usize) -> u64 {
    2 * longest_gather_ms(watchers) + WAY_MS
}

fn longest_gather_ms(watchers: usize) -> u64 {
    (watchers as u64 / ANSWERS_PER_MS).min(GATHER_MAX_MS)
}
