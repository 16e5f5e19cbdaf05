//! What is asked of the dispatcher, what it decides, and what is reported back.

use lycheehub_types::{AccountName, EndpointName, FailureDomain, ServiceName};
use smol_str::SmolStr;

/// The key of a request: the instance that took it, by its number here, and the request's number
/// there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The instance.
    pub instance: u32,
    /// The request.
    pub number: u64,
}

/// A part of a prompt, shared with other requests of the same identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// The identifier.
    pub id: u64,
    /// The length, in tokens.
    pub tokens: u32,
}

/// A request that asks for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request.
    pub ticket: Ticket,
    /// The service that is to answer.
    pub service: ServiceName,
    /// The tier; nothing of a lower one is admitted while a higher one is shed. 0 is the highest.
    pub tier: u8,
    /// The rank within the tier; 0 is the most urgent one.
    pub rank: u8,
    /// The client account, if the request came with a key.
    pub account: Option<AccountName>,
    /// The tokens that the request is counted by, if it tells them.
    pub told_tokens: Option<u64>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The likely length of the answer, in tokens.
    pub output_tokens: u32,
    /// The parts of the prompt, in order.
    pub prefix: Vec<PrefixPart>,
    /// The time left in which an answer is on time, in milliseconds; 0 where it is late already.
    pub objective_left_ms: u64,
    /// The time left until the caller leaves unless the first byte has come, in milliseconds.
    pub patience_left_ms: u64,
    /// The time left in which an answer is of any use, in milliseconds.
    pub deadline_left_ms: u64,
    /// The caller was refused before and has come back when it was told to.
    pub returning: bool,
    /// The caller has a part of its stream already, which broke off at another endpoint.
    pub goes_on: bool,
    /// It is sent to no further endpoint if this one fails.
    pub is_final: bool,
    /// Where the request was taken.
    pub failure_domain: FailureDomain,
    /// The endpoints that it was sent to before.
    pub tried: Vec<EndpointName>,
    /// It may be sent to another endpoint although one may have run it, or was sent to one that
    /// refused it: it counts as a repeat.
    pub repeat: bool,
}

impl Job {
    /// Returns the job as it is after `waited_ms` milliseconds: with so much less time left.
    ///
    /// # Examples
    /// ```
    /// # use lycheehub_dispatch::{Job, Ticket};
    /// # let ticket = Ticket { instance: 1, number: 1 };
    /// # let job = Job {
    /// #     ticket, service: "labels".into(), tier: 0, rank: 0, account: None, told_tokens: None,
    /// #     prompt_tokens: 0, output_tokens: 0, prefix: vec![], objective_left_ms: 100,
    /// #     patience_left_ms: 500, deadline_left_ms: 500, returning: false,
    /// #     goes_on: false, is_final: false, failure_domain: "salto".into(), tried: vec![],
    /// #     repeat: false,
    /// # };
    /// let later = job.after(200);
    /// assert_eq!((later.objective_left_ms, later.deadline_left_ms), (0, 300));
    /// ```
    pub fn after(&self, waited_ms: u64) -> Self {
        Self {
            objective_left_ms: self.objective_left_ms.saturating_sub(waited_ms),
            patience_left_ms: self.patience_left_ms.saturating_sub(waited_ms),
            deadline_left_ms: self.deadline_left_ms.saturating_sub(waited_ms),
            ..self.clone()
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It goes to an endpoint.
    Place {
        /// The request.
        ticket: Ticket,
        /// The endpoint.
        endpoint: EndpointName,
        /// Where the endpoint listens.
        address: SmolStr,
        /// When its first byte is expected, in milliseconds after it was sent.
        first_byte_ms: u64,
    },
    /// It is not sent anywhere.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
        reason: Reason,
        /// After how many milliseconds there will be room.
        retry_after_ms: u64,
    },
}

/// Why a request is not sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// What waits before it takes longer than the request has time.
    Overloaded,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The client account has used up its quota.
    QuotaExceeded,
    /// Too many requests of the service were repeated of late.
    RetriesExhausted,
}

/// How a request that went to an endpoint ended there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint said that it did not run the request.
    Rejected,
    /// The answer was cut off, or was none.
    Broken,
    /// No connection could be made.
    NotConnected,
    /// Another endpoint listens at the address.
    Misdirected,
    /// The caller left, or its time was over.
    Abandoned,
}

/// The end of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// The request.
    pub ticket: Ticket,
    /// How it ended.
    pub outcome: Outcome,
    /// How long the first byte of the answer, or the first event of a stream, took, in
    /// milliseconds.
    pub first_byte_ms: Option<u32>,
    /// How much longer the rest took, in milliseconds.
    pub rest_ms: u32,
    /// How many events came.
    pub events: u32,
}
