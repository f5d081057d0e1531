//! Tests of when the failure detector suspects a leader and when it does not.

use super::*;

fn new_detector() -> HeartbeatDetector {
    HeartbeatDetector::new(&StandbySettings::default())
}

/// Records a heartbeat at 1,000 ms and further ones at these intervals; returns the time of the last one.
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

/// The silence in milliseconds after which the leader is suspected.
fn silence_until_suspected(detector: &HeartbeatDetector, last: MonotonicTime) -> u64 {
    (0..10_000).step_by(10).find(|ms| detector.suspects(last.plus(*ms))).unwrap_or(u64::MAX)
}

#[test]
fn irregular_heartbeats_delay_the_suspicion_within_the_bounds() {
    // (name, intervals, shortest and longest accepted silence until the suspicion), all times in ms
    let cases: [(&str, Vec<u64>, u64, u64); 4] = [
        ("regular", vec![200; 50], 900, 900),
        (
            "two late heartbeats",
            [vec![200; 30], vec![500, 700], vec![200; 30]].concat(),
            900,
            1_100,
        ),
        ("loaded site", (0..60).map(|i| 150 + i % 7 * 130).collect(), 1_200, 2_000),
        ("too few samples", vec![200; 3], 2_000, 2_000),
    ];
    for (name, intervals, earliest, latest) in cases {
        let mut detector = new_detector();
        let last = record_heartbeats(&mut detector, intervals.into_iter());
        let silence_ms = silence_until_suspected(&detector, last);
        assert!((earliest..=latest).contains(&silence_ms), "{name}: {silence_ms}");
    }
}

#[test]
fn a_leader_is_not_suspected_before_its_first_heartbeat() {
    assert!(!new_detector().suspects(MonotonicTime(1_000_000)));
    assert_eq!(new_detector().phi(MonotonicTime(1_000_000)), 0.0);
}

#[test]
fn late_responses_to_earlier_requests_are_ignored() {
    let mut detector = new_detector();
    let last = record_heartbeats(&mut detector, std::iter::repeat_n(200, 20));
    detector.record_heartbeat(last.saturating_sub(300));
    assert_eq!(detector.silence_ms(last.plus(5)), Some(5));
}

/// A standby whose own process was paused for longer than the upper bound must not suspect a healthy leader.
#[test]
fn a_pause_of_this_process_restarts_the_silence() {
    let mut detector = new_detector();
    let last = record_heartbeats(&mut detector, std::iter::repeat_n(200, 20));
    detector.tick(last.plus(100));
    let resumed = last.plus(30_000);
    detector.tick(resumed);
    assert!(!detector.suspects(resumed.plus(800)));
    (0..20).for_each(|i| detector.tick(resumed.plus(i * 100)));
    assert!(detector.suspects(resumed.plus(2_000)), "the leader may be down, too");
}

#[test]
fn a_new_leader_is_not_suspected_for_the_silence_of_its_predecessor() {
    let mut detector = new_detector();
    let last = record_heartbeats(&mut detector, std::iter::repeat_n(200, 20));
    detector.restart_watch(last.plus(5_000));
    assert!(!detector.suspects(last.plus(5_800)));
    assert!(detector.suspects(last.plus(7_000)));
}
