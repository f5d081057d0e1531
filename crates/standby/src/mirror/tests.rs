//! A copy matches the leader's state, or is known not to.

use super::*;
use crate::decision_log::DecisionLog;
use crate::decisions::{DecisionTarget, JobNumber, tests::target};
use crate::settings::StandbySettings;

fn pair() -> (DecisionLog, Mirror) {
    let settings =
        StandbySettings { window_records: 64, batch_records: 10, ..StandbySettings::default() };
    let mut mirror = Mirror::default();
    mirror.begin_term(Term(3));
    (DecisionLog::new(Term(3), &settings), mirror)
}

/// Lets the copy catch up.
fn follow(log: &mut DecisionLog, mirror: &mut Mirror) {
    for _ in 0..100 {
        let Some(batch) = log.batch_for(&mirror.request()) else { return };
        let _ = mirror.accept(&batch);
    }
    panic!("it does not catch up");
}

#[test]
fn a_copy_follows_and_says_how_far_it_is_behind() {
    let (mut log, mut mirror) = pair();
    log.record(WallTime(1_000), &target(1));
    let batch = log.batch_for(&mirror.request()).unwrap();
    mirror.accept(&batch).unwrap();
    assert_eq!(mirror.lag_records(), log.newest().index - 10);
    assert_eq!(mirror.lag_ms(WallTime(1_700)), 700);
    assert!(!mirror.is_complete(Term(3)));
    follow(&mut log, &mut mirror);
    assert!(mirror.is_complete(Term(3)));
    assert_eq!((mirror.lag_records(), mirror.lag_ms(WallTime(9_000))), (0, 0));
    assert_eq!(mirror.state(), log.state());
}

#[test]
fn repeated_and_reordered_batches_change_nothing() {
    let (mut log, mut mirror) = pair();
    log.record(WallTime(1), &target(1));
    let first = log.batch_for(&mirror.request()).unwrap();
    mirror.accept(&first).unwrap();
    let second = log.batch_for(&mirror.request()).unwrap();
    mirror.accept(&second).unwrap();
    let held = mirror.state().clone();
    for batch in [&first, &second, &first] {
        mirror.accept(batch).unwrap();
        assert_eq!(mirror.state(), &held);
    }
    assert_eq!(mirror.counters().repeated, 30);
    follow(&mut log, &mut mirror);
    assert_eq!(mirror.state(), log.state());
}

#[test]
fn gaps_wrong_terms_and_malformed_batches_are_counted_and_recovered_from() {
    let (mut log, mut mirror) = pair();
    log.record(WallTime(1), &target(1));
    let first = log.batch_for(&mirror.request()).unwrap();
    let mut gap = first.clone();
    (gap.from.index, gap.to.index) = (5, 15);
    let mut other_term = first.clone();
    (other_term.from.term, other_term.to.term, other_term.newest.term) =
        (Term(2), Term(2), Term(2));
    let mut short = first.clone();
    short.to.index -= 1;
    let mut beyond = first.clone();
    beyond.newest.index = 3;
    let mut unreadable = first.clone();
    unreadable.payload.truncate(3);
    let cases = [
        (gap, BatchRejected::Gap(0)),
        (other_term, BatchRejected::WrongTerm(Term(2))),
        (short, MalformedBatch::Count { expected: 9, found: 10 }.into()),
        (beyond, MalformedBatch::Positions.into()),
        (unreadable, PayloadError::MissingSize.into()),
    ];
    for (batch, why) in cases {
        assert_eq!(mirror.accept(&batch), Err(why));
        assert_eq!(mirror.state().len(), 0, "{why}");
    }
    let counters = mirror.counters();
    assert_eq!((counters.gaps, counters.wrong_terms, counters.malformed), (1, 1, 3));
    follow(&mut log, &mut mirror);
    assert_eq!(mirror.state(), log.state());
    assert_eq!(mirror.counters().snapshots, 1);
}

/// A copy that diverged is found by the digest of the next batch, is reported with its differences, and is replaced.
#[test]
fn a_divergence_is_found_reported_and_recovered_from() {
    let (mut log, mut mirror) = pair();
    log.record(WallTime(1), &target(1));
    follow(&mut log, &mut mirror);
    let lost = Decision::Waiting(JobNumber(1), Some(WallTime(1)));
    mirror.state.apply(Decision::Waiting(JobNumber(1), None));
    let more = DecisionTarget { reserved: [].into(), ..target(1) };
    log.record(WallTime(2), &more);
    let batch = log.batch_for(&mirror.request()).unwrap();
    assert_eq!(mirror.accept(&batch), Err(BatchRejected::Divergence));
    assert!(!mirror.is_complete(Term(3)), "it does not count as complete");
    let snapshot = log.batch_for(&mirror.request()).unwrap();
    assert_eq!(mirror.accept(&snapshot), Ok(vec![lost]));
    assert!(mirror.is_complete(Term(3)));
    assert_eq!(mirror.counters().divergences, 1);
}

/// The state changes between two chunks of a snapshot: together they are no state that ever was.
#[test]
fn a_snapshot_that_changed_between_its_chunks_is_not_applied() {
    let (mut log, mut mirror) = pair();
    log.record(WallTime(1), &target(1));
    let mut first = log.batch_for(&FollowRequest { snapshot: true, ..mirror.request() }).unwrap();
    first.kind = BatchKind::Snapshot { offset: 0, more: true };
    mirror.accept(&first).unwrap();
    log.record(WallTime(2), &target(2));
    let request = mirror.request();
    assert!(request.snapshot && request.received > 0);
    let last = log.batch_for(&request).unwrap();
    assert_eq!(mirror.accept(&last), Err(BatchRejected::Divergence));
    follow(&mut log, &mut mirror);
    assert_eq!(mirror.state(), log.state());
}

#[test]
fn a_new_term_begins_empty_and_an_old_one_does_not_return() {
    let (mut log, mut mirror) = pair();
    log.record(WallTime(1), &target(1));
    follow(&mut log, &mut mirror);
    mirror.begin_term(Term(2));
    assert!(mirror.is_complete(Term(3)));
    mirror.begin_term(Term(4));
    assert!(mirror.state().is_empty());
    let late = log.batch_for(&FollowRequest::default()).unwrap();
    assert_eq!(mirror.accept(&late), Err(BatchRejected::WrongTerm(Term(3))));
}
