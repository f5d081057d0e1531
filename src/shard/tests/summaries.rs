//! Contents of summaries and their division into several messages.

use super::*;

#[test]
fn an_oversized_summary_is_split_into_several_messages() {
    let mut controller = controller_with_owner(0);
    let timing = controller.settings.timing();
    for n in 0..40 {
        let mut machine = Machine::new(&heartbeat(1, 1, 3, None), MonotonicTime(0));
        machine.changed_in_summary = 1;
        controller.shard.machines.insert(MachineId::new(&format!("n-{n:02}")), machine);
    }
    let mut summarized = BTreeSet::new();
    let mut message_count = 0;
    loop {
        let message = controller.shard.summary(MonotonicTime(1_000), &timing, 2_048);
        assert!(crate::peer::encode(&message).len() <= 2_048);
        assert_eq!(message.base_seq == 0, message_count == 0);
        summarized.extend(message.machines.into_iter().map(|m| m.id));
        message_count += 1;
        controller.shard.term_state.acknowledged_summary =
            Some(SentSummary { seq: message.seq, at: MonotonicTime(1_000) });
        if !message.has_more {
            break;
        }
    }
    assert_eq!((summarized.len(), message_count), (40, 4));
}

#[test]
fn only_foreign_machines_that_show_the_token_are_in_summaries() {
    // A stale heartbeat must not bring a machine back or move it to another owner.
    let mut controller = controller_with_owner(1);
    for (ms, sequence, token, expected) in
        [(0, 1, 2, 0), (1_000, 2, 2, 0), (1_400, 3, 3, 1), (1_450, 2, 2, 1)]
    {
        send_heartbeat(&mut controller, ms, &heartbeat(1, sequence, token, None));
        assert_eq!(
            controller.summary(MonotonicTime(ms), 900_000).foreign_machines.len(),
            expected,
            "{ms}"
        );
    }
}
