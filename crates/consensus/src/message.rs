//! What replicas say to each other.

use crate::{Entry, Position, ReplicaId, Snapshot};

/// A message between replicas; `term` is the sender's term unless said otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether a vote would be given.
    PreVote {
        /// The term in which the sender would campaign.
        term: u64,
        /// The sender's last entry.
        last: Position,
    },
    /// Answers [`Message::PreVote`].
    PreVoteReply {
        /// The term asked about if granted, else the sender's term.
        term: u64,
        /// The vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// The term of the campaign.
        term: u64,
        /// The sender's last entry.
        last: Position,
        /// The former leader gave up its lease and asked for this campaign.
        transfer: bool,
    },
    /// Answers [`Message::RequestVote`].
    VoteReply {
        /// The sender's term.
        term: u64,
        /// The vote is given.
        granted: bool,
    },
    /// Replicates entries; also the leader's heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first one sent.
        previous: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// Answers [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// The sender's term.
        term: u64,
        /// Whether the entries continue the sender's log.
        accepted: bool,
        /// The last index known to match, or where to look next if not accepted.
        index: u64,
        /// The round of the message that is answered.
        round: u64,
    },
    /// Replaces the receiver's log by a snapshot.
    Install {
        /// The leader's term.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's heartbeat round.
        round: u64,
    },
    /// Asks the receiver to campaign at once.
    CampaignNow {
        /// The term in which the sender was the leader.
        term: u64,
    },
}

impl Message {
    /// Returns the sender that a message of this kind, received by a follower, shows to lead.
    pub(crate) fn leader(&self, from: ReplicaId) -> Option<ReplicaId> {
        matches!(self, Self::Append { .. } | Self::Install { .. }).then_some(from)
    }
}
