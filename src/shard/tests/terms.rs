//! State that a new term discards, and state that it keeps.

use super::*;

/// The way in which a controller learns of a new term.
#[derive(Clone, Copy, Debug)]
enum TermSource {
    /// A watch of the store reports the election of another controller.
    Watch,
    /// A peer's message reports the term, as the store does not serve this controller.
    Peer,
    /// This controller was elected.
    OwnElection,
}

const TERM_SOURCES: [TermSource; 3] =
    [TermSource::Watch, TermSource::Peer, TermSource::OwnElection];
const NEXT_TERM: Term = Term(4);

/// Begins the next term, learned from `source`.
fn begin_next_term(controller: &mut Controller, source: TermSource) {
    let leader = |node, incarnation| LeaderRecord { node, incarnation, term: NEXT_TERM };
    let other = leader(NodeId(2), Incarnation(11));
    let leader = match source {
        TermSource::Peer => return controller.adopt_leader_from_peer(other),
        TermSource::Watch => other,
        TermSource::OwnElection => leader(controller.local_node, INCARNATION),
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
    controller.on_replica_changes(
        ClockReading { monotonic: MonotonicTime(1_000), wall: WallTime(1_000) },
        &replica_changes,
    );
}

#[test]
fn grants_of_an_earlier_term_start_nothing_in_the_next_term() {
    // Guards against a failure in production (docs/incidents/2026-12-02-ran-twice.md): a leader that had been
    // suspended learned of its replacement and, in the same instant, used the new term's token to start tasks
    // that it had granted ahead to its own shard.
    let granted = || Grant { job: 1, tasks: TaskRanges::span(1, 2), zone: None, attempt: None };
    let with_room = PlanBody { grants: vec![granted()], ..PlanBody::default() };
    let awaiting_release =
        PlanBody { grants_awaiting_release: vec![granted()], ..PlanBody::default() };
    for source in TERM_SOURCES {
        for (kind, body) in [("with room", &with_room), ("awaiting release", &awaiting_release)] {
            let mut controller = controller_with_owner(0);
            let owners = OwnershipChanges { base: PlanSeq(1), ..OwnershipChanges::default() };
            assert!(controller.shard.apply_plan(Plan {
                term: TERM,
                incarnation: INCARNATION,
                seq: PlanSeq(2),
                leader_clock_ms: 2,
                acknowledged_summary: 0,
                owners,
                body: Some(body.clone()),
                decisions: None,
            }));
            begin_next_term(&mut controller, source);
            assert_eq!(controller.shard.term(), NEXT_TERM, "{source:?}");
            // The machine's new owner has announced the term to it, and this heartbeat of the machine was
            // delayed on its way here.
            let shown = heartbeat(1, 1, NEXT_TERM.0, None);
            assert_eq!(
                send_heartbeat(&mut controller, 1_000, &shown).1,
                0,
                "{source:?}, granted {kind}"
            );
        }
    }
}

fn machine_kind() -> MachineKind {
    MachineKind { machine_type: "small".into(), zone: "a".into(), spot: false }
}

/// Creates a controller whose shard has a non-default value in every field except its identity.
fn controller_with_filled_shard() -> Controller {
    let mut controller = controller_with_owner(0);
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
    (term_state.assignment_stale, term_state.assigned_at, term_state.has_unplaced_tasks) =
        (true, MonotonicTime(5), true);
    term_state.acknowledged_summary = Some(SentSummary { seq: 1, at: MonotonicTime(5) });
    term_state
        .announcements
        .insert(machine(), TermAnnouncement { count: 1, last_at: MonotonicTime(5) });
    term_state.announcements_pending = true;
    let unconfirmed = UnconfirmedToken::Probing {
        since: MonotonicTime(5),
        agent_epoch: AgentEpoch(1),
        responses: 1,
    };
    term_state.unconfirmed_tokens.insert(machine(), unconfirmed);
    let redirect = RedirectState { last_at: MonotonicTime(5), count: 1, returned: false };
    term_state.redirects.insert(machine(), redirect);
    let foreign = ForeignMachineRecord {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        unreachable_since: None,
        last_heartbeat_at: MonotonicTime(5),
        shows_token: true,
    };
    term_state.foreign_machines.insert(MachineId::new("n-2"), foreign);
    shard.job_progress.job_statuses.push(JobStatus {
        job: 1,
        running: 1,
        wait_reason: WaitReason::NotWaiting,
    });
    shard.job_progress.completed.push((1, 1));
    shard.machines.insert(machine(), Machine::new(&shown, MonotonicTime(5)));
    shard.is_newest(&shown);
    shard.restart_checked_at.insert(machine(), MonotonicTime(5));
    shard.restart_checks_due.push(RestartCheck { machine: machine(), agent_epoch: AgentEpoch(1) });
    shard.kills_due.insert(machine());
    shard.restarted.insert(machine());
    shard.responded_at.insert(machine(), MonotonicTime(5));
    shard.isolation_redirected_at.insert(machine(), MonotonicTime(5));
    shard.job_faults.insert(JobId(1), JobFaults::default());
    let completed_tasks = CompletedTasks { tasks: TaskRanges::span(0, 1), since: MonotonicTime(5) };
    shard.completed_tasks.insert(JobId(1), completed_tasks);
    shard.last_summary_seq = 3;
    shard.sent_summaries.push_back(SentSummary { seq: 3, at: MonotonicTime(5) });
    shard.last_heartbeat_at = MonotonicTime(5);
    shard.refused_starts = 1;
    shard.summary_due = true;
    controller
}

#[test]
fn a_new_term_discards_the_leaders_instructions_and_keeps_observations() {
    // Both structs are destructured in full, so that a new field does not compile until it is covered here.
    for source in TERM_SOURCES {
        let mut controller = controller_with_filled_shard();
        let fresh = TermState::begin(TERM, controller.local_node);
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
            has_unplaced_tasks,
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
        assert!(plan.is_drained(&listed_machine) && plan.grants_gang_attempt(Attempt(7)));
        assert!(!owners.is_empty() && !shown_gang_attempts.is_empty() && !start_queues.is_empty());
        assert!(
            !starts_awaiting_release.is_empty()
                && !highest_priority.is_empty()
                && *assignment_stale
                && *has_unplaced_tasks
        );
        assert!(
            acknowledged_summary.is_some() && !announcements.is_empty() && *announcements_pending
        );
        assert!(*leader_clock_ms > 0 && *assigned_at > MonotonicTime(0));
        assert!(
            !unconfirmed_tokens.is_empty() && !redirects.is_empty() && !foreign_machines.is_empty()
        );

        begin_next_term(&mut controller, source);
        let node_id = controller.local_node;
        let Shard {
            node_id: _,
            incarnation,
            term_state,
            job_progress,
            machines,
            newest_heartbeats,
            restart_checked_at,
            restart_checks_due,
            kills_due,
            restarted,
            responded_at,
            isolation_redirected_at,
            job_faults,
            completed_tasks,
            last_summary_seq,
            sent_summaries,
            last_heartbeat_at,
            refused_starts,
            summary_due,
        } = controller.shard;
        let expected = TermState::begin(NEXT_TERM, node_id);
        assert_eq!(
            format!("{term_state:?}"),
            format!("{expected:?}"),
            "{source:?}: all of it is discarded"
        );
        assert_eq!(incarnation, INCARNATION);
        // Job progress is only shown to users and permits no action.
        assert_eq!((job_progress.job_statuses.len(), job_progress.completed.len()), (1, 1));
        // Observations of this process: tasks on machines, newest heartbeats, restarted machines.
        assert_eq!(
            (machines.len(), newest_heartbeats.len(), restarted.len()),
            (1, 1, 1),
            "{source:?}"
        );
        assert!(machines.values().all(|m| !m.is_reconciled(NEXT_TERM)), "{source:?}");
        assert_eq!(
            (restart_checked_at.len(), restart_checks_due.len(), kills_due.len()),
            (1, 1, 1),
            "{source:?}"
        );
        // Actions of this process: leases count from these responses whoever leads.
        assert_eq!(
            (responded_at.len(), isolation_redirected_at.len(), last_heartbeat_at),
            (1, 1, MonotonicTime(5)),
            "{source:?}"
        );
        // Completions and failures are valid whoever leads.
        assert_eq!((completed_tasks.len(), job_faults.len()), (1, 1), "{source:?}");
        // Summaries are numbered throughout the incarnation of the process.
        assert_eq!(
            (last_summary_seq, sent_summaries.len(), refused_starts),
            (3, 1, 1),
            "{source:?}"
        );
        assert!(summary_due, "{source:?}");
    }
}

#[test]
fn a_start_granted_in_another_term_is_refused_wherever_it_is_kept() {
    // Covers future defects of this kind: state of an earlier term is still in use in the present term.
    type LeakOldState = fn(&mut TermState, TermState);
    let cases: [(&str, LeakOldState); 3] = [
        ("plan", |now, old| {
            (now.plan, now.owners, now.assignment_stale) = (old.plan, old.owners, true);
        }),
        ("start_queues", |now, old| now.start_queues = old.start_queues),
        ("starts_awaiting_release", |now, old| {
            (now.starts_awaiting_release, now.highest_priority) =
                (old.starts_awaiting_release, old.highest_priority)
        }),
    ];
    for (what, leak_old_state) in cases {
        let mut controller = controller_with_owner(0);
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
        leak_old_state(&mut controller.shard.term_state, old);
        controller.shard.term_state.assigned_at = MonotonicTime(1_000);
        let shown = heartbeat(1, 2, NEXT_TERM.0, None);
        assert_eq!(send_heartbeat(&mut controller, 1_000, &shown), (true, 0), "{what}");
        assert_eq!(controller.shard.refused_starts(), 1, "{what}");
    }
}

#[test]
fn no_machine_is_redirected_to_an_owner_of_an_earlier_term() {
    // (owner in the earlier term, whether the machine is redirected before and after the new term begins)
    for (owner, before, after) in [(0, false, false), (1, true, false)] {
        for source in TERM_SOURCES {
            let mut controller = controller_with_owner(owner);
            assert_eq!(
                !send_heartbeat(&mut controller, 500, &heartbeat(1, 1, TERM.0, None)).0,
                before,
                "{owner}"
            );
            begin_next_term(&mut controller, source);
            let answer = send_heartbeat(&mut controller, 1_000, &heartbeat(1, 2, TERM.0, None));
            assert_eq!(answer, (!after, 0), "{owner} {source:?}: response without a start");
        }
    }
}

#[test]
fn stale_heartbeats_are_detected_before_the_first_plan_at_any_fleet_size() {
    // Before the first plan no machine has an owner. Discarding the records of machines without an owner to
    // make room for a new machine would therefore discard the records of all machines.
    let mut controller = controller_with_owner(0);
    let heartbeat_of = |n: usize, sequence| Heartbeat {
        machine: MachineId::new(&format!("n-{n}")),
        ..heartbeat(1, sequence, TERM.0, None)
    };
    (0..NEWEST_HEARTBEATS_MAX)
        .for_each(|n| assert!(controller.shard.is_newest(&heartbeat_of(n, 2))));
    begin_next_term(&mut controller, TermSource::Watch);
    assert!(controller.shard.is_newest(&heartbeat_of(NEWEST_HEARTBEATS_MAX, 2)));
    assert!(!controller.shard.is_newest(&heartbeat_of(1, 1)), "a stale heartbeat");
}
