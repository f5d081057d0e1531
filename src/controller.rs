//! State and decisions of a controller, without I/O. The service's loops deliver responses to it
//! and execute the transactions and messages that it returns. Tests drive the same code.
//!
//! This module owns the state and applies changes of the store to the replica. The submodules make
//! the decisions:
//!
//! - `election`: membership, elections and the current leader;
//! - `failover`: the warm standby, which follows the leader and replaces it;
//! - `coordination`: summaries, epochs and plans exchanged between the leader and the shards;
//! - `completions`: group writes of completed tasks;
//! - `jobs`: submissions, cancellations and answers to users;
//! - `cancellations`: when users may be told that a job is cancelled;
//! - `workers`: heartbeats and direct commands.
//!
//! Invariants: nothing is decided before the store has been read in full once; terms never
//! decrease; the replica only holds changes that the store has confirmed. `docs/safety.md` relies
//! on them.

use std::rc::Rc;

use crate::cluster_view::ClusterView;
use crate::config::{NodeInfo, Settings, StoreLimits};
use crate::leader::Leader;
use crate::lease::LeaseRights;
use crate::model::{ClockReading, Incarnation, JobId, MonotonicTime, NodeId, Revision};
use crate::replica::{LeaderRecord, Replica, ReplicaChanges};
use crate::resources::MachineCatalog;
use crate::shard::Shard;
use crate::standby::Standby;
use crate::wire::{self, Change, KeyValue, Txn, WatchResponse};

mod cancellations;
mod completions;
mod coordination;
mod election;
mod failover;
mod jobs;
mod revision_history;
mod workers;

use cancellations::CancellationTracker;

pub use cancellations::EndedAnswer;
pub use election::Candidacy;
pub use jobs::submission_txn;

/// State of one controller process.
pub struct Controller {
    /// Settings of this controller and of the cluster.
    pub settings: Rc<Settings>,
    /// All controllers of the cluster, indexed by [`NodeId`].
    pub nodes: Vec<NodeInfo>,
    /// Index of this controller in `nodes`.
    pub local_node: NodeId,
    /// Incarnation of this process. It differs from those of earlier processes of this controller.
    pub incarnation: Incarnation,
    /// Replica of the state service.
    pub replica: Replica,
    /// Lease rights, which decide whether this controller may answer heartbeats, start tasks and
    /// lead.
    pub rights: LeaseRights,
    /// Shard of machines that this controller owns.
    pub shard: Shard,
    /// State of the leader; `None` unless this process leads.
    pub leader: Option<Leader>,
    /// Machine types by name.
    pub catalog: MachineCatalog,
    /// Whether the replica holds the whole store. No decisions are made while it does not.
    pub loaded: bool,
    /// Whether the last request to the store for changes, or a full read after it, succeeded.
    pub store_ok: bool,
    /// Time at which the last message or response of another controller arrived.
    pub last_peer_contact: MonotonicTime,
    /// State service limits that writes observe. They are lowered when the store rejects a write
    /// that fits the settings.
    pub limits: StoreLimits,
    /// Knowledge from which this controller concludes that cancellations are effective.
    cancellations: CancellationTracker,
    /// Leader of a later term than the replica's, as reported by a peer.
    leader_from_peer: Option<LeaderRecord>,
    /// Warm standby; `None` if it is not enabled.
    pub standby: Option<Standby>,
}

impl Controller {
    /// Creates a controller that has not read the store yet.
    pub fn new(settings: Rc<Settings>, incarnation: Incarnation) -> Self {
        let (nodes, local_node) = settings.all_nodes();
        Controller {
            replica: Replica::new(local_node),
            rights: LeaseRights::new(settings.keep_alive_ms()),
            shard: Shard::new(local_node, incarnation),
            leader: None,
            catalog: MachineCatalog::new(),
            loaded: false,
            store_ok: false,
            last_peer_contact: MonotonicTime(0),
            cancellations: CancellationTracker::default(),
            leader_from_peer: None,
            standby: None,
            limits: settings.params.store.clone(),
            settings,
            nodes,
            local_node,
            incarnation,
        }
    }

    /// Halves the limits that writes observe. The store rejected a well-formed write as malformed,
    /// so its actual limits are lower than the configured ones.
    pub fn lower_store_limits(&mut self) {
        let limits = &mut self.limits;
        limits.txn_ops = (limits.txn_ops / 2).max(2);
        limits.value_kb = (limits.value_kb / 2.0).max(1.0);
        let (value_kb, txn_ops) = (limits.value_kb, limits.txn_ops);
        tracing::warn!(
            value_kb,
            txn_ops,
            "state service rejected a write within the limits; halved the write limits"
        );
    }

