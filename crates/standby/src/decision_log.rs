//! The leader's numbered log of its decisions.
//!
//! Each decision of a term has an index, from 1. A standby names the last one that it has applied, and receives what
//! follows, or a snapshot if that is no longer retained.
//!
//! Invariants: the log retains a bounded number of records, always the newest ones without gaps; the digest of a record
//! is that of the state after it. Nothing waits for a standby: one that is slow or down only falls out of the window.
//! Positions prove nothing to anybody; what a new leader makes of the decisions is in [`crate::mirror`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use willowshore_model::{Term, WallTime};

use crate::decisions::{Decision, DecisionState, DecisionTarget};
use crate::payload::{MAX_CHUNK_BYTES, encoded_len, pack};
use crate::settings::StandbySettings;

/// A position in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term.
    pub term: Term,
    /// The index of its last decision, counted from 1; 0 before the first one.
    pub index: u64,
}

/// A standby's request for decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The last decision that it has applied.
    pub applied: LogPosition,
    /// Whether it needs a snapshot, as what it holds does not match.
    #[serde(default)]
    pub snapshot: bool,
    /// Entries of the snapshot that it has received already.
    #[serde(default)]
    pub received: u64,
}

/// Whether a batch goes on from the position before it or replaces everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchKind {
    /// The decisions after `from`.
    Records,
    /// The state at `to` as decisions, without the first `offset` of them; `more` if that is not all.
    Snapshot {
        /// Decisions of the snapshot in the chunks before this one.
        offset: u64,
        /// Whether more follow.
        more: bool,
    },
}

/// Decisions for a standby.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Records or a snapshot.
    pub kind: BatchKind,
    /// The position before the first decision.
    pub from: LogPosition,
    /// The position after the last one.
    pub to: LogPosition,
    /// The leader's newest position.
    pub newest: LogPosition,
    /// The digest of the state at `to`.
    pub digest: u64,
    /// When the last decision was made, by the leader's time of day.
    pub made: WallTime,
    /// The decisions, encoded and compressed.
    pub payload: ByteBuf,
}

/// A decision in the log.
#[derive(Clone, Debug)]
struct Record {
    decision: Decision,
    /// The digest of the state after it.
    digest: u64,
    /// When it was made, by the leader's time of day.
    made: WallTime,
}

/// The log of one term.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    term: Term,
    /// What all decisions of the term add up to.
    state: DecisionState,
    /// The index of the newest decision.
    newest_index: u64,
    /// When the newest decision was made, by the leader's time of day.
    newest_decision_at: WallTime,
    /// The newest records, oldest first.
    records: VecDeque<Record>,
    /// Most records that are retained.
    window_records: usize,
    /// Most records in a batch.
    batch_records: usize,
    /// Bytes of all payloads that were composed.
    bytes_sent: u64,
}

impl DecisionLog {
    /// The log of a term that begins without any decision.
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

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The newest position.
    pub fn newest(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.newest_index }
    }

    /// What its decisions add up to.
    pub fn state(&self) -> &DecisionState {
        &self.state
    }

    /// Bytes of the payloads of all batches so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Records that are retained.
    pub fn retained(&self) -> usize {
        self.records.len()
    }

    /// Records the decisions that lead from the present state to `target`, and returns how many they are.
    pub fn record(&mut self, now: WallTime, target: &DecisionTarget) -> usize {
        let decisions = self.state.changes_to(target);
        let count = decisions.len();
        for decision in decisions {
            self.state.apply(decision.clone());
            self.newest_index += 1;
            self.newest_decision_at = now;
            self.records.push_back(Record { decision, digest: self.state.digest(), made: now });
            if self.records.len() > self.window_records {
                self.records.pop_front();
            }
        }
        count
    }

    /// The next batch for a standby; `None` if it has everything.
    pub fn batch_for(&mut self, request: &FollowRequest) -> Option<Batch> {
        let batch = self.compose_batch(request)?;
        self.bytes_sent += batch.payload.len() as u64;
        Some(batch)
    }

    fn compose_batch(&self, request: &FollowRequest) -> Option<Batch> {
        let newest = self.newest();
        // A position of another term, or one that this log never assigned, says nothing here.
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
            made: last.made,
            payload: pack(&decisions),
        })
    }

    /// A chunk of the state. The state may change between two chunks; the digest does not match then, and the standby
    /// requests the snapshot from its beginning.
    fn snapshot_chunk(&self, offset: u64) -> Batch {
        let all = self.state.decisions();
        let remaining = all.get(offset as usize..).unwrap_or_default();
        let mut bytes = 0;
        let fits = |decision: &&Decision| {
            bytes += encoded_len(decision);
            bytes <= MAX_CHUNK_BYTES
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
