//! Three controllers driven through failures on stand-ins for the store, the cloud and the
//! workers, in simulated time with seeded randomness. The invariants are checked at every step.

mod check;
mod failover;
mod reach;
mod site;
mod standby;
mod stopped;
mod store;
mod worker;
mod world;

use check::{Checker, Event, ShownState};
use failover::PHASES;
use site::{BRISK, Rhythm, SLOW};
use world::{Fault, World};

use Fault::{
    AggressivePolling, BriefCrashOfAll, BriefLeaderCrash, CancelAt, CancelAtEnd, CancelNow,
    CrashAll, CrashLeader, FastBoots, FreezeLeader, HoldCommands, LateCopies,
    LateCopiesForNextLeader, LateWrites, LeaderOnlyReachesWorkers, LeaderStrandedWithMachines,
    LostResponses, LostStoreResponses, PartitionLeader, PartitionWorker, PartitionZones,
    PeersRefuseConnections, SlowStore, SpotReclaimed, StoreOutage, StoreRefusesLeader,
    UnansweredWorker, Upgrade, WorkerCrash, WorkerHangs, WorkerReachesNoController, WorkerRestart,
    WorkersHang,
};

/// Plays a day of 20 leases and expects that no invariant breaks and that all that was asked for ends.
fn play(name: &str, seed: u64, rhythm: Rhythm, faults: &[(u64, Fault)]) {
    play_in(World::new(seed, rhythm), name, seed, rhythm, faults);
}

fn play_in(world: World, name: &str, seed: u64, rhythm: Rhythm, faults: &[(u64, Fault)]) {
    play_for(rhythm.lease_ms * 20, world, name, seed, rhythm, faults);
}

fn play_for(
    until: u64,
    mut world: World,
    name: &str,
    seed: u64,
    rhythm: Rhythm,
    faults: &[(u64, Fault)],
) {
    world.run(faults, until);
    let name = format!("{name} {seed} {rhythm:?}");
    assert!(world.checker.broken.is_empty(), "{name}: {:?}", world.checker.broken);
    assert!(world.too_large().is_empty(), "{name}: too large: {:?}", world.too_large());
    let open = world.unfinished();
    assert!(open.is_empty(), "{name}: not finished: {open:?}");
}

