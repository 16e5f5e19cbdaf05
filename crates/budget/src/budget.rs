//! Lets connections wait for room in memory.

use crate::ledger::{BodyKey, Ledger, Limits, Part};
use lycheehub_clock::Clock;
use quick_error::quick_error;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a body waits for room before it is refused, in milliseconds. A body that stalls gives way
/// sooner.
const PATIENCE_MS: u64 = 3_000;
/// How often the first body that waits looks for one that gives way, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 100;

quick_error! {
    /// There is no room in memory for a body.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum NoRoom {
        /// None came free in time.
        Waited(part: Part, held: u64, limit: u64) {
            display(
                "no memory for the body: {} of {} bytes for {} bodies are taken",
                held, limit, part.name()
            )
        }
        /// The body made no progress, or was the largest that waited, and others waited too.
        GaveWay(part: Part, held: u64, limit: u64) {
            display(
                "the body made way for others: {} of {} bytes for {} bodies are taken",
                held, limit, part.name()
            )
        }
    }
}

/// The memory for bodies, shared by the connections of a process.
#[derive(Debug)]
pub struct Budget {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// The senders that wake the bodies that wait for a part, by number: first come, first served.
    waiting: BTreeMap<(Part, u64), Sender<()>>,
    /// The senders that tell bodies to give way.
    notices: BTreeMap<BodyKey, Sender<()>>,
    last_number: u64,
}

