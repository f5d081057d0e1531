//! Gangs: granted, stopped and restarted as a whole, with machines reserved for them.

use super::task_grants::TaskGrant;
use super::*;
use crate::offered_load::GangSample;
use crate::wire::JobKind;

/// Creates a leader with two machines, each with room for two tasks, and with job 1 and a gang
/// (job 7). `capabilities` are the capabilities of its controller.
fn leader_with_gang(tasks: u32, edit: fn(&mut wire::JobSpec), capabilities: u32) -> Controller {
    let mut controller = leader();
    let mut gang = wire::JobSpec { kind: JobKind::Gang, one_zone: true, ..spec(7, tasks) };
    edit(&mut gang);
    let item = |key: String, v| KeyValue { key, value: v, version: Revision(10) };
    let member =
        replica::MemberRecord { incarnation: INCARNATION, version: String::new(), capabilities };
    let mut replica_changes = ReplicaChanges::default();
    let accepted = Accepted { spec: gang, at: WallTime(1_000_500) };
    controller
        .replica
        .load(&item(replica::job_key(JobId(7)), wire::to_value(&accepted)), &mut replica_changes);
    controller
        .replica
        .load(&item(replica::member_key(NodeId(0)), wire::to_value(&member)), &mut replica_changes);
    controller
}

/// Creates a machine that reports these tasks of the gang.
fn gang_view(id: &str, tasks: &[(u32, TaskState)]) -> MachineView {
    let task = |index| TaskId { job: JobId(7), index };
    let tasks = tasks.iter().map(|(i, state)| TaskView { task: task(*i), state: *state });
    MachineView { tasks: tasks.collect(), ..view(id, true, &[]) }
}

/// Returns how many tasks of the gang are granted, and their attempt.
fn granted_of(controller: &Controller) -> (usize, Option<Attempt>) {
    let leader = controller.leader.as_ref().unwrap();
    let grants: Vec<&TaskGrant> = leader
        .task_grants
        .granted
        .iter()
        .filter(|(t, _)| t.job == JobId(7))
        .map(|(_, g)| g)
        .collect();
    assert!(grants.iter().all(|g| g.attempt == grants[0].attempt), "one attempt for all");
    (grants.len(), grants.first().and_then(|g| g.attempt))
}

#[test]
fn a_gang_is_granted_whole_or_not_at_all() {
    type Edit = fn(&mut wire::JobSpec);
    // (case, tasks, changes to the job, capabilities of the controller, tasks granted)
    let cases: [(&str, u32, Edit, u32, usize); 7] = [
        ("fits", 3, |_| {}, 1, 3),
        ("fills both machines", 4, |_| {}, 1, 4),
        ("does not fit", 5, |_| {}, 1, 0),
        ("in any zone", 4, |s| s.one_zone = false, 1, 4),
        (
            "half of its tasks have to be in another zone",
            4,
            |s| (s.one_zone, s.spread_zones) = (false, true),
            1,
            0,
        ),
        ("beyond the team's limit", 4, |s| s.vcpus = 8.5, 1, 0),
        ("the controller does not support gangs", 3, |_| {}, 0, 0),
    ];
    for (case, tasks, edit, capabilities, want) in cases {
        let mut controller = leader_with_gang(tasks, edit, capabilities);
        let idle = || vec![view("n-1", true, &[]), view("n-2", true, &[])];
        run_epoch(&mut controller, 1_100, 0, vec![]);
        controller.replica.jobs.remove(&JobId(1));
        run_epoch(&mut controller, 1_300, 1, idle());
        run_epoch(&mut controller, 1_500, 1, idle());
        assert_eq!(granted_of(&controller).0, want, "{case}");
    }
}

#[test]
fn a_gang_that_lost_a_task_is_stopped_and_restarted_once_no_task_is_left() {
    use TaskState::{Running, Unknown, WaitingForGang};
    type Shown = &'static [(u32, TaskState)];
    // (case, tasks that n-1 reports, tasks that n-2 reports, whether the gang is stopped)
    let cases: [(&str, Shown, Shown, bool); 5] = [
        ("all run", &[(0, Running), (1, Running)], &[(2, Running)], false),
        (
            "one still fetches its image",
            &[(0, WaitingForGang), (1, WaitingForGang)],
            &[(2, TaskState::FetchingImage)],
            false,
        ),
        ("a start was lost", &[(0, WaitingForGang), (1, WaitingForGang)], &[], false),
        (
            "a start is on its way",
            &[(0, WaitingForGang), (1, WaitingForGang)],
            &[(2, Unknown)],
            false,
        ),
        ("one ended while others run", &[(0, Running), (1, Running)], &[], true),
    ];
    for (case, first, second, stopped) in cases {
        let mut controller = leader_with_gang(3, |_| {}, 1);
        run_epoch(&mut controller, 1_100, 0, vec![]);
        controller.replica.jobs.remove(&JobId(1));
        let idle = || vec![view("n-1", true, &[]), view("n-2", true, &[])];
        run_epoch(&mut controller, 1_300, 1, idle());
        run_epoch(&mut controller, 1_500, 1, idle());
        let attempt = granted_of(&controller).1.unwrap();
        let now = || vec![gang_view("n-1", first), gang_view("n-2", second)];
        controller.rights.confirm_renewal(MonotonicTime(1_700));
        if stopped {
            let all = [
                gang_view("n-1", &[(0, Running), (1, Running)]),
                gang_view("n-2", &[(2, Running)]),
            ];
            run_epoch(&mut controller, 1_800, 2, all.to_vec());
        }
        run_epoch(&mut controller, 2_000, 2, now());
        let stops = controller.leader.as_ref().unwrap().stops();
        assert_eq!(!stops.is_empty(), stopped, "{case}");
        if !stopped {
            continue;
        }
        assert!(stops[0].before > attempt && stops[0].grace_ms == 0);
        let plan = controller.plan_for(NodeId(0), MonotonicTime(2_000)).unwrap().0;
        assert_eq!(plan.body.unwrap().stops, stops, "the plan tells shards to stop");
        // While any task is left, none starts, even if there is room: it would run beside the
        // tasks of the old attempt.
        for ms in [2_300, 2_600] {
            assert!(!run_epoch(
                &mut controller,
                ms,
                9,
                vec![gang_view("n-1", &[(0, Running)]), gang_view("n-2", &[])]
            ));
            assert_eq!(granted_of(&controller).0, 0, "{case}");
        }
        run_epoch(&mut controller, 3_000, 9, idle());
        run_epoch(&mut controller, 3_200, 9, idle());
        let (count, again) = granted_of(&controller);
        assert!(count == 3 && again.unwrap() >= stops[0].before, "a new attempt for all");
    }
}

