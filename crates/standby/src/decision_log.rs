//! The leader's log of numbered decisions.
//!
//! Each decision of a term has an index, from 1. A standby sends the position of the last decision that it has applied
//! and receives the following decisions, or a snapshot if they are no longer retained.
//!
//! Invariants: the log retains a bounded number of records, the newest ones without gaps. The digest of a record is that
//! of the state after its decision.
//!
//! The leader does not wait for standbys. A standby that is slow or down falls behind the retained records and catches up
//! by a snapshot. Positions prove nothing; [`crate::mirror`] describes how a new leader uses the decisions.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use willowshore_model::{Term, WallTime};

use crate::decisions::{Decision, DecisionState, DecisionTarget};
use crate::payload::{MAX_CHUNK_BYTES, encoded_len, pack};
use crate::settings::StandbySettings;

/// A position in the decision log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the log.
    pub term: Term,
    /// The index of the last decision up to this position, from 1; 0 before the first decision.
    pub index: u64,
}

/// A standby's request for decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The position up to which the standby has applied all decisions.
    pub applied: LogPosition,
    /// Whether the standby needs a snapshot, as its copy is inconsistent or incomplete.
    #[serde(default)]
    pub snapshot: bool,
    /// The number of the snapshot's decisions that the standby has received already.
    #[serde(default)]
    pub received: u64,
}

/// Whether a batch continues the log or replaces the standby's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchKind {
    /// The decisions after [`Batch::from`].
    Records,
    /// A chunk of the state at [`Batch::to`], expressed as decisions.
    Snapshot {
        /// The number of decisions in the snapshot's chunks before this one.
        offset: u64,
        /// Whether further chunks follow.
        more: bool,
    },
}

/// A batch of decisions for a standby.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Whether the batch holds records or a chunk of a snapshot.
    pub kind: BatchKind,
    /// The position before the first decision of the batch. For a chunk of a snapshot, the start of the log.
    pub from: LogPosition,
    /// The position after the last decision of the batch. For a chunk of a snapshot, the position of the state that the
    /// snapshot holds.
    pub to: LogPosition,
    /// The newest position of the leader's log.
    pub newest: LogPosition,
    /// The digest of the leader's state at `to`.
    pub digest: u64,
    /// When the last decision up to `to` was recorded, by the leader's wall clock.
    pub made: WallTime,
    /// The decisions, encoded and compressed.
    pub payload: ByteBuf,
}

/// A decision in the log with its metadata.
#[derive(Clone, Debug)]
struct Record {
    decision: Decision,
    /// The digest of the state after the decision.
    digest: u64,
    /// When the decision was recorded, by the leader's wall clock.
    recorded_at: WallTime,
}

/// The decision log of one term.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    term: Term,
    /// The state that results from all decisions of the term.
    state: DecisionState,
    /// The index of the newest decision; 0 before the first one.
    newest_index: u64,
    /// When the newest decision was recorded, by the leader's wall clock.
    newest_decision_at: WallTime,
    /// The retained records, oldest first.
    records: VecDeque<Record>,
    /// The maximum number of retained records.
    window_records: usize,
    /// The maximum number of records in a batch.
    batch_records: usize,
    /// Total size in bytes of the payloads of all batches so far.
    bytes_sent: u64,
}

impl DecisionLog {
    /// Creates the empty log of a term.
    pub fn new(term: Term, settings: &StandbySettings) -> Self {
        DecisionLog {
            term,
            state: DecisionState::default(),
            newest_index: 0,
            newest_decision_at: WallTime(0),
            records: VecDeque::new(),
            window_records: settings.window_records,
            batch_records: settings.batch_records,
            bytes_sent: 0,
        }
    }

    /// The term of the log.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The position after the newest decision.
    pub fn newest(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.newest_index }
    }

    /// The state that results from all decisions of the term.
    pub fn state(&self) -> &DecisionState {
        &self.state
    }

    /// Total size in bytes of the payloads of all batches so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// The number of retained records.
    pub fn retained(&self) -> usize {
        self.records.len()
    }

    /// Records the decisions that turn the current state into `target`, and returns their number.
    pub fn record(&mut self, now: WallTime, target: &DecisionTarget) -> usize {
        let decisions = self.state.changes_to(target);
        let count = decisions.len();
        for decision in decisions {
            self.state.apply(decision.clone());
            self.newest_index += 1;
            self.newest_decision_at = now;
            self.records.push_back(Record {
                decision,
                digest: self.state.digest(),
                recorded_at: now,
            });
            if self.records.len() > self.window_records {
                self.records.pop_front();
            }
        }
        count
    }

    /// Composes the next batch for a standby; `None` if the standby has applied all decisions.
    pub fn batch_for(&mut self, request: &FollowRequest) -> Option<Batch> {
        let batch = self.compose_batch(request)?;
        self.bytes_sent += batch.payload.len() as u64;
        Some(batch)
    }

    fn compose_batch(&self, request: &FollowRequest) -> Option<Batch> {
        let newest = self.newest();
        // A position of another term, or beyond the newest decision, does not refer to this log.
        let applied = Some(request.applied)
            .filter(|at| at.term == self.term && at.index <= self.newest_index);
        let index = applied.map_or(0, |at| at.index);
        if !request.snapshot && applied == Some(newest) {
            return None;
        }
        let first_retained = self.newest_index - self.records.len() as u64;
        if request.snapshot || index < first_retained {
            return Some(self.snapshot_chunk(request.received));
        }
        let skipped = (index - first_retained) as usize;
        let records: Vec<&Record> =
            self.records.iter().skip(skipped).take(self.batch_records).collect();
        let last = records.last()?;
        let decisions: Vec<Decision> =
            records.iter().map(|record| record.decision.clone()).collect();
        let to = LogPosition { term: self.term, index: index + records.len() as u64 };
        Some(Batch {
            kind: BatchKind::Records,
            from: LogPosition { term: self.term, index },
            to,
            newest,
            digest: last.digest,
            made: last.recorded_at,
            payload: pack(&decisions),
        })
    }

    /// Composes a chunk of a snapshot. The state may change between two chunks of a snapshot; the digest does not match
    /// in this case, and the standby requests the snapshot again from the start.
    fn snapshot_chunk(&self, offset: u64) -> Batch {
        let decisions = self.state.decisions();
        let remaining = decisions.get(offset as usize..).unwrap_or_default();
        let mut chunk_bytes = 0;
        let fits = |decision: &&Decision| {
            chunk_bytes += encoded_len(decision);
            chunk_bytes <= MAX_CHUNK_BYTES
        };
        let chunk_len = remaining.iter().take_while(fits).count().max(1).min(remaining.len());
        let kind = BatchKind::Snapshot { offset, more: chunk_len < remaining.len() };
        Batch {
            kind,
            from: LogPosition { term: self.term, index: 0 },
            to: self.newest(),
            newest: self.newest(),
            digest: self.state.digest(),
            made: self.newest_decision_at,
            payload: pack(&remaining[..chunk_len]),
        }
    }
}

#[cfg(test)]
mod tests;
