//! The process clock, a timer service that sends periodic ticks to its subscribers, and events that happen
//! once.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod event;

pub use event::Event;

use rustix::time::{ClockId, clock_gettime};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The maximum sleep of the timer service, in milliseconds, after which it checks for new
/// subscribers.
const MAX_SLEEP_MS: u64 = 50;

/// Returns the time since the machine booted, including the time it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// A monotonic clock that starts with the process and also counts the time while the machine is
/// suspended.
///
/// Other machines rely on the expiry of leases, so a lease must also run out during a suspension.
///
/// # Examples
/// ```
/// let clock = lycheehub_clock::Clock::new();
/// assert!(clock.now_ms() >= 1);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
    started: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts a clock.
    pub fn new() -> Self {
        Self::with_source(since_boot)
    }

    /// Starts a clock that reads its time from `read`, which must be monotonic.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    ///
    /// let clock = lycheehub_clock::Clock::with_source(|| Duration::from_secs(7));
    /// assert_eq!(clock.now_ms(), 1);
    /// ```
    pub fn with_source(read: fn() -> Duration) -> Self {
        Self { read, started: read() }
    }

    fn elapsed(&self) -> Duration {
        (self.read)().saturating_sub(self.started)
    }

    /// Returns the milliseconds since the clock was started, counted from 1.
    pub fn now_ms(&self) -> u64 {
        self.elapsed().as_millis() as u64 + 1
    }

    /// Returns the milliseconds since the clock was started, counted from 0, with their fraction.
    pub fn now_ms_f64(&self) -> f64 {
        self.elapsed().as_secs_f64() * 1e3
    }

    /// Returns the milliseconds since the Unix epoch by the system clock.
    pub fn now_unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

/// Runs a future with a timeout; returns `None` if it does not complete in time.
///
/// # Examples
/// ```
/// let late = lycheehub_clock::within(1, std::future::pending::<()>());
/// assert_eq!(smol::block_on(late), None);
/// ```
pub async fn within<T>(timeout_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    let done = async { Some(work.await) };
    let late = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        None
    };
    smol::future::or(done, late).await
}

/// A source of periodic ticks.
pub trait Timers: Send + Sync {
    /// Returns a channel that receives a tick every `period_ms` milliseconds. A tick is dropped if the
    /// previous one has not been received yet.
    fn subscribe(&self, period_ms: u64) -> Receiver<()>;
}

#[derive(Debug)]
struct Subscriber {
    period_ms: u64,
    due_ms: u64,
    sender: Sender<()>,
}

/// A timer service that sends the ticks of all subscribers from one task.
///
/// # Examples
/// ```
/// use lycheehub_clock::{Clock, TimerService, Timers};
///
/// let timers = TimerService::new(Clock::new());
/// let ticks = timers.subscribe(5);
/// smol::block_on(smol::future::or(timers.run(), async {
///     ticks.recv().await.unwrap();
/// }));
/// ```
#[derive(Debug)]
pub struct TimerService {
    clock: Clock,
    subscribers: Mutex<Vec<Subscriber>>,
}

impl TimerService {
    /// Creates a service that uses `clock`.
    pub fn new(clock: Clock) -> Self {
        Self { clock, subscribers: Mutex::new(Vec::new()) }
    }

    /// Sends ticks until the future is dropped.
    pub async fn run(&self) {
        loop {
            let wait_ms = self.send_due_ticks();
            Timer::after(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Sends the ticks that are due; returns the time until the next call, in milliseconds.
    fn send_due_ticks(&self) -> u64 {
        let now_ms = self.clock.now_ms();
        let mut subscribers = self.subscribers.lock().unwrap_or_else(PoisonError::into_inner);
        subscribers.retain(|subscriber| !subscriber.sender.is_closed());
        let mut next_ms = now_ms + MAX_SLEEP_MS;
        for subscriber in subscribers.iter_mut() {
            if subscriber.due_ms <= now_ms {
                let is_dropped = subscriber.sender.try_send(()).is_err();
                let base_ms = if is_dropped { now_ms } else { subscriber.due_ms };
                subscriber.due_ms = (base_ms + subscriber.period_ms).max(now_ms + 1);
            }
            next_ms = next_ms.min(subscriber.due_ms);
        }
        next_ms - now_ms
    }
}

impl Timers for TimerService {
    fn subscribe(&self, period_ms: u64) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        let due_ms = self.clock.now_ms() + period_ms;
        let subscriber = Subscriber { period_ms, due_ms, sender };
        self.subscribers.lock().unwrap_or_else(PoisonError::into_inner).push(subscriber);
        receiver
    }
}
