//! Tests of the log line with the measured latencies.

use super::*;

#[test]
fn a_log_line_covers_the_time_since_the_previous_line() {
    let metrics = LatencyMetrics::default();
    assert_eq!(metrics.take_line(), "");
    metrics.record(Operation::Epoch, 100);
    metrics.record(Operation::Epoch, 300);
    metrics.record(Operation::Watch, u64::MAX);
    let line = metrics.take_line();
    assert!(line.starts_with("epoch 2 x 200 us (p99 30"), "{line}");
    assert!(line.contains("watch 1 x"), "{line}");
    assert_eq!(metrics.take_line(), "");
}

#[test]
fn every_operation_has_its_own_index() {
    for (index, operation) in Operation::ALL.iter().enumerate() {
        assert_eq!(*operation as usize, index, "{operation:?}");
    }
    let names: Vec<&str> = Operation::ALL.iter().map(|operation| operation.name()).collect();
    assert_eq!(names, ["report", "epoch", "publish", "summary", "taken", "plan", "watch"]);
}
