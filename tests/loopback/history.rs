//! What happened on the machines and the states users were shown, by one clock, for the checker of the simulation.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::check::{Checker, Event};
use crate::site::Rhythm;

/// The history of a site.
pub struct History {
    began: Instant,
    checker: RefCell<Checker>,
    /// Tasks that completed, by job.
    completed: RefCell<BTreeMap<u64, BTreeSet<u32>>>,
    /// How many tasks jobs have.
    sizes: RefCell<BTreeMap<u64, u32>>,
}

impl History {
    pub fn new(rhythm: Rhythm, team_limit: u64) -> Self {
        History {
            began: Instant::now(),
            checker: RefCell::new(Checker::new(rhythm.cancel_ms, team_limit)),
            completed: RefCell::default(),
            sizes: RefCell::default(),
        }
    }

    /// Milliseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Something happened.
    pub fn see(&self, event: Event) {
        self.checker.borrow_mut().see(self.now(), event);
    }

    /// A user submits a job of that size.
    pub fn submits(&self, job: u64, tasks: u32) {
        self.sizes.borrow_mut().insert(job, tasks);
        self.see(Event::Submitted { job });
    }

    /// A task completed.
    pub fn completes(&self, job: u64, index: u32) {
        self.completed.borrow_mut().entry(job).or_default().insert(index);
    }

    /// A user was shown that a job is done.
    pub fn called_done(&self, job: u64) {
        let done = self.completed.borrow().get(&job).map_or(0, BTreeSet::len) as u32;
        let of = self.sizes.borrow().get(&job).copied().unwrap_or(0);
        self.see(Event::CalledDone { job, done, of });
    }

    /// Invariants that were broken.
    pub fn broken(&self) -> Vec<String> {
        self.checker.borrow().broken.clone()
    }

    /// Jobs of which all tasks completed.
    pub fn completed_jobs(&self) -> usize {
        let (completed, sizes) = (self.completed.borrow(), self.sizes.borrow());
        let whole = |(job, size): &(&u64, &u32)| {
            completed.get(*job).is_some_and(|tasks| tasks.len() == **size as usize)
        };
        sizes.iter().filter(whole).count()
    }
}
