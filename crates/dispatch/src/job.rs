//! The jobs submitted to the dispatcher, its decisions, and the reported results.

use crate::crashes::RequestDigest;
use crate::refusal::RefusalBasis;
use lycheehub_types::{AccountName, EndpointName, FailureDomain, Region, ServiceName};
use smol_str::SmolStr;

/// Identifies a job: the number that this process gave to the instance that received the request,
/// and the number that the instance gave to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId {
    /// The number of the instance.
    pub instance: u32,
    /// The number of the request at its instance.
    pub number: u64,
}

/// A part of a prompt; requests with the same identifier share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// The identifier of the part.
    pub id: u64,
    /// The length, in tokens.
    pub tokens: u32,
}

/// A request that needs an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The identifier of the job.
    pub job_id: JobId,
    /// The service that handles the request.
    pub service: ServiceName,
    /// The tier; 0 is the highest. While a tier is shed, jobs of lower tiers are not admitted.
    pub tier: u8,
    /// The rank within the tier; 0 is the most urgent one.
    pub rank: u8,
    /// The client account, if the request was sent with an API key.
    pub account: Option<AccountName>,
    /// The number of tokens that the caller declared for quota accounting, if any.
    pub declared_tokens: Option<u64>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The expected length of the response, in tokens.
    pub output_tokens: u32,
    /// The parts of the prompt, in order.
    pub prefix: Vec<PrefixPart>,
    /// The identity of the request, if the instance that received it tells it.
    pub digest: Option<RequestDigest>,
    /// The time left until the first byte is late, in milliseconds; 0 if it is late already.
    pub objective_left_ms: u64,
    /// The time left until the caller gives up waiting for the first byte, in milliseconds.
    pub patience_left_ms: u64,
    /// The time left until the response is useless, in milliseconds.
    pub deadline_left_ms: u64,
    /// The caller was refused before and has retried after the given delay.
    pub returning: bool,
    /// The job resumes a stream that broke off on another endpoint after the caller received a part
    /// of it.
    pub resumes_stream: bool,
    /// The job is not retried on another endpoint if this attempt fails.
    pub is_last_attempt: bool,
    /// The failure domain of the instance that received the request.
    pub failure_domain: FailureDomain,
    /// The endpoints that have already been tried.
    pub tried: Vec<EndpointName>,
    /// The regions in which the request may run; `None` if it may run anywhere.
    pub regions: Option<Vec<Region>>,
    /// The job is a retry that counts towards the retry budget: an earlier attempt may have run, or
    /// an endpoint rejected it.
    pub repeat: bool,
}

impl Job {
    /// Returns the job as it is after `waited_ms` milliseconds, with that much less time left.
    ///
    /// # Examples
    /// ```
    /// # use lycheehub_dispatch::{Job, JobId};
    /// # let job_id = JobId { instance: 1, number: 1 };
    /// # let job = Job {
    /// #     job_id, service: "labels".into(), tier: 0, rank: 0, account: None, declared_tokens: None,
    /// #     prompt_tokens: 0, output_tokens: 0, prefix: vec![], digest: None, objective_left_ms: 100,
    /// #     patience_left_ms: 500, deadline_left_ms: 500, returning: false,
    /// #     resumes_stream: false, is_last_attempt: false, failure_domain: "salto".into(), tried: vec![],
    /// #     regions: None, repeat: false,
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

/// The decision about a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The job is sent to an endpoint.
    Place {
        /// The identifier of the job.
        job_id: JobId,
        /// The name of the endpoint.
        endpoint: EndpointName,
        /// The address of the endpoint.
        address: SmolStr,
        /// The expected time from sending the request to its first byte, in milliseconds.
        first_byte_ms: u64,
    },
    /// The job is refused.
    Refuse {
        /// The identifier of the job.
        job_id: JobId,
        /// The reason for the refusal.
        reason: Reason,
        /// The delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// The rule that refused the job, and its inputs.
        basis: RefusalBasis,
    },
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The backlog takes longer than the job has time.
    Overloaded,
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// It has none in the regions to which the request is bound.
    NoEndpointInRegion,
    /// The client account has exceeded its quota.
    QuotaExceeded,
    /// The service has used up its retry budget.
    RetriesExhausted,
    /// Endpoints crash on the request or on a part of its prompt.
    Quarantined,
}

/// How an attempt ended on its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint returned a response.
    Answered,
    /// The endpoint returned an error.
    Failed,
    /// The endpoint reported that it did not run the request.
    Rejected,
    /// The response was incomplete or malformed.
    Broken,
    /// The connection failed.
    NotConnected,
    /// A different endpoint listens at the address.
    Misdirected,
    /// The caller left or the deadline passed.
    Abandoned,
}

/// The result of an attempt on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// The identifier of the job.
    pub job_id: JobId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The time until the first byte of the response, or the first event of a stream, in
    /// milliseconds.
    pub first_byte_ms: Option<u32>,
    /// The time from then to the end of the response, in milliseconds.
    pub rest_ms: u32,
    /// The number of events received.
    pub events: u32,
    /// The endpoint closed or reset the connection before the response was complete.
    pub is_connection_lost: bool,
    /// Another instance did not reach the endpoint either.
    pub is_confirmed: bool,
}
