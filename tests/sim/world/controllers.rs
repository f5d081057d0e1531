//! The loops of a controller, around the same `Controller` that the service drives.

use rand::seq::SliceRandom;

use super::*;

/// What a process does when it is resumed.
enum Resumed {
    ReturnMachines,
    Epoch,
    Summarize,
    Watch,
    /// The messages that reached it meanwhile, in order of arrival.
    Messages(Vec<Message>),
}

impl World {
    pub(super) fn step_node(&mut self, n: usize) {
        let now = self.now;
        if let Err(back) = self.nodes[n] {
            if now < back {
                return;
            }
            self.incarnations += 1;
            let mut text = self.rhythm.settings(self.team_limit);
            if n > 0 {
                // Each node sees itself first; the addresses do not matter here.
                let (me, site) = (format!("host-{n}"), ZONES[n % 2]);
                text = text.replacen(&format!("\"{me}\""), "\"host-x\"", 1);
                text = text.replacen("\"host-0\"", &format!("\"{me}\""), 1);
                text = text.replacen("\"host-x\"", "\"host-0\"", 1);
                text = text.replacen("site = \"a\"", &format!("site = \"{site}\""), 1);
                if n == 1 {
                    text = text.replacen("\"host-0\"\nsite = \"b\"", "\"host-0\"\nsite = \"a\"", 1);
                }
            }
            if let Some((bytes, ops)) = self.next_limits.filter(|_| !self.old[n]) {
                let kb = bytes as f64 / 1024.0;
                let next = format!("[params.state.next]\nvalue_kb = {kb:.1}\ntxn_ops = {ops}\n");
                text += &next;
            }
            let settings = Rc::new(Settings::parse(&text).unwrap());
            let mut controller = Controller::new(settings, Incarnation(self.incarnations));
            assert_eq!(controller.local_node, NodeId(n as u8));
            controller.set_machine_types(&catalog());
            if let Some(standby) = self.standby.clone().filter(|_| !self.old[n]) {
                controller.enable_standby(standby);
            }
            self.nodes[n] = Ok(Node {
                controller,
                started: now,
                next: [now; 4],
                responses_through_store: 0,
                frozen: None,
                held: Vec::new(),
            });
        }
        if self.stays_frozen(n) {
            return;
        }
        self.keep_lease(n);
        self.sync(n);
        if now.is_multiple_of(500) && !self.reaches_store(n) {
            self.ask_who_leads(n);
        }
        self.summarize(n);
        self.watch_leader(n);
        self.run_epoch(n);
        self.announce(n);
    }

