//! Tasks of cancelled jobs end in time, whatever fails.

use crate::site::{LONG_LEASES, SHORT_LEASES, Timing};
use crate::world::{Fault, World};

use Fault::{
    BriefLeaderCrash, CancelNow, CrashLeader, HoldCommands, LeaderStrandedWithMachines,
    PartitionWorker, StoreOutage, StoreRefusesLeader, UnansweredWorker, WorkerReachesNoController,
    WorkersHang,
};

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
        let rhythm = Timing { report_ms, lease_ms, cancel_ms };
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
                assert!(
                    world.checker.violations.is_empty(),
                    "{name}: {:?}",
                    world.checker.violations
                );
                // A proof of 3.5 s, the way of the answer, and the fetch of the image.
                let late = world.checker.latest_start_after_cancellation_ms;
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
        for rhythm in [SHORT_LEASES, LONG_LEASES] {
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
                let broken = &world.checker.violations;
                assert!(broken.is_empty(), "{name} {rhythm:?} {leader}: {broken:?}");
                assert!(world.checker.cancelled_jobs() > 0, "{name} {rhythm:?} {leader}");
            }
        }
    }
}
