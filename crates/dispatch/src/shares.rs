//! Served shares by class, for a choice that starves no class.
//!
//! Load pattern: an overload lasts for many seconds, and requests differ up to 100:1 in what they need.
//! Whatever is cheaper to serve fits sooner, at more places and for longer, so each rule that only
//! looks at the present prefers it a little, and together they serve the largest requests hardly at all.
//! Each class therefore has a deficit, as in deficit round robin: a request that comes adds the share of
//! requests that is served at present, and a served one subtracts one. A class whose deficit is large for
//! what came of it is behind, and goes before the others of its rank.

use crate::decay::Decay;
use std::collections::BTreeMap;

/// The time in which half of what was counted is forgotten, in milliseconds.
const HALF_LIFE_MS: f64 = 15_000.0;
/// A class is behind if it lacks more than this fraction of the share of all jobs that is served.
const BEHIND_SHARE: f64 = 0.05;
/// How much larger its deficit is than that of another class by the same size, in requests.
const BEHIND_DIFFERENCE: f64 = 0.25;
/// The largest surplus, in requests; what a class got beyond it is not held against it.
const SURPLUS_MAX: f64 = 1.0;

/// By what jobs are divided into classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Size {
    /// The length of the prompt, in tokens.
    Prompt,
    /// The expected length of the response, in tokens.
    Output,
    /// The units that are charged to a quota.
    Units,
}

/// A class of jobs of similar size: each is at most half as large again as another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    size: Size,
    /// The number of binary digits of the size.
    digits: u32,
    /// The second of these digits.
    is_upper_half: bool,
}

impl Class {
    /// Returns the class of jobs whose size has this value.
    pub fn new(size: Size, value: u64) -> Self {
        let digits = u64::BITS - value.leading_zeros();
        let is_upper_half = digits > 1 && value >> (digits - 2) & 1 == 1;
        Self { size, digits, is_upper_half }
    }

    /// Returns the largest value of a job of the class.
    pub fn value_max(self) -> u64 {
        let largest = u64::MAX.checked_shr(u64::BITS - self.digits).unwrap_or(0);
        if self.is_upper_half || self.digits < 2 { largest } else { largest - (largest + 1) / 4 }
    }
}

/// What came of a class, and how much of that is missing.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    came: f64,
    /// How many of them were longer than the mean.
    long: f64,
    /// The deficit, in requests.
    deficit: f64,
}

impl Balance {
    /// Returns the deficit as a fraction of the jobs that came.
    fn lag(&self) -> f64 {
        self.deficit / (self.came + 1.0)
    }
}

/// The balances of the classes by one size.
#[derive(Clone, Debug, Default)]
struct Deficits {
    by_class: BTreeMap<Class, Balance>,
    /// The smallest deficit, in requests.
    least: f64,
}

impl Deficits {
    fn record_arrival(&mut self, class: Class, share: f64, is_long: bool) {
        let balance = self.by_class.entry(class).or_default();
        balance.came += 1.0;
        balance.long += f64::from(u8::from(is_long));
        self.add(class, share);
    }

    fn add(&mut self, class: Class, requests: f64) {
        let balance = self.by_class.entry(class).or_default();
        balance.deficit = (balance.deficit + requests).max(-SURPLUS_MAX);
        let deficits = self.by_class.values().map(|balance| balance.deficit);
        self.least = deficits.fold(f64::INFINITY, f64::min);
    }

    fn scale(&mut self, factor: f64) {
        for balance in self.by_class.values_mut() {
            balance.came *= factor;
            balance.long *= factor;
            balance.deficit *= factor;
        }
        self.least *= factor;
    }

    /// Returns whether a class is behind, given the share of all jobs that is served.
    fn is_behind(&self, balance: &Balance, share: f64) -> bool {
        balance.lag() > BEHIND_SHARE * share && balance.deficit >= self.least + BEHIND_DIFFERENCE
    }

    /// Returns whether the classes of long jobs are behind together, given the share of all jobs that is served.
    fn are_long_behind(&self, share: f64) -> bool {
        let long = self.by_class.values().filter(|balance| balance.long * 2.0 >= balance.came);
        let sum = long.fold(Balance::default(), |sum, balance| Balance {
            came: sum.came + balance.came,
            deficit: sum.deficit + balance.deficit,
            ..sum
        });
        sum.lag() > BEHIND_SHARE * share && sum.deficit >= BEHIND_DIFFERENCE
    }

