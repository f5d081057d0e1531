//! Allocation of attempt numbers.

use crate::model::{Attempt, NodeId, Term};

/// Allocates the attempt numbers of one controller within one leader term. Each start of a task is an attempt.
///
/// An attempt number contains the term and the controller, see [`Attempt::from_parts`], so it is unique over all terms
/// and controllers without a write to the state store. This requires exactly one allocator for each term and
/// controller, which is dropped when the term ends.
#[derive(Clone, Debug)]
pub struct AttemptAllocator {
    term: Term,
    node: NodeId,
    /// Number of attempts allocated so far.
    count: u32,
}

impl AttemptAllocator {
    /// Creates an allocator that has allocated no attempt of this term.
    pub fn new(term: Term, node: NodeId) -> Self {
        AttemptAllocator { term, node, count: 0 }
    }

    /// Returns a new attempt number, higher than all that this allocator returned before.
    pub fn allocate(&mut self) -> Attempt {
        self.count += 1;
        Attempt::from_parts(self.term, self.node, self.count)
    }
}
