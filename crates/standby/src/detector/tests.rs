//! When a leader is suspected, and when it must not be.

use super::*;

fn detector() -> HeartbeatDetector {
    HeartbeatDetector::new(&StandbySettings::default())
}

/// Heartbeats at these intervals from 1,000 on; returns the last one.
fn hear(detector: &mut HeartbeatDetector, intervals: impl Iterator<Item = u64>) -> MonotonicTime {
    let mut at = MonotonicTime(1_000);
    detector.heartbeat(at);
    for interval in intervals {
        at = at.plus(interval);
        detector.heartbeat(at);
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
        let mut d = detector();
        let last = hear(&mut d, intervals.into_iter());
        let after = suspected_after(&d, last);
        assert!((earliest..=latest).contains(&after), "{name}: {after}");
    }
}

#[test]
fn nobody_is_suspected_before_being_heard() {
    assert!(!detector().suspects(MonotonicTime(1_000_000)));
    assert_eq!(detector().phi(MonotonicTime(1_000_000)), 0.0);
}

#[test]
fn answers_out_of_order_count_once() {
    let mut d = detector();
    let last = hear(&mut d, std::iter::repeat_n(200, 20));
    d.heartbeat(last.less(300));
    assert_eq!(d.silence_ms(last.plus(5)), Some(5));
}

/// A standby whose own process was stopped for longer than the bound would replace a leader that is well.
#[test]
fn a_pause_of_this_process_is_no_silence_of_the_leader() {
    let mut d = detector();
    let last = hear(&mut d, std::iter::repeat_n(200, 20));
    d.tick(last.plus(100));
    let thawed = last.plus(30_000);
    d.tick(thawed);
    assert!(!d.suspects(thawed.plus(800)));
    (0..20).for_each(|i| d.tick(thawed.plus(i * 100)));
    assert!(d.suspects(thawed.plus(2_000)), "the leader may be gone as well");
}

#[test]
fn a_new_leader_gets_a_whole_silence() {
    let mut d = detector();
    let last = hear(&mut d, std::iter::repeat_n(200, 20));
    d.restart_watch(last.plus(5_000));
    assert!(!d.suspects(last.plus(5_800)));
    assert!(d.suspects(last.plus(7_000)));
}
