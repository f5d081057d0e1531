//! Tables of cases for how a shard handles heartbeats and what its summaries show.

use std::rc::Rc;

use super::active_plan::ActivePlan;
use super::granted_start::{GrantKind, GrantedStart, MachineKind};
use super::redirect::{ForeignMachineRecord, Redirected};
use super::term_announcement::TermAnnouncement;
use super::unconfirmed_token::UnconfirmedToken;
use super::*;
use crate::config::Settings;
use crate::config::tests::EXAMPLE;
use crate::controller::Controller;
use crate::model::{
    AgentEpoch, Attempt, ClockReading, PlanSeq, Revision, StoreLease, TaskId, TaskRanges, WallTime,
};
use crate::peer::{GangStop, Grant, JobStatus, OwnershipChanges, Plan, PlanBody, WaitReason};
use crate::placement::tests::machine_type;
use crate::replica::tests::group;
use crate::replica::{self, Accepted, LeaderRecord, ReplicaChanges};
use crate::wire::tests::spec;
use crate::wire::{
    self, ExitReason, Heartbeat, JobKind, JobState, KeyValue, Priority, TaskState, TaskStatus,
    WorkerCommand,
};

const INCARNATION: Incarnation = Incarnation(5);
const TERM: Term = Term(3);
const TASK: TaskId = TaskId { job: JobId(1), index: 0 };

/// A controller in a term of another leader, which owns n-1 of two machines and may start a task.
fn node(owner: u8) -> Controller {
    let mut controller = Controller::new(Rc::new(Settings::parse(EXAMPLE).unwrap()), INCARNATION);
    controller.set_machine_types(&wire::MachineTypes {
        machine_types: vec![machine_type("small", 8.0, 64.0)],
    });
    let leader = LeaderRecord { node: NodeId(1), incarnation: Incarnation(9), term: TERM };
    let group = group(&["n-1"]);
    let item = |key: &str, v| KeyValue { key: key.into(), value: v, version: Revision(9) };
    let accepted = Accepted { spec: spec(1, 2), at: WallTime(1) };
    controller.load(
        &[
            item(&replica::job_key(JobId(1)), wire::to_value(&accepted)),
            item(replica::LEADER_KEY, wire::to_value(&leader)),
            item(replica::TERM_KEY, wire::to_value(&replica::TermRecord { term: TERM })),
            item(&replica::machine_key(0), wire::to_value(&group)),
        ],
        Revision(9),
    );
    controller.rights.lease = Some(StoreLease(1));
    let moment = ClockReading { steady: MonotonicTime(0), wall: WallTime(0) };
    controller.follow(moment, &ReplicaChanges { leader: true, ..ReplicaChanges::default() });
    let grant = Grant { job: 1, tasks: TaskRanges::span(0, 1), zone: None, attempt: None };
    controller.shard.follow(Plan {
        term: TERM,
        incarnation: INCARNATION,
        seq: PlanSeq(1),
        leader_clock_ms: 1,
        acknowledged_summary: 0,
        owners: OwnershipChanges {
            set: vec![(MachineId::new("n-1"), NodeId(owner))],
            ..OwnershipChanges::default()
        },
        body: Some(PlanBody { grants: vec![grant], ..PlanBody::default() }),
        decisions: None,
    });
    controller
}

fn heartbeat(agent_epoch: u64, sequence: u64, token: u64, state: Option<TaskState>) -> Heartbeat {
    let status = |state| TaskStatus {
        task: TASK,
        attempt: Attempt(7),
        state,
        exit_reason: (state == TaskState::Exited).then_some(ExitReason::Done),
    };
    Heartbeat {
        machine: MachineId::new("n-1"),
        endpoint: "10.1.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: AgentEpoch(agent_epoch),
        sequence,
        token: Term(token),
        spot_notice_s: None,
        tasks: state.map(status).into_iter().collect(),
    }
}

/// Sends a heartbeat at that time; says whether the response is 200, and how many tasks it starts.
fn send(controller: &mut Controller, ms: u64, heartbeat: &Heartbeat) -> (bool, usize) {
    controller.rights.confirm_renewal(MonotonicTime(ms));
    controller.rights.confirm_sync(MonotonicTime(ms));
    match controller.on_heartbeat(MonotonicTime(ms), heartbeat) {
        HeartbeatOutcome::Respond(reply) => {
            let starts = |command: &&WorkerCommand| matches!(command, WorkerCommand::Start { .. });
            (true, reply.commands.iter().filter(starts).count())
        }
        _ => (false, 0),
    }
}

