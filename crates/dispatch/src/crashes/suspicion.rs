//! Keeps suspects from endpoints until it is decided whether they are quarantined.

use super::service::{RETRY_MIN_MS, ServiceCrashes};
use super::{Content, Prompt, RequestDigest, Scope, Suspect};

/// The delay after which a request on a suspect prompt may be retried, in milliseconds: the suspicion
/// is confirmed or disproved by then.
const SUSPECT_RETRY_MS: u64 = 2_000;
/// How long after a crash the only request at it is not placed again, in milliseconds: it is known by then whether
/// the endpoint crashed, and a caller waits for a third of its time at most.
const ALONE_MS: u64 = 2_000;
/// How long after its second crash a request is not placed again, in milliseconds: a third is known by
/// then, and so is an endpoint's return.
const REPEATED_MS: u64 = 10_000;
/// How long after a crash a single instance does not place the requests at it, in milliseconds: others
/// may have as many crashes, and a leader is elected by then.
const SINGLE_INSTANCE_MS: u64 = 60_000;
/// How long a request that was suspect is placed only once, in milliseconds: its callers were told the same
/// time and come back together.
const PROBE_MS: u64 = 5_000;
/// The number of crashes at which a request is suspect even if it was not alone.
const REPEATED: usize = 2;

/// The crashes at which a request was at work.
struct Crashes {
    at_ms: Vec<u64>,
    /// It was the only request at the last of them, and is not owed the rest of an answer.
    was_alone: bool,
}

/// Whether a request that is not quarantined is suspect.
pub(super) enum Suspicion {
    /// It is not.
    None,
    /// It must wait for this long, in milliseconds.
    Waiting { wait_ms: u64 },
    /// It was, and no answer to it came since.
    Passed(RequestDigest),
}

impl Suspicion {
    /// Returns how long the request must wait, in milliseconds, if it must.
    pub(super) fn wait_ms(&self) -> Option<u64> {
        match self {
            Self::Waiting { wait_ms } => Some(*wait_ms),
            Self::None | Self::Passed(_) => None,
        }
    }
}

impl ServiceCrashes {
    /// Returns whether a request that is not quarantined is suspect.
    pub(super) fn suspicion(
        &self,
        now_ms: u64,
        content: &Content,
        is_repeat: bool,
        scope: Scope,
    ) -> Suspicion {
        let any_request = is_repeat || scope == Scope::UntilLeader;
        if scope != Scope::Independent && self.is_suspect_prompt(content.prompt(), any_request) {
            return Suspicion::Waiting { wait_ms: SUSPECT_RETRY_MS };
        }
        let Some(digest) = content.digest() else { return Suspicion::None };
        let Some(until_ms) = self.suspect_until_ms(digest, scope) else { return Suspicion::None };
        match until_ms.saturating_sub(now_ms) {
            0 => Suspicion::Passed(digest),
            left_ms => Suspicion::Waiting { wait_ms: left_ms.max(RETRY_MIN_MS) },
        }
    }

    /// Lets one repeat through of a request whose suspicion has passed without an answer to it; returns how
    /// long others must wait, in milliseconds.
    pub(super) fn probe_ms(&mut self, now_ms: u64, digest: RequestDigest) -> Option<u64> {
        self.probes.retain(|_, at_ms| now_ms < *at_ms + PROBE_MS);
        let Some(at_ms) = self.probes.get(&digest) else {
            self.probes.insert(digest, now_ms);
            return None;
        };
        Some((at_ms + PROBE_MS - now_ms).max(RETRY_MIN_MS))
    }

    /// Returns until when a request is not placed, in milliseconds, if it is suspect. One that was ever
    /// answered whole is not: endpoints crash on it for another reason, or it is quarantined.
    fn suspect_until_ms(&self, digest: RequestDigest, scope: Scope) -> Option<u64> {
        if self.answers.last_ms(Suspect::Request(digest)).is_some() {
            return None;
        }
        let Crashes { at_ms, was_alone } = self.crashes_at(digest);
        let last_ms = *at_ms.last()?;
        let is_repeated = at_ms.len() >= REPEATED;
        match scope {
            Scope::UntilLeader => Some(last_ms + SINGLE_INSTANCE_MS),
            _ if is_repeated => Some(last_ms + REPEATED_MS),
            Scope::AllInstances => was_alone.then_some(last_ms + ALONE_MS),
            Scope::Independent => None,
        }
    }

    fn crashes_at(&self, digest: RequestDigest) -> Crashes {
        let request = Suspect::Request(digest);
        let lost = self.probable_losses();
        let lost = lost.map(|(_, loss)| (loss.at_ms, &loss.contents, loss.is_reason_to_wait()));
        let crashed = self.unexplained().map(|crash| (crash.at_ms, &crash.contents, true));
        let mut found: Vec<(u64, bool)> = lost
            .chain(crashed)
            .filter(|(_, contents, _)| contents.iter().any(|content| content.has(request)))
            .map(|(at_ms, contents, is_reason)| (at_ms, contents.len() == 1 && is_reason))
            .collect();
        found.sort_unstable();
        let was_alone = found.last().is_some_and(|(_, was_alone)| *was_alone);
        Crashes { at_ms: found.into_iter().map(|(at_ms, _)| at_ms).collect(), was_alone }
    }

    /// Returns whether an endpoint has crashed, or probably has, on this very prompt, or with
    /// `any_request` on one that shares a part, and no answer has ever begun on that part.
    fn is_suspect_prompt(&self, prompt: &Prompt, any_request: bool) -> bool {
        let is_unproved = |part: &&u64| self.answers.last_ms(Suspect::Part(**part)).is_none();
        let unproved: Vec<u64> = prompt.shared().iter().filter(is_unproved).copied().collect();
        let is_met = |other: &Content| {
            (any_request || other.prompt().own() == prompt.own())
                && unproved.iter().any(|part| other.prompt().has(*part))
        };
        let lost = self.probable_losses().flat_map(|(_, loss)| &loss.contents);
        let crashed = self.unexplained().flat_map(|crash| &crash.contents);
        !unproved.is_empty() && lost.chain(crashed).any(is_met)
    }
}
