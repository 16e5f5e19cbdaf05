//! Draws conclusions from the crashes and answers of a service.

use super::answers::Answers;
use super::crash::{EndpointStart, Loss, Observer};
use super::ended::{EndedAnswer, EndedAnswers};
use super::lifted::LiftedQuarantines;
use super::quarantine::{InForce, QuarantineEvent, Trial};
use super::search::{LastSearch, Progress};
use super::suspicion::Suspicion;
use super::{Content, RequestDigest, Scope, Suspect};
use lycheehub_types::ServiceName;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of crashes remembered.
const CRASHES_MAX: usize = 128;
/// The maximum number of events kept until they are taken.
const EVENTS_MAX: usize = 256;
/// How long a crash is remembered, in milliseconds.
const CRASH_KEPT_MS: u64 = 600_000;
/// The maximum number of quarantines.
const QUARANTINES_MAX: usize = 64;
/// The maximum number of endpoints with lost connections that are watched.
const LOSSES_MAX: usize = 1_024;
/// The lower bound of the delay told to the callers of quarantined requests, in milliseconds.
pub(super) const RETRY_MIN_MS: u64 = 1_000;

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be placed.
    Sound,
    /// The request must not be placed.
    Refused {
        /// The delay after which it may be retried, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A crash that is remembered.
#[derive(Clone, Debug)]
pub(super) struct KnownCrash {
    pub(super) start: EndpointStart,
    pub(super) at_ms: u64,
    /// From when on the crash counts, in milliseconds: answers that contradict it are known by then.
    pub(super) counts_from_ms: u64,
    pub(super) contents: Vec<Content>,
    /// The quarantine that explains it.
    pub(super) explained_by: Option<u64>,
}

impl KnownCrash {
    pub(super) fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.contents.iter().flat_map(Content::suspects)
    }
}

/// The crashes of a service's endpoints.
#[derive(Clone, Debug)]
pub struct ServiceCrashes {
    pub(super) service: ServiceName,
    pub(super) answers: Answers,
    pub(super) losses: BTreeMap<EndpointStart, Loss>,
    ended: EndedAnswers,
    pub(super) crashes: VecDeque<KnownCrash>,
    pub(super) quarantines: Vec<InForce>,
    pub(super) lifted: LiftedQuarantines,
    pub(super) last_id: u64,
    pub(super) last_search: LastSearch,
    /// The requests that were placed after a suspicion, and when, in milliseconds.
    pub(super) probes: BTreeMap<RequestDigest, u64>,
    events: Vec<QuarantineEvent>,
}

impl ServiceCrashes {
    /// Creates the state of a service without crashes.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            answers: Answers::default(),
            losses: BTreeMap::new(),
            ended: EndedAnswers::default(),
            crashes: VecDeque::new(),
            quarantines: Vec::new(),
            lifted: LiftedQuarantines::default(),
            last_id: 0,
            last_search: LastSearch::default(),
            probes: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Records that an endpoint began an answer at `at_ms`: it proves the parts of the prompt sound.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::crashes::{Content, EndpointStart, Prompt, ServiceCrashes};
    ///
    /// let mut crashes = ServiceCrashes::new("labels".into());
    /// let start = EndpointStart { endpoint: "a".into(), incarnation: 1 };
    /// crashes.record_answer(1_000, &start, &Content::new(Prompt::new([7, 9]), None));
    /// assert_eq!(crashes.answers(1_500).map(|answer| answer.ago_ms).collect::<Vec<_>>(), [500]);
    /// ```
    pub fn record_answer(&mut self, at_ms: u64, start: &EndpointStart, content: &Content) {
        self.record_alive(at_ms, start);
        self.answers.record_begun(at_ms, content.prompt().shared());
        self.clear_answered(at_ms, |suspect| match suspect {
            Suspect::Part(part) => content.prompt().has(part),
            Suspect::Request(_) => false,
        });
    }

    /// Records that an endpoint answered a request whole at `at_ms`: it proves the request sound.
    pub fn record_whole_answer(&mut self, at_ms: u64, content: &Content) {
        let Some(request) = content.digest().map(Suspect::Request) else { return };
        self.answers.record(at_ms, request);
        self.clear_answered(at_ms, |suspect| suspect == request);
    }

    /// Records that an endpoint gave a sign of life at `at_ms`.
    pub fn record_alive(&mut self, at_ms: u64, start: &EndpointStart) {
        if self.losses.get(start).is_some_and(|loss| loss.is_disproved(at_ms)) {
            self.losses.remove(start);
        }
        let whole = self.ended.take_whole(at_ms, start);
        self.record_ended_whole(whole);
    }

