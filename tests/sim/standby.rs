//! Simulates failovers to a warm standby: the leader crashes, is suspended or partitioned, or the store refuses it,
//! alone and together with other faults.

use willowshore_standby::settings::StandbySettings;

use crate::failover::PHASES;
use crate::site::{LONG_LEASES, SHORT_LEASES, WorkerTiming};
use crate::world::failover::DecisionLogCost;
use crate::world::{self, Fault, World};

use Fault::{
    BriefLeaderCrash, CancelNow, CrashAll, CrashInEpoch, CrashLeader, CrashLeaderAndStandby,
    CrashSuccessor, DecisionLogLag, FastBoots, FreezeLeader, ListedFailed, LostStoreResponses,
    PartitionLeader, PartitionLeaderAndStandby, PeersRefuseConnections, StoreOutage,
    StoreRefusesLeader, StoreRefusesStandby, Upgrade, WorkerCrash,
};

/// When the leader fails in most cases, in simulated milliseconds.
const FAILURE_AT_MS: u64 = 21_300;
/// The new leader has to publish its first epoch within this time after the failure.
const FIRST_EPOCH_LIMIT_MS: u64 = 10_000;

/// Enables the warm standby in a world.
pub fn with_standby(mut world: World) -> World {
    world.standby = Some(StandbySettings::default());
    world
}

/// Runs a world for 30 lease durations, expects no violation and the end of every job, and returns the world.
fn run_to_end(
    mut world: World,
    name: &str,
    timing: WorkerTiming,
    faults: &[(u64, Fault)],
) -> World {
    world.run(faults, timing.lease_ms * 30);
    assert!(world.checker.violations.is_empty(), "{name}: {:?}", world.checker.violations);
    let unfinished = world.unfinished();
    assert!(unfinished.is_empty(), "{name}: unfinished jobs: {unfinished:?}");
    world
}

/// Faults around a failure of the leader.
struct FailoverCase {
    name: &'static str,
    faults: Vec<(u64, Fault)>,
    /// Whether the first epoch may take longer than [`FIRST_EPOCH_LIMIT_MS`], because the leader need not be replaced
    /// or safety forbids its replacement.
    may_be_late: bool,
}

fn case(name: &'static str, faults: Vec<(u64, Fault)>, may_be_late: bool) -> FailoverCase {
    FailoverCase { name, faults, may_be_late }
}

fn failover_cases() -> Vec<FailoverCase> {
    let frozen = |ms| vec![(FAILURE_AT_MS, FreezeLeader(ms))];
    vec![
        case("crashes", vec![(FAILURE_AT_MS, CrashLeader)], false),
        case("suspended for less time than a suspicion takes", frozen(500), true),
        case("resumes while the others agree on its silence", frozen(1_400), true),
        case("resumes just before it is fenced", frozen(1_460), true),
        case("resumes just after it was fenced", frozen(1_600), false),
        case("resumes before the successor's first epoch", frozen(1_680), false),
        case("resumes after the successor's first epoch", frozen(2_400), false),
        case("resumes after its lease expired", frozen(8_000), false),
        case(
            "crashes between a store write and its record in the decision log",
            vec![(FAILURE_AT_MS, CrashInEpoch(true))],
            false,
        ),
        case(
            "crashes before an epoch is written",
            vec![(FAILURE_AT_MS, CrashInEpoch(false))],
            false,
        ),
        case(
            "crashes while the decision log lags by seconds",
            vec![(FAILURE_AT_MS - 4_000, DecisionLogLag(8_000)), (FAILURE_AT_MS, CrashLeader)],
            false,
        ),
        case(
            "leader and standby crash together",
            vec![(FAILURE_AT_MS, CrashLeaderAndStandby)],
            false,
        ),
        case(
            "the standby crashes right after it took the term",
            vec![(FAILURE_AT_MS - 10, CrashSuccessor), (FAILURE_AT_MS, CrashLeader)],
            false,
        ),
        case(
            "leader and standby do not reach each other",
            vec![(FAILURE_AT_MS, PartitionLeaderAndStandby(30_000))],
            true,
        ),
        case(
            "no controller reaches another",
            vec![(FAILURE_AT_MS, PeersRefuseConnections(30_000))],
            true,
        ),
        case(
            "the store refuses the leader",
            vec![(FAILURE_AT_MS, StoreRefusesLeader(12_000))],
            false,
        ),
        case(
            "the store refuses the standby as the leader crashes",
            vec![(FAILURE_AT_MS - 100, StoreRefusesStandby(8_000)), (FAILURE_AT_MS, CrashLeader)],
            false,
        ),
        case(
            "the store is down when the leader is to be fenced",
            vec![(FAILURE_AT_MS, FreezeLeader(20_000)), (FAILURE_AT_MS + 500, StoreOutage(6_000))],
            true,
        ),
        case(
            "responses of transactions are lost while the leader is fenced",
            vec![(FAILURE_AT_MS, LostStoreResponses(6_000)), (FAILURE_AT_MS, FreezeLeader(15_000))],
            false,
        ),
        case("restarts within a second", vec![(FAILURE_AT_MS, BriefLeaderCrash)], false),
        case(
            "partitioned from everything",
            vec![(FAILURE_AT_MS, PartitionLeader(25_000, true))],
            false,
        ),
        case(
            "suspended as machines are added and jobs cancelled",
            vec![
                (FAILURE_AT_MS - 300, FastBoots(4)),
                (FAILURE_AT_MS - 100, CancelNow(4, 0)),
                (FAILURE_AT_MS, FreezeLeader(9_000)),
            ],
            false,
        ),
        case(
            "three leaders in a row",
            vec![
                (FAILURE_AT_MS, FreezeLeader(5_000)),
                (FAILURE_AT_MS + 2_500, CrashLeader),
                (FAILURE_AT_MS + 6_000, FreezeLeader(4_000)),
            ],
            false,
        ),
        case(
            "all crash after a failover",
            vec![
                (FAILURE_AT_MS, FreezeLeader(6_000)),
                (FAILURE_AT_MS + 1_500, WorkerCrash(1)),
                (FAILURE_AT_MS + 3_000, CrashAll),
            ],
            false,
        ),
    ]
}

