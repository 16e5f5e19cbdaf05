//! Notices that endpoints send about themselves in their responses.
//!
//! Load pattern: a full endpoint asks one instance to pause for some seconds. If the instance
//! continued to send, its requests would be rejected one by one, and each would cost a retry. Other
//! instances may still send to the endpoint until a second one is asked to pause; then all
//! instances pause.
//!
//! Load pattern: an endpoint starts again under its name and answers before it announces itself. Its
//! notices are taken for those of its earlier incarnation until then, so recent ones are kept.
//!
//! Load pattern: an endpoint starts to leave, and its announcement arrives late or not at all at an
//! instance that is cut off. Its responses carry the information first.
//!
//! Load pattern: an endpoint limits the rate of requests from all instances together, and tells so
//! only those instances whose requests it answers. The leader's dispatcher collects the limits and
//! passes them on, so that each instance has its share of them when there is no leader.

use super::{LimitKind, Pace, RateLimit, StatedLimit, Statement, is_current};
use lycheehub_types::EndpointName;
use std::collections::BTreeMap;

/// The longest pause that an endpoint may request, in milliseconds; a larger value is an error.
const PAUSE_MAX_MS: u64 = 600_000;
/// How long a notice from an unknown endpoint is kept, in milliseconds.
const UNKNOWN_ENDPOINT_KEPT_MS: u64 = 60_000;
/// The number of paused instances from which a pause applies to all instances.
const SHARED_PAUSE_MIN: usize = 2;
/// How long an endpoint may answer requests before its announcement is known, in milliseconds.
const UNANNOUNCED_MAX_MS: u64 = 2_000;

/// A notice that an endpoint sent to an instance in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// The endpoint is leaving and accepts no new requests.
    pub leaving: bool,
    /// How long the instance should send no requests, in milliseconds.
    pub pause_ms: Option<u64>,
    /// The limit of the requests from all instances together.
    pub limit: Option<StatedLimit>,
    /// The requests per second that the endpoint can reject; it fails if it must reject more.
    pub rejections: Option<StatedLimit>,
}

/// The limit of an endpoint as dispatchers pass it on.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The incarnation that stated the limit, if known.
    pub incarnation: Option<u64>,
    /// The limit as the endpoint last stated it.
    pub stated: StatedLimit,
}

impl Notice {
    /// Returns the notice with its pause limited to the maximum.
    pub(crate) fn bounded(self) -> Self {
        Self { pause_ms: self.pause_ms.map(|pause_ms| pause_ms.min(PAUSE_MAX_MS)), ..self }
    }

    /// Returns whether the notice contains no information.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::Notice;
    ///
    /// assert!(Notice::default().is_empty());
    /// assert!(!Notice { leaving: true, ..Notice::default() }.is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The pause of an endpoint for an instance.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// When it ends, in milliseconds.
    until_ms: u64,
    /// When the endpoint last requested it, in milliseconds.
    requested_ms: u64,
    /// When the pause ends that was last requested, in milliseconds.
    last_until_ms: u64,
}

impl Pause {
    fn new(now_ms: u64, pause_ms: u64) -> Self {
        let until_ms = now_ms + pause_ms;
        Self { until_ms, requested_ms: now_ms, last_until_ms: until_ms }
    }

    /// Returns this pause and one that was requested later.
    fn extended_by(self, later: Self) -> Self {
        Self { until_ms: self.until_ms.max(later.until_ms), ..later }
    }

    /// Returns the pause that was requested from `from_ms` on.
    fn requested_from(self, from_ms: u64) -> Option<Self> {
        let recent = Self { until_ms: self.last_until_ms, ..self };
        (self.requested_ms >= from_ms).then_some(recent)
    }
}

#[derive(Clone, Debug, Default)]
struct NoticeState {
    /// The incarnation that sent the notices, if known.
    incarnation: Option<u64>,
    /// When the last notice was received, in milliseconds.
    received_ms: u64,
    leaving: bool,
    /// The pause of each instance.
    pauses: BTreeMap<u32, Pause>,
    limit: Option<RateLimit>,
    rejections: Option<Statement>,
}

