//! What endpoints say of themselves in their answers.
//!
//! Load pattern: an endpoint that is full tells one instance to stay away for some seconds. Sent to
//! all the same, its requests would be turned away one after the other, each at the price of a
//! repeat. The others may still send there, until a second one is told so: then all stay away.
//!
//! Load pattern: an endpoint begins to leave, and the news from itself comes late or to a cut-off
//! instance. Its answers say it first.

use lycheehub_types::EndpointName;
use std::collections::BTreeMap;

/// The longest pause that an endpoint can ask for, in milliseconds: a larger number is an error.
const PAUSE_MAX_MS: u64 = 600_000;
/// How long a notice of an endpoint is kept that is not known here, in milliseconds.
const KEPT_MS: u64 = 60_000;
/// From how many instances on that were told to stay away all do.
const TOLD_ALL: usize = 2;

/// What an endpoint said of itself in an answer to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It leaves, and wants no new requests.
    pub leaving: bool,
    /// For how long it wants nothing from the instance, in milliseconds.
    pub pause_ms: Option<u64>,
}

impl Notice {
    /// Returns it with a pause of no more than any endpoint can ask for.
    pub(crate) fn bounded(self) -> Self {
        Self { pause_ms: self.pause_ms.map(|pause_ms| pause_ms.min(PAUSE_MAX_MS)), ..self }
    }

    /// Tells whether there is anything to heed.
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

#[derive(Clone, Debug, Default)]
struct Said {
    /// The incarnation that said it, where it is known.
    incarnation: Option<u64>,
    /// When it was last heard, in milliseconds.
    heard_ms: u64,
    leaving: bool,
    /// Until when it wants nothing from an instance, in milliseconds.
    pauses: BTreeMap<u32, u64>,
}

/// What all endpoints said.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    said: BTreeMap<EndpointName, Said>,
}

impl Notices {
    /// Takes what an endpoint, of that incarnation if it is known, said to an instance; its pause is
    /// bounded.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::{Notice, endpoints::Notices};
    ///
    /// let mut notices = Notices::default();
    /// let notice = Notice { pause_ms: Some(2_000), ..Notice::default() };
    /// notices.take(1_000, 1, (&"a".into(), None), notice);
    /// assert_eq!(notices.paused_until_ms(1_500, 1, &"a".into()), Some(3_000));
    /// assert_eq!(notices.paused_until_ms(1_500, 2, &"a".into()), None);
    /// ```
    pub fn take(
        &mut self,
        now_ms: u64,
        instance: u32,
        (name, incarnation): (&EndpointName, Option<u64>),
        notice: Notice,
    ) {
        let said = self.said.entry(name.clone()).or_default();
        if said.incarnation != incarnation && said.incarnation.is_some() {
            *said = Said::default();
        }
        said.incarnation = incarnation;
        said.heard_ms = now_ms;
        said.leaving |= notice.leaving;
        if let Some(pause_ms) = notice.pause_ms {
            let until_ms = now_ms + pause_ms;
            let known_ms = said.pauses.entry(instance).or_default();
            *known_ms = until_ms.max(*known_ms);
        }
    }

    /// Takes which incarnation of an endpoint is there now; what an earlier one said is forgotten.
    pub fn take_incarnation(&mut self, name: &EndpointName, incarnation: u64) {
        let Some(said) = self.said.get_mut(name) else { return };
        if *said.incarnation.get_or_insert(incarnation) != incarnation {
            self.said.remove(name);
        }
    }

    /// Tells whether an endpoint said that it leaves.
    pub fn is_leaving(&self, name: &EndpointName) -> bool {
        self.said.get(name).is_some_and(|said| said.leaving)
    }

    /// Returns until when an endpoint wants nothing from an instance, in milliseconds.
    pub fn paused_until_ms(&self, now_ms: u64, instance: u32, name: &EndpointName) -> Option<u64> {
        let said = self.said.get(name)?;
        let own = said.pauses.get(&instance).copied().filter(|until_ms| now_ms < *until_ms);
        if own.is_some() {
            return own;
        }
        let all = said.pauses.values().copied().filter(|until_ms| now_ms < *until_ms);
        if all.clone().count() >= TOLD_ALL { all.min() } else { None }
    }

    /// Returns what is in force for an instance, by endpoint and the incarnation that said it.
    pub fn in_force(
        &self,
        now_ms: u64,
        instance: u32,
    ) -> impl Iterator<Item = (&EndpointName, Option<u64>, Notice)> {
        self.said.iter().filter_map(move |(name, said)| {
            let until_ms = said.pauses.get(&instance).copied().unwrap_or_default();
            let left_ms = until_ms.saturating_sub(now_ms);
            let pause_ms = (left_ms > 0).then_some(left_ms);
            let notice = Notice { leaving: said.leaving, pause_ms };
            (!notice.is_empty()).then_some((name, said.incarnation, notice))
        })
    }

    /// Forgets pauses that are over, and endpoints that are gone.
    pub fn forget_old(&mut self, now_ms: u64, is_known: impl Fn(&EndpointName) -> bool) {
        self.said.retain(|name, said| {
            said.pauses.retain(|_, until_ms| now_ms < *until_ms);
            let says_anything = said.leaving || !said.pauses.is_empty();
            says_anything && (is_known(name) || now_ms < said.heard_ms + KEPT_MS)
        });
    }
}
