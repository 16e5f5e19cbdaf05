//! What callers, endpoints and the operator have seen, and what of it breaks a promise.

use crate::endpoint::DRAIN;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long an instance must have been left alone before rules bounded in time hold for it.
pub const CONTACT: Duration = Duration::from_secs(3);
/// How long a request may go on after its caller has left.
const GONE_SLACK: Duration = Duration::from_millis(500);
/// How many requests may go on longer than that.
const GONE_MAX: usize = 3;
/// How long after an endpoint's word requests that are on their way may reach it.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// How many requests may reach an endpoint that has asked for a pause.
const PAUSED_MAX: usize = 2;
/// How many answers that an endpoint had made may be cut off.
const LOST_MAX: usize = 3;

/// How many requests held past their timeout are too many, if they are over a quarter of those
/// that last as long.
const LATE_MIN: usize = 8;

/// What may be repeated, by the route.
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
}

/// What is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Entry(usize),
    Endpoint(usize),
    /// Control instances, or the paths between them.
    Control,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub kind: Kind,
    pub entry: usize,
    pub method: &'static str,
    pub path: String,
    pub body: String,
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

/// What an endpoint has told an entry instance.
#[derive(Clone, Copy, Debug)]
struct Told {
    endpoint: usize,
    entry: usize,
    at: Instant,
    /// For how long it wants nothing; nothing where it leaves.
    pause: Option<Duration>,
    /// How many requests reached it nonetheless.
    arrivals: usize,
}

#[derive(Default)]
struct Inner {
    told: Vec<Told>,
    sent: BTreeMap<String, Sent>,
    runs: BTreeMap<String, Vec<Run>>,
    /// Requests that were answered that they have not run and will not, with the status.
    promised: BTreeMap<String, u16>,
    /// When callers left.
    left: BTreeMap<String, Instant>,
    /// Requests whose channel ended without an answer.
    cut: BTreeMap<String, Instant>,
    /// When endpoints had sent their whole answer.
    answered: BTreeMap<String, Instant>,
    disturbances: Vec<(Scope, Instant, Option<Instant>)>,
    /// When entry instances were told to stop, and when they had ended.
    stops: Vec<(usize, Instant, Instant)>,
    findings: BTreeSet<String>,
    counts: BTreeMap<&'static str, u64>,
    /// Requests without an answer at their route's timeout.
    unanswered: usize,
    /// Those without one half a second later.
    unanswered_late: usize,
}

impl Inner {
    /// Tells whether something was disturbed at any time from `from` to `to`.
    fn is_disturbed(&self, scope: Scope, from: Instant, to: Instant) -> bool {
        self.disturbances.iter().any(|(other, begin, end)| {
            *other == scope && *begin <= to && end.is_none_or(|end| end >= from)
        })
    }

    fn is_in_touch(&self, entry: usize, from: Instant, to: Instant) -> bool {
        let from = from.checked_sub(CONTACT).unwrap_or(from);
        !self.is_disturbed(Scope::Entry(entry), from, to)
            && !self.is_disturbed(Scope::Control, from, to)
    }
}

/// All that was seen.
#[derive(Default)]
pub struct Record {
    inner: Mutex<Inner>,
}

impl Record {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a promise is broken.
    pub fn finding(&self, text: String) {
        self.inner().findings.insert(text);
    }

    pub fn count(&self, what: &'static str) {
        *self.inner().counts.entry(what).or_default() += 1;
    }

    pub fn sent(&self, id: &str, sent: Sent) {
        self.inner().sent.insert(id.to_owned(), sent);
    }

    pub fn ran(&self, id: &str, run: Run) {
        self.inner().runs.entry(id.to_owned()).or_default().push(run);
    }

    pub fn promised(&self, id: &str, status: u16) {
        self.inner().promised.insert(id.to_owned(), status);
    }

    pub fn left(&self, id: &str) {
        self.inner().left.insert(id.to_owned(), Instant::now());
    }

    pub fn cut(&self, id: &str) {
        self.inner().cut.insert(id.to_owned(), Instant::now());
    }

    pub fn answered(&self, id: &str) {
        self.inner().answered.insert(id.to_owned(), Instant::now());
    }

