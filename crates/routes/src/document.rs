//! What operators submit as one whole: routes, services, limits and client accounts.

use lycheehub_types::{AccountName, ServiceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A whole route document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The operators' number for this content; the highest one is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services that routes may name.
    pub services: Vec<ServiceSpec>,
    /// Bounds for what callers send.
    pub limits: ClientLimits,
    /// The client accounts; requests need no key where there are none.
    pub accounts: Vec<AccountSpec>,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Unsafe,
    /// It is answered by a stream of numbered events.
    Stream {
        /// It may go on at another endpoint after an event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Tells whether a request that may have run may be sent again.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_routes::RequestKind;
    /// assert!(!RequestKind::Stream { resumable: false }.may_repeat());
    /// ```
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part, in relation to the sum of all parts.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// The route's name, for logs.
    pub name: SmolStr,
    /// The host that requests name.
    pub host: SmolStr,
    /// How the paths of its requests begin.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, is on time, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between events of a stream that is on time, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// How long callers wait for the first byte of an answer, in milliseconds, where that is less
    /// than their deadline.
    pub patience_ms: Option<u64>,
    /// The rank; 0 is the most urgent one.
    pub rank: u8,
    /// The services that answer.
    pub targets: Vec<Target>,
    /// To how many endpoints a request may be sent.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ServiceName,
    /// Where its endpoints tell whether they are well.
    pub health_path: SmolStr,
    /// The most connections that one of its endpoints takes from all instances.
    pub connections_max: Option<u32>,
    /// What is known of its endpoints where they are model engines.
    pub engine: Option<EngineSpec>,
}

/// A model engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// How many requests run at once.
    pub slots: u32,
    /// How many tokens its memory holds.
    pub memory_tokens: u64,
    /// How many tokens an event of a stream holds.
    pub tokens_per_event: u32,
}

/// Bounds for what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The longest request head, in bytes.
    pub head_max_bytes: usize,
    /// The longest request body, in bytes.
    pub body_max_bytes: usize,
    /// How long a caller may take to send a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// The account's name.
    pub name: AccountName,
    /// The keys of its callers.
    pub keys: Vec<SmolStr>,
    /// The tier of its requests; 0 is the highest one.
    pub tier: Option<u8>,
    /// What it may use; everything where there is none.
    pub quota: Option<Quota>,
}

/// What a client account may use over all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Whether tokens are counted instead of requests.
    pub in_tokens: bool,
    /// What a request counts that does not tell its tokens.
    pub untold_tokens: u32,
    /// How many units come back each second.
    pub units_per_s: f64,
    /// How many units may be used at once.
    pub burst_units: f64,
}

impl Quota {
    /// Returns how many units a request counts that tells `tokens`.
    ///
    /// # Examples
    /// ```
    /// # use lycheehub_routes::Quota;
    /// let quota = Quota { in_tokens: true, untold_tokens: 200, units_per_s: 1e3, burst_units: 1e3 };
    /// assert_eq!(quota.units_of(Some(1_540)), 1_540.0);
    /// assert_eq!(quota.units_of(None), 200.0);
    /// ```
    pub fn units_of(&self, tokens: Option<u64>) -> f64 {
        if !self.in_tokens {
            return 1.0;
        }
        tokens.map_or(f64::from(self.untold_tokens), |tokens| tokens as f64)
    }
}