impl NoticeState {
    /// Returns the notices that may be of another incarnation, which was not known when they arrived.
    fn of_other_incarnation(self, now_ms: u64, incarnation: Option<u64>) -> Self {
        let from_ms = now_ms.saturating_sub(UNANNOUNCED_MAX_MS);
        let recent = |(instance, pause): (u32, Pause)| {
            pause.requested_from(from_ms).map(|pause| (instance, pause))
        };
        Self {
            incarnation,
            received_ms: self.received_ms,
            leaving: false,
            pauses: self.pauses.into_iter().filter_map(recent).collect(),
            limit: self.limit.filter(|limit| limit.statement.stated_ms() >= from_ms),
            rejections: self.rejections.filter(|limit| limit.stated_ms() >= from_ms),
        }
    }

    /// Returns the ends of the pauses that have not ended, in milliseconds.
    fn paused_until_ms(&self, now_ms: u64) -> impl Iterator<Item = (u32, u64)> + Clone {
        let ends = self.pauses.iter().map(|(instance, pause)| (*instance, pause.until_ms));
        ends.filter(move |(_, until_ms)| now_ms < *until_ms)
    }
}

/// The notices of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    by_endpoint: BTreeMap<EndpointName, NoticeState>,
}

impl Notices {
    /// Records a notice that an endpoint, in the given incarnation if known, sent to an instance.
    /// The caller limits the pause. A limit applies to all instances, with the given pace.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Notice, endpoints::{Notices, Pace}};
    ///
    /// let mut notices = Notices::default();
    /// let notice = Notice { pause_ms: Some(2_000), ..Notice::default() };
    /// let pace = Pace { share: 1.0, phase: 0.0 };
    /// notices.record(1_000, 1, (&"a".into(), None), notice, pace);
    /// assert_eq!(notices.paused_until_ms(1_500, 1, &"a".into()), Some(3_000));
    /// assert_eq!(notices.paused_until_ms(1_500, 2, &"a".into()), None);
    /// ```
    pub fn record(
        &mut self,
        now_ms: u64,
        instance: u32,
        (name, incarnation): (&EndpointName, Option<u64>),
        notice: Notice,
        pace: Pace,
    ) {
        let state = self.by_endpoint.entry(name.clone()).or_default();
        if state.incarnation != incarnation && state.incarnation.is_some() {
            *state = std::mem::take(state).of_other_incarnation(now_ms, incarnation);
        }
        state.incarnation = incarnation;
        state.received_ms = now_ms;
        state.leaving |= notice.leaving;
        if let Some(pause_ms) = notice.pause_ms {
            let pause = Pause::new(now_ms, pause_ms);
            let known = state.pauses.get(&instance);
            let pause = known.map_or(pause, |known| known.extended_by(pause));
            state.pauses.insert(instance, pause);
        }
        if let Some(stated) = notice.limit {
            match &mut state.limit {
                Some(limit) => limit.restate(now_ms, stated, pace.share),
                None => state.limit = Some(RateLimit::new(now_ms, stated, pace)),
            }
        }
        if let Some(stated) = notice.rejections {
            match &mut state.rejections {
                Some(limit) => {
                    limit.restate(now_ms, stated);
                }
                None => state.rejections = Some(Statement::new(now_ms, stated)),
            }
        }
    }

    /// Returns how many requests a second an endpoint can reject, as it stated.
    pub fn rejections(&self, name: &EndpointName) -> Option<&Statement> {
        self.by_endpoint.get(name)?.rejections.as_ref()
    }

    /// Returns whether an endpoint has stated a limit of this kind.
    pub fn is_limited(&self, name: &EndpointName, kind: LimitKind) -> bool {
        match kind {
            LimitKind::Requests => self.limit(name).is_some(),
            LimitKind::Rejections => self.rejections(name).is_some(),
        }
    }

    /// Records a response without a limit of this kind to a request that was sent at `since_ms`.
    pub fn record_unlimited(&mut self, since_ms: u64, name: &EndpointName, kind: LimitKind) {
        let Some(state) = self.by_endpoint.get_mut(name) else { return };
        let statement = match kind {
            LimitKind::Requests => state.limit.as_mut().map(|limit| &mut limit.statement),
            LimitKind::Rejections => state.rejections.as_mut(),
        };
        if !statement.is_some_and(|statement| statement.record_unlimited(since_ms)) {
            return;
        }
        match kind {
            LimitKind::Requests => state.limit = None,
            LimitKind::Rejections => state.rejections = None,
        }
    }

    /// Returns the limit of an endpoint, if it has one.
    pub fn limit(&self, name: &EndpointName) -> Option<&RateLimit> {
        self.by_endpoint.get(name)?.limit.as_ref()
    }

