//! The faults of the simulation.

use super::*;

/// How far a task has come whose job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnderWay {
    /// Its shard gets the grant, and is cut off from the store and the other controllers.
    Granted,
    /// Its machine gets the start, and is cut off from all controllers.
    Started,
    /// The same, and the machine hangs.
    StartedAndHangs,
}

/// A failure, for so many milliseconds where it lasts.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    CrashLeader,
    CrashAll,
    /// The leader's process is stopped and goes on later as if nothing had been.
    FreezeLeader(u64),
    /// That controller's process is stopped and goes on later.
    Freeze(usize, u64),
    /// A machine does not reach the controller that owns it; it reaches the others.
    PartitionWorkerFromOwner(usize, u64),
    /// That controller is cut off from the other controllers only.
    PartitionControllerFromPeers(usize, u64),
    /// The leader's process ends in its next epoch that writes something: after the write, or before it.
    CrashInEpoch(bool),
    /// The leader and the first in rank to replace it end together.
    CrashLeaderAndStandby,
    /// Whoever takes the next term ends as it has taken it.
    CrashSuccessor,
    /// The leader and the first in rank to replace it do not reach each other.
    PartitionLeaderAndStandby(u64),
    /// The store refuses the first in rank to replace the leader.
    StoreRefusesStandby(u64),
    /// The leader takes a machine that is well for failed, as an old list of the cloud may say, and is about to return
    /// it.
    ListedFailed(usize),
    /// Standbys get no decisions for that long.
    DecisionLogLag(u64),
    StoreOutage(u64),
    /// The store refuses the leader alone.
    StoreRefusesLeader(u64),
    /// Transactions are carried out late, or without an answer.
    SlowStore(u64),
    /// Answers to workers get lost now and then.
    LostResponses(u64),
    WorkerCrash(usize),
    /// A machine is cut off; packets are held if true.
    PartitionWorker(usize, u64, bool),
    WorkerHangs(usize, u64),
    PartitionZones(u64, bool),
    /// The leader is cut off from everything.
    PartitionLeader(u64, bool),
    /// The user cancels a job, and gets the confirmation.
    CancelAt(u64),
    /// A machine's heartbeats arrive; no response reaches it.
    UnansweredWorker(usize, u64),
    /// Every heartbeat is delivered once more, up to well over a lease late.
    LateCopies(u64),
    /// The leader's process is back in a fraction of a second.
    BriefLeaderCrash,
    /// All processes are.
    BriefCrashOfAll,
    /// A machine is back at once with nothing on it and counts from 1 again.
    WorkerRestart(usize),
    /// The leader loses the store and the other controllers, not its workers.
    LeaderOnlyReachesWorkers(u64),
    /// The leader and all but two machines are cut off from the store and the other controllers, not from
    /// each other.
    LeaderStrandedWithMachines(u64),
    /// Controllers refuse each other's connections.
    PeersRefuseConnections(u64),
    /// The first so many machines hang together.
    WorkersHang(usize, u64),
    /// The cloud takes a machine after that time, with notice.
    SpotReclaimed(usize, u64),
    /// A controller is exchanged for the new version.
    Upgrade(usize),
    /// A machine reaches no controller; direct commands and their answers still pass.
    WorkerReachesNoController(usize, u64),
    /// A third of all transactions gets no answer and is carried out 2 to 12 s later.
    LateWrites(u64),
    /// A third of all transactions is carried out at once, and only the answer is lost.
    LostStoreResponses(u64),
    /// Direct commands are held up until it is over.
    HoldCommands(u64),
    /// Heartbeats are copied for that long, and the copies reach every controller 200 ms after the next
    /// leader has begun.
    LateCopiesForNextLeader(u64),
    /// For that long users cancel some jobs just as one of their tasks is under way.
    CancelUnderWay(UnderWay, u64),
    /// Users cancel that many jobs that run; up to eight of their machines hang that long.
    CancelNow(usize, u64),
    /// Jobs are cancelled at the moment of their end.
    CancelAtEnd(u64),
    /// Users ask and submit at all controllers right after any answer.
    AggressivePolling(u64),
    /// That many machines are scaled out and up within 2 s.
    FastBoots(usize),
}

