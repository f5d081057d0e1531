//! Table-driven tests of the leader's decisions, grouped by concern, and their common fixtures.

mod evidence;
mod gangs;
mod limits;
mod machines;
mod precedence;
mod quotas;
mod summaries;

use super::*;
use crate::config::Settings;
use crate::config::tests::EXAMPLE;
use crate::controller::Controller;
use crate::model::{
    AgentEpoch, Attempt, ClockReading, Incarnation, Revision, StoreLease, WallTime,
};
use crate::peer::{MachineView, TaskView};
use crate::placement::tests::machine_type;
use crate::replica::tests::group;
use crate::replica::{self, Accepted, EpochRecord, LeaderRecord, ReplicaChanges, TermRecord};
use crate::wire::tests::spec;
use crate::wire::{self, KeyValue, TaskState};

/// The incarnation of the tested controller.
const INCARNATION: Incarnation = Incarnation(5);

/// Returns clock readings `ms` milliseconds after the controller started.
fn at(ms: u64) -> ClockReading {
    ClockReading { monotonic: MonotonicTime(ms), wall: WallTime(1_000_000 + ms) }
}

/// Creates a leader of term 3 with two machines and a job of one task that term 2 granted.
fn leader() -> Controller {
    leader_with(EXAMPLE)
}

/// Creates the same leader with other settings.
fn leader_with(settings: &str) -> Controller {
    let settings = Settings::parse(settings).unwrap();
    let mut controller = Controller::new(Rc::new(settings), INCARNATION);
    let small = machine_type("small", 8.0, 64.0);
    controller.set_machine_types(&wire::MachineTypes { machine_types: vec![small] });
    let job = JobId(1);
    let record = EpochRecord { term: Term(2), granted: vec![(job, TaskRanges::span(0, 1))] };
    let leader = LeaderRecord { node: NodeId(0), incarnation: INCARNATION, term: Term(3) };
    let group = group(&["n-1", "n-2"]);
    let item = |key: &str, v| KeyValue { key: key.into(), value: v, version: Revision(9) };
    let accepted = Accepted { spec: spec(1, 1), at: WallTime(1) };
    controller.load(
        &[
            item(&replica::job_key(job), wire::to_value(&accepted)),
            item(&replica::epoch_key(0), wire::to_value(&record)),
            item(replica::LEADER_KEY, wire::to_value(&leader)),
            item(replica::TERM_KEY, wire::to_value(&TermRecord { term: Term(3) })),
            item(&replica::machine_key(0), wire::to_value(&group)),
        ],
        Revision(9),
    );
    controller.rights.lease = Some(StoreLease(1));
    controller.rights.confirm_renewal(MonotonicTime(0));
    controller.rights.confirm_sync(MonotonicTime(0));
    controller
        .on_replica_changes(at(0), &ReplicaChanges { leader: true, ..ReplicaChanges::default() });
    controller
}

/// Creates a machine as its owner reports it, running these tasks of job 1.
fn view(id: &str, reconciled: bool, tasks: &[u32]) -> MachineView {
    MachineView {
        id: MachineId::new(id),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        endpoint: "10.1.0.1:9000".into(),
        agent_epoch: AgentEpoch(1),
        reconciled,
        leaving: false,
        quarantine_ms: 0,
        tasks: tasks
            .iter()
            .map(|index| TaskView {
                task: TaskId { job: JobId(1), index: *index },
                state: TaskState::Running,
            })
            .collect(),
        images: vec![],
    }
}

/// Creates a summary of controller 1 that covers machine `n-1` without tasks. `base_seq` is 0 for a
/// full one.
fn summary(seq: u64, base_seq: u64, incarnation: Incarnation) -> Summary {
    Summary {
        node: NodeId(1),
        incarnation,
        seq,
        base_seq,
        has_more: false,
        term: Term(3),
        applied_plan: PlanSeq(0),
        echoed_clock_ms: 0,
        uptime_ms: 0,
        since_store_response_ms: 0,
        since_heartbeat_ms: 0,
        answered: vec![],
        machines: vec![view("n-1", true, &[])],
        foreign_machines: vec![],
        failing: vec![],
        restarted: vec![],
        completed_tasks: vec![],
        notices: vec![],
        follow: None,
    }
}

/// Sends the leader a full summary of controller 0 and publishes an epoch. Returns whether the
/// epoch grants anything.
fn run_epoch(
    controller: &mut Controller,
    ms: u64,
    applied_plan: u64,
    machines: Vec<MachineView>,
) -> bool {
    let term = controller.leader.as_ref().map_or(Term(3), |leader| leader.term);
    let summary = Summary {
        node: NodeId(0),
        incarnation: INCARNATION,
        seq: ms,
        base_seq: 0,
        has_more: false,
        term,
        applied_plan: PlanSeq(applied_plan),
        echoed_clock_ms: 0,
        uptime_ms: ms,
        since_store_response_ms: 0,
        since_heartbeat_ms: 0,
        answered: machines.iter().map(|m| (m.id.clone(), 0)).collect(),
        machines,
        foreign_machines: vec![],
        failing: vec![],
        restarted: vec![],
        completed_tasks: vec![],
        notices: vec![],
        follow: None,
    };
    controller.receive_summary(MonotonicTime(ms), summary);
    let (epoch, term) = controller.epoch(at(ms)).unwrap();
    let grants_anything = !epoch.is_empty();
    controller.publish(at(ms), epoch, term);
    grants_anything
}
