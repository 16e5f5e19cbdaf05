//! How long a peer takes to answer, learned from its answers.
//!
//! Load pattern: the leader freezes under full load. Requests wait for it until it is given up, and
//! most of them have an objective of some hundred milliseconds. A fixed time that a slow leader may
//! take is most of that; so the time that it is given follows from how it has answered of late.

/// The least time that is given, in milliseconds: some round trips between failure domains and a
/// short pause of either side.
const LEAST_MS: f64 = 80.0;
/// The longest time that is given, in milliseconds: the most that a caller's objective has to spare.
const MOST_MS: f64 = 250.0;
/// The weight of a new answer in the mean, and in the deviation from it.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// How many deviations beyond the mean an answer may take.
const DEVIATIONS: f64 = 4.0;

/// Times of answers.
///
/// # Examples
/// ```
/// use lycheehub_peer::entry::AnswerTimes;
///
/// let mut times = AnswerTimes::default();
/// assert_eq!(times.bound_ms(), 250);
/// (0..50).for_each(|_| times.note(4));
/// assert_eq!(times.bound_ms(), 80);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    /// The mean, and the mean deviation from it, in milliseconds; nothing until an answer came.
    learned: Option<(f64, f64)>,
}

impl AnswerTimes {
    /// Takes the time that an answer took, in milliseconds.
    pub fn note(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        let (mean, deviation) = self.learned.unwrap_or((took_ms, MOST_MS / DEVIATIONS));
        let off = took_ms - mean;
        let deviation = deviation + DEVIATION_WEIGHT * (off.abs() - deviation);
        self.learned = Some((mean + MEAN_WEIGHT * off, deviation));
    }

    /// Returns how long the next answer may take, in milliseconds.
    pub fn bound_ms(&self) -> u64 {
        let expected = self.learned.map(|(mean, deviation)| mean + DEVIATIONS * deviation);
        expected.unwrap_or(MOST_MS).clamp(LEAST_MS, MOST_MS) as u64
    }
}
