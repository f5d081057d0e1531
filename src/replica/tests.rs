//! Tests of the replica, its keys and its records.

use serde::Serialize;

use super::*;
use crate::model::{Incarnation, TaskRanges, WallTime};
use crate::wire::WatchEvent;
use crate::wire::tests::spec;
use crate::wire::{self, JobSpec, JobState};

/// Machines of type `small` in zone `a` that are up.
pub(crate) fn group(ids: &[&str]) -> MachineGroup {
    let record = MachineRecord {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        up: true,
        terminated_at: None,
        endpoint: String::new(),
    };
    let machines = ids.iter().map(|id| (MachineId::new(id), record.clone()));
    MachineGroup { machines: machines.collect() }
}

fn put_event<T: Serialize>(key: String, value: &T, version: u64) -> WatchEvent {
    WatchEvent {
        put_key: Some(key),
        deleted_key: None,
        value: Some(wire::to_value(value)),
        version: Revision(version),
    }
}
fn delete_event(key: String, version: u64) -> WatchEvent {
    WatchEvent { put_key: None, deleted_key: Some(key), value: None, version: Revision(version) }
}
fn watch_response(revision: u64, events: Vec<WatchEvent>) -> WatchResponse {
    WatchResponse { revision: Revision(revision), events }
}

#[test]
fn overlapping_and_late_watch_responses_change_nothing() {
    let id = JobId(7);
    let job = put_event(job_key(id), &Accepted { spec: spec(7, 2), at: WallTime(1) }, 3);
    let leader =
        |term| LeaderRecord { node: NodeId(1), incarnation: Incarnation(9), term: Term(term) };
    let mut replica = Replica::new(NodeId(0));
    assert!(replica.apply(&watch_response(4, vec![job.clone()])).new_jobs);
    replica.apply(&watch_response(9, vec![put_event(LEADER_KEY.into(), &leader(2), 8)]));
    // The response of a slower watch, which covers only older changes, arrives afterwards.
    let late =
        vec![job, put_event(LEADER_KEY.into(), &leader(1), 5), delete_event(LEADER_KEY.into(), 6)];
    assert_eq!(replica.apply(&watch_response(7, late)), ReplicaChanges::default());
    assert_eq!(replica.leader.as_ref().unwrap().value.term, Term(2));
    assert_eq!(replica.revision, Revision(9));
    replica.apply(&watch_response(10, vec![delete_event(LEADER_KEY.into(), 10)]));
    assert!(replica.leader.is_none());
}

#[test]
fn progress_may_be_read_before_its_job() {
    let mut replica = Replica::new(NodeId(0));
    let mut replica_changes = ReplicaChanges::default();
    let done = Progress { done: TaskRanges::span(0, 1), ..Progress::default() };
    let item = |key: String, v, version| KeyValue { key, value: v, version: Revision(version) };
    replica.load(&item(progress_key(JobId(7)), wire::to_value(&done), 5), &mut replica_changes);
    let accepted = Accepted { spec: spec(7, 2), at: WallTime(1) };
    replica.load(&item(job_key(JobId(7)), wire::to_value(&accepted), 4), &mut replica_changes);
    let job = &replica.jobs[&JobId(7)];
    assert!(job.is_done(0) && !job.is_done(1));
    assert_eq!(job.progress_version, Revision(5));
    let end = job.with_completed([1, 1, 99], 2_048).unwrap();
    assert_eq!(end.end, Some(JobState::Done));
    assert!(job.with_completed([0], 2_048).is_none());
    replica.load(&item(progress_key(JobId(7)), wire::to_value(&end), 6), &mut replica_changes);
    assert_eq!(
        replica.ended[&JobId(7)],
        EndedJob { state: JobState::Done, done: 2, version: Revision(6) }
    );
    // An ended job stays ended when older records are read later.
    replica.load(&item(progress_key(JobId(7)), wire::to_value(&done), 5), &mut replica_changes);
    replica.load(&item(job_key(JobId(7)), wire::to_value(&accepted), 4), &mut replica_changes);
    assert!(replica.jobs.is_empty() && replica.ended.len() == 1);
}

#[test]
fn discarded_residual_usage_is_flagged_as_truncated() {
    // Guards against exceeding a limit because residual usage was discarded: the tasks may run on
    // machines that send no heartbeats. (cancelled jobs, kept usages, whether some are discarded)
    let max_jobs = MAX_RESIDUAL_USAGE_JOBS as u64;
    for (cancelled, kept, discarded) in
        [(3, 3, false), (max_jobs, max_jobs, false), (max_jobs + 1, max_jobs, true)]
    {
        let mut replica = Replica::new(NodeId(0));
        let cancelled_progress = Progress { end: Some(JobState::Cancelled), ..Progress::default() };
        for n in 1..=cancelled {
            let accepted = Accepted { spec: spec(n, 2), at: WallTime(1) };
            let events = vec![
                put_event(job_key(JobId(n)), &accepted, 2 * n),
                put_event(progress_key(JobId(n)), &cancelled_progress, 2 * n + 1),
            ];
            replica.apply(&watch_response(2 * n + 1, events));
        }
        assert_eq!(
            (replica.residual_usage.len() as u64, replica.residual_usage_truncated),
            (kept, discarded)
        );
    }
}

