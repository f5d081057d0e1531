//! Records events on machines and job states shown to users by a common clock, for the checker of the simulation.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use willowshore::wire::{HeartbeatResponse, WorkerCommand};

use crate::check::{Checker, Event};
use crate::site::WorkerTiming;

/// The recorded history of a site.
pub struct History {
    started_at: Instant,
    checker: RefCell<Checker>,
    /// Completed tasks of each job.
    completed: RefCell<BTreeMap<u64, BTreeSet<u32>>>,
    /// Number of tasks of each job.
    task_counts: RefCell<BTreeMap<u64, u32>>,
}

impl History {
    pub fn new(timing: WorkerTiming, team_limit: u64) -> Self {
        History {
            started_at: Instant::now(),
            checker: RefCell::new(Checker::new(timing.cancel_ms, team_limit)),
            completed: RefCell::default(),
            task_counts: RefCell::default(),
        }
    }

    /// Milliseconds since the start of the history.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        self.checker.borrow_mut().record(self.now(), event);
    }

    /// Records that a user submits a job with this number of tasks.
    pub fn record_submission(&self, job: u64, tasks: u32) {
        self.task_counts.borrow_mut().insert(job, tasks);
        self.record(Event::JobSubmitted { job });
    }

    /// Records the starts in the response to a heartbeat that was sent at `heartbeat_sent_at`.
    pub fn record_commanded_starts(&self, response: &HeartbeatResponse, heartbeat_sent_at: u64) {
        for command in &response.commands {
            if let WorkerCommand::Start { task, .. } = command {
                let task = (task.job.0, task.index);
                self.record(Event::StartCommanded { task, heartbeat_sent_at });
            }
        }
    }

    /// Number of jobs that users were shown as cancelled.
    pub fn cancelled_jobs(&self) -> usize {
        self.checker.borrow().cancelled_jobs()
    }

    /// Records that a task completed.
    pub fn record_completion(&self, job: u64, index: u32) {
        self.completed.borrow_mut().entry(job).or_default().insert(index);
    }

    /// Records that a user was shown a job as done.
    pub fn record_done(&self, job: u64) {
        let completed = self.completed.borrow().get(&job).map_or(0, BTreeSet::len) as u32;
        let task_count = self.task_counts.borrow().get(&job).copied().unwrap_or(0);
        self.record(Event::JobDone { job, completed, task_count });
    }

    /// Violations of the invariants so far.
    pub fn violations(&self) -> Vec<String> {
        self.checker.borrow().violations.clone()
    }

    /// Number of jobs of which all tasks completed.
    pub fn completed_jobs(&self) -> usize {
        let (completed, task_counts) = (self.completed.borrow(), self.task_counts.borrow());
        let is_complete = |(job, count): &(&u64, &u32)| {
            completed.get(*job).is_some_and(|tasks| tasks.len() == **count as usize)
        };
        task_counts.iter().filter(is_complete).count()
    }
}
