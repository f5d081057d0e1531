//! Tables of cases for `controller`.

use super::completions::PROGRESS_WRITE_SHARE;
use super::*;
use crate::config::tests::EXAMPLE;
use crate::model::{JobId, TaskRanges, Term, WallTime};
use crate::peer::Plan;
use crate::replica::{self, TermRecord};
use crate::store_client::leaders_writes_per_s;
use crate::wire::tests::spec;

#[test]
fn a_peer_ends_a_term_that_the_store_does_not_end() {
    // Seen on a bench day: refused by the store, the old leader kept its workers under the
    // old token for 18 s. (leader and term in the peer's message, term then, leader then)
    let cases = [
        (1, 4, 5, 0),
        (1, 5, 5, 0),
        (0, 7, 5, 0), // of this very node, which would know
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
    let now = ClockReading { steady: MonotonicTime(0), wall: WallTime(0) };
    let leader = ReplicaChanges { leader: true, ..ReplicaChanges::default() };
    let mut controller =
        Controller::new(Rc::new(Settings::parse(EXAMPLE).unwrap()), Incarnation(5));
    controller.load(&items(0, 5), Revision(9));
    controller.follow(now, &leader);
    assert!(controller.leader.is_some());
    for (node, term, then, leader) in cases {
        controller.adopt_leader_from_peer(record(node, term));
        assert_eq!(controller.shard.term(), Term(then), "{node} {term}");
        assert_eq!(controller.leader(), Some(NodeId(leader)), "{node} {term}");
        assert_eq!(controller.leader.is_some(), leader == 0, "{node} {term}");
    }
    controller.follow(now, &leader);
    assert!(controller.leader.is_none(), "what the replica holds is of an earlier term");
    controller.load(&items(1, 9), Revision(12));
    controller.follow(now, &leader);
    assert_eq!((controller.shard.term(), controller.leader()), (Term(9), Some(NodeId(1))));
}

#[test]
fn progress_of_open_jobs_leaves_store_writes_to_others() {
    // Seen on a bench day: the progress of some forty arrays took seven tenths of the leader's changes,
    // so that epochs and the ends of jobs waited for a second and more.
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
    let last = JobId(JOBS + 1);
    let accepted = replica::Accepted { spec: spec(last.0, 1), at: WallTime(1) };
    items.push(item(&replica::job_key(last), wire::to_value(&accepted)));
    let settings = Rc::new(Settings::parse(EXAMPLE).unwrap());
    let mut controller = Controller::new(settings, Incarnation(5));
    controller.load(&items, Revision(9));
    controller.follow(
        ClockReading { steady: MonotonicTime(0), wall: WallTime(0) },
        &ReplicaChanges { leader: true, ..ReplicaChanges::default() },
    );
    let (mut changes, mut written) = (0, std::collections::BTreeSet::new());
    let (mut revision, mut most) = (9, 0);
    for step in 0..SECONDS * 5 {
        let now = MonotonicTime(1_000 + step * 200);
        // A task of every job completes in each step, and in the last one a whole job.
        let mut finished: Vec<(u64, TaskRanges)> =
            (1..=JOBS).map(|id| (id, TaskRanges::span(step as u32, step as u32 + 1))).collect();
        if step == SECONDS * 5 - 1 {
            finished.push((last.0, TaskRanges::span(0, 1)));
        }
        controller.shard.merge_completions(now, &controller.replica, &finished);
        let Some(txn) = controller.completions_txn(now) else { continue };
        changes += txn.changes.len();
        most = most.max(txn.changes.len());
        written.extend(txn.changes.iter().map(|c| c.key().to_string()));
        revision += 1;
        controller.apply_committed(&txn, Revision(revision));
    }
    let allowed = leaders_writes_per_s(&controller.limits) * PROGRESS_WRITE_SHARE * SECONDS as f64;
    assert!((changes as f64) < allowed * 1.2, "{changes} changes, {allowed:.0} allowed");
    assert!(most <= controller.limits.txn_ops);
    assert!(written.contains(&replica::progress_key(last)), "the job that ends is written at once");
    assert_eq!(written.len() as u64, JOBS + 1, "every job's progress is on record in the end");
}

#[test]
fn completed_tasks_are_counted_before_they_are_recorded() {
    // The progress of jobs that go on is written late where many jobs share the store's budget.
    // (in the leader's plan, on record, shown)
    let cases = [(None, 0, 0), (Some(7), 2, 7), (Some(7), 9, 9), (Some(40), 9, 20)];
    for (planned, recorded, shown) in cases {
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
        controller.follow(
            ClockReading { steady: MonotonicTime(0), wall: WallTime(0) },
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
        assert_eq!(answer.done, shown, "{planned:?} {recorded}");
        assert_eq!(answer.state, wire::JobState::Pending, "{planned:?} {recorded}");
    }
}

#[test]
fn watching_begins_once_the_store_has_been_read() {
    // Seen on a bench day: a worker's heartbeat with a later term reached a controller that had just started, which asked
    // for all changes since the beginning, 10,000 of them, and ended for memory.
    let mut controller =
        Controller::new(Rc::new(Settings::parse(EXAMPLE).unwrap()), Incarnation(5));
    assert_eq!(controller.changes_from(), None);
    controller.load(&[], Revision(9));
    assert_eq!(controller.changes_from(), Some(Revision(9)));
    controller.loaded = false; // The store no longer had the changes to go on from.
    assert_eq!(controller.changes_from(), None);
}
