//! The route document that operators submit as a whole: routes, services, limits and client
//! accounts.

use lycheehub_types::{AccountName, Region, ServiceName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A complete route document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The version that the operators give to this content; the highest one is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services that routes may refer to.
    pub services: Vec<ServiceSpec>,
    /// Limits on what callers send.
    pub limits: ClientLimits,
    /// The client accounts. If there are none, requests need no key.
    pub accounts: Vec<AccountSpec>,
}

/// Whether and how a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Unsafe,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether the stream may be resumed at another endpoint after any event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request that may have run may be sent again.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_routes::RequestKind;
    /// assert!(!RequestKind::Stream { resumable: false }.may_repeat());
    /// ```
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service to which a route sends requests, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The service's share of the requests, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// The route's name, for logs.
    pub name: SmolStr,
    /// The host that requests must name.
    pub host: SmolStr,
    /// The prefix that request paths must start with.
    pub path_prefix: SmolStr,
    /// Whether and how a request may be sent again.
    pub kind: RequestKind,
    /// The maximum time that a caller waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective for an answer, or for the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// The latency objective for the gap between two events of a stream, in milliseconds.
    pub gap_objective_ms: Option<u64>,
    /// How long callers wait for the first byte of an answer, in milliseconds, if that is less than
    /// their deadline.
    pub patience_ms: Option<u64>,
    /// The priority rank; 0 is the most urgent.
    pub rank: u8,
    /// The services that the route distributes its requests to.
    pub targets: Vec<Target>,
    /// The maximum number of endpoints that a request may be sent to.
    pub attempts_max: u32,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// The regions in which its requests may run; all if there are none. Stored in the
    /// [`Supplement`](crate::Supplement).
    #[serde(skip)]
    pub regions: Vec<Region>,
}

impl RouteSpec {
    /// Returns the regions in which requests of a client account on this route may run; `None` if they
    /// may run anywhere. Where both are bound to regions, both bind.
    ///
    /// # Examples
    /// ```
    /// # use lycheehub_routes::{RequestKind, RouteSpec};
    /// let route = RouteSpec {
    ///     regions: vec!["south".into()],
    /// #     name: "labels".into(), host: "salto.example".into(), path_prefix: "/".into(),
    /// #     kind: RequestKind::Unsafe, timeout_ms: 1_000, objective_ms: 100, gap_objective_ms: None,
    /// #     patience_ms: None, rank: 0, targets: vec![], attempts_max: 1, anonymous: true,
    /// };
    /// assert_eq!(route.regions_for(None), Some(vec!["south".into()]));
    /// ```
    pub fn regions_for(&self, account: Option<&AccountSpec>) -> Option<Vec<Region>> {
        let by_account = account.map_or(&[][..], |account| &account.regions);
        match (self.regions.as_slice(), by_account) {
            ([], []) => None,
            (regions, []) | ([], regions) => Some(regions.to_vec()),
            (by_route, _) => {
                let both = by_route.iter().filter(|region| by_account.contains(region));
                Some(both.cloned().collect())
            }
        }
    }
}

/// A service and the properties of its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ServiceName,
    /// The path of the endpoints' health check.
    pub health_path: SmolStr,
    /// The maximum number of connections that one endpoint accepts from all instances together.
    pub connections_max: Option<u32>,
    /// The capacity of the endpoints, if they are model engines.
    pub engine: Option<EngineSpec>,
    /// What endpoints bear after they have started, if that is less than later. Stored in the
    /// [`Supplement`](crate::Supplement).
    #[serde(skip)]
    pub cold_start: Option<ColdStart>,
}

/// How an endpoint that has just started is spared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long an endpoint is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// The requests per second that it bears meanwhile, from all instances together.
    pub per_s: f64,
}

/// The capacity of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// The number of tokens that fit into its memory.
    pub memory_tokens: u64,
    /// The number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The maximum size of a request head, in bytes.
    pub head_max_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// The maximum time to receive a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// The maximum idle time of a connection, in milliseconds.
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
    /// The tier of its requests; 0 is the highest.
    pub tier: Option<u8>,
    /// The account's quota; usage is unlimited if there is none.
    pub quota: Option<Quota>,
    /// The regions in which its requests may run; all if there are none. Stored in the
    /// [`Supplement`](crate::Supplement).
    #[serde(skip)]
    pub regions: Vec<Region>,
}

/// A token-bucket limit on the usage of a client account, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Whether a unit is a token; otherwise it is a request.
    pub in_tokens: bool,
    /// The number of tokens charged for a request that does not state its token count.
    pub untold_tokens: u32,
    /// The refill rate, in units per second.
    pub units_per_s: f64,
    /// The capacity of the bucket, in units.
    pub burst_units: f64,
}

impl Quota {
    /// Returns the number of units charged for a request that states `tokens`, if any.
    ///
    /// # Examples
    /// ```
    /// # use lycheehub_routes::Quota;
    /// let quota = Quota { in_tokens: true, untold_tokens: 200, units_per_s: 1e3, burst_units: 1e3
    /// }; assert_eq!(quota.units_of(Some(1_540)), 1_540.0); assert_eq!(quota.units_of(None),
    /// 200.0); ```
    pub fn units_of(&self, tokens: Option<u64>) -> f64 {
        if !self.in_tokens {
            return 1.0;
        }
        tokens.map_or(f64::from(self.untold_tokens), |tokens| tokens as f64)
    }
}