impl Fault {
    /// How long it lasts, with what it holds back.
    pub(super) fn lasts(self) -> u64 {
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
            Fault::LateCopies(ms) => ms + 70_000,
            Fault::CancelUnderWay(_, ms) => ms + 20_000,
            _ => 0,
        }
    }
}

impl Fault {
    /// The same with its times, in hundredths of something, at that scale.
    pub fn scaled(self, by: u64) -> Fault {
        match self {
            Fault::StoreOutage(t) => Fault::StoreOutage(t * by),
            Fault::FreezeLeader(t) => Fault::FreezeLeader(t * by),
            Fault::Freeze(n, t) => Fault::Freeze(n, t * by),
            Fault::PartitionControllerFromPeers(n, t) => {
                Fault::PartitionControllerFromPeers(n, t * by)
            }
            Fault::PartitionWorkerFromOwner(w, t) => Fault::PartitionWorkerFromOwner(w, t * by),
            Fault::PartitionLeaderAndStandby(t) => Fault::PartitionLeaderAndStandby(t * by),
            Fault::StoreRefusesStandby(t) => Fault::StoreRefusesStandby(t * by),
            Fault::DecisionLogLag(t) => Fault::DecisionLogLag(t * by),
            Fault::StoreRefusesLeader(t) => Fault::StoreRefusesLeader(t * by),
            Fault::SlowStore(t) => Fault::SlowStore(t * by),
            Fault::LostResponses(t) => Fault::LostResponses(t * by),
            Fault::PartitionWorker(w, t, hold) => Fault::PartitionWorker(w, t * by, hold),
            Fault::WorkerHangs(w, t) => Fault::WorkerHangs(w, t * by),
            Fault::PartitionZones(t, hold) => Fault::PartitionZones(t * by, hold),
            Fault::PartitionLeader(t, hold) => Fault::PartitionLeader(t * by, hold),
            Fault::UnansweredWorker(w, t) => Fault::UnansweredWorker(w, t * by),
            Fault::LateCopies(t) => Fault::LateCopies(t * by),
            Fault::LeaderOnlyReachesWorkers(t) => Fault::LeaderOnlyReachesWorkers(t * by),
            Fault::LeaderStrandedWithMachines(t) => Fault::LeaderStrandedWithMachines(t * by),
            Fault::PeersRefuseConnections(t) => Fault::PeersRefuseConnections(t * by),
            Fault::WorkersHang(n, t) => Fault::WorkersHang(n, t * by),
            Fault::SpotReclaimed(w, t) => Fault::SpotReclaimed(w, t * by),
            Fault::WorkerReachesNoController(w, t) => Fault::WorkerReachesNoController(w, t * by),
            Fault::LateWrites(t) => Fault::LateWrites(t * by),
            Fault::LostStoreResponses(t) => Fault::LostStoreResponses(t * by),
            Fault::HoldCommands(t) => Fault::HoldCommands(t * by),
            Fault::LateCopiesForNextLeader(t) => Fault::LateCopiesForNextLeader(t * by),
            Fault::CancelNow(n, t) => Fault::CancelNow(n, t * by),
            Fault::CancelAtEnd(t) => Fault::CancelAtEnd(t * by),
            Fault::AggressivePolling(t) => Fault::AggressivePolling(t * by),
            other => other,
        }
    }
}

impl World {
    /// The controller that is the first to replace the leader: one of another zone.
    pub(super) fn first_standby(&self) -> usize {
        let leader = self.leader();
        let others = (0..3).filter(|n| *n != leader);
        others.min_by_key(|n| (n % 2 == leader % 2, *n)).unwrap_or(0)
    }