#[test]
fn invariants_hold_and_work_ends_through_each_fault() {
    let cases: Vec<(&str, Vec<(u64, Fault)>)> = vec![
        ("quiet", vec![]),
        ("leader crashes", vec![(21_300, CrashLeader)]),
        ("all crash", vec![(21_300, CrashAll)]),
        ("crash in mid-election", vec![(21_300, CrashLeader), (24_700, CrashAll)]),
        ("the leader is stopped for a second", vec![(21_300, FreezeLeader(1_000))]),
        ("the leader goes on just before its lease ends", vec![(21_300, FreezeLeader(2_700))]),
        ("the leader goes on just after its lease ended", vec![(21_300, FreezeLeader(3_300))]),
        (
            "the leader goes on after its successor's first epochs",
            vec![(21_300, FreezeLeader(8_000))],
        ),
        (
            "two leaders are stopped one after the other",
            vec![
                (21_300, FreezeLeader(30_000)),
                (26_000, FreezeLeader(9_000)),
                (27_000, WorkerRestart(1)),
            ],
        ),
        ("store outage longer than a lease", vec![(20_000, StoreOutage(15_000))]),
        ("all crash in an outage", vec![(20_000, StoreOutage(12_000)), (24_000, CrashAll)]),
        ("the store refuses the leader", vec![(20_000, StoreRefusesLeader(20_000))]),
        ("slow and late transactions", vec![(5_000, SlowStore(60_000)), (30_000, CrashLeader)]),
        ("a start response is lost", vec![(20_000, LostResponses(8_000))]),
        ("a machine dies", vec![(20_000, WorkerCrash(0)), (22_000, CrashLeader)]),
        ("a machine is cut off and comes back", vec![(20_000, PartitionWorker(1, 30_000, true))]),
        (
            "cancelled while a machine is cut off",
            vec![(20_000, PartitionWorker(1, 45_000, false)), (21_000, CancelAt(1))],
        ),
        (
            "a machine hangs within its lease",
            vec![(20_000, WorkerHangs(2, 8_000)), (21_000, CrashLeader)],
        ),
        ("a machine hangs beyond it", vec![(20_000, WorkerHangs(2, 40_000))]),
        ("zones are cut", vec![(20_000, PartitionZones(30_000, false))]),
        (
            "held packets arrive after a failover",
            vec![(20_000, PartitionZones(25_000, true)), (28_000, CrashLeader)],
        ),
        ("the leader loses its network", vec![(20_000, PartitionLeader(40_000, true))]),
        (
            "a cut node, then all crash",
            vec![
                (20_000, PartitionLeader(40_000, true)),
                (25_000, CrashAll),
                (90_000, CrashLeader),
            ],
        ),
        (
            "rolling restarts with a machine lost",
            vec![
                (20_000, CrashLeader),
                (30_000, CrashLeader),
                (31_000, WorkerCrash(1)),
                (40_000, CrashLeader),
            ],
        ),
        ("a machine without responses", vec![(20_000, UnansweredWorker(1, 40_000))]),
        (
            "a machine without responses at a failover",
            vec![(20_000, UnansweredWorker(1, 60_000)), (21_000, CrashLeader)],
        ),
        (
            "a machine without responses and a cancellation",
            vec![(20_000, UnansweredWorker(1, 50_000)), (21_000, CancelAt(3)), (30_000, CrashAll)],
        ),
        ("late copies of heartbeats", vec![(5_000, LateCopies(60_000)), (22_000, WorkerCrash(1))]),
        (
            "late copies at failovers",
            vec![(5_000, LateCopies(60_000)), (21_000, CrashLeader), (33_000, CrashAll)],
        ),
        (
            "late copies of a machine that lost its lease",
            vec![
                (5_000, LateCopies(60_000)),
                (20_000, PartitionWorker(1, 14_000, true)),
                (24_000, BriefLeaderCrash),
            ],
        ),
        ("a process is back at once", vec![(20_000, BriefLeaderCrash), (26_000, BriefLeaderCrash)]),
        (
            "back at once in mid-election",
            vec![(20_000, CrashLeader), (22_900, BriefCrashOfAll), (23_300, BriefCrashOfAll)],
        ),
        ("a machine is back at once", vec![(20_000, WorkerRestart(1)), (24_000, WorkerRestart(2))]),
        (
            "a machine is back at once, with late copies",
            vec![(5_000, LateCopies(50_000)), (20_000, WorkerRestart(1)), (21_000, CrashLeader)],
        ),
        ("the leader has only its workers", vec![(20_000, LeaderOnlyReachesWorkers(45_000))]),
        (
            "the leader has only its workers, and a job is cancelled",
            vec![
                (20_000, LeaderOnlyReachesWorkers(60_000)),
                (21_000, CancelAt(3)),
                (30_000, CancelAt(1)),
            ],
        ),
        (
            "peers refuse each other in an outage",
            vec![(18_000, PeersRefuseConnections(40_000)), (20_000, StoreOutage(12_000))],
        ),
    ];
    for (name, faults) in cases {
        for seed in 1..=3 {
            play(name, seed, BRISK, &faults);
            play(name, seed, SLOW, &faults);
        }
    }
}

