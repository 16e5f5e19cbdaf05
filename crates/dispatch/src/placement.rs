//! The interface between request handlers and the dispatcher that places their requests.

use crate::{Decision, Finished, Job, JobId, LimitKind, Notice};
use lycheehub_types::EndpointName;
use std::future::Future;
use std::pin::Pin;

/// The future of a decision.
pub type DecisionFuture<'a> = Pin<Box<dyn Future<Output = Decision> + 'a>>;

/// Places requests on endpoints.
pub trait Placement {
    /// Returns the identifier for a new job.
    fn next_job_id(&self) -> JobId;

    /// Submits a job. If the future is dropped before it completes, the job must be withdrawn.
    fn place(&self, job: Job) -> DecisionFuture<'_>;

    /// Reports the result of an attempt on the endpoint that the job was placed on.
    fn finish(&self, finished: Finished);

    /// Records that the response to a job has begun.
    fn record_answer_begun(&self, job_id: JobId);

    /// Reports that a job has had no response for much longer than expected.
    fn report_stall(&self, job_id: JobId);

    /// Records whether this instance has lost its path to the endpoints.
    fn set_path_lost(&self, is_lost: bool);

    /// Removes a job whose request was not sent: it waits, or its endpoint is not used.
    fn withdraw(&self, job_id: JobId);

    /// Records a notice that this instance received in a response of an endpoint.
    fn record_notice(&self, endpoint: &EndpointName, notice: Notice);

    /// Records a response to the job that states no limit of this kind for its endpoint.
    fn record_unlimited(&self, job_id: JobId, kind: LimitKind);

    /// Returns the number of instances that send requests to endpoints, as far as it is known.
    fn instances(&self) -> u32;

    /// Returns whether an endpoint is leaving or has paused requests of this instance.
    fn is_excluded(&self, endpoint: &EndpointName) -> bool;
}
