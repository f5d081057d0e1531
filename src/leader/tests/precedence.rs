//! Which job goes first: starvation, age, importance, and grants ahead of a release.

use super::super::importance::weight;
use super::*;
use crate::wire::Priority;

#[test]
fn waiting_is_bounded_by_starvation_and_age() {
    // (age in s, seconds since it had a task anywhere, tasks done, held, team at its limit, starved); a
    // job due after 100 s.
    // Nobody may wait 90 s beside a machine with room while its team is under its limit: seen on
    // a recorded day, where a team at its limit left three jobs waiting beside the cores that
    // are free between two tasks.
    let cases = [
        (99, 99, 0, 0, false, false),
        (101, 0, 0, 0, false, true),
        (101, 0, 1, 0, false, false),
        (101, 0, 0, 1, false, false),
        (300, 300, 1, 0, false, false),
        (59, 59, 0, 0, true, false),
        (61, 0, 0, 0, true, true),
        (61, 0, 1, 0, true, false),
        (61, 59, 1, 0, true, false),
        (300, 61, 1, 0, true, true),
        (300, 61, 0, 1, true, false),
    ];
    let mut controller = leader();
    for (age_s, idle_s, done, held, at_limit, want) in cases {
        let moment =
            ClockReading { steady: MonotonicTime(400_000), wall: WallTime(1 + age_s * 1_000) };
        if let Some(leader) = &mut controller.leader {
            leader.jobs.idle_since.insert(JobId(1), MonotonicTime(400_000 - idle_s * 1_000));
        }
        if let Some(job) = controller.replica.jobs.get_mut(&JobId(1)) {
            job.progress.done = TaskRanges::span(0, done);
        }
        let starved = |l: &mut Leader, cluster: &ClusterView<'_>| {
            l.starved(cluster, &cluster.replica.jobs[&JobId(1)], held, at_limit)
        };
        let got = controller.with_leader(moment, starved);
        assert_eq!(got, Some(want), "{age_s} {idle_s} {done} {held} {at_limit}");
    }
    // Within a rank, age wins in the end over work that is still in time.
    let weigh = |controller: &mut Controller, age_s: u64| {
        let moment = ClockReading { steady: MonotonicTime(1), wall: WallTime(1 + age_s * 1_000) };
        let due = |cluster: &ClusterView<'_>| {
            let mut job = cluster.replica.jobs[&JobId(1)].clone();
            job.spec.deadline_s = Some(100.0);
            weight(cluster, &job, 10.0, false)
        };
        controller.with_leader(moment, |_, cluster| due(cluster)).unwrap()
    };
    let fresh = weigh(&mut controller, 1);
    assert!(weigh(&mut controller, 120) < fresh, "what is late waits for what is not");
    assert!(weigh(&mut controller, 600) > fresh, "but not for ever");
}

