//! Which bodies are kept in memory, and which ones give way.
//!
//! Load pattern: a few clients send large bodies on hundreds of connections and stop just short of their
//! ends. Each body is legal, and together they are several times the memory of the machine. A large body
//! is therefore admitted as a whole, for the size that it announces or may reach: those that are admitted
//! can all end, and the others wait at their first bytes.
//!
//! Load pattern: ordinary callers send small bodies meanwhile. They have a part of the memory that large
//! bodies use only until they are admitted, and large ones that wait give way to them.
//!
//! Load pattern: bodies of which nothing more comes would keep their room until they time out. Once
//! others wait, the largest of them gives way. A body that was received whole keeps its room: its request
//! may run.

use slotmap::SlotMap;
use std::collections::BTreeMap;

/// The largest size of a small body, in bytes.
const SMALL_MAX_BYTES: u64 = 64 * 1024;
/// The part of the memory that is kept for small bodies.
const SMALL_SHARE: f64 = 0.25;
/// How long a body may make no progress while others wait, in milliseconds: several round trips to far
/// clients, and a lost packet.
const STALL_MS: u64 = 1_000;

slotmap::new_key_type! {
    /// The key of a body in the ledger's arena.
    pub struct BodyKey;
}

/// The parts of the memory for bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// For bodies up to 64 KiB, and the first bytes of larger ones.
    Small,
    /// For larger bodies, by the size that they may reach.
    Large,
}

impl Part {
    /// Returns the part for a body that grows to `bytes`.
    pub fn for_bytes(bytes: u64) -> Self {
        if bytes <= SMALL_MAX_BYTES { Self::Small } else { Self::Large }
    }

    /// Both parts.
    pub const ALL: [Self; 2] = [Self::Small, Self::Large];

    /// Returns the name, for logs and metrics.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(lycheehub_budget::Part::Small.name(), "small");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Large => "large",
        }
    }
}

/// How much memory bodies may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    small_bytes: u64,
    large_bytes: u64,
}

impl Limits {
    /// Divides the memory for all bodies into its parts.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_budget::{Limits, Part};
    /// assert_eq!(Limits::new(4_000).of(Part::Large), 3_000);
    /// ```
    pub fn new(bytes: u64) -> Self {
        let small_bytes = (bytes as f64 * SMALL_SHARE) as u64;
        Self { small_bytes, large_bytes: bytes - small_bytes }
    }

    /// Returns the size of a part, in bytes.
    pub fn of(&self, part: Part) -> u64 {
        match part {
            Part::Small => self.small_bytes,
            Part::Large => self.large_bytes,
        }
    }
}

/// What a body takes.
#[derive(Clone, Copy, Debug)]
struct Body {
    part: Part,
    /// The bytes that are charged to the part.
    bytes: u64,
    /// When it last grew, in milliseconds.
    progressed_ms: u64,
    /// The part that it waits for.
    waits_for: Option<Part>,
    is_received: bool,
    gives_way: bool,
}

/// What each body takes of the memory.
///
/// # Examples
/// ```
/// use lycheehub_budget::{Ledger, Limits, Part};
///
/// let mut ledger = Ledger::new(Limits::new(4_000_000));
/// let body = ledger.open(1_000);
/// assert!(ledger.hold(1_000, body, 600, 600));
/// assert_eq!(ledger.held(Part::Small), 600);
/// ledger.close(body);
/// assert_eq!(ledger.held(Part::Small), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    bodies: SlotMap<BodyKey, Body>,
    held: BTreeMap<Part, u64>,
}

impl Ledger {
    /// Creates a ledger without bodies.
    pub fn new(limits: Limits) -> Self {
        Self { limits, bodies: SlotMap::with_key(), held: BTreeMap::new() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the bytes that are charged to a part.
    pub fn held(&self, part: Part) -> u64 {
        self.held.get(&part).copied().unwrap_or_default()
    }

    /// Adds a body of which nothing has arrived.
    pub fn open(&mut self, now_ms: u64) -> BodyKey {
        self.bodies.insert(Body {
            part: Part::Small,
            bytes: 0,
            progressed_ms: now_ms,
            waits_for: None,
            is_received: false,
            gives_way: false,
        })
    }

    /// Returns whether a body that grows to `bytes` was charged for that before.
    pub fn is_held(&self, key: BodyKey, bytes: u64) -> bool {
        let body = self.bodies.get(key);
        body.is_some_and(|body| body.part == Part::Large || bytes <= body.bytes)
    }

    /// Returns the part to which a body is charged.
    pub fn part_of(&self, key: BodyKey) -> Part {
        self.bodies.get(key).map_or(Part::Small, |body| body.part)
    }

    /// Charges a body that grows to `bytes` and may reach `most_bytes`; returns whether there is room.
    /// Otherwise it waits until it asks again.
    pub fn hold(&mut self, now_ms: u64, key: BodyKey, bytes: u64, most_bytes: u64) -> bool {
        let Some(body) = self.bodies.get(key).copied() else { return false };
        if self.is_held(key, bytes) {
            return self.record_progress(now_ms, key, body);
        }
        // It is charged at once for all that it may take, so that it waits once for each part.
        let most_bytes = most_bytes.max(bytes);
        let part = Part::for_bytes(bytes);
        let charged = match part {
            Part::Small => most_bytes.min(SMALL_MAX_BYTES),
            Part::Large => most_bytes,
        };
        let before = if part == body.part { body.bytes } else { 0 };
        // A single body that is larger than the part is admitted alone.
        let others = self.held(part) - before;
        if others > 0 && others + charged > self.limits.of(part) {
            self.bodies[key].waits_for = Some(part);
            return false;
        }
        self.release(body);
        *self.held.entry(part).or_default() += charged;
        self.record_progress(now_ms, key, Body { part, bytes: charged, ..body })
    }

    fn record_progress(&mut self, now_ms: u64, key: BodyKey, body: Body) -> bool {
        self.bodies[key] = Body { progressed_ms: now_ms, waits_for: None, ..body };
        true
    }

    /// Records that a body was received whole.
    pub fn record_received(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.get_mut(key) {
            body.is_received = true;
            body.waits_for = None;
        }
    }

    /// Removes a body.
    pub fn close(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.remove(key) {
            self.release(body);
        }
    }

    fn release(&mut self, body: Body) {
        if let Some(held) = self.held.get_mut(&body.part) {
            *held -= body.bytes;
        }
    }

    /// Chooses the body that gives way to one that waits for `part`, if one must: the largest of those
    /// that make no progress. It is chosen once.
    pub fn choose_to_give_way(&mut self, now_ms: u64, part: Part) -> Option<BodyKey> {
        let candidates = self.bodies.iter_mut().filter(|(_, body)| {
            body.part == part && body.bytes > 0 && !body.is_received && !body.gives_way
        });
        let may_give_way = |body: &Body| match body.waits_for {
            // It would need still more.
            Some(waits_for) => waits_for > part,
            None => now_ms >= body.progressed_ms + STALL_MS,
        };
        let stalled = candidates.filter(|(_, body)| may_give_way(body));
        let (key, body) = stalled.max_by_key(|(_, body)| body.bytes)?;
        body.gives_way = true;
        Some(key)
    }
}
