//! Numbering of attempts.

use crate::model::{Attempt, NodeId, Term};

/// Allocates the attempts of one controller within a term.
///
/// Attempts are unique over all terms and controllers without a write, see [`Attempt::from_parts`]; there is one
/// allocator for a term and controller, which is dropped with the term.
#[derive(Clone, Debug)]
pub struct AttemptAllocator {
    term: Term,
    node: NodeId,
    /// How many attempts it has allocated.
    count: u32,
}

impl AttemptAllocator {
    /// Starts counting for a term.
    pub fn new(term: Term, node: NodeId) -> Self {
        AttemptAllocator { term, node, count: 0 }
    }

    /// A new attempt, higher than those before.
    pub fn allocate(&mut self) -> Attempt {
        self.count += 1;
        Attempt::from_parts(self.term, self.node, self.count)
    }
}
