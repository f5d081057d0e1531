//! Compatibility with version 0.1 during a rolling upgrade: the current version decodes what version 0.1 wrote, and the
//! decoders of version 0.1, kept in `frozen`, decode what the current version writes.

mod frozen;

use std::collections::BTreeMap;

use willowshore::model::{
    AgentEpoch, Attempt, Incarnation, JobId, MachineId, NodeId, PlanSeq, Revision, TaskId,
    TaskRanges, Term, WallTime,
};
use willowshore::offered_load::OfferedLoad;
use willowshore::peer::{
    self, CancellationNotice, ForeignMachine, GangStop, Grant, JobStatus, MachineView,
    OwnershipChanges, PeerRequest, PeerResponse, Plan, PlanBody, StoreMessage, Summary, TaskView,
    WaitReason,
};
use willowshore::replica::{
    Accepted, CAPABILITIES, EpochRecord, LeaderRecord, MachineGroup, MachineRecord, MemberRecord,
    Progress, Replica, ReplicaChanges, TermRecord,
};
use willowshore::wire::{self, JobKind, JobSpec, JobState, KeyValue, Priority, TaskState};
use willowshore_standby::decision_log::{DecisionLog, FollowRequest};
use willowshore_standby::decisions::DecisionTarget;
use willowshore_standby::settings::StandbySettings;

/// Bytes written by version 0.1, by name.
fn fixtures() -> BTreeMap<&'static str, Vec<u8>> {
    let lines = include_str!("production-0.1.txt").lines().filter(|l| !l.starts_with('#'));
    lines
        .map(|line| {
            let (name, hex) = line.split_once(' ').unwrap();
            let byte = |i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
            (name, (0..hex.len()).step_by(2).map(byte).collect())
        })
        .collect()
}

fn task(job: u64, index: u32, state: TaskState) -> TaskView {
    TaskView { task: TaskId { job: JobId(job), index }, state }
}

fn machine(id: &str) -> MachineId {
    MachineId::new(id)
}

/// The summary encoded in `ask-summary` and `relayed-summary`.
fn summary() -> Summary {
    let view = MachineView {
        id: machine("n-000001"),
        machine_type: "kleine".into(),
        zone: "a".into(),
        spot: true,
        endpoint: "10.1.0.1:9000".into(),
        reconciled: true,
        agent_epoch: AgentEpoch(2),
        leaving: false,
        quarantine_ms: 700,
        tasks: vec![task(412, 3, TaskState::Running), task(412, 4, TaskState::Unknown)],
        images: vec![("img-07".into(), 6.25)],
    };
    let foreign_machine = ForeignMachine {
        id: machine("n-000002"),
        machine_type: "kleine".into(),
        zone: "b".into(),
        spot: false,
        silent_ms: 5,
        since_ms: 6,
    };
    Summary {
        node: NodeId(1),
        incarnation: Incarnation(77),
        seq: 9,
        base_seq: 8,
        has_more: false,
        term: Term(41),
        applied_plan: PlanSeq(5),
        echoed_clock_ms: 1234,
        uptime_ms: 99_000,
        since_store_response_ms: 12,
        since_heartbeat_ms: 30,
        machines: vec![view],
        answered: vec![(machine("n-000001"), 15)],
        foreign_machines: vec![foreign_machine],
        restarted: vec![machine("n-000002")],
        failing: vec![398],
        completed_tasks: vec![(412, TaskRanges::span(0, 3))],
        notices: vec![],
        follow: None,
    }
}

/// The plan encoded in `tell-plan`.
fn plan() -> Plan {
    let grant = |job, tasks, zone: Option<&str>, attempt| Grant {
        job,
        tasks,
        zone: zone.map(String::from),
        attempt,
    };
    Plan {
        term: Term(41),
        incarnation: Incarnation(77),
        seq: PlanSeq(6),
        leader_clock_ms: 4321,
        acknowledged_summary: 9,
        owners: OwnershipChanges {
            base: PlanSeq(5),
            set: vec![(machine("n-000001"), NodeId(1))],
            removed: vec![machine("n-000002")],
        },
        body: Some(PlanBody {
            grants: vec![
                grant(412, TaskRanges::span(4, 9), Some("a"), Some(Attempt(5))),
                grant(398, TaskRanges::span(0, 1), None, None),
            ],
            drain: vec![machine("n-000001")],
            slow: vec![machine("n-000002")],
            expired_leases: vec![(machine("n-000002"), AgentEpoch(3))],
            job_statuses: vec![JobStatus {
                job: 412,
                running: 3,
                wait_reason: WaitReason::NoFreeMachines,
            }],
            stops: vec![],
            reserved: vec![],
            grants_awaiting_release: vec![],
            completed: vec![],
        }),
        decisions: None,
    }
}

