//! The warm standby in simulation: leaders that are killed, stopped, partitioned and refused by the store, with a
//! standby that replaces them, alone and with other faults.

use willowshore_standby::settings::StandbySettings;

use crate::failover::PHASES;
use crate::site::{BRISK, Rhythm, SLOW};
use crate::world::failover::DecisionLogCost;
use crate::world::{self, Fault, World};

use Fault::{
    BriefLeaderCrash, CancelNow, CrashAll, CrashInEpoch, CrashLeader, CrashLeaderAndStandby,
    CrashSuccessor, DecisionLogLag, FastBoots, FreezeLeader, ListedFailed, LostStoreResponses,
    PartitionLeader, PartitionLeaderAndStandby, PeersRefuseConnections, StoreOutage,
    StoreRefusesLeader, StoreRefusesStandby, Upgrade, WorkerCrash,
};

/// When the leader fails in most cases, in simulated milliseconds.
const AT: u64 = 21_300;
/// The first epoch has to be published within this time of the failure.
const FIRST_EPOCH_LIMIT_MS: u64 = 10_000;

/// The same world with the warm standby enabled.
pub fn with_standby(mut world: World) -> World {
    world.standby = Some(StandbySettings::default());
    world
}

/// Runs a world with these faults and expects that no rule is broken and each job ends. Returns the world.
fn run_to_end(mut world: World, name: &str, rhythm: Rhythm, faults: &[(u64, Fault)]) -> World {
    world.run(faults, rhythm.lease_ms * 30);
    assert!(world.checker.broken.is_empty(), "{name}: {:?}", world.checker.broken);
    let open = world.unfinished();
    assert!(open.is_empty(), "{name}: not finished: {open:?}");
    world
}

/// A case of a failover.
struct HardCase {
    name: &'static str,
    faults: Vec<(u64, Fault)>,
    /// Whether the first epoch may take longer than [`FIRST_EPOCH_LIMIT_MS`]: no leader has to be replaced, or safety
    /// forbids it.
    may_be_late: bool,
}

fn case(name: &'static str, faults: Vec<(u64, Fault)>, may_be_late: bool) -> HardCase {
    HardCase { name, faults, may_be_late }
}

fn hard_cases() -> Vec<HardCase> {
    let frozen = |ms| vec![(AT, FreezeLeader(ms))];
    vec![
        case("killed", vec![(AT, CrashLeader)], false),
        case("stopped for less than a suspicion takes", frozen(500), true),
        case("goes on as the others agree", frozen(1_400), true),
        case("goes on just before it is fenced", frozen(1_460), true),
        case("goes on just after it was fenced", frozen(1_600), false),
        case("goes on before the successor's first epoch", frozen(1_680), false),
        case("goes on after the successor's first epoch", frozen(2_400), false),
        case("goes on after its lease", frozen(8_000), false),
        case(
            "dies between a store write and its record in the log",
            vec![(AT, CrashInEpoch(true))],
            false,
        ),
        case("dies with an epoch that was not written", vec![(AT, CrashInEpoch(false))], false),
        case(
            "dies while the log lags by seconds",
            vec![(AT - 4_000, DecisionLogLag(8_000)), (AT, CrashLeader)],
            false,
        ),
        case("leader and standby die together", vec![(AT, CrashLeaderAndStandby)], false),
        case(
            "the standby dies as it has taken the term",
            vec![(AT - 10, CrashSuccessor), (AT, CrashLeader)],
            false,
        ),
        case(
            "leader and standby do not reach each other",
            vec![(AT, PartitionLeaderAndStandby(30_000))],
            true,
        ),
        case("no controller reaches another", vec![(AT, PeersRefuseConnections(30_000))], true),
        case("the store refuses the leader", vec![(AT, StoreRefusesLeader(12_000))], false),
        case(
            "the store refuses the standby as the leader dies",
            vec![(AT - 100, StoreRefusesStandby(8_000)), (AT, CrashLeader)],
            false,
        ),
        case(
            "the store is out as the leader is to be fenced",
            vec![(AT, FreezeLeader(20_000)), (AT + 500, StoreOutage(6_000))],
            true,
        ),
        case(
            "answers of transactions are lost as the leader is fenced",
            vec![(AT, LostStoreResponses(6_000)), (AT, FreezeLeader(15_000))],
            false,
        ),
        case("back in a fraction of a second", vec![(AT, BriefLeaderCrash)], false),
        case("partitioned from everything", vec![(AT, PartitionLeader(25_000, true))], false),
        case(
            "machines are added and jobs cancelled at that moment",
            vec![(AT - 300, FastBoots(4)), (AT - 100, CancelNow(4, 0)), (AT, FreezeLeader(9_000))],
            false,
        ),
        case(
            "three leaders in a row",
            vec![
                (AT, FreezeLeader(5_000)),
                (AT + 2_500, CrashLeader),
                (AT + 6_000, FreezeLeader(4_000)),
            ],
            false,
        ),
        case(
            "all die after a failover",
            vec![(AT, FreezeLeader(6_000)), (AT + 1_500, WorkerCrash(1)), (AT + 3_000, CrashAll)],
            false,
        ),
    ]
}