impl Budget {
    /// Creates a budget of `bytes` for all bodies.
    pub fn new(clock: Clock, bytes: u64) -> Arc<Self> {
        let state = State {
            ledger: Ledger::new(Limits::new(bytes)),
            waiting: BTreeMap::new(),
            notices: BTreeMap::new(),
            last_number: 0,
        };
        Arc::new(Self { clock, state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an account for the body of one message.
    pub fn open(self: &Arc<Self>) -> Room {
        let mut state = self.lock();
        let key = state.ledger.open(self.clock.now_ms());
        let (notice, given_way) = bounded(1);
        state.notices.insert(key, notice);
        Room { budget: self.clone(), key, given_way }
    }

    /// Returns the bytes that are charged to a part.
    pub fn held(&self, part: Part) -> u64 {
        self.lock().ledger.held(part)
    }

    fn limit(&self, part: Part) -> u64 {
        self.lock().ledger.limits().of(part)
    }

    /// Records the gauges of what is held, of its limits and of what waits.
    pub fn record_gauges(&self) {
        let state = self.lock();
        for part in Part::ALL {
            let labels = [("part", part.name())];
            let held = state.ledger.held(part) as f64;
            metrics::gauge!("lycheehub_body_memory_bytes", &labels).set(held);
            let limit = state.ledger.limits().of(part) as f64;
            metrics::gauge!("lycheehub_body_memory_limit_bytes", &labels).set(limit);
            let waiting = state.waiting.range(places_of(part)).count();
            metrics::gauge!("lycheehub_bodies_waiting", &labels).set(waiting as f64);
        }
    }

    /// Makes a body give way to the first one that waits for `part`, if one makes no progress.
    fn make_room(&self, part: Part) {
        let mut state = self.lock();
        let chosen = state.ledger.choose_to_give_way(self.clock.now_ms(), part);
        if let Some(notice) = chosen.and_then(|key| state.notices.remove(&key)) {
            // The body may have ended meanwhile.
            let _ = notice.try_send(());
        }
    }
}

impl State {
    /// Returns the number of the first body that waits for a part.
    fn first_waiting(&self, part: Part) -> Option<u64> {
        self.waiting.range(places_of(part)).next().map(|((_, number), _)| *number)
    }

    /// Wakes the first body that waits for each part.
    fn wake_first(&self) {
        for part in Part::ALL {
            if let Some((_, waker)) = self.waiting.range(places_of(part)).next() {
                // A full channel has woken it already.
                let _ = waker.try_send(());
            }
        }
    }
}

/// Returns the keys of all bodies that may wait for a part.
fn places_of(part: Part) -> RangeInclusive<(Part, u64)> {
    (part, 0)..=(part, u64::MAX)
}

/// A place in the queue for a part, until it is dropped.
struct Place<'a> {
    budget: &'a Budget,
    part: Part,
    number: u64,
    woken: Receiver<()>,
}

impl<'a> Place<'a> {
    fn take(budget: &'a Budget, part: Part) -> Self {
        let mut state = budget.lock();
        state.last_number += 1;
        let number = state.last_number;
        let (waker, woken) = bounded(1);
        state.waiting.insert((part, number), waker);
        Self { budget, part, number, woken }
    }

    fn is_first(&self) -> bool {
        self.budget.lock().first_waiting(self.part) == Some(self.number)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.waiting.remove(&(self.part, self.number));
        state.wake_first();
    }
}

/// The account of one body; dropping it frees its memory.
#[derive(Debug)]
pub struct Room {
    budget: Arc<Budget>,
    key: BodyKey,
    given_way: Receiver<()>,
}

impl Room {
    /// Charges the body, which grows to `bytes` and may reach `most_bytes`; waits for room for a limited
    /// time.
    ///
    /// # Errors
    /// Fails if no room comes free in time.
    pub async fn hold(&self, bytes: u64, most_bytes: u64) -> Result<(), NoRoom> {
        let budget = &*self.budget;
        let part = Part::for_bytes(bytes);
        let may_go_first = {
            let state = budget.lock();
            state.ledger.is_held(self.key, bytes) || state.first_waiting(part).is_none()
        };
        if may_go_first && self.try_hold(bytes, most_bytes) {
            return Ok(());
        }
        let place = Place::take(budget, part);
        let give_up_ms = budget.clock.now_ms() + PATIENCE_MS;
        while budget.clock.now_ms() < give_up_ms {
            if place.is_first() {
                if self.try_hold(bytes, most_bytes) {
                    return Ok(());
                }
                budget.make_room(part);
            }
            let wait_ms = if place.is_first() { LOOK_INTERVAL_MS } else { PATIENCE_MS };
            let left_ms = give_up_ms.saturating_sub(budget.clock.now_ms());
            let woken = async {
                // The channel stays open as long as the place is taken.
                let _ = place.woken.recv().await;
            };
            let timer = async {
                Timer::after(Duration::from_millis(wait_ms.min(left_ms))).await;
            };
            smol::future::or(woken, timer).await;
        }
        Err(NoRoom::Waited(part, budget.held(part), budget.limit(part)))
    }

    /// Receives the body; ends early if it must give way to others before it is whole. After that it no longer
    /// gives way.
    ///
    /// # Errors
    /// Fails if the body gives way.
    pub async fn receive<T>(&self, read: impl Future<Output = T>) -> Result<T, NoRoom> {
        let read = async { Ok(read.await) };
        let given_way = async { Err(self.given_way().await) };
        let received = smol::future::or(read, given_way).await?;
        self.record_received();
        Ok(received)
    }

    /// Records that the body was received whole: it no longer gives way.
    pub fn record_received(&self) {
        let mut state = self.budget.lock();
        state.ledger.record_received(self.key);
        state.notices.remove(&self.key);
    }

    /// Completes when the body must give way to others.
    pub async fn given_way(&self) -> NoRoom {
        if self.given_way.recv().await.is_err() {
            // It was received.
            std::future::pending::<()>().await;
        }
        let part = self.budget.lock().ledger.part_of(self.key);
        NoRoom::GaveWay(part, self.budget.held(part), self.budget.limit(part))
    }

    fn try_hold(&self, bytes: u64, most_bytes: u64) -> bool {
        let now_ms = self.budget.clock.now_ms();
        self.budget.lock().ledger.hold(now_ms, self.key, bytes, most_bytes)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.ledger.close(self.key);
        state.notices.remove(&self.key);
        state.wake_first();
    }
}