/// The combinations of faults in which operators saw invariants break, in a world where jobs keep coming. Times are in tenths of a lease, durations in hundredths.
fn combined_faults() -> Vec<(&'static str, Vec<(u64, Fault)>)> {
    let all = |from: usize, ms| (0..4).map(move |w| (20, WorkerReachesNoController(from + w, ms)));
    vec![
        (
            "all controllers are away for longer than a lease",
            (0..6).map(|i| (20 + 3 * i, CrashAll)).collect(),
        ),
        (
            "jobs of two or three tasks end far apart across a change of leader",
            vec![
                (20, CrashLeader),
                (23, WorkerCrash(1)),
                (25, BriefLeaderCrash),
                (40, CrashLeader),
            ],
        ),
        (
            "machines reach no controller",
            [all(0, 300), all(4, 120)].into_iter().flatten().collect(),
        ),
        (
            "machines are mute while jobs are cancelled and the leader changes",
            all(1, 250).chain([(21, CancelNow(6, 0)), (22, CrashLeader)]).collect(),
        ),
        (
            "a leader ends while machines can't be reached, or don't hear the new one",
            vec![
                (20, PartitionWorker(0, 300, false)),
                (20, PartitionWorker(1, 300, true)),
                (20, UnansweredWorker(2, 300)),
                (21, CrashLeader),
                (22, CancelNow(6, 0)),
            ],
        ),
        (
            "zones are cut and jobs bound to one lose machines",
            vec![(20, PartitionZones(200, false)), (24, WorkerCrash(0)), (25, WorkerCrash(1))],
        ),
        (
            "transactions are carried out after newer ones of the same controller",
            vec![
                (10, LateWrites(300)),
                (22, CrashLeader),
                (24, CancelNow(4, 0)),
                (34, BriefCrashOfAll),
            ],
        ),
        (
            "commands are held up and the machines then go on",
            vec![
                (18, HoldCommands(120)),
                (20, WorkerHangs(0, 90)),
                (20, PartitionWorker(1, 100, true)),
                (21, CancelNow(8, 0)),
                (22, CrashLeader),
            ],
        ),
        (
            "no direct command arrives in time",
            vec![
                (18, HoldCommands(450)),
                (20, CancelNow(8, 0)),
                (30, CrashLeader),
                (31, CancelNow(8, 0)),
            ],
        ),
        (
            "old heartbeats come after newer ones, also of an earlier agent epoch",
            vec![
                (5, LateCopies(600)),
                (20, PartitionWorker(1, 140, true)),
                (22, WorkerRestart(2)),
                (30, BriefLeaderCrash),
            ],
        ),
        (
            "new machines get work at once while writes lag, and the leader ends",
            vec![
                (15, LateWrites(120)),
                (18, FastBoots(4)),
                (20, CrashLeader),
                (21, FastBoots(3)),
                (22, BriefLeaderCrash),
            ],
        ),
        (
            "jobs are cancelled while a controller's work changes hands, and back",
            vec![
                (20, LeaderOnlyReachesWorkers(130)),
                (20, CancelNow(3, 0)),
                (25, CancelNow(3, 0)),
                (26, CancelNow(3, 0)),
                (33, CancelNow(3, 0)),
                (34, CrashLeader),
                (35, CancelNow(3, 0)),
            ],
        ),
        (
            "copies of heartbeats reach every controller as a new leader begins",
            vec![
                (15, LateCopiesForNextLeader(60)),
                (21, CrashLeader),
                (35, LateCopiesForNextLeader(200)),
                (44, PartitionLeader(120, true)),
                (45, CancelNow(4, 0)),
            ],
        ),
        (
            "users look closely",
            vec![(1, AggressivePolling(900)), (20, CrashLeader), (30, CancelAtEnd(300))],
        ),
        (
            "users look closely while the store answers late, then refuses the leader, then all",
            vec![
                (1, AggressivePolling(900)),
                (8, SlowStore(120)),
                (22, StoreRefusesLeader(140)),
                (23, StoreOutage(400)),
                (24, CancelNow(5, 0)),
            ],
        ),
        (
            "only the answers of transactions are lost, and others read what they wrote",
            vec![
                (1, AggressivePolling(900)),
                (5, LostStoreResponses(500)),
                (30, CancelAtEnd(200)),
                (32, BriefLeaderCrash),
            ],
        ),
        (
            "a cancellation meets the end of the last task, with no other trouble",
            vec![(1, CancelAtEnd(900)), (1, AggressivePolling(900))],
        ),
        (
            "every team is at its limit, machines are cut off or hang, and the leader changes",
            vec![
                (20, WorkerHangs(0, 90)),
                (20, WorkerHangs(1, 200)),
                (20, PartitionWorker(2, 200, false)),
                (20, CancelNow(8, 0)),
                (21, CrashLeader),
                (40, CancelNow(8, 80)),
                (41, CrashAll),
            ],
        ),
        (
            "controllers hand over and back, all end, and one returns",
            vec![
                (20, CrashLeader),
                (24, CrashLeader),
                (26, CrashAll),
                (26, BriefLeaderCrash),
                (30, BriefCrashOfAll),
            ],
        ),
        (
            "a leader keeps only its workers and users while jobs are cancelled through others",
            vec![
                (20, LeaderOnlyReachesWorkers(400)),
                (21, CancelNow(4, 0)),
                (24, CancelNow(4, 0)),
                (28, CancelNow(4, 90)),
            ],
        ),
        (
            "leaders change ten times, also inside an outage",
            (0..10)
                .map(|i| (20 + 12 * i, if i % 2 == 0 { CrashLeader } else { BriefLeaderCrash }))
                .chain([(60, StoreOutage(300)), (62, CancelNow(4, 0)), (100, CancelNow(4, 0))])
                .collect(),
        ),
        (
            "a zone with workers and a controller is cut off for longer than a lease",
            vec![(20, PartitionZones(200, true)), (21, CancelNow(4, 0)), (30, CancelNow(4, 0))],
        ),
    ]
}

