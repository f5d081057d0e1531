//! Tests of the rights that follow from lease renewals and replica synchronization.

use super::*;

#[test]
fn rights_are_measured_from_the_time_the_confirmed_request_was_sent() {
    // (renewal sent, sync sent, now, all in milliseconds, may answer, may lead), with a keep-alive
    // of 18 s
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
    for (renewal_sent, sync_sent, now, answer, leader) in cases {
        let mut rights = LeaseRights::new(18_000);
        rights.lease = Some(StoreLease(1));
        if let Some(t) = renewal_sent {
            rights.confirm_renewal(MonotonicTime(t));
            rights.confirm_renewal(MonotonicTime(t / 2));
        }
        if let Some(t) = sync_sent {
            rights.confirm_sync(MonotonicTime(t));
        }
        let got = (rights.may_answer(MonotonicTime(now)), rights.may_lead(MonotonicTime(now)));
        assert_eq!(got, (answer, leader), "{renewal_sent:?} {sync_sent:?} {now}");
        rights.lose_lease();
        assert!(!rights.may_lead(MonotonicTime(now)));
    }
}

#[test]
fn the_rights_of_an_absent_controller_are_bounded() {
    // The controller renews at 0 at the latest, because its key vanishes at 3 s at the earliest.
    let bound = last_possible_answer(MonotonicTime(3_000), 18_000);
    let mut rights = LeaseRights::new(18_000);
    rights.confirm_renewal(MonotonicTime(0));
    rights.confirm_sync(MonotonicTime(2_000));
    assert!(!rights.may_answer(bound));
}

#[test]
fn starting_tasks_requires_a_more_recent_proof_than_answering_heartbeats() {
    // Guards against an owner refused by the store that starts tasks whose cancellation others had
    // confirmed, until its right to answer ends. (keep-alive, renewal sent, sync sent, now, all in
    // milliseconds, may start, may answer)
    let cases = [
        (18_000, 3_000, 1_000, 4_400, true, true),
        (18_000, 3_000, 1_000, 4_500, false, true),
        (18_000, 9_000, 1_000, 9_100, false, true),
        // A start also depends on a recent renewal: the member key may be absent otherwise.
        (18_000, 1_000, 3_000, 3_990, true, true),
        (18_000, 1_000, 3_000, 4_000, false, true),
        (18_000, 1_000, 9_000, 12_000, false, true),
        (18_000, 1_000, 20_000, 20_100, false, false),
        (2_000, 1_000, 1_000, 2_900, true, true),
        (2_000, 1_000, 1_000, 3_000, false, false),
    ];
    for (keep_alive, renewal_sent, sync_sent, now, start, answer) in cases {
        let mut rights = LeaseRights::new(keep_alive);
        rights.register(StoreLease(1), MonotonicTime(0), MonotonicTime(0));
        rights.confirm_renewal(MonotonicTime(renewal_sent));
        rights.confirm_sync(MonotonicTime(sync_sent));
        let got = (rights.may_start(MonotonicTime(now)), rights.may_answer(MonotonicTime(now)));
        assert_eq!(got, (start, answer), "{keep_alive} {renewal_sent} {sync_sent} {now}");
    }
}

#[test]
fn a_controller_whose_member_key_is_absent_starts_no_tasks() {
    // Guards against a controller that starts tasks of a job whose cancellation another one has confirmed without its
    // acknowledgement, because its member key was absent.
    let mut rights = LeaseRights::new(18_000);
    rights.confirm_sync(MonotonicTime(500));
    assert!(!rights.may_start(MonotonicTime(600)), "never registered");
    rights.register(StoreLease(1), MonotonicTime(900), MonotonicTime(1_000));
    rights.confirm_sync(MonotonicTime(1_000));
    assert!(
        !rights.may_start(MonotonicTime(1_100)),
        "the proof may be older than the registration"
    );
    rights.confirm_sync(MonotonicTime(1_001));
    assert!(rights.may_start(MonotonicTime(1_100)));
    rights.confirm_sync(MonotonicTime(3_500));
    assert!(rights.may_start(MonotonicTime(3_890)));
    assert!(!rights.may_start(MonotonicTime(3_900)), "the key may be absent 3 s after the renewal");
    rights.confirm_renewal(MonotonicTime(3_950));
    assert!(rights.may_start(MonotonicTime(4_000)));
    rights.lose_lease();
    assert!(!rights.may_start(MonotonicTime(4_010)), "the lease was lost");
    rights.register(StoreLease(2), MonotonicTime(4_100), MonotonicTime(4_150));
    assert!(!rights.may_start(MonotonicTime(4_200)), "no proof since the registration");
    rights.confirm_sync(MonotonicTime(4_300));
    assert!(rights.may_start(MonotonicTime(4_310)));
}