    /// Records that a request's answer ended with its connection. The endpoint may have cut it by a crash:
    /// it proves the request sound once the endpoint is known to live on.
    pub fn record_ended_by_close(&mut self, now_ms: u64, start: &EndpointStart, content: &Content) {
        self.ended.record(now_ms, start, content);
    }

    /// Records the answers that were whole, as the endpoint lived on.
    fn record_ended_whole(&mut self, answers: Vec<EndedAnswer>) {
        for answer in answers {
            self.record_whole_answer(answer.at_ms, &answer.content);
        }
    }

    /// Returns the loss of an endpoint; one begins with an answer that the endpoint may have cut.
    fn loss_or_ended(&mut self, start: &EndpointStart) -> Option<&mut Loss> {
        if !self.losses.contains_key(start) && self.losses.len() < LOSSES_MAX {
            let at_ms = self.ended.last_ms(start)?;
            self.losses.insert(start.clone(), Loss::new(at_ms));
        }
        self.losses.get_mut(start)
    }

    /// Records that the connection of a request was lost; the flags tell that its answer had begun, and that
    /// no other request runs on the endpoint.
    pub fn record_lost(
        &mut self,
        now_ms: u64,
        start: &EndpointStart,
        lost: (&Content, bool),
        seen: (Observer, bool),
    ) {
        if self.losses.len() >= LOSSES_MAX && !self.losses.contains_key(start) {
            return;
        }
        let loss = self.losses.entry(start.clone()).or_insert_with(|| Loss::new(now_ms));
        loss.record(lost, seen);
    }

    /// Records that an instance did not reach an endpoint.
    pub fn record_unreached(&mut self, start: &EndpointStart, observer: Observer) {
        if let Some(loss) = self.loss_or_ended(start) {
            loss.record_unreached(observer);
        }
    }

    /// Records that an endpoint is gone, or that several instances did not reach it.
    pub fn record_gone(&mut self, start: &EndpointStart) {
        if let Some(loss) = self.loss_or_ended(start) {
            loss.record_gone();
        }
    }

    /// Returns whether a request is quarantined: it is placed as a trial only.
    pub(crate) fn is_quarantined(&self, content: &Content) -> bool {
        self.quarantines.iter().any(|quarantine| quarantine.is_met_by(content))
    }

    /// Returns whether a request may be placed; reserves the trial of one that is quarantined. `is_repeat`
    /// tells that an earlier attempt was made on another endpoint.
    pub fn judge(
        &mut self,
        now_ms: u64,
        content: &Content,
        is_repeat: bool,
        scope: Scope,
    ) -> Verdict {
        if let Some(wait_ms) = self.trial_wait_ms(now_ms, content) {
            let is_refused = wait_ms > 0 || !scope.decides_quarantines();
            for quarantine in self.quarantines.iter_mut().filter(|known| known.is_met_by(content)) {
                quarantine.last_met_ms = now_ms;
                if !is_refused {
                    quarantine.reserve_trial(now_ms);
                }
            }
            return match is_refused {
                true => Verdict::Refused { retry_after_ms: wait_ms.max(RETRY_MIN_MS) },
                false => Verdict::Sound,
            };
        }
        let wait_ms = match self.suspicion(now_ms, content, is_repeat, scope) {
            Suspicion::None => None,
            Suspicion::Waiting { wait_ms } => Some(wait_ms),
            Suspicion::Passed(digest) => self.probe_ms(now_ms, digest),
        };
        match wait_ms {
            Some(retry_after_ms) => Verdict::Refused { retry_after_ms },
            None => Verdict::Sound,
        }
    }

    /// Returns when a trial of all quarantines that a request meets is due, in milliseconds from now, if it
    /// meets any.
    fn trial_wait_ms(&self, now_ms: u64, content: &Content) -> Option<u64> {
        let met = self.quarantines.iter().filter(|quarantine| quarantine.is_met_by(content));
        met.map(|quarantine| quarantine.trial_wait_ms(now_ms)).max()
    }

    /// Records that a request was sent to an endpoint; returns the trials that it is, of the quarantines that
    /// it meets.
    pub fn record_sent(&mut self, now_ms: u64, content: &Content) -> Vec<Trial> {
        let mut trials = Vec::new();
        let mut events = Vec::new();
        for quarantine in self.quarantines.iter_mut().filter(|known| known.is_met_by(content)) {
            quarantine.record_trial(now_ms);
            trials.push(quarantine.last_trial());
            let (service, suspects) = (self.service.clone(), quarantine.suspects.clone());
            events.push(QuarantineEvent::Tried { service, suspects });
        }
        events.into_iter().for_each(|event| self.push_event(event));
        trials
    }