    /// Returns whether any class is behind, given the share of all jobs that is served.
    fn is_any_behind(&self, share: f64) -> bool {
        self.by_class.values().any(|balance| self.is_behind(balance, share))
    }
}

/// The served shares of the jobs that are served in one order, by class.
///
/// # Examples
/// ```
/// use lycheehub_dispatch::shares::{Class, ServedShares, Size};
///
/// let (short, long) = (Class::new(Size::Output, 100), Class::new(Size::Output, 3_000));
/// let mut shares = ServedShares::default();
/// for _ in 0..4 {
///     shares.record_arrival(1_000, &[short], false);
///     shares.record_served(1_000, &[short]);
/// }
/// shares.record_arrival(1_000, &[long], true);
/// assert!(shares.is_behind(&[long]) && !shares.is_behind(&[short]));
/// shares.record_served(1_000, &[long]);
/// assert!(!shares.is_behind(&[long]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServedShares {
    came: f64,
    served: f64,
    deficits: BTreeMap<Size, Deficits>,
    decay: Decay,
}

impl ServedShares {
    /// Records a job that came for the first time, and whether it is longer than the mean.
    pub fn record_arrival(&mut self, now_ms: u64, classes: &[Class], is_long: bool) {
        self.decay(now_ms);
        self.came += 1.0;
        let share = self.share();
        for class in classes {
            self.deficits.entry(class.size).or_default().record_arrival(*class, share, is_long);
        }
    }

    /// Records that a job is served.
    pub fn record_served(&mut self, now_ms: u64, classes: &[Class]) {
        self.decay(now_ms);
        self.served += 1.0;
        for class in classes {
            self.deficits.entry(class.size).or_default().add(*class, -1.0);
        }
    }

    /// Returns the deficit of these classes as a fraction of the jobs of the class that came; the largest of
    /// them.
    pub fn lag(&self, classes: &[Class]) -> f64 {
        classes.iter().map(|class| self.balance_of(*class).lag()).fold(0.0, f64::max)
    }

    /// Returns the largest lag of any class.
    pub fn largest_lag(&self) -> f64 {
        let balances = self.deficits.values().flat_map(|deficits| deficits.by_class.values());
        balances.map(Balance::lag).fold(0.0, f64::max)
    }

    /// Returns whether one of these classes is served less often than another one by the same size.
    pub fn is_behind(&self, classes: &[Class]) -> bool {
        classes.iter().any(|class| {
            let deficits = self.deficits.get(&class.size);
            deficits
                .is_some_and(|deficits| deficits.is_behind(&self.balance_of(*class), self.share()))
        })
    }

    /// Returns the classes by the same size that are behind, and further than this one.
    pub fn further_behind(&self, class: Class) -> impl Iterator<Item = Class> {
        let lag = self.lag(&[class]);
        let deficits = self.deficits.get(&class.size).into_iter();
        let classes = deficits.flat_map(|deficits| deficits.by_class.keys().copied());
        classes.filter(move |other| self.is_behind(&[*other]) && self.lag(&[*other]) > lag)
    }

    /// Returns whether any class is behind.
    pub fn is_any_behind(&self) -> bool {
        let share = self.share();
        self.deficits.values().any(|deficits| deficits.is_any_behind(share))
    }

    /// Returns whether the classes are behind, taken together, most of whose jobs are longer than the mean.
    pub fn is_long_behind(&self) -> bool {
        let share = self.share();
        self.deficits.values().any(|deficits| deficits.are_long_behind(share))
    }

    /// Returns the share of the jobs that is served at present, from 0 to 1.
    pub fn share(&self) -> f64 {
        if self.came == 0.0 { 1.0 } else { (self.served / self.came).min(1.0) }
    }

    fn balance_of(&self, class: Class) -> Balance {
        let deficits = self.deficits.get(&class.size);
        deficits.and_then(|deficits| deficits.by_class.get(&class)).copied().unwrap_or_default()
    }

    fn decay(&mut self, now_ms: u64) {
        let Some(left) = self.decay.part_left(now_ms, HALF_LIFE_MS) else { return };
        self.came *= left;
        self.served *= left;
        self.deficits.values_mut().for_each(|deficits| deficits.scale(left));
    }
}
