//! What is checked after each step.

use super::{Planted, SIZE, World};
use lycheehub_consensus::{Entry, Payload};

impl World {
    pub(super) fn note_applied(&mut self, at: usize, entry: Entry) {
        let index = entry.position.index;
        if let Payload::Command(command) = &entry.payload {
            self.nodes[at].applied.push((index, command.clone()));
        }
        match self.committed.get(&index) {
            Some(other) if *other != entry => {
                self.violations.push(format!("index {index} was committed twice, differently"));
            }
            Some(_) => {}
            None => {
                self.committed.insert(index, entry);
            }
        }
    }

    pub(super) fn check_read(&mut self, token: u64, index: u64) {
        let Some(before) = self.reads.remove(&token) else { return };
        if index < before {
            self.violations
                .push(format!("a read saw {index}, though {before} was committed before"));
        }
    }

    pub(super) fn check_leases(&mut self) {
        let holds = |at: &usize| {
            let local_ms = self.local_ms(*at);
            let replica = self.nodes[*at].replica.as_ref().filter(|_| !self.nodes[*at].frozen);
            replica.is_some_and(|replica| match self.planted {
                Planted::LeaseIgnored => replica.is_established(),
                _ => replica.holds_lease(local_ms),
            })
        };
        let holders: Vec<usize> = (0..SIZE).filter(holds).collect();
        if holders.len() > 1 {
            self.violations.push(format!(
                "{} replicas hold the lease at {} ms",
                holders.len(),
                self.now_ms
            ));
        }
    }
}
