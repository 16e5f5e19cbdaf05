//! The steps of a schedule, and the faults that are planted.

/// A fault that is built in on purpose, to show that the checks catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    None,
    /// The vote is not stored.
    VoteNotStored,
    /// Entries are acknowledged before they are stored.
    AckBeforeStore,
    /// A replica that lost its disk keeps its identity and so its vote.
    LostDiskVotes,
    /// A restarted replica votes at once, though it may have promised a leader not to.
    RestartVotesAtOnce,
    /// A leader acts without looking at its lease.
    LeaseIgnored,
    /// A read is answered without asking a quorum.
    ReadWithoutQuorum,
    /// The clock does not count the time for which a process is frozen.
    FrozenClock,
}

/// A step of a schedule.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes and all replicas tick.
    Pass(u16),
    /// Time passes while messages are delivered soon.
    Run(u16),
    /// A message is delivered.
    Deliver(u16),
    /// All messages under way are delivered, with the answers to them.
    DeliverAll,
    /// A message is lost.
    Lose(u16),
    /// A message is delivered and stays under way.
    Repeat(u16),
    /// The next step of a replica is cut short by a crash after this many actions.
    CrashAfter(u8, u8),
    /// A replica crashes.
    Crash(u8),
    /// A crashed replica starts again.
    Restart(u8),
    /// A replica loses its disk.
    LoseDisk(u8),
    /// An operator's command comes in.
    Propose(u8),
    /// A read comes in.
    Read(u8),
    /// Messages from one replica to another are cut off.
    Cut(u8, u8),
    /// Two replicas are cut off from each other.
    Part(u8, u8),
    /// A replica is cut off from all others.
    Isolate(u8),
    /// A process is frozen.
    Freeze(u8),
    /// All frozen processes go on.
    Thaw,
    /// A replica crashes and starts again at once.
    Bounce(u8),
    /// All cuts end.
    Heal,
    /// The applied log is compacted.
    Compact(u8),
    /// The leader hands over.
    HandOver(u8),
}