#[test]
fn grants_ahead_are_made_where_no_higher_priority_work_may_go() {
    // Seen on a bench day with all machines in use: the room that a task of 15 s had left stayed empty until its
    // machine had sent two more heartbeats. With grants ahead on all machines, small tasks filled every core and
    // services waited for two free cores beside each other.
    type Edit = fn(&mut wire::JobSpec);
    // (what, the urgent job, what the controller understands, tasks granted ahead)
    let cases: [(&str, Option<Edit>, u32, usize); 5] = [
        ("three of four tasks of 2 s end within 1.5 s", None, replica::CAPABILITY_GRANTS_AHEAD, 3),
        ("urgent work may go there", Some(|_| {}), replica::CAPABILITY_GRANTS_AHEAD, 0),
        (
            "urgent work may not",
            Some(|s| s.machine_types = Some(vec!["large".into()])),
            replica::CAPABILITY_GRANTS_AHEAD,
            3,
        ),
        ("as urgent", Some(|s| s.priority = Priority::Normal), replica::CAPABILITY_GRANTS_AHEAD, 3),
        (
            "the controller does not read such grants",
            None,
            replica::CAPABILITY_CANCELLATION_NOTICE,
            0,
        ),
    ];
    let running = |id: &str, tasks: [u32; 2]| {
        let tasks = tasks.map(|index| TaskView {
            task: TaskId { job: JobId(8), index },
            state: TaskState::Running,
        });
        MachineView { tasks: tasks.to_vec(), ..view(id, true, &[]) }
    };
    for (what, urgent, capabilities, expected) in cases {
        let mut controller = leader();
        let mut put = |key: String, v| {
            controller.replica.load(
                &KeyValue { key, value: v, version: Revision(10) },
                &mut ReplicaChanges::default(),
            );
        };
        let member = replica::MemberRecord {
            incarnation: INCARNATION,
            version: String::new(),
            capabilities,
        };
        put(replica::member_key(NodeId(0)), wire::to_value(&member));
        let short_running = wire::JobSpec { estimated_run_s: 2.0, ..spec(8, 20) };
        put(
            replica::job_key(JobId(8)),
            wire::to_value(&Accepted { spec: short_running, at: WallTime(1) }),
        );
        if let Some(edit) = urgent {
            let mut other =
                wire::JobSpec { priority: Priority::High, team: "blue".into(), ..spec(9, 1) };
            edit(&mut other);
            put(
                replica::job_key(JobId(9)),
                wire::to_value(&Accepted { spec: other, at: WallTime(1) }),
            );
        }
        run_epoch(&mut controller, 1_100, 0, vec![]);
        for step in 0..4 {
            let applied_plan = controller.leader.as_ref().unwrap().plans.seq.0;
            let full = vec![running("n-1", [0, 1]), running("n-2", [2, 3])];
            run_epoch(&mut controller, 1_300 + step * 100, applied_plan, full);
        }
        let leader = controller.leader.as_ref().unwrap();
        let normal = |t: &TaskId| t.job != JobId(9) || urgent.is_none();
        let ahead = leader
            .task_grants
            .granted
            .iter()
            .filter(|(t, g)| g.awaits_release && normal(t))
            .count();
        let as_urgent = leader
            .task_grants
            .granted
            .iter()
            .filter(|(t, g)| g.awaits_release && !normal(t))
            .count();
        let counted = if what == "as urgent" { ahead + as_urgent } else { ahead };
        assert_eq!(counted, expected, "{what}: in all epochs together");
        let planned: u32 = leader.plans.bodies[&NodeId(0)]
            .grants_awaiting_release
            .iter()
            .map(|g| g.tasks.len())
            .sum();
        assert_eq!(planned as usize, ahead + as_urgent, "{what}");
    }
}

#[test]
fn jobs_with_ample_time_yield_at_first() {
    // Seen on a bench day: arrays with a deadline of twice their run waited behind small ones that had 200 s for
    // 15 s of work, and missed it. (age, deadline, run, tasks) of a job and of one that goes before it
    let small = |age: f64| (age, 200.0, 15.0, 60);
    let large = |age: f64| (age, 110.0, 50.0, 50);
    let cases = [
        (small(0.0), large(0.0)),
        (small(20.0), large(10.0)),
        // Little work first again.
        (large(10.0), small(60.0)),
        (large(0.0), small(120.0)),
        // What is late already comes behind.
        (large(70.0), small(100.0)),
        (small(190.0), large(40.0)),
    ];
    let mut controller = leader();
    let mut weigh = |(age, deadline_s, run_s, tasks): (f64, f64, f64, u32)| {
        let now = at(1_000_000);
        let accepted = WallTime(now.wall.0 - (age * 1_000.0) as u64);
        let spec = wire::JobSpec {
            deadline_s: Some(deadline_s),
            estimated_run_s: run_s,
            ..spec(8, tasks)
        };
        let accepted = Accepted { spec, at: accepted };
        let item = KeyValue {
            key: replica::job_key(JobId(8)),
            value: wire::to_value(&accepted),
            version: Revision(10),
        };
        controller.replica.jobs.remove(&JobId(8));
        controller.replica.load(&item, &mut ReplicaChanges::default());
        controller
            .with_leader(now, |_, cluster| {
                weight(cluster, &cluster.replica.jobs[&JobId(8)], run_s, false)
            })
            .unwrap()
    };
    for (behind, first) in cases {
        let weights = (weigh(behind), weigh(first));
        assert!(weights.0 < weights.1, "{behind:?} {first:?}: {weights:?}");
    }
}