#[test]
fn an_announced_term_reconciles_a_machine_once_and_its_lease_counts_from_there() {
    use TaskState::Running;
    let mut controller = node(0);
    controller.rights.confirm_renewal(MonotonicTime(1_000));
    controller.rights.confirm_sync(MonotonicTime(1_000));
    // Its heartbeat came before the term: an announcement at once, then after growing pauses, then no more.
    assert!(controller.shard.is_newest(&heartbeat(1, 5, 2, Some(Running))));
    let announcements = |controller: &mut Controller, ms| {
        controller.direct_messages_due(MonotonicTime(ms), 8).len()
    };
    let times = [(1_000, 1), (1_100, 0), (2_500, 1), (4_000, 0), (5_500, 1)];
    for (ms, count) in times {
        assert_eq!(announcements(&mut controller, ms), count, "{ms}");
    }
    let asked = DirectMessage {
        machine: MachineId::new("n-1"),
        endpoint: "10.1.0.1:9000".into(),
        term: TERM,
        agent_epoch: AgentEpoch(1),
        newest_known: None,
        commands: vec![],
    };
    // (agent epoch, sequence, token, whether it is reconciled then); the epoch was not known at first.
    for (agent_epoch, sequence, token, reconciled) in
        [(2, 6, 2, false), (2, 6, 3, false), (2, 7, 3, true)]
    {
        controller.on_direct_response(
            MonotonicTime(6_000),
            &asked,
            &heartbeat(agent_epoch, sequence, token, Some(Running)),
        );
        let now = controller.summary(MonotonicTime(6_000), 900_000);
        let is = now.machines.iter().any(|m| m.reconciled && m.tasks.len() == 1);
        assert_eq!(is, reconciled, "{agent_epoch} {sequence} {token}");
        // Seen on a bench day: a machine whose agent epoch had begun just now counted as silent
        // since its scale-out, so what ran on it was started again.
        assert_eq!(now.answered.len(), usize::from(reconciled), "{agent_epoch} {sequence} {token}");
    }
    assert_eq!(announcements(&mut controller, 9_000), 0);
    // A later answer may be older than a start on its way: it changes nothing any more.
    controller.on_direct_response(MonotonicTime(6_500), &asked, &heartbeat(2, 8, 3, None));
    assert!(
        controller
            .summary(MonotonicTime(6_500), 900_000)
            .machines
            .iter()
            .all(|m| m.tasks.len() == 1)
    );
}

#[test]
fn a_restarted_machine_is_distinguished_from_late_copies() {
    // Seen on a simulated day: its owner refused it as a late copy, another controller kept it
    // alive as one that cannot reach its owner, and a new term began every 15 s.
    use TaskState::Running;
    // (agent epoch and sequence of its response to the check, whether it was restarted)
    for (agent_epoch, sequence, restarted) in [(2, 10, false), (3, 1, false), (1, 4, true)] {
        let mut controller = node(0);
        send(&mut controller, 1_000, &heartbeat(2, 9, 3, Some(Running)));
        assert!(controller.direct_messages_due(MonotonicTime(1_000), 8).is_empty());
        assert!(!send(&mut controller, 1_100, &heartbeat(1, 3, 0, None)).0);
        let asked = controller.direct_messages_due(MonotonicTime(1_100), 8);
        assert_eq!(asked.len(), 1);
        send(&mut controller, 1_200, &heartbeat(1, 2, 0, None));
        assert!(
            controller.direct_messages_due(MonotonicTime(1_200), 8).is_empty(),
            "it is asked once in a while"
        );
        controller.on_direct_response(
            MonotonicTime(1_300),
            &asked[0],
            &heartbeat(agent_epoch, sequence, 3, None),
        );
        let reported = controller.summary(MonotonicTime(1_300), 900_000).restarted;
        assert_eq!(!reported.is_empty(), restarted, "{agent_epoch} {sequence}");
    }
}

#[test]
fn an_oversized_summary_is_sent_in_pieces() {
    let mut controller = node(0);
    let timing = controller.settings.timing();
    for n in 0..40 {
        let mut machine = Machine::new(&heartbeat(1, 1, 3, None), MonotonicTime(0));
        machine.changed_in_summary = 1;
        controller.shard.machines.insert(MachineId::new(&format!("n-{n:02}")), machine);
    }
    let mut summarized = BTreeSet::new();
    let mut pieces = 0;
    loop {
        let piece = controller.shard.summary(MonotonicTime(1_000), &timing, 2_048);
        assert!(crate::peer::encode(&piece).len() <= 2_048);
        assert_eq!(piece.base_seq == 0, pieces == 0);
        summarized.extend(piece.machines.into_iter().map(|m| m.id));
        pieces += 1;
        controller.shard.term_state.acknowledged_summary =
            Some(SentSummary { seq: piece.seq, at: MonotonicTime(1_000) });
        if !piece.has_more {
            break;
        }
    }
    assert_eq!((summarized.len(), pieces), (40, 4));
}

