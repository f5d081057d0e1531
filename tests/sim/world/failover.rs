//! The loop of the warm standby in simulation, as `service::failover` runs it, and the trace of failovers.

use super::*;

/// What a leader's decision log costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionLogCost {
    /// Bytes sent to standbys.
    pub bytes: u64,
    /// Records that are retained.
    pub records: usize,
    /// Entries of the state that the decisions add up to.
    pub entries: usize,
}

impl World {
    /// Commits the transaction that takes the next term.
    pub(super) fn take_term(&mut self, n: usize, txn: &Txn) {
        let outcome = self.commit(n, txn);
        let now = self.now;
        if matches!(outcome, Some(TxnOutcome::Committed(_)))
            && std::mem::take(&mut self.crash_successor)
        {
            return self.crash(n, BACK_MS);
        }
        if let Ok(node) = &mut self.nodes[n] {
            let steady = node.moment(now).steady;
            node.controller.on_fence_completed(steady, outcome.as_ref());
        }
    }

    /// Ticks the failover of a controller and executes its command.
    pub(super) fn watch_leader(&mut self, n: usize) {
        let now = self.now;
        if !now.is_multiple_of(100) {
            return;
        }
        let Ok(node) = &mut self.nodes[n] else { return };
        let steady = node.moment(now).steady;
        match node.controller.standby_tick(steady) {
            Some(FailoverCommand::ProbeLeader(_)) => self.probe_leader(n),
            Some(FailoverCommand::QueryPeers(term)) => self.query_peers(n, term),
            Some(FailoverCommand::Fence(_)) => self.fence_leader(n),
            Some(FailoverCommand::Verify(_)) | None => {}
        }
    }

    /// Probes the leader. A process that is down refuses at once; one that is stopped or partitioned does not respond.
    pub(super) fn probe_leader(&mut self, n: usize) {
        let now = self.now;
        let leader = self.nodes[n].as_ref().ok().and_then(|node| node.controller.leader());
        let Some(leader) = leader.map(|leader| usize::from(leader.0)) else { return };
        let arrivals = [(n, leader), (leader, n)]
            .map(|(from, to)| self.arrival(Place::Node(from), Place::Node(to)));
        let reached = arrivals.iter().all(|at| at.is_some_and(|at| at < now + PROBE_MS));
        let outcome = match (&self.nodes[leader], reached) {
            (Ok(node), true) if node.frozen.is_none() => match node.controller.leader {
                Some(_) => ProbeOutcome::Responded,
                None => ProbeOutcome::Refused,
            },
            (Err(_), true) => ProbeOutcome::Refused,
            _ => ProbeOutcome::NoResponse,
        };
        let takes_ms = if outcome == ProbeOutcome::NoResponse { PROBE_MS } else { 20 };
        self.sent += 1;
        self.messages.insert((now + takes_ms, self.sent), Message::Probed(n, outcome));
    }

    /// Queries the others when they last heard the leader; responses arrive within the same step.
    pub(super) fn query_peers(&mut self, n: usize, term: Term) {
        let now = self.now;
        for m in (0..3).filter(|m| *m != n) {
            let reached =
                self.arrival(Place::Node(n), Place::Node(m)).is_some_and(|at| at < now + 100);
            let Some(peer) = self.awake(m).filter(|_| reached && !self.old[m]) else { continue };
            let silence_ms = peer.controller.leader_silence_ms(peer.moment(now).steady, term);
            let observation = PeerObservation { node: NodeId(m as u8), silence_ms };
            let Ok(node) = &mut self.nodes[n] else { return };
            let steady = node.moment(now).steady;
            if let Some(FailoverCommand::Fence(_)) =
                node.controller.on_peer_observation(steady, observation)
            {
                return self.fence_leader(n);
            }
        }
    }

    /// Takes the next term after a majority agreed that the leader is silent.
    pub(super) fn fence_leader(&mut self, n: usize) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.record_candidacy(now);
        }
        let txn = self.nodes[n].as_ref().ok().and_then(|node| node.controller.election_txn());
        if let Some(txn) = txn {
            self.take_term(n, &txn);
            self.pull(n);
        }
    }

    /// Whether a controller still leads, proven by the store: checked before actions that no condition fences.
    pub(super) fn still_leads(&mut self, n: usize) -> bool {
        if self.standby.is_none() {
            return true;
        }
        let check =
            self.nodes[n].as_ref().ok().and_then(|node| node.controller.leadership_check_txn());
        let outcome = check.and_then(|txn| self.commit(n, &txn));
        if let Some(TxnOutcome::ConditionsFailed(_)) = outcome {
            self.refused_actions += 1;
        }
        matches!(outcome, Some(TxnOutcome::Committed(_)))
    }

    /// Counts changes of leader and traces the failover.
    pub(super) fn observe_failover(&mut self) {
        let leader = self.nodes.iter().flatten().filter(|node| node.frozen.is_none());
        let leader = leader.filter(|node| node.controller.leader.is_some());
        let leader =
            leader.max_by_key(|node| node.controller.leader.as_ref().map(|leader| leader.term));
        let led = leader
            .map(|node| (usize::from(node.controller.local_node.0), node.controller.incarnation.0));
        if led.is_some() && led != self.last_led {
            self.changes_of_leader += 1;
            self.last_led = led;
        }
        let leader = leader.and_then(|node| node.controller.leader.as_ref());
        let observed = Observed {
            stored_term: self.store.recorded_term(),
            leader: leader.map(|leader| ObservedLeader {
                term: leader.term.0,
                machines: leader.fleet.machines.len(),
                unreconciled: leader.fleet.unreconciled.len(),
                published: leader.published_plan().0 > 0,
            }),
        };
        if let Some(trace) = &mut self.trace {
            trace.observe(self.now, &observed);
        }
    }

    /// What the leader's last failover found of the mirrored records, and the divergences of its copy.
    pub fn verification_of_leader(&self) -> (VerificationCounts, u64) {
        let node = self.leads().and_then(|(n, _)| self.nodes[n].as_ref().ok());
        let standby = node.and_then(|node| node.controller.standby.as_ref());
        standby.map_or_else(Default::default, |standby| {
            (standby.verification(), standby.mirror().counters().divergences)
        })
    }

    /// What the leader's decision log costs; nothing if there is none.
    pub fn log_of_leader(&self) -> DecisionLogCost {
        let node = self.leads().and_then(|(n, _)| self.nodes[n].as_ref().ok());
        let log = node.and_then(|node| node.controller.standby.as_ref()?.decision_log());
        log.map_or_else(DecisionLogCost::default, |log| DecisionLogCost {
            bytes: log.bytes_sent(),
            records: log.retained(),
            entries: log.state().len(),
        })
    }
}