/// These faults as they are at that rhythm.
fn at_rhythm(rhythm: Rhythm, faults: &[(u64, Fault)]) -> Vec<(u64, Fault)> {
    let tenth = rhythm.lease_ms / 10;
    faults.iter().map(|(at, f)| (at * tenth, f.scaled(tenth / 10))).collect()
}

#[test]
fn invariants_hold_under_combined_faults() {
    for (name, faults) in combined_faults() {
        for seed in 1..=3 {
            for rhythm in [BRISK, SLOW] {
                let faults = at_rhythm(rhythm, &faults);
                let world = World::busy(seed, rhythm);
                play_for(rhythm.lease_ms * 30, world, name, seed, rhythm, &faults);
            }
        }
    }
}

#[test]
fn invariants_hold_under_random_combined_faults() {
    for seed in 0..24 {
        for rhythm in [BRISK, SLOW] {
            let faults = world::faults::random_combined_faults(seed, rhythm);
            let name = format!("meeting {faults:?}");
            let world = World::busy(seed, rhythm);
            play_for(rhythm.lease_ms * 30, world, &name, seed, rhythm, &faults);
            if seed < 8 {
                let world = World::busy_with_gangs(seed, rhythm);
                let name = format!("gangs, {name}");
                play_for(rhythm.lease_ms * 30, world, &name, seed, rhythm, &faults);
            }
        }
    }
}

/// The store refuses the leader alone; others confirm cancellations; then it is down for all for longer
/// than `cancel_s`, while workers keep sending heartbeats to the old leader. The tasks have to end all the same,
/// and nothing of the jobs starts long after it was confirmed. The same with a leader that nobody informs,
/// which keeps most machines: then only the bounds of its rights help.
#[test]
fn cancelled_tasks_end_in_time_whatever_the_store_does() {
    // (heartbeat interval, lease, cancel) of the deployments, and the smallest that the settings allow.
    let rhythms = [
        (1_500, 10_000, 30_000),
        (1_000, 11_000, 36_000),
        (2_500, 15_250, 40_250),
        (5_000, 26_500, 46_500),
        (2_500, 16_000, 36_000),
        (1_000, 10_000, 14_000),
    ];
    let mut cancelled = 0;
    for (report_ms, lease_ms, cancel_ms) in rhythms {
        let rhythm = Rhythm { report_ms, lease_ms, cancel_ms };
        let outage = cancel_ms + lease_ms + 5_000;
        // (how long after the refusal the jobs are cancelled, and how long before the outage)
        for (seed, (after, before)) in
            [(500, 1_500), (20, 1_900), (1_200, 60), (1_950, 10)].into_iter().enumerate()
        {
            for (hang, blink, stranded) in [
                (0, false, false),
                (0, true, false),
                (lease_ms * 8 / 10, false, false),
                (lease_ms * 8 / 10, true, true),
                (0, false, true),
            ] {
                let (refused_at, cancelled_at) = (20_000, 20_000 + after);
                let mut faults = vec![
                    (
                        refused_at,
                        if stranded {
                            LeaderStrandedWithMachines(outage)
                        } else {
                            StoreRefusesLeader(14_000)
                        },
                    ),
                    (cancelled_at, CancelNow(4, hang)),
                    (cancelled_at + before, StoreOutage(outage)),
                ];
                if blink {
                    faults.push((cancelled_at + before + 3_000, BriefLeaderCrash));
                }
                let mut world = World::long(seed as u64, rhythm);
                world.run(&faults, cancelled_at + before + outage + 20_000);
                let name = format!("{rhythm:?} {after} {before} {hang} {blink} {stranded}");
                assert!(world.checker.broken.is_empty(), "{name}: {:?}", world.checker.broken);
                // A proof of 3.5 s, the way of the answer, and the fetch of the image.
                let late = world.checker.latest_start_ms;
                assert!(late < 5_000, "{name}: a task started {late} ms after its cancellation");
                cancelled += world.checker.cancelled_jobs();
            }
        }
    }
    assert!(cancelled > 200, "only {cancelled} jobs were cancelled in the gap");
}

