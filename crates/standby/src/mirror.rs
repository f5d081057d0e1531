//! The standby's copy of the leader's decisions.
//!
//! A copy that does not match is never kept silently: gaps, a wrong term and malformed batches are counted and lead to
//! a fresh start from the leader; a digest that does not match is counted as a divergence, a snapshot is asked for, and
//! once it is there, what differed is told.

use thiserror::Error;
use willowshore_model::{Term, WallTime};

use crate::decision_log::{Batch, BatchKind, FollowRequest, LogPosition, unpack};
use crate::decisions::{Decision, DecisionState};

/// Most differences that are told of one divergence.
const MAX_REPORTED_DIFFERENCES: usize = 8;

/// Why a batch was not taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BatchRejected {
    /// It is of an earlier term, or of a later one than this copy follows.
    #[error("decisions of term {0} while another one is followed")]
    WrongTerm(Term),
    /// Decisions between the copy and the batch are missing.
    #[error("decisions are missing after {0}")]
    Gap(u64),
    /// It cannot be read, or its numbers contradict each other.
    #[error("malformed decisions")]
    Malformed,
    /// The copy would not be what the leader has.
    #[error("the copy does not match the leader's digest")]
    Divergence,
}

/// Counts of what went wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MirrorCounters {
    /// Decisions that were applied.
    pub applied: u64,
    /// Decisions that came again.
    pub repeated: u64,
    /// Batches after a gap.
    pub gaps: u64,
    /// Batches of a wrong term.
    pub wrong_terms: u64,
    /// Malformed batches.
    pub malformed: u64,
    /// Copies that did not match.
    pub divergences: u64,
    /// Snapshots that were taken.
    pub snapshots: u64,
}

/// A difference between a copy and the leader's state: what the leader has and the copy lacked.
pub type Difference = Decision;

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    applied: LogPosition,
    newest: LogPosition,
    newest_decision_at: WallTime,
    state: DecisionState,
    needs_snapshot: bool,
    partial_snapshot: Vec<Decision>,
    diverged_state: Option<DecisionState>,
    counters: MirrorCounters,
}

impl Mirror {
    /// The position up to which it holds everything.
    pub fn applied(&self) -> LogPosition {
        self.applied
    }

    /// What it holds.
    pub fn state(&self) -> &DecisionState {
        &self.state
    }

    /// What went wrong so far.
    pub fn counters(&self) -> MirrorCounters {
        self.counters
    }

    /// Decisions that the leader had made and this copy lacked, when the leader was last heard.
    pub fn lag_records(&self) -> u64 {
        if self.newest.term != self.applied.term {
            return self.newest.index;
        }
        self.newest.index.saturating_sub(self.applied.index)
    }

    /// Age of the newest decision that is applied, in milliseconds; 0 if nothing is missing.
    pub fn lag_ms(&self, now: WallTime) -> u64 {
        if self.lag_records() == 0 { 0 } else { now.0.saturating_sub(self.newest_decision_at.0) }
    }

    /// Whether it holds what a leader of that term had told, and nothing is known to be wrong with it.
    pub fn is_complete(&self, term: Term) -> bool {
        self.applied.term == term && !self.needs_snapshot && self.lag_records() == 0
    }

    /// Follows the leader of a term from its beginning.
    pub fn begin_term(&mut self, term: Term) {
        if term <= self.applied.term {
            return;
        }
        self.applied = LogPosition { term, index: 0 };
        self.newest = self.applied;
        self.state = DecisionState::default();
        self.needs_snapshot = false;
        self.partial_snapshot.clear();
        self.diverged_state = None;
    }

    /// What is asked of the leader next.
    pub fn request(&self) -> FollowRequest {
        FollowRequest {
            applied: self.applied,
            snapshot: self.needs_snapshot,
            received: self.partial_snapshot.len() as u64,
        }
    }