    /// Notes what an endpoint has told the entry instance of a request: that it leaves, or that it wants
    /// nothing for a while.
    pub fn told(&self, endpoint: usize, id: &str, pause: Option<Duration>) {
        let mut inner = self.inner();
        let Some(entry) = inner.sent.get(id).map(|sent| sent.entry) else { return };
        inner.told.push(Told { endpoint, entry, at: Instant::now(), pause, arrivals: 0 });
    }

    /// Forgets what an endpoint has told, since it is a new one.
    pub fn forget_told(&self, endpoint: usize) {
        self.inner().told.retain(|told| told.endpoint != endpoint);
    }

    /// Notes that a request has reached an endpoint, and checks it against what that has told.
    pub fn arrived(&self, endpoint: usize, id: &str) {
        let now = Instant::now();
        let mut inner = self.inner();
        let Some((entry, sent_at)) = inner.sent.get(id).map(|sent| (sent.entry, sent.at)) else {
            return;
        };
        let mut told = std::mem::take(&mut inner.told);
        for told in told.iter_mut().filter(|t| (t.endpoint, t.entry) == (endpoint, entry)) {
            let is_late = match told.pause {
                Some(pause) => now > told.at + ON_THE_WAY && now < told.at + pause,
                None => sent_at > told.at + DRAIN,
            };
            if !is_late || inner.is_disturbed(Scope::Entry(entry), told.at, now) {
                continue;
            }
            told.arrivals += 1;
            if told.pause.is_none() || told.arrivals > PAUSED_MAX {
                let word =
                    told.pause.map_or("it leaves".to_owned(), |p| format!("a pause of {p:?}"));
                inner.findings.insert(format!("{id}: reached endpoint {endpoint} after {word}"));
            }
        }
        inner.told = told;
    }

    /// Notes that an endpoint was sent a request after the time for its leaving was over.
    pub fn late_after_leave(&self, endpoint: usize, id: &str, at: Instant) {
        let mut inner = self.inner();
        let Some(sent) = inner.sent.get(id) else { return };
        let is_in_touch = inner.is_in_touch(sent.entry, sent.at, at);
        if is_in_touch && !inner.is_disturbed(Scope::Endpoint(endpoint), sent.at, at) {
            inner.findings.insert(format!("DRAIN: {id} reached endpoint {endpoint} that leaves"));
        }
    }

    /// Notes the begin of a disturbance; `restored` ends it.
    pub fn disturbed(&self, scope: Scope) {
        self.inner().disturbances.push((scope, Instant::now(), None));
    }

    pub fn restored(&self, scope: Scope) {
        let mut inner = self.inner();
        let open =
            inner.disturbances.iter_mut().find(|(other, _, end)| *other == scope && end.is_none());
        if let Some((_, _, end)) = open {
            *end = Some(Instant::now());
        }
    }

    /// Notes a planned stop of an entry instance that began at `from` and has just ended.
    pub fn stopped(&self, entry: usize, from: Instant) {
        self.inner().stops.push((entry, from, Instant::now()));
    }

    /// Tells whether rules bounded in time hold for an entry instance since `from`.
    pub fn is_in_touch(&self, entry: usize, from: Instant) -> bool {
        self.inner().is_in_touch(entry, from, Instant::now())
    }

    /// Notes a request that had no answer at its route's timeout, and whether it had one soon after.
    pub fn unanswered_in_time(&self, is_late: bool) {
        let mut inner = self.inner();
        inner.unanswered += 1;
        inner.unanswered_late += usize::from(is_late);
    }