/// Tasks of a cancelled job on a machine that does not answer have a second way to end: the kill in the
/// response to a heartbeat, a direct command, the machine's lease, or its return.
#[test]
fn cancelled_tasks_end_when_one_path_to_their_machine_fails() {
    type Faults = fn(u64) -> Vec<Fault>;
    let cases: [(&str, Faults); 7] = [
        ("no direct command arrives", |ms| vec![HoldCommands(ms)]),
        ("no heartbeat arrives", |ms| (0..8).map(|w| WorkerReachesNoController(w, ms)).collect()),
        ("no response arrives", |ms| (0..8).map(|w| UnansweredWorker(w, ms)).collect()),
        ("nothing arrives", |ms| (0..8).map(|w| PartitionWorker(w, ms, false)).collect()),
        ("everything arrives late", |ms| (0..8).map(|w| PartitionWorker(w, ms, true)).collect()),
        ("they hang", |ms| vec![WorkersHang(8, ms)]),
        ("heartbeats reach nobody, and commands are held", |ms| {
            (0..8).map(|w| WorkerReachesNoController(w, ms)).chain([HoldCommands(ms)]).collect()
        }),
    ];
    for (name, faults_for) in cases {
        for rhythm in [BRISK, SLOW] {
            for leader in [false, true] {
                let ms = rhythm.cancel_ms + rhythm.lease_ms;
                let mut faults: Vec<(u64, Fault)> =
                    faults_for(ms).into_iter().map(|f| (20_000, f)).collect();
                faults.push((20_500, CancelNow(4, 0)));
                if leader {
                    faults.push((20_600, CrashLeader));
                }
                let mut world = World::long(5, rhythm);
                world.run(&faults, 20_000 + ms + 10_000);
                let broken = &world.checker.broken;
                assert!(broken.is_empty(), "{name} {rhythm:?} {leader}: {broken:?}");
                assert!(world.checker.cancelled_jobs() > 0, "{name} {rhythm:?} {leader}");
            }
        }
    }
}

#[test]
fn many_small_jobs_with_a_quarter_cancelled_leave_few_records() {
    let faults = [(60_000, CrashLeader), (1_000, AggressivePolling(120_000))];
    let mut faults = faults.to_vec();
    faults.sort_by_key(|f| f.0);
    let mut world = World::rate(1, 720);
    world.run(&faults, 300_000);
    assert!(world.checker.broken.is_empty(), "{:?}", world.checker.broken);
    assert!(world.unfinished().is_empty(), "{:?}", world.unfinished());
    for n in 0..3 {
        let (keys, [open, ended, cancelled]) = world.held_records(n);
        assert_eq!((open, ended), (0, 720), "{n}");
        assert!((100..=180).contains(&cancelled), "{n}: {cancelled}");
        // Two keys a job, and some for all.
        assert!(keys < 2 * 720 + 60, "{keys} keys");
    }
    // Acceptance, end and at most two records of what was granted.
    assert!(world.writes < 4 * 720, "{} writes", world.writes);
}

#[test]
fn a_large_job_begins_in_time_beside_much_high_priority_work() {
    let mut world = World::crowded(1);
    world.run(&[], 320_000);
    assert!(world.checker.broken.is_empty(), "{:?}", world.checker.broken);
    assert!(!world.unfinished().is_empty(), "it was not crowded");
}

