//! The replicated records of version moves: specification, phase and share.

use super::{MoveStep, State};
use lycheehub_estate::{MoveSpec, MoveState, Section};
use lycheehub_types::{ServiceName, Version};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// The phase of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No endpoint has been ordered to load the new version yet.
    Planned,
    /// Endpoints are loading the new version.
    Loading,
    /// The new version receives a small, bounded share of traffic.
    Canary,
    /// The share of traffic increases step by step.
    Ramp,
    /// The new version has reached its last share; the old version stays loaded.
    Soak,
    /// The move is done.
    Done,
    /// The move was reverted; final.
    Reverted,
    /// A later move of the same service replaced this one; final.
    Superseded,
}

impl Phase {
    /// Tells whether the phase is final, so that the move takes no further step.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Reverted | Self::Superseded)
    }
}

/// A version move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The operator's specification.
    pub spec: MoveSpec,
    /// The version before the move.
    pub from: Version,
    /// The phase.
    pub phase: Phase,
    /// The new version's share of traffic, in thousandths.
    pub share_permille: u32,
    /// How many steps the move has taken.
    pub step: u64,
    /// The reason for the last step, with figures.
    pub reason: SmolStr,
    /// When the move took its first step, in milliseconds since the Unix epoch; 0 before that.
    pub begins_unix_ms: u64,
    /// When the current phase began, in milliseconds since the Unix epoch; 0 before the first step.
    pub phase_since_unix_ms: u64,
    /// When the last step was taken, in milliseconds since the Unix epoch; 0 before the first step.
    pub step_unix_ms: u64,
    /// The index of the last command that changed the record.
    pub changed: u64,
}

impl State {
    /// Rejects a section that reuses the id of an existing move for another service or version.
    pub(super) fn check_moves(&self, section: &Section) -> Result<(), SmolStr> {
        for (id, spec) in &section.moves {
            let Some(known) = self.moves.get(id) else { continue };
            if known.spec.service != spec.service || known.spec.to != spec.to {
                return Err(format_smolstr!(
                    "move {id:?} already moves {} to {}; give the new move another id",
                    known.spec.service,
                    known.spec.to
                ));
            }
        }
        Ok(())
    }

    /// Updates the move records to match the estate.
    pub(super) fn update_moves(&mut self, index: u64) {
        let ordered = self.estate.moves.clone();
        for (id, (_, spec)) in &ordered {
            match self.moves.get_mut(id) {
                Some(record) if record.spec != *spec && !record.phase.is_final() => {
                    record.spec = spec.clone();
                    record.changed = index;
                }
                Some(_) => {}
                None => self.begin_move(index, id, spec),
            }
        }
        for (id, record) in &mut self.moves {
            let withdrawn = !ordered.contains_key(id) && !record.phase.is_final();
            if withdrawn && record.spec.state != MoveState::Aborted {
                record.spec.state = MoveState::Aborted;
                record.changed = index;
            }
        }
    }

    fn begin_move(&mut self, index: u64, id: &SmolStr, spec: &MoveSpec) {
        let Some(from) = self.serving(&spec.service) else { return };
        self.supersede(index, &spec.service, id);
        let record = MoveRecord {
            spec: spec.clone(),
            from,
            phase: Phase::Planned,
            share_permille: 0,
            step: 0,
            reason: SmolStr::default(),
            begins_unix_ms: 0,
            phase_since_unix_ms: 0,
            step_unix_ms: 0,
            changed: index,
        };
        self.moves.insert(id.clone(), record);
    }

    fn supersede(&mut self, index: u64, service: &ServiceName, by: &SmolStr) {
        for record in self.moves.values_mut() {
            if record.spec.service == *service && !record.phase.is_final() {
                record.phase = Phase::Superseded;
                record.share_permille = 0;
                record.step += 1;
                record.reason = format_smolstr!("move {by:?} took its place");
                record.changed = index;
            }
        }
    }

    /// Applies a step, unless another step was taken since the decision; tells whether it was
    /// applied.
    pub(super) fn step_move(&mut self, index: u64, step: MoveStep) -> bool {
        let Some(record) = self.moves.get_mut(&step.id) else { return false };
        if record.step != step.after_step || record.phase.is_final() {
            return false;
        }
        if record.begins_unix_ms == 0 {
            record.begins_unix_ms = step.now_unix_ms;
        }
        if record.phase != step.phase {
            record.phase_since_unix_ms = step.now_unix_ms;
        }
        record.phase = step.phase;
        record.share_permille = step.share_permille;
        record.step += 1;
        record.reason = step.reason;
        record.step_unix_ms = step.now_unix_ms;
        record.changed = index;
        if step.phase == Phase::Done {
            let (service, version) = (record.spec.service.clone(), record.spec.to.clone());
            self.serving.insert(service, version);
        }
        self.revision = index;
        true
    }
}
