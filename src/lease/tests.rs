//! Tables of cases for `lease`.

use super::*;

#[test]
fn rights_count_from_when_the_confirmed_request_was_sent() {
    // (renewed, synced, now, may respond, may lead), with a keep-alive of 18 s
    let cases = [
        (None, None, 0, false, false),
        (Some(1_000), None, 1_001, false, true),
        (None, Some(1_000), 1_001, false, false),
        (Some(1_000), Some(1_000), 3_800, true, true),
        (Some(1_000), Some(1_000), 3_900, true, false),
        (Some(1_000), Some(9_000), 18_900, true, false),
        (Some(1_000), Some(9_000), 18_990, false, false),
        (Some(9_000), Some(1_000), 18_990, false, false),
    ];
    for (renewed, synced, now, answer, leader) in cases {
        let mut r = LeaseRights::new(18_000);
        r.lease = Some(StoreLease(1));
        if let Some(t) = renewed {
            r.confirm_renewal(MonotonicTime(t));
            r.confirm_renewal(MonotonicTime(t / 2));
        }
        if let Some(t) = synced {
            r.confirm_sync(MonotonicTime(t));
        }
        let got = (r.may_answer(MonotonicTime(now)), r.may_lead(MonotonicTime(now)));
        assert_eq!(got, (answer, leader), "{renewed:?} {synced:?} {now}");
        r.lose_lease();
        assert!(!r.may_lead(MonotonicTime(now)));
    }
}

#[test]
fn the_rights_of_an_absent_controller_are_bounded() {
    // A controller renews at 0 at the latest, its key vanishes at 3 s at the earliest.
    let bound = last_possible_answer(MonotonicTime(3_000), 18_000);
    let mut r = LeaseRights::new(18_000);
    r.confirm_renewal(MonotonicTime(0));
    r.confirm_sync(MonotonicTime(2_000));
    assert!(!r.may_answer(bound));
}

#[test]
fn a_start_needs_a_fresher_confirmation_than_keeping_alive() {
    // An owner that the store refuses started what others had confirmed as cancelled, until its right
    // to respond ended. (keep-alive, renewed, synced, now, may start, may respond)
    let cases = [
        (18_000, 1_000, 1_000, 4_400, true, true),
        (18_000, 1_000, 1_000, 4_500, false, true),
        (18_000, 9_000, 1_000, 9_100, false, true),
        // Being current is what counts; a lease that is not renewed costs the right to respond.
        (18_000, 1_000, 9_000, 12_000, true, true),
        (18_000, 1_000, 20_000, 20_100, false, false),
        (2_000, 1_000, 1_000, 2_900, true, true),
        (2_000, 1_000, 1_000, 3_000, false, false),
    ];
    for (keep_alive, renewed, synced, now, start, answer) in cases {
        let mut r = LeaseRights::new(keep_alive);
        r.confirm_renewal(MonotonicTime(renewed));
        r.confirm_sync(MonotonicTime(synced));
        let got = (r.may_start(MonotonicTime(now)), r.may_answer(MonotonicTime(now)));
        assert_eq!(got, (start, answer), "{keep_alive} {renewed} {synced} {now}");
    }
}
