//! Prompts and a request on which endpoints crash, and the check that few of them reach endpoints.

use sha2::{Digest, Sha256};
use std::time::{Duration, Instant};

/// The part of prompts on which endpoints crash.
const CRASHING_PART: &str = "dead:80";
/// The part that all prompts share.
const SHARED_PART: &str = "5afe:60";
/// A caller sends a crashing prompt with one in so many requests, if that is one of a stream.
const CRASHING_INTERVAL: u64 = 30;
/// The path of the request on which endpoints crash; its callers repeat it.
pub const CRASHING_PATH: &str = "/look/crashing?copies=1";
/// A caller sends it in one of so many requests, if that is a safe one.
const CRASHING_REQUEST_INTERVAL: u64 = 10;
/// How long an endpoint is down after a crash.
pub const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// How long after the crash from which on it counts they may reach endpoints without bound.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How many may reach endpoints after that.
const FURTHER_MAX: usize = 3;

/// What endpoints crash on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A part of prompts.
    Part,
    /// A request that is repeated.
    Request,
}

impl Cause {
    /// Returns why endpoints crash on a request, if they do.
    pub fn of(path: &str, prefix: Option<&str>) -> Option<Self> {
        if path == CRASHING_PATH {
            return Some(Self::Request);
        }
        prefix.is_some_and(|prefix| prefix.contains(CRASHING_PART)).then_some(Self::Part)
    }

    /// Returns the number of the crash from which on the time counts.
    fn counted_crash(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Request => 3,
        }
    }
}

/// Tells whether a caller's safe request is the one on which endpoints crash.
pub fn is_crashing_request(request: u64) -> bool {
    request % CRASHING_REQUEST_INTERVAL == CRASHING_REQUEST_INTERVAL / 2
}

/// Returns the parts of the prompt of a caller's stream request.
pub fn prefix_of(request: u64, id: &str) -> String {
    let own = hex::encode(&Sha256::digest(id)[..6]);
    if request % CRASHING_INTERVAL == CRASHING_INTERVAL / 2 {
        return format!("{SHARED_PART},{CRASHING_PART},{own}:40");
    }
    format!("{SHARED_PART},{own}:40")
}

/// When endpoints crashed for a cause, and when requests with it arrived there.
#[derive(Default)]
pub struct Crashes {
    crashes: Vec<Instant>,
    /// The entry instance of each, when its caller sent it, and when it arrived.
    arrivals: Vec<(usize, Instant, Instant)>,
}

impl Crashes {
    /// Records that an endpoint crashed.
    pub fn add_crash(&mut self) {
        self.crashes.push(Instant::now());
    }

    /// Records that such a request, sent to an entry instance at `sent_at`, arrived at an endpoint.
    pub fn add_arrival(&mut self, entry: usize, sent_at: Instant) {
        self.arrivals.push((entry, sent_at, Instant::now()));
    }

    /// Returns how many endpoints crashed.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the violation if too many such requests came from entry instances that were settled, as
    /// `is_settled` tells of one for a time.
    pub fn check(
        &self,
        cause: Cause,
        is_settled: impl Fn(usize, Instant, Instant) -> bool,
    ) -> Option<String> {
        let counted_from = *self.crashes.get(cause.counted_crash() - 1)? + CONTACT_TIME;
        let further = self.arrivals.iter().filter(|(entry, sent_at, at)| {
            *sent_at > counted_from && is_settled(*entry, *sent_at, *at)
        });
        let further = further.count();
        let crashes = self.crashes.len();
        (further > FURTHER_MAX).then(|| {
            format!("BUDGET: {cause:?}: {further} further requests; {crashes} endpoints crashed")
        })
    }
}