    /// The leader has nothing that this copy lacks.
    pub fn confirm_up_to_date(&mut self) {
        self.newest = self.applied;
    }

    /// Takes a batch. What is returned was wrong with the copy before a snapshot replaced it.
    pub fn accept(&mut self, batch: &Batch) -> Result<Vec<Difference>, BatchRejected> {
        let taken = self.take(batch);
        match taken {
            Ok(_) => {}
            Err(BatchRejected::WrongTerm(_)) => self.counters.wrong_terms += 1,
            Err(BatchRejected::Gap(_)) => self.counters.gaps += 1,
            Err(BatchRejected::Malformed) => self.counters.malformed += 1,
            Err(BatchRejected::Divergence) => self.counters.divergences += 1,
        }
        if taken.is_err() && !matches!(taken, Err(BatchRejected::WrongTerm(_))) {
            self.needs_snapshot = true;
            self.partial_snapshot.clear();
        }
        taken
    }

    fn take(&mut self, batch: &Batch) -> Result<Vec<Difference>, BatchRejected> {
        let term = self.applied.term;
        if [batch.from.term, batch.to.term, batch.newest.term].iter().any(|t| *t != term) {
            return Err(BatchRejected::WrongTerm(batch.to.term));
        }
        if batch.to > batch.newest || batch.from > batch.to {
            return Err(BatchRejected::Malformed);
        }
        let decisions = unpack(&batch.payload).ok_or(BatchRejected::Malformed)?;
        self.newest = self.newest.max(batch.newest);
        match batch.kind {
            BatchKind::Records => self.apply_records(batch, decisions).map(|()| Vec::new()),
            BatchKind::Snapshot { offset, more } => {
                self.apply_snapshot(batch, decisions, offset, more)
            }
        }
    }

    fn apply_records(
        &mut self,
        batch: &Batch,
        decisions: Vec<Decision>,
    ) -> Result<(), BatchRejected> {
        if batch.to.index - batch.from.index != decisions.len() as u64 {
            return Err(BatchRejected::Malformed);
        }
        if batch.from.index > self.applied.index {
            return Err(BatchRejected::Gap(self.applied.index));
        }
        let known = (self.applied.index - batch.from.index).min(decisions.len() as u64);
        self.counters.repeated += known;
        if batch.to.index <= self.applied.index {
            return Ok(());
        }
        for decision in decisions.into_iter().skip(known as usize) {
            self.state.apply(decision);
            self.counters.applied += 1;
        }
        self.applied = batch.to;
        self.newest_decision_at = batch.made;
        if self.state.digest() != batch.digest {
            self.diverged_state = Some(self.state.clone());
            return Err(BatchRejected::Divergence);
        }
        Ok(())
    }

    fn apply_snapshot(
        &mut self,
        batch: &Batch,
        decisions: Vec<Decision>,
        offset: u64,
        more: bool,
    ) -> Result<Vec<Difference>, BatchRejected> {
        if offset != self.partial_snapshot.len() as u64 {
            return Err(BatchRejected::Gap(self.partial_snapshot.len() as u64));
        }
        self.partial_snapshot.extend(decisions);
        if more {
            self.needs_snapshot = true;
            return Ok(Vec::new());
        }
        let mut state = DecisionState::default();
        std::mem::take(&mut self.partial_snapshot)
            .into_iter()
            .for_each(|decision| state.apply(decision));
        if state.digest() != batch.digest {
            return Err(BatchRejected::Divergence);
        }
        let differences = self.diverged_state.take().map(|old| old.changes_to(&state.target()));
        self.state = state;
        self.applied = batch.to;
        self.newest_decision_at = batch.made;
        self.needs_snapshot = false;
        self.counters.snapshots += 1;
        let mut differences = differences.unwrap_or_default();
        differences.truncate(MAX_REPORTED_DIFFERENCES);
        Ok(differences)
    }
}

#[cfg(test)]
mod tests;