#[test]
fn late_copies_change_nothing_but_completions() {
    use TaskState::{Exited, Running};
    let mut controller = node(0);
    assert!(send(&mut controller, 1_000, &heartbeat(2, 9, 3, Some(Running))).0);
    let before = controller.summary(MonotonicTime(2_000), 900_000);
    let copies = [
        heartbeat(2, 9, 3, Some(Running)),
        heartbeat(2, 8, 3, None),
        heartbeat(1, 99, 3, None),
        heartbeat(2, 3, 2, Some(Exited)),
    ];
    for copy in &copies {
        assert_eq!(send(&mut controller, 2_000, copy), (false, 0), "{copy:?}");
    }
    let now = controller.summary(MonotonicTime(2_000), 900_000);
    assert_eq!(now.machines, before.machines, "nothing freed, reconciled or revived");
    assert_eq!(now.answered, before.answered, "its silence goes on");
    assert_eq!(
        now.completed_tasks,
        [(1, TaskRanges::span(0, 1))],
        "a completed task stays completed"
    );
    assert!(send(&mut controller, 3_000, &heartbeat(2, 10, 3, Some(Running))).0);
}

#[test]
fn a_machine_that_never_shows_the_token_gets_no_response_for_a_lease() {
    // Seen with a machine that did not receive its responses: its heartbeats kept it alive in the leader's eyes, so that
    // every proof of where a task is waited for it. (ms, agent epoch, sequence, token, responded)
    type Heartbeats = &'static [(u64, u64, u64, u64, bool)];
    let cases: [Heartbeats; 3] = [
        &[
            (0, 1, 1, 2, true),
            (1_500, 1, 2, 2, true),
            (3_000, 1, 3, 2, true),
            (4_500, 1, 4, 2, false),
            (17_000, 2, 9, 2, false),
            (19_000, 2, 10, 2, true),
        ],
        &[(0, 1, 1, 2, true), (9_000, 2, 2, 2, false), (10_000, 2, 3, 3, true)],
        &[(0, 1, 1, 2, true), (500, 1, 2, 3, true), (9_000, 2, 3, 3, true)],
    ];
    for (n, case) in cases.iter().enumerate() {
        let mut controller = node(0);
        for (ms, agent_epoch, sequence, token, want) in *case {
            let got =
                send(&mut controller, *ms, &heartbeat(*agent_epoch, *sequence, *token, None)).0;
            assert_eq!(got, *want, "{n}: {ms}");
        }
    }
}

#[test]
fn starts_need_the_shown_token_and_lost_ones_are_not_repeated_at_once() {
    let mut controller = node(0);
    assert_eq!(send(&mut controller, 0, &heartbeat(1, 1, 2, None)), (true, 0), "token not shown");
    assert_eq!(send(&mut controller, 500, &heartbeat(1, 2, 3, None)), (true, 1));
    assert_eq!(send(&mut controller, 1_500, &heartbeat(1, 3, 3, None)), (true, 0), "not shown");
    let view = controller.summary(MonotonicTime(1_500), 900_000).machines.remove(0);
    assert!(view.quarantine_ms > 0 && view.tasks.is_empty(), "{view:?}");
    assert_eq!(send(&mut controller, 5_000, &heartbeat(1, 4, 3, None)), (true, 1), "tried again");
    let shown = heartbeat(1, 5, 3, Some(TaskState::Exited));
    assert_eq!(send(&mut controller, 6_000, &shown), (true, 0), "it is done, though not on record");
    let again = heartbeat(1, 6, 3, Some(TaskState::Exited));
    assert_eq!(send(&mut controller, 30_000, &again), (true, 0), "and stays so");
}

#[test]
fn an_isolated_controller_redirects_its_workers_once() {
    // With the store out and connections between controllers refused, all controllers are isolated:
    // then workers come back and must not lose their leases.
    let mut controller = node(0);
    assert!(send(&mut controller, 1_000, &heartbeat(1, 1, 3, None)).0);
    let mut answer =
        |ms, sequence| controller.on_heartbeat(MonotonicTime(ms), &heartbeat(1, sequence, 3, None));
    assert!(matches!(answer(5_500, 2), HeartbeatOutcome::Respond(_)), "not for long yet");
    assert!(matches!(answer(7_000, 3), HeartbeatOutcome::Redirect(_)));
    assert!(matches!(answer(9_000, 4), HeartbeatOutcome::Respond(_)), "it found nobody");
}

#[test]
fn only_foreign_machines_that_show_the_token_are_in_summaries() {
    // A late copy must not bring a machine back or move it to another owner.
    let mut controller = node(1);
    for (ms, sequence, token, expected) in
        [(0, 1, 2, 0), (1_000, 2, 2, 0), (1_400, 3, 3, 1), (1_450, 2, 2, 1)]
    {
        send(&mut controller, ms, &heartbeat(1, sequence, token, None));
        assert_eq!(
            controller.summary(MonotonicTime(ms), 900_000).foreign_machines.len(),
            expected,
            "{ms}"
        );
    }
}

