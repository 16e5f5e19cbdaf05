//! The steps of a schedule, and the bugs that a test can inject.

/// A bug that is injected on purpose, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// The vote is not stored.
    VoteNotStored,
    /// Entries are acknowledged before they are stored.
    AckBeforeStore,
    /// A replica that lost its disk keeps its identity, so it is still a voter.
    LostDiskVotes,
    /// A restarted replica votes at once, although a leader's lease may rely on its earlier reply.
    RestartVotesAtOnce,
    /// A leader acts without checking its lease.
    LeaseIgnored,
    /// A read is served without confirmation by a quorum.
    ReadWithoutQuorum,
    /// The clock stands still while its process is paused.
    ClockStopsWhilePaused,
    /// A command that the build does not know is skipped.
    UnknownCommandSkipped,
    /// A voter that stops ends without waiting until it is replaced.
    VoterEndsAtOnce,
    /// A voter that stops ends once its successor is a voter, before its own removal is committed.
    VoterEndsBeforeItsRemoval,
}

/// A step of a schedule.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time advances and all replicas tick.
    Advance(u16),
    /// Time advances in short steps, after each of which all messages are delivered.
    AdvanceDelivering(u16),
    /// A message is delivered.
    Deliver(u16),
    /// All messages in flight are delivered, and their replies.
    DeliverAll,
    /// A message is dropped.
    Drop(u16),
    /// A message is delivered and stays in flight, so it can be delivered again.
    Duplicate(u16),
    /// A replica crashes as soon as one of its steps returns more than this many actions; only the
    /// first ones are executed.
    CrashAfter(u8, u8),
    /// A replica crashes.
    Crash(u8),
    /// A crashed replica restarts.
    Restart(u8),
    /// A replica loses its disk.
    LoseDisk(u8),
    /// The replica that leads loses its disk.
    LoseDiskOfLeader,
    /// A command is proposed on a replica.
    Propose(u8),
    /// A read is started on a replica.
    Read(u8),
    /// Messages from one replica to another are blocked.
    BlockLink(u8, u8),
    /// Two replicas are partitioned from each other.
    Partition(u8, u8),
    /// A replica is partitioned from all others.
    Isolate(u8),
    /// A process is paused.
    Pause(u8),
    /// All paused processes resume.
    ResumeAll,
    /// A replica crashes and restarts at once.
    CrashAndRestart(u8),
    /// All blocked links are unblocked.
    UnblockLinks,
    /// A replica compacts the applied part of its log.
    Compact(u8),
    /// A replica transfers leadership if it leads.
    TransferLeadership(u8),
    /// A new machine starts with an empty disk.
    Join,
    /// A machine stops as planned.
    Stop(u8, StopKind),
    /// A machine is gone for good without a signal.
    Remove(u8),
}

/// What follows a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopKind {
    /// The machine does not come back.
    ForGood,
    /// The machine starts again with its disk.
    Restart,
}