    /// Calls `act` with the leader's state, which is `None` unless this process leads, and the
    /// cluster view that the leader decides on.
    fn with_cluster_view<T>(
        &mut self,
        now: ClockReading,
        act: impl FnOnce(&mut Option<Leader>, &ClusterView<'_>) -> T,
    ) -> T {
        let cluster = ClusterView {
            now: now.monotonic,
            wall: now.wall,
            replica: &self.replica,
            synced_at: self.rights.synced_at().unwrap_or_default(),
            served_for_ms: self.rights.served_for(now.monotonic),
            catalog: &self.catalog,
            completed_tasks: &self.shard.completed_tasks,
            settings: &self.settings,
            limits: &self.limits,
            nodes: &self.nodes,
        };
        act(&mut self.leader, &cluster)
    }

    /// Calls `act` with the leader's state and the cluster view. Returns `None` if this process
    /// does not lead.
    pub fn with_leader<T>(
        &mut self,
        now: ClockReading,
        act: impl FnOnce(&mut Leader, &ClusterView<'_>) -> T,
    ) -> Option<T> {
        self.with_cluster_view(now, |leader, cluster| {
            leader.as_mut().map(|leader| act(leader, cluster))
        })
    }

    /// Replaces the replica with all items of the store. `revision` is the revision of the first
    /// page; later pages may hold newer items, and each item's version prevents older changes from
    /// overwriting it.
    pub fn load(&mut self, items: &[KeyValue], revision: Revision) {
        let mut replica = Replica::new(self.local_node);
        items.iter().for_each(|item| replica.load(item, &mut ReplicaChanges::default()));
        self.install_replica(replica, revision);
    }

    /// Replaces the replica with one into which the whole store was read. `revision` is the same as
    /// in [`Controller::load`].
    pub fn install_replica(&mut self, replica: Replica, revision: Revision) {
        self.replica.replace(replica);
        self.replica.revision = revision;
        self.loaded = true;
        self.store_ok = true;
    }

    /// Revision after which a watch has to start; `None` unless the replica holds the whole store. A
    /// watch from revision 0 would return the whole store in one response of unbounded size.
    pub fn watch_start_revision(&self) -> Option<Revision> {
        self.loaded.then_some(self.replica.revision)
    }

    /// Applies the response to a watch that was sent at `sent`. Returns `None` if the replica has
    /// to be read in full first.
    pub fn apply_watch_response(
        &mut self,
        changes: &WatchResponse,
        sent: MonotonicTime,
    ) -> Option<ReplicaChanges> {
        if !self.loaded {
            return None;
        }
        self.rights.confirm_sync(sent);
        Some(self.replica.apply(changes))
    }

    /// Applies a transaction of this controller that the store committed at revision `version`.
    pub fn apply_committed(&mut self, txn: &Txn, version: Revision) -> ReplicaChanges {
        let mut replica_changes = ReplicaChanges::default();
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change {
                let item = KeyValue { key: key.clone(), value: value.clone(), version };
                self.replica.load(&item, &mut replica_changes);
            }
        }
        replica_changes
    }

    /// Reacts to changes of the replica: terms, cancellations, gangs and machine types.
    pub fn on_replica_changes(&mut self, now: ClockReading, replica_changes: &ReplicaChanges) {
        self.observe_replica(now.monotonic);
        if replica_changes.leader {
            self.follow_leader_key(now);
        }
        if replica_changes.job_progress {
            self.shard.prune(&self.replica);
        }
        if !replica_changes.cancelled_jobs.is_empty() {
            self.log_cancellations(now.monotonic, &replica_changes.cancelled_jobs);
            self.shard.queue_cancellation_kills(&replica_changes.cancelled_jobs);
        }
        if replica_changes.job_progress || replica_changes.new_jobs {
            self.complete_gangs(now.monotonic);
        }
        if self.catalog.is_empty()
            && let Some(catalog) = self.replica.all_machine_types()
        {
            self.set_machine_types(&catalog);
        }
    }

    /// Logs from when on this controller starts no task of the cancelled jobs.
    fn log_cancellations(&self, now: MonotonicTime, jobs: &[JobId]) {
        let proof_ms = self.rights.sync_age(now);
        let may_start = self.loaded && self.rights.may_start(now);
        for job in jobs {
            tracing::debug!(%job, proof_ms, may_start, "cancellation became known");
        }
    }

    /// Replaces all machine types.
    pub fn set_machine_types(&mut self, catalog: &wire::MachineTypes) {
        self.catalog = catalog
            .machine_types
            .iter()
            .map(|machine_type| (machine_type.name.clone(), machine_type.clone()))
            .collect();
    }
}

#[cfg(test)]
mod tests;