/// The job encoded in `ask-submit` and `j`.
fn spec() -> JobSpec {
    JobSpec {
        id: JobId(412),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        task_count: 16,
        vcpus: 8.0,
        accelerators: 1.0,
        mem_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.25,
        machine_types: Some(vec!["g8".into()]),
        zone: None,
        one_zone: true,
        spread_zones: false,
        allows_spot: true,
        estimated_run_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_save_s: 4.0,
        deadline_s: Some(900.0),
    }
}

#[test]
fn messages_of_version_0_1_are_decoded() {
    let f = fixtures();
    let request = |name: &str| peer::decode::<PeerRequest>(&f[name]);
    let response = |name: &str| peer::decode::<PeerResponse>(&f[name]);
    assert!(matches!(request("ask-summary"), Ok(PeerRequest::Summary(s)) if s == summary()));
    assert!(matches!(request("ask-submit"), Ok(PeerRequest::Submit(s)) if s == spec()));
    assert!(matches!(request("ask-lead"), Ok(PeerRequest::Leader)));
    assert!(matches!(request("ask-query"), Ok(PeerRequest::Query(JobId(412)))));
    assert!(matches!(response("tell-plan"), Ok(PeerResponse::Plan(p)) if *p == plan()));
    assert!(matches!(response("tell-send-whole"), Ok(PeerResponse::SendFullSummary)));
    assert!(
        matches!(response("tell-lead"), Ok(PeerResponse::Leader(Some(l))) if l.term == Term(41))
    );
    assert!(matches!(response("tell-answer"), Ok(PeerResponse::Answer(200, b)) if b == [1, 2]));
    let relayed = |name: &str| peer::decode::<StoreMessage>(&f[name]);
    assert!(matches!(relayed("relayed-summary"), Ok(StoreMessage::Summary(s)) if *s == summary()));
    let not_leading = relayed("relayed-tell");
    assert!(matches!(
        not_leading,
        Ok(StoreMessage::PeerResponse(PeerResponse::NotLeading(Term(40))))
    ));
}

#[test]
fn stored_values_of_version_0_1_are_decoded() {
    let f = fixtures();
    fn value<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> T {
        wire::decode::<wire::Value>(bytes).unwrap().deserialized().unwrap()
    }
    assert_eq!(value::<Accepted>(&f["j"]).spec, spec());
    assert_eq!(value::<Progress>(&f["d"]).done, TaskRanges::span(0, 3));
    assert_eq!(value::<Progress>(&f["d-end"]).end, Some(JobState::Done));
    assert_eq!(value::<LeaderRecord>(&f["lead"]).node, NodeId(2));
    let member: MemberRecord = value(&f["n"]);
    assert_eq!(
        (member.incarnation, member.capabilities),
        (Incarnation(77), 0),
        "version 0.1 has no capabilities"
    );
    assert!(member.capabilities < CAPABILITIES);
    assert_eq!(value::<TermRecord>(&f["term"]).term, Term(41));
    let group: MachineGroup = value(&f["m"]);
    let states: Vec<_> = group.machines.iter().map(|(_, m)| (m.up, m.terminated_at)).collect();
    assert_eq!(states, [(true, None), (true, Some(WallTime(5)))]);
    assert_eq!(value::<EpochRecord>(&f["e"]).granted, [(JobId(412), TaskRanges::span(0, 9))]);
    assert_eq!(value::<OfferedLoad>(&f["load"]), OfferedLoad::default());
}

