//! Limits of teams: what counts as used, and until when.

use super::*;
use crate::replica::Progress;
use crate::wire::JobState;

/// Whose only task is granted first; it fills the team's limit.
const FIRST_JOB: JobId = JobId(1);
/// Whose only task waits for that.
const SECOND_JOB: JobId = JobId(2);

/// How the first job ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Cancelled,
    Completed,
    /// It was cancelled, and so many others were since that its end is not kept any more.
    Forgotten,
}

/// Where the first job's task is when its job ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Its shard has not started it, and does not once it follows the next plan.
    Granted,
    /// As above; the grant was not used for so long that it was revoked.
    Revoked,
    /// Its start is in a response on its way to the machine, which the shard's next summary shows.
    Starting,
}

fn shows(state: Option<TaskState>) -> Vec<MachineView> {
    let task = TaskId { job: FIRST_JOB, index: 0 };
    let tasks = state.map(|state| TaskView { task, state }).into_iter().collect();
    vec![MachineView { tasks, ..view("n-1", true, &[]) }, view("n-2", true, &[])]
}

fn load(controller: &mut Controller, key: String, value: wire::Value, revision: u64) {
    let item = KeyValue { key, value, version: Revision(revision) };
    controller.replica.load(&item, &mut ReplicaChanges::default());
}

/// A leader whose team may use as much as one task takes. The first job's may run anywhere.
fn leader_with_limit() -> Controller {
    leader_with(&EXAMPLE.replacen("cpus = 16.0\ncpus_max = 32.0", "cpus = 0.0\ncpus_max = 4.0", 1))
}

/// The same once it has granted the first job's task, with the second job waiting; and the plan that grants it.
fn leader_at_limit() -> (Controller, u64) {
    let mut controller = leader_with_limit();
    run_epoch(&mut controller, 1_100, 0, vec![]);
    assert!(run_epoch(&mut controller, 1_300, 1, shows(None)), "the first job is granted");
    submit_second_job(&mut controller);
    let plan = published(&controller);
    (controller, plan)
}

fn submit_second_job(controller: &mut Controller) {
    let accepted = Accepted { spec: spec(SECOND_JOB.0, 1), at: WallTime(1) };
    load(controller, replica::job_key(SECOND_JOB), wire::to_value(&accepted), 10);
}

fn confirm_rights(controller: &mut Controller, ms: u64) {
    controller.rights.confirm_renewal(MonotonicTime(ms));
    controller.rights.confirm_sync(MonotonicTime(ms));
}

fn published(controller: &Controller) -> u64 {
    controller.leader.as_ref().unwrap().plans.seq.0
}

/// Records that the first job has ended.
fn end_first_job(controller: &mut Controller, end: End) {
    let (state, done) = match end {
        End::Completed => (JobState::Done, TaskRanges::span(0, 1)),
        End::Cancelled | End::Forgotten => (JobState::Cancelled, TaskRanges::default()),
    };
    let progress = Progress { end: Some(state), done, gang: None };
    load(controller, replica::progress_key(FIRST_JOB), wire::to_value(&progress), 11);
    if matches!(end, End::Forgotten) {
        controller.replica.residual_usage.remove(&FIRST_JOB);
        controller.replica.residual_usage_truncated = true;
    }
}

/// Ends the first job at that stage. An error says what the leader counts wrongly.
fn end_at(stage: Stage, end: End) -> Result<(), &'static str> {
    let (mut controller, granting) = leader_at_limit();
    let mut now = 1_500;
    if stage == Stage::Revoked {
        for _ in 0..6 {
            now += 1_000;
            confirm_rights(&mut controller, now);
            let granted = run_epoch(&mut controller, now, granting, shows(None));
            ensure(!granted, "the limit is used")?;
        }
    }
    end_first_job(&mut controller, end);
    let mut epoch = |applied_plan, state| {
        now += 200;
        confirm_rights(&mut controller, now);
        let granted = run_epoch(&mut controller, now, applied_plan, shows(state));
        (granted, published(&controller))
    };
    let (granted, without) = epoch(granting, None);
    ensure(!granted, "its shard may still start it, or has")?;
    ensure(without > granting, "no plan takes the grant back")?;
    if stage == Stage::Starting {
        for state in [TaskState::Unknown, TaskState::Running] {
            ensure(!epoch(without, Some(state)).0, "it is on a machine")?;
        }
    }
    ensure(epoch(without, None).0, "it counts though it is proven to be nowhere")
}

