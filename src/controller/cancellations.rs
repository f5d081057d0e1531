//! Confirmations of cancellations: when a user may be told that a job is cancelled.
//!
//! A durable cancellation stops only the controllers that know of it. A controller that reaches
//! neither the store nor another controller may start tasks of the job until its right to start
//! tasks expires. A cancellation is *effective* once no controller can start tasks of its job any
//! more, because each other controller
//!
//! - has acknowledged a notice of the cancellation, or
//! - was not a member at the cancellation's revision or later, or
//! - has lost every right to start tasks that it had before the cancellation.
//!
//! No controller reports a job as cancelled before, in whatever response. Each controller finds out
//! by itself, so this holds for repeated requests, for queries, and after a failover. The argument
//! is in `docs/safety.md`, "Cancelled".

use std::collections::{BTreeMap, BTreeSet};

use super::Controller;
use super::revision_history::RevisionHistory;
use crate::lease;
use crate::model::{JobId, MonotonicTime, NodeId, Revision};
use crate::peer::CancellationNotice;
use crate::replica::{EndedJob, Replica, ReplicaChanges};
use crate::wire::{JobAnswer, JobState};

/// Maximum number of cancellations whose acknowledgements are collected at the same time. Further
/// ones become effective when the other controllers' rights expire.
const MAX_PENDING_CANCELLATIONS: usize = 1_024;
/// Maximum number of notices in a message, which bounds its size.
const MAX_NOTICES_PER_MESSAGE: usize = 256;

/// Answer for a job that has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EndedAnswer {
    /// The job's final state.
    Final(JobAnswer),
    /// The job is durably cancelled, but other controllers may still start tasks of it.
    NotEffective {
        /// Milliseconds after which the cancellation is effective at the latest.
        effective_within_ms: u64,
    },
}

impl EndedAnswer {
    /// Returns the job's final state; `None` if its cancellation is not effective yet.
    pub fn into_final(self) -> Option<JobAnswer> {
        match self {
            EndedAnswer::Final(answer) => Some(answer),
            EndedAnswer::NotEffective { .. } => None,
        }
    }
}

/// Cancellation whose acknowledgements are collected.
#[derive(Debug)]
struct PendingCancellation {
    notice: CancellationNotice,
    acknowledged_by: BTreeSet<NodeId>,
}

/// Period in which a controller was not a member.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: MonotonicTime,
    /// Number of changes of the controller's membership at `since`. Another number means that the
    /// controller was a member in between.
    membership_changes: u64,
}

/// Knowledge from which a controller concludes that a cancellation is effective.
#[derive(Debug, Default)]
pub(super) struct CancellationTracker {
    pending: BTreeMap<JobId, PendingCancellation>,
    /// Revisions of the store by the time at which they were reached.
    revisions: RevisionHistory,
    /// Controllers that are not members.
    absences: BTreeMap<NodeId, Absence>,
}

impl CancellationTracker {
    /// Records the revision and the members that the replica shows at `now`.
    pub(super) fn observe(
        &mut self,
        now: MonotonicTime,
        replica: &Replica,
        nodes: impl Iterator<Item = NodeId>,
        retention_ms: u64,
    ) {
        self.revisions.record(now, replica.newest_revision, retention_ms);
        for node in nodes {
            if replica.members.contains_key(&node) {
                self.absences.remove(&node);
                continue;
            }
            let membership_changes =
                replica.membership_changes.get(&node).copied().unwrap_or_default();
            let absence = Absence { since: now, membership_changes };
            let known = self.absences.entry(node).or_insert(absence);
            if known.membership_changes != membership_changes {
                *known = absence;
            }
        }
    }

    /// Returns the milliseconds for which a change of the store has been known to exist.
    fn known_for_ms(&self, now: MonotonicTime, version: Revision) -> u64 {
        self.revisions.reached_at(version).map_or(0, |at| now.since(at))
    }

    /// Returns the milliseconds for which a controller has not been a member.
    fn absent_for_ms(&self, now: MonotonicTime, node: NodeId) -> u64 {
        self.absences.get(&node).map_or(0, |absence| now.since(absence.since))
    }

    fn is_acknowledged(&self, node: NodeId, job: JobId) -> bool {
        self.pending.get(&job).is_some_and(|pending| pending.acknowledged_by.contains(&node))
    }
}

impl Controller {
    /// Returns the answer for an ended job; `None` if the job has not ended or is unknown.
    pub fn ended_answer(&self, now: MonotonicTime, id: JobId) -> Option<EndedAnswer> {
        let end = *self.replica.ended.get(&id)?;
        if end.state != JobState::Cancelled {
            let answer =
                JobAnswer { job: id, state: end.state, done: end.done, running: 0, reason: None };
            return Some(EndedAnswer::Final(answer));
        }
        let effective_within_ms = self.effective_within_ms(now, id, &end);
        if effective_within_ms > 0 {
            return Some(EndedAnswer::NotEffective { effective_within_ms });
        }
        let reason = Some("cancelled by its user".to_string());
        let answer = JobAnswer { job: id, state: end.state, done: end.done, running: 0, reason };
        Some(EndedAnswer::Final(answer))
    }

    /// Returns the milliseconds after which a cancellation is effective at the latest; 0 if it is
    /// effective.
    fn effective_within_ms(&self, now: MonotonicTime, job: JobId, end: &EndedJob) -> u64 {
        let known_for_ms = self.cancellations.known_for_ms(now, end.version);
        self.other_nodes()
            .filter(|node| !self.cancellations.is_acknowledged(*node, job))
            .filter(|node| !self.is_without_rights_since(now, *node, end.version))
            .map(|node| self.start_right_expiry_ms(node).saturating_sub(known_for_ms))
            .max()
            .unwrap_or(0)
    }