#[test]
fn a_refusing_owner_is_retried_and_an_unreachable_one_is_not() {
    // (ms, responded to here, whether the summary says that it cannot reach its owner). Seen after a crash: the
    // owner had just started and refused, and its machines were moved with a new term.
    type Case = &'static [(u64, bool, bool)];
    let refused: Case =
        &[(0, false, false), (1_000, true, false), (2_000, false, false), (3_000, true, false)];
    let cut: Case = &[(0, false, false), (5_000, true, true), (6_000, true, true)];
    for case in [refused, cut] {
        let mut controller = node(1);
        for (n, (ms, responded, unreachable)) in case.iter().enumerate() {
            let got = send(&mut controller, *ms, &heartbeat(1, n as u64 + 1, 3, None)).0;
            assert_eq!(got, *responded, "{ms}");
            let foreign_machines =
                controller.summary(MonotonicTime(*ms + 3_000), 900_000).foreign_machines;
            assert_eq!(
                foreign_machines.iter().any(|foreign| foreign.since_ms > 2_500),
                *unreachable,
                "{ms}"
            );
        }
    }
}

#[test]
fn gang_stops_are_sent_directly_and_in_responses_and_spare_the_next_attempt() {
    let mut controller = node(0);
    let seq = controller.shard.term_state.plan.seq;
    let with = |controller: &mut Controller, seq, stops| {
        controller.shard.follow(Plan {
            term: TERM,
            incarnation: INCARNATION,
            seq,
            leader_clock_ms: 2,
            acknowledged_summary: 0,
            owners: OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() },
            body: Some(PlanBody { stops, ..PlanBody::default() }),
            decisions: None,
        })
    };
    controller.rights.confirm_renewal(MonotonicTime(0));
    controller.rights.confirm_sync(MonotonicTime(0));
    controller.on_heartbeat(MonotonicTime(100), &heartbeat(1, 1, 3, Some(TaskState::Running)));
    // (attempts below that are stopped, leeway, what the task of attempt 7 gets)
    let cases = [(7, 0, None), (8, 0, Some(0.0)), (8, 9_000, Some(9.0))];
    for (i, (before, grace_ms, want)) in cases.into_iter().enumerate() {
        let stop = GangStop { job: 1, before: Attempt(before), grace_ms };
        assert!(with(&mut controller, PlanSeq(seq.0 + 1 + i as u64), vec![stop]));
        let leeway = |commands: &[WorkerCommand]| {
            commands.iter().find_map(|command| match command {
                WorkerCommand::Kill { grace_s, .. } => Some(*grace_s),
                _ => None,
            })
        };
        let direct = controller.direct_messages_due(MonotonicTime(200 + i as u64), 8);
        assert_eq!(direct.iter().find_map(|a| leeway(&a.commands)), want, "{before} direct");
        let shown = heartbeat(1, 2 + i as u64, 3, Some(TaskState::Running));
        let HeartbeatOutcome::Respond(reply) =
            controller.on_heartbeat(MonotonicTime(300 + i as u64), &shown)
        else {
            panic!("refused");
        };
        assert_eq!(leeway(&reply.commands), want, "{before} in the response");
    }
}

#[test]
fn one_completed_task_of_a_gang_completes_all() {
    // Its machine may be lost before it reports the others, and none of them may start again.
    for (kind, done) in [(JobKind::Gang, 2), (JobKind::Array, 1)] {
        let mut controller = node(0);
        if let Some(job) = controller.replica.jobs.get_mut(&JobId(1)) {
            job.spec.kind = kind;
        }
        controller.on_heartbeat(MonotonicTime(100), &heartbeat(1, 1, 3, Some(TaskState::Exited)));
        let completed_tasks =
            controller.shard.completed_tasks.get(&JobId(1)).map(|f| f.tasks.len());
        assert_eq!(completed_tasks, Some(done), "{kind:?}");
    }
}

/// Cancels job 1, as a notice of a peer or the store would.
fn cancel(controller: &mut Controller, ms: u64) {
    let cancelled = replica::Progress { end: Some(JobState::Cancelled), ..Default::default() };
    let replica_changes = controller.apply_cancellation_notice(JobId(1), &cancelled, Revision(12));
    controller
        .follow(ClockReading { steady: MonotonicTime(ms), wall: WallTime(ms) }, &replica_changes);
}

