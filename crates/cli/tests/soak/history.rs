//! The history of a run as callers, endpoints and the operator observe it.

use crate::caller::{PLAIN_TIMEOUT_MS, STREAM_TIMEOUT_MS};
use crate::checks;
use crate::endpoint::DRAIN_TIME;
use crate::limits::Limits;
use crate::lines::{self, Lines, Unanswered};
use crate::prompts::{Cause, Crashes};
use crate::rejections::Rejections;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long an instance must have been undisturbed before guarantees with a time bound apply to it.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long after an endpoint's notice requests that are already in flight may reach it.
const IN_FLIGHT_SLACK: Duration = Duration::from_millis(500);
/// How many requests may reach an endpoint during a pause that it has asked for.
const PAUSE_ARRIVALS_MAX: usize = 2;

/// The kind of a request's route, which decides whether the request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    ResumableStream,
}

impl Kind {
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }

    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns the timeout of its route.
    pub fn timeout(self) -> Duration {
        let timeout_ms = if self.is_stream() { STREAM_TIMEOUT_MS } else { PLAIN_TIMEOUT_MS };
        Duration::from_millis(timeout_ms)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    /// With a status that promises that it did not run.
    Refused(u16),
    Failed(u16),
    /// The connection closed before the end of the reply.
    Cut,
    /// The connection closed before the first byte of the reply.
    Unanswered,
    /// Neither a reply nor a close came in time.
    TimedOut,
}

/// The death of an endpoint that told no peer of it.
#[derive(Clone, Copy, Debug)]
pub struct Death {
    pub endpoint: usize,
    pub at: Instant,
    /// When a control instance had acknowledged the announcement of a new start.
    pub announced_at: Option<Instant>,
}

/// The part of the deployment that a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Entry(usize),
    Endpoint(usize),
    /// The network path to an endpoint.
    EndpointPath(usize),
    /// Control instances, or the network paths between them.
    Control,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub kind: Kind,
    pub entry: usize,
    pub method: &'static str,
    pub path: String,
    pub body: String,
    /// Whether it is the first one on its connection.
    pub is_first: bool,
    /// The caller's address, by which the instance's lines name the connection.
    pub caller: String,
    pub at: Instant,
}

/// A request as an endpoint ran it.
#[derive(Clone, Debug)]
pub struct Run {
    pub endpoint: usize,
    pub method: String,
    pub path: String,
    pub body: String,
    pub account: Option<String>,
    pub has_key: bool,
    pub resumed: bool,
    pub at: Instant,
}

/// A notice that an endpoint has sent to an entry instance in a reply.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    endpoint: usize,
    entry: usize,
    at: Instant,
    /// How long the endpoint accepts no requests; `None` if it is shutting down.
    pause: Option<Duration>,
    /// How many requests have reached the endpoint in spite of the notice.
    arrivals: usize,
}

/// What was observed so far.
#[derive(Default)]
pub struct Inner {
    /// Whether the run has no unplanned faults.
    pub is_calm: bool,
    pub limits: Limits,
    pub crashes: BTreeMap<Cause, Crashes>,
    pub rejections: Rejections,
    pub notices: Vec<Notice>,
    pub sent: BTreeMap<String, SentRequest>,
    pub runs: BTreeMap<String, Vec<Run>>,
    /// The status of each request that was refused, which guarantees that it never runs.
    pub refused: BTreeMap<String, u16>,
    /// When callers disconnected without waiting for the reply.
    pub disconnected: BTreeMap<String, Instant>,
    /// When connections closed before the complete reply.
    pub interrupted: BTreeMap<String, Instant>,
    /// When endpoints had sent their complete reply.
    pub completed: BTreeMap<String, Instant>,
    pub disturbances: Vec<(Scope, Instant, Option<Instant>)>,
    /// The endpoints that each request has reached.
    pub arrivals: BTreeMap<String, BTreeSet<usize>>,
    /// How each request ended, and when.
    pub ends: BTreeMap<String, (End, Instant)>,
    /// The deaths of endpoints that told no peer, in order of time.
    pub deaths: Vec<Death>,
    /// The times in which sound endpoints were silent.
    pub silences: Vec<(usize, Instant, Option<Instant>)>,
    /// The last responses on idle connections of entry instances: since when the connection was idle, and when the
    /// response was found.
    pub last_responses: Vec<(usize, Instant, Instant)>,
    /// The entry instances that were killed, so that lines of theirs may be lost.
    pub killed: BTreeSet<usize>,
    /// The planned stops of entry instances, each from its signal to its exit.
    pub stops: Vec<(usize, Instant, Instant)>,
    pub violations: BTreeSet<String>,
    pub counts: BTreeMap<&'static str, u64>,
    /// Requests without a complete reply at their route's timeout.
    pub overdue: usize,
    /// Those of them that are still without one after the caller's slack of half a second.
    pub overdue_late: usize,
}

