//! Whose requests a dispatcher decides on, and so how much of the crashes it sees.

/// Whose requests are decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those of all instances.
    AllInstances,
    /// Those of one instance until a leader decides again. Others may have seen as many crashes: a suspect
    /// is refused after the first, and quarantines are left to the leader.
    UntilLeader,
    /// Those of one instance, for which no leader ever decides. A request that was at a single crash is
    /// tried elsewhere at once.
    Independent,
}

impl Scope {
    /// Returns whether quarantines begin and are tried here.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::crashes::Scope;
    ///
    /// assert!(Scope::Independent.decides_quarantines());
    /// assert!(!Scope::UntilLeader.decides_quarantines());
    /// ```
    pub fn decides_quarantines(self) -> bool {
        self != Self::UntilLeader
    }
}