#[test]
fn hard_cases_of_a_failover_break_no_rule_and_lose_no_job() {
    let mut failovers = 0;
    for HardCase { name, faults, may_be_late } in hard_cases() {
        for seed in 1..=4 {
            for rhythm in [BRISK, SLOW] {
                let what = format!("{name} {seed} {rhythm:?}");
                let world =
                    run_to_end(with_standby(World::busy(seed, rhythm)), &what, rhythm, &faults);
                failovers += world.changes_of_leader;
                let phases = world.trace.map(|trace| trace.phases).unwrap_or_default();
                let first = phases.first_epoch;
                let in_time = first.is_some_and(|ms| ms < FIRST_EPOCH_LIMIT_MS);
                assert!(may_be_late || in_time, "{what}: {phases:?}");
            }
        }
    }
    assert!(failovers >= 200, "only {failovers} changes of leader were played");
}

#[test]
fn gangs_bursts_and_two_versions_go_through_failovers() {
    for seed in 1..=6 {
        for rhythm in [BRISK, SLOW] {
            for fault in [FreezeLeader(7_000), CrashLeader, CrashInEpoch(true)] {
                let at = AT + seed * 400;
                let name = format!("{fault:?} {seed} {rhythm:?}");
                let gangs = with_standby(World::busy_with_gangs(seed, rhythm));
                run_to_end(gangs, &format!("gangs, {name}"), rhythm, &[(at, fault)]);
                let burst = with_standby(World::burst(seed, rhythm));
                run_to_end(burst, &format!("burst, {name}"), rhythm, &[(at, fault)]);
                let roll = [
                    (9_000, Upgrade(2)),
                    (16_000, Upgrade(0)),
                    (at, fault),
                    (33_000, Upgrade(1)),
                    (50_000, fault),
                ];
                let mut world = with_standby(World::upgraded(seed, rhythm));
                world.limits_fall_at = 24_000 + seed * 1_000;
                run_to_end(world, &format!("versions, {name}"), rhythm, &roll);
            }
        }
    }
}

#[test]
fn random_faults_meet_failovers() {
    for seed in 0..24 {
        for rhythm in [BRISK, SLOW] {
            let mut faults = world::random_faults::random_combined_faults(seed, rhythm);
            let freezes = [(14_000 + seed * 911, FreezeLeader(400 + seed * 350))];
            faults.extend(freezes);
            faults.sort_by_key(|f| f.0);
            let name = format!("meeting {faults:?}");
            run_to_end(with_standby(World::busy(seed, rhythm)), &name, rhythm, &faults);
        }
    }
}

