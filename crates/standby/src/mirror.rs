//! The standby's copy of the leader's decisions.
//!
//! Invariant: a copy that does not match the leader's is never used silently. Gaps and malformed batches are counted
//! and lead to a fresh start from a snapshot; batches of another term are counted and ignored. A digest that does not
//! match is counted as a divergence, a snapshot is requested, and once it has been applied, the differences are
//! returned for the log.
//!
//! The copy is a hint: a new leader confirms each of its records by the replica, or drops it (`docs/safety.md`,
//! "Replacing a leader that is not heard").

use thiserror::Error;
use willowshore_model::{Term, WallTime};

use crate::decision_log::{Batch, BatchKind, FollowRequest, LogPosition};
use crate::decisions::{Decision, DecisionState};
use crate::payload::{PayloadError, unpack};

/// Most differences that are reported of one divergence: some are enough to find its cause, and they go into a log
/// line.
const MAX_REPORTED_DIFFERENCES: usize = 8;

/// What is wrong with a malformed batch.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MalformedBatch {
    /// Its positions contradict each other: it ends before it begins, or after the leader's newest decision.
    #[error("positions out of order")]
    Positions,
    /// Its positions and its payload differ in the number of decisions.
    #[error("{expected} decisions by its positions, {found} in its payload")]
    Count {
        /// Decisions between its positions.
        expected: u64,
        /// Decisions in its payload.
        found: u64,
    },
    /// Its payload cannot be read.
    #[error(transparent)]
    Payload(#[from] PayloadError),
}

/// Why a batch was not applied.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BatchRejected {
    /// It is of an earlier term, or of a later one than this copy follows.
    #[error("decisions of term {0} while another one is followed")]
    WrongTerm(Term),
    /// Decisions between the copy and the batch are missing, after this index; in a snapshot, after so many entries.
    #[error("decisions are missing after {0}")]
    Gap(u64),
    /// It cannot be read, or its numbers contradict each other.
    #[error("malformed decisions: {0}")]
    Malformed(#[from] MalformedBatch),
    /// The copy would not be what the leader has.
    #[error("the copy does not match the leader's digest")]
    Divergence,
}

impl From<PayloadError> for BatchRejected {
    fn from(error: PayloadError) -> Self {
        BatchRejected::Malformed(MalformedBatch::Payload(error))
    }
}

/// What happened to batches since the controller started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MirrorCounters {
    /// Decisions that were applied.
    pub applied: u64,
    /// Decisions that were received again.
    pub repeated: u64,
    /// Batches after a gap.
    pub gaps: u64,
    /// Batches of a wrong term.
    pub wrong_terms: u64,
    /// Malformed batches.
    pub malformed: u64,
    /// Copies that did not match.
    pub divergences: u64,
    /// Snapshots that were applied.
    pub snapshots: u64,
}

impl MirrorCounters {
    fn record_rejection(&mut self, rejected: BatchRejected) {
        match rejected {
            BatchRejected::WrongTerm(_) => self.wrong_terms += 1,
            BatchRejected::Gap(_) => self.gaps += 1,
            BatchRejected::Malformed(_) => self.malformed += 1,
            BatchRejected::Divergence => self.divergences += 1,
        }
    }
}

/// A difference between a copy and the leader's state: what the leader has and the copy lacked.
pub type Difference = Decision;

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// The last decision that was applied.
    applied: LogPosition,
    /// The leader's newest decision, as far as this copy knows.
    newest: LogPosition,
    /// When the last applied decision was made, by the leader's time of day.
    newest_decision_at: WallTime,
    /// What the applied decisions add up to.
    state: DecisionState,
    /// Whether the copy can only go on from a snapshot.
    needs_snapshot: bool,
    /// The entries of a snapshot of which more follow.
    partial_snapshot: Vec<Decision>,
    /// The state that did not match, until a snapshot shows in what.
    diverged_state: Option<DecisionState>,
    counters: MirrorCounters,
}

impl Mirror {
    /// The position up to which it holds everything.
    pub fn applied(&self) -> LogPosition {
        self.applied
    }

    /// What the applied decisions add up to.
    pub fn state(&self) -> &DecisionState {
        &self.state
    }