#[test]
fn tasks_of_a_cancelled_job_are_killed_directly() {
    // A machine may reach nobody, and its owner may not be allowed to respond any more.
    use TaskState::{Exited, Running};
    // (its last heartbeat's task and token, when that was, when the job is cancelled, whether a kill is sent)
    let cases = [
        (Some(Running), 3, 1_000, 1_100, true),
        (Some(Running), 2, 1_000, 1_100, true), // it is not reconciled
        (Some(Running), 3, 1_000, 60_000, true), // no right to respond is left
        (Some(Exited), 3, 1_000, 1_100, false),
        (None, 3, 1_000, 1_100, true), // it was to start with the response, which may be on its way
    ];
    for (state, token, heartbeat_at, cancelled_at, killed) in cases {
        let mut controller = node(0);
        send(&mut controller, heartbeat_at, &heartbeat(1, 5, token, state));
        while !controller.direct_messages_due(MonotonicTime(heartbeat_at), 8).is_empty() {}
        cancel(&mut controller, cancelled_at);
        let out = controller.direct_messages_due(MonotonicTime(cancelled_at), 8);
        let kills: Vec<&WorkerCommand> = out.iter().flat_map(|a| &a.commands).collect();
        let what = format!("{state:?} {token} {cancelled_at}");
        assert_eq!(kills.len(), usize::from(killed), "{what}: {out:?}");
        let shown =
            |k: &&WorkerCommand| matches!(k, WorkerCommand::Kill { attempt: Attempt(7), .. });
        assert_eq!(kills.iter().all(shown), state.is_some() || !killed, "{what}");
        let again = controller.direct_messages_due(MonotonicTime(cancelled_at), 8);
        assert!(again.iter().all(|a| a.commands.is_empty()), "{what}: sent once");
    }
}

#[test]
fn earlier_cancellations_reach_a_machine_by_direct_commands_alone() {
    // The leader changed after the cancellation, and no heartbeat of the machine reaches the new owner.
    let mut controller = node(0);
    controller.rights.confirm_renewal(MonotonicTime(1_000));
    controller.rights.confirm_sync(MonotonicTime(1_000));
    cancel(&mut controller, 1_000);
    assert!(controller.shard.is_newest(&heartbeat(1, 5, 2, None)));
    let asked = controller.direct_messages_due(MonotonicTime(1_000), 8);
    assert_eq!((asked.len(), asked[0].commands.len()), (1, 0));
    controller.on_direct_response(
        MonotonicTime(1_100),
        &asked[0],
        &heartbeat(1, 6, 3, Some(TaskState::Running)),
    );
    let then = controller.direct_messages_due(MonotonicTime(1_200), 8);
    assert_eq!((then.len(), then[0].commands.len()), (1, 1));
}

#[test]
fn nothing_starts_unless_the_replica_was_confirmed_recently() {
    // (when the replica was last current, when the heartbeat comes, whether it gets a response, starts)
    for (synced, now, responded, starts) in
        [(1_000, 1_500, true, 1), (1_000, 4_400, true, 1), (1_000, 4_600, true, 0)]
    {
        let mut controller = node(0);
        controller.rights.confirm_renewal(MonotonicTime(now));
        controller.rights.confirm_sync(MonotonicTime(synced));
        let got = match controller.on_heartbeat(MonotonicTime(now), &heartbeat(1, 5, 3, None)) {
            HeartbeatOutcome::Respond(reply) => (true, reply.commands.len()),
            _ => (false, 0),
        };
        assert_eq!(got, (responded, starts), "{synced} {now}");
        // It starts once the store serves this controller again.
        assert_eq!(send(&mut controller, now + 600, &heartbeat(1, 6, 3, None)).1, 1 - starts);
    }
}

#[test]
fn a_grant_ahead_starts_in_the_response_to_the_heartbeat_that_shows_room() {
    // Without that, room stays unused for a heartbeat and more, see the leader's test.
    type Edit = fn(&mut wire::JobSpec);
    // (what, the urgent job, the image of the task that ends, starts in the response)
    let cases: [(&str, Option<Edit>, &str, usize); 4] = [
        ("warm", None, "img", 1),
        ("urgent work may go there", Some(|_| {}), "img", 0),
        ("urgent work may not", Some(|s| s.zone = Some("b".into())), "img", 1),
        ("its image is not there", None, "other", 0),
    ];
    for (what, urgent, image, starts) in cases {
        let mut controller = node(0);
        let mut put = |spec: wire::JobSpec| {
            let key = replica::job_key(spec.id);
            let v = wire::to_value(&Accepted { spec, at: WallTime(1) });
            controller.replica.load(
                &KeyValue { key, value: v, version: Revision(10) },
                &mut ReplicaChanges::default(),
            );
        };
        put(wire::JobSpec { vcpus: 8.0, image: image.into(), ..spec(2, 1) });
        if let Some(edit) = urgent {
            let mut other = wire::JobSpec { priority: Priority::High, ..spec(3, 1) };
            edit(&mut other);
            put(other);
        }
        let grant = Grant { job: 1, tasks: TaskRanges::span(1, 2), zone: None, attempt: None };
        let owners = OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() };
        let body = PlanBody { grants_awaiting_release: vec![grant], ..PlanBody::default() };
        let plan = Plan {
            term: TERM,
            incarnation: INCARNATION,
            seq: PlanSeq(2),
            leader_clock_ms: 2,
            acknowledged_summary: 0,
            owners,
            body: Some(body),
            decisions: None,
        };
        assert!(controller.shard.follow(plan));
        let of = |state, exit_reason| TaskStatus {
            task: TaskId { job: JobId(2), index: 0 },
            attempt: Attempt(7),
            state,
            exit_reason,
        };
        let runs = vec![of(TaskState::Running, None)];
        let ended = vec![of(TaskState::Exited, Some(ExitReason::Done))];
        let full = Heartbeat { tasks: runs, ..heartbeat(1, 1, TERM.0, None) };
        let empty = Heartbeat { tasks: ended, ..heartbeat(1, 2, TERM.0, None) };
        assert_eq!(send(&mut controller, 1_000, &full), (true, 0), "{what}: there is no room");
        assert_eq!(send(&mut controller, 1_030, &empty), (true, starts), "{what}");
        let again = Heartbeat { sequence: 3, ..empty };
        assert_eq!(send(&mut controller, 1_040, &again), (true, 0), "{what}: once only");
    }
}

