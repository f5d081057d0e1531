//! Which tasks a term may grant again: what proves that a task is on no machine.

use super::*;

#[test]
fn state_from_an_earlier_term_proves_no_absence() {
    // Guards against a task that was started on n-2 while it ran on n-1, as happened in a benchmark
    // run. After a failover, a summary from before the first plan had the task on n-1; in the next
    // summary the owner had forgotten that machine.
    let mut controller = leader();
    let both = |tasks| vec![view("n-1", true, tasks), view("n-2", true, &[])];
    assert!(!run_epoch(&mut controller, 1_100, 0, vec![]), "only assigns owners");
    assert!(
        !run_epoch(&mut controller, 1_300, 0, both(&[0])),
        "the summary is older than the term's first plan"
    );
    assert!(
        !run_epoch(&mut controller, 1_500, 1, vec![view("n-2", true, &[])]),
        "n-1 is not in the summary"
    );
    assert!(!run_epoch(&mut controller, 1_700, 1, both(&[0])), "n-1 runs the task");
    assert!(
        run_epoch(&mut controller, 1_900, 1, both(&[])),
        "n-1 itself reports that it does not have the task"
    );
}

#[test]
fn a_task_on_two_machines_is_detected() {
    // In production, a controller owned two machines that ran the same task for seven seconds, and
    // nothing was logged.
    // (tasks on n-1, tasks on n-2, whether n-2 is reconciled, tasks on both)
    type Case = (&'static [u32], &'static [u32], bool, &'static [u32]);
    let cases: [Case; 4] = [
        (&[0], &[], true, &[]),
        (&[0], &[0], true, &[0]),
        (&[0, 1], &[1, 2], true, &[1]),
        (&[0], &[0], false, &[]), // an unreconciled machine proves nothing
    ];
    for (first, second, reconciled, both) in cases {
        let mut controller = leader();
        run_epoch(&mut controller, 1_100, 0, vec![]);
        run_epoch(
            &mut controller,
            1_300,
            1,
            vec![view("n-1", true, first), view("n-2", reconciled, second)],
        );
        let fleet = &controller.leader.as_ref().unwrap().fleet;
        let found = fleet.duplicated(&fleet.on_machines());
        let found: Vec<u32> = found.iter().map(|d| d.task.index).collect();
        assert_eq!(found, both, "{first:?} {second:?} {reconciled}");
    }
}

#[test]
fn evidence_names_controllers_plans_and_machines() {
    let mut controller = leader();
    run_epoch(&mut controller, 1_100, 0, vec![]);
    run_epoch(&mut controller, 1_300, 1, vec![view("n-1", true, &[]), view("n-2", true, &[])]);
    let evidence = controller.leader.as_ref().unwrap().fleet.evidence().to_string();
    assert_eq!(evidence, "node 0: 2 by plan 1; leases ended: 0; gone: 0");
}

#[test]
fn an_unreconciled_machine_proves_nothing_about_its_tasks() {
    // Its owner may report a task that has left the machine, or not report one that is on it.
    let mut controller = leader();
    let machines = |tasks| vec![view("n-1", false, tasks), view("n-2", true, &[])];
    assert!(!run_epoch(&mut controller, 1_100, 0, vec![]));
    assert!(!run_epoch(&mut controller, 1_300, 1, machines(&[0])));
    assert!(!run_epoch(&mut controller, 1_500, 1, machines(&[])));
}

#[test]
fn an_unresolved_task_waits_for_every_machine_that_may_hold_it() {
    let mut controller = leader();
    let machines = |reconciled| vec![view("n-1", reconciled, &[]), view("n-2", true, &[])];
    assert!(!run_epoch(&mut controller, 1_100, 0, vec![]));
    assert!(
        !run_epoch(&mut controller, 1_300, 1, machines(false)),
        "n-1 may still accept older commands"
    );
    assert!(run_epoch(&mut controller, 1_500, 1, machines(true)));
}

#[test]
fn ranges_recorded_ahead_are_unresolved_for_other_leaders_only() {
    let mut controller = leader();
    let accepted = Accepted { spec: spec(2, 20), at: WallTime(1) };
    let item = |key: String, v| KeyValue { key, value: v, version: Revision(10) };
    let mut replica_changes = ReplicaChanges::default();
    let job = item(replica::job_key(JobId(2)), wire::to_value(&accepted));
    controller.replica.load(&job, &mut replica_changes);
    let idle = || vec![view("n-1", true, &[0]), view("n-2", true, &[])];
    run_epoch(&mut controller, 1_100, 0, vec![]);
    run_epoch(&mut controller, 1_300, 1, idle());
    let leader = controller.leader.as_ref().unwrap();
    let granted: Vec<TaskId> = leader.task_grants.granted.keys().copied().collect();
    assert!(!granted.is_empty() && granted.len() < 4, "{granted:?}");
    let recorded = leader.task_grants.recorded[&JobId(2)].clone();
    assert!(recorded.len() as usize > granted.len(), "some are recorded ahead");
    // The record as the state service has it, and the next term of the same leader.
    let record = EpochRecord { term: Term(3), granted: vec![(JobId(2), recorded.clone())] };
    let items = [
        item(replica::epoch_key(2), wire::to_value(&record)),
        item(
            replica::LEADER_KEY.into(),
            wire::to_value(&LeaderRecord {
                node: NodeId(0),
                incarnation: INCARNATION,
                term: Term(4),
            }),
        ),
        item(replica::TERM_KEY.into(), wire::to_value(&TermRecord { term: Term(4) })),
    ];
    items.iter().for_each(|i| controller.replica.load(i, &mut replica_changes));
    let all = controller.replica.unfinished_granted_tasks();
    controller.follow(at(2_000), &ReplicaChanges { leader: true, ..ReplicaChanges::default() });
    let unresolved = &controller.leader.as_ref().unwrap().task_grants.unresolved;
    let of_job_2 = |t: &&TaskId| t.job == JobId(2);
    assert_eq!(unresolved.iter().filter(of_job_2).count(), granted.len());
    assert!(granted.iter().all(|t| unresolved.contains(t)));
    assert_eq!(all.iter().filter(of_job_2).count(), recorded.len() as usize, "for other leaders");
}
