//! When users may be told that a job is cancelled.

use super::*;
use crate::model::NodeId;
use crate::peer::CancellationNotice;
use crate::replica::{
    Accepted, CAPABILITIES, CAPABILITY_CANCELLATION_NOTICE, CAPABILITY_STANDBY, MemberRecord,
};
use crate::wire::{JobState, WatchEvent};

const JOB: JobId = JobId(412);
/// Revision of the cancellation.
const CANCELLED_AT: Revision = Revision(12);
const NOTICE: CancellationNotice = CancellationNotice { job: JOB, done: 0, version: CANCELLED_AT };

fn reading(ms: u64) -> ClockReading {
    ClockReading { monotonic: MonotonicTime(ms), wall: WallTime(ms) }
}

fn item(key: &str, value: wire::Value, version: u64) -> KeyValue {
    KeyValue { key: key.into(), value, version: Revision(version) }
}

fn member(node: u8, capabilities: u32) -> KeyValue {
    let record =
        MemberRecord { incarnation: Incarnation(90), version: String::new(), capabilities };
    item(&replica::member_key(NodeId(node)), wire::to_value(&record), 3)
}

/// Creates host-0 at time 0, with the store at revision 9: an open job, and the other controllers that are members
/// with these capabilities.
fn controller_with_members(capabilities: [Option<u32>; 2]) -> Controller {
    let settings = Rc::new(Settings::parse(EXAMPLE).unwrap());
    let mut controller = Controller::new(settings, Incarnation(5));
    let accepted = Accepted { spec: spec(JOB.0, 4), at: WallTime(1) };
    let mut items = vec![item(&replica::job_key(JOB), wire::to_value(&accepted), 5)];
    for (node, capabilities) in [1, 2].into_iter().zip(capabilities) {
        items.extend(capabilities.map(|capabilities| member(node, capabilities)));
    }
    controller.load(&items, Revision(9));
    controller.on_replica_changes(reading(0), &ReplicaChanges::default());
    controller
}

/// Delivers a watch response at `ms` that shows these events and the store at `revision`.
fn watch(controller: &mut Controller, ms: u64, events: Vec<WatchEvent>, revision: u64) {
    let response = WatchResponse { events, revision: Revision(revision) };
    let replica_changes = controller.apply_watch_response(&response, MonotonicTime(ms)).unwrap();
    controller.on_replica_changes(reading(ms), &replica_changes);
}

/// Returns the event of a member's absence.
fn member_removed(node: u8, version: u64) -> WatchEvent {
    WatchEvent {
        put_key: None,
        deleted_key: Some(replica::member_key(NodeId(node))),
        value: None,
        version: Revision(version),
    }
}

/// Cancels the job at `ms`, as this controller's own transaction does.
fn cancel(controller: &mut Controller, ms: u64) {
    let (txn, _) = controller.cancel_txn(JOB).unwrap();
    let replica_changes = controller.apply_committed(&txn, CANCELLED_AT);
    controller.on_replica_changes(reading(ms), &replica_changes);
    assert!(controller.collect_acknowledgements(MonotonicTime(ms), JOB));
}

/// Returns whether users are told at `ms` that the job is cancelled.
fn is_reported(controller: &Controller, ms: u64) -> bool {
    let answer = controller.ended_answer(MonotonicTime(ms), JOB).expect("the job has ended");
    answer.into_final().is_some_and(|answer| answer.state == JobState::Cancelled)
}

