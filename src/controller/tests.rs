//! Tests of the controller: term changes, progress writes, job answers and watches.

use super::completions::PROGRESS_WRITE_SHARE;
use super::*;
use crate::config::tests::EXAMPLE;
use crate::model::{JobId, TaskRanges, Term, WallTime};
use crate::peer::Plan;
use crate::replica::{self, TermRecord};
use crate::store_client::leader_writes_per_s;
use crate::wire::tests::spec;

mod cancellations;

#[test]
fn a_later_term_from_a_peer_ends_the_known_term() {
    // Guards against workers kept on an old fencing token: in a benchmark, an old leader that the
    // store refused kept its workers on the old token for 18 s. (leader and term in the peer's
    // message, resulting term, resulting leader)
    let cases = [
        (1, 4, 5, 0),
        (1, 5, 5, 0),
        (0, 7, 5, 0), // Names the receiver itself as the leader; ignored.
        (1, 6, 6, 1),
        (2, 5, 6, 1),
        (2, 8, 8, 2),
    ];
    let record = |node, term| LeaderRecord {
        node: NodeId(node),
        incarnation: Incarnation(5),
        term: Term(term),
    };
    let item = |key: &str, v| KeyValue { key: key.into(), value: v, version: Revision(9) };
    let items = |node, term| {
        [
            item(replica::LEADER_KEY, wire::to_value(&record(node, term))),
            item(replica::TERM_KEY, wire::to_value(&TermRecord { term: Term(term) })),
        ]
    };
    let now = ClockReading { monotonic: MonotonicTime(0), wall: WallTime(0) };
    let leader = ReplicaChanges { leader: true, ..ReplicaChanges::default() };
    let mut controller =
        Controller::new(Rc::new(Settings::parse(EXAMPLE).unwrap()), Incarnation(5));
    controller.load(&items(0, 5), Revision(9));
    controller.on_replica_changes(now, &leader);
    assert!(controller.leader.is_some());
    for (node, term, expected_term, expected_leader) in cases {
        controller.adopt_leader_from_peer(record(node, term));
        assert_eq!(controller.shard.term(), Term(expected_term), "{node} {term}");
        assert_eq!(controller.leader(), Some(NodeId(expected_leader)), "{node} {term}");
        assert_eq!(controller.leader.is_some(), expected_leader == 0, "{node} {term}");
    }
    controller.on_replica_changes(now, &leader);
    assert!(controller.leader.is_none(), "the replica's leader is of an earlier term");
    controller.load(&items(1, 9), Revision(12));
    controller.on_replica_changes(now, &leader);
    assert_eq!((controller.shard.term(), controller.leader()), (Term(9), Some(NodeId(1))));
}

#[test]
fn progress_of_unfinished_jobs_takes_a_bounded_share_of_writes() {
    // Guards against progress writes that starve other writes: in a benchmark, the progress of
    // about 40 array jobs took 70% of the leader's writes, and epochs and the ends of jobs waited
    // for a second and more.
    const JOBS: u64 = 80;
    const SECONDS: u64 = 30;
    let record = LeaderRecord { node: NodeId(0), incarnation: Incarnation(5), term: Term(5) };
    let item = |key: &str, v| KeyValue { key: key.into(), value: v, version: Revision(9) };
    let mut items = vec![
        item(replica::LEADER_KEY, wire::to_value(&record)),
        item(replica::TERM_KEY, wire::to_value(&TermRecord { term: Term(5) })),
    ];
    for id in 1..=JOBS {
        let accepted = replica::Accepted { spec: spec(id, 1_000), at: WallTime(1) };
        items.push(item(&replica::job_key(JobId(id)), wire::to_value(&accepted)));
    }
    let ending_job = JobId(JOBS + 1);
    let accepted = replica::Accepted { spec: spec(ending_job.0, 1), at: WallTime(1) };
    items.push(item(&replica::job_key(ending_job), wire::to_value(&accepted)));
    let settings = Rc::new(Settings::parse(EXAMPLE).unwrap());
    let mut controller = Controller::new(settings, Incarnation(5));
    controller.load(&items, Revision(9));
    controller.on_replica_changes(
        ClockReading { monotonic: MonotonicTime(0), wall: WallTime(0) },
        &ReplicaChanges { leader: true, ..ReplicaChanges::default() },
    );
    let (mut changes, mut written) = (0, std::collections::BTreeSet::new());
    let (mut revision, mut max_txn_changes) = (9, 0);
    for step in 0..SECONDS * 5 {
        let now = MonotonicTime(1_000 + step * 200);
        // One task of each job completes in each step, and in the last step a whole job as well.
        let mut completed: Vec<(u64, TaskRanges)> =
            (1..=JOBS).map(|id| (id, TaskRanges::span(step as u32, step as u32 + 1))).collect();
        if step == SECONDS * 5 - 1 {
            completed.push((ending_job.0, TaskRanges::span(0, 1)));
        }
        controller.shard.merge_completions(now, &controller.replica, &completed);
        let Some(txn) = controller.completions_txn(now) else { continue };
        changes += txn.changes.len();
        max_txn_changes = max_txn_changes.max(txn.changes.len());
        written.extend(txn.changes.iter().map(|c| c.key().to_string()));
        revision += 1;
        controller.apply_committed(&txn, Revision(revision));
    }
    let allowed = leader_writes_per_s(&controller.limits) * PROGRESS_WRITE_SHARE * SECONDS as f64;
    assert!((changes as f64) < allowed * 1.2, "{changes} changes, {allowed:.0} allowed");
    assert!(max_txn_changes <= controller.limits.txn_ops);
    assert!(written.contains(&replica::progress_key(ending_job)), "a job's end is written at once");
    assert_eq!(written.len() as u64, JOBS + 1, "the progress of every job is recorded");
}

