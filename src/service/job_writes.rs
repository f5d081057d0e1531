//! Durable writes for users: completions, submissions and cancellations.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::debug;

use super::{Service, Submission, SubmissionOutcome};
use crate::controller::submission_txn;
use crate::model::{JobId, Revision};
use crate::peer::PeerRequest;
use crate::replica;
use crate::store_client::{Committed, StoreError};
use crate::wire::JobSpec;

/// Least time between two writes of completions.
const GATHER: Duration = Duration::from_millis(150);

impl Service {
    /// Writes finished tasks to the store, many jobs at a time.
    pub(super) async fn write_completions(self: Rc<Self>) {
        loop {
            let _ = timeout(Duration::from_millis(500), self.wake_completions.notified()).await;
            sleep(GATHER).await;
            let now = self.now();
            self.store.set_leading(self.controller.borrow().leader.is_some());
            let next = self.controller.borrow_mut().completions_txn(now);
            let Some(mut txn) = next else { continue };
            // Jobs that somebody else wrote meanwhile come next time, the others go now.
            for _ in 0..3 {
                match self.store.commit(&txn).await {
                    Ok(Committed::Yes(version)) => {
                        self.apply_own(&txn, version);
                        break;
                    }
                    Ok(Committed::No(failed)) => txn.leave_out(&failed),
                    Err(e) => {
                        debug!(error = %e, "completions not written");
                        self.note_refused_write(&e);
                        let _ = self.pull(Duration::ZERO).await;
                        break;
                    }
                }
                if txn.changes.is_empty() {
                    break;
                }
            }
        }
    }

    /// Queues a submission for the next group commit and waits for what becomes of it.
    pub(crate) async fn accept(&self, spec: JobSpec) -> SubmissionOutcome {
        let (tx, rx) = oneshot::channel();
        self.accepts.borrow_mut().push((spec, tx));
        self.wake_accept.notify_one();
        rx.await.unwrap_or(SubmissionOutcome::Failed)
    }

    pub(super) async fn write_accepted(self: Rc<Self>) {
        loop {
            self.wake_accept.notified().await;
            loop {
                let batch: Vec<Submission> = {
                    let mut queue = self.accepts.borrow_mut();
                    let n = queue.len().min(self.controller.borrow().limits.txn_ops);
                    queue.drain(..n).collect()
                };
                if batch.is_empty() {
                    break;
                }
                let s = self.clone();
                spawn_local(async move { s.commit_batch(batch).await });
            }
        }
    }

    /// Commits submissions together. Those whose key exists already are known jobs, or this
    /// very submission carried out by a request whose answer was lost.
    async fn commit_batch(&self, mut batch: Vec<Submission>) {
        for _ in 0..4 {
            if batch.is_empty() {
                return;
            }
            let txn = {
                let controller = self.controller.borrow();
                let bytes = controller.limits.value_bytes();
                let specs = batch.iter().map(|(spec, _)| spec);
                submission_txn(specs, self.wall(), &controller.catalog, bytes)
            };
            match self.store.commit_hedged(&txn, Duration::from_millis(60)).await {
                Ok(Committed::Yes(version)) => {
                    self.apply_own(&txn, version);
                    for (spec, tx) in batch {
                        debug!(job = %spec.id, class = %spec.class, tasks = spec.task_count, "accepted");
                        let _ = tx.send(SubmissionOutcome::New);
                    }
                    return;
                }
                Ok(Committed::No(failed)) => {
                    let (known, rest) = batch
                        .into_iter()
                        .partition(|(spec, _)| failed.contains(&replica::job_key(spec.id)));
                    batch = rest;
                    let known: Vec<Submission> = known;
                    for (_, tx) in known {
                        let _ = tx.send(SubmissionOutcome::Known);
                    }
                }
                Err(e) => {
                    debug!(error = %e, "submissions not written");
                    self.note_refused_write(&e);
                    break;
                }
            }
        }
        for (_, tx) in batch {
            let _ = tx.send(SubmissionOutcome::Failed);
        }
    }

    /// Cancels a job durably: `Ok(true)` if it is cancelled now, `Ok(false)` if its progress
    /// changed meanwhile and the caller has to look again.
    pub(crate) async fn write_cancelled(self: &Rc<Self>, id: JobId) -> Result<bool, StoreError> {
        let Some((txn, progress)) = self.controller.borrow().cancel_txn(id) else {
            return Ok(false);
        };
        match self.store.commit_hedged(&txn, Duration::from_millis(150)).await? {
            Committed::Yes(version) => {
                self.apply_own(&txn, version);
                self.tell_ended(id, progress, version);
                Ok(true)
            }
            Committed::No(_) => Ok(false),
        }
    }

    /// Tells the other controllers of a cancellation, as the store may refuse one of them alone: it
    /// would start tasks of the job until its right to do that ends. The user's answer does not wait for it.
    fn tell_ended(self: &Rc<Self>, id: JobId, progress: replica::Progress, version: Revision) {
        let request = Rc::new(PeerRequest::Ended(id, progress, version));
        for node in self
            .others()
            .filter(|n| self.controller.borrow().replica.supports_cancellation_notices(*n))
        {
            let (s, request) = (self.clone(), request.clone());
            spawn_local(async move { s.call_peer(node, &request, 500).await });
        }
    }
}
