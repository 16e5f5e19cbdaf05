//! The endpoints to which a request was sent, and which of them may get it again.

use lycheehub_routes::RouteSpec;
use lycheehub_types::EndpointName;
use std::cell::RefCell;

/// The endpoints to which a request was sent, each once.
///
/// None gets it again, except one that was left because it was silent: if the other endpoints that may
/// get the request do not take it, it returns there. The number of endpoints that get it does not grow
/// by that.
#[derive(Debug, Default)]
pub(super) struct Tried {
    /// The endpoints that do not get the request again.
    excluded: RefCell<Vec<EndpointName>>,
    /// Those of them that were left because they were silent.
    silent: Vec<EndpointName>,
    /// The endpoints to which it returns, the only ones that may get it from now on.
    returning_to: Vec<EndpointName>,
}

impl Tried {
    /// Returns the endpoints that must not get the request.
    pub(super) fn excluded(&self) -> Vec<EndpointName> {
        self.excluded.borrow().clone()
    }

    /// Records an endpoint that failed or did not take the request.
    pub(super) fn record(&self, endpoint: EndpointName) {
        let mut excluded = self.excluded.borrow_mut();
        if !excluded.contains(&endpoint) {
            excluded.push(endpoint);
        }
    }

    /// Records an endpoint that was left because it was silent.
    pub(super) fn record_silent(&mut self, endpoint: EndpointName) {
        self.silent.push(endpoint.clone());
        self.record(endpoint);
    }

    /// Returns whether the next attempt is the last one that the route allows.
    pub(super) fn is_last_attempt(&self, route: &RouteSpec) -> bool {
        self.is_returning() || !self.allows_more_than(1, route)
    }

    /// Returns whether the route allows more endpoints than those recorded and `further` ones.
    pub(super) fn allows_more_than(&self, further: usize, route: &RouteSpec) -> bool {
        self.excluded.borrow().len() + further < route.attempts_max as usize
    }

    /// Returns whether the request was sent to as many endpoints as the route allows.
    pub(super) fn is_exhausted(&self, route: &RouteSpec) -> bool {
        !self.allows_more_than(0, route)
    }

    /// Lets the request return, once, to those endpoints that it left because they were silent and that
    /// take requests; returns whether there are any.
    pub(super) fn return_to_silent(
        &mut self,
        takes_requests: impl Fn(&EndpointName) -> bool,
    ) -> bool {
        self.returning_to = std::mem::take(&mut self.silent);
        self.returning_to.retain(takes_requests);
        self.excluded.get_mut().retain(|endpoint| !self.returning_to.contains(endpoint));
        self.is_returning()
    }

    /// Returns whether the request returns to endpoints that it left.
    pub(super) fn is_returning(&self) -> bool {
        !self.returning_to.is_empty()
    }

    /// Returns whether the request may be sent to a granted endpoint.
    pub(super) fn allows(&self, endpoint: &EndpointName) -> bool {
        !self.is_returning() || self.returning_to.contains(endpoint)
    }
}

/// Returns whether the attempt after this number of endpoints is the last one that the route allows.
pub(super) fn is_last_attempt(route: &RouteSpec, tried: usize) -> bool {
    tried as u32 + 1 >= route.attempts_max
}