#[test]
fn no_job_starves_while_a_team_is_at_its_limit() {
    // More comes than its limit holds; between two tasks a few cores are free all the time.
    for seed in 1..=5 {
        for (rhythm, every) in [(BRISK, 800), (SLOW, 1_600)] {
            let mut world = World::busy(seed, rhythm);
            world.every = every;
            world.run(&[], 420_000);
            let broken = &world.checker.broken;
            assert!(broken.is_empty(), "{seed} {rhythm:?}: {broken:?}");
        }
    }
}

#[test]
fn a_large_fleet_keeps_the_invariants_and_its_messages_small() {
    // (what, failures): the largest arrays, all machines in use, at the rhythm of large fleets.
    let cases: Vec<(&str, Vec<(u64, Fault)>)> = vec![
        (
            "all crash, a third hangs, some stay deaf",
            vec![
                (16_000, UnansweredWorker(1_799, 60_000)),
                (16_000, UnansweredWorker(1_798, 60_000)),
                (18_000, WorkersHang(600, 60_000)),
                (19_000, CrashAll),
            ],
        ),
        (
            "controllers refuse each other while all crash",
            vec![
                (16_000, PeersRefuseConnections(40_000)),
                (17_000, CrashAll),
                (30_000, CrashLeader),
            ],
        ),
    ];
    for (name, faults) in cases {
        let mut world = World::fleet(1, 1_800);
        world.run(&faults, 180_000);
        assert!(world.checker.broken.is_empty(), "{name}: {:?}", world.checker.broken);
        let open = world.unfinished();
        assert!(open.is_empty(), "{name}: not finished: {open:?}");
        let [direct, relayed] = world.largest;
        assert!(direct <= world::DIRECT_BYTES, "{name}: {direct} bytes to a controller");
        assert!(relayed <= world::STORE_MESSAGE_BYTES, "{name}: {relayed} bytes through the store");
        // 5,400 tasks of 60 jobs on 1,800 machines: far fewer writes than things that happen.
        assert!(world.writes < 4_000, "{name}: {} writes", world.writes);
    }
}

/// However the leader fails, each phase of the change of leader is seen, and its first decision holds within ten
/// seconds.
#[test]
fn a_failover_goes_through_its_phases_in_time() {
    for fault in [CrashLeader, FreezeLeader(20_000), PartitionLeader(20_000, true)] {
        for seed in 1..=5 {
            let at = 20_000 + seed * 1_370;
            let mut world = World::busy(seed, BRISK);
            world.run(&[(at, fault)], at + 25_000);
            assert!(world.checker.broken.is_empty(), "{fault:?}: {:?}", world.checker.broken);
            let phases = world.trace.map(|trace| trace.phases).unwrap_or_default();
            for (name, time) in PHASES.into_iter().zip(phases.times()) {
                assert!(time.is_some_and(|ms| ms < 15_000), "{fault:?} {seed}: {name} {time:?}");
            }
            assert!(phases.first_epoch.is_some_and(|ms| ms < 10_000), "{fault:?}: {phases:?}");
        }
    }
}

/// The size that the operators run: the leader crashes with all machines in use, and a zone is cut later.
#[test]
fn four_thousand_machines_keep_the_invariants_and_reconcile_after_a_failover() {
    let faults = [(18_000, CrashLeader), (40_000, PartitionZones(40_000, false))];
    let mut world = World::fleet(1, 4_000);
    world.run(&faults, 200_000);
    assert!(world.checker.broken.is_empty(), "{:?}", world.checker.broken);
    let open = world.unfinished();
    assert!(open.is_empty(), "not finished: {open:?}");
    let [direct, relayed] = world.largest;
    assert!(direct <= world::DIRECT_BYTES, "{direct} bytes to a controller");
    assert!(relayed <= world::STORE_MESSAGE_BYTES, "{relayed} bytes through the store");
    assert!(world.writes < 8_000, "{} writes", world.writes);
    // All but a few machines show the next token within two heartbeats.
    let phases = world.trace.map(|trace| trace.phases).unwrap_or_default();
    assert!(phases.reconciled.is_some_and(|ms| ms <= 12_500), "{phases:?}");
    // For whoever looks; how long they take depends on the machine that plays this.
    println!("epoch {:.0} us, report {:.1} us", world.epochs.mean_us(), world.reports.mean_us());
}

