//! Submissions, written in group commits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tracing::debug;

use super::Service;
use crate::controller::submission_txn;
use crate::replica;
use crate::store_client::TxnOutcome;
use crate::wire::JobSpec;

/// Attempts of one group commit, each without the jobs that turned out to be known.
const COMMIT_ATTEMPTS: usize = 4;
/// Time without the store's answer after which the same transaction is sent a second time: a user waits for it.
const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionOutcome {
    /// It is durable, and was not there before.
    New,
    /// The job was known already.
    Known,
    /// The store did not take it, or did not say so.
    Failed,
}

/// A submission that waits for the next group commit, and where its outcome goes.
struct Submission {
    spec: JobSpec,
    outcome: oneshot::Sender<SubmissionOutcome>,
}

impl Submission {
    /// Answers with the outcome; a user who no longer waits misses nothing.
    fn finish(self, outcome: SubmissionOutcome) {
        let _ = self.outcome.send(outcome);
    }
}

/// Submissions that wait for the next group commit.
#[derive(Default)]
pub(super) struct SubmissionQueue {
    waiting: RefCell<Vec<Submission>>,
    wake: Notify,
}

impl SubmissionQueue {
    /// Queues a submission; its outcome comes through the receiver.
    fn push(&self, spec: JobSpec) -> oneshot::Receiver<SubmissionOutcome> {
        let (outcome, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(Submission { spec, outcome });
        self.wake.notify_one();
        receiver
    }

    /// Takes the oldest submissions, at most `limit`.
    fn next_batch(&self, limit: usize) -> Vec<Submission> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(limit);
        waiting.drain(..count).collect()
    }
}

impl Service {
    /// Queues a submission for the next group commit and waits for what becomes of it.
    pub(crate) async fn accept(&self, spec: JobSpec) -> SubmissionOutcome {
        self.submissions.push(spec).await.unwrap_or(SubmissionOutcome::Failed)
    }

    /// Commits queued submissions, as many at a time as a transaction holds. Commits overlap.
    pub(super) async fn write_submissions(self: Rc<Self>) {
        loop {
            self.submissions.wake.notified().await;
            loop {
                let limit = self.controller.borrow().limits.txn_ops;
                let batch = self.submissions.next_batch(limit);
                if batch.is_empty() {
                    break;
                }
                let service = self.clone();
                spawn_local(async move { service.commit_submissions(batch).await });
            }
        }
    }

    /// Commits submissions together. Those whose key exists already are known jobs, or this very submission, committed
    /// by a request whose answer was lost.
    async fn commit_submissions(&self, mut batch: Vec<Submission>) {
        for _ in 0..COMMIT_ATTEMPTS {
            if batch.is_empty() {
                return;
            }
            let txn = {
                let controller = self.controller.borrow();
                let bytes = controller.limits.value_bytes();
                let specs = batch.iter().map(|submission| &submission.spec);
                submission_txn(specs, self.wall(), &controller.catalog, bytes)
            };
            match self.store.commit_hedged(&txn, HEDGE_AFTER).await {
                Ok(TxnOutcome::Committed(version)) => {
                    self.apply_committed(&txn, version);
                    for submission in batch {
                        let spec = &submission.spec;
                        debug!(job = %spec.id, class = %spec.class, tasks = spec.task_count, "accepted");
                        submission.finish(SubmissionOutcome::New);
                    }
                    return;
                }
                Ok(TxnOutcome::ConditionsFailed(failed)) => {
                    let is_known = |s: &Submission| failed.contains(&replica::job_key(s.spec.id));
                    let (known, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_known);
                    batch = rest;
                    known.into_iter().for_each(|s| s.finish(SubmissionOutcome::Known));
                }
                Err(e) => {
                    debug!(error = %e, "submissions not written");
                    self.lower_limits_if_malformed(&e);
                    break;
                }
            }
        }
        batch.into_iter().for_each(|s| s.finish(SubmissionOutcome::Failed));
    }
}