    /// Machines are scaled out and up within 2 s, before any list shows them.
    pub(super) fn quick_boots(&mut self, count: usize) {
        let leader = self.leader();
        for _ in 0..count {
            let id = self.workers.len();
            let up = self.now + self.rng.random_range(300..2_000);
            let mut worker = Worker::new(id, ZONES[id % 2], up, self.rhythm);
            worker.hung_until = up;
            let (name, zone) = (worker.name(), worker.zone);
            self.workers.push(worker);
            // The leader may end before the cloud's answer reaches it.
            if self.rng.random_bool(0.5)
                && let Ok(node) = &mut self.nodes[leader]
            {
                let steady = node.moment(self.now).steady;
                let offer =
                    MachineOffer { machine_type: "small".into(), zone: zone.into(), spot: false };
                if let Some(leader) = &mut node.controller.leader {
                    leader.fleet.add_provisioned(steady, &[name], &offer);
                }
            }
        }
    }

    /// Copies of heartbeats that were held for the next leader reach every controller.
    pub(super) fn deliver_held_copies(&mut self) {
        let leads = self.leads();
        if self.held_copies.is_empty() || leads.is_none() || leads == self.last_leader {
            return;
        }
        self.last_leader = leads;
        for heartbeat in std::mem::take(&mut self.held_copies) {
            for n in 0..3 {
                self.sent += 1;
                let at = self.now + self.rng.random_range(0..400);
                self.messages.insert((at, self.sent), Message::Copy(n, heartbeat.clone()));
            }
        }
    }

    pub(super) fn crash(&mut self, node: usize, back_ms: u64) {
        self.nodes[node] = Err(self.now + back_ms);
    }