#[test]
fn invariants_hold_under_random_faults() {
    // The last ones were found among many: a write that was repeated late put older machines and
    // grants back, and a restarted machine brought a new term every 15 s.
    for seed in (100..140).chain([1144, 1768, 12_606, 14_641]) {
        for rhythm in [BRISK, SLOW] {
            let faults = world::faults::random_faults(seed, rhythm);
            play(&format!("random {faults:?}"), seed, rhythm, &faults);
        }
    }
}

#[test]
fn a_gang_on_a_reclaimed_machine_checkpoints_as_a_whole() {
    let mut saved = 0;
    for seed in 1..=20 {
        for rhythm in [BRISK, SLOW] {
            let mut world = World::with_gangs(seed, rhythm);
            world.gang_run_ms = 25_000;
            // Two machines a day go while gangs run on most of them.
            let at = 12_000 + seed * 700;
            let faults = [
                (at, SpotReclaimed(seed as usize % 8, 9_000)),
                (at + 9_000, SpotReclaimed(seed as usize % 5, 14_000)),
            ];
            world.run(&faults, rhythm.lease_ms * 20);
            assert!(world.checker.broken.is_empty(), "{seed}: {:?}", world.checker.broken);
            assert!(world.unfinished().is_empty(), "{seed}: {:?}", world.unfinished());
            assert!(world.latest_save < 5_000, "{seed}: commanded {} ms apart", world.latest_save);
            saved += world.gangs_saved();
        }
    }
    assert!(saved >= 5, "only {saved} gangs were stopped in order");
}

#[test]
fn gangs_keep_the_invariants_and_end_under_random_faults() {
    for seed in 200..240 {
        for rhythm in [BRISK, SLOW] {
            let mut faults = world::faults::random_faults(seed, rhythm);
            let taken = (
                5_000 + seed * 1_237 % 60_000,
                SpotReclaimed(seed as usize % 8, 4_000 + seed % 12 * 1_000),
            );
            faults.push(taken);
            faults.sort_by_key(|f| f.0);
            let name = format!("gangs {faults:?}");
            play_in(World::with_gangs(seed, rhythm), &name, seed, rhythm, &faults);
        }
    }
}

#[test]
fn invariants_hold_through_upgrades_and_falling_limits() {
    // The last one was found among many: a machine that hung had tasks of a gang that was done, and
    // they did not count for the team's limit after a failover.
    for seed in (300..330).chain([3803]) {
        for rhythm in [BRISK, SLOW] {
            let mut faults = world::faults::random_faults(seed, rhythm);
            let roll = [(9_000, Upgrade(2)), (16_000, Upgrade(0)), (23_000, Upgrade(1))];
            faults.extend(roll);
            faults.sort_by_key(|f| f.0);
            let mut world = World::upgraded(seed, rhythm);
            world.limits_fall_at = 24_000 + seed % 20 * 1_000;
            play_in(world, &format!("upgrade {faults:?}"), seed, rhythm, &faults);
        }
    }
}

