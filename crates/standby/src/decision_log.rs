//! The leader's numbered log of its decisions.
//!
//! Each decision of a term has an index, from 1. A standby names the last one that it has applied, and gets what
//! follows, or a snapshot if that is no longer kept. The log is bounded by a number of records, and nothing in it waits
//! for anybody: a standby that is slow or gone costs nothing but its place in the window.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use willowshore_model::{Term, WallTime};

use crate::decisions::{Decision, DecisionState, DecisionTarget};
use crate::settings::StandbySettings;

/// Most bytes of a batch's decisions before they are compressed. A snapshot that is larger goes out in pieces.
const BATCH_BYTES: usize = 512 * 1024;

/// A place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term.
    pub term: Term,
    /// The last decision of it, counted from 1; 0 before the first one.
    pub index: u64,
}

/// What a standby asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowRequest {
    /// The last decision that it has applied.
    pub applied: LogPosition,
    /// Whether it needs a snapshot, as what it holds does not match.
    #[serde(default)]
    pub snapshot: bool,
    /// Entries of the snapshot that it has already.
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
        /// Decisions of the snapshot that came before.
        offset: u64,
        /// Whether more follow.
        more: bool,
    },
}

/// Decisions on their way to a standby.
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

/// Encodes and compresses decisions.
fn pack(decisions: &[Decision]) -> ByteBuf {
    let bytes = rmp_serde::to_vec(decisions).unwrap_or_default();
    ByteBuf::from(lz4_flex::compress_prepend_size(&bytes))
}

/// Most bytes that a payload may have once it is not compressed.
const PAYLOAD_LIMIT: usize = 4 * BATCH_BYTES;

/// The decisions of a payload; `None` if it is malformed.
pub(crate) fn unpack(payload: &[u8]) -> Option<Vec<Decision>> {
    // The size comes from the sender; it is checked before anything is set aside for it.
    let (size, _) = lz4_flex::block::uncompressed_size(payload).ok()?;
    if size > PAYLOAD_LIMIT {
        return None;
    }
    let bytes = lz4_flex::decompress_size_prepended(payload).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

#[derive(Clone, Debug)]
struct Record {
    decision: Decision,
    digest: u64,
    made: WallTime,
}

/// The log of one term.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    term: Term,
    state: DecisionState,
    newest: u64,
    made: WallTime,
    records: VecDeque<Record>,
    window: usize,
    batch: usize,
    bytes_sent: u64,
}

impl DecisionLog {
    /// The log of a term that begins without any decision.
    pub fn new(term: Term, settings: &StandbySettings) -> Self {
        DecisionLog {
            term,
            state: DecisionState::default(),
            newest: 0,
            made: WallTime(0),
            records: VecDeque::new(),
            window: settings.window_records,
            batch: settings.batch_records,
            bytes_sent: 0,
        }
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The newest position.
    pub fn newest(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.newest }
    }

    /// What its decisions add up to.
    pub fn state(&self) -> &DecisionState {
        &self.state
    }

    /// Bytes that batches took so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Records that are kept.
    pub fn retained(&self) -> usize {
        self.records.len()
    }

    /// Records the decisions that lead to a state, and says how many they are.
    pub fn record(&mut self, now: WallTime, target: &DecisionTarget) -> usize {
        let decisions = self.state.changes_to(target);
        let count = decisions.len();
        for decision in decisions {
            self.state.apply(decision.clone());
            self.newest += 1;
            self.made = now;
            self.records.push_back(Record { decision, digest: self.state.digest(), made: now });
            if self.records.len() > self.window {
                self.records.pop_front();
            }
        }
        count
    }

    /// What a standby gets next; `None` if it has everything.
    pub fn batch_for(&mut self, request: &FollowRequest) -> Option<Batch> {
        let batch = self.compose_batch(request)?;
        self.bytes_sent += batch.payload.len() as u64;
        Some(batch)
    }

    fn compose_batch(&self, request: &FollowRequest) -> Option<Batch> {
        let newest = self.newest();
        // A position of another term, or one that this log never gave out, says nothing here.
        let applied =
            Some(request.applied).filter(|at| at.term == self.term && at.index <= self.newest);
        let index = applied.map_or(0, |at| at.index);
        if !request.snapshot && applied == Some(newest) {
            return None;
        }
        let first_retained = self.newest - self.records.len() as u64;
        if request.snapshot || index < first_retained {
            return Some(self.snapshot(request.received));
        }
        let skipped = (index - first_retained) as usize;
        let records: Vec<&Record> = self.records.iter().skip(skipped).take(self.batch).collect();
        let last = records.last()?;
        let decisions: Vec<Decision> = records.iter().map(|r| r.decision.clone()).collect();
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

    /// A piece of the state. The state may change between two pieces; the digest tells then, and the standby begins
    /// anew.
    fn snapshot(&self, offset: u64) -> Batch {
        let all = self.state.decisions();
        let rest = all.get(offset as usize..).unwrap_or_default();
        let mut bytes = 0;
        let fits = |decision: &&Decision| {
            bytes += rmp_serde::to_vec(decision).map_or(0, |encoded| encoded.len());
            bytes <= BATCH_BYTES
        };
        let chunk = rest.iter().take_while(fits).count().max(1).min(rest.len());
        let kind = BatchKind::Snapshot { offset, more: chunk < rest.len() };
        Batch {
            kind,
            from: LogPosition { term: self.term, index: 0 },
            to: self.newest(),
            newest: self.newest(),
            digest: self.state.digest(),
            made: self.made,
            payload: pack(&rest[..chunk]),
        }
    }
}

#[cfg(test)]
mod tests;
