//! The border between those that have requests and whoever places them.

use crate::{Decision, Finished, Job, Notice, Ticket};
use lycheehub_types::EndpointName;
use std::future::Future;
use std::pin::Pin;

/// A decision to come.
pub type Deciding<'a> = Pin<Box<dyn Future<Output = Decision> + 'a>>;

/// Places requests.
pub trait Placement {
    /// Numbers a new request.
    fn ticket(&self) -> Ticket;

    /// Decides about a request; one that is dropped before must be withdrawn.
    fn place(&self, job: Job) -> Deciding<'_>;

    /// Takes the end of a request at the endpoint that it was placed at.
    fn finish(&self, finished: Finished);

    /// Takes the news that a request has not had an answer for much longer than expected.
    fn stalled(&self, ticket: Ticket);

    /// Takes the news that the caller of a request that waits has left.
    fn withdraw(&self, ticket: Ticket);

    /// Takes what an endpoint said of itself in an answer to this instance.
    fn heed(&self, endpoint: &EndpointName, notice: Notice);

    /// Tells whether an endpoint has said that it wants nothing new from this instance now.
    fn is_barred(&self, endpoint: &EndpointName) -> bool;
}