/// Without the standby, the leader's lease of 3 s has to expire first; with it, the others notice within a second.
#[test]
fn a_standby_shortens_each_kind_of_failure_and_no_phase_gets_longer() {
    for fault in [CrashLeader, FreezeLeader(20_000), PartitionLeader(20_000, true)] {
        for seed in 1..=5 {
            let at = 20_000 + seed * 1_370;
            let phase_times = |standby: bool| {
                let world = World::busy(seed, BRISK);
                let mut world = if standby { with_standby(world) } else { world };
                world.run(&[(at, fault)], at + 25_000);
                assert!(world.checker.broken.is_empty(), "{fault:?}: {:?}", world.checker.broken);
                world.trace.map(|trace| trace.phases.times()).unwrap_or_default()
            };
            let (before, after) = (phase_times(false), phase_times(true));
            for (phase, (before, after)) in PHASES.iter().zip(before.iter().zip(after)).take(5) {
                let (Some(before), Some(after)) = (*before, after) else {
                    panic!("{fault:?} {seed}: {phase} {before:?} {after:?}");
                };
                assert!(after + 1_000 < before, "{fault:?} {seed}: {phase} {before} {after}");
            }
        }
    }
}

/// Two controllers that don't hear each other must not replace each other in turn, as each new term stops the site for
/// a second. The third controller hears a leader that only its standby does not hear.
#[test]
fn a_leader_that_others_hear_is_not_replaced() {
    for (name, fault, max_changes) in [
        ("the standby alone does not hear it", PartitionLeaderAndStandby(40_000), 0),
        ("it is stopped for a moment", FreezeLeader(400), 0),
        ("the store refuses the standby itself", StoreRefusesStandby(20_000), 0),
    ] {
        for seed in 1..=4 {
            let mut world = with_standby(World::busy(seed, BRISK));
            world.run(&[(AT, fault)], AT + 60_000);
            assert!(world.checker.broken.is_empty(), "{name}: {:?}", world.checker.broken);
            let changes = world.changes_of_leader - 1;
            assert!(changes <= max_changes, "{name} {seed}: {changes} changes of leader");
        }
    }
}

/// A leader that was replaced while it was stopped acts once more before it receives the new term. What the store
/// guards fails; returning machines is not guarded, so it has to check its leadership first.
#[test]
fn a_leader_that_goes_on_gives_up_what_it_was_about_to_return() {
    for seed in 1..=8 {
        let at = AT + seed * 130;
        let faults = [(at, ListedFailed(1)), (at, FreezeLeader(1_800))];
        let mut world = with_standby(World::busy(seed, BRISK));
        world.acts_before_learning = true;
        world.run(&faults, at + 8_000);
        assert!(world.checker.broken.is_empty(), "{seed}: {:?}", world.checker.broken);
        assert!(world.refused_actions > 0, "{seed}");
        assert!(
            !world.is_terminated(1),
            "{seed}: it was returned, with what the successor had put on it"
        );
    }
}

/// The mirrored decisions are the leader's, and a failover confirms most of them.
#[test]
fn a_new_leader_knows_what_its_predecessor_had_decided() {
    let mut confirmed = 0;
    for seed in 1..=5 {
        let mut world = with_standby(World::busy(seed, BRISK));
        world.run(&[(AT, CrashLeader)], AT + 8_000);
        let (counts, divergences) = world.verification_of_leader();
        assert_eq!(divergences, 0, "{seed}");
        assert!(counts.hints > 0, "{seed}: {counts:?}");
        confirmed += counts.confirmed;
        assert!(counts.dropped <= counts.confirmed, "{seed}: {counts:?}");
    }
    assert!(confirmed > 20, "{confirmed}");
}

#[test]
fn the_log_of_a_fleet_stays_small() {
    let settings = StandbySettings::default();
    let mut world = with_standby(World::fleet(1, 600));
    world.run(&[(18_000, CrashLeader)], 45_000);
    assert!(world.checker.broken.is_empty(), "{:?}", world.checker.broken);
    let DecisionLogCost { bytes, records, entries } = world.decision_log_cost_of_leader();
    assert!(entries > 100, "{entries} entries");
    assert!(records <= settings.window_records, "{records} records");
    // Two standbys, 25 s.
    assert!((1..25 * 20_000).contains(&bytes), "{bytes} bytes");
    let [direct, _] = world.largest_message_bytes;
    assert!(direct <= world::MAX_DIRECT_BYTES, "{direct} bytes to a controller");
}
