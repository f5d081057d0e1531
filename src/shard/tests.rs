//! Table-driven tests of a shard's heartbeat handling, starts, direct messages and summaries.

mod direct_messages;
mod heartbeats;
mod starts;
mod summaries;
mod terms;

use std::rc::Rc;

use super::active_plan::ActivePlan;
use super::granted_start::{GrantKind, GrantedStart, MachineKind};
use super::redirect::{ForeignMachineRecord, RedirectState};
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

/// Creates controller 0 in a term led by controller 1. Machine n-1 is owned by controller `owner`. The
/// controller may start task 0 of job 1.
fn controller_with_owner(owner: u8) -> Controller {
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
    controller.rights.register(StoreLease(1), MonotonicTime(0), MonotonicTime(0));
    let moment = ClockReading { monotonic: MonotonicTime(0), wall: WallTime(0) };
    controller
        .on_replica_changes(moment, &ReplicaChanges { leader: true, ..ReplicaChanges::default() });
    let grant = Grant { job: 1, tasks: TaskRanges::span(0, 1), zone: None, attempt: None };
    controller.shard.apply_plan(Plan {
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

/// Delivers a heartbeat at `ms`. Returns whether the response is 200, and the number of tasks that it starts.
fn send_heartbeat(controller: &mut Controller, ms: u64, heartbeat: &Heartbeat) -> (bool, usize) {
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
