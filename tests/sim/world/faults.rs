//! What fails in the simulation, and how.

use super::*;

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
    CutFromOwner(usize, u64),
    /// That controller is cut off from the other controllers only.
    CutFromControllers(usize, u64),
    /// The leader's process ends in its next epoch that writes something: after the write, or before it.
    CrashInEpoch(bool),
    /// The leader and the first in rank to replace it end together.
    CrashLeaderAndStandby,
    /// Whoever takes the next term ends as it has taken it.
    CrashSuccessor,
    /// The leader and the first in rank to replace it do not reach each other.
    CutPair(u64),
    /// The store refuses the first in rank to replace the leader.
    RefuseStandby(u64),
    /// The leader takes a machine that is well for failed, as an old list of the cloud may say, and is about to return
    /// it.
    ListedFailed(usize),
    /// Standbys get no decisions for that long.
    LogLag(u64),
    StoreOutage(u64),
    /// The store refuses the leader alone.
    RefuseStore(u64),
    /// Transactions are carried out late, or without an answer.
    SlowStore(u64),
    /// Answers to workers get lost now and then.
    LoseReplies(u64),
    WorkerDies(usize),
    /// A machine is cut off; packets are held if true.
    CutWorker(usize, u64, bool),
    Hang(usize, u64),
    CutZones(u64, bool),
    /// The leader is cut off from everything.
    CutNode(u64, bool),
    /// The user cancels a job, and is told.
    CancelAt(u64),
    /// A machine's reports arrive; no answer reaches it.
    Deaf(usize, u64),
    /// Every report is delivered once more, up to well over a lease late.
    LateCopies(u64),
    /// The leader's process is back in a fraction of a second.
    Blink,
    /// All processes are.
    BlinkAll,
    /// A machine is back at once with nothing on it and counts from 1 again.
    Reborn(usize),
    /// The leader loses the store and the other controllers, not its workers.
    Alone(u64),
    /// The leader and all but two machines are cut off from the store and the other controllers, not from
    /// each other.
    Stranded(u64),
    /// Controllers refuse each other's connections.
    PeersRefuse(u64),
    /// The first so many machines hang together.
    HangMany(usize, u64),
    /// The cloud takes a machine after that time, with notice.
    SummaryOutcome(usize, u64),
    /// A controller is exchanged for the new version.
    Upgrade(usize),
    /// A machine reaches no controller; direct commands and their answers still pass.
    Mute(usize, u64),
    /// A third of all transactions gets no answer and is carried out 2 to 12 s later.
    LateWrites(u64),
    /// A third of all transactions is carried out at once, and only the answer is lost.
    LostAnswers(u64),
    /// Direct commands are held up until it is over.
    HoldCommands(u64),
    /// Copies of reports are kept for that long, and reach every controller 200 ms after the next
    /// leader has begun.
    CopiesForNext(u64),
    /// Users cancel that many jobs that run; up to eight of their machines hang that long.
    CancelNow(usize, u64),
    /// Jobs are cancelled at the moment of their end.
    CancelAtEnd(u64),
    /// Users ask and submit at all nodes right after anything was told.
    CloseLooks(u64),
    /// That many machines are rented and up within 2 s.
    QuickBoots(usize),
}

