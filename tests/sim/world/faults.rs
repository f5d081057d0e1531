//! Faults that a simulation injects.

use super::*;

/// Stage of a task at which users cancel its job, and what fails at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightStage {
    /// The shard has received the grant, and is partitioned from the store and the other controllers.
    Granted,
    /// The machine has received the start command, and is partitioned from all controllers.
    Started,
    /// The machine has received the start command, and hangs.
    StartedAndHangs,
}

/// A fault. Values of type `u64` are durations in milliseconds, if not said otherwise, and `usize` indexes of
/// machines, if not said otherwise.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The leader's process crashes and is restarted after 3 s.
    CrashLeader,
    /// The processes of all controllers crash and are restarted after 3 s.
    CrashAll,
    /// The leader's process is suspended and resumed later, without noticing the suspension.
    FreezeLeader(u64),
    /// The process of the controller with this index is suspended and resumed later.
    Freeze(usize, u64),
    /// A machine is partitioned from the controller that owns it, not from the others.
    PartitionWorkerFromOwner(usize, u64),
    /// The controller with this index is partitioned from the other controllers only.
    PartitionControllerFromPeers(usize, u64),
    /// The leader's process crashes in its next epoch that writes to the store: after the write if true, before it
    /// if false.
    CrashInEpoch(bool),
    /// The leader and the first controller in rank to replace it crash together.
    CrashLeaderAndStandby,
    /// The controller that takes the next term crashes at once.
    CrashSuccessor,
    /// The leader and the first controller in rank to replace it are partitioned from each other.
    PartitionLeaderAndStandby(u64),
    /// The store refuses the first controller in rank to replace the leader.
    StoreRefusesStandby(u64),
    /// The leader considers a healthy machine failed, as an old list of the cloud may show it, and is about to
    /// return the machine.
    ListedFailed(usize),
    /// Standbys receive no decisions.
    DecisionLogLag(u64),
    /// The store serves no controller.
    StoreOutage(u64),
    /// The store refuses the leader only.
    StoreRefusesLeader(u64),
    /// A tenth of all transactions is committed up to 6 s late without a response; another tenth is committed
    /// without a response and once more 1 s later.
    SlowStore(u64),
    /// Three in ten responses to heartbeats are lost.
    LostResponses(u64),
    /// A machine is lost with all its tasks.
    WorkerCrash(usize),
    /// A machine is partitioned from all controllers. Packets arrive after the end of the partition if true;
    /// they are lost if false.
    PartitionWorker(usize, u64, bool),
    /// A machine hangs and then continues.
    WorkerHangs(usize, u64),
    /// Machines and controllers of one zone are partitioned from those of the other zone. Packets are delayed
    /// if true.
    PartitionZones(u64, bool),
    /// The leader is partitioned from everything. Packets are delayed if true.
    PartitionLeader(u64, bool),
    /// A user cancels the job with this id, and repeats that until the job is shown as ended.
    CancelAt(u64),
    /// A machine's heartbeats arrive, but neither responses nor direct commands reach the machine.
    UnansweredWorker(usize, u64),
    /// Half of all heartbeats are delivered once more, 1 s to two and a half leases late.
    LateCopies(u64),
    /// The leader's process crashes and is restarted after 200 ms.
    BriefLeaderCrash,
    /// The processes of all controllers crash and are restarted after 200 ms.
    BriefCrashOfAll,
    /// A machine restarts at once without tasks, and its agent epoch and sequence start again.
    WorkerRestart(usize),
    /// The leader is partitioned from the store and the other controllers, not from the machines.
    LeaderOnlyReachesWorkers(u64),
    /// The leader and all machines but two are partitioned from the store and the other controllers, not from
    /// each other.
    LeaderStrandedWithMachines(u64),
    /// A controller that does not lead reaches only its workers and users.
    FollowerOnlyReachesWorkers(u64),
    /// Controllers do not reach each other.
    PeersRefuseConnections(u64),
    /// The given number of machines, those with the lowest indexes, hang at the same time.
    WorkersHang(usize, u64),
    /// The cloud gives notice that it reclaims a machine, and reclaims it after this time.
    SpotReclaimed(usize, u64),
    /// The controller with this index crashes and is restarted with the new version.
    Upgrade(usize),
    /// A machine's heartbeats are lost; direct commands and their responses arrive.
    WorkerReachesNoController(usize, u64),
    /// A third of all transactions is committed 2 to 12 s late, without a response.
    LateWrites(u64),
    /// A third of all transactions is committed at once, and the response is lost.
    LostStoreResponses(u64),
    /// Direct commands arrive only after the fault.
    HoldCommands(u64),
    /// Up to 200 heartbeats are copied. The copies reach every controller within 400 ms of the next change of leader.
    LateCopiesForNextLeader(u64),
    /// Users cancel some jobs while one of their tasks is at the given stage.
    CancelInFlight(InFlightStage, u64),
    /// Users cancel the given number of running jobs; up to eight of their machines hang for the given time.
    CancelNow(usize, u64),
    /// Users cancel jobs at the moment when their last task completes.
    CancelAtEnd(u64),
    /// Users submit new jobs at two controllers at once, cancel some of the jobs immediately, and query and
    /// submit a job again at all controllers as soon as one reports the job as ended.
    AggressivePolling(u64),
    /// The given number of machines is rented and up within 2 s.
    FastBoots(usize),
}

