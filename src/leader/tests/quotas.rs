//! Limits of teams: what counts as used, and until when.

use super::*;
use crate::replica::Progress;
use crate::wire::JobState;

/// The job whose only task is granted first; the task fills the team's limit.
const FIRST_JOB: JobId = JobId(1);
/// The job whose only task waits until the first job's task no longer counts.
const SECOND_JOB: JobId = JobId(2);

/// How the first job ends.
#[derive(Clone, Copy, Debug)]
enum JobEnd {
    Cancelled,
    Completed,
    /// Cancelled, and so many other jobs were cancelled since that its residual usage is no longer recorded.
    UsageDropped,
}

/// State of the first job's task when the job ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TaskStage {
    /// Granted, and its shard has not started it. The shard does not start it once it follows the next plan.
    Granted,
    /// Granted and not started for so long that the grant was revoked.
    Revoked,
    /// Started, but the command is still on its way to the machine. The shard's next summary shows the task.
    Starting,
}

fn views_with_first_task(state: Option<TaskState>) -> Vec<MachineView> {
    let task = TaskId { job: FIRST_JOB, index: 0 };
    let tasks = state.map(|state| TaskView { task, state }).into_iter().collect();
    vec![MachineView { tasks, ..view("n-1", true, &[]) }, view("n-2", true, &[])]
}

fn load(controller: &mut Controller, key: String, value: wire::Value, revision: u64) {
    let item = KeyValue { key, value, version: Revision(revision) };
    controller.replica.load(&item, &mut ReplicaChanges::default());
}

/// Creates a leader whose team may use as much as one task needs. An earlier term granted the first job's task,
/// which may be running on any machine.
fn leader_with_limit() -> Controller {
    leader_with(&EXAMPLE.replacen("cpus = 16.0\ncpus_max = 32.0", "cpus = 0.0\ncpus_max = 4.0", 1))
}

/// Creates a leader that has granted the first job's task while the second job waits. Returns it with the number
/// of the plan that grants the task.
fn leader_at_limit() -> (Controller, u64) {
    let mut controller = leader_with_limit();
    run_epoch(&mut controller, 1_100, 0, vec![]);
    assert!(
        run_epoch(&mut controller, 1_300, 1, views_with_first_task(None)),
        "the first job must be granted"
    );
    submit_second_job(&mut controller);
    let plan = published_plan(&controller);
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

fn published_plan(controller: &Controller) -> u64 {
    controller.leader.as_ref().unwrap().plans.seq.0
}

/// Records that the first job has ended.
fn end_first_job(controller: &mut Controller, end: JobEnd) {
    let (state, done) = match end {
        JobEnd::Completed => (JobState::Done, TaskRanges::span(0, 1)),
        JobEnd::Cancelled | JobEnd::UsageDropped => (JobState::Cancelled, TaskRanges::default()),
    };
    let progress = Progress { end: Some(state), done, gang: None };
    load(controller, replica::progress_key(FIRST_JOB), wire::to_value(&progress), 11);
    if matches!(end, JobEnd::UsageDropped) {
        controller.replica.residual_usage.remove(&FIRST_JOB);
        controller.replica.residual_usage_truncated = true;
    }
}

/// Ends the first job while its task is at `stage`. Returns an error that says what the leader counts wrongly.
fn check_usage_after_end(stage: TaskStage, end: JobEnd) -> Result<(), &'static str> {
    let (mut controller, granting_plan) = leader_at_limit();
    let mut now = 1_500;
    if stage == TaskStage::Revoked {
        for _ in 0..6 {
            now += 1_000;
            confirm_rights(&mut controller, now);
            let granted =
                run_epoch(&mut controller, now, granting_plan, views_with_first_task(None));
            ensure(!granted, "the second job is granted although the limit is used up")?;
        }
    }
    end_first_job(&mut controller, end);
    let mut epoch = |applied_plan, state| {
        now += 200;
        confirm_rights(&mut controller, now);
        let granted = run_epoch(&mut controller, now, applied_plan, views_with_first_task(state));
        (granted, published_plan(&controller))
    };
    let (granted, revoking_plan) = epoch(granting_plan, None);
    ensure(!granted, "the task does not count although its shard may still start it")?;
    ensure(revoking_plan > granting_plan, "no plan revokes the grant")?;
    if stage == TaskStage::Starting {
        for state in [TaskState::Unknown, TaskState::Running] {
            ensure(
                !epoch(revoking_plan, Some(state)).0,
                "the task does not count although it is on a machine",
            )?;
        }
    }
    ensure(
        epoch(revoking_plan, None).0,
        "the task counts although it is proven to be on no machine",
    )
}

