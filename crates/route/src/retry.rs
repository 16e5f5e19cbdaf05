//! The retry budget: retries may be only a small part of all requests, so that a failure is not
//! made worse by them.

/// What each first try adds to the budget, in retries.
const EARNED_PER_REQUEST: f64 = 0.1;
/// The most that the budget holds, in retries.
const BUDGET_MAX: f64 = 20.0;

/// A budget of retries.
///
/// # Examples
/// ```
/// let mut budget = lycheehub_route::retry::Budget::default();
/// let allowed = (0..100).filter(|_| budget.spend()).count();
/// assert_eq!(allowed, 20);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget(f64);

impl Default for Budget {
    fn default() -> Self {
        Self(BUDGET_MAX)
    }
}

impl Budget {
    /// Adds what a first try earns.
    pub fn earn(&mut self) {
        self.0 = (self.0 + EARNED_PER_REQUEST).min(BUDGET_MAX);
    }

    /// Takes one retry; tells whether the budget allowed it.
    pub fn spend(&mut self) -> bool {
        let allowed = self.0 >= 1.0;
        if allowed {
            self.0 -= 1.0;
        }
        allowed
    }
}