    /// Keeps the trial that [`Self::judge`] has reserved for a request, as it still waits.
    pub(crate) fn renew_trial(&mut self, now_ms: u64, content: &Content) {
        let met = self.quarantines.iter_mut().filter(|known| known.is_met_by(content));
        met.for_each(|quarantine| quarantine.renew_trial(now_ms));
    }

    /// Gives back the trial that [`Self::judge`] has reserved for a request, as it is not placed.
    pub(crate) fn release_trial(&mut self, content: &Content) {
        let met = self.quarantines.iter_mut().filter(|known| known.is_met_by(content));
        met.for_each(InForce::release_trial);
    }

    /// Records that trials reached no endpoint. One that another trial or a report has followed is not taken
    /// back: the next trial would come sooner than it may.
    pub fn take_back_trials(&mut self, now_ms: u64, trials: &[Trial]) {
        let is_last = |known: &&mut InForce| trials.contains(&known.last_trial());
        let last = self.quarantines.iter_mut().filter(is_last);
        last.for_each(|quarantine| quarantine.take_back_trial(now_ms));
    }

    /// Returns how long a request must wait, in milliseconds, if it must: it is quarantined, or suspect.
    pub fn wait_ms(
        &self,
        now_ms: u64,
        content: &Content,
        is_repeat: bool,
        scope: Scope,
    ) -> Option<u64> {
        let trial_ms = self.trial_wait_ms(now_ms, content);
        let trial_ms = trial_ms.map(|wait_ms| wait_ms.max(RETRY_MIN_MS));
        let suspicion = self.suspicion(now_ms, content, is_repeat, scope);
        trial_ms.max(suspicion.wait_ms())
    }

    /// Returns the crashes that no quarantine explains.
    pub(super) fn unexplained(&self) -> impl Iterator<Item = &KnownCrash> {
        self.crashes.iter().filter(|crash| crash.explained_by.is_none())
    }

    /// Returns the lost connections that are probably crashes.
    pub(super) fn probable_losses(&self) -> impl Iterator<Item = (&EndpointStart, &Loss)> {
        self.losses.iter().filter(|(_, loss)| loss.is_probable())
    }

    /// Advances time; returns whether there is a new quarantine.
    pub fn advance(&mut self, now_ms: u64, scope: Scope) -> bool {
        self.settle_losses(now_ms);
        while self.crashes.front().is_some_and(|crash| now_ms > crash.at_ms + CRASH_KEPT_MS) {
            self.crashes.pop_front();
        }
        self.quarantines.retain(|quarantine| !quarantine.is_forgotten(now_ms));
        let progress = self.progress(now_ms);
        if !scope.decides_quarantines() || !self.last_search.is_outdated(now_ms, progress) {
            return false;
        }
        let mut has_new = false;
        while let Some(candidate) = self.best_candidate(now_ms) {
            self.quarantine(now_ms, &candidate);
            has_new = true;
        }
        self.last_search.record(now_ms, progress);
        has_new
    }

    /// Returns what changes the result of the search for suspects as time passes.
    fn progress(&self, now_ms: u64) -> Progress {
        let is_counted = |crash: &&KnownCrash| now_ms >= crash.counts_from_ms;
        let is_followed = |crash: &&KnownCrash| self.answers.has_several_since(crash.at_ms);
        Progress {
            counted: self.crashes.iter().filter(is_counted).count(),
            followed_by_answers: self.crashes.iter().filter(is_followed).count(),
        }
    }

    fn settle_losses(&mut self, now_ms: u64) {
        let settled: Vec<EndpointStart> = self
            .losses
            .iter()
            .filter(|(_, loss)| loss.is_settled(now_ms))
            .filter(|(_, loss)| loss.is_confirmed() || !loss.is_undecided(now_ms))
            .map(|(start, _)| start.clone())
            .collect();
        for start in settled {
            let Some(mut loss) = self.losses.remove(&start) else { continue };
            if !loss.is_confirmed() {
                continue;
            }
            let cut = self.ended.take_cut(&start);
            cut.into_iter().for_each(|answer| loss.keep(answer.content));
            if loss.contents.is_empty() {
                continue;
            }
            let explained_by =
                self.explaining(&loss.contents).or_else(|| self.narrow(&loss.contents));
            self.add_crash(KnownCrash {
                start,
                at_ms: loss.at_ms,
                counts_from_ms: now_ms,
                contents: loss.contents,
                explained_by,
            });
        }
        let old = self.ended.take_old(now_ms);
        self.record_ended_whole(old);
    }

