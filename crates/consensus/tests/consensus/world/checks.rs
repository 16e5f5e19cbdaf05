//! The invariants that are checked after each step.

use super::{InjectedBug, World, is_known_to_older};
use lycheehub_consensus::{Entry, Payload};

impl World {
    pub(super) fn record_applied(&mut self, at: usize, entry: Entry) {
        let index = entry.position.index;
        if let Payload::Command(command) = &entry.payload {
            let is_skipped = self.nodes[at].is_older && !is_known_to_older(command);
            if !is_skipped {
                self.nodes[at].applied.push((index, command.clone()));
            }
        }
        match self.committed.get(&index) {
            Some(other) if *other != entry => {
                self.violations
                    .push(format!("two different entries were committed at index {index}"));
            }
            Some(_) => {}
            None => {
                self.committed.insert(index, entry);
            }
        }
    }

    /// Checks that each replica has applied every committed command up to the last that it applied.
    pub(super) fn check_states(&mut self) {
        for at in 0..self.nodes.len() {
            let applied = &self.nodes[at].applied;
            let Some((last, _)) = applied.last() else { continue };
            let committed = self.committed.range(..=last).filter_map(|(index, entry)| {
                let Payload::Command(command) = &entry.payload else { return None };
                Some((*index, command))
            });
            if !committed.eq(applied.iter().map(|(index, command)| (*index, command))) {
                self.violations.push(format!("the state of replica {at} lacks a command"));
            }
        }
    }

    pub(super) fn check_read(&mut self, token: u64, index: u64) {
        let Some(before) = self.reads.remove(&token) else { return };
        if index < before {
            self.violations.push(format!(
                "a read returned index {index}, but {before} was committed before it started"
            ));
        }
    }

    pub(super) fn check_leases(&mut self) {
        let holds = |at: &usize| {
            let local_ms = self.local_ms(*at);
            let replica = self.nodes[*at].replica.as_ref().filter(|_| !self.nodes[*at].paused);
            replica.is_some_and(|replica| match self.injected_bug {
                InjectedBug::LeaseIgnored => replica.is_established(),
                _ => replica.holds_lease(local_ms),
            })
        };
        let holders: Vec<usize> = (0..self.nodes.len()).filter(holds).collect();
        if holders.len() > 1 {
            self.violations.push(format!(
                "{} replicas hold the lease at {} ms",
                holders.len(),
                self.now_ms
            ));
        }
    }
}