    pub(super) fn fail(&mut self, fault: Fault) {
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
        if let Some((_, term)) = self.leads().filter(|_| traced) {
            self.trace = Some(FailoverTrace::new(now, term));
        }
        match fault {
            Fault::FreezeLeader(ms) => self.freeze(self.leader(), ms),
            Fault::Freeze(n, ms) => self.freeze(n, ms),
            Fault::PartitionWorkerFromOwner(w, ms) => {
                if let Some(owner) = self.owner_of(w) {
                    self.cut([Place::Worker(w)].into(), [Place::Node(owner)].into(), ms, false);
                }
            }
            Fault::PartitionControllerFromPeers(n, ms) => {
                let others = (0..3).filter(|m| *m != n).map(Place::Node).collect();
                self.cut([Place::Node(n)].into(), others, ms, false);
            }
            Fault::CrashInEpoch(written) => self.crash_in_epoch = Some(written),
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
                self.crash(leader, BACK_MS);
                self.crash(standby, BACK_MS);
            }
            Fault::PartitionLeaderAndStandby(ms) => {
                let (leader, standby) = (self.leader(), self.first_standby());
                self.cut([Place::Node(leader)].into(), [Place::Node(standby)].into(), ms, false);
            }
            Fault::StoreRefusesStandby(ms) => {
                let standby = self.first_standby();
                self.refused.push((standby, now + ms));
            }
            Fault::DecisionLogLag(ms) => self.log_lags_until = now + ms,
            Fault::CrashLeader => self.crash(self.leader(), BACK_MS),
            Fault::CrashAll => (0..3).for_each(|n| self.crash(n, BACK_MS)),
            Fault::BriefLeaderCrash => self.crash(self.leader(), 200),
            Fault::BriefCrashOfAll => (0..3).for_each(|n| self.crash(n, 200)),
            Fault::UnansweredWorker(w, ms) => self.deaf.push((w, now + ms)),
            Fault::LateCopies(ms) => self.copies_until = now + ms,
            Fault::WorkerRestart(w) => {
                let changes = self.workers[w].restart(now);
                self.see(w, changes);
            }
            Fault::LeaderOnlyReachesWorkers(ms) => {
                let node = self.leader();
                let mut rest: BTreeSet<Place> =
                    (0..3).filter(|n| *n != node).map(Place::Node).collect();
                rest.insert(Place::Store);
                self.cut([Place::Node(node)].into(), rest, ms, false);
            }
            Fault::LeaderStrandedWithMachines(ms) => {
                let node = self.leader();
                let mut here: BTreeSet<Place> =
                    (2..self.workers.len()).map(Place::Worker).collect();
                here.insert(Place::Node(node));
                let mut rest: BTreeSet<Place> =
                    (0..3).filter(|n| *n != node).map(Place::Node).collect();
                rest.insert(Place::Store);
                self.cut(here, rest, ms, false);
            }
            Fault::PeersRefuseConnections(ms) => {
                for n in 0..3 {
                    let rest = (n + 1..3).map(Place::Node).collect();
                    self.cut([Place::Node(n)].into(), rest, ms, false);
                }
            }
            Fault::StoreOutage(ms) => self.store.begin_outage(now, ms),
            Fault::StoreRefusesLeader(ms) => self.refused.push((self.leader(), now + ms)),
            Fault::SlowStore(ms) => self.slow_until = now + ms,
            Fault::LostResponses(ms) => self.lossy_until = now + ms,
            Fault::WorkerCrash(w) => {
                let changes = self.workers[w].terminate();
                self.see(w, changes);
            }
            Fault::PartitionWorker(w, ms, hold) => {
                let nodes = (0..3).map(Place::Node).collect();
                self.cut([Place::Worker(w)].into(), nodes, ms, hold);
            }
            Fault::WorkerHangs(w, ms) => self.workers[w].hung_until = now + ms,
            Fault::WorkersHang(count, ms) => {
                self.workers.iter_mut().take(count).for_each(|w| w.hung_until = now + ms);
            }
            Fault::PartitionZones(ms, hold) => {
                let side = |zone: usize| -> BTreeSet<Place> {
                    let nodes = (0..3).filter(|n| n % 2 == zone).map(Place::Node);
                    let workers = self.workers.iter().filter(|w| w.id % 2 == zone);
                    nodes.chain(workers.map(|w| Place::Worker(w.id))).collect()
                };
                self.cut(side(0), side(1), ms, hold);
            }
            Fault::PartitionLeader(ms, hold) => {
                let node = self.leader();
                let mut rest: BTreeSet<Place> =
                    (0..3).filter(|n| *n != node).map(Place::Node).collect();
                rest.extend((0..self.workers.len()).map(Place::Worker));
                rest.insert(Place::Store);
                self.cut([Place::Node(node)].into(), rest, ms, hold);
            }
            Fault::SpotReclaimed(w, ms) => self.workers[w].give_spot_notice(now, now + ms),
            Fault::Upgrade(n) => {
                self.old[n] = false;
                self.crash(n, BACK_MS);
            }
            Fault::CancelAt(job) => {
                self.wanted_cancels.insert(job);
            }
            Fault::WorkerReachesNoController(w, ms) => self.mute.push((w, now + ms)),
            Fault::LateWrites(ms) => self.late_writes_until = now + ms,
            Fault::LostStoreResponses(ms) => self.lost_answers_until = now + ms,
            Fault::HoldCommands(ms) => self.hold_until = now + ms,
            Fault::LateCopiesForNextLeader(ms) => {
                self.copies_kept_until = now + ms;
                self.last_leader = self.leads();
            }
            Fault::CancelNow(count, hang_ms) => self.cancel_now(count, hang_ms),
            Fault::CancelUnderWay(what, ms) => self.cancels_under_way = Some((what, now + ms)),
            Fault::CancelAtEnd(ms) => self.cancel_at_end_until = now + ms,
            Fault::AggressivePolling(ms) => self.looks_until = now + ms,
            Fault::FastBoots(count) => self.quick_boots(count),
        }
    }

    fn freeze(&mut self, n: usize, ms: u64) {
        if let Ok(node) = &mut self.nodes[n] {
            node.frozen = Some(self.now + ms);
        }
    }

    pub(super) fn cut(&mut self, from: BTreeSet<Place>, to: BTreeSet<Place>, ms: u64, hold: bool) {
        self.cuts.push(Cut { from, to, until: self.now + ms, hold });
    }
}
