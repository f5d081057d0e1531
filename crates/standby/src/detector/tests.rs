//! When a leader is suspected, and when it must not be.

use super::*;

fn new_detector() -> HeartbeatDetector {
    HeartbeatDetector::new(&StandbySettings::default())
}

/// Heartbeats at these intervals from 1,000 on; returns the last one.
fn record_heartbeats(
    detector: &mut HeartbeatDetector,
    intervals: impl Iterator<Item = u64>,
) -> MonotonicTime {
    let mut at = MonotonicTime(1_000);
    detector.record_heartbeat(at);
    for interval in intervals {
        at = at.plus(interval);
        detector.record_heartbeat(at);
    }
    at
}

/// The silence after which the leader is suspected.
fn suspected_after(detector: &HeartbeatDetector, last: MonotonicTime) -> u64 {
    (0..10_000).step_by(10).find(|ms| detector.suspects(last.plus(*ms))).unwrap_or(u64::MAX)
}

#[test]
fn a_regular_leader_is_suspected_soon_and_an_irregular_one_later_but_always() {
    // (intervals, earliest, latest suspicion)
    let cases: [(&str, Vec<u64>, u64, u64); 4] = [
        ("regular", vec![200; 50], 900, 900),
        (
            "two in a row are late",
            [vec![200; 30], vec![500, 700], vec![200; 30]].concat(),
            900,
            1_100,
        ),
        ("loaded", (0..60).map(|i| 150 + i % 7 * 130).collect(), 1_200, 2_000),
        ("hardly known", vec![200; 3], 2_000, 2_000),
    ];
    for (name, intervals, earliest, latest) in cases {
        let mut detector = new_detector();
        let last = record_heartbeats(&mut detector, intervals.into_iter());
        let after = suspected_after(&detector, last);
        assert!((earliest..=latest).contains(&after), "{name}: {after}");
    }
}

#[test]
fn a_leader_is_not_suspected_before_its_first_heartbeat() {
    assert!(!new_detector().suspects(MonotonicTime(1_000_000)));
    assert_eq!(new_detector().phi(MonotonicTime(1_000_000)), 0.0);
}

#[test]
fn responses_out_of_order_count_once() {
    let mut detector = new_detector();
    let last = record_heartbeats(&mut detector, std::iter::repeat_n(200, 20));
    detector.record_heartbeat(last.saturating_sub(300));
    assert_eq!(detector.silence_ms(last.plus(5)), Some(5));
}

/// Otherwise a standby whose own process was stopped for longer than the bound would replace a healthy leader.
#[test]
fn a_pause_of_this_process_is_no_silence_of_the_leader() {
    let mut detector = new_detector();
    let last = record_heartbeats(&mut detector, std::iter::repeat_n(200, 20));
    detector.tick(last.plus(100));
    let resumed = last.plus(30_000);
    detector.tick(resumed);
    assert!(!detector.suspects(resumed.plus(800)));
    (0..20).for_each(|i| detector.tick(resumed.plus(i * 100)));
    assert!(detector.suspects(resumed.plus(2_000)), "the leader may be down as well");
}

#[test]
fn a_new_leader_is_not_suspected_for_the_old_ones_silence() {
    let mut detector = new_detector();
    let last = record_heartbeats(&mut detector, std::iter::repeat_n(200, 20));
    detector.restart_watch(last.plus(5_000));
    assert!(!detector.suspects(last.plus(5_800)));
    assert!(detector.suspects(last.plus(7_000)));
}