impl Fault {
    /// Returns for how many milliseconds the fault has effects, for some faults including the delay of
    /// messages or transactions.
    pub(super) fn duration_ms(self) -> u64 {
        match self {
            Fault::StoreOutage(ms)
            | Fault::StoreRefusesLeader(ms)
            | Fault::SlowStore(ms)
            | Fault::LostResponses(ms)
            | Fault::PartitionWorker(_, ms, _)
            | Fault::WorkerHangs(_, ms)
            | Fault::PartitionZones(ms, _)
            | Fault::PartitionLeader(ms, _)
            | Fault::UnansweredWorker(_, ms)
            | Fault::LeaderOnlyReachesWorkers(ms)
            | Fault::LeaderStrandedWithMachines(ms)
            | Fault::FollowerOnlyReachesWorkers(ms)
            | Fault::WorkersHang(_, ms)
            | Fault::SpotReclaimed(_, ms)
            | Fault::WorkerReachesNoController(_, ms)
            | Fault::LostStoreResponses(ms)
            | Fault::HoldCommands(ms)
            | Fault::CancelNow(_, ms)
            | Fault::CancelAtEnd(ms)
            | Fault::AggressivePolling(ms)
            | Fault::FreezeLeader(ms)
            | Fault::Freeze(_, ms)
            | Fault::PartitionControllerFromPeers(_, ms)
            | Fault::PartitionWorkerFromOwner(_, ms)
            | Fault::PartitionLeaderAndStandby(ms)
            | Fault::StoreRefusesStandby(ms)
            | Fault::DecisionLogLag(ms)
            | Fault::PeersRefuseConnections(ms) => ms,
            Fault::LateWrites(ms) => ms + 12_000,
            Fault::LateCopiesForNextLeader(ms) => ms,
            // Copies are up to 2.5 worker leases late, 66 s with `SLOW`.
            Fault::LateCopies(ms) => ms + 70_000,
            // Machines are partitioned or hang for up to 0.7 worker leases, 19 s with `SLOW`.
            Fault::CancelInFlight(_, ms) => ms + 20_000,
            _ => 0,
        }
    }
}

