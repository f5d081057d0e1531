//! Sets of task numbers, stored and sent as ranges. Tasks of a job mostly start and end in order, so that a set of
//! thousands of tasks takes a few bytes.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

/// A set of task numbers, held as sorted half-open ranges that neither overlap nor adjoin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskRanges(Vec<(u32, u32)>);

impl TaskRanges {
    /// Creates the set of the numbers from `start` up to, not including, `end`; empty if `end` is not above `start`.
    pub fn span(start: u32, end: u32) -> Self {
        if start < end { TaskRanges(vec![(start, end)]) } else { TaskRanges::default() }
    }

    /// Whether a number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        let position = self.0.partition_point(|(_, end)| *end <= number);
        self.0.get(position).is_some_and(|(start, _)| *start <= number)
    }

    /// Whether a number, the one before it or the one after it is in the set. Inserting such a number adds no
    /// range.
    pub fn contains_or_adjoins(&self, number: u32) -> bool {
        let position = self.0.partition_point(|(_, end)| *end < number);
        self.0.get(position).is_some_and(|(start, _)| *start <= number.saturating_add(1))
    }

    /// Adds a number. Returns false if it was in the set already.
    pub fn insert(&mut self, number: u32) -> bool {
        // The first range whose exclusive end is not below the number.
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

    /// Adds several numbers.
    pub fn extend(&mut self, numbers: impl Iterator<Item = u32>) {
        for number in numbers {
            self.insert(number);
        }
    }

    /// How many ranges fit into a stored value of `bytes` bytes, whatever their numbers are; at least 1. An encoded
    /// range has 16 bytes at most, and 64 bytes are reserved for the rest of the record.
    pub fn max_ranges_in(bytes: usize) -> usize {
        (bytes.saturating_sub(64) / 16).max(1)
    }

    /// Returns the whole set if it fits into a stored value of `bytes` bytes, otherwise the largest ranges that
    /// fit.
    pub fn largest_fitting(&self, bytes: usize) -> TaskRanges {
        let max_ranges = TaskRanges::max_ranges_in(bytes);
        if self.0.len() <= max_ranges {
            return self.clone();
        }
        let mut ranges = self.0.clone();
        ranges.sort_by_key(|(start, end)| Reverse(end - start));
        ranges.truncate(max_ranges);
        ranges.sort_unstable();
        TaskRanges(ranges)
    }

    /// Returns a superset with at most `max_ranges` ranges (with one range if `max_ranges` is 0), made by closing the
    /// smallest gaps between ranges.
    pub fn merged_to(&self, max_ranges: usize) -> TaskRanges {
        let mut ranges = self.0.clone();
        while ranges.len() > max_ranges.max(1) {
            let gap = |position: &usize| ranges[position + 1].0 - ranges[*position].1;
            let Some(smallest) = (0..ranges.len() - 1).min_by_key(gap) else { break };
            ranges[smallest].1 = ranges[smallest + 1].1;
            ranges.remove(smallest + 1);
        }
        TaskRanges(ranges)
    }

    /// The number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(start, end)| end - start).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The task numbers, ascending.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|(start, end)| *start..*end)
    }

    /// The ranges in ascending order, as pairs of the first number and the exclusive end.
    pub fn ranges(&self) -> &[(u32, u32)] {
        &self.0
    }

    /// Whether the ranges are sorted and none is empty, overlaps or adjoins another. A set decoded from the wire or
    /// the store may violate this and must not be used if it does.
    pub fn is_normalized(&self) -> bool {
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
