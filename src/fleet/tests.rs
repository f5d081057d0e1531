//! Tables of cases for `fleet`.

use super::NewTermReason;
use super::lease_expiry::are_few;

#[test]
fn only_a_large_fleet_gives_up_machines_that_merely_do_not_respond() {
    // Seen at a site of 30 machines: a partition made the leader scale in large ones that ran long tasks.
    let cases = [(1, 30, false), (2, 49, false), (1, 50, true), (14, 700, true), (15, 700, false)];
    for (machines, up, few) in cases {
        assert_eq!(are_few(machines, up), few, "{machines} of {up}");
    }
}

#[test]
fn reasons_of_a_new_term_keep_their_texts_in_the_log() {
    use NewTermReason as Reason;
    let cases = [
        (Reason::OwnerLost, "the owner of machines is not heard"),
        (Reason::OwnerNotReached, "the store or the workers do not reach the owner of machines"),
        (Reason::MachinesOutOfReach, "machines cannot reach their owner"),
        (Reason::ControllerRestarted, "a controller restarted"),
        (Reason::ControllerWithoutShard, "a controller came back and has no shard"),
    ];
    for (reason, text) in cases {
        assert_eq!((reason.as_str(), reason.to_string().as_str()), (text, text));
    }
}