fn ensure(holds: bool, otherwise: &'static str) -> Result<(), &'static str> {
    holds.then_some(()).ok_or(otherwise)
}

#[test]
fn a_task_under_way_counts_for_its_team_after_its_job_has_ended() {
    let mut wrong = Vec::new();
    for end in [End::Cancelled, End::Completed, End::Forgotten] {
        for stage in [Stage::Granted, Stage::Revoked, Stage::Starting] {
            if let Err(what) = end_at(stage, end) {
                wrong.push((stage, end, what));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Runs epochs of a term that has just begun; says whether the second job is granted before and after the first
/// machine is reconciled.
fn grants_around_reconciliation(controller: &mut Controller, ms: u64) -> (bool, bool) {
    let views = |reconciled| vec![view("n-1", reconciled, &[]), view("n-2", true, &[])];
    let mut epoch = |later, applied_plan, reconciled| {
        confirm_rights(controller, ms + later);
        run_epoch(controller, ms + later, applied_plan, views(reconciled))
    };
    assert!(!epoch(0, 0, false), "owners are assigned");
    let before = epoch(200, 1, false);
    (before, epoch(400, 1, true))
}

#[test]
fn what_an_earlier_term_left_of_ended_jobs_counts_until_machines_are_reconciled() {
    // A completed task that is started again ends with its image, so an array that is done uses nothing.
    let cases = [(End::Cancelled, false), (End::Forgotten, false), (End::Completed, true)];
    for (end, granted_before) in cases {
        let mut controller = leader_with_limit();
        submit_second_job(&mut controller);
        end_first_job(&mut controller, end);
        let (before, after) = grants_around_reconciliation(&mut controller, 1_100);
        assert_eq!(before, granted_before, "another leader's grant, {end:?}");
        assert_eq!(after, !granted_before, "another leader's grant, {end:?}");

        let (mut controller, _) = leader_at_limit();
        end_first_job(&mut controller, end);
        let leader = LeaderRecord { node: NodeId(0), incarnation: INCARNATION, term: Term(4) };
        let term = TermRecord { term: Term(4) };
        load(&mut controller, replica::LEADER_KEY.into(), wire::to_value(&leader), 12);
        load(&mut controller, replica::TERM_KEY.into(), wire::to_value(&term), 12);
        controller.follow(at(2_000), &ReplicaChanges { leader: true, ..ReplicaChanges::default() });
        let (before, after) = grants_around_reconciliation(&mut controller, 2_200);
        assert_eq!(before, granted_before, "its own grant, {end:?}");
        assert_eq!(after, !granted_before, "its own grant, {end:?}");
    }
}

#[test]
fn a_team_over_its_limit_is_detected() {
    let (mut controller, plan) = leader_at_limit();
    let cases = [(1_500, &[0][..], false), (1_700, &[0, 1], true), (1_900, &[0], false)];
    for (ms, tasks, over) in cases {
        let views = vec![view("n-1", true, tasks), view("n-2", true, &[])];
        run_epoch(&mut controller, ms, plan, views);
        let teams = &controller.leader.as_ref().unwrap().jobs.teams_over_limit;
        assert_eq!(teams.contains("red"), over, "{tasks:?}");
    }
}

#[test]
fn tasks_on_machines_of_types_that_the_cloud_no_longer_lists_count() {
    let retired = |id, reconciled, tasks| MachineView {
        machine_type: "retired".into(),
        ..view(id, reconciled, tasks)
    };
    let mut machines = group(&["n-1", "n-2"]);
    machines.machines[0].1.machine_type = "retired".into();
    let key = replica::machine_key(0);
    let mut wrong = Vec::new();
    for end in [End::Cancelled, End::Forgotten] {
        for reconciled in [false, true] {
            let mut controller = leader_with_limit();
            load(&mut controller, key.clone(), wire::to_value(&machines), 10);
            submit_second_job(&mut controller);
            end_first_job(&mut controller, end);
            run_epoch(&mut controller, 1_100, 0, vec![]);
            let shown: &[u32] = if reconciled { &[0] } else { &[] };
            let views = vec![retired("n-1", reconciled, shown), view("n-2", true, &[])];
            let before = run_epoch(&mut controller, 1_300, 1, views);
            let views = vec![retired("n-1", true, &[]), view("n-2", true, &[])];
            let after = run_epoch(&mut controller, 1_500, 1, views);
            if before || !after {
                wrong.push((end, reconciled, before, after));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