/// How a controller learns of a new term.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// A watch shows another controller's election.
    Watch,
    /// A peer's message says so, as the store does not serve this controller.
    Peer,
    /// This controller was elected itself.
    OwnElection,
}

const WAYS: [Way; 3] = [Way::Watch, Way::Peer, Way::OwnElection];
const NEXT_TERM: Term = Term(4);

/// Begins the next term, known in that way.
fn begin_next_term(controller: &mut Controller, way: Way) {
    let leader = |node, incarnation| LeaderRecord { node, incarnation, term: NEXT_TERM };
    let other = leader(NodeId(2), Incarnation(11));
    let leader = match way {
        Way::Peer => return controller.adopt_leader_from_peer(other),
        Way::Watch => other,
        Way::OwnElection => leader(controller.me, INCARNATION),
    };
    let mut replica_changes = ReplicaChanges::default();
    let records = [
        (replica::LEADER_KEY, wire::to_value(&leader)),
        (replica::TERM_KEY, wire::to_value(&replica::TermRecord { term: NEXT_TERM })),
    ];
    for (key, v) in records {
        let item = KeyValue { key: key.into(), value: v, version: Revision(20) };
        controller.replica.load(&item, &mut replica_changes);
    }
    controller.follow(
        ClockReading { steady: MonotonicTime(1_000), wall: WallTime(1_000) },
        &replica_changes,
    );
}

#[test]
fn nothing_that_an_earlier_term_granted_starts_in_the_next() {
    // Seen in production (docs/incidents/2026-12-02-ran-twice.md): a leader that had been suspended learned that it was
    // replaced, and in the same instant started what it had granted ahead to itself, with the new term's token.
    let granted = || Grant { job: 1, tasks: TaskRanges::span(1, 2), zone: None, attempt: None };
    let with_room = PlanBody { grants: vec![granted()], ..PlanBody::default() };
    let ahead = PlanBody { grants_awaiting_release: vec![granted()], ..PlanBody::default() };
    for way in WAYS {
        for (kind, body) in [("with room", &with_room), ("ahead", &ahead)] {
            let mut controller = node(0);
            let owners = OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() };
            assert!(controller.shard.follow(Plan {
                term: TERM,
                incarnation: INCARNATION,
                seq: PlanSeq(2),
                leader_clock_ms: 2,
                acknowledged_summary: 0,
                owners,
                body: Some(body.clone()),
                decisions: None,
            }));
            begin_next_term(&mut controller, way);
            assert_eq!(controller.shard.term(), NEXT_TERM, "{way:?}");
            // Its new owner has announced the term to the machine, whose heartbeat was delayed here meanwhile.
            let shown = heartbeat(1, 1, NEXT_TERM.0, None);
            assert_eq!(send(&mut controller, 1_000, &shown).1, 0, "{way:?}, granted {kind}");
        }
    }
}

fn machine_kind() -> MachineKind {
    MachineKind { machine_type: "small".into(), zone: "a".into(), spot: false }
}

