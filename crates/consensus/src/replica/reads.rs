//! Linearizable reads by read index, which relies on no clock: a heartbeat round confirms that this
//! replica still leads.

use super::{PendingRead, Replica, Role};
use crate::Action;

impl Replica {
    /// Starts a read, which ends with [`Action::ReadReady`] or [`Action::ReadFailed`].
    pub fn read(&mut self, now_ms: u64, token: u64) -> Vec<Action> {
        if self.role != Role::Leader || !self.is_established() {
            self.actions.push(Action::ReadFailed { token });
            return self.take_actions();
        }
        let round = self.leader_state.round + 1;
        self.leader_state.reads.push(PendingRead { token, round, index: self.commit });
        self.broadcast(now_ms);
        self.take_actions()
    }

    pub(super) fn complete_reads(&mut self, quorum_round: u64) {
        let ready = self.leader_state.reads.extract_if(.., |read| read.round <= quorum_round);
        for read in ready {
            self.actions.push(Action::ReadReady { token: read.token, index: read.index });
        }
    }

    pub(super) fn fail_reads(&mut self) {
        for read in self.leader_state.reads.drain(..) {
            self.actions.push(Action::ReadFailed { token: read.token });
        }
    }
}
