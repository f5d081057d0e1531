//! Tests of the scale-in threshold and of the reasons for a new term.

use super::NewTermReason;
use super::lease_expiry::is_small_share;

#[test]
fn only_large_fleets_return_a_few_silent_machines_early() {
    // Guards against scale-in of large machines with long tasks during a network partition, as seen
    // at a site of 30 machines. (silent machines, machines up, whether few)
    let cases = [(1, 30, false), (2, 49, false), (1, 50, true), (14, 700, true), (15, 700, false)];
    for (machines, up, few) in cases {
        assert_eq!(is_small_share(machines, up), few, "{machines} of {up}");
    }
}

#[test]
fn new_term_reasons_have_stable_log_texts() {
    use NewTermReason as Reason;
    let cases = [
        (Reason::OwnerLost, "the owner of machines is not heard"),
        (Reason::OwnerIsolated, "the store or the workers do not reach the owner of machines"),
        (Reason::MachinesCannotReachOwner, "machines cannot reach their owner"),
        (Reason::ControllerRestarted, "a controller restarted"),
        (Reason::ControllerWithoutShard, "a controller came back and has no shard"),
    ];
    for (reason, text) in cases {
        assert_eq!((reason.as_str(), reason.to_string().as_str()), (text, text));
    }
}