#[test]
fn completed_tasks_are_counted_before_they_are_recorded() {
    // The progress of unfinished jobs is recorded late when many jobs share the store's budget.
    // (count in the leader's plan, recorded count, expected count in the answer)
    let cases = [(None, 0, 0), (Some(7), 2, 7), (Some(7), 9, 9), (Some(40), 9, 20)];
    for (planned, recorded, expected) in cases {
        let mut controller =
            Controller::new(Rc::new(Settings::parse(EXAMPLE).unwrap()), Incarnation(5));
        let record = LeaderRecord { node: NodeId(1), incarnation: Incarnation(9), term: Term(5) };
        let item = |key: &str, v| KeyValue { key: key.into(), value: v, version: Revision(9) };
        let accepted = replica::Accepted { spec: spec(1, 20), at: WallTime(1) };
        let done = TaskRanges::span(0, recorded);
        let progress = replica::Progress { end: None, done, gang: None };
        controller.load(
            &[
                item(&replica::job_key(JobId(1)), wire::to_value(&accepted)),
                item(&replica::progress_key(JobId(1)), wire::to_value(&progress)),
                item(replica::LEADER_KEY, wire::to_value(&record)),
                item(replica::TERM_KEY, wire::to_value(&TermRecord { term: Term(5) })),
            ],
            Revision(9),
        );
        controller.on_replica_changes(
            ClockReading { monotonic: MonotonicTime(0), wall: WallTime(0) },
            &ReplicaChanges { leader: true, ..ReplicaChanges::default() },
        );
        let completed = planned.map(|count| (1, count)).into_iter().collect();
        assert!(controller.shard.apply_plan(Plan {
            term: Term(5),
            incarnation: Incarnation(5),
            seq: crate::model::PlanSeq(1),
            leader_clock_ms: 1,
            acknowledged_summary: 0,
            owners: crate::peer::OwnershipChanges::default(),
            body: Some(crate::peer::PlanBody { completed, ..Default::default() }),
            decisions: None,
        }));
        let answer = controller.open_answer(JobId(1)).unwrap();
        assert_eq!(answer.done, expected, "{planned:?} {recorded}");
        assert_eq!(answer.state, wire::JobState::Pending, "{planned:?} {recorded}");
    }
}

#[test]
fn watching_begins_once_the_store_has_been_read() {
    // Guards against a watch from revision 0: in a benchmark, a controller that had just started
    // received a heartbeat with a later term, requested all 10,000 changes since the beginning, and
    // ran out of memory.
    let mut controller =
        Controller::new(Rc::new(Settings::parse(EXAMPLE).unwrap()), Incarnation(5));
    assert_eq!(controller.watch_start_revision(), None);
    controller.load(&[], Revision(9));
    assert_eq!(controller.watch_start_revision(), Some(Revision(9)));
    controller.loaded = false; // As if the store no longer retained the changes since the revision.
    assert_eq!(controller.watch_start_revision(), None);
}
