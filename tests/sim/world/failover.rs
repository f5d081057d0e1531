//! The loop of the warm standby, as `service::failover` runs it, and the observation of failovers.

use super::*;

/// Size of a leader's decision log.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionLogCost {
    /// Bytes sent to standbys since the leader was elected.
    pub bytes: u64,
    /// Records that the leader retains for standbys.
    pub records: usize,
    /// Entries of the state that results from all decisions.
    pub entries: usize,
}

impl World {
    /// Sends the transaction by which controller `n` takes the next term, and passes the outcome to the controller.
    pub(super) fn take_term(&mut self, n: usize, txn: &Txn) {
        let outcome = self.commit(n, txn);
        let now = self.now;
        if matches!(outcome, Some(TxnOutcome::Committed(_)))
            && std::mem::take(&mut self.crash_successor)
        {
            return self.crash(n, RESTART_MS);
        }
        if let Ok(node) = &mut self.nodes[n] {
            let steady = node.clock_reading(now).steady;
            node.controller.on_fence_completed(steady, outcome.as_ref());
        }
    }

    /// Advances the failover state of controller `n` every 100 ms and executes the resulting command.
    pub(super) fn tick_failover(&mut self, n: usize) {
        let now = self.now;
        if !now.is_multiple_of(100) {
            return;
        }
        let Ok(node) = &mut self.nodes[n] else { return };
        let steady = node.clock_reading(now).steady;
        match node.controller.standby_tick(steady) {
            Some(FailoverCommand::ProbeLeader(_)) => self.probe_leader(n),
            Some(FailoverCommand::QueryPeers(term)) => self.query_peers(n, term),
            Some(FailoverCommand::Fence(_)) => self.fence_leader(n),
            Some(FailoverCommand::Verify(_)) | None => {}
        }
    }

    /// Probes the leader. A process that is down or does not lead refuses at once; a process that is suspended
    /// or partitioned does not respond.
    pub(super) fn probe_leader(&mut self, n: usize) {
        let now = self.now;
        let leader = self.nodes[n].as_ref().ok().and_then(|node| node.controller.leader());
        let Some(leader) = leader.map(|leader| usize::from(leader.0)) else { return };
        let arrivals = [(n, leader), (leader, n)]
            .map(|(from, to)| self.arrival(Endpoint::Node(from), Endpoint::Node(to)));
        let reached = arrivals.iter().all(|at| at.is_some_and(|at| at < now + PROBE_TIMEOUT_MS));
        let outcome = match (&self.nodes[leader], reached) {
            (Ok(node), true) if node.frozen_until.is_none() => match node.controller.leader {
                Some(_) => ProbeOutcome::Responded,
                None => ProbeOutcome::Refused,
            },
            (Err(_), true) => ProbeOutcome::Refused,
            _ => ProbeOutcome::NoResponse,
        };
        let delay_ms = if outcome == ProbeOutcome::NoResponse { PROBE_TIMEOUT_MS } else { 20 };
        self.messages_sent += 1;
        self.messages.insert((now + delay_ms, self.messages_sent), Message::Probed(n, outcome));
    }

    /// Asks the other controllers for how long they have not heard the leader of `term`. Responses arrive
    /// within the step.
    pub(super) fn query_peers(&mut self, n: usize, term: Term) {
        let now = self.now;
        for m in (0..3).filter(|m| *m != n) {
            let reached =
                self.arrival(Endpoint::Node(n), Endpoint::Node(m)).is_some_and(|at| at < now + 100);
            let Some(peer) = self.running_node(m).filter(|_| reached && !self.old_version[m])
            else {
                continue;
            };
            let silence_ms =
                peer.controller.leader_silence_ms(peer.clock_reading(now).steady, term);
            let observation = PeerObservation { node: NodeId(m as u8), silence_ms };
            let Ok(node) = &mut self.nodes[n] else { return };
            let steady = node.clock_reading(now).steady;
            if let Some(FailoverCommand::Fence(_)) =
                node.controller.on_peer_observation(steady, observation)
            {
                return self.fence_leader(n);
            }
        }
    }

    /// Takes the next term, as a majority of the controllers does not hear the leader or the leader refuses
    /// connections.
    pub(super) fn fence_leader(&mut self, n: usize) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.record_candidacy(now);
        }
        let txn = self.nodes[n].as_ref().ok().and_then(|node| node.controller.election_txn());
        if let Some(txn) = txn {
            self.take_term(n, &txn);
            self.sync_replica(n);
        }
    }

    /// Returns whether the store confirms that controller `n` still leads. Called before actions outside the store,
    /// which no condition of a transaction guards. Always true without the warm standby.
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

    /// Counts changes of the leader's process, and records the phases of a failover.
    pub(super) fn observe_failover(&mut self) {
        let leader = self.nodes.iter().flatten().filter(|node| node.frozen_until.is_none());
        let leader = leader.filter(|node| node.controller.leader.is_some());
        let leader =
            leader.max_by_key(|node| node.controller.leader.as_ref().map(|leader| leader.term));
        let leader_process = leader
            .map(|node| (usize::from(node.controller.local_node.0), node.controller.incarnation.0));
        if leader_process.is_some() && leader_process != self.last_leader {
            self.changes_of_leader += 1;
            self.last_leader = leader_process;
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

    /// Returns how the leader's last failover verified the mirrored records, and the number of divergences of
    /// its mirror.
    pub fn verification_of_leader(&self) -> (VerificationCounts, u64) {
        let node = self.leader_and_term().and_then(|(n, _)| self.nodes[n].as_ref().ok());
        let standby = node.and_then(|node| node.controller.standby.as_ref());
        standby.map_or_else(Default::default, |standby| {
            (standby.verification(), standby.mirror().counters().divergences)
        })
    }

    /// Returns the size of the leader's decision log; zeros if there is none.
    pub fn decision_log_cost_of_leader(&self) -> DecisionLogCost {
        let node = self.leader_and_term().and_then(|(n, _)| self.nodes[n].as_ref().ok());
        let log = node.and_then(|node| node.controller.standby.as_ref()?.decision_log());
        log.map_or_else(DecisionLogCost::default, |log| DecisionLogCost {
            bytes: log.bytes_sent(),
            records: log.retained(),
            entries: log.state().len(),
        })
    }
}
