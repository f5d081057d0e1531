//! Membership, elections and the current leader.
//!
//! [`Controller::follow_leader_key`] is the only place where a leadership begins: when the replica
//! shows this process's own leader record. At this time the replica holds all writes of earlier
//! leaders, because their later writes fail on the version of the leader key. `docs/safety.md` has
//! the argument.

use tracing::info;

use super::Controller;
use crate::leader::Leader;
use crate::model::{ClockReading, MonotonicTime, NodeId, Revision, StoreLease, Term};
use crate::replica::{self, LeaderRecord, MemberRecord, TermRecord, Versioned};
use crate::wire::{self, Change, Condition, Txn};

/// Maximum age, in milliseconds, of the proof that the replica is current for answering peers that
/// ask for the leader. The store answers a watch without changes within a second, so a controller
/// that the store serves stays below this age.
const MAX_REPLICA_AGE_FOR_PEERS_MS: u64 = 2_500;

/// Whether a controller may run for leader, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// Not allowed: the store has not been read, or the lease does not permit leading.
    NotEligible,
    /// Not allowed: a process is the leader, possibly this one.
    LeaderExists,
    /// Allowed: there is no leader.
    Vacant,
    /// Allowed at once: the recorded leader is an earlier process of this controller, which is
    /// certainly dead.
    OwnPredecessor,
}

impl Candidacy {
    /// Whether the controller may run for leader.
    pub fn may_run(self) -> bool {
        matches!(self, Candidacy::Vacant | Candidacy::OwnPredecessor)
    }
}

impl Controller {
    /// Follows changes of the term and the leader key, and begins or ends this process's
    /// leadership.
    pub(super) fn follow_leader_key(&mut self, now: ClockReading) {
        let replica_term = self.replica.term;
        if self.shard.begin_term(replica_term) {
            self.log_term(now.monotonic);
        }
        self.leader_from_peer = self.leader_from_peer.take().filter(|r| r.term > replica_term);
        if self.leader_from_peer.is_some() {
            return; // The replica's leader is of an earlier term than the peer's.
        }
        let own_record = self.replica.leader.as_ref().map(|leader| &leader.value);
        let own_record =
            own_record.filter(|r| self.is_this_process(r) && r.term == self.replica.term);
        match (own_record, &self.leader) {
            (Some(record), Some(leader)) if leader.term == record.term => {}
            (Some(record), _) => {
                let term = record.term;
                info!(%term, "leading");
                self.with_cluster_view(now, |leader, cluster| {
                    let previous = leader.take();
                    *leader = Some(Leader::begin(cluster, term, previous));
                });
                self.begin_failover(now, term);
            }
            (None, Some(leader)) => {
                info!(term = %leader.term, "no longer leading");
                self.leader = None;
            }
            (None, None) => {}
        }
        self.follow_another_leader(now.monotonic);
    }

    /// Logs the replica's term, its leader, and the age of the proof that the replica is current.
    fn log_term(&self, now: MonotonicTime) {
        let term = self.replica.term;
        let leader = self.replica.leader.as_ref().map(|leader| &leader.value);
        let leader = leader.filter(|record| record.term == term);
        let leader_name = leader.map_or("unknown", |record| self.name_of(record.node));
        let learned =
            if leader.is_some_and(|r| self.is_this_process(r)) { "own election" } else { "watch" };
        let (proof_ms, revision) = (self.rights.sync_age(now), self.replica.revision.0);
        info!(%term, leader = leader_name, learned, proof_ms, revision, "a term begins");
    }

    /// Returns a controller's name, or `unknown` if the settings do not list it.
    fn name_of(&self, node: NodeId) -> &str {
        self.nodes.get(usize::from(node.0)).map_or("unknown", |info| &info.name)
    }

    /// Returns the leader according to a current replica, for peers that the store does not serve;
    /// `None` if the proof that the replica is current is too old.
    pub fn leader_for_peer(&self, now: MonotonicTime) -> Option<LeaderRecord> {
        let is_current =
            self.rights.sync_age(now).is_some_and(|age| age < MAX_REPLICA_AGE_FOR_PEERS_MS);
        let leader = self.replica.leader.as_ref().map(|leader| &leader.value);
        leader.filter(|r| self.loaded && is_current && r.term == self.replica.term).cloned()
    }

    /// Adopts a leader that a peer reported, if its term is later than the known term. Without
    /// the peer's report, a controller that the store refuses would keep its workers on an old
    /// fencing token until its lease expires, and no task could start on them.
    pub fn adopt_leader_from_peer(&mut self, leader: LeaderRecord) {
        if !self.loaded || leader.term <= self.shard.term() || leader.node == self.local_node {
            return;
        }
        let (term, leader_name) = (leader.term, self.name_of(leader.node));
        info!(%term, leader = leader_name, learned = "peer", "a term begins");
        self.shard.begin_term(term);
        self.leader_from_peer = Some(leader);
        self.leader = None;
    }

    /// Returns the leader that receives this controller's summaries; `None` if no leader is known.
    pub fn leader(&self) -> Option<NodeId> {
        let from_replica = self.replica.leader.as_ref().map(|leader| &leader.value);
        self.leader_from_peer.as_ref().or(from_replica).filter(|_| self.loaded).map(|r| r.node)
    }

    /// Returns the transaction that registers this process as a member. It replaces the record of
    /// this controller's previous process at once.
    pub fn member_txn(&self, lease: StoreLease) -> Txn {
        let key = replica::member_key(self.local_node);
        let version =
            self.replica.members.get(&self.local_node).map_or(Revision(0), |member| member.version);
        let value = wire::to_value(&MemberRecord {
            incarnation: self.incarnation,
            version: env!("CARGO_PKG_VERSION").into(),
            capabilities: replica::CAPABILITIES,
        });
        Txn {
            conditions: vec![Condition { key: key.clone(), version }],
            changes: vec![Change::Put { key, value, lease: Some(lease) }],
        }
    }

    /// Returns whether this controller may run for leader now.
    pub fn candidacy(&self, now: MonotonicTime) -> Candidacy {
        if !self.loaded || !self.rights.may_lead(now) {
            return Candidacy::NotEligible;
        }
        match &self.replica.leader {
            None => Candidacy::Vacant,
            Some(Versioned { value: leader, .. })
                if leader.node == self.local_node && leader.incarnation != self.incarnation =>
            {
                Candidacy::OwnPredecessor
            }
            Some(_) => Candidacy::LeaderExists,
        }
    }

    /// Returns the transaction that takes the next term and replaces the leader key at its version
    /// in the replica; `None` without a lease to bind the key to.
    pub fn election_txn(&self) -> Option<Txn> {
        let lease = self.rights.lease?;
        let term = Term(self.replica.term.0 + 1);
        let leader = LeaderRecord { node: self.local_node, incarnation: self.incarnation, term };
        let version = self.replica.leader.as_ref().map_or(Revision(0), |leader| leader.version);
        let condition = |key: &str, version| Condition { key: key.into(), version };
        let put = |key: &str, value, lease| Change::Put { key: key.into(), value, lease };
        Some(Txn {
            conditions: vec![
                condition(replica::LEADER_KEY, version),
                condition(replica::TERM_KEY, self.replica.term_version),
            ],
            changes: vec![
                put(replica::LEADER_KEY, wire::to_value(&leader), Some(lease)),
                put(replica::TERM_KEY, wire::to_value(&TermRecord { term }), None),
            ],
        })
    }
}
