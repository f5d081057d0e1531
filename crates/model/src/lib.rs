//! Small types for ids, versions, times and amounts.
//!
//! Everything that travels between modules is one of these, so that a term cannot be
//! passed for an attempt or a wall time for a steady one.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A job's id as users choose it. Always `wk-` followed by at least six digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the only accepted form; anything that would not print back identically is refused.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("wk-")?;
        if digits.len() < 6 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let id = JobId(digits.parse().ok()?);
        (id.to_string() == text).then_some(id)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "wk-{:06}", self.0)
    }
}

/// One task of a job, `wk-000412/3` on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job it belongs to.
    pub job: JobId,
    /// Its number, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the wire form.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        Some(TaskId { job: JobId::parse(job)?, index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

macro_rules! text_serde {
    ($name:ident, $what:literal) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                $name::parse(&text).ok_or_else(|| de::Error::custom(concat!("not ", $what)))
            }
        }
    };
}
text_serde!(JobId, "a job id");
text_serde!(TaskId, "a task id");

/// A machine's name as the cloud gave it. Names sort in creation order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineId(pub Rc<str>);

impl MachineId {
    /// Makes an id from its text.
    pub fn new(text: &str) -> Self {
        MachineId(Rc::from(text))
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}
count_type!(
    /// A leadership term; what workers see as `Baton`.
    Term
);
count_type!(
    /// One try at running a task; unique over all terms.
    Attempt
);
count_type!(
    /// A revision of the state service, and the version of a key.
    Revision
);
count_type!(
    /// A worker's session; grows each time its lease expires.
    AgentEpoch
);
count_type!(
    /// One life of a controller process.
    Incarnation
);
count_type!(
    /// The number of a plan within a term.
    PlanSeq
);
count_type!(
    /// A lease of the state service.
    StoreLease
);
count_type!(
    /// Milliseconds since the epoch by the time of day.
    WallTime
);

impl Attempt {
    /// The attempt that a node gives out as its `n`th of a term. A node gives out attempts
    /// in a term only in the life that the term's leader counts with, so no write is needed
    /// to keep them apart.
    pub fn of(term: Term, node: NodeId, n: u32) -> Self {
        Attempt((term.0 << 32) | (u64::from(node.0) << 26) | u64::from(n & 0x03ff_ffff))
    }
}

/// Whom attempts are numbered for that the leader gives out itself, beyond all controllers.
pub const LEADERS_ATTEMPTS: NodeId = NodeId(32);

/// A controller, by its place in the sorted list of all controllers' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u8);

/// A reading of this process's steady clock, in milliseconds since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// This reading plus some milliseconds.
    pub fn plus(self, ms: u64) -> Self {
        MonotonicTime(self.0.saturating_add(ms))
    }
    /// This reading less some milliseconds, not before the start.
    pub fn less(self, ms: u64) -> Self {
        MonotonicTime(self.0.saturating_sub(ms))
    }
    /// Milliseconds since an earlier reading; 0 if it is not earlier.
    pub fn since(self, earlier: MonotonicTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A moment by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The process's steady clock.
    pub steady: MonotonicTime,
    /// The time of day.
    pub wall: WallTime,
}

/// Processor cores (or a share of them), in thousandths so that sums are exact.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cores(pub u64);

impl Cores {
    /// From the decimal amount of the protocol, rounded up.
    pub fn need(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 - 1e-6).ceil().max(0.0) as u64)
    }
    /// From the decimal amount of what is offered, rounded down.
    pub fn offer(amount: f64) -> Self {
        Cores((amount.max(0.0) * 1000.0 + 1e-6).floor() as u64)
    }
    /// This less the other, not below nothing.
    pub fn less(self, other: Cores) -> Cores {
        Cores(self.0.saturating_sub(other.0))
    }
    /// As a decimal number of cores.
    pub fn amount(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// A set of task numbers, kept as sorted half-open ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// The single range from `lo` up to, not including, `hi`.
    pub fn span(lo: u32, hi: u32) -> Self {
        if lo < hi { Ranges(vec![(lo, hi)]) } else { Ranges::default() }
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
    pub fn fitting(&self, bytes: usize) -> Ranges {
        let most = Ranges::spans_in(bytes);
        if self.0.len() <= most {
            return self.clone();
        }
        let mut spans = self.0.clone();
        spans.sort_by_key(|r| std::cmp::Reverse(r.1 - r.0));
        spans.truncate(most);
        spans.sort_unstable();
        Ranges(spans)
    }
    /// A set of at most so many ranges that contains this one.
    pub fn coarse(&self, most: usize) -> Ranges {
        let mut spans = self.0.clone();
        while spans.len() > most.max(1) {
            // The smallest gap is closed first.
            let gap = |i: &usize| spans[i + 1].0 - spans[*i].1;
            let Some(i) = (0..spans.len() - 1).min_by_key(gap) else { break };
            spans[i].1 = spans[i + 1].1;
            spans.remove(i + 1);
        }
        Ranges(spans)
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

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(iter: I) -> Self {
        let mut set = Ranges::default();
        for n in iter {
            set.insert(n);
        }
        set
    }
}

#[cfg(test)]
mod tests;