#[test]
fn a_cancellation_is_reported_once_no_other_controller_may_start_its_tasks() {
    // Guards against an answer to the user while a controller that has not heard of the cancellation starts tasks.
    const CURRENT: Option<u32> = Some(CAPABILITIES);
    // Capabilities of the members host-1 and host-2, controllers that acknowledge, milliseconds since the
    // cancellation, whether it is reported.
    type Case = ([Option<u32>; 2], &'static [u8], u64, bool);
    let cases: [Case; 14] = [
        ([CURRENT; 2], &[], 0, false),
        ([CURRENT; 2], &[1], 0, false),
        ([CURRENT; 2], &[1, 2], 0, true),
        // A proof from before the cancellation allows starts for 3.5 s by a clock that may run slower.
        ([CURRENT; 2], &[], 3_500, false),
        ([CURRENT; 2], &[2], 3_500, false),
        ([CURRENT; 2], &[], 3_504, true),
        // Versions that do not acknowledge have the same right, and those before them one of 18 s.
        ([CURRENT, Some(CAPABILITY_STANDBY)], &[1], 3_500, false),
        ([CURRENT, Some(CAPABILITY_CANCELLATION_NOTICE)], &[1], 3_504, true),
        ([CURRENT, Some(0)], &[1], 3_504, false),
        ([CURRENT, Some(0)], &[1], 17_900, false),
        ([CURRENT, Some(0)], &[1], 18_100, true),
        // A controller that is not a member and was never seen may be of any version.
        ([CURRENT, None], &[1], 0, false),
        ([CURRENT, None], &[1], 3_504, false),
        ([CURRENT, None], &[1], 18_100, true),
    ];
    for (members, acknowledging, after_ms, reported) in cases {
        let mut controller = controller_with_members(members);
        cancel(&mut controller, 1_000);
        for node in acknowledging {
            let notices = controller.unacknowledged_notices(MonotonicTime(1_000), NodeId(*node));
            assert_eq!(notices, [NOTICE], "{members:?}");
            controller.record_acknowledgements(NodeId(*node), &[JOB]);
            assert!(
                controller.unacknowledged_notices(MonotonicTime(1_000), NodeId(*node)).is_empty()
            );
        }
        let got = is_reported(&controller, 1_000 + after_ms);
        assert_eq!(got, reported, "{members:?} {acknowledging:?} {after_ms}");
    }
}

#[test]
fn an_absent_controller_needs_to_acknowledge_nothing() {
    // Guards against cancellations that wait 3.5 s each for as long as a controller is down.
    for (removed_at, seen_revision, reported) in
        [(None, 20, false), (Some(11), 11, false), (Some(11), 12, true), (Some(14), 14, true)]
    {
        let mut controller = controller_with_members([Some(CAPABILITIES); 2]);
        cancel(&mut controller, 1_000);
        controller.record_acknowledgements(NodeId(1), &[JOB]);
        let removed = removed_at.map(|version| member_removed(2, version));
        watch(&mut controller, 1_100, removed.into_iter().collect(), seen_revision);
        assert_eq!(is_reported(&controller, 1_200), reported, "{removed_at:?} {seen_revision}");
    }
    // One of an earlier version may start tasks for 18 s after it was last a member.
    let mut controller = controller_with_members([Some(CAPABILITIES), Some(CAPABILITY_STANDBY)]);
    watch(&mut controller, 500, vec![member_removed(2, 10)], 10);
    watch(&mut controller, 18_000, Vec::new(), 11);
    cancel(&mut controller, 18_100);
    controller.record_acknowledgements(NodeId(1), &[JOB]);
    watch(&mut controller, 18_200, Vec::new(), 12);
    assert!(!is_reported(&controller, 18_300));
    assert!(is_reported(&controller, 18_600));
}

#[test]
fn a_cancellation_learned_from_others_is_not_reported_at_once() {
    // Guards against a controller that answers a query or a repeated request with a cancellation that another
    // controller has written and not yet confirmed: from the store, from a notice, and after a restart.
    let cancelled = replica::Progress { end: Some(JobState::Cancelled), ..Default::default() };
    let record = item(&replica::progress_key(JOB), wire::to_value(&cancelled), CANCELLED_AT.0);
    let mut from_store = controller_with_members([Some(CAPABILITIES); 2]);
    let event = WatchEvent {
        put_key: Some(record.key.clone()),
        deleted_key: None,
        value: Some(record.value.clone()),
        version: record.version,
    };
    watch(&mut from_store, 1_000, vec![event], CANCELLED_AT.0);
    let mut from_notice = controller_with_members([Some(CAPABILITIES); 2]);
    let (replica_changes, known) = from_notice.apply_cancellation_notices(&[NOTICE]);
    assert_eq!((known, replica_changes.cancelled_jobs.len()), (vec![JOB], 1));
    from_notice.on_replica_changes(reading(1_000), &replica_changes);
    let mut restarted = controller_with_members([Some(CAPABILITIES); 2]);
    restarted.load(&[record, member(1, CAPABILITIES), member(2, CAPABILITIES)], Revision(12));
    restarted.on_replica_changes(reading(1_000), &ReplicaChanges::default());
    for mut controller in [from_store, from_notice, restarted] {
        let answer = controller.ended_answer(MonotonicTime(1_010), JOB);
        assert_eq!(answer, Some(EndedAnswer::NotEffective { effective_within_ms: 3_494 }));
        assert!(is_reported(&controller, 4_504));
        assert!(controller.collect_acknowledgements(MonotonicTime(1_010), JOB));
        for node in [NodeId(1), NodeId(2)] {
            assert_eq!(controller.unacknowledged_notices(MonotonicTime(1_010), node), [NOTICE]);
            controller.record_acknowledgements(node, &[JOB]);
        }
        assert!(is_reported(&controller, 1_020));
    }
}

#[test]
fn only_a_loaded_controller_acknowledges_cancellations() {
    // Guards against an acknowledgement by a controller that is reading the store: it may have read the job's
    // progress before the cancellation, and would start tasks once the read is complete.
    let mut controller = controller_with_members([Some(CAPABILITIES); 2]);
    controller.loaded = false;
    assert_eq!(controller.apply_cancellation_notices(&[NOTICE]).1, []);
    controller.loaded = true;
    assert_eq!(controller.apply_cancellation_notices(&[NOTICE, NOTICE]).1, [JOB, JOB]);
    assert!(!controller.replica.jobs.contains_key(&JOB));
    // A job that is done stays done.
    let done = replica::Progress { end: Some(JobState::Done), ..Default::default() };
    let mut controller = controller_with_members([Some(CAPABILITIES); 2]);
    let record = item(&replica::progress_key(JOB), wire::to_value(&done), 11);
    controller.replica.load(&record, &mut ReplicaChanges::default());
    assert_eq!(controller.apply_cancellation_notices(&[NOTICE]).1, []);
    assert_eq!(controller.replica.ended[&JOB].state, JobState::Done);
}

#[test]
fn a_change_never_counts_as_older_than_its_first_observation() {
    let mut history = revision_history::RevisionHistory::default();
    // (time, revision) of each observation; the second and third share a sample with the first.
    for (ms, revision) in [(1_000, 5), (1_050, 6), (1_090, 8), (1_300, 8), (1_400, 9)] {
        history.record(MonotonicTime(ms), Revision(revision), 10_000);
    }
    for (revision, reached_at) in [(1, Some(1_090)), (8, Some(1_090)), (9, Some(1_400)), (10, None)]
    {
        let got = history.reached_at(Revision(revision));
        assert_eq!(got, reached_at.map(MonotonicTime), "{revision}");
    }
    // The latest of the forgotten revisions remains.
    history.record(MonotonicTime(20_000), Revision(10), 10_000);
    history.record(MonotonicTime(20_200), Revision(11), 10_000);
    assert_eq!(history.reached_at(Revision(2)), Some(MonotonicTime(1_400)));
}