#[test]
fn residual_usage_of_a_completed_gang_is_recorded() {
    // Guards against tasks of a completed gang that count towards no limit. In the simulation, a
    // machine hung with such tasks, and a failover followed. (kind, tasks that may still run)
    for (kind, residual) in [(wire::JobKind::Gang, Some(3)), (wire::JobKind::Array, None)] {
        let job = Job {
            spec: JobSpec { kind, ..spec(7, 3) },
            at: WallTime(1),
            progress: Progress::default(),
            progress_version: Revision(0),
        };
        let end = job.with_completed(0..3, 2_048).unwrap();
        let mut replica_changes = ReplicaChanges::default();
        // A controller that has never read the job reads only its end.
        let mut replica = Replica::new(NodeId(0));
        replica.put(
            &progress_key(JobId(7)),
            &wire::to_value(&end),
            Revision(3),
            &mut replica_changes,
        );
        assert_eq!(
            replica.residual_usage.get(&JobId(7)).map(|usage| usage.unfinished_tasks),
            residual,
            "{kind:?}"
        );
    }
}

#[test]
fn scattered_completions_stay_within_the_value_limit_until_all_are_recorded() {
    let mut job = Job {
        spec: spec(7, 4_000),
        at: WallTime(1),
        progress: Progress::default(),
        progress_version: Revision(0),
    };
    let scattered = (0..4_000).filter(|i| i % 2 == 0);
    let some = job.with_completed(scattered.clone(), 2_048).unwrap();
    assert!(wire::stored_bytes(&some) <= 2_048 && some.done.len() > 100);
    // A value written by a version with a larger limit is read, and shrinks when written again.
    job.progress.done = scattered.clone().collect();
    let more = job.with_completed([1], 2_048).unwrap();
    assert!(wire::stored_bytes(&more) <= 2_048 && more.done.contains(1));
    job.progress = some;
    let all = job.with_completed(0..4_000, 2_048).unwrap();
    assert_eq!((all.end, all.done.len()), (Some(JobState::Done), 4_000));
}

#[test]
fn most_recently_ended_jobs_are_kept() {
    // Guards against discarding all ends at once when the maximum is exceeded: tasks of a job
    // cancelled just before were no longer killed and kept running.
    let mut replica = Replica::new(NodeId(0));
    let cancelled_progress = Progress { end: Some(JobState::Cancelled), ..Progress::default() };
    let cancelled_progress = wire::to_value(&cancelled_progress);
    let mut replica_changes = ReplicaChanges::default();
    let ends = MAX_ENDED_JOBS as u64 + 3;
    for n in 1..=ends {
        replica.put(
            &progress_key(JobId(n)),
            &cancelled_progress,
            Revision(n),
            &mut replica_changes,
        );
        // An end that is applied twice counts once.
        replica.put(
            &progress_key(JobId(n)),
            &cancelled_progress,
            Revision(n),
            &mut replica_changes,
        );
    }
    assert_eq!(
        (replica.ended.len(), replica_changes.cancelled_jobs.len() as u64),
        (MAX_ENDED_JOBS, ends)
    );
    for (id, known) in [(1, false), (3, false), (4, true), (ends - 1, true), (ends, true)] {
        assert_eq!(replica.ended.contains_key(&JobId(id)), known, "{id}");
    }
}

#[test]
fn a_reloaded_replica_keeps_facts_that_never_change() {
    let member = |capabilities| MemberRecord {
        incarnation: Incarnation(9),
        version: String::new(),
        capabilities,
    };
    let done = Progress { end: Some(JobState::Done), ..Progress::default() };
    let mut replica = Replica::new(NodeId(0));
    replica.apply(&watch_response(
        4,
        vec![put_event(member_key(NodeId(1)), &member(CAPABILITY_CANCELLATION_NOTICE), 3)],
    ));
    replica.apply(&watch_response(6, vec![delete_event(member_key(NodeId(1)), 5)]));
    replica.apply(&watch_response(8, vec![put_event(progress_key(JobId(7)), &done, 7)]));
    let changes_before = replica.membership_changes[&NodeId(1)];
    let mut read = Replica::new(NodeId(0));
    let mut replica_changes = ReplicaChanges::default();
    let other = KeyValue {
        key: progress_key(JobId(8)),
        value: wire::to_value(&done),
        version: Revision(9),
    };
    read.load(&other, &mut replica_changes);
    replica.replace(read);
    // The member key was created and deleted between two reads. Controllers refused by the store
    // are sent cancellation notices.
    assert!(replica.membership_changes[&NodeId(1)] > changes_before && replica.members.is_empty());
    assert!(
        replica.supports_cancellation_notices(NodeId(1))
            && !replica.supports_gangs(NodeId(1))
            && !replica.supports_cancellation_notices(NodeId(2))
    );
    assert_eq!(replica.ended.len(), 2);
}