impl Inner {
    /// Tells whether a fault disturbed `scope` at any time from `from` to `to`.
    pub fn is_disturbed(&self, scope: Scope, from: Instant, to: Instant) -> bool {
        self.disturbances.iter().any(|(other, begin, end)| {
            *other == scope && *begin <= to && end.is_none_or(|end| end >= from)
        })
    }

    /// Returns the earliest moment at which an endpoint could have seen what it sees at `at` and was sent at `from`:
    /// while it was silent, what had arrived waited.
    pub fn arrival_time(&self, endpoint: usize, from: Instant, at: Instant) -> Instant {
        let silent = self.silences.iter().filter(|(silent, _, _)| *silent == endpoint);
        let overlaps = silent.map(|(_, begin, end)| {
            let end = end.unwrap_or(at).min(at);
            end.saturating_duration_since((*begin).max(from))
        });
        at.checked_sub(overlaps.sum()).unwrap_or(at).max(from)
    }

    /// Tells whether the instance of a request that an endpoint replies to now does not wait for this reply: the
    /// request has ended, or it was held up on its way here and has gone to another endpoint meanwhile.
    fn is_abandoned(&self, endpoint: usize, id: &str) -> bool {
        let Some(sent) = self.sent.get(id) else { return true };
        let now = Instant::now();
        let was_held_up = self.is_disturbed(Scope::EndpointPath(endpoint), sent.at, now)
            || self.arrival_time(endpoint, sent.at, now) < now;
        let arrived = self.arrivals.get(id);
        let has_moved = arrived.is_some_and(|endpoints| endpoints.iter().any(|to| *to != endpoint));
        self.ends.contains_key(id)
            || self.disconnected.contains_key(id)
            || (was_held_up && has_moved)
    }

    pub fn is_settled(&self, entry: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(SETTLE_TIME).unwrap_or(from);
        !self.is_disturbed(Scope::Entry(entry), from, to)
            && !self.is_disturbed(Scope::Control, from, to)
    }
}

/// Everything observed during a run; shared by all threads.
pub struct History {
    inner: Mutex<Inner>,
}

impl History {
    pub fn new(is_calm: bool) -> Self {
        Self { inner: Mutex::new(Inner { is_calm, ..Inner::default() }) }
    }