#[test]
fn the_checker_finds_broken_histories() {
    let start = |task, machine| Event::Starts { task, machine, team: 0, cores: 4, zone: None };
    let within =
        |task, machine, zone| Event::Starts { task, machine, team: 0, cores: 4, zone: Some(zone) };
    let ends = |task, machine| Event::Leaves { task, machine };
    type Case = (&'static str, Vec<(u64, Event)>, usize);
    let cases: Vec<Case> = vec![
        ("clean", vec![(0, start((1, 0), 0)), (5, ends((1, 0), 0)), (6, start((1, 0), 1))], 0),
        ("twice", vec![(0, start((1, 0), 0)), (5, start((1, 0), 1))], 1),
        ("over the limit", (0..5).map(|i| (i, start((1, i as u32), i as usize))).collect(), 1),
        (
            "runs on after its cancellation",
            vec![(0, start((1, 0), 0)), (5, Event::Cancelled { job: 1 }), (31_000, Event::Tick)],
            1,
        ),
        ("not in one zone", vec![(0, within((1, 0), 0, "a")), (1, within((1, 1), 1, "b"))], 1),
        (
            "in another zone once the first has ended",
            vec![(0, within((1, 0), 0, "a")), (1, ends((1, 0), 0)), (2, within((1, 0), 1, "b"))],
            0,
        ),
        ("called done too soon", vec![(0, Event::CalledDone { job: 1, done: 1, of: 2 })], 1),
        (
            "went back",
            vec![
                (0, Event::CalledDone { job: 1, done: 2, of: 2 }),
                (5, Event::Cancelled { job: 1 }),
            ],
            1,
        ),
    ];
    let shown = |state| Event::StateShown { job: 1, node: 0, state };
    let known = (0, Event::Submitted { job: 1 });
    let asked_to = |at| (at, Event::AskedToCancel { job: 1 });
    let could = |from: u64, to: u64, could| -> Vec<(u64, Event)> {
        (from..to).step_by(1_000).map(|at| (at, Event::JobWaiting { job: 1, could })).collect()
    };
    let gone_on = |at| vec![(at, start((1, 0), 0))];
    let closely: Vec<Case> = vec![
        (
            "open, then done",
            vec![known.clone(), (0, shown(ShownState::Open)), (1, shown(ShownState::Done))],
            0,
        ),
        ("known though nobody submitted it", vec![(0, shown(ShownState::Open))], 1),
        ("not known, and nobody submitted it", vec![(0, shown(ShownState::Unknown))], 0),
        (
            "unknown, then open",
            vec![known.clone(), (0, shown(ShownState::Unknown)), (1, shown(ShownState::Open))],
            0,
        ),
        (
            "open, then unknown",
            vec![known.clone(), (0, shown(ShownState::Open)), (1, shown(ShownState::Unknown))],
            1,
        ),
        (
            "done, then open",
            vec![known.clone(), (0, shown(ShownState::Done)), (1, shown(ShownState::Open))],
            1,
        ),
        (
            "done, then unknown",
            vec![known.clone(), (0, shown(ShownState::Done)), (1, shown(ShownState::Unknown))],
            1,
        ),
        (
            "cancelled, then open",
            vec![
                known.clone(),
                asked_to(0),
                (0, shown(ShownState::Cancelled)),
                (1, shown(ShownState::Open)),
            ],
            1,
        ),
        (
            "cancelled, then done",
            vec![
                known.clone(),
                asked_to(0),
                (0, shown(ShownState::Cancelled)),
                (1, shown(ShownState::Done)),
            ],
            1,
        ),
        (
            "cancelled without having been asked to",
            vec![known.clone(), (0, shown(ShownState::Cancelled))],
            1,
        ),
        ("has no room", could(0, 200_000, false), 0),
        ("has room for a while", could(0, 90_000, true), 0),
        ("is left waiting", could(0, 91_001, true), 1),
        (
            "goes on in between",
            [could(0, 60_000, true), gone_on(60_000), could(60_001, 140_000, true)].concat(),
            0,
        ),
    ];
    let asked = |from: u64, to: u64, known: Option<bool>| -> Vec<(u64, Event)> {
        let ask = |at| match known {
            Some(known) => (at, Event::Answered { job: 1, node: 0, known }),
            None => (at, Event::Unanswered { job: 1, node: 0 }),
        };
        (from..to).step_by(5_000).map(ask).collect()
    };
    let accepted = |at| (at, Event::Accepted { job: 1 });
    let more: Vec<Case> = vec![
        ("answered", asked(0, 90_000, Some(true)), 0),
        ("not answered for a while", asked(0, 75_001, None), 0),
        ("never answered", asked(0, 80_001, None), 1),
        ("said to be unknown", asked(0, 1, Some(false)), 1),
        ("begins", vec![accepted(0), (9, Event::Began { job: 1 }), (250_000, Event::Tick)], 0),
        ("never begins", vec![accepted(0), (240_001, Event::Tick)], 1),
        (
            "cancelled",
            vec![accepted(0), (9, Event::Cancelled { job: 1 }), (250_000, Event::Tick)],
            0,
        ),
    ];
    for (what, history, want) in cases.into_iter().chain(closely).chain(more) {
        let mut checker = Checker::new(30_000, 16);
        for (at, event) in history {
            checker.see(at, event);
        }
        assert_eq!(checker.broken.len(), want, "{what}: {:?}", checker.broken);
    }
}
