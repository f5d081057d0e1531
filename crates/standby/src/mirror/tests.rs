//! Tests that a copy matches the leader's state, or is recognized as not matching.

use super::*;
use crate::decision_log::DecisionLog;
use crate::decisions::{DecisionTarget, JobNumber, tests::target};
use crate::settings::StandbySettings;

fn log_and_mirror() -> (DecisionLog, Mirror) {
    let settings =
        StandbySettings { window_records: 64, batch_records: 10, ..StandbySettings::default() };
    let mut mirror = Mirror::default();
    mirror.begin_term(Term(3));
    (DecisionLog::new(Term(3), &settings), mirror)
}

/// Applies batches until the copy has all decisions of the log.
fn catch_up(log: &mut DecisionLog, mirror: &mut Mirror) {
    for _ in 0..100 {
        let Some(batch) = log.batch_for(&mirror.request()) else { return };
        let _ = mirror.accept(&batch);
    }
    panic!("the copy did not catch up within 100 batches");
}

#[test]
fn a_copy_catches_up_and_reports_its_lag() {
    let (mut log, mut mirror) = log_and_mirror();
    log.record(WallTime(1_000), &target(1));
    let batch = log.batch_for(&mirror.request()).unwrap();
    mirror.accept(&batch).unwrap();
    assert_eq!(mirror.lag_records(), log.newest().index - 10);
    assert_eq!(mirror.lag_ms(WallTime(1_700)), 700);
    assert!(!mirror.is_complete(Term(3)));
    catch_up(&mut log, &mut mirror);
    assert!(mirror.is_complete(Term(3)));
    assert_eq!((mirror.lag_records(), mirror.lag_ms(WallTime(9_000))), (0, 0));
    assert_eq!(mirror.state(), log.state());
}

#[test]
fn repeated_and_reordered_batches_change_nothing() {
    let (mut log, mut mirror) = log_and_mirror();
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
    catch_up(&mut log, &mut mirror);
    assert_eq!(mirror.state(), log.state());
}

#[test]
fn a_copy_counts_and_recovers_from_gaps_wrong_terms_and_malformed_batches() {
    let (mut log, mut mirror) = log_and_mirror();
    log.record(WallTime(1), &target(1));
    let first = log.batch_for(&mirror.request()).unwrap();
    let mut gap = first.clone();
    (gap.from.index, gap.to.index) = (5, 15);
    let mut other_term = first.clone();
    (other_term.from.term, other_term.to.term, other_term.newest.term) =
        (Term(2), Term(2), Term(2));
    let mut wrong_count = first.clone();
    wrong_count.to.index -= 1;
    let mut past_newest = first.clone();
    past_newest.newest.index = 3;
    let mut truncated = first.clone();
    truncated.payload.truncate(3);
    let cases = [
        (gap, BatchRejected::Gap(0)),
        (other_term, BatchRejected::WrongTerm(Term(2))),
        (wrong_count, MalformedBatch::Count { expected: 9, found: 10 }.into()),
        (past_newest, MalformedBatch::Positions.into()),
        (truncated, PayloadError::MissingSize.into()),
    ];
    for (batch, rejected) in cases {
        assert_eq!(mirror.accept(&batch), Err(rejected));
        assert_eq!(mirror.state().len(), 0, "{rejected}");
    }
    let counters = mirror.counters();
    assert_eq!((counters.gaps, counters.wrong_terms, counters.malformed), (1, 1, 3));
    catch_up(&mut log, &mut mirror);
    assert_eq!(mirror.state(), log.state());
    assert_eq!(mirror.counters().snapshots, 1);
}

/// A diverged copy is detected by the digest of the next batch, replaced by a snapshot, and its differences are returned.
#[test]
fn a_divergence_is_detected_and_repaired_by_a_snapshot() {
    let (mut log, mut mirror) = log_and_mirror();
    log.record(WallTime(1), &target(1));
    catch_up(&mut log, &mut mirror);
    let lost = Decision::Waiting(JobNumber(1), Some(WallTime(1)));
    mirror.state.apply(Decision::Waiting(JobNumber(1), None));
    let more = DecisionTarget { reserved: [].into(), ..target(1) };
    log.record(WallTime(2), &more);
    let batch = log.batch_for(&mirror.request()).unwrap();
    assert_eq!(mirror.accept(&batch), Err(BatchRejected::Divergence));
    assert!(!mirror.is_complete(Term(3)), "a diverged copy is not complete");
    let snapshot = log.batch_for(&mirror.request()).unwrap();
    assert_eq!(mirror.accept(&snapshot), Ok(vec![lost]));
    assert!(mirror.is_complete(Term(3)));
    assert_eq!(mirror.counters().divergences, 1);
}

/// If the state changes between two chunks of a snapshot, the chunks together form a state that the leader never had.
#[test]
fn a_snapshot_that_changed_between_its_chunks_is_not_applied() {
    let (mut log, mut mirror) = log_and_mirror();
    log.record(WallTime(1), &target(1));
    let mut first = log.batch_for(&FollowRequest { snapshot: true, ..mirror.request() }).unwrap();
    first.kind = BatchKind::Snapshot { offset: 0, more: true };
    mirror.accept(&first).unwrap();
    log.record(WallTime(2), &target(2));
    let request = mirror.request();
    assert!(request.snapshot && request.received > 0);
    let last = log.batch_for(&request).unwrap();
    assert_eq!(mirror.accept(&last), Err(BatchRejected::Divergence));
    catch_up(&mut log, &mut mirror);
    assert_eq!(mirror.state(), log.state());
}

#[test]
fn a_new_term_starts_empty_and_an_earlier_term_is_not_followed_again() {
    let (mut log, mut mirror) = log_and_mirror();
    log.record(WallTime(1), &target(1));
    catch_up(&mut log, &mut mirror);
    mirror.begin_term(Term(2));
    assert!(mirror.is_complete(Term(3)));
    mirror.begin_term(Term(4));
    assert!(mirror.state().is_empty());
    let late = log.batch_for(&FollowRequest::default()).unwrap();
    assert_eq!(mirror.accept(&late), Err(BatchRejected::WrongTerm(Term(3))));
}