impl Fault {
    /// How long it lasts, with what it holds back.
    pub(super) fn lasts(self) -> u64 {
        match self {
            Fault::StoreOutage(ms)
            | Fault::RefuseStore(ms)
            | Fault::SlowStore(ms)
            | Fault::LoseReplies(ms)
            | Fault::CutWorker(_, ms, _)
            | Fault::Hang(_, ms)
            | Fault::CutZones(ms, _)
            | Fault::CutNode(ms, _)
            | Fault::Deaf(_, ms)
            | Fault::Alone(ms)
            | Fault::Stranded(ms)
            | Fault::HangMany(_, ms)
            | Fault::SummaryOutcome(_, ms)
            | Fault::Mute(_, ms)
            | Fault::LostAnswers(ms)
            | Fault::HoldCommands(ms)
            | Fault::CancelNow(_, ms)
            | Fault::CancelAtEnd(ms)
            | Fault::CloseLooks(ms)
            | Fault::FreezeLeader(ms)
            | Fault::Freeze(_, ms)
            | Fault::CutFromControllers(_, ms)
            | Fault::CutFromOwner(_, ms)
            | Fault::CutPair(ms)
            | Fault::RefuseStandby(ms)
            | Fault::LogLag(ms)
            | Fault::PeersRefuse(ms) => ms,
            Fault::LateWrites(ms) => ms + 12_000,
            Fault::CopiesForNext(ms) => ms,
            Fault::LateCopies(ms) => ms + 70_000,
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
            Fault::CutFromControllers(n, t) => Fault::CutFromControllers(n, t * by),
            Fault::CutFromOwner(w, t) => Fault::CutFromOwner(w, t * by),
            Fault::CutPair(t) => Fault::CutPair(t * by),
            Fault::RefuseStandby(t) => Fault::RefuseStandby(t * by),
            Fault::LogLag(t) => Fault::LogLag(t * by),
            Fault::RefuseStore(t) => Fault::RefuseStore(t * by),
            Fault::SlowStore(t) => Fault::SlowStore(t * by),
            Fault::LoseReplies(t) => Fault::LoseReplies(t * by),
            Fault::CutWorker(w, t, hold) => Fault::CutWorker(w, t * by, hold),
            Fault::Hang(w, t) => Fault::Hang(w, t * by),
            Fault::CutZones(t, hold) => Fault::CutZones(t * by, hold),
            Fault::CutNode(t, hold) => Fault::CutNode(t * by, hold),
            Fault::Deaf(w, t) => Fault::Deaf(w, t * by),
            Fault::LateCopies(t) => Fault::LateCopies(t * by),
            Fault::Alone(t) => Fault::Alone(t * by),
            Fault::Stranded(t) => Fault::Stranded(t * by),
            Fault::PeersRefuse(t) => Fault::PeersRefuse(t * by),
            Fault::HangMany(n, t) => Fault::HangMany(n, t * by),
            Fault::SummaryOutcome(w, t) => Fault::SummaryOutcome(w, t * by),
            Fault::Mute(w, t) => Fault::Mute(w, t * by),
            Fault::LateWrites(t) => Fault::LateWrites(t * by),
            Fault::LostAnswers(t) => Fault::LostAnswers(t * by),
            Fault::HoldCommands(t) => Fault::HoldCommands(t * by),
            Fault::CopiesForNext(t) => Fault::CopiesForNext(t * by),
            Fault::CancelNow(n, t) => Fault::CancelNow(n, t * by),
            Fault::CancelAtEnd(t) => Fault::CancelAtEnd(t * by),
            Fault::CloseLooks(t) => Fault::CloseLooks(t * by),
            other => other,
        }
    }
}

/// Two or three troubles that meet, with cancellations at bad moments, while users look closely.
pub fn random_meetings(seed: u64, rhythm: Rhythm) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let unit = rhythm.lease_ms / 100;
    let mut faults = vec![(1_000, Fault::CloseLooks(rhythm.lease_ms * 12))];
    for _ in 0..2 {
        let at = rng.random_range(10_000..70_000);
        for _ in 0..rng.random_range(2..=3) {
            let long = rng.random_bool(0.25);
            let t = if long { rng.random_range(150..450) } else { rng.random_range(10..150) };
            let w = rng.random_range(0..8);
            let hold = rng.random_bool(0.5);
            let fault = match rng.random_range(0..24) {
                0 => Fault::CrashAll,
                1 => Fault::StoreOutage(t),
                2 => Fault::RefuseStore(t),
                3 => Fault::SlowStore(t),
                4 => Fault::LoseReplies(t),
                5 => Fault::WorkerDies(w),
                6 => Fault::CutWorker(w, t, hold),
                7 => Fault::Hang(w, t),
                8 => Fault::CutZones(t, hold),
                9 => Fault::CutNode(t, hold),
                10 => Fault::Deaf(w, t),
                11 => Fault::LateCopies(t),
                12 => Fault::Blink,
                13 => Fault::BlinkAll,
                14 => Fault::Reborn(w),
                15 => Fault::Alone(t),
                16 => Fault::PeersRefuse(t),
                17 => Fault::Mute(w, t),
                18 => Fault::LateWrites(t),
                19 => Fault::LostAnswers(t),
                20 => Fault::HoldCommands(t),
                21 => Fault::CopiesForNext(t),
                22 => Fault::CancelAtEnd(t),
                _ => Fault::QuickBoots(1 + w % 3),
            };
            faults.push((at + rng.random_range(0..3_000), fault.scaled(unit)));
        }
        for _ in 0..2 {
            let hang = if rng.random_bool(0.3) { rng.random_range(20..120) * unit } else { 0 };
            faults.push((at + rng.random_range(0..6_000), Fault::CancelNow(3, hang)));
        }
        faults.push((at + rng.random_range(0..4_000), Fault::CrashLeader));
    }
    faults.sort_by_key(|f| f.0);
    faults
}