/// A shard in which every field holds something.
fn filled_shard() -> Controller {
    let mut controller = node(0);
    let machine = || MachineId::new("n-1");
    let shown = heartbeat(1, 1, TERM.0, Some(TaskState::Running));
    let attempt = Attempt(7);
    let grant = |attempt| Grant { job: 1, tasks: TaskRanges::span(0, 1), zone: None, attempt };
    let body = PlanBody {
        grants: vec![grant(Some(attempt))],
        grants_awaiting_release: vec![grant(None)],
        drain: vec![machine()],
        slow: vec![machine()],
        reserved: vec![machine()],
        stops: vec![GangStop { job: 9, before: attempt, grace_ms: 0 }],
        ..PlanBody::default()
    };
    let shard = &mut controller.shard;
    let term_state = &mut shard.term_state;
    term_state.plan = ActivePlan::new(TERM, PlanSeq(2), body);
    term_state.leader_clock_ms = 5;
    term_state.attempts.allocate();
    term_state.shown_gang_attempts.insert((TASK, attempt));
    let start = GrantedStart {
        task: TASK,
        attempt: None,
        term: TERM,
        plan: PlanSeq(2),
        kind: GrantKind::AwaitingRelease,
    };
    term_state.start_queues.insert(machine(), vec![start]);
    term_state.starts_awaiting_release.push(start);
    term_state.highest_priority.insert(machine_kind(), None);
    (term_state.assignment_stale, term_state.assigned_at, term_state.has_unplaced) =
        (true, MonotonicTime(5), true);
    term_state.acknowledged_summary = Some(SentSummary { seq: 1, at: MonotonicTime(5) });
    term_state.announcements.insert(machine(), TermAnnouncement { times: 1, at: MonotonicTime(5) });
    term_state.announcements_pending = true;
    let unconfirmed = UnconfirmedToken::Probing {
        since: MonotonicTime(5),
        agent_epoch: AgentEpoch(1),
        responses: 1,
    };
    term_state.unconfirmed_tokens.insert(machine(), unconfirmed);
    let redirected = Redirected { at: MonotonicTime(5), tries: 1, came_back: false };
    term_state.redirects.insert(machine(), redirected);
    let foreign = ForeignMachineRecord {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        unreachable_since: None,
        last_heartbeat: MonotonicTime(5),
        shows_token: true,
    };
    term_state.foreign_machines.insert(MachineId::new("n-2"), foreign);
    shard.leader_progress.job_statuses.push(JobStatus {
        job: 1,
        running: 1,
        wait_reason: WaitReason::No,
    });
    shard.leader_progress.completed.push((1, 1));
    shard.machines.insert(machine(), Machine::new(&shown, MonotonicTime(5)));
    shard.is_newest(&shown);
    shard.restart_checked_at.insert(machine(), MonotonicTime(5));
    shard.restart_checks_due.push(RestartCheck { machine: machine(), agent_epoch: AgentEpoch(1) });
    shard.kills_due.insert(machine());
    shard.restarted.insert(machine());
    shard.responded_at.insert(machine(), MonotonicTime(5));
    shard.sent_away_at.insert(machine(), MonotonicTime(5));
    shard.job_faults.insert(JobId(1), JobFaults::default());
    let completed_tasks = CompletedTasks { tasks: TaskRanges::span(0, 1), since: MonotonicTime(5) };
    shard.completed_tasks.insert(JobId(1), completed_tasks);
    shard.last_summary_seq = 3;
    shard.sent_summaries.push_back(SentSummary { seq: 3, at: MonotonicTime(5) });
    shard.last_heartbeat = MonotonicTime(5);
    shard.refused_starts = 1;
    shard.summary_due = true;
    controller
}

#[test]
fn a_new_term_voids_the_leaders_decisions_and_keeps_observations() {
    // Both structs are taken apart whole: a new field has to be given its place here.
    for way in WAYS {
        let mut controller = filled_shard();
        let fresh = TermState::begin(TERM, controller.me);
        let TermState {
            term,
            attempts,
            plan,
            leader_clock_ms,
            owners,
            shown_gang_attempts,
            start_queues,
            starts_awaiting_release,
            highest_priority,
            assignment_stale,
            assigned_at,
            has_unplaced,
            acknowledged_summary,
            announcements,
            announcements_pending,
            unconfirmed_tokens,
            redirects,
            foreign_machines,
        } = &controller.shard.term_state;
        assert_eq!(*term, TERM);
        assert_ne!(format!("{attempts:?}"), format!("{:?}", fresh.attempts));
        assert_ne!(format!("{plan:?}"), format!("{:?}", fresh.plan));
        let listed_machine = MachineId::new("n-1");
        let stopped = TaskId { job: JobId(9), index: 0 };
        assert!(plan.stop_of(stopped, Attempt(1)).is_some());
        assert!(!plan.grants().is_empty() && !plan.grants_awaiting_release().is_empty());
        assert!(plan.is_reserved(&listed_machine) && plan.is_slow(&listed_machine));
        assert!(plan.is_drained(&listed_machine) && plan.grants_gang(Attempt(7)));
        assert!(!owners.is_empty() && !shown_gang_attempts.is_empty() && !start_queues.is_empty());
        assert!(
            !starts_awaiting_release.is_empty()
                && !highest_priority.is_empty()
                && *assignment_stale
                && *has_unplaced
        );
        assert!(
            acknowledged_summary.is_some() && !announcements.is_empty() && *announcements_pending
        );
        assert!(*leader_clock_ms > 0 && *assigned_at > MonotonicTime(0));
        assert!(
            !unconfirmed_tokens.is_empty() && !redirects.is_empty() && !foreign_machines.is_empty()
        );

        begin_next_term(&mut controller, way);
        let me = controller.me;
        let Shard {
            me: _,
            incarnation,
            term_state,
            leader_progress,
            machines,
            newest_heartbeats,
            restart_checked_at,
            restart_checks_due,
            kills_due,
            restarted,
            responded_at,
            sent_away_at,
            job_faults,
            completed_tasks,
            last_summary_seq,
            sent_summaries,
            last_heartbeat,
            refused_starts,
            summary_due,
        } = controller.shard;
        let void = TermState::begin(NEXT_TERM, me);
        assert_eq!(format!("{term_state:?}"), format!("{void:?}"), "{way:?}: all of it is void");
        assert_eq!(incarnation, INCARNATION);
        // For users only, and grants nothing.
        assert_eq!((leader_progress.job_statuses.len(), leader_progress.completed.len()), (1, 1));
        // Observed here: where tasks are, which heartbeats are late copies, which machines were restarted.
        assert_eq!(
            (machines.len(), newest_heartbeats.len(), restarted.len()),
            (1, 1, 1),
            "{way:?}"
        );
        assert!(machines.values().all(|m| !m.is_reconciled(NEXT_TERM)), "{way:?}");
        assert_eq!(
            (restart_checked_at.len(), restart_checks_due.len(), kills_due.len()),
            (1, 1, 1),
            "{way:?}"
        );
        // Done here: leases count from these responses whoever leads.
        assert_eq!(
            (responded_at.len(), sent_away_at.len(), last_heartbeat),
            (1, 1, MonotonicTime(5)),
            "{way:?}"
        );
        // True whoever leads.
        assert_eq!((completed_tasks.len(), job_faults.len()), (1, 1), "{way:?}");
        // Summaries are numbered for the whole incarnation of the process.
        assert_eq!((last_summary_seq, sent_summaries.len(), refused_starts), (3, 1, 1), "{way:?}");
        assert!(summary_due, "{way:?}");
    }
}