#[test]
fn key_prefixes_match_every_key_exactly_once() {
    let keys = [
        job_key(JobId(412)),
        progress_key(JobId(412)),
        machine_key(3),
        member_key(NodeId(1)),
        epoch_key(16),
        peer_message_key(NodeId(0), NodeId(1), 2),
        LEADER_KEY.into(),
        MACHINE_TYPES_KEY.into(),
        format!("{MACHINE_TYPES_KEY}/0001"),
        LOAD_KEY.into(),
        TERM_KEY.into(),
    ];
    for key in keys {
        assert_eq!(StoreKey::parse(&key).map(|parsed| parsed.to_string()).as_ref(), Some(&key));
        let read = KEY_PREFIXES.iter().filter(|prefix| key.starts_with(**prefix)).count();
        assert_eq!(read, 1, "{key}");
    }
}

#[test]
fn keys_of_other_versions_are_ignored() {
    let keys = [
        "",
        "lead/1",
        "leader",
        "z/1",
        "j/7",
        "d/wk-7",
        "m/",
        "m/x",
        "n/256",
        "e/-1",
        "flavors/",
        "x/0/1",
        "x/0/1/2/3",
    ];
    for key in keys {
        assert_eq!(StoreKey::parse(key), None, "{key}");
    }
}

#[test]
fn an_unreadable_record_reports_the_cause_and_changes_no_other_record() {
    let invalid = Progress {
        done: wire::to_value(&[(3, 4), (0, 1)]).deserialized().unwrap(),
        ..Progress::default()
    };
    // (key, value, start of the error text)
    let cases = [
        (StoreKey::Job(JobId(7)), Value::Null, "value has an unexpected structure"),
        (StoreKey::Progress(JobId(7)), wire::to_value(&invalid), "completed task ranges"),
        (StoreKey::Member(NodeId(1)), Value::Null, "value has an unexpected structure"),
        (StoreKey::Epoch(1), Value::Text("1".into()), "value has an unexpected structure"),
        (
            StoreKey::PeerMessage { to: NodeId(0), from: NodeId(1), chunk: 0 },
            Value::Null,
            "peer message chunk",
        ),
    ];
    let mut replica = Replica::new(NodeId(0));
    let mut changes = ReplicaChanges::default();
    for (key, value, why) in cases {
        let error = replica.try_put(key, &value, Revision(5), &mut changes).unwrap_err();
        assert!(error.to_string().starts_with(why), "{key}: {error}");
    }
    assert_eq!(changes, ReplicaChanges::default());
    // The leader is unknown once its record cannot be read.
    let leader = LeaderRecord { node: NodeId(1), incarnation: Incarnation(9), term: Term(2) };
    let leader = wire::to_value(&leader);
    replica.try_put(StoreKey::Leader, &leader, Revision(6), &mut changes).unwrap();
    assert!(replica.try_put(StoreKey::Leader, &Value::Null, Revision(7), &mut changes).is_err());
    assert!(changes.leader && replica.leader.is_none());
}

#[test]
fn peer_message_chunks_are_kept_only_for_the_receiver_until_deleted() {
    let key = |to, chunk| peer_message_key(NodeId(to), NodeId(1), chunk);
    let mut replica = Replica::new(NodeId(0));
    let text = "text".to_string();
    assert!(!replica.apply(&watch_response(1, vec![put_event(key(2, 0), &text, 1)])).peer_messages);
    let both = vec![put_event(key(0, 1), &text, 2), put_event(key(0, 0), &text, 2)];
    assert!(replica.apply(&watch_response(2, both)).peer_messages);
    assert!(replica.peer_messages[&NodeId(1)].keys().eq([&0, &1]));
    replica.apply(&watch_response(3, vec![delete_event(key(0, 0), 3), delete_event(key(2, 1), 3)]));
    assert!(replica.peer_messages[&NodeId(1)].keys().eq([&1]));
    replica.apply(&watch_response(4, vec![delete_event(key(0, 1), 4)]));
    assert!(replica.peer_messages.is_empty());
}