/// A few failures at random times, some of them at once.
pub fn random_faults(seed: u64, rhythm: Rhythm) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<(u64, Fault)> = (0..5)
        .map(|_| {
            let ms = rng.random_range(4_000..25_000) * rhythm.lease_ms / 10_000;
            let hold = rng.random_bool(0.5);
            let worker = rng.random_range(0..4);
            let fault = match rng.random_range(0..19) {
                0 => Fault::CrashAll,
                1 => Fault::StoreOutage(ms),
                2 => Fault::RefuseStore(ms),
                3 => Fault::SlowStore(ms),
                4 => Fault::LoseReplies(ms),
                5 => Fault::WorkerDies(worker),
                6 => Fault::CutWorker(worker, ms, hold),
                7 => Fault::Hang(worker, ms),
                8 => Fault::CutZones(ms, hold),
                9 => Fault::CutNode(ms, hold),
                10 => Fault::CancelAt(rng.random_range(1..7)),
                11 => Fault::Deaf(worker, ms),
                12 => Fault::LateCopies(ms),
                13 => Fault::Blink,
                14 => Fault::BlinkAll,
                15 => Fault::Reborn(worker),
                16 => Fault::Alone(ms),
                17 => Fault::PeersRefuse(ms),
                _ => Fault::CrashLeader,
            };
            (rng.random_range(5_000..70_000), fault)
        })
        .collect();
    faults.sort_by_key(|f| f.0);
    faults
}

impl World {
    /// The controller that is the first to replace the leader: one of another zone.
    pub(super) fn first_standby(&self) -> usize {
        let leader = self.leader();
        let others = (0..3).filter(|n| *n != leader);
        others.min_by_key(|n| (n % 2 == leader % 2, *n)).unwrap_or(0)
    }

    /// Machines are rented and up within 2 s, before any list shows them.
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