    /// Uses a permit to send a request to an endpoint, if the endpoint has a limit.
    pub fn take_permit(&mut self, now_ms: u64, name: &EndpointName) {
        let limit = self.by_endpoint.get_mut(name).and_then(|state| state.limit.as_mut());
        if let Some(limit) = limit {
            limit.take(now_ms);
        }
    }

    /// Returns the limits of all endpoints.
    pub fn limits(&self, now_ms: u64) -> impl Iterator<Item = Limit> {
        self.by_endpoint.iter().filter_map(move |(name, state)| {
            let stated = state.limit?.stated(now_ms);
            Some(Limit { endpoint: name.clone(), incarnation: state.incarnation, stated })
        })
    }

    /// Removes the limits that were last stated before `stated_from_ms`, except those that `is_kept`.
    pub fn retain_limits(
        &mut self,
        stated_from_ms: u64,
        is_kept: impl Fn(&EndpointName, Option<u64>) -> bool,
    ) {
        for (name, state) in &mut self.by_endpoint {
            state.limit = state.limit.filter(|limit| {
                limit.statement.stated_ms() >= stated_from_ms || is_kept(name, state.incarnation)
            });
        }
    }

    /// Changes the share of all limits that this dispatcher may use.
    pub fn set_limit_share(&mut self, now_ms: u64, share: f64) {
        for limit in self.by_endpoint.values_mut().filter_map(|state| state.limit.as_mut()) {
            limit.set_share(now_ms, share);
        }
    }

    /// Sets the current incarnation of an endpoint and discards notices of other incarnations. Pauses
    /// and limits that arrived shortly before are kept: an endpoint may answer before it announces
    /// itself.
    pub fn set_incarnation(&mut self, now_ms: u64, name: &EndpointName, incarnation: u64) {
        let Some(state) = self.by_endpoint.get_mut(name) else { return };
        if *state.incarnation.get_or_insert(incarnation) != incarnation {
            *state = std::mem::take(state).of_other_incarnation(now_ms, Some(incarnation));
        }
    }

    /// Returns whether an endpoint has announced that it is leaving.
    pub fn is_leaving(&self, name: &EndpointName) -> bool {
        self.by_endpoint.get(name).is_some_and(|state| state.leaving)
    }

    /// Returns when the pause of an endpoint for an instance ends, in milliseconds.
    pub fn paused_until_ms(&self, now_ms: u64, instance: u32, name: &EndpointName) -> Option<u64> {
        let state = self.by_endpoint.get(name)?;
        let all = state.paused_until_ms(now_ms);
        let own = all.clone().find(|(paused, _)| *paused == instance);
        if let Some((_, until_ms)) = own {
            return Some(until_ms);
        }
        let is_shared = all.clone().count() >= SHARED_PAUSE_MIN;
        if is_shared { all.map(|(_, until_ms)| until_ms).min() } else { None }
    }

    /// Returns the active notices for an instance, by endpoint and the incarnation that sent them.
    pub fn active(
        &self,
        now_ms: u64,
        instance: u32,
    ) -> impl Iterator<Item = (&EndpointName, Option<u64>, Notice)> {
        self.by_endpoint.iter().filter_map(move |(name, state)| {
            let until_ms = state.pauses.get(&instance).map_or(0, |pause| pause.until_ms);
            let left_ms = until_ms.saturating_sub(now_ms);
            let pause_ms = (left_ms > 0).then_some(left_ms);
            let limit = state.limit.map(|limit| limit.stated(now_ms));
            let current = state.rejections.filter(|limit| is_current(now_ms, limit));
            let rejections = current.map(|limit| limit.stated(now_ms));
            let notice = Notice { leaving: state.leaving, pause_ms, limit, rejections };
            (!notice.is_empty()).then_some((name, state.incarnation, notice))
        })
    }

    /// Removes expired pauses and notices of endpoints that are gone.
    pub fn expire(&mut self, now_ms: u64, is_known: impl Fn(&EndpointName) -> bool) {
        self.by_endpoint.retain(|name, state| {
            state.pauses.retain(|_, pause| now_ms < pause.until_ms);
            state.rejections = state.rejections.filter(|limit| is_current(now_ms, limit));
            let is_relevant = state.leaving
                || !state.pauses.is_empty()
                || state.limit.is_some()
                || state.rejections.is_some();
            is_relevant && (is_known(name) || now_ms < state.received_ms + UNKNOWN_ENDPOINT_KEPT_MS)
        });
    }
}
