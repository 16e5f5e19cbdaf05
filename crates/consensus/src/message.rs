//! Messages between replicas.

use crate::{Entry, Position, ReplicaId, Snapshot};

/// A message between replicas; `term` is the sender's term unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether the receiver would grant a vote.
    PreVote {
        /// The term in which the sender would campaign.
        term: u64,
        /// The position of the sender's last entry.
        last: Position,
    },
    /// Replies to [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if granted, else the sender's term.
        term: u64,
        /// Whether the sender would grant the vote.
        granted: bool,
    },
    /// Requests a vote.
    RequestVote {
        /// The term of the campaign.
        term: u64,
        /// The position of the sender's last entry.
        last: Position,
        /// Whether the former leader gave up its lease and asked the sender to campaign.
        transfer: bool,
    },
    /// Replies to [`Message::RequestVote`].
    VoteReply {
        /// The sender's term.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; also serves as the leader's heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The position of the entry before the first one sent.
        previous: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// Replies to [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// The sender's term.
        term: u64,
        /// Whether the message continues the sender's log.
        accepted: bool,
        /// The last index known to match or, if not accepted, the index to try next.
        index: u64,
        /// The heartbeat round of the message that this replies to.
        round: u64,
    },
    /// Replaces the receiver's log with a snapshot.
    Install {
        /// The leader's term.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// Asks the receiver to campaign at once, to transfer leadership to it.
    CampaignNow {
        /// The term in which the sender was the leader.
        term: u64,
    },
}

impl Message {
    /// Returns `from` as the leader if only a leader sends this kind of message.
    pub(crate) fn leader(&self, from: ReplicaId) -> Option<ReplicaId> {
        matches!(self, Self::Append { .. } | Self::Install { .. }).then_some(from)
    }
}
