//! Tasks of cancelled jobs end within `cancel_s`, whatever fails.

use crate::site::{LONG_LEASES, SHORT_LEASES, WorkerTiming};
use crate::world::{Fault, World};

use Fault::{
    BriefLeaderCrash, CancelNow, CrashLeader, HoldCommands, LeaderStrandedWithMachines,
    PartitionWorker, StoreOutage, StoreRefusesLeader, UnansweredWorker, WorkerReachesNoController,
    WorkersHang,
};

/// The store refuses only the leader, and other controllers confirm cancellations. Then the store is down for
/// longer than `cancel_s`, while workers keep sending heartbeats to the old leader. The tasks have to end all
/// the same, and no task of the jobs may start long after the confirmation. In some cases the leader is
/// partitioned together with most machines and does not learn of the cancellations. In these cases, only the
/// time limits on what a controller may do without the store end the tasks.
#[test]
fn cancelled_tasks_end_in_time_whatever_the_store_does() {
    // Heartbeat interval, worker lease and cancellation time: those of the deployments, and the shortest that
    // the settings allow.
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
        let timing = WorkerTiming { report_ms, lease_ms, cancel_ms };
        let outage_ms = cancel_ms + lease_ms + 5_000;
        // Time from the refusal to the cancellation, and from the cancellation to the outage.
        for (seed, (cancelled_after_ms, outage_after_ms)) in
            [(500, 1_500), (20, 1_900), (1_200, 60), (1_950, 10)].into_iter().enumerate()
        {
            for (hang_ms, leader_crashes, leader_is_stranded) in [
                (0, false, false),
                (0, true, false),
                (lease_ms * 8 / 10, false, false),
                (lease_ms * 8 / 10, true, true),
                (0, false, true),
            ] {
                let (refused_at, cancelled_at) = (20_000, 20_000 + cancelled_after_ms);
                let mut faults = vec![
                    (
                        refused_at,
                        if leader_is_stranded {
                            LeaderStrandedWithMachines(outage_ms)
                        } else {
                            StoreRefusesLeader(14_000)
                        },
                    ),
                    (cancelled_at, CancelNow(4, hang_ms)),
                    (cancelled_at + outage_after_ms, StoreOutage(outage_ms)),
                ];
                if leader_crashes {
                    faults.push((cancelled_at + outage_after_ms + 3_000, BriefLeaderCrash));
                }
                let mut world = World::long_running(seed as u64, timing);
                world.run(&faults, cancelled_at + outage_after_ms + outage_ms + 20_000);
                let name = format!(
                    "{timing:?}, cancelled after {cancelled_after_ms} ms, outage after {outage_after_ms} ms, \
                     hang of {hang_ms} ms, leader crashes: {leader_crashes}, \
                     leader is stranded: {leader_is_stranded}"
                );
                assert!(
                    world.checker.violations.is_empty(),
                    "{name}: {:?}",
                    world.checker.violations
                );
                // The bound covers the proof that the replica is current, which is valid for 3.5 s, the transit
                // of the response and the fetch of the image.
                let latest_start_after_cancellation_ms =
                    world.checker.latest_start_after_cancellation_ms;
                assert!(
                    latest_start_after_cancellation_ms < 5_000,
                    "{name}: a task started {latest_start_after_cancellation_ms} ms after its cancellation"
                );
                cancelled += world.checker.cancelled_jobs();
            }
        }
    }
    assert!(cancelled > 200, "only {cancelled} jobs were cancelled, expected more than 200");
}

/// Tasks of a cancelled job are ended by the kill command in the response to a heartbeat, by a direct command,
/// by the expiry of the worker lease, or by the return of the machine. The tasks have to end when some of these
/// ways fail.
#[test]
fn cancelled_tasks_end_when_one_path_to_their_machine_fails() {
    type FaultsOfDuration = fn(u64) -> Vec<Fault>;
    let cases: [(&str, FaultsOfDuration); 7] = [
        ("no direct command arrives", |ms| vec![HoldCommands(ms)]),
        ("no heartbeat arrives", |ms| (0..8).map(|w| WorkerReachesNoController(w, ms)).collect()),
        ("no response arrives", |ms| (0..8).map(|w| UnansweredWorker(w, ms)).collect()),
        ("nothing arrives", |ms| (0..8).map(|w| PartitionWorker(w, ms, false)).collect()),
        ("everything arrives late", |ms| (0..8).map(|w| PartitionWorker(w, ms, true)).collect()),
        ("the machines hang", |ms| vec![WorkersHang(8, ms)]),
        ("no heartbeat arrives, and direct commands arrive late", |ms| {
            (0..8).map(|w| WorkerReachesNoController(w, ms)).chain([HoldCommands(ms)]).collect()
        }),
    ];
    for (name, faults_for) in cases {
        for timing in [SHORT_LEASES, LONG_LEASES] {
            for leader_crashes in [false, true] {
                let ms = timing.cancel_ms + timing.lease_ms;
                let mut faults: Vec<(u64, Fault)> =
                    faults_for(ms).into_iter().map(|f| (20_000, f)).collect();
                faults.push((20_500, CancelNow(4, 0)));
                if leader_crashes {
                    faults.push((20_600, CrashLeader));
                }
                let mut world = World::long_running(5, timing);
                world.run(&faults, 20_000 + ms + 10_000);
                let violations = &world.checker.violations;
                assert!(
                    violations.is_empty(),
                    "{name} {timing:?}, leader crashes: {leader_crashes}: {violations:?}"
                );
                assert!(
                    world.checker.cancelled_jobs() > 0,
                    "{name} {timing:?}, leader crashes: {leader_crashes}: no job was cancelled"
                );
            }
        }
    }
}
