//! Tables of cases for `replica`.

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
        gone: None,
        endpoint: String::new(),
    };
    let machines = ids.iter().map(|id| (MachineId::new(id), record.clone()));
    MachineGroup { machines: machines.collect() }
}

fn set<T: Serialize>(key: String, value: &T, version: u64) -> WatchEvent {
    WatchEvent {
        put_key: Some(key),
        deleted_key: None,
        value: Some(wire::to_value(value)),
        version: Revision(version),
    }
}
fn dropped(key: String, version: u64) -> WatchEvent {
    WatchEvent { put_key: None, deleted_key: Some(key), value: None, version: Revision(version) }
}
fn changes(revision: u64, events: Vec<WatchEvent>) -> WatchResponse {
    WatchResponse { revision: Revision(revision), events }
}

#[test]
fn overlapping_and_late_watch_responses_change_nothing() {
    let id = JobId(7);
    let job = set(job_key(id), &Accepted { spec: spec(7, 2), at: WallTime(1) }, 3);
    let leader =
        |term| LeaderRecord { node: NodeId(1), incarnation: Incarnation(9), term: Term(term) };
    let mut replica = Replica::new(NodeId(0));
    assert!(replica.apply(&changes(4, vec![job.clone()])).new_jobs);
    replica.apply(&changes(9, vec![set(LEADER_KEY.into(), &leader(2), 8)]));
    // A slower watch that covers only older changes comes back afterwards.
    let late = vec![job, set(LEADER_KEY.into(), &leader(1), 5), dropped(LEADER_KEY.into(), 6)];
    assert_eq!(replica.apply(&changes(7, late)), ReplicaChanges::default());
    assert_eq!(replica.leader.as_ref().unwrap().value.term, Term(2));
    assert_eq!(replica.revision, Revision(9));
    replica.apply(&changes(10, vec![dropped(LEADER_KEY.into(), 10)]));
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
    assert_eq!(replica.ended[&JobId(7)], EndedJob { state: JobState::Done, done: 2 });
    // An ended job stays ended whatever is read later.
    replica.load(&item(progress_key(JobId(7)), wire::to_value(&done), 5), &mut replica_changes);
    replica.load(&item(job_key(JobId(7)), wire::to_value(&accepted), 4), &mut replica_changes);
    assert!(replica.jobs.is_empty() && replica.ended.len() == 1);
}

#[test]
fn forgetting_usage_of_cancelled_jobs_is_remembered() {
    // Their tasks may run on machines that send no heartbeats; a limit must not be passed by
    // forgetting them. (cancelled jobs, remembered, whether some are forgotten)
    let most = RESIDUAL_USAGE_KEPT as u64;
    for (cancelled, remembered, forgotten) in
        [(3, 3, false), (most, most, false), (most + 1, most, true)]
    {
        let mut replica = Replica::new(NodeId(0));
        let cancelled_progress = Progress { end: Some(JobState::Cancelled), ..Progress::default() };
        for n in 1..=cancelled {
            let accepted = Accepted { spec: spec(n, 2), at: WallTime(1) };
            let news = vec![
                set(job_key(JobId(n)), &accepted, 2 * n),
                set(progress_key(JobId(n)), &cancelled_progress, 2 * n + 1),
            ];
            replica.apply(&changes(2 * n + 1, news));
        }
        assert_eq!(
            (replica.residual_usage.len() as u64, replica.residual_usage_truncated),
            (remembered, forgotten)
        );
    }
}

#[test]
fn residual_usage_of_a_completed_gang_is_recorded() {
    // Found in the simulation: a machine that hung had tasks of a gang that was done, and after a
    // failover they counted for no limit. (shape, tasks that may still be somewhere)
    for (kind, residual) in [(wire::JobKind::Gang, Some(3)), (wire::JobKind::Array, None)] {
        let job = Job {
            spec: JobSpec { kind, ..spec(7, 3) },
            at: WallTime(1),
            progress: Progress::default(),
            progress_version: Revision(0),
        };
        let end = job.with_completed(0..3, 2_048).unwrap();
        let mut replica_changes = ReplicaChanges::default();
        // A controller that has never seen the job read its end alone.
        let mut replica = Replica::new(NodeId(0));
        replica.put(
            &progress_key(JobId(7)),
            &wire::to_value(&end),
            Revision(3),
            &mut replica_changes,
        );
        assert_eq!(
            replica.residual_usage.get(&JobId(7)).map(|w| w.unfinished_tasks),
            residual,
            "{kind:?}"
        );
    }
}

#[test]
fn scattered_completions_fit_into_a_value_and_are_recorded_in_the_end() {
    let mut job = Job {
        spec: spec(7, 4_000),
        at: WallTime(1),
        progress: Progress::default(),
        progress_version: Revision(0),
    };
    let apart = (0..4_000).filter(|i| i % 2 == 0);
    let some = job.with_completed(apart.clone(), 2_048).unwrap();
    assert!(wire::stored_bytes(&some) <= 2_048 && some.done.len() > 100);
    // What a version with larger values wrote is read, and shrinks when it is written again.
    job.progress.done = apart.clone().collect();
    let more = job.with_completed([1], 2_048).unwrap();
    assert!(wire::stored_bytes(&more) <= 2_048 && more.done.contains(1));
    job.progress = some;
    let all = job.with_completed(0..4_000, 2_048).unwrap();
    assert_eq!((all.end, all.done.len()), (Some(JobState::Done), 4_000));
}

