//! Each fault by itself, combinations of faults, and random ones.

use crate::site::{BRISK, Rhythm, SLOW};
use crate::world::{self, Fault, World};
use crate::{play, play_for, play_in};

use Fault::{
    AggressivePolling, BriefCrashOfAll, BriefLeaderCrash, CancelAt, CancelAtEnd, CancelNow,
    CrashAll, CrashLeader, FastBoots, FreezeLeader, HoldCommands, LateCopies,
    LateCopiesForNextLeader, LateWrites, LeaderOnlyReachesWorkers, LostResponses,
    LostStoreResponses, PartitionLeader, PartitionWorker, PartitionZones, PeersRefuseConnections,
    SlowStore, StoreOutage, StoreRefusesLeader, UnansweredWorker, Upgrade, WorkerCrash,
    WorkerHangs, WorkerReachesNoController, WorkerRestart,
};

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
            let faults = world::random_faults::random_combined_faults(seed, rhythm);
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

#[test]
fn invariants_hold_under_random_faults() {
    // The last ones were found among many: a write that was repeated late put older machines and
    // grants back, and a restarted machine brought a new term every 15 s.
    for seed in (100..140).chain([1144, 1768, 12_606, 14_641]) {
        for rhythm in [BRISK, SLOW] {
            let faults = world::random_faults::random_faults(seed, rhythm);
            play(&format!("random {faults:?}"), seed, rhythm, &faults);
        }
    }
}

#[test]
fn invariants_hold_through_upgrades_and_falling_limits() {
    // The last one was found among many: a machine that hung had tasks of a gang that was done, and
    // they did not count for the team's limit after a failover.
    for seed in (300..330).chain([3803]) {
        for rhythm in [BRISK, SLOW] {
            let mut faults = world::random_faults::random_faults(seed, rhythm);
            let roll = [(9_000, Upgrade(2)), (16_000, Upgrade(0)), (23_000, Upgrade(1))];
            faults.extend(roll);
            faults.sort_by_key(|f| f.0);
            let mut world = World::upgraded(seed, rhythm);
            world.limits_fall_at = 24_000 + seed % 20 * 1_000;
            play_in(world, &format!("upgrade {faults:?}"), seed, rhythm, &faults);
        }
    }
}
