//! Why a job was refused, for the log: the rule that refused it, and the inputs of the rule.

/// The rule that refused a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rule {
    /// A rule without inputs: the reason of the refusal says all.
    #[default]
    Other,
    /// The caller would leave, or the deadline pass, before the response ends.
    Infeasible,
    /// The objective could no longer be met, and the backlog is long.
    Late,
    /// The job was kept although it was late, for the maximum time.
    Overdue,
    /// A higher tier was shed.
    TierShed,
    /// The queue is full.
    QueueFull,
    /// All endpoints are paused or closed for longer than the caller waits.
    Closed,
}

impl Rule {
    /// Returns the name of the rule in logs.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(lycheehub_dispatch::Rule::TierShed.name(), "tier_shed");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Other => "other",
            Self::Infeasible => "infeasible",
            Self::Late => "late",
            Self::Overdue => "overdue",
            Self::TierShed => "tier_shed",
            Self::QueueFull => "queue_full",
            Self::Closed => "closed",
        }
    }
}

/// The rule that refused a job, and its inputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalBasis {
    /// The rule.
    pub rule: Rule,
    /// The expected time that the job holds a slot of the mean endpoint, in milliseconds.
    pub mean_ms: u64,
    /// The expected time that the job holds a slot of the fastest endpoint, in milliseconds.
    pub fastest_ms: u64,
    /// The slot time that the queued jobs need per slot, in milliseconds.
    pub backlog_ms: u64,
}

impl From<Rule> for RefusalBasis {
    fn from(rule: Rule) -> Self {
        Self { rule, ..Self::default() }
    }
}
