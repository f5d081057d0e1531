//! Machines that are slow, silent, without heartbeats or missing from the cloud's lists.

use super::*;

#[test]
fn slow_machines_are_distinguished_from_slow_tasks() {
    let cases: [(&[f64], bool); 5] = [
        (&[1.0; 9], false),
        (&[5.0, 1.0, 1.0, 1.0], false),
        (&[3.0, 3.0, 3.0], false),
        (&[3.0, 3.0, 3.0, 3.0], true),
        (&[3.0, 3.0, 3.0, 3.0, 1.0, 1.0, 1.0, 1.0], false),
    ];
    for (ratios, expected) in cases {
        let mut slowdown = MachineSlowdown::default();
        ratios.iter().for_each(|r| slowdown.record(*r));
        assert_eq!(slowdown.is_slow(), expected, "{ratios:?}");
    }
}

#[test]
fn tasks_of_a_silent_machine_end_with_its_lease_and_not_before() {
    // Guards against a lease expiry that goes unnoticed: during a network partition, whole zones were returned to
    // the cloud shortly before the partition ended, although the expiry of their leases was all the proof needed.
    let mut controller = leader();
    let summarize = |controller: &mut Controller, ms: u64, alive: bool, agent_epoch: u64| {
        controller.rights.confirm_renewal(MonotonicTime(ms));
        controller.rights.confirm_sync(MonotonicTime(ms));
        let mut first_machine = view("n-1", true, if agent_epoch == 1 { &[0] } else { &[] });
        first_machine.agent_epoch = AgentEpoch(agent_epoch);
        let mut summary = Summary {
            node: NodeId(0),
            seq: ms,
            applied_plan: PlanSeq(1),
            echoed_clock_ms: ms,
            uptime_ms: ms,
            machines: vec![first_machine, view("n-2", true, &[])],
            ..summary(ms, 0, INCARNATION)
        };
        summary.answered = vec![(MachineId::new("n-2"), 0)];
        if alive {
            summary.answered.push((MachineId::new("n-1"), 0));
        }
        controller.receive_summary(MonotonicTime(ms), summary);
        let (epoch, term) = controller.epoch(at(ms)).unwrap();
        controller.publish(at(ms), epoch, term);
        let leader = controller.leader.as_ref().unwrap();
        let task = TaskId { job: JobId(1), index: 0 };
        (leader.fleet.on_machines().contains_key(&task), leader.fleet.expired_leases.len())
    };
    summarize(&mut controller, 1_100, true, 1);
    assert_eq!(summarize(&mut controller, 30_000, true, 1), (true, 0));
    assert_eq!(
        summarize(&mut controller, 38_000, false, 1),
        (true, 0),
        "its lease may not have expired"
    );
    assert_eq!(summarize(&mut controller, 42_000, false, 1), (false, 1));
    let plan = controller.plan_for(NodeId(0), MonotonicTime(42_000)).unwrap().0;
    let expired = plan.body.map(|body| body.expired_leases);
    assert_eq!(
        expired,
        Some(vec![(MachineId::new("n-1"), AgentEpoch(1))]),
        "its shard must be told of the expired lease"
    );
    assert_eq!(summarize(&mut controller, 43_000, false, 1), (false, 1), "the lease stays expired");
    summarize(&mut controller, 44_000, true, 2);
    assert!(
        controller.leader.as_ref().unwrap().fleet.views().any(|m| &*m.id.0 == "n-1"),
        "the restarted machine must have a view"
    );
}

#[test]
fn a_recorded_machine_without_heartbeats_is_scaled_in() {
    // Guards against counting on machines that no longer exist: in a benchmark, a leader returned machines and
    // could no longer record that. The next leader took them for booting and counted on them for minutes.
    let mut controller = leader();
    let alive = || vec![view("n-2", true, &[])];
    let scaled_in = |controller: &mut Controller, ms| {
        controller.rights.confirm_renewal(MonotonicTime(ms));
        run_epoch(controller, ms, 1, alive());
        controller
            .with_leader(at(ms), |leader, cluster| leader.fleet.machines_to_scale_in(cluster))
            .unwrap()
    };
    assert!(scaled_in(&mut controller, 1_100).is_empty());
    assert!(scaled_in(&mut controller, 9_000).is_empty(), "its lease may not have expired");
    assert_eq!(scaled_in(&mut controller, 12_500), [MachineId::new("n-1")]);
}

#[test]
fn a_machine_missing_from_later_lists_is_scaled_in_once_silent() {
    let listed_machine = |id: &str| wire::ListedMachine {
        id: MachineId::new(id),
        endpoint: None,
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        state: wire::CloudMachineState::Running,
        age_s: 50.0,
    };
    // The list lags by 6 s. (time of the second list, the name that it starts after, whether it is truncated
    // after n-1, time of the check, whether n-2 is scaled in)
    let cases = [
        (9_000, None, false, 9_100, false),
        (15_000, None, false, 15_100, true),
        (15_000, None, true, 15_100, false),
        (15_000, Some("n-2"), false, 15_100, false),
    ];
    for (second_ms, after, truncated, check_ms, expected) in cases {
        let mut controller = leader();
        let list =
            |controller: &mut Controller, ms, names: &[&str], after: Option<&str>, truncated| {
                let page = wire::MachineListPage {
                    machines: names.iter().map(|name| listed_machine(name)).collect(),
                    truncated,
                };
                let after = after.map(MachineId::new);
                controller.with_leader(at(ms), |leader, cluster| {
                    leader.fleet.apply_list_page(cluster, after.as_ref(), &page)
                });
            };
        controller.rights.confirm_renewal(MonotonicTime(1_000));
        run_epoch(&mut controller, 1_000, 0, vec![view("n-1", true, &[])]);
        list(&mut controller, 500, &["n-1", "n-2"], None, false);
        list(&mut controller, second_ms, &["n-1"], after, truncated);
        controller.rights.confirm_renewal(MonotonicTime(check_ms));
        controller.leader.as_mut().unwrap().task_grants.unresolved.clear();
        run_epoch(&mut controller, check_ms, 0, vec![view("n-1", true, &[])]);
        let scaled_in = controller.with_leader(at(check_ms), |leader, cluster| {
            let second_machine = MachineId::new("n-2");
            leader.fleet.machines[&second_machine].missing
                && leader.fleet.machines_to_scale_in(cluster).contains(&second_machine)
        });
        assert_eq!(scaled_in, Some(expected), "{second_ms} {after:?} {truncated}");
    }
}
