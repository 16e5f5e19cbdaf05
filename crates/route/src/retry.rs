//! The retry budget: limits retries to a small fraction of all requests, so that they do not
//! amplify an overload or an outage.

/// The retries that each new request adds to the budget.
const DEPOSIT_PER_REQUEST: f64 = 0.1;
/// The maximum balance of the budget, in retries; also its initial balance.
const BUDGET_MAX: f64 = 20.0;

/// A token bucket of retries that new requests refill.
///
/// # Examples
/// ```
/// let mut budget = lycheehub_route::retry::RetryBudget::default();
/// let allowed = (0..100).filter(|_| budget.try_withdraw()).count();
/// assert_eq!(allowed, 20);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(BUDGET_MAX)
    }
}

impl RetryBudget {
    /// Adds the deposit of one new request.
    pub fn deposit(&mut self) {
        self.0 = (self.0 + DEPOSIT_PER_REQUEST).min(BUDGET_MAX);
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.0 >= 1.0;
        if allowed {
            self.0 -= 1.0;
        }
        allowed
    }
}
