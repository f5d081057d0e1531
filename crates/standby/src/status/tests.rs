//! Tests of the status for operators.

use willowshore_model::{MonotonicTime, Term};

use super::*;
use crate::failover::{FailoverCause, FailoverTimeline};

#[test]
fn a_failover_is_reported_by_the_durations_of_its_phases() {
    let timeline = FailoverTimeline {
        suspected: MonotonicTime(1_000),
        fencing: MonotonicTime(1_030),
        fenced: MonotonicTime(1_050),
        caught_up: MonotonicTime(1_120),
        verified: MonotonicTime(1_121),
    };
    let status =
        FailoverStatus::from(Failover { term: Term(8), cause: FailoverCause::Suspicion, timeline });
    let durations =
        [status.agreeing_ms, status.fencing_ms, status.catching_up_ms, status.verifying_ms];
    assert_eq!((status.term, durations), (8, [30, 20, 70, 1]));
}

#[test]
fn durations_are_summarized_by_percentile() {
    let mut durations = DurationHistogram::default();
    (1..=100).for_each(|ms| durations.record(ms));
    durations.record(u64::MAX);
    assert_eq!(durations.count(), 101);
    assert_eq!(durations.percentile(50.0), 51);
    assert!(durations.max() >= MAX_RECORDABLE_MS);
}