    /// Returns the other controllers of the cluster.
    fn other_nodes(&self) -> impl Iterator<Item = NodeId> + use<> {
        let local_node = self.local_node;
        (0..self.nodes.len() as u8).map(NodeId).filter(move |node| *node != local_node)
    }

    /// Returns the milliseconds after which a controller that does not know of a change of the store
    /// may not start tasks any more. Versions without cancellation notices may start tasks for as
    /// long as they may keep workers alive.
    fn start_right_expiry_ms(&self, node: NodeId) -> u64 {
        let keep_alive_ms = self.settings.keep_alive_ms();
        if self.replica.supports_cancellation_notices(node) {
            lease::start_right_expiry_ms(keep_alive_ms)
        } else {
            lease::plus_drift(keep_alive_ms)
        }
    }

    /// Whether a controller had no right to start tasks at a revision not before `version`. It then
    /// gets a right only with a replica that shows this revision. See
    /// [`crate::lease::LeaseRights::may_start`] for members; earlier versions than the one with
    /// this rule are taken to have no right once they have been absent for as long as a right lasts.
    fn is_without_rights_since(&self, now: MonotonicTime, node: NodeId, version: Revision) -> bool {
        if self.replica.revision < version || self.replica.members.contains_key(&node) {
            return false;
        }
        let right_ms = lease::plus_drift(self.settings.keep_alive_ms());
        self.replica.supports_cancellation_acknowledgements(node)
            || self.cancellations.absent_for_ms(now, node) >= right_ms
    }

    /// Records the state of the replica at `now` for later conclusions about cancellations.
    pub(super) fn observe_replica(&mut self, now: MonotonicTime) {
        let retention_ms = lease::plus_drift(self.settings.keep_alive_ms());
        let other_nodes = self.other_nodes();
        self.cancellations.observe(now, &self.replica, other_nodes, retention_ms);
    }

    /// Begins to collect acknowledgements of a cancellation. Returns whether there are notices to
    /// send: the job is cancelled, and the cancellation is not effective yet.
    pub fn collect_acknowledgements(&mut self, now: MonotonicTime, job: JobId) -> bool {
        let Some(EndedJob { done, version, .. }) = self.replica.ended.get(&job).copied() else {
            return false;
        };
        let Some(EndedAnswer::NotEffective { .. }) = self.ended_answer(now, job) else {
            return false;
        };
        self.discard_expired_cancellations(now);
        let pending = &mut self.cancellations.pending;
        if pending.len() < MAX_PENDING_CANCELLATIONS || pending.contains_key(&job) {
            let notice = CancellationNotice { job, done, version };
            pending.entry(job).or_insert_with(|| PendingCancellation {
                notice,
                acknowledged_by: BTreeSet::new(),
            });
        }
        true
    }

    /// Discards the acknowledgements of cancellations that are effective without them.
    fn discard_expired_cancellations(&mut self, now: MonotonicTime) {
        let max_expiry_ms =
            self.other_nodes().map(|node| self.start_right_expiry_ms(node)).max().unwrap_or(0);
        let CancellationTracker { pending, revisions, .. } = &mut self.cancellations;
        pending.retain(|_, cancellation| {
            let reached_at = revisions.reached_at(cancellation.notice.version);
            reached_at.is_none_or(|at| now.since(at) < max_expiry_ms)
        });
    }

    /// Returns the notices that a controller has not acknowledged, as many as fit into one message.
    pub fn unacknowledged_notices(
        &mut self,
        now: MonotonicTime,
        node: NodeId,
    ) -> Vec<CancellationNotice> {
        if !self.replica.supports_cancellation_acknowledgements(node) {
            return Vec::new();
        }
        self.discard_expired_cancellations(now);
        let pending = self.cancellations.pending.values();
        let unacknowledged = pending.filter(|pending| !pending.acknowledged_by.contains(&node));
        unacknowledged.map(|pending| pending.notice).take(MAX_NOTICES_PER_MESSAGE).collect()
    }

    /// Records that a controller knows of the cancellations of these jobs.
    pub fn record_acknowledgements(&mut self, node: NodeId, jobs: &[JobId]) {
        for job in jobs {
            if let Some(pending) = self.cancellations.pending.get_mut(job) {
                pending.acknowledged_by.insert(node);
            }
        }
    }

    /// Applies the notices of a peer. Returns the jobs whose cancellation this controller knows from
    /// now on, which acknowledges them. While the replica is not loaded, none is acknowledged:
    /// the replica that is being read may lack it.
    pub fn apply_cancellation_notices(
        &mut self,
        notices: &[CancellationNotice],
    ) -> (ReplicaChanges, Vec<JobId>) {
        let mut replica_changes = ReplicaChanges::default();
        if !self.loaded {
            return (replica_changes, Vec::new());
        }
        for notice in notices {
            let CancellationNotice { job, done, version } = *notice;
            self.replica.record_cancellation(job, done, version, &mut replica_changes);
        }
        let is_known = |job: &JobId| {
            self.replica.ended.get(job).is_some_and(|end| end.state == JobState::Cancelled)
        };
        let known = notices.iter().map(|notice| notice.job).filter(is_known).collect();
        (replica_changes, known)
    }
}
