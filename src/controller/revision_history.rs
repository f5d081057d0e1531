//! Times by which the store had reached its revisions, as far as this controller knows.

use std::collections::VecDeque;

use crate::model::{MonotonicTime, Revision};

/// Period in milliseconds whose revisions share a sample, which bounds the number of samples.
const SAMPLE_PERIOD_MS: u64 = 100;

/// Revision that the store had reached by a time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Time of the first observation in the sample.
    first_at: MonotonicTime,
    /// Time of the last observation, which showed `revision`.
    at: MonotonicTime,
    revision: Revision,
}

/// Recently observed revisions of the store. Both times and revisions increase.
#[derive(Debug, Default)]
pub(super) struct RevisionHistory {
    samples: VecDeque<Sample>,
}

impl RevisionHistory {
    /// Records that the store has reached `revision` by `now`. Forgets when revisions were reached
    /// that were reached more than `retention_ms` milliseconds ago, apart from the latest of them.
    pub(super) fn record(&mut self, now: MonotonicTime, revision: Revision, retention_ms: u64) {
        while self.samples.get(1).is_some_and(|next| now.since(next.at) >= retention_ms) {
            self.samples.pop_front();
        }
        match self.samples.back_mut() {
            Some(last) if last.revision >= revision => {}
            // The sample's earlier revisions count as reached later than they were, never earlier.
            Some(last) if now.since(last.first_at) < SAMPLE_PERIOD_MS => {
                (last.at, last.revision) = (now, revision);
            }
            _ => self.samples.push_back(Sample { first_at: now, at: now, revision }),
        }
    }

    /// Returns a time by which the store had reached `revision`; `None` if it is not known to have
    /// reached it.
    pub(super) fn reached_at(&self, revision: Revision) -> Option<MonotonicTime> {
        let first = self.samples.partition_point(|sample| sample.revision < revision);
        self.samples.get(first).map(|sample| sample.at)
    }
}
