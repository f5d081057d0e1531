//! The standby's copy of the leader's decisions.
//!
//! Invariant: a copy that does not match the leader's state is never used unnoticed.
//! - After a gap or a malformed batch, a snapshot is requested.
//! - A batch of another term is ignored.
//! - A digest that does not match is a divergence: a snapshot is requested, and once it has been applied, the differences
//!   are returned, so that the caller can write them to its log.
//!
//! Each of these cases is counted.
//!
//! The copy is a hint: a new leader confirms each of its records by the replica or drops the record (`docs/safety.md`,
//! "Replacing a leader that is not heard").

use thiserror::Error;
use willowshore_model::{Term, WallTime};

use crate::decision_log::{Batch, BatchKind, FollowRequest, LogPosition};
use crate::decisions::{Decision, DecisionState};
use crate::payload::{PayloadError, unpack};

/// Maximum number of differences that are reported for a divergence. A few are enough to find the cause, and they are
/// written to a single log line.
const MAX_REPORTED_DIFFERENCES: usize = 8;

/// Why a batch is malformed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MalformedBatch {
    /// It ends before it begins, or after the leader's newest decision.
    #[error("the positions of the batch are out of order")]
    Positions,
    /// The number of decisions in its payload differs from that between its positions.
    #[error(
        "expected {expected} decisions between the positions of the batch, found {found} in its payload"
    )]
    Count {
        /// The number of decisions between the batch's positions.
        expected: u64,
        /// The number of decisions in the batch's payload.
        found: u64,
    },
    /// Its payload cannot be decoded.
    #[error(transparent)]
    Payload(#[from] PayloadError),
}

/// Why a batch was not applied.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BatchRejected {
    /// It is of this term, which is not the followed one.
    #[error("the batch is of term {0}, which is not the followed term")]
    WrongTerm(Term),
    /// Decisions between the copy and the batch are missing after this index, or in a snapshot after this number of
    /// decisions.
    #[error("decisions after {0} are missing")]
    Gap(u64),
    /// It is malformed.
    #[error("malformed batch: {0}")]
    Malformed(#[from] MalformedBatch),
    /// The digest of the copy does not match the digest of the leader's state.
    #[error("the digest of the copy does not match the leader's digest")]
    Divergence,
}

impl From<PayloadError> for BatchRejected {
    fn from(error: PayloadError) -> Self {
        BatchRejected::Malformed(MalformedBatch::Payload(error))
    }
}

/// Counts of decisions and batches by their outcome, since the controller started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MirrorCounters {
    /// Decisions that were applied from records.
    pub applied: u64,
    /// Decisions that had been applied already when they were received.
    pub repeated: u64,
    /// Batches that were rejected because decisions before them were missing.
    pub gaps: u64,
    /// Batches that were rejected because they were not of the followed term.
    pub wrong_terms: u64,
    /// Batches that were rejected as malformed.
    pub malformed: u64,
    /// Batches after which the digest of the copy did not match the leader's.
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

/// A difference between a copy and the leader's state: the decision that corrects the copy.
pub type Difference = Decision;

/// A standby's copy of the leader's decisions.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// The position up to which all decisions have been applied.
    applied: LogPosition,
    /// The leader's newest known position.
    newest: LogPosition,
    /// When the last applied decision was recorded, by the leader's wall clock.
    applied_decision_at: WallTime,
    /// The state that results from the applied decisions.
    state: DecisionState,
    /// Whether the copy has to be replaced by a snapshot.
    needs_snapshot: bool,
    /// The decisions of the chunks received so far of an incomplete snapshot.
    partial_snapshot: Vec<Decision>,
    /// A state that did not match the leader's, kept until it has been compared with a snapshot.
    diverged_state: Option<DecisionState>,
    counters: MirrorCounters,
}

impl Mirror {
    /// The position up to which all decisions have been applied.
    pub fn applied(&self) -> LogPosition {
        self.applied
    }

    /// The state that results from the applied decisions.
    pub fn state(&self) -> &DecisionState {
        &self.state
    }

    /// The counts of decisions and batches by their outcome.
    pub fn counters(&self) -> MirrorCounters {
        self.counters
    }

    /// The number of decisions that the leader had made and this copy lacked as of the leader's last message.
    pub fn lag_records(&self) -> u64 {
        if self.newest.term != self.applied.term {
            return self.newest.index;
        }
        self.newest.index.saturating_sub(self.applied.index)
    }

    /// Age of the newest applied decision in milliseconds; 0 if no decision is missing.
    pub fn lag_ms(&self, now: WallTime) -> u64 {
        if self.lag_records() == 0 { 0 } else { now.0.saturating_sub(self.applied_decision_at.0) }
    }

    /// Whether the copy holds all known decisions of the leader of this term and no snapshot is needed.
    pub fn is_complete(&self, term: Term) -> bool {
        self.applied.term == term && !self.needs_snapshot && self.lag_records() == 0
    }

    /// Starts to follow the leader of a term with an empty state. Does nothing if this term or a later one is followed
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

    /// The next request to the leader.
    pub fn request(&self) -> FollowRequest {
        FollowRequest {
            applied: self.applied,
            snapshot: self.needs_snapshot,
            received: self.partial_snapshot.len() as u64,
        }
    }

    /// Records that the leader has no decisions that this copy lacks.
    pub fn confirm_up_to_date(&mut self) {
        self.newest = self.applied;
    }

    /// Applies a batch, or counts its rejection. If the batch completes a snapshot that replaces a diverged copy, returns
    /// the differences.
    ///
    /// # Errors
    ///
    /// Returns the reason if the batch is rejected. After any reason but [`BatchRejected::WrongTerm`], the next request is
    /// for a snapshot.
    pub fn accept(&mut self, batch: &Batch) -> Result<Vec<Difference>, BatchRejected> {
        let result = self.apply(batch);
        if let Err(rejected) = result {
            self.counters.record_rejection(rejected);
            if !matches!(rejected, BatchRejected::WrongTerm(_)) {
                self.needs_snapshot = true;
                self.partial_snapshot.clear();
            }
        }
        result
    }

    fn apply(&mut self, batch: &Batch) -> Result<Vec<Difference>, BatchRejected> {
        let followed_term = self.applied.term;
        if [batch.from.term, batch.to.term, batch.newest.term]
            .iter()
            .any(|term| *term != followed_term)
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
        self.applied_decision_at = batch.made;
        if self.state.digest() != batch.digest {
            self.diverged_state = Some(self.state.clone());
            return Err(BatchRejected::Divergence);
        }
        Ok(())
    }

    /// Collects the decisions of a snapshot's chunk.
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

    /// Replaces the copy by the collected snapshot; `batch` holds its last chunk. The digest does not match if the leader's
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
        self.applied_decision_at = batch.made;
        self.needs_snapshot = false;
        self.counters.snapshots += 1;
        Ok(differences)
    }
}

#[cfg(test)]
mod tests;
