//! The loops of a controller process, around the same `Controller` that the service runs.

use rand::seq::SliceRandom;

use super::*;

/// An activity of a process that is resumed.
enum ResumeActivity {
    ReturnMachines,
    Epoch,
    Summarize,
    SyncReplica,
    /// Handles the messages that arrived while the process was suspended, in order of arrival.
    Messages(Vec<Message>),
}

impl World {
    /// Executes the activities of controller `n` that are due. Starts the process first if its restart is due.
    pub(super) fn step_node(&mut self, n: usize) {
        let now = self.now;
        if let Err(restart_at) = self.nodes[n] {
            if now < restart_at {
                return;
            }
            self.last_incarnation += 1;
            let mut text = self.timing.settings(self.team_limit);
            if n > 0 {
                // The settings of a controller list the controller itself first. Addresses are not used in the
                // simulation.
                let (name, site) = (format!("host-{n}"), ZONES[n % 2]);
                text = text.replacen(&format!("\"{name}\""), "\"host-x\"", 1);
                text = text.replacen("\"host-0\"", &format!("\"{name}\""), 1);
                text = text.replacen("\"host-x\"", "\"host-0\"", 1);
                text = text.replacen("site = \"a\"", &format!("site = \"{site}\""), 1);
                if n == 1 {
                    text = text.replacen("\"host-0\"\nsite = \"b\"", "\"host-0\"\nsite = \"a\"", 1);
                }
            }
            if let Some((bytes, ops)) = self.next_limits.filter(|_| !self.old_version[n]) {
                let kb = bytes as f64 / 1024.0;
                let next_limits =
                    format!("[params.state.next]\nvalue_kb = {kb:.1}\ntxn_ops = {ops}\n");
                text += &next_limits;
            }
            let settings = Rc::new(Settings::parse(&text).unwrap());
            let mut controller = Controller::new(settings, Incarnation(self.last_incarnation));
            assert_eq!(controller.local_node, NodeId(n as u8));
            controller.set_machine_types(&catalog());
            if let Some(standby) = self.standby.clone().filter(|_| !self.old_version[n]) {
                controller.enable_standby(standby);
            }
            self.nodes[n] = Ok(Node {
                controller,
                started_at: now,
                next_due: [now; 4],
                next_notices_at: [now; 3],
                next_store_message_at: 0,
                frozen_until: None,
                held_messages: Vec::new(),
            });
        }
        if self.stays_frozen(n) {
            return;
        }
        self.maintain_lease(n);
        self.sync_replica_if_due(n);
        if now.is_multiple_of(500) && !self.reaches_store(n) {
            self.ask_peers_for_leader(n);
        }
        self.summarize(n);
        self.tick_failover(n);
        self.run_epoch(n);
        self.send_direct_messages(n);
        self.send_cancellation_notices(n);
    }

