//! Membership, elections and who leads.
//!
//! A leadership begins in one place only, [`Controller::follow_leader_key`]: when the replica shows this process's own
//! leader record. By then the replica also holds all that earlier leaders wrote, as their later writes fail on the
//! leader key's version. `docs/safety.md` has the argument.

use tracing::info;

use super::Controller;
use crate::leader::Leader;
use crate::model::{ClockReading, MonotonicTime, NodeId, Revision, StoreLease, Term};
use crate::replica::{self, LeaderRecord, MemberRecord, TermRecord, Versioned};
use crate::wire::{self, Change, Condition, Txn};

/// How old, in milliseconds, the proof may be that the replica is current when peers ask who leads. A watch that
/// brings nothing is answered within a second, so a served controller stays below this.
const LEADER_FRESHNESS_MS: u64 = 2_500;

/// Whether a controller may run for leader, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// It may not: it has not read the store, or its lease does not allow it to lead.
    NotEligible,
    /// It may not: another process leads, or this one does already.
    LeaderExists,
    /// It may: nobody leads.
    Vacant,
    /// It may, at once: the leader on record is an earlier process of this controller, which is certainly dead.
    OwnPredecessor,
}

impl Candidacy {
    /// Whether the controller may run.
    pub fn may_run(self) -> bool {
        matches!(self, Candidacy::Vacant | Candidacy::OwnPredecessor)
    }
}

impl Controller {
    /// Follows changes of term and leader, and begins or ends this process's leadership.
    pub(super) fn follow_leader_key(&mut self, now: ClockReading) {
        let replica_term = self.replica.term;
        if self.shard.begin_term(replica_term) {
            self.log_term(now.steady);
        }
        self.leader_from_peer = self.leader_from_peer.take().filter(|r| r.term > replica_term);
        if self.leader_from_peer.is_some() {
            return; // What the replica shows is of an earlier term.
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
        self.follow_another_leader(now.steady);
    }

    /// Logs who leads the term that the replica shows, and how old the proof is that the replica was current.
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

    /// The name of a controller.
    fn name_of(&self, node: NodeId) -> &str {
        self.nodes.get(usize::from(node.0)).map_or("unknown", |info| &info.name)
    }

    /// The leader according to a replica that is current, for peers that the store does not serve; `None` if this replica
    /// is too old to say.
    pub fn leader_for_peer(&self, now: MonotonicTime) -> Option<LeaderRecord> {
        let fresh = self.rights.sync_age(now).is_some_and(|age| age < LEADER_FRESHNESS_MS);
        let leader = self.replica.leader.as_ref().map(|leader| &leader.value);
        leader.filter(|r| self.loaded && fresh && r.term == self.replica.term).cloned()
    }

    /// Adopts the leader that a peer named, if its term is later than the one known here. A controller that the store
    /// refuses would otherwise keep its workers under an old fencing token until its lease expires, and nothing could
    /// start on them.
    pub fn adopt_leader_from_peer(&mut self, leader: LeaderRecord) {
        if !self.loaded || leader.term <= self.shard.term() || leader.node == self.me {
            return;
        }
        let (term, leader_name) = (leader.term, self.name_of(leader.node));
        info!(%term, leader = leader_name, learned = "peer", "a term begins");
        self.shard.begin_term(term);
        self.leader_from_peer = Some(leader);
        self.leader = None;
    }

    /// The leader that this controller's shard sends its summaries to.
    pub fn leader(&self) -> Option<NodeId> {
        let from_replica = self.replica.leader.as_ref().map(|leader| &leader.value);
        self.leader_from_peer.as_ref().or(from_replica).filter(|_| self.loaded).map(|r| r.node)
    }

    /// The transaction that registers this process as a member; it replaces the record of the controller's previous
    /// process at once.
    pub fn member_txn(&self, lease: StoreLease) -> Txn {
        let key = replica::member_key(self.me);
        let version =
            self.replica.members.get(&self.me).map_or(Revision(0), |member| member.version);
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

    /// Whether this controller may run for leader now.
    pub fn candidacy(&self, now: MonotonicTime) -> Candidacy {
        if !self.loaded || !self.rights.may_lead(now) {
            return Candidacy::NotEligible;
        }
        match &self.replica.leader {
            None => Candidacy::Vacant,
            Some(Versioned { value: leader, .. })
                if leader.node == self.me && leader.incarnation != self.incarnation =>
            {
                Candidacy::OwnPredecessor
            }
            Some(_) => Candidacy::LeaderExists,
        }
    }

    /// The transaction that takes the next term, replacing the leader's key as it is known
    /// here; `None` without a lease for it to hang on.
    pub fn election_txn(&self) -> Option<Txn> {
        let lease = self.rights.lease?;
        let term = Term(self.replica.term.0 + 1);
        let leader = LeaderRecord { node: self.me, incarnation: self.incarnation, term };
        let version = self.replica.leader.as_ref().map_or(Revision(0), |leader| leader.version);
        let condition = |key: &str, version| Condition { key: key.into(), version };
        let set = |key: &str, value, lease| Change::Put { key: key.into(), value, lease };
        Some(Txn {
            conditions: vec![
                condition(replica::LEADER_KEY, version),
                condition(replica::TERM_KEY, self.replica.term_version),
            ],
            changes: vec![
                set(replica::LEADER_KEY, wire::to_value(&leader), Some(lease)),
                set(replica::TERM_KEY, wire::to_value(&TermRecord { term }), None),
            ],
        })
    }
}