#[test]
fn failovers_violate_no_invariant_and_lose_no_job() {
    let mut failovers = 0;
    for FailoverCase { name, faults, may_be_late } in failover_cases() {
        for seed in 1..=4 {
            for timing in [SHORT_LEASES, LONG_LEASES] {
                let name_and_seed = format!("{name} {seed} {timing:?}");
                let world = run_to_end(
                    with_standby(World::busy(seed, timing)),
                    &name_and_seed,
                    timing,
                    &faults,
                );
                failovers += world.changes_of_leader;
                let phases = world.trace.map(|trace| trace.phases).unwrap_or_default();
                let first_epoch = phases.first_epoch;
                let in_time = first_epoch.is_some_and(|ms| ms < FIRST_EPOCH_LIMIT_MS);
                assert!(may_be_late || in_time, "{name_and_seed}: {phases:?}");
            }
        }
    }
    assert!(failovers >= 200, "only {failovers} changes of leader");
}

#[test]
fn gangs_bursts_and_mixed_versions_survive_failovers() {
    for seed in 1..=6 {
        for timing in [SHORT_LEASES, LONG_LEASES] {
            for fault in [FreezeLeader(7_000), CrashLeader, CrashInEpoch(true)] {
                let at = FAILURE_AT_MS + seed * 400;
                let name = format!("{fault:?} {seed} {timing:?}");
                let gangs = with_standby(World::busy_with_gangs(seed, timing));
                run_to_end(gangs, &format!("gangs, {name}"), timing, &[(at, fault)]);
                let burst = with_standby(World::burst(seed, timing));
                run_to_end(burst, &format!("burst, {name}"), timing, &[(at, fault)]);
                let upgrades_and_faults = [
                    (9_000, Upgrade(2)),
                    (16_000, Upgrade(0)),
                    (at, fault),
                    (33_000, Upgrade(1)),
                    (50_000, fault),
                ];
                let mut world = with_standby(World::upgraded(seed, timing));
                world.limits_fall_at = 24_000 + seed * 1_000;
                run_to_end(world, &format!("versions, {name}"), timing, &upgrades_and_faults);
            }
        }
    }
}

#[test]
fn invariants_hold_under_random_faults_with_failovers() {
    for seed in 0..24 {
        for timing in [SHORT_LEASES, LONG_LEASES] {
            let mut faults = world::random_faults::random_combined_faults(seed, timing);
            let freezes = [(14_000 + seed * 911, FreezeLeader(400 + seed * 350))];
            faults.extend(freezes);
            faults.sort_by_key(|f| f.0);
            let name = format!("combined {faults:?}");
            run_to_end(with_standby(World::busy(seed, timing)), &name, timing, &faults);
        }
    }
}