    /// Returns whether only planned work and silences disturb the run.
    pub fn is_calm(&self) -> bool {
        self.inner().is_calm
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violated guarantee.
    pub fn add_violation(&self, text: String) {
        self.inner().violations.insert(text);
    }

    pub fn count(&self, what: &'static str) {
        *self.inner().counts.entry(what).or_default() += 1;
    }

    pub fn add_sent(&self, id: &str, sent: SentRequest) {
        self.inner().sent.insert(id.to_owned(), sent);
    }

    pub fn add_run(&self, id: &str, run: Run) {
        self.inner().runs.entry(id.to_owned()).or_default().push(run);
    }

    pub fn add_refusal(&self, id: &str, status: u16) {
        self.inner().refused.insert(id.to_owned(), status);
    }

    pub fn add_disconnect(&self, id: &str) {
        self.inner().disconnected.insert(id.to_owned(), Instant::now());
    }

    pub fn add_interruption(&self, id: &str) {
        self.inner().interrupted.insert(id.to_owned(), Instant::now());
    }

    pub fn add_completion(&self, id: &str) {
        self.inner().completed.insert(id.to_owned(), Instant::now());
    }

    /// Records how a request ended for its caller.
    pub fn add_end(&self, id: &str, end: End) {
        self.inner().ends.insert(id.to_owned(), (end, Instant::now()));
    }

    /// Records that an endpoint dies without telling its peers.
    pub fn add_death(&self, endpoint: usize) {
        let death = Death { endpoint, at: Instant::now(), announced_at: None };
        self.inner().deaths.push(death);
    }

    /// Records that a control instance has acknowledged the announcement of a start of an endpoint.
    pub fn add_announced(&self, endpoint: usize) {
        let mut inner = self.inner();
        let dead = inner.deaths.iter_mut().filter(|death| death.endpoint == endpoint);
        let now = Instant::now();
        dead.for_each(|death| {
            death.announced_at.get_or_insert(now);
        });
    }

    /// Records a notice in the reply to a request: the endpoint shuts down, or accepts no requests
    /// during `pause`.
    pub fn add_notice(&self, endpoint: usize, id: &str, pause: Option<Duration>) {
        let mut inner = self.inner();
        let Some(entry) = inner.sent.get(id).map(|sent| sent.entry) else { return };
        if inner.is_abandoned(endpoint, id) {
            return;
        }
        inner.notices.push(Notice { endpoint, entry, at: Instant::now(), pause, arrivals: 0 });
    }

    /// Records that an endpoint names this limit in its replies from now on, or none.
    pub fn set_limit(&self, endpoint: usize, per_s: Option<f64>) {
        self.inner().limits.set(endpoint, per_s);
    }

    /// Records that an endpoint names its limit in the reply to a request.
    pub fn add_limit_told(&self, endpoint: usize, id: &str) {
        let now = Instant::now();
        let mut inner = self.inner();
        let Some(entry) = inner.sent.get(id).map(|sent| sent.entry) else { return };
        if inner.is_abandoned(endpoint, id) {
            return;
        }
        let mut limits = std::mem::take(&mut inner.limits);
        limits.add_told(endpoint, entry, |from| inner.is_disturbed(Scope::Entry(entry), from, now));
        inner.limits = limits;
    }

    /// Records how many requests a second an endpoint can reject from now on.
    pub fn set_rejections(&self, endpoint: usize, per_s: Option<usize>) {
        self.inner().rejections.set(endpoint, per_s);
    }

    /// Tells whether an endpoint lets no requests wait, since it has long said how many it can reject.
    pub fn lets_none_wait(&self, endpoint: usize) -> bool {
        self.inner().rejections.lets_none_wait(endpoint)
    }

    /// Records that an endpoint rejected a request for want of room.
    pub fn add_rejection(&self, endpoint: usize, id: &str) {
        let mut inner = self.inner();
        let Some(entry) = inner.sent.get(id).map(|sent| sent.entry) else { return };
        inner.rejections.add(endpoint, entry);
    }

    /// Records that an endpoint crashed on a request.
    pub fn add_crash(&self, cause: Cause) {
        self.inner().crashes.entry(cause).or_default().add_crash();
    }

    /// Records that a request on which endpoints crash arrived at one.
    pub fn add_crashing_arrival(&self, cause: Cause, id: &str) {
        let mut inner = self.inner();
        let Some((entry, sent_at)) = inner.sent.get(id).map(|sent| (sent.entry, sent.at)) else {
            return;
        };
        inner.crashes.entry(cause).or_default().add_arrival(entry, sent_at);
    }

    /// Forgets an endpoint's notices once the endpoint has restarted.
    pub fn forget_notices(&self, endpoint: usize) {
        self.inner().notices.retain(|notice| notice.endpoint != endpoint);
    }

    /// Checks the arrival of a request at an endpoint against the notices of that endpoint.
    pub fn arrived(&self, endpoint: usize, id: &str) {
        let now = Instant::now();
        let mut inner = self.inner();
        let Some((entry, sent_at)) = inner.sent.get(id).map(|sent| (sent.entry, sent.at)) else {
            return;
        };
        inner.arrivals.entry(id.to_owned()).or_default().insert(endpoint);
        let arrived_at = inner.arrival_time(endpoint, sent_at, now);
        let mut limits = std::mem::take(&mut inner.limits);
        limits.add_arrival(endpoint, entry, |from| {
            inner.is_disturbed(Scope::Entry(entry), from, now)
        });
        inner.limits = limits;
        let mut notices = std::mem::take(&mut inner.notices);
        for notice in notices.iter_mut().filter(|n| (n.endpoint, n.entry) == (endpoint, entry)) {
            let is_late = match notice.pause {
                Some(pause) => arrived_at > notice.at + IN_FLIGHT_SLACK && now < notice.at + pause,
                None => sent_at > notice.at + DRAIN_TIME,
            };
            if !is_late || inner.is_disturbed(Scope::Entry(entry), notice.at, now) {
                continue;
            }
            notice.arrivals += 1;
            if notice.pause.is_none() || notice.arrivals > PAUSE_ARRIVALS_MAX {
                let notice_text = notice.pause.map_or("its shutdown notice".to_owned(), |p| {
                    format!("its pause notice of {p:?}")
                });
                inner
                    .violations
                    .insert(format!("{id}: reached endpoint {endpoint} after {notice_text}"));
            }
        }
        inner.notices = notices;
    }

    /// Records a violation if an undisturbed entry instance sent this request to an endpoint whose
    /// drain time was over.
    pub fn check_drained(&self, endpoint: usize, id: &str, drained_at: Instant, at: Instant) {
        let mut inner = self.inner();
        let Some(sent) = inner.sent.get(id) else { return };
        let is_settled = inner.is_settled(sent.entry, sent.at, at);
        let is_late = inner.arrival_time(endpoint, sent.at, at) > drained_at;
        if is_late && is_settled && !inner.is_disturbed(Scope::Endpoint(endpoint), sent.at, at) {
            inner
                .violations
                .insert(format!("DRAIN: {id} reached endpoint {endpoint} after its drain time"));
        }
    }

    /// Records the start of a disturbance; `disturbance_ended` records its end.
    pub fn disturbance_began(&self, scope: Scope) {
        self.inner().disturbances.push((scope, Instant::now(), None));
    }

    pub fn disturbance_ended(&self, scope: Scope) {
        let mut inner = self.inner();
        let open =
            inner.disturbances.iter_mut().find(|(other, _, end)| *other == scope && end.is_none());
        if let Some((_, _, end)) = open {
            *end = Some(Instant::now());
        }
    }

    /// Records that a sound endpoint falls silent; `silence_ended` records that it goes on.
    pub fn silence_began(&self, endpoint: usize) {
        self.inner().silences.push((endpoint, Instant::now(), None));
    }

    pub fn silence_ended(&self, endpoint: usize) {
        let mut inner = self.inner();
        let mut silences = inner.silences.iter_mut();
        let open = silences.find(|(other, _, end)| *other == endpoint && end.is_none());
        if let Some((_, _, end)) = open {
            *end = Some(Instant::now());
        }
    }

    /// Records that a caller found a last response on a connection that was idle since `idle_from`.
    pub fn add_last_response(&self, entry: usize, idle_from: Instant) {
        self.inner().last_responses.push((entry, idle_from, Instant::now()));
    }

    /// Records that an entry instance is killed.
    pub fn add_killed(&self, entry: usize) {
        self.inner().killed.insert(entry);
    }

    /// Compares the tries of callers with the logs of the entry instances that were never killed.
    pub fn check_lines(&self, logs: &[PathBuf]) {
        let mut inner = self.inner();
        let mut unanswered = Unanswered::default();
        for (entry, log) in logs.iter().enumerate() {
            if !inner.killed.contains(&entry) {
                let found = lines::check(&inner, entry, &Lines::read(log), &mut unanswered);
                inner.violations.extend(found);
            }
        }
        for id in &unanswered.crossed {
            let sent = &inner.sent[id];
            let connection = if sent.is_first { "a new" } else { "a kept" };
            println!("{id} from {} crossed a close of {connection} connection", sent.caller);
        }
        let counts = [
            ("crossed a close", unanswered.crossed),
            ("crossed a close and told", unanswered.told),
            ("read and lost", unanswered.lost),
        ];
        for (what, ids) in counts {
            *inner.counts.entry(what).or_default() += ids.len() as u64;
        }
    }

    /// Records a planned stop of an entry instance that began at `from` and ends now.
    pub fn add_stop(&self, entry: usize, from: Instant) {
        self.inner().stops.push((entry, from, Instant::now()));
    }

    /// Tells whether guarantees with a time bound have applied to an entry instance since `from`.
    pub fn is_settled(&self, entry: usize, from: Instant) -> bool {
        self.inner().is_settled(entry, from, Instant::now())
    }

    /// Records a request without a complete reply at its route's timeout; `is_late` if the reply was
    /// still missing after the caller's slack.
    pub fn add_overdue(&self, is_late: bool) {
        let mut inner = self.inner();
        inner.overdue += 1;
        inner.overdue_late += usize::from(is_late);
    }

    /// Returns the counts as text for the test's output.
    pub fn summary(&self) -> String {
        let inner = self.inner();
        let limited = format!("with a limit {}", inner.limits.counted());
        let counts = inner.counts.iter().map(|(what, count)| format!("{what} {count}"));
        let crashed = inner.crashes.iter();
        let crashed: Vec<_> = crashed
            .map(|(cause, crashes)| format!("crashed on {cause:?} {}", crashes.crashes()))
            .collect();
        let crashed = crashed.join(", ");
        let rejected = format!("rejected while limited {}", inner.rejections.count());
        let (ran, checked) = checks::ran_at_silent_endpoints(&inner);
        let silent = format!("ran at silent endpoints {ran}, {checked} of them checked");
        counts.chain([limited, crashed, rejected, silent]).collect::<Vec<_>>().join(", ")
    }

    /// Checks the whole history; returns each violated guarantee with its evidence.
    pub fn check(&self) -> Vec<String> {
        checks::check(&self.inner())
    }
}
