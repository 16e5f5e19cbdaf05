//! Linearizable reads without a clock: the commit index is confirmed by a heartbeat round.

use super::{PendingRead, Replica, Role};
use crate::Action;

impl Replica {
    /// Starts a read; [`Action::ReadReady`] or [`Action::ReadFailed`] follows.
    pub fn read(&mut self, now_ms: u64, token: u64) -> Vec<Action> {
        if self.role != Role::Leader || !self.is_established() {
            self.out.push(Action::ReadFailed { token });
            return self.take();
        }
        let round = self.leading.round + 1;
        self.leading.reads.push(PendingRead { token, round, index: self.commit });
        self.broadcast(now_ms);
        self.take()
    }

    pub(super) fn release_reads(&mut self, quorum_round: u64) {
        let ready = self.leading.reads.extract_if(.., |read| read.round <= quorum_round);
        for read in ready {
            self.out.push(Action::ReadReady { token: read.token, index: read.index });
        }
    }

    pub(super) fn fail_reads(&mut self) {
        for read in self.leading.reads.drain(..) {
            self.out.push(Action::ReadFailed { token: read.token });
        }
    }
}
