//! Bounded numbers of requests in progress.

use std::cell::Cell;

/// Number of requests in progress. Each is counted by a [`RequestGuard`].
#[derive(Debug, Default)]
pub struct RequestCount(Cell<usize>);

/// Counts a request as in progress until the guard is dropped, also if the request's future is
/// cancelled.
#[derive(Debug)]
pub struct RequestGuard<'a>(&'a Cell<usize>);

impl RequestCount {
    /// Counts a request; `None` if `limit` requests are in progress already.
    pub fn try_begin(&self, limit: usize) -> Option<RequestGuard<'_>> {
        let count = self.0.get();
        (count < limit).then(|| {
            self.0.set(count + 1);
            RequestGuard(&self.0)
        })
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[cfg(test)]
mod tests;
