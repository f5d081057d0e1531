//! Sets of task numbers.

use serde::{Deserialize, Serialize};

/// A set of task numbers, kept as sorted half-open ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskRanges(Vec<(u32, u32)>);

impl TaskRanges {
    /// The single range from `lo` up to, not including, `hi`.
    pub fn span(lo: u32, hi: u32) -> Self {
        if lo < hi { TaskRanges(vec![(lo, hi)]) } else { TaskRanges::default() }
    }
    /// Whether the number is in the set.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= n);
        self.0.get(i).is_some_and(|r| r.0 <= n)
    }
    /// Adds a number; false if it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < n);
        if let Some(r) = self.0.get_mut(i) {
            if r.0 <= n && n < r.1 {
                return false;
            }
            if r.1 == n {
                r.1 = n + 1;
                if self.0.get(i + 1).is_some_and(|next| next.0 == n + 1) {
                    self.0[i].1 = self.0[i + 1].1;
                    self.0.remove(i + 1);
                }
                return true;
            }
            if r.0 == n + 1 {
                r.0 = n;
                return true;
            }
        }
        self.0.insert(i, (n, n + 1));
        true
    }
    /// Whether a number is in the set or next to one that is.
    pub fn touches(&self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < n);
        self.0.get(i).is_some_and(|r| r.0 <= n.saturating_add(1))
    }
    /// How many ranges fit into so many bytes of a value, whatever their numbers are.
    pub fn spans_in(bytes: usize) -> usize {
        (bytes.saturating_sub(64) / 16).max(1)
    }
    /// The set, or its largest ranges if it does not fit into so many bytes.
    pub fn fitting(&self, bytes: usize) -> TaskRanges {
        let most = TaskRanges::spans_in(bytes);
        if self.0.len() <= most {
            return self.clone();
        }
        let mut spans = self.0.clone();
        spans.sort_by_key(|r| std::cmp::Reverse(r.1 - r.0));
        spans.truncate(most);
        spans.sort_unstable();
        TaskRanges(spans)
    }
    /// A set of at most so many ranges that contains this one.
    pub fn coarse(&self, most: usize) -> TaskRanges {
        let mut spans = self.0.clone();
        while spans.len() > most.max(1) {
            // The smallest gap is closed first.
            let gap = |i: &usize| spans[i + 1].0 - spans[*i].1;
            let Some(i) = (0..spans.len() - 1).min_by_key(gap) else { break };
            spans[i].1 = spans[i + 1].1;
            spans.remove(i + 1);
        }
        TaskRanges(spans)
    }
    /// Adds numbers.
    pub fn extend(&mut self, numbers: impl Iterator<Item = u32>) {
        for n in numbers {
            self.insert(n);
        }
    }
    /// How many numbers are in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0).sum()
    }
    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// The numbers, ascending.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|r| r.0..r.1)
    }
    /// The ranges, ascending.
    pub fn spans(&self) -> &[(u32, u32)] {
        &self.0
    }
    /// Whether the ranges are sorted, apart and not empty, as this type keeps them.
    pub fn is_sound(&self) -> bool {
        self.0.iter().all(|r| r.0 < r.1) && self.0.windows(2).all(|w| w[0].1 < w[1].0)
    }
}

impl FromIterator<u32> for TaskRanges {
    fn from_iter<I: IntoIterator<Item = u32>>(iter: I) -> Self {
        let mut set = TaskRanges::default();
        for n in iter {
            set.insert(n);
        }
        set
    }
}