    /// Returns whether the process of controller `n` stays suspended, and resumes the process when its suspension
    /// is over. The activities of a resumed process, one of which handles the held messages, run in random order
    /// unless [`World::acts_before_learning`] is set. A replaced leader may thus act before it can learn of its
    /// replacement, or learn of it just before it answers a held heartbeat.
    pub(super) fn stays_frozen(&mut self, n: usize) -> bool {
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return false };
        let Some(until) = node.frozen_until else { return false };
        if now < until {
            return true;
        }
        node.frozen_until = None;
        node.next_due = [now; 4];
        let held = std::mem::take(&mut node.held_messages);
        let mut activities = [
            ResumeActivity::ReturnMachines,
            ResumeActivity::Epoch,
            ResumeActivity::Messages(held),
            ResumeActivity::SyncReplica,
            ResumeActivity::Summarize,
        ];
        if !self.acts_before_learning {
            activities.shuffle(&mut self.rng);
        }
        for activity in activities {
            match activity {
                ResumeActivity::ReturnMachines => self.return_machines(n),
                ResumeActivity::Epoch => self.run_epoch(n),
                ResumeActivity::Summarize => self.summarize(n),
                ResumeActivity::SyncReplica => self.sync_replica_if_due(n),
                ResumeActivity::Messages(held) => held.into_iter().for_each(|m| self.deliver(m)),
            }
        }
        false
    }

    /// Sends the other controllers the cancellation notices that they have not acknowledged.
    fn send_cancellation_notices(&mut self, n: usize) {
        let now = self.now;
        if !self.sends_cancellation_notices {
            return;
        }
        for to in (0..3).filter(|to| *to != n) {
            let Ok(node) = &mut self.nodes[n] else { return };
            if now < node.next_notices_at[to] {
                continue;
            }
            let monotonic = node.clock_reading(now).monotonic;
            let notices = node.controller.unacknowledged_notices(monotonic, NodeId(to as u8));
            if !notices.is_empty() {
                node.next_notices_at[to] = now + NOTICE_INTERVAL_MS;
                let message = Message::CancellationNotices(n, to, notices);
                self.send(Endpoint::Node(n), Endpoint::Node(to), message);
            }
        }
    }

    /// Sends the direct commands that are due.
    pub(super) fn send_direct_messages(&mut self, n: usize) {
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let monotonic = node.clock_reading(now).monotonic;
        for direct in node.controller.direct_messages_due(monotonic, 8) {
            if let Ok(w) = direct.endpoint.parse() {
                let message = Message::DirectCommands(n, w, direct, now);
                self.send(Endpoint::Node(n), Endpoint::Worker(w), message);
            }
        }
    }

    /// Returns whether an activity of controller `n`, an index of [`Node::next_due`], is due, and schedules the
    /// next one.
    pub(super) fn due(&mut self, n: usize, activity: usize, interval_ms: u64) -> bool {
        let Ok(node) = &mut self.nodes[n] else { return false };
        if self.now < node.next_due[activity] {
            return false;
        }
        node.next_due[activity] = self.now + interval_ms;
        true
    }

    /// Sends a transaction of controller `n` to the store. Returns `None` if the controller does not learn the
    /// outcome; the transaction may have been committed all the same, or be committed later.
    pub(super) fn commit(&mut self, n: usize, txn: &Txn) -> Option<TxnOutcome> {
        self.writes += txn.changes.len();
        if !self.reaches_store(n) {
            return None;
        }
        if self.now < self.late_writes_until && self.rng.random_bool(0.33) {
            self.late_txns.push((self.now + self.rng.random_range(2_000..12_000), txn.clone()));
            return None;
        }
        if self.now < self.lost_store_responses_until && self.rng.random_bool(0.33) {
            self.store.commit(txn);
            return None;
        }
        if self.now < self.slow_store_until {
            match self.rng.random_range(0..10) {
                0 => {
                    self.late_txns
                        .push((self.now + self.rng.random_range(100..6_000), txn.clone()));
                    return None;
                }
                1 => {
                    // The transaction is committed, the response is lost, and a repetition arrives later.
                    self.store.commit(txn);
                    self.late_txns.push((self.now + 1_000, txn.clone()));
                    return None;
                }
                _ => {}
            }
        }
        self.store.commit(txn)
    }

    /// Renews the controller's lease, or obtains one and writes the member record under it.
    pub(super) fn maintain_lease(&mut self, n: usize) {
        if !self.due(n, 0, 700) || !self.reaches_store(n) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let sent = node.clock_reading(now).monotonic;
        if !node.controller.loaded {
            return;
        }
        if let Some(lease) = node.controller.rights.lease {
            if self.store.renew(now, lease) {
                node.controller.rights.confirm_renewal(sent);
            } else {
                node.controller.rights.lose_lease();
            }
            return;
        }
        let lease = self.store.grant(now, CONTROLLER_LEASE_MS);
        let mut txn = node.controller.member_txn(lease);
        if self.old_version[n] {
            txn.changes.iter_mut().for_each(strip_member_record_for_old_version);
        }
        let outcome = self.commit(n, &txn);
        if let (Some(TxnOutcome::Committed(_)), Ok(node)) = (outcome, &mut self.nodes[n]) {
            node.controller.rights.register(lease, sent, sent);
        }
    }

    /// Updates the replica if that is due.
    pub(super) fn sync_replica_if_due(&mut self, n: usize) {
        if self.due(n, 1, 100) {
            self.sync_replica(n);
        }
    }

    /// Loads or updates the replica from the store, runs for leader if possible, and records completed tasks.
    pub(super) fn sync_replica(&mut self, n: usize) {
        if !self.reaches_store(n) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let clock = node.clock_reading(now);
        let controller = &mut node.controller;
        if !controller.loaded {
            let (items, revision) = self.store.entries();
            controller.load(&items, revision);
            let initial_changes =
                willowshore::replica::ReplicaChanges { leader: true, ..Default::default() };
            controller.on_replica_changes(clock, &initial_changes);
        }
        let changes = self.store.changes_after(controller.replica.revision);
        if let Some(replica_changes) = controller.apply_watch_response(&changes, clock.monotonic) {
            controller.on_replica_changes(clock, &replica_changes);
        }
        if controller.candidacy(clock.monotonic).may_run()
            && let Some(txn) = controller.election_txn()
        {
            if let Some(trace) = &mut self.trace {
                trace.record_candidacy(now);
            }
            controller.on_leader_lease_expired(clock.monotonic);
            self.take_term(n, &txn);
        }
        let Ok(node) = &mut self.nodes[n] else { return };
        if let Some(txn) = node.controller.completions_txn(clock.monotonic) {
            self.commit(n, &txn);
        }
    }

    /// Asks the other controllers who leads, as a controller does that the store does not serve.
    pub(super) fn ask_peers_for_leader(&mut self, n: usize) {
        for m in (0..3).filter(|m| *m != n) {
            let reached = self
                .arrival(Endpoint::Node(n), Endpoint::Node(m))
                .is_some_and(|at| at < self.now + 100);
            let Some(peer) = self.running_node(m) else { continue };
            let leader = peer.controller.leader_for_peer(peer.clock_reading(self.now).monotonic);
            if let (true, Some(leader), Ok(node)) = (reached, leader, &mut self.nodes[n]) {
                node.controller.adopt_leader_from_peer(leader);
            }
        }
    }

    /// Sends the summary of controller `n` to the leader, directly or through the store.
    pub(super) fn summarize(&mut self, n: usize) {
        if !self.due(n, 2, 200) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let monotonic = node.clock_reading(now).monotonic;
        let Some(leader) = node.controller.leader().map(|l| usize::from(l.0)) else {
            return;
        };
        if leader == n {
            let summary = node.controller.summary(monotonic, usize::MAX);
            let (response, _) = node.controller.receive_summary(monotonic, summary);
            node.controller.apply_leader_response(response);
            return;
        }
        // Summaries that cannot be sent directly go through the store, which takes longer.
        let arrival = self.arrival(Endpoint::Node(n), Endpoint::Node(leader));
        let direct = arrival.is_some_and(|at| at < now + 500);
        let max_bytes = if direct { MAX_DIRECT_BYTES } else { MAX_STORE_MESSAGE_BYTES };
        let Ok(node) = &mut self.nodes[n] else { return };
        let summary = node.controller.summary(monotonic, max_bytes);
        let largest = &mut self.largest_message_bytes[usize::from(!direct)];
        *largest = (*largest).max(peer::encode(&summary).len());
        if direct {
            let message = Message::Summary(n, leader, Box::new(summary), monotonic);
            self.send(Endpoint::Node(n), Endpoint::Node(leader), message);
        } else {
            self.send_through_store(n, leader, summary);
        }
    }

    /// Sends a summary through the store. The leader handles it at once; its response arrives 600 ms later.
    pub(super) fn send_through_store(&mut self, n: usize, leader: usize, summary: Summary) {
        if !self.reaches_store(n)
            || !self.reaches_store(leader)
            || self.running_node(leader).is_none()
        {
            return;
        }
        let now = self.now;
        if let Ok(node) = &mut self.nodes[n] {
            if now < node.next_store_message_at {
                return;
            }
            node.next_store_message_at = now + 600;
        }
        let Ok(leader) = &mut self.nodes[leader] else { return };
        let monotonic = leader.clock_reading(now).monotonic;
        let (response, _) = leader.controller.receive_summary(monotonic, summary);
        self.messages_sent += 1;
        self.messages
            .insert((now + 600, self.messages_sent), Message::PeerResponse(n, response, None));
    }

    /// Computes an epoch, writes it to the store and publishes it, if controller `n` leads.
    pub(super) fn run_epoch(&mut self, n: usize) {
        if !self.due(n, 3, 200) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let clock = node.clock_reading(now);
        let began = Instant::now();
        let Some((epoch, term)) = node.controller.epoch(clock) else { return };
        self.epochs.count += 1;
        self.epochs.total += began.elapsed();
        if node.controller.leader.as_ref().is_some_and(|l| l.renew_term.is_some()) {
            if let Some(txn) = node.controller.election_txn() {
                self.commit(n, &txn);
            }
            self.sync_replica(n);
            return;
        }
        if self.crash_in_epoch == Some(false) && epoch.txn.is_some() {
            self.crash_in_epoch = None;
            return self.crash(n, RESTART_MS);
        }
        let durable = match &epoch.txn {
            Some(txn) => match self.commit(n, &txn.clone()) {
                Some(TxnOutcome::Committed(version)) => Some((txn.clone(), version)),
                _ => return self.sync_replica(n),
            },
            None => None,
        };
        if durable.is_some() && self.crash_in_epoch.take_if(|after_write| *after_write).is_some() {
            return self.crash(n, RESTART_MS);
        }
        let Ok(node) = &mut self.nodes[n] else { return };
        if let Some((txn, version)) = durable {
            let replica_changes = node.controller.apply_committed(&txn, version);
            node.controller.on_replica_changes(clock, &replica_changes);
        }
        let began = Instant::now();
        node.controller.publish(clock, epoch, term);
        self.epochs.total += began.elapsed();
        self.return_machines(n);
    }

    /// Returns machines to the cloud if controller `n` leads. Each returned machine is replaced by a new one,
    /// so that there are enough machines for all jobs.
    pub(super) fn return_machines(&mut self, n: usize) {
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let clock = node.clock_reading(now);
        if !node.controller.rights.may_lead(clock.monotonic) {
            return;
        }
        let scaled_in = node
            .controller
            .with_leader(clock, |leader, cluster| leader.fleet.machines_to_scale_in(cluster))
            .unwrap_or_default();
        if !scaled_in.is_empty() && !self.still_leads(n) {
            return;
        }
        for id in &scaled_in {
            if let Some(w) = (0..self.workers.len()).find(|w| self.workers[*w].name() == *id) {
                let changes = self.workers[w].terminate();
                self.record_worker_changes(w, changes);
            }
        }
        let mut replacements = Vec::new();
        for _ in &scaled_in {
            let id = self.workers.len();
            let mut worker = Worker::new(id, ZONES[id % 2], now + BOOT_MS, self.timing);
            worker.hung_until = now + BOOT_MS;
            replacements.push((worker.name(), worker.zone));
            self.workers.push(worker);
        }
        if let Ok(node) = &mut self.nodes[n]
            && let Some(leader) = &mut node.controller.leader
        {
            leader.remove_terminated_machines(&scaled_in);
            for (id, zone) in replacements {
                let offer =
                    MachineOffer { machine_type: "small".into(), zone: zone.into(), spot: false };
                leader.fleet.add_provisioned(clock.monotonic, &[id], &offer);
            }
        }
    }
}