    /// Copies of reports that were kept for the next leader reach every controller.
    pub(super) fn deliver_kept_copies(&mut self) {
        let leads = self.leads();
        if self.kept_copies.is_empty() || leads.is_none() || leads == self.last_leader {
            return;
        }
        self.last_leader = leads;
        for heartbeat in std::mem::take(&mut self.kept_copies) {
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
                | Fault::CutNode(..)
                | Fault::Blink
                | Fault::RefuseStore(_)
                | Fault::CrashInEpoch(_)
                | Fault::CrashLeaderAndStandby
        );
        if let Some((_, term)) = self.leads().filter(|_| traced) {
            self.trace = Some(FailoverTrace::new(now, term));
        }
        match fault {
            Fault::FreezeLeader(ms) => self.freeze(self.leader(), ms),
            Fault::Freeze(n, ms) => self.freeze(n, ms),
            Fault::CutFromOwner(w, ms) => {
                if let Some(owner) = self.owner_of(w) {
                    self.cut([Place::Worker(w)].into(), [Place::Node(owner)].into(), ms, false);
                }
            }
            Fault::CutFromControllers(n, ms) => {
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
            Fault::CutPair(ms) => {
                let (leader, standby) = (self.leader(), self.first_standby());
                self.cut([Place::Node(leader)].into(), [Place::Node(standby)].into(), ms, false);
            }
            Fault::RefuseStandby(ms) => {
                let standby = self.first_standby();
                self.refused.push((standby, now + ms));
            }
            Fault::LogLag(ms) => self.log_lags_until = now + ms,
            Fault::CrashLeader => self.crash(self.leader(), BACK_MS),
            Fault::CrashAll => (0..3).for_each(|n| self.crash(n, BACK_MS)),
            Fault::Blink => self.crash(self.leader(), 200),
            Fault::BlinkAll => (0..3).for_each(|n| self.crash(n, 200)),
            Fault::Deaf(w, ms) => self.deaf.push((w, now + ms)),
            Fault::LateCopies(ms) => self.copies_until = now + ms,
            Fault::Reborn(w) => {
                let changes = self.workers[w].reborn(now);
                self.see(w, changes);
            }
            Fault::Alone(ms) => {
                let node = self.leader();
                let mut rest: BTreeSet<Place> =
                    (0..3).filter(|n| *n != node).map(Place::Node).collect();
                rest.insert(Place::Store);
                self.cut([Place::Node(node)].into(), rest, ms, false);
            }
            Fault::Stranded(ms) => {
                let node = self.leader();
                let mut here: BTreeSet<Place> =
                    (2..self.workers.len()).map(Place::Worker).collect();
                here.insert(Place::Node(node));
                let mut rest: BTreeSet<Place> =
                    (0..3).filter(|n| *n != node).map(Place::Node).collect();
                rest.insert(Place::Store);
                self.cut(here, rest, ms, false);
            }
            Fault::PeersRefuse(ms) => {
                for n in 0..3 {
                    let rest = (n + 1..3).map(Place::Node).collect();
                    self.cut([Place::Node(n)].into(), rest, ms, false);
                }
            }
            Fault::StoreOutage(ms) => self.store.outage(now, ms),
            Fault::RefuseStore(ms) => self.refused.push((self.leader(), now + ms)),
            Fault::SlowStore(ms) => self.slow_until = now + ms,
            Fault::LoseReplies(ms) => self.lossy_until = now + ms,
            Fault::WorkerDies(w) => {
                let changes = self.workers[w].vanish();
                self.see(w, changes);
            }
            Fault::CutWorker(w, ms, hold) => {
                let nodes = (0..3).map(Place::Node).collect();
                self.cut([Place::Worker(w)].into(), nodes, ms, hold);
            }
            Fault::Hang(w, ms) => self.workers[w].hung_until = now + ms,
            Fault::HangMany(count, ms) => {
                self.workers.iter_mut().take(count).for_each(|w| w.hung_until = now + ms);
            }
            Fault::CutZones(ms, hold) => {
                let side = |zone: usize| -> BTreeSet<Place> {
                    let nodes = (0..3).filter(|n| n % 2 == zone).map(Place::Node);
                    let workers = self.workers.iter().filter(|w| w.id % 2 == zone);
                    nodes.chain(workers.map(|w| Place::Worker(w.id))).collect()
                };
                self.cut(side(0), side(1), ms, hold);
            }
            Fault::CutNode(ms, hold) => {
                let node = self.leader();
                let mut rest: BTreeSet<Place> =
                    (0..3).filter(|n| *n != node).map(Place::Node).collect();
                rest.extend((0..self.workers.len()).map(Place::Worker));
                rest.insert(Place::Store);
                self.cut([Place::Node(node)].into(), rest, ms, hold);
            }
            Fault::SummaryOutcome(w, ms) => self.workers[w].notice(now, now + ms),
            Fault::Upgrade(n) => {
                self.old[n] = false;
                self.crash(n, BACK_MS);
            }
            Fault::CancelAt(job) => {
                self.wanted_cancels.insert(job);
            }
            Fault::Mute(w, ms) => self.mute.push((w, now + ms)),
            Fault::LateWrites(ms) => self.late_writes_until = now + ms,
            Fault::LostAnswers(ms) => self.lost_answers_until = now + ms,
            Fault::HoldCommands(ms) => self.hold_until = now + ms,
            Fault::CopiesForNext(ms) => {
                self.copies_kept_until = now + ms;
                self.last_leader = self.leads();
            }
            Fault::CancelNow(count, hang_ms) => self.cancel_now(count, hang_ms),
            Fault::CancelAtEnd(ms) => self.cancel_at_end_until = now + ms,
            Fault::CloseLooks(ms) => self.looks_until = now + ms,
            Fault::QuickBoots(count) => self.quick_boots(count),
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