#[test]
fn version_0_1_decodes_messages_of_the_current_version() {
    // The summary and the plan include what version 0.1 does not know: a task that waits for its gang, notices and a
    // follow request; gang stops, reserved machines and decisions.
    let mut extended = summary();
    extended.machines[0].tasks.push(task(398, 1, TaskState::WaitingForGang));
    extended.notices = vec![(machine("n-000001"), 9_000)];
    extended.follow = Some(FollowRequest::default());
    let frozen::Ask::Summary(s) =
        rmp_serde::from_slice(&peer::encode(&PeerRequest::Summary(extended))).unwrap()
    else {
        panic!("not a summary");
    };
    assert_eq!((s.node, s.number, s.heard_ms, s.machines.len()), (1, 9, 30, 1));
    let m = &s.machines[0];
    assert_eq!((m.id.as_str(), m.zone.as_str(), m.session, m.shun_ms), ("n-000001", "a", 2, 700));
    assert_eq!(
        m.tasks,
        [(412, 3, 2), (412, 4, 0), (398, 1, 5)],
        "version 0.1 treats the unknown state 5 as present on the machine"
    );
    assert_eq!((s.strays[0].since_ms, s.finished[0].1[0]), (6, (0, 3)));

    let mut sent = plan();
    if let Some(body) = &mut sent.body {
        body.stops = vec![GangStop { job: 398, before: Attempt(9), grace_ms: 0 }];
        body.reserved = vec![machine("n-000001")];
    }
    let mut log = DecisionLog::new(Term(41), &StandbySettings::default());
    let reserved = [machine("n-000001")].into();
    log.record(WallTime(7), &DecisionTarget { reserved, ..DecisionTarget::default() });
    sent.decisions = log.batch_for(&FollowRequest::default());
    assert!(sent.decisions.is_some());
    let frozen::Tell::Plan(p) =
        rmp_serde::from_slice(&peer::encode(&PeerResponse::Plan(Box::new(sent)))).unwrap()
    else {
        panic!("not a plan");
    };
    let body = p.body.unwrap();
    assert_eq!((p.term, p.seq, p.heard, p.owners.set.len()), (41, 6, 9, 1));
    assert_eq!((body.grants[0].job, body.grants[0].attempt, body.grants.len()), (412, Some(5), 2));
    assert_eq!((body.lapsed[0].1, body.standings[0].running), (3, 3));

    let submit = peer::encode(&PeerRequest::Submit(spec()));
    assert!(matches!(rmp_serde::from_slice(&submit), Ok(frozen::Ask::Submit(s)) if s == spec()));
    let leader = LeaderRecord { node: NodeId(2), incarnation: Incarnation(78), term: Term(41) };
    let bytes = peer::encode(&PeerResponse::Leader(Some(leader)));
    assert!(
        matches!(rmp_serde::from_slice(&bytes), Ok(frozen::Tell::Lead(Some(l))) if l.term == 41)
    );
}

#[test]
fn version_0_1_decodes_stored_values_of_the_current_version() {
    let member = MemberRecord {
        incarnation: Incarnation(77),
        version: "0.2.0".into(),
        capabilities: CAPABILITIES,
    };
    let old: frozen::MemberRecord = wire::to_value(&member).deserialized().unwrap();
    assert_eq!(old.life, 77);
    let up = MachineRecord {
        machine_type: "kleine".into(),
        zone: "a".into(),
        spot: false,
        up: true,
        terminated_at: None,
        endpoint: String::new(),
    };
    let machines =
        vec![(machine("n-000001"), up.clone()), (machine("n-000002"), up.tombstone(WallTime(7)))];
    let old: frozen::MachineGroup =
        wire::to_value(&MachineGroup { machines }).deserialized().unwrap();
    let states: Vec<_> = old.machines.iter().map(|(id, m)| (id.as_str(), m.up, m.gone)).collect();
    assert_eq!(states, [("n-000001", true, None), ("n-000002", true, Some(7))]);
    assert_eq!((old.machines[0].1.hull.as_str(), old.machines[0].1.spot), ("kleine", false));
    assert_eq!((old.machines[0].1.zone.as_str(), &*old.machines[0].1.endpoint), ("a", ""));
}