    pub(super) fn add_crash(&mut self, crash: KnownCrash) {
        if self.lifted.covers_crash(&crash) {
            return;
        }
        self.last_search.record_change();
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
    }

    /// Returns the quarantine that explains a crash on one of these, if possible one of parts only: a
    /// crash that it explains counts for no part any more.
    pub(super) fn explaining(&self, contents: &[Content]) -> Option<u64> {
        let is_met =
            |quarantine: &&InForce| contents.iter().any(|content| quarantine.is_met_by(content));
        let met = self.quarantines.iter().filter(is_met);
        met.min_by_key(|quarantine| quarantine.is_of_request()).map(|quarantine| quarantine.id)
    }

    /// Narrows the quarantine whose suspects were met only in part at a new crash, and returns it. One of
    /// a request stays one of that request: without it, it would refuse others than before.
    fn narrow(&mut self, contents: &[Content]) -> Option<u64> {
        for quarantine in &mut self.quarantines {
            let must_have_request = quarantine.is_of_request();
            let common = contents.iter().map(|content| -> Vec<Suspect> {
                let suspects = quarantine.suspects.iter().copied();
                suspects.filter(|suspect| content.has(*suspect)).collect()
            });
            let common = common.max_by_key(Vec::len).filter(|suspects| {
                !suspects.is_empty()
                    && (!must_have_request || suspects.iter().any(Suspect::is_request))
            });
            let Some(common) = common else { continue };
            quarantine.suspects = common.clone();
            let (service, id) = (self.service.clone(), quarantine.id);
            self.push_event(QuarantineEvent::Narrowed { service, suspects: common });
            return Some(id);
        }
        None
    }

    /// Removes a quarantine of a request if there is no room for a further one, the one that was not met
    /// for longest: endless requests on which endpoints crash must not keep a part from being quarantined.
    pub(super) fn make_room_for_quarantine(&mut self) {
        if self.quarantines.len() < QUARANTINES_MAX {
            return;
        }
        let is_first_out = |(_, quarantine): &(usize, &InForce)| {
            (!quarantine.is_of_request(), quarantine.last_met_ms)
        };
        let removed = self.quarantines.iter().enumerate().min_by_key(is_first_out);
        if let Some(index) = removed.map(|(index, _)| index) {
            self.quarantines.remove(index);
        }
    }

    /// Removes suspects from the quarantines that began before they were answered.
    pub(super) fn clear_answered(&mut self, at_ms: u64, is_sound: impl Fn(Suspect) -> bool) {
        let is_answered = |quarantine: &InForce| {
            at_ms > quarantine.first_crash_ms
                && quarantine.suspects.iter().any(|suspect| is_sound(*suspect))
        };
        if !self.quarantines.iter().any(is_answered) {
            return;
        }
        self.last_search.record_change();
        let mut events = Vec::new();
        for quarantine in self.quarantines.iter_mut().filter(|known| is_answered(known)) {
            let (before, was_of_request) =
                (quarantine.suspects.clone(), quarantine.is_of_request());
            quarantine.suspects.retain(|suspect| !is_sound(*suspect));
            if was_of_request && !quarantine.is_of_request() {
                quarantine.suspects.clear();
            }
            let service = self.service.clone();
            let suspects = quarantine.suspects.clone();
            events.push(match suspects.is_empty() {
                true => QuarantineEvent::Cleared { service, suspects: before },
                false => QuarantineEvent::Narrowed { service, suspects },
            });
        }
        events.into_iter().for_each(|event| self.push_event(event));
        // The crashes of a quarantine that proved wrong have another cause.
        let is_cleared = |quarantine: &mut InForce| quarantine.suspects.is_empty();
        let cleared: Vec<InForce> = self.quarantines.extract_if(.., is_cleared).collect();
        for index in 0..self.crashes.len() {
            let crash = &self.crashes[index];
            if cleared.iter().any(|quarantine| crash.explained_by == Some(quarantine.id)) {
                self.crashes[index].explained_by = self.explaining(&crash.contents);
            }
        }
    }

    pub(super) fn clear_quarantines(&mut self) {
        self.last_search.record_change();
        self.quarantines.clear();
    }

    pub(super) fn push_event(&mut self, event: QuarantineEvent) {
        if self.events.len() < EVENTS_MAX {
            self.events.push(event);
        }
    }

    pub(super) fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }
}
