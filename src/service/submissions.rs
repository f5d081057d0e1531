//! Group commits of submissions.

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

/// Maximum number of attempts for one group commit. Each attempt leaves out the jobs that the last
/// one found to exist.
const MAX_COMMIT_ATTEMPTS: usize = 4;
/// Time without a response from the store after which the same transaction is sent again. A user is
/// waiting for its outcome.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionOutcome {
    /// The job is durable and did not exist before.
    New,
    /// The job existed already.
    Known,
    /// The store rejected the submission, or its outcome is unknown.
    Failed,
}

/// A submission waiting for the next group commit.
struct Submission {
    spec: JobSpec,
    outcome: oneshot::Sender<SubmissionOutcome>,
}

impl Submission {
    /// Sends the outcome to the caller. A caller that no longer waits does not need it.
    fn finish(self, outcome: SubmissionOutcome) {
        let _ = self.outcome.send(outcome);
    }
}

/// Submissions waiting for the next group commit.
#[derive(Default)]
pub(super) struct SubmissionQueue {
    waiting: RefCell<Vec<Submission>>,
    wake: Notify,
}

impl SubmissionQueue {
    /// Queues a submission and returns the receiver of its outcome.
    fn push(&self, spec: JobSpec) -> oneshot::Receiver<SubmissionOutcome> {
        let (outcome, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(Submission { spec, outcome });
        self.wake.notify_one();
        receiver
    }

    /// Removes and returns the oldest submissions, at most `limit`.
    fn next_batch(&self, limit: usize) -> Vec<Submission> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(limit);
        waiting.drain(..count).collect()
    }
}

impl Service {
    /// Queues a submission for the next group commit and waits for the outcome.
    pub(crate) async fn accept_submission(&self, spec: JobSpec) -> SubmissionOutcome {
        self.submissions.push(spec).await.unwrap_or(SubmissionOutcome::Failed)
    }

    /// Commits queued submissions in groups of up to the maximum size of a transaction. Commits may
    /// overlap.
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

    /// Commits a group of submissions. An existing key belongs to a job that was submitted before,
    /// or to this submission itself, if the response to an earlier commit of it was lost.
    async fn commit_submissions(&self, mut batch: Vec<Submission>) {
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            if batch.is_empty() {
                return;
            }
            let txn = {
                let controller = self.controller.borrow();
                let max_value_bytes = controller.limits.value_bytes();
                let specs = batch.iter().map(|submission| &submission.spec);
                submission_txn(specs, self.wall_time(), &controller.catalog, max_value_bytes)
            };
            match self.store.commit_hedged(&txn, HEDGE_DELAY).await {
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
                    let (known, remaining): (Vec<_>, Vec<_>) =
                        batch.into_iter().partition(is_known);
                    batch = remaining;
                    known.into_iter().for_each(|s| s.finish(SubmissionOutcome::Known));
                }
                Err(e) => {
                    debug!(error = %e, "commit of submissions failed");
                    self.lower_limits_if_malformed(&e);
                    break;
                }
            }
        }
        batch.into_iter().for_each(|s| s.finish(SubmissionOutcome::Failed));
    }
}
