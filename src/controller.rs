//! What a controller knows and decides, without any connection: the service's loops bring answers in and carry
//! transactions and messages out. Tests drive the same code.
//!
//! This module owns the state and keeps it in step with the store's replica; the modules below decide on it:
//!
//! - `election`: membership, elections, who leads;
//! - `failover`: the warm standby, which follows the leader and replaces it;
//! - `coordination`: summaries, epochs and plans between the leader and the shards;
//! - `completions`: group writes of completed tasks;
//! - `jobs`: submissions, cancellations and answers to users;
//! - `workers`: heartbeats and direct commands.
//!
//! Invariants: nothing is decided before the store has been read once; a term never goes back; the replica changes only
//! by what the store has confirmed. `docs/safety.md` builds on these.

use std::rc::Rc;

use crate::cluster_view::ClusterView;
use crate::config::{NodeInfo, Settings, StoreLimits};
use crate::leader::Leader;
use crate::lease::LeaseRights;
use crate::model::{ClockReading, Incarnation, MonotonicTime, NodeId, Revision};
use crate::replica::{LeaderRecord, Replica, ReplicaChanges};
use crate::resources::MachineCatalog;
use crate::shard::Shard;
use crate::standby::Standby;
use crate::wire::{self, Change, KeyValue, Txn, WatchResponse};

mod completions;
mod coordination;
mod election;
mod failover;
mod jobs;
mod workers;

pub use election::Candidacy;
pub use jobs::submission_txn;

/// A controller's state.
pub struct Controller {
    /// Settings.
    pub settings: Rc<Settings>,
    /// All controllers.
    pub nodes: Vec<NodeInfo>,
    /// This controller's index among them.
    pub me: NodeId,
    /// This process's incarnation, which tells it from earlier processes of the same controller.
    pub incarnation: Incarnation,
    /// The replica of the store.
    pub replica: Replica,
    /// What this controller may do: answer heartbeats, start tasks, lead.
    pub rights: LeaseRights,
    /// The shard of machines that this controller owns.
    pub shard: Shard,
    /// The leader's state, while this process leads.
    pub leader: Option<Leader>,
    /// Machine types.
    pub catalog: MachineCatalog,
    /// Whether the replica holds the whole store; until then nothing is decided.
    pub loaded: bool,
    /// Whether the last request to the store was served.
    pub store_ok: bool,
    /// When a message or an answer of another controller last arrived.
    pub last_peer_contact: MonotonicTime,
    /// The state service's limits that writes keep to; lowered when it refuses what should fit.
    pub limits: StoreLimits,
    /// A leader of a later term than the replica shows, named by a peer.
    leader_from_peer: Option<LeaderRecord>,
    /// The warm standby, if it is enabled.
    pub standby: Option<Standby>,
}

impl Controller {
    /// A controller that has not read the store yet.
    pub fn new(settings: Rc<Settings>, incarnation: Incarnation) -> Self {
        let (nodes, me) = settings.all_nodes();
        Controller {
            replica: Replica::new(me),
            rights: LeaseRights::new(settings.keep_alive_ms()),
            shard: Shard::new(me, incarnation),
            leader: None,
            catalog: MachineCatalog::new(),
            loaded: false,
            store_ok: false,
            last_peer_contact: MonotonicTime(0),
            leader_from_peer: None,
            standby: None,
            limits: settings.params.store.clone(),
            settings,
            nodes,
            me,
            incarnation,
        }
    }

    /// Halves the limits that writes keep to. The store called a well-formed write malformed, so its limits are lower than
    /// the settings say.
    pub fn lower_store_limits(&mut self) {
        let limits = &mut self.limits;
        limits.txn_ops = (limits.txn_ops / 2).max(2);
        limits.value_kb = (limits.value_kb / 2.0).max(1.0);
        let (value_kb, txn_ops) = (limits.value_kb, limits.txn_ops);
        tracing::warn!(
            value_kb,
            txn_ops,
            "the store refuses what it took before; writing less at once"
        );
    }

    /// Calls `act` with the leader's state, if any, and the view of the cluster that it decides on.
    fn with_cluster_view<T>(
        &mut self,
        now: ClockReading,
        act: impl FnOnce(&mut Option<Leader>, &ClusterView<'_>) -> T,
    ) -> T {
        let cluster = ClusterView {
            now: now.steady,
            wall: now.wall,
            replica: &self.replica,
            synced_at: self.rights.synced_at().unwrap_or_default(),
            served_for_ms: self.rights.served_for(now.steady),
            catalog: &self.catalog,
            completed_tasks: &self.shard.completed_tasks,
            settings: &self.settings,
            limits: &self.limits,
            nodes: &self.nodes,
        };
        act(&mut self.leader, &cluster)
    }

    /// Calls `act` with the leader's state and the view of the cluster; `None` if this process does not lead.
    pub fn with_leader<T>(
        &mut self,
        now: ClockReading,
        act: impl FnOnce(&mut Leader, &ClusterView<'_>) -> T,
    ) -> Option<T> {
        self.with_cluster_view(now, |leader, cluster| {
            leader.as_mut().map(|leader| act(leader, cluster))
        })
    }

    /// Installs the whole store as it was read, `revision` being that of the first page: pages read later may hold newer
    /// items, and versions tell which changes are old.
    pub fn load(&mut self, items: &[KeyValue], revision: Revision) {
        let mut replica = Replica::new(self.me);
        items.iter().for_each(|item| replica.load(item, &mut ReplicaChanges::default()));
        self.install_replica(replica, revision);
    }

    /// Installs a replica into which the whole store was read; `revision` as for [`Controller::load`].
    pub fn install_replica(&mut self, replica: Replica, revision: Revision) {
        self.replica.replace(replica);
        self.replica.revision = revision;
        self.loaded = true;
        self.store_ok = true;
    }

    /// The revision after which the replica needs the changes; `None` before the store has been read. Asked for changes
    /// since the beginning, the store would send all that it has, without a bound on their size.
    pub fn changes_from(&self) -> Option<Revision> {
        self.loaded.then_some(self.replica.revision)
    }

    /// Applies a watch's answer to a request sent at `sent`; `None` if the replica has to be read whole first.
    pub fn apply(
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

    /// Applies a transaction of this controller that was committed at that revision.
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

    /// Acts on what changed in the replica: terms, cancellations, gangs, machine types.
    pub fn follow(&mut self, now: ClockReading, replica_changes: &ReplicaChanges) {
        if replica_changes.leader {
            self.follow_leader_key(now);
        }
        if replica_changes.job_progress {
            self.shard.prune(&self.replica);
        }
        if !replica_changes.cancelled_jobs.is_empty() {
            self.shard.queue_cancellation_kills(&replica_changes.cancelled_jobs);
        }
        if replica_changes.job_progress || replica_changes.new_jobs {
            self.complete_gangs(now.steady);
        }
        if self.catalog.is_empty()
            && let Some(catalog) = self.replica.all_machine_types()
        {
            self.set_machine_types(&catalog);
        }
    }

    /// Replaces the machine types.
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