fn ensure(condition: bool, failure: &'static str) -> Result<(), &'static str> {
    condition.then_some(()).ok_or(failure)
}

#[test]
fn pending_task_counts_for_its_team_after_its_job_has_ended() {
    let mut failures = Vec::new();
    for end in [JobEnd::Cancelled, JobEnd::Completed, JobEnd::UsageDropped] {
        for stage in [TaskStage::Granted, TaskStage::Revoked, TaskStage::Starting] {
            if let Err(failure) = check_usage_after_end(stage, end) {
                failures.push((stage, end, failure));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Runs epochs of a term that has just begun. Returns whether the second job is granted before the first machine
/// is reconciled, and whether it is granted after.
fn grants_around_reconciliation(controller: &mut Controller, ms: u64) -> (bool, bool) {
    let views = |reconciled| vec![view("n-1", reconciled, &[]), view("n-2", true, &[])];
    let mut epoch = |offset_ms, applied_plan, reconciled| {
        confirm_rights(controller, ms + offset_ms);
        run_epoch(controller, ms + offset_ms, applied_plan, views(reconciled))
    };
    assert!(!epoch(0, 0, false), "this epoch only assigns owners");
    let before = epoch(200, 1, false);
    (before, epoch(400, 1, true))
}

#[test]
fn tasks_of_ended_jobs_from_earlier_terms_count_until_machines_are_reconciled() {
    // A completed task that is started again ends once its image is fetched, so a completed array uses nothing.
    let cases =
        [(JobEnd::Cancelled, false), (JobEnd::UsageDropped, false), (JobEnd::Completed, true)];
    for (end, granted_before) in cases {
        let mut controller = leader_with_limit();
        submit_second_job(&mut controller);
        end_first_job(&mut controller, end);
        let (before, after) = grants_around_reconciliation(&mut controller, 1_100);
        assert_eq!(before, granted_before, "granted by another leader, {end:?}");
        assert_eq!(after, !granted_before, "granted by another leader, {end:?}");

        let (mut controller, _) = leader_at_limit();
        end_first_job(&mut controller, end);
        let leader = LeaderRecord { node: NodeId(0), incarnation: INCARNATION, term: Term(4) };
        let term = TermRecord { term: Term(4) };
        load(&mut controller, replica::LEADER_KEY.into(), wire::to_value(&leader), 12);
        load(&mut controller, replica::TERM_KEY.into(), wire::to_value(&term), 12);
        controller.on_replica_changes(
            at(2_000),
            &ReplicaChanges { leader: true, ..ReplicaChanges::default() },
        );
        let (before, after) = grants_around_reconciliation(&mut controller, 2_200);
        assert_eq!(before, granted_before, "granted by the same leader, {end:?}");
        assert_eq!(after, !granted_before, "granted by the same leader, {end:?}");
    }
}

#[test]
fn a_team_over_its_limit_is_detected() {
    let (mut controller, plan) = leader_at_limit();
    let cases = [(1_500, &[0][..], false), (1_700, &[0, 1], true), (1_900, &[0], false)];
    for (ms, tasks, over_limit) in cases {
        let views = vec![view("n-1", true, tasks), view("n-2", true, &[])];
        run_epoch(&mut controller, ms, plan, views);
        let teams = &controller.leader.as_ref().unwrap().jobs.teams_over_limit;
        assert_eq!(teams.contains("red"), over_limit, "{tasks:?}");
    }
}

#[test]
fn tasks_on_machines_of_unlisted_types_count() {
    let retired = |id, reconciled, tasks| MachineView {
        machine_type: "retired".into(),
        ..view(id, reconciled, tasks)
    };
    let mut machines = group(&["n-1", "n-2"]);
    machines.machines[0].1.machine_type = "retired".into();
    let key = replica::machine_key(0);
    let mut failures = Vec::new();
    for end in [JobEnd::Cancelled, JobEnd::UsageDropped] {
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
                failures.push((end, reconciled, before, after));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