#[test]
fn stored_size_covers_the_json_form_of_a_value() {
    // Regression: the store measures values as JSON and refused machine groups whose CBOR was within the limit.
    let record = MachineRecord {
        machine_type: "may-chuan".into(),
        zone: "binh-duong".into(),
        spot: false,
        up: true,
        terminated_at: None,
        endpoint: "10.1.0.232:9000".into(),
    };
    let machines = (24..48).map(|n| (machine(&format!("n-{n:06}")), record.clone())).collect();
    let group = MachineGroup { machines };
    let json_bytes = serde_json::to_vec(&group).unwrap().len();
    let cbor_bytes = wire::encode(&group).len();
    assert!(
        cbor_bytes < 2_048 && json_bytes > 2_048,
        "{cbor_bytes} bytes of CBOR, {json_bytes} bytes of JSON"
    );
    assert_eq!(wire::stored_bytes(&group), json_bytes);
    let numbers = OfferedLoad::default();
    let cbor_bytes = wire::encode(&numbers).len();
    assert!(
        wire::stored_bytes(&numbers) >= cbor_bytes.max(serde_json::to_vec(&numbers).unwrap().len())
    );
}

#[test]
fn only_versions_that_support_them_are_sent_cancellation_notices() {
    // (capabilities of a member, whether it is sent cancellation notices)
    for (capabilities, supported) in [(0, false), (1, false), (2, true), (3, true)] {
        let mut replica = Replica::new(NodeId(0));
        let member =
            MemberRecord { incarnation: Incarnation(77), version: String::new(), capabilities };
        let item =
            KeyValue { key: "n/1".into(), value: wire::to_value(&member), version: Revision(3) };
        replica.load(&item, &mut ReplicaChanges::default());
        assert_eq!(replica.supports_cancellation_notices(NodeId(1)), supported, "{capabilities}");
    }
    let cancelled = Progress { end: Some(JobState::Cancelled), ..Progress::default() };
    let sent = peer::encode(&PeerRequest::JobCancelled(JobId(412), cancelled.clone(), Revision(9)));
    let read = peer::decode::<PeerRequest>(&sent);
    assert!(
        matches!(read, Ok(PeerRequest::JobCancelled(JobId(412), p, Revision(9))) if p == cancelled)
    );
    assert!(
        rmp_serde::from_slice::<frozen::Ask>(&sent).is_err(),
        "version 0.1 must refuse the unknown request"
    );
}

#[test]
fn only_versions_that_support_the_standby_are_asked_for_leader_silence() {
    // (capabilities of a member, whether it is asked for leader silence)
    for (capabilities, asked) in [(0, false), (3, false), (4, true)] {
        let mut replica = Replica::new(NodeId(0));
        let member =
            MemberRecord { incarnation: Incarnation(77), version: String::new(), capabilities };
        let item =
            KeyValue { key: "n/1".into(), value: wire::to_value(&member), version: Revision(3) };
        replica.load(&item, &mut ReplicaChanges::default());
        assert_eq!(replica.supports_standby(NodeId(1)), asked, "{capabilities}");
    }
    let sent = peer::encode(&PeerRequest::LeaderSilence(Term(41)));
    assert!(matches!(peer::decode::<PeerRequest>(&sent), Ok(PeerRequest::LeaderSilence(Term(41)))));
    assert!(
        rmp_serde::from_slice::<frozen::Ask>(&sent).is_err(),
        "version 0.1 must refuse the unknown request"
    );
}

#[test]
fn only_versions_that_support_them_are_asked_to_acknowledge_cancellations() {
    // (capabilities of a member, whether it is asked to acknowledge cancellations)
    for (capabilities, asked) in [(0, false), (4, false), (5, true)] {
        let mut replica = Replica::new(NodeId(0));
        let member =
            MemberRecord { incarnation: Incarnation(77), version: String::new(), capabilities };
        let item =
            KeyValue { key: "n/1".into(), value: wire::to_value(&member), version: Revision(3) };
        replica.load(&item, &mut ReplicaChanges::default());
        let got = replica.supports_cancellation_acknowledgements(NodeId(1));
        assert_eq!(got, asked, "{capabilities}");
    }
    let notice = CancellationNotice { job: JobId(412), done: 3, version: Revision(9) };
    let sent = peer::encode(&PeerRequest::CancellationNotices(vec![notice]));
    let read = peer::decode::<PeerRequest>(&sent);
    assert!(matches!(read, Ok(PeerRequest::CancellationNotices(n)) if n == [notice]));
    assert!(
        rmp_serde::from_slice::<frozen::Ask>(&sent).is_err(),
        "version 0.1 must refuse the unknown request"
    );
}