#[test]
fn a_gang_on_a_reclaimed_machine_is_stopped_gracefully_if_time_allows() {
    // (milliseconds until n-2 is preempted, seconds to save a checkpoint, seconds between two
    // checkpoints, grace period of the stop in milliseconds)
    let cases = [
        (60_000, 3.0, 20.0, None),
        (6_500, 3.0, 20.0, Some(8_000)),
        (3_000, 3.0, 20.0, None),
        (6_500, 3.0, 0.0, None),
    ];
    for (ms, checkpoint_save_s, checkpoint_interval_s, want) in cases {
        let mut controller = leader_with_gang(3, |_| {}, 1);
        if let Some(job) = controller.replica.jobs.get_mut(&JobId(7)) {
            (job.spec.checkpoint_save_s, job.spec.checkpoint_interval_s) =
                (checkpoint_save_s, checkpoint_interval_s);
        }
        controller.replica.jobs.remove(&JobId(1));
        run_epoch(&mut controller, 1_100, 0, vec![]);
        let runs = TaskState::Running;
        let summary = Summary {
            node: NodeId(0),
            seq: 1_300,
            applied_plan: PlanSeq(1),
            machines: vec![
                gang_view("n-1", &[(0, runs), (1, runs)]),
                gang_view("n-2", &[(2, runs)]),
            ],
            answered: vec![(MachineId::new("n-1"), 0), (MachineId::new("n-2"), 0)],
            notices: vec![(MachineId::new("n-2"), ms)],
            ..summary(1, 0, INCARNATION)
        };
        controller.receive_summary(MonotonicTime(1_300), summary);
        controller.epoch(at(1_300)).unwrap();
        let stops = controller.leader.as_ref().unwrap().stops();
        assert_eq!(
            stops.first().map(|s| s.grace_ms),
            want,
            "{ms} {checkpoint_save_s} {checkpoint_interval_s}"
        );
    }
}

#[test]
fn machines_are_reserved_for_gangs_but_not_all_and_not_from_starved_jobs() {
    // Guards against a fault from the simulation: in a fleet of eight machines all were reserved
    // for gangs, and arrays never began.
    // (machines, age of the array in seconds, machines reserved, whether the array begins)
    let cases = [(2, 1, 1, true), (8, 1, 2, true), (1, 1, 1, false), (1, 101, 1, true)];
    for (machines, age_s, reserved, begins) in cases {
        let mut controller =
            leader_with_gang(64, |s| (s.allows_spot, s.image) = (false, "gang".into()), 1);
        controller.replica.jobs.remove(&JobId(1));
        let item = |key: String, v| KeyValue { key, value: v, version: Revision(11) };
        let mut replica_changes = ReplicaChanges::default();
        let array = Accepted { spec: spec(8, 1), at: WallTime(1_001_000 - age_s * 1_000) };
        controller
            .replica
            .load(&item(replica::job_key(JobId(8)), wire::to_value(&array)), &mut replica_changes);
        let names: Vec<String> = (1..=machines).map(|n| format!("n-{n}")).collect();
        let ids: Vec<&str> = names.iter().map(String::as_str).collect();
        controller.replica.load(
            &item(replica::machine_key(0), wire::to_value(&group(&ids))),
            &mut replica_changes,
        );
        let idle = || ids.iter().map(|id| view(id, true, &[])).collect();
        run_epoch(&mut controller, 1_100, 0, vec![]);
        controller.with_leader(at(1_150), |l, _| {
            l.retained.market.record_gangs(
                MonotonicTime(1_150),
                GangSample { total: Cores(64_000), largest: Cores(64_000) },
                Default::default(),
            );
        });
        run_epoch(&mut controller, 1_200, 1, idle());
        run_epoch(&mut controller, 1_400, 1, idle());
        let leader = controller.leader.as_ref().unwrap();
        assert_eq!(leader.gangs.reserved.len(), reserved, "{machines} {age_s}");
        let began = leader.task_grants.granted.keys().any(|t| t.job == JobId(8));
        assert_eq!(began, begins, "{machines} {age_s}");
    }
}