    /// Whether a controller's process is stopped. When it goes on, its loops and what has reached it meanwhile come in
    /// any order: an old leader may act before it can learn that it was replaced, and may learn it just before it
    /// answers a heartbeat that has waited.
    pub(super) fn stays_frozen(&mut self, n: usize) -> bool {
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return false };
        let Some(until) = node.frozen else { return false };
        if now < until {
            return true;
        }
        node.frozen = None;
        node.next = [now; 4];
        let held = std::mem::take(&mut node.held);
        let mut activities = [
            Resumed::ReturnMachines,
            Resumed::Epoch,
            Resumed::Messages(held),
            Resumed::Watch,
            Resumed::Summarize,
        ];
        if !self.acts_before_learning {
            activities.shuffle(&mut self.rng);
        }
        for activity in activities {
            match activity {
                Resumed::ReturnMachines => self.return_machines(n),
                Resumed::Epoch => self.run_epoch(n),
                Resumed::Summarize => self.summarize(n),
                Resumed::Watch => self.sync(n),
                Resumed::Messages(held) => held.into_iter().for_each(|m| self.deliver(m)),
            }
        }
        false
    }

    pub(super) fn announce(&mut self, n: usize) {
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let steady = node.moment(now).steady;
        for a in node.controller.direct_messages_due(steady, 8) {
            if let Ok(w) = a.endpoint.parse() {
                let message = Message::Announce(n, w, a, now);
                self.send(Place::Node(n), Place::Worker(w), message);
            }
        }
    }

    pub(super) fn due(&mut self, n: usize, which: usize, every: u64) -> bool {
        let Ok(node) = &mut self.nodes[n] else { return false };
        if self.now < node.next[which] {
            return false;
        }
        node.next[which] = self.now + every;
        true
    }

    /// Commits for a node: `None` if it learns nothing of the outcome.
    pub(super) fn commit(&mut self, n: usize, txn: &Txn) -> Option<TxnOutcome> {
        self.writes += txn.changes.len();
        if !self.reaches_store(n) {
            return None;
        }
        if self.now < self.late_writes_until && self.rng.random_bool(0.33) {
            self.late.push((self.now + self.rng.random_range(2_000..12_000), txn.clone()));
            return None;
        }
        if self.now < self.lost_answers_until && self.rng.random_bool(0.33) {
            self.store.commit(txn);
            return None;
        }
        if self.now < self.slow_until {
            match self.rng.random_range(0..10) {
                0 => {
                    self.late.push((self.now + self.rng.random_range(100..6_000), txn.clone()));
                    return None;
                }
                1 => {
                    // Carried out, answer lost, and carried out once more later.
                    self.store.commit(txn);
                    self.late.push((self.now + 1_000, txn.clone()));
                    return None;
                }
                _ => {}
            }
        }
        self.store.commit(txn)
    }

    pub(super) fn keep_lease(&mut self, n: usize) {
        if !self.due(n, 0, 700) || !self.reaches_store(n) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let sent = node.moment(now).steady;
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
        if self.old[n] {
            txn.changes.iter_mut().for_each(strip_member_for_version_before);
        }
        let done = self.commit(n, &txn);
        if let (Some(TxnOutcome::Committed(_)), Ok(node)) = (done, &mut self.nodes[n]) {
            node.controller.rights.lease = Some(lease);
            node.controller.rights.confirm_renewal(sent);
        }
    }

    pub(super) fn sync(&mut self, n: usize) {
        if self.due(n, 1, 100) {
            self.pull(n);
        }
    }

    pub(super) fn pull(&mut self, n: usize) {
        if !self.reaches_store(n) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let moment = node.moment(now);
        let controller = &mut node.controller;
        if !controller.loaded {
            let (items, revision) = self.store.entries();
            controller.load(&items, revision);
            let all = willowshore::replica::ReplicaChanges { leader: true, ..Default::default() };
            controller.on_replica_changes(moment, &all);
        }
        let changes = self.store.changes_after(controller.replica.revision);
        if let Some(replica_changes) = controller.apply_watch_response(&changes, moment.steady) {
            controller.on_replica_changes(moment, &replica_changes);
        }
        if controller.candidacy(moment.steady).may_run()
            && let Some(txn) = controller.election_txn()
        {
            if let Some(trace) = &mut self.trace {
                trace.record_candidacy(now);
            }
            controller.on_leader_lease_expired(moment.steady);
            self.take_term(n, &txn);
        }
        let Ok(node) = &mut self.nodes[n] else { return };
        if let Some(txn) = node.controller.completions_txn(moment.steady) {
            self.commit(n, &txn);
        }
    }

    pub(super) fn ask_who_leads(&mut self, n: usize) {
        for m in (0..3).filter(|m| *m != n) {
            let reached =
                self.arrival(Place::Node(n), Place::Node(m)).is_some_and(|at| at < self.now + 100);
            let Some(peer) = self.awake(m) else { continue };
            let leader = peer.controller.leader_for_peer(peer.moment(self.now).steady);
            if let (true, Some(leader), Ok(node)) = (reached, leader, &mut self.nodes[n]) {
                node.controller.adopt_leader_from_peer(leader);
            }
        }
    }

    pub(super) fn summarize(&mut self, n: usize) {
        if !self.due(n, 2, 200) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let steady = node.moment(now).steady;
        let Some(leader) = node.controller.leader().map(|l| usize::from(l.0)) else {
            return;
        };
        if leader == n {
            let summary = node.controller.summary(steady, usize::MAX);
            let (response, _) = node.controller.receive_summary(steady, summary);
            node.controller.apply_leader_response(response);
            return;
        }
        // Peers that cannot reach each other go through the store, which takes longer.
        let arrives = self.arrival(Place::Node(n), Place::Node(leader));
        let direct = arrives.is_some_and(|at| at < now + 500);
        let room = if direct { DIRECT_BYTES } else { STORE_MESSAGE_BYTES };
        let Ok(node) = &mut self.nodes[n] else { return };
        let summary = node.controller.summary(steady, room);
        let size = &mut self.largest[usize::from(!direct)];
        *size = (*size).max(peer::encode(&summary).len());
        if direct {
            let message = Message::Summary(n, leader, Box::new(summary), steady);
            self.send(Place::Node(n), Place::Node(leader), message);
        } else {
            self.send_through_store(n, leader, summary);
        }
    }

    pub(super) fn send_through_store(&mut self, n: usize, leader: usize, summary: Summary) {
        if !self.reaches_store(n) || !self.reaches_store(leader) || self.awake(leader).is_none() {
            return;
        }
        let now = self.now;
        if let Ok(node) = &mut self.nodes[n] {
            if now < node.responses_through_store {
                return;
            }
            node.responses_through_store = now + 600;
        }
        let Ok(leader) = &mut self.nodes[leader] else { return };
        let steady = leader.moment(now).steady;
        let (response, _) = leader.controller.receive_summary(steady, summary);
        self.sent += 1;
        self.messages.insert((now + 600, self.sent), Message::PeerResponse(n, response, None));
    }

    pub(super) fn run_epoch(&mut self, n: usize) {
        if !self.due(n, 3, 200) {
            return;
        }
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let moment = node.moment(now);
        let began = Instant::now();
        let Some((epoch, term)) = node.controller.epoch(moment) else { return };
        self.epochs.count += 1;
        self.epochs.total += began.elapsed();
        if node.controller.leader.as_ref().is_some_and(|l| l.renew_term.is_some()) {
            if let Some(txn) = node.controller.election_txn() {
                self.commit(n, &txn);
            }
            self.pull(n);
            return;
        }
        if self.crash_in_epoch == Some(false) && epoch.txn.is_some() {
            self.crash_in_epoch = None;
            return self.crash(n, BACK_MS);
        }
        let durable = match &epoch.txn {
            Some(txn) => match self.commit(n, &txn.clone()) {
                Some(TxnOutcome::Committed(version)) => Some((txn.clone(), version)),
                _ => return self.pull(n),
            },
            None => None,
        };
        if durable.is_some() && self.crash_in_epoch.take_if(|written| *written).is_some() {
            return self.crash(n, BACK_MS);
        }
        let Ok(node) = &mut self.nodes[n] else { return };
        if let Some((txn, version)) = durable {
            let replica_changes = node.controller.apply_committed(&txn, version);
            node.controller.on_replica_changes(moment, &replica_changes);
        }
        let began = Instant::now();
        node.controller.publish(moment, epoch, term);
        self.epochs.total += began.elapsed();
        self.return_machines(n);
    }

    /// The leader returns machines to the cloud; what was returned is replaced, so that the day can end.
    pub(super) fn return_machines(&mut self, n: usize) {
        let now = self.now;
        let Ok(node) = &mut self.nodes[n] else { return };
        let moment = node.moment(now);
        if !node.controller.rights.may_lead(moment.steady) {
            return;
        }
        let scaled_in = node
            .controller
            .with_leader(moment, |leader, cluster| leader.fleet.machines_to_scale_in(cluster))
            .unwrap_or_default();
        if !scaled_in.is_empty() && !self.still_leads(n) {
            return;
        }
        for id in &scaled_in {
            if let Some(w) = (0..self.workers.len()).find(|w| self.workers[*w].name() == *id) {
                let changes = self.workers[w].terminate();
                self.see(w, changes);
            }
        }
        let mut add_provisioned = Vec::new();
        for _ in &scaled_in {
            let id = self.workers.len();
            let mut worker = Worker::new(id, ZONES[id % 2], now + BOOT_MS, self.rhythm);
            worker.hung_until = now + BOOT_MS;
            add_provisioned.push((worker.name(), worker.zone));
            self.workers.push(worker);
        }
        if let Ok(node) = &mut self.nodes[n]
            && let Some(leader) = &mut node.controller.leader
        {
            leader.remove_terminated_machines(&scaled_in);
            for (id, zone) in add_provisioned {
                let offer =
                    MachineOffer { machine_type: "small".into(), zone: zone.into(), spot: false };
                leader.fleet.add_provisioned(moment.steady, &[id], &offer);
            }
        }
    }
}