impl Fault {
    /// Returns the fault with its duration multiplied by `factor`. For a duration in hundredths of a lease,
    /// `factor` is a hundredth of the lease in milliseconds.
    pub fn scaled(self, factor: u64) -> Fault {
        match self {
            Fault::StoreOutage(t) => Fault::StoreOutage(t * factor),
            Fault::FreezeLeader(t) => Fault::FreezeLeader(t * factor),
            Fault::Freeze(n, t) => Fault::Freeze(n, t * factor),
            Fault::PartitionControllerFromPeers(n, t) => {
                Fault::PartitionControllerFromPeers(n, t * factor)
            }
            Fault::PartitionWorkerFromOwner(w, t) => Fault::PartitionWorkerFromOwner(w, t * factor),
            Fault::PartitionLeaderAndStandby(t) => Fault::PartitionLeaderAndStandby(t * factor),
            Fault::StoreRefusesStandby(t) => Fault::StoreRefusesStandby(t * factor),
            Fault::DecisionLogLag(t) => Fault::DecisionLogLag(t * factor),
            Fault::StoreRefusesLeader(t) => Fault::StoreRefusesLeader(t * factor),
            Fault::SlowStore(t) => Fault::SlowStore(t * factor),
            Fault::LostResponses(t) => Fault::LostResponses(t * factor),
            Fault::PartitionWorker(w, t, hold) => Fault::PartitionWorker(w, t * factor, hold),
            Fault::WorkerHangs(w, t) => Fault::WorkerHangs(w, t * factor),
            Fault::PartitionZones(t, hold) => Fault::PartitionZones(t * factor, hold),
            Fault::PartitionLeader(t, hold) => Fault::PartitionLeader(t * factor, hold),
            Fault::UnansweredWorker(w, t) => Fault::UnansweredWorker(w, t * factor),
            Fault::LateCopies(t) => Fault::LateCopies(t * factor),
            Fault::LeaderOnlyReachesWorkers(t) => Fault::LeaderOnlyReachesWorkers(t * factor),
            Fault::LeaderStrandedWithMachines(t) => Fault::LeaderStrandedWithMachines(t * factor),
            Fault::FollowerOnlyReachesWorkers(t) => Fault::FollowerOnlyReachesWorkers(t * factor),
            Fault::PeersRefuseConnections(t) => Fault::PeersRefuseConnections(t * factor),
            Fault::WorkersHang(n, t) => Fault::WorkersHang(n, t * factor),
            Fault::SpotReclaimed(w, t) => Fault::SpotReclaimed(w, t * factor),
            Fault::WorkerReachesNoController(w, t) => {
                Fault::WorkerReachesNoController(w, t * factor)
            }
            Fault::LateWrites(t) => Fault::LateWrites(t * factor),
            Fault::LostStoreResponses(t) => Fault::LostStoreResponses(t * factor),
            Fault::HoldCommands(t) => Fault::HoldCommands(t * factor),
            Fault::LateCopiesForNextLeader(t) => Fault::LateCopiesForNextLeader(t * factor),
            Fault::CancelNow(n, t) => Fault::CancelNow(n, t * factor),
            Fault::CancelAtEnd(t) => Fault::CancelAtEnd(t * factor),
            Fault::AggressivePolling(t) => Fault::AggressivePolling(t * factor),
            other => other,
        }
    }
}

impl World {
    /// Returns the first controller in rank to replace the leader: one in another zone, if there is one.
    pub(super) fn first_standby(&self) -> usize {
        let leader = self.leader();
        let others = (0..3).filter(|n| *n != leader);
        others.min_by_key(|n| (n % 2 == leader % 2, *n)).unwrap_or(0)
    }

    /// Adds machines that are up within 2 s, before any list of the cloud shows them.
    pub(super) fn scale_out_fast(&mut self, count: usize) {
        let leader = self.leader();
        for _ in 0..count {
            let id = self.workers.len();
            let up_at = self.now + self.rng.random_range(300..2_000);
            let mut worker = Worker::new(id, ZONES[id % 2], up_at, self.timing);
            worker.hung_until = up_at;
            let (name, zone) = (worker.name(), worker.zone);
            self.workers.push(worker);
            // In half of the cases the leader does not learn of the machine, as if the cloud's response were lost.
            if self.rng.random_bool(0.5)
                && let Ok(node) = &mut self.nodes[leader]
            {
                let monotonic = node.clock_reading(self.now).monotonic;
                let offer =
                    MachineOffer { machine_type: "small".into(), zone: zone.into(), spot: false };
                if let Some(leader) = &mut node.controller.leader {
                    leader.fleet.add_provisioned(monotonic, &[name], &offer);
                }
            }
        }
    }

    /// Sends the collected copies of heartbeats to every controller, if the leader has changed since the fault began.
    pub(super) fn deliver_held_copies(&mut self) {
        let leader = self.leader_and_term();
        if self.held_copies.is_empty() || leader.is_none() || leader == self.previous_leader {
            return;
        }
        self.previous_leader = leader;
        for heartbeat in std::mem::take(&mut self.held_copies) {
            for n in 0..3 {
                self.messages_sent += 1;
                let at = self.now + self.rng.random_range(0..400);
                self.messages
                    .insert((at, self.messages_sent), Message::HeartbeatCopy(n, heartbeat.clone()));
            }
        }
    }