    /// Returns the counts, for a person who reads along.
    pub fn counts(&self) -> String {
        let counts = self.inner();
        let counts = counts.counts.iter().map(|(what, count)| format!("{what} {count}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    /// Weighs everything that was seen; returns each broken promise with what shows it.
    pub fn weigh(&self) -> Vec<String> {
        let inner = self.inner();
        let mut findings: Vec<String> = inner.findings.iter().cloned().collect();
        for (id, runs) in &inner.runs {
            weigh_runs(&inner, id, runs, &mut findings);
        }
        if inner.unanswered_late >= LATE_MIN && inner.unanswered_late * 4 > inner.unanswered {
            let (late, all) = (inner.unanswered_late, inner.unanswered);
            findings.push(format!("CONFIG: {late} of {all} not answered at their timeout"));
        }
        let gone = late_runs(&inner);
        if gone.len() > GONE_MAX {
            findings.push(format!("GONE: begun long after their callers left: {gone:?}"));
        }
        let worked_on = worked_on(&inner);
        if worked_on.len() > GONE_MAX {
            findings.push(format!("GONE: worked on long after their callers left: {worked_on:?}"));
        }
        let cut = cut_by_stops(&inner);
        if !cut.is_empty() {
            findings.push(format!("LOST: cut by planned stops: {cut:?}"));
        }
        let lost = lost_answers(&inner);
        if lost.len() > LOST_MAX {
            findings.push(format!("LOST: cut though their endpoints had answered: {lost:?}"));
        }
        findings
    }
}

fn weigh_runs(inner: &Inner, id: &str, runs: &[Run], findings: &mut Vec<String>) {
    let Some(sent) = inner.sent.get(id) else {
        findings.push(format!("UNASKED: {id} was never sent: {runs:?}"));
        return;
    };
    for run in runs {
        let same = run.method == sent.method && run.path == sent.path && run.body == sent.body;
        if !same {
            findings.push(format!("UNASKED: {id} sent as {sent:?}, run as {run:?}"));
        }
        if run.account.as_deref() != Some("packhouse") || run.has_key {
            findings.push(format!("UNASKED: {id} with another account, or with the key: {run:?}"));
        }
        if run.resumed && sent.kind != Kind::ResumableStream {
            findings.push(format!("ORDER: {id} was resumed: {run:?}"));
        }
    }
    if sent.kind.is_idempotent() {
        return;
    }
    if runs.len() > 1 {
        findings.push(format!("TWICE: {id} {:?}: {runs:?}", sent.kind));
    }
    if let Some(status) = inner.promised.get(id) {
        findings.push(format!("REFUSED: {id} was answered {status} and ran: {runs:?}"));
    }
}

/// Returns the requests that reached an endpoint long after their callers had left.
fn late_runs(inner: &Inner) -> Vec<&String> {
    let is_late = |(id, left): &(&String, &Instant)| {
        let Some(sent) = inner.sent.get(*id) else { return false };
        let runs = inner.runs.get(*id).into_iter().flatten();
        runs.filter(|run| run.at > **left + GONE_SLACK)
            .any(|run| inner.is_in_touch(sent.entry, sent.at, run.at))
    };
    inner.left.iter().filter(is_late).map(|(id, _)| id).collect()
}

/// Returns the requests that endpoints worked on to their end long after their callers had left.
fn worked_on(inner: &Inner) -> Vec<&String> {
    let is_worked_on = |(id, left): &(&String, &Instant)| {
        let (Some(sent), Some(answered)) = (inner.sent.get(*id), inner.answered.get(*id)) else {
            return false;
        };
        *answered > **left + GONE_SLACK && inner.is_in_touch(sent.entry, sent.at, *answered)
    };
    inner.left.iter().filter(is_worked_on).map(|(id, _)| id).collect()
}

/// Returns the requests that an endpoint ran and a planned stop cut off.
fn cut_by_stops(inner: &Inner) -> Vec<&String> {
    let is_cut = |(id, cut): &(&String, &Instant)| {
        let (Some(sent), Some(runs)) = (inner.sent.get(*id), inner.runs.get(*id)) else {
            return false;
        };
        let by_stop = inner.stops.iter().any(|(entry, from, to)| {
            *entry == sent.entry && sent.at <= *to && (*from..=*to).contains(*cut)
        });
        let is_sound =
            |run: &Run| !inner.is_disturbed(Scope::Endpoint(run.endpoint), sent.at, **cut);
        by_stop && runs.iter().all(is_sound)
    };
    inner.cut.iter().filter(is_cut).map(|(id, _)| id).collect()
}

/// Returns the requests that were cut off though a sound endpoint had sent its whole answer.
fn lost_answers(inner: &Inner) -> Vec<&String> {
    let is_lost = |(id, cut): &(&String, &Instant)| {
        let (Some(sent), Some(runs)) = (inner.sent.get(*id), inner.runs.get(*id)) else {
            return false;
        };
        let undisturbed =
            |run: &Run| !inner.is_disturbed(Scope::Endpoint(run.endpoint), sent.at, **cut);
        inner.answered.contains_key(*id)
            && runs.iter().all(undisturbed)
            && inner.is_in_touch(sent.entry, sent.at, **cut)
    };
    inner.cut.iter().filter(is_lost).map(|(id, _)| id).collect()
}
