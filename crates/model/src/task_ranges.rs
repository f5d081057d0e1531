//! Sets of task numbers, stored and sent as ranges: tasks of a job mostly start and end in order, so that a
//! set of thousands takes a few bytes.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

/// A set of task numbers, kept as sorted half-open ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskRanges(Vec<(u32, u32)>);

impl TaskRanges {
    /// The numbers from `start` up to, not including, `end`.
    pub fn span(start: u32, end: u32) -> Self {
        if start < end { TaskRanges(vec![(start, end)]) } else { TaskRanges::default() }
    }

    /// Whether the number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        let position = self.0.partition_point(|(_, end)| *end <= number);
        self.0.get(position).is_some_and(|(start, _)| *start <= number)
    }

    /// Whether a number is in the set or next to one that is.
    pub fn touches(&self, number: u32) -> bool {
        let position = self.0.partition_point(|(_, end)| *end < number);
        self.0.get(position).is_some_and(|(start, _)| *start <= number.saturating_add(1))
    }

    /// Adds a number; false if it was there.
    pub fn insert(&mut self, number: u32) -> bool {
        // The first range that ends at the number or after it.
        let position = self.0.partition_point(|(_, end)| *end < number);
        match self.0.get(position).copied() {
            Some((start, end)) if start <= number && number < end => return false,
            Some((start, end)) if end == number => match self.0.get(position + 1).copied() {
                Some((next_start, next_end)) if next_start == number + 1 => {
                    self.0[position] = (start, next_end);
                    self.0.remove(position + 1);
                }
                _ => self.0[position] = (start, number + 1),
            },
            Some((start, end)) if start == number + 1 => self.0[position] = (number, end),
            _ => self.0.insert(position, (number, number + 1)),
        }
        true
    }

    /// Adds numbers.
    pub fn extend(&mut self, numbers: impl Iterator<Item = u32>) {
        for number in numbers {
            self.insert(number);
        }
    }

    /// How many ranges fit into so many bytes of a value, whatever their numbers are; at least one. A
    /// range has 16 bytes at most, and 64 are left for the rest of the record.
    pub fn spans_in(bytes: usize) -> usize {
        (bytes.saturating_sub(64) / 16).max(1)
    }

    /// The set, or its largest ranges if it does not fit into so many bytes of a value.
    pub fn fitting(&self, bytes: usize) -> TaskRanges {
        let max_ranges = TaskRanges::spans_in(bytes);
        if self.0.len() <= max_ranges {
            return self.clone();
        }
        let mut spans = self.0.clone();
        spans.sort_by_key(|(start, end)| Reverse(end - start));
        spans.truncate(max_ranges);
        spans.sort_unstable();
        TaskRanges(spans)
    }

    /// A set of at most so many ranges, and at least one, that contains this one: the smallest gaps
    /// are closed.
    pub fn coarse(&self, max_ranges: usize) -> TaskRanges {
        let mut spans = self.0.clone();
        while spans.len() > max_ranges.max(1) {
            let gap = |position: &usize| spans[position + 1].0 - spans[*position].1;
            let Some(smallest) = (0..spans.len() - 1).min_by_key(gap) else { break };
            spans[smallest].1 = spans[smallest + 1].1;
            spans.remove(smallest + 1);
        }
        TaskRanges(spans)
    }

    /// How many numbers are in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(start, end)| end - start).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The numbers, ascending.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|(start, end)| *start..*end)
    }

    /// The ranges, ascending, each from its first number up to, not including, its second.
    pub fn spans(&self) -> &[(u32, u32)] {
        &self.0
    }

    /// Whether the ranges are sorted, apart and not empty, as this type keeps them. A set that was read
    /// from the wire or the store may not be so, and is then not to be used.
    pub fn is_sound(&self) -> bool {
        self.0.iter().all(|(start, end)| start < end)
            && self.0.windows(2).all(|pair| pair[0].1 < pair[1].0)
    }
}

impl FromIterator<u32> for TaskRanges {
    fn from_iter<I: IntoIterator<Item = u32>>(iter: I) -> Self {
        let mut set = TaskRanges::default();
        for number in iter {
            set.insert(number);
        }
        set
    }
}