    /// Crashes the process of a controller, to be restarted after `restart_ms`.
    pub(super) fn crash(&mut self, node: usize, restart_ms: u64) {
        self.nodes[node] = Err(self.now + restart_ms);
    }

    /// Partitions a controller from the store and the other controllers, not from workers and users.
    pub(super) fn isolate_controller(&mut self, node: usize, ms: u64) {
        let mut rest: BTreeSet<Endpoint> =
            (0..3).filter(|n| *n != node).map(Endpoint::Node).collect();
        rest.insert(Endpoint::Store);
        self.partition([Endpoint::Node(node)].into(), rest, ms, false);
    }

    /// Injects a fault now. Faults that end a leader's term begin a new failover trace.
    pub(super) fn inject(&mut self, fault: Fault) {
        let now = self.now;
        let traced = matches!(
            fault,
            Fault::CrashLeader
                | Fault::FreezeLeader(_)
                | Fault::PartitionLeader(..)
                | Fault::BriefLeaderCrash
                | Fault::StoreRefusesLeader(_)
                | Fault::CrashInEpoch(_)
                | Fault::CrashLeaderAndStandby
        );
        if let Some((_, term)) = self.leader_and_term().filter(|_| traced) {
            self.trace = Some(FailoverTrace::new(now, term));
        }
        match fault {
            Fault::FreezeLeader(ms) => self.freeze(self.leader(), ms),
            Fault::Freeze(n, ms) => self.freeze(n, ms),
            Fault::PartitionWorkerFromOwner(w, ms) => {
                if let Some(owner) = self.owner_of(w) {
                    self.partition(
                        [Endpoint::Worker(w)].into(),
                        [Endpoint::Node(owner)].into(),
                        ms,
                        false,
                    );
                }
            }
            Fault::PartitionControllerFromPeers(n, ms) => {
                let others = (0..3).filter(|m| *m != n).map(Endpoint::Node).collect();
                self.partition([Endpoint::Node(n)].into(), others, ms, false);
            }
            Fault::CrashInEpoch(after_write) => self.crash_in_epoch = Some(after_write),
            Fault::ListedFailed(w) => {
                let (leader, id) = (self.leader(), self.workers[w].name());
                let node = self.nodes[leader].as_mut().ok();
                let leader = node.and_then(|node| node.controller.leader.as_mut());
                if let Some(machine) = leader.and_then(|leader| leader.fleet.machines.get_mut(&id))
                {
                    machine.failed = true;
                }
            }
            Fault::CrashSuccessor => self.crash_successor = true,
            Fault::CrashLeaderAndStandby => {
                let (leader, standby) = (self.leader(), self.first_standby());
                self.crash(leader, RESTART_MS);
                self.crash(standby, RESTART_MS);
            }
            Fault::PartitionLeaderAndStandby(ms) => {
                let (leader, standby) = (self.leader(), self.first_standby());
                self.partition(
                    [Endpoint::Node(leader)].into(),
                    [Endpoint::Node(standby)].into(),
                    ms,
                    false,
                );
            }
            Fault::StoreRefusesStandby(ms) => {
                let standby = self.first_standby();
                self.store_refusals.push((standby, now + ms));
            }
            Fault::DecisionLogLag(ms) => self.decision_log_lags_until = now + ms,
            Fault::CrashLeader => self.crash(self.leader(), RESTART_MS),
            Fault::CrashAll => (0..3).for_each(|n| self.crash(n, RESTART_MS)),
            Fault::BriefLeaderCrash => self.crash(self.leader(), 200),
            Fault::BriefCrashOfAll => (0..3).for_each(|n| self.crash(n, 200)),
            Fault::UnansweredWorker(w, ms) => self.unanswered_workers.push((w, now + ms)),
            Fault::LateCopies(ms) => self.late_copies_until = now + ms,
            Fault::WorkerRestart(w) => {
                let changes = self.workers[w].restart(now);
                self.record_worker_changes(w, changes);
            }
            Fault::LeaderOnlyReachesWorkers(ms) => self.isolate_controller(self.leader(), ms),
            Fault::FollowerOnlyReachesWorkers(ms) => {
                self.isolate_controller((self.leader() + 1) % 3, ms);
            }
            Fault::LeaderStrandedWithMachines(ms) => {
                let node = self.leader();
                let mut here: BTreeSet<Endpoint> =
                    (2..self.workers.len()).map(Endpoint::Worker).collect();
                here.insert(Endpoint::Node(node));
                let mut rest: BTreeSet<Endpoint> =
                    (0..3).filter(|n| *n != node).map(Endpoint::Node).collect();
                rest.insert(Endpoint::Store);
                self.partition(here, rest, ms, false);
            }
            Fault::PeersRefuseConnections(ms) => {
                for n in 0..3 {
                    let rest = (n + 1..3).map(Endpoint::Node).collect();
                    self.partition([Endpoint::Node(n)].into(), rest, ms, false);
                }
            }
            Fault::StoreOutage(ms) => self.store.begin_outage(now, ms),
            Fault::StoreRefusesLeader(ms) => self.store_refusals.push((self.leader(), now + ms)),
            Fault::SlowStore(ms) => self.slow_store_until = now + ms,
            Fault::LostResponses(ms) => self.lost_responses_until = now + ms,
            Fault::WorkerCrash(w) => {
                let changes = self.workers[w].terminate();
                self.record_worker_changes(w, changes);
            }
            Fault::PartitionWorker(w, ms, hold) => {
                let nodes = (0..3).map(Endpoint::Node).collect();
                self.partition([Endpoint::Worker(w)].into(), nodes, ms, hold);
            }
            Fault::WorkerHangs(w, ms) => self.workers[w].hung_until = now + ms,
            Fault::WorkersHang(count, ms) => {
                self.workers.iter_mut().take(count).for_each(|w| w.hung_until = now + ms);
            }
            Fault::PartitionZones(ms, hold) => {
                let side = |zone: usize| -> BTreeSet<Endpoint> {
                    let nodes = (0..3).filter(|n| n % 2 == zone).map(Endpoint::Node);
                    let workers = self.workers.iter().filter(|w| w.id % 2 == zone);
                    nodes.chain(workers.map(|w| Endpoint::Worker(w.id))).collect()
                };
                self.partition(side(0), side(1), ms, hold);
            }
            Fault::PartitionLeader(ms, hold) => {
                let node = self.leader();
                let mut rest: BTreeSet<Endpoint> =
                    (0..3).filter(|n| *n != node).map(Endpoint::Node).collect();
                rest.extend((0..self.workers.len()).map(Endpoint::Worker));
                rest.insert(Endpoint::Store);
                self.partition([Endpoint::Node(node)].into(), rest, ms, hold);
            }
            Fault::SpotReclaimed(w, ms) => self.workers[w].give_spot_notice(now, now + ms),
            Fault::Upgrade(n) => {
                self.old_version[n] = false;
                self.crash(n, RESTART_MS);
            }
            Fault::CancelAt(job) => {
                self.cancel_requested.insert(job);
            }
            Fault::WorkerReachesNoController(w, ms) => {
                self.workers_without_controller.push((w, now + ms))
            }
            Fault::LateWrites(ms) => self.late_writes_until = now + ms,
            Fault::LostStoreResponses(ms) => self.lost_store_responses_until = now + ms,
            Fault::HoldCommands(ms) => self.commands_held_until = now + ms,
            Fault::LateCopiesForNextLeader(ms) => {
                self.collect_copies_until = now + ms;
                self.previous_leader = self.leader_and_term();
            }
            Fault::CancelNow(count, hang_ms) => self.cancel_now(count, hang_ms),
            Fault::CancelInFlight(stage, ms) => self.cancels_in_flight = Some((stage, now + ms)),
            Fault::CancelAtEnd(ms) => self.cancel_at_end_until = now + ms,
            Fault::AggressivePolling(ms) => self.polling_until = now + ms,
            Fault::FastBoots(count) => self.scale_out_fast(count),
        }
    }

    /// Suspends the process of controller `n` for `ms`.
    fn freeze(&mut self, n: usize, ms: u64) {
        if let Ok(node) = &mut self.nodes[n] {
            node.frozen_until = Some(self.now + ms);
        }
    }

    /// Partitions two sets of endpoints from each other for `ms`. Packets are delayed until the end of the
    /// partition if `hold`, otherwise lost.
    pub(super) fn partition(
        &mut self,
        from: BTreeSet<Endpoint>,
        to: BTreeSet<Endpoint>,
        ms: u64,
        hold: bool,
    ) {
        self.partitions.push(Partition { from, to, until: self.now + ms, hold });
    }
}