#[test]
fn recently_ended_jobs_stay_known_among_many() {
    // All ends were forgotten at once when there were too many: tasks of a job that had been cancelled
    // just before got no kill any more, and ran on.
    let mut replica = Replica::new(NodeId(0));
    let cancelled_progress = Progress { end: Some(JobState::Cancelled), ..Progress::default() };
    let cancelled_progress = wire::to_value(&cancelled_progress);
    let mut replica_changes = ReplicaChanges::default();
    let ends = ENDED_KEPT as u64 + 3;
    for n in 1..=ends {
        replica.put(
            &progress_key(JobId(n)),
            &cancelled_progress,
            Revision(n),
            &mut replica_changes,
        );
        // What is applied twice counts once.
        replica.put(
            &progress_key(JobId(n)),
            &cancelled_progress,
            Revision(n),
            &mut replica_changes,
        );
    }
    assert_eq!(
        (replica.ended.len(), replica_changes.cancelled_jobs.len() as u64),
        (ENDED_KEPT, ends)
    );
    for (id, known) in [(1, false), (3, false), (4, true), (ends - 1, true), (ends, true)] {
        assert_eq!(replica.ended.contains_key(&JobId(id)), known, "{id}");
    }
}

#[test]
fn a_reloaded_replica_keeps_what_cannot_change() {
    let member = |capabilities| MemberRecord {
        incarnation: Incarnation(9),
        version: String::new(),
        capabilities,
    };
    let done = Progress { end: Some(JobState::Done), ..Progress::default() };
    let mut replica = Replica::new(NodeId(0));
    replica.apply(&changes(
        4,
        vec![set(member_key(NodeId(1)), &member(CAPABILITY_CANCELLATION_NOTICE), 3)],
    ));
    replica.apply(&changes(6, vec![dropped(member_key(NodeId(1)), 5)]));
    replica.apply(&changes(8, vec![set(progress_key(JobId(7)), &done, 7)]));
    let moves = replica.membership_changes[&NodeId(1)];
    let mut read = Replica::new(NodeId(0));
    let mut replica_changes = ReplicaChanges::default();
    let other = KeyValue {
        key: progress_key(JobId(8)),
        value: wire::to_value(&done),
        version: Revision(9),
    };
    read.load(&other, &mut replica_changes);
    replica.replace(read);
    // It was created and deleted between two reads; controllers that the store refuses get cancellation notices.
    assert!(replica.membership_changes[&NodeId(1)] > moves && replica.members.is_empty());
    assert!(
        replica.supports_cancellation_notices(NodeId(1))
            && !replica.supports_gangs(NodeId(1))
            && !replica.supports_cancellation_notices(NodeId(2))
    );
    assert_eq!(replica.ended.len(), 2);
}

#[test]
fn a_full_read_of_the_store_reads_every_key_once() {
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
fn an_unusable_record_says_why_and_changes_no_other() {
    let unsound = Progress {
        done: wire::to_value(&[(3, 4), (0, 1)]).deserialized().unwrap(),
        ..Progress::default()
    };
    // (key, value, why)
    let cases = [
        (StoreKey::Job(JobId(7)), Value::Null, "value of the wrong shape"),
        (StoreKey::Progress(JobId(7)), wire::to_value(&unsound), "ranges of completed tasks"),
        (StoreKey::Member(NodeId(1)), Value::Null, "value of the wrong shape"),
        (StoreKey::Epoch(1), Value::Text("1".into()), "value of the wrong shape"),
        (
            StoreKey::PeerMessage { to: NodeId(0), from: NodeId(1), chunk: 0 },
            Value::Null,
            "chunk of a peer message",
        ),
    ];
    let mut replica = Replica::new(NodeId(0));
    let mut changes = ReplicaChanges::default();
    for (key, value, why) in cases {
        let error = replica.try_put(key, &value, Revision(5), &mut changes).unwrap_err();
        assert!(error.to_string().starts_with(why), "{key}: {error}");
    }
    assert_eq!(changes, ReplicaChanges::default());
    // Who leads is not known any more once the record of it cannot be read.
    let leader = LeaderRecord { node: NodeId(1), incarnation: Incarnation(9), term: Term(2) };
    let leader = wire::to_value(&leader);
    replica.try_put(StoreKey::Leader, &leader, Revision(6), &mut changes).unwrap();
    assert!(replica.try_put(StoreKey::Leader, &Value::Null, Revision(7), &mut changes).is_err());
    assert!(changes.leader && replica.leader.is_none());
}

#[test]
fn chunks_of_peer_messages_are_held_for_the_receiver_alone_until_they_are_deleted() {
    let key = |to, chunk| peer_message_key(NodeId(to), NodeId(1), chunk);
    let mut replica = Replica::new(NodeId(0));
    let text = "text".to_string();
    assert!(!replica.apply(&changes(1, vec![set(key(2, 0), &text, 1)])).peer_messages);
    let both = vec![set(key(0, 1), &text, 2), set(key(0, 0), &text, 2)];
    assert!(replica.apply(&changes(2, both)).peer_messages);
    assert!(replica.peer_messages[&NodeId(1)].keys().eq([&0, &1]));
    replica.apply(&changes(3, vec![dropped(key(0, 0), 3), dropped(key(2, 1), 3)]));
    assert!(replica.peer_messages[&NodeId(1)].keys().eq([&1]));
    replica.apply(&changes(4, vec![dropped(key(0, 1), 4)]));
    assert!(replica.peer_messages.is_empty());
}