#[test]
fn a_start_granted_in_another_term_is_refused_whichever_way_it_came() {
    // The next defect of that kind: something of an earlier term is followed in the present one.
    type Outlives = fn(&mut TermState, TermState);
    let cases: [(&str, Outlives); 3] = [
        ("plan", |now, old| {
            (now.plan, now.owners, now.assignment_stale) = (old.plan, old.owners, true);
        }),
        ("queue", |now, old| now.start_queues = old.start_queues),
        ("starts_awaiting_release", |now, old| {
            (now.starts_awaiting_release, now.highest_priority) =
                (old.starts_awaiting_release, old.highest_priority)
        }),
    ];
    for (what, outlives) in cases {
        let mut controller = node(0);
        let start = GrantedStart {
            task: TASK,
            attempt: None,
            term: TERM,
            plan: PlanSeq(1),
            kind: GrantKind::WithRoom,
        };
        controller.shard.term_state.highest_priority.insert(machine_kind(), Some(Priority::Normal));
        controller.shard.term_state.start_queues.insert(MachineId::new("n-1"), vec![start]);
        controller.shard.term_state.starts_awaiting_release.push(start);
        let before = heartbeat(1, 1, TERM.0, None);
        let mut machine = Machine::new(&before, MonotonicTime(0));
        if let Some(job) = controller.replica.jobs.get(&TASK.job) {
            machine.remember_image(&job.spec);
        }
        controller.shard.machines.insert(before.machine.clone(), machine);
        let old = std::mem::replace(
            &mut controller.shard.term_state,
            TermState::begin(NEXT_TERM, NodeId(0)),
        );
        outlives(&mut controller.shard.term_state, old);
        controller.shard.term_state.assigned_at = MonotonicTime(1_000);
        let shown = heartbeat(1, 2, NEXT_TERM.0, None);
        assert_eq!(send(&mut controller, 1_000, &shown), (true, 0), "{what}");
        assert_eq!(controller.shard.refused_starts(), 1, "{what}");
    }
}

#[test]
fn no_machine_is_redirected_to_an_owner_of_an_earlier_term() {
    // (owner in the earlier term, whether the machine is redirected then, and after the next term began)
    for (owner, before, after) in [(0, false, false), (1, true, false)] {
        for way in WAYS {
            let mut controller = node(owner);
            assert_eq!(
                !send(&mut controller, 500, &heartbeat(1, 1, TERM.0, None)).0,
                before,
                "{owner}"
            );
            begin_next_term(&mut controller, way);
            let answer = send(&mut controller, 1_000, &heartbeat(1, 2, TERM.0, None));
            assert_eq!(answer, (!after, 0), "{owner} {way:?}: kept alive, and nothing starts");
        }
    }
}

#[test]
fn late_copies_are_recognized_before_the_first_plan_whatever_the_fleet_size() {
    // Without owners, room made for a new machine would have meant forgetting all heartbeats.
    let mut controller = node(0);
    let of = |n: usize, sequence| Heartbeat {
        machine: MachineId::new(&format!("n-{n}")),
        ..heartbeat(1, sequence, TERM.0, None)
    };
    (0..NEWEST_HEARTBEATS_MAX).for_each(|n| assert!(controller.shard.is_newest(&of(n, 2))));
    begin_next_term(&mut controller, Way::Watch);
    assert!(controller.shard.is_newest(&of(NEWEST_HEARTBEATS_MAX, 2)));
    assert!(!controller.shard.is_newest(&of(1, 1)), "a late copy");
}