    /// What happened to batches so far.
    pub fn counters(&self) -> MirrorCounters {
        self.counters
    }

    /// Decisions that the leader had made and this copy lacked when the leader's last message came.
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

    /// Whether it holds all decisions that the leader of that term was known to have made, and nothing is known to be
    /// wrong with it.
    pub fn is_complete(&self, term: Term) -> bool {
        self.applied.term == term && !self.needs_snapshot && self.lag_records() == 0
    }

    /// Follows the leader of a term from its beginning. Nothing changes if that term, or a later one, is followed
    /// already.
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

    /// The request that goes to the leader next.
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

    /// Applies a batch, or counts why not. The differences returned are those of a diverged copy that a snapshot has
    /// just replaced.
    ///
    /// # Errors
    ///
    /// See [`BatchRejected`]. After any of them but [`BatchRejected::WrongTerm`], the next request is for a snapshot.
    pub fn accept(&mut self, batch: &Batch) -> Result<Vec<Difference>, BatchRejected> {
        let applied = self.apply(batch);
        if let Err(rejected) = applied {
            self.counters.record_rejection(rejected);
            if !matches!(rejected, BatchRejected::WrongTerm(_)) {
                self.needs_snapshot = true;
                self.partial_snapshot.clear();
            }
        }
        applied
    }

    fn apply(&mut self, batch: &Batch) -> Result<Vec<Difference>, BatchRejected> {
        let followed = self.applied.term;
        if [batch.from.term, batch.to.term, batch.newest.term].iter().any(|term| *term != followed)
        {
            return Err(BatchRejected::WrongTerm(batch.to.term));
        }
        if batch.to > batch.newest || batch.from > batch.to {
            return Err(MalformedBatch::Positions.into());
        }
        let decisions = unpack(&batch.payload)?;
        self.newest = self.newest.max(batch.newest);
        match batch.kind {
            BatchKind::Records => self.apply_records(batch, decisions).map(|()| Vec::new()),
            BatchKind::Snapshot { offset, more } => {
                self.collect_snapshot(decisions, offset)?;
                if more {
                    self.needs_snapshot = true;
                    return Ok(Vec::new());
                }
                self.apply_snapshot(batch)
            }
        }
    }

    fn apply_records(
        &mut self,
        batch: &Batch,
        decisions: Vec<Decision>,
    ) -> Result<(), BatchRejected> {
        let expected = batch.to.index - batch.from.index;
        let found = decisions.len() as u64;
        if expected != found {
            return Err(MalformedBatch::Count { expected, found }.into());
        }
        if batch.from.index > self.applied.index {
            return Err(BatchRejected::Gap(self.applied.index));
        }
        let repeated = (self.applied.index - batch.from.index).min(found);
        self.counters.repeated += repeated;
        if batch.to.index <= self.applied.index {
            return Ok(());
        }
        for decision in decisions.into_iter().skip(repeated as usize) {
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

    /// Collects a chunk of a snapshot.
    fn collect_snapshot(
        &mut self,
        decisions: Vec<Decision>,
        offset: u64,
    ) -> Result<(), BatchRejected> {
        let collected = self.partial_snapshot.len() as u64;
        if offset != collected {
            return Err(BatchRejected::Gap(collected));
        }
        self.partial_snapshot.extend(decisions);
        Ok(())
    }

    /// Replaces the copy by the collected snapshot, whose last chunk this batch was. The digest fails if the leader's
    /// state changed between two chunks.
    fn apply_snapshot(&mut self, batch: &Batch) -> Result<Vec<Difference>, BatchRejected> {
        let mut state = DecisionState::default();
        for decision in std::mem::take(&mut self.partial_snapshot) {
            state.apply(decision);
        }
        if state.digest() != batch.digest {
            return Err(BatchRejected::Divergence);
        }
        let diverged = self.diverged_state.take();
        let mut differences =
            diverged.map(|diverged| diverged.changes_to(&state.target())).unwrap_or_default();
        differences.truncate(MAX_REPORTED_DIFFERENCES);
        self.state = state;
        self.applied = batch.to;
        self.newest_decision_at = batch.made;
        self.needs_snapshot = false;
        self.counters.snapshots += 1;
        Ok(differences)
    }
}

#[cfg(test)]
mod tests;
