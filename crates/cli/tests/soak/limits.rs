//! The limits that endpoints name for all entry instances together, and the check that they are kept.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long after it was first named a limit must be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long after a limit has changed the new one must be kept.
const CHANGE_TIME: Duration = Duration::from_secs(1);
/// How long after it was told of a limit an entry instance must keep it.
const TOLD_SLACK: Duration = Duration::from_millis(500);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How much more than the limit may arrive in a window: a factor, and a number of requests.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A time in which an endpoint names the same limit.
struct Period {
    endpoint: usize,
    per_s: f64,
    /// When the endpoint began to name limits.
    first_from: Instant,
    from: Instant,
    to: Option<Instant>,
}

impl Period {
    /// Returns from when on the limit must be kept.
    fn in_force_from(&self) -> Instant {
        (self.first_from + CONTACT_TIME).max(self.from + CHANGE_TIME)
    }

    fn allowed(&self) -> usize {
        (self.per_s * FACTOR * WINDOW.as_secs_f64() + SLACK) as usize
    }
}

/// The limits of endpoints and the requests from entry instances that were told of them.
#[derive(Default)]
pub struct Limits {
    periods: Vec<Period>,
    /// Since when each entry instance has been told, without a disturbance since then.
    told: BTreeMap<(usize, usize), Instant>,
    arrivals: Vec<(usize, Instant)>,
}

impl Limits {
    /// Records that an endpoint names this limit from now on, or none.
    pub fn set(&mut self, endpoint: usize, per_s: Option<f64>) {
        let now = Instant::now();
        let is_open = |period: &&mut Period| period.endpoint == endpoint && period.to.is_none();
        let open = self.periods.iter_mut().find(is_open);
        let first_from = open.map_or(now, |open| {
            open.to = Some(now);
            open.first_from
        });
        match per_s {
            Some(per_s) => {
                self.periods.push(Period { endpoint, per_s, first_from, from: now, to: None });
            }
            None => self.told.retain(|(told, _), _| *told != endpoint),
        }
    }

    /// Records that an endpoint names its limit in a reply to an entry instance. `is_disturbed` tells
    /// whether the instance was disturbed since an earlier time.
    pub fn add_told(
        &mut self,
        endpoint: usize,
        entry: usize,
        is_disturbed: impl Fn(Instant) -> bool,
    ) {
        let now = Instant::now();
        let told = self.told.entry((endpoint, entry)).or_insert(now);
        if is_disturbed(*told) {
            *told = now;
        }
    }

    /// Records a request that reaches an endpoint, if its entry instance must keep the limit.
    pub fn add_arrival(
        &mut self,
        endpoint: usize,
        entry: usize,
        is_disturbed: impl Fn(Instant) -> bool,
    ) {
        let now = Instant::now();
        let told = self.told.get(&(endpoint, entry));
        if told.is_some_and(|told| now >= *told + TOLD_SLACK && !is_disturbed(*told)) {
            self.arrivals.push((endpoint, now));
        }
    }

    /// Returns a violation for each limit that was not kept. `is_held_up` tells whether requests to an
    /// endpoint were held up on their way at any time between two times.
    pub fn check(&self, is_held_up: impl Fn(usize, Instant, Instant) -> bool) -> Vec<String> {
        let most = |period: &Period| {
            let of_endpoint = self.arrivals.iter().filter(|(to, _)| *to == period.endpoint);
            let arrivals: Vec<Instant> = of_endpoint.map(|(_, at)| *at).collect();
            let is_checked = |from: &&Instant| {
                let end = **from + WINDOW;
                **from >= period.in_force_from()
                    && period.to.is_none_or(|to| end <= to)
                    && !is_held_up(period.endpoint, **from - CONTACT_TIME, end)
            };
            let in_window = |from: &Instant| {
                arrivals.iter().filter(|at| (*from..*from + WINDOW).contains(*at)).count()
            };
            arrivals.iter().filter(is_checked).map(in_window).max().unwrap_or(0)
        };
        let violated = |period: &Period| {
            let most = most(period);
            (most > period.allowed()).then(|| {
                let (endpoint, per_s) = (period.endpoint, period.per_s);
                format!(
                    "LIMIT: endpoint {endpoint} named {per_s} a second and got {most} requests in \
                     {WINDOW:?}, allowed {}",
                    period.allowed()
                )
            })
        };
        self.periods.iter().filter_map(violated).collect()
    }

    /// Returns how many requests were counted against limits.
    pub fn counted(&self) -> usize {
        self.arrivals.len()
    }
}