/// Without the standby, the leader's lease of 3 s has to expire before a failover. With the standby, the other
/// controllers notice the failure within a second.
#[test]
fn a_standby_shortens_each_kind_of_failure_and_no_phase_gets_longer() {
    for fault in [CrashLeader, FreezeLeader(20_000), PartitionLeader(20_000, true)] {
        for seed in 1..=5 {
            let at = 20_000 + seed * 1_370;
            let phase_times = |standby: bool| {
                let world = World::busy(seed, SHORT_LEASES);
                let mut world = if standby { with_standby(world) } else { world };
                world.run(&[(at, fault)], at + 25_000);
                assert!(
                    world.checker.violations.is_empty(),
                    "{fault:?}: {:?}",
                    world.checker.violations
                );
                world.trace.map(|trace| trace.phases.times()).unwrap_or_default()
            };
            let (without, with) = (phase_times(false), phase_times(true));
            for (phase, (without, with)) in PHASES.iter().zip(without.iter().zip(with)).take(5) {
                let (Some(without), Some(with)) = (*without, with) else {
                    panic!(
                        "{fault:?} {seed}: {phase} without standby {without:?} ms, with {with:?} ms"
                    );
                };
                assert!(
                    with + 1_000 < without,
                    "{fault:?} {seed}: {phase} without standby {without} ms, with {with} ms"
                );
            }
        }
    }
}

/// Guards against two controllers that don't reach each other and replace each other in turn, as each new term stops
/// scheduling for a second. A leader that the third controller hears must stay.
#[test]
fn a_leader_that_a_majority_hears_is_not_replaced() {
    for (name, fault, max_changes) in [
        ("only the standby does not hear the leader", PartitionLeaderAndStandby(40_000), 0),
        ("the leader is suspended briefly", FreezeLeader(400), 0),
        ("the store refuses the standby", StoreRefusesStandby(20_000), 0),
    ] {
        for seed in 1..=4 {
            let mut world = with_standby(World::busy(seed, SHORT_LEASES));
            world.run(&[(FAILURE_AT_MS, fault)], FAILURE_AT_MS + 60_000);
            assert!(world.checker.violations.is_empty(), "{name}: {:?}", world.checker.violations);
            let changes = world.changes_of_leader - 1;
            assert!(changes <= max_changes, "{name} {seed}: {changes} changes of leader");
        }
    }
}

/// A leader that was replaced while it was suspended may act once more before it learns the new term. The store rejects
/// its transactions, but the cloud would accept the return of a machine, so the leader has to verify its leadership
/// before it returns one.
#[test]
fn a_replaced_leader_that_resumes_returns_no_machine() {
    for seed in 1..=8 {
        let at = FAILURE_AT_MS + seed * 130;
        let faults = [(at, ListedFailed(1)), (at, FreezeLeader(1_800))];
        let mut world = with_standby(World::busy(seed, SHORT_LEASES));
        world.acts_before_learning = true;
        world.run(&faults, at + 8_000);
        assert!(world.checker.violations.is_empty(), "{seed}: {:?}", world.checker.violations);
        assert!(world.refused_actions > 0, "{seed}");
        assert!(
            !world.is_terminated(1),
            "{seed}: the old leader returned a machine with tasks of its successor"
        );
    }
}

/// The decisions that a standby received equal the leader's, and the verification after a failover confirms most of
/// them.
#[test]
fn a_new_leader_confirms_most_decisions_of_its_predecessor() {
    let mut confirmed = 0;
    for seed in 1..=5 {
        let mut world = with_standby(World::busy(seed, SHORT_LEASES));
        world.run(&[(FAILURE_AT_MS, CrashLeader)], FAILURE_AT_MS + 8_000);
        let (counts, divergences) = world.verification_of_leader();
        assert_eq!(divergences, 0, "{seed}");
        assert!(counts.hints > 0, "{seed}: {counts:?}");
        confirmed += counts.confirmed;
        assert!(counts.dropped <= counts.confirmed, "{seed}: {counts:?}");
    }
    assert!(confirmed > 20, "only {confirmed} decisions confirmed");
}

#[test]
fn the_decision_log_of_a_fleet_stays_small() {
    let settings = StandbySettings::default();
    let mut world = with_standby(World::fleet(1, 600));
    world.run(&[(18_000, CrashLeader)], 45_000);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    let DecisionLogCost { bytes, records, entries } = world.decision_log_cost_of_leader();
    assert!(entries > 100, "{entries} entries");
    assert!(records <= settings.window_records, "{records} records");
    // At most 20 kB/s to both standbys together, over 25 s.
    assert!((1..25 * 20_000).contains(&bytes), "{bytes} bytes");
    let [direct, _] = world.largest_message_bytes;
    assert!(direct <= world::MAX_DIRECT_BYTES, "{direct} bytes in a message to a controller");
}
