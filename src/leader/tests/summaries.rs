//! Summaries of shards: whole, in pieces, incremental, and the first ones of a term.

use super::*;

#[test]
fn a_full_summary_replaces_state_once_all_its_pieces_arrived() {
    // Seen on a simulated day with 1,800 machines: the first piece replaced what was known, a task
    // that an earlier term had started was on no machine for a moment, and started again.
    let mut controller = leader();
    let all = |tasks| vec![view("n-1", true, tasks), view("n-2", true, &[])];
    run_epoch(&mut controller, 1_100, 0, all(&[]));
    assert!(!run_epoch(&mut controller, 1_200, 1, all(&[0])), "it runs on n-1");
    // (number, base, whether more comes, machines)
    let pieces = [
        (1_300, 0, true, vec![view("n-2", true, &[])]),
        (1_400, 0, true, vec![view("n-2", true, &[])]),
        (1_500, 1_400, true, vec![]),
        (1_600, 1_500, false, vec![view("n-1", true, &[0])]),
    ];
    for (seq, base_seq, has_more, machines) in pieces {
        let piece = Summary {
            node: NodeId(0),
            seq,
            base_seq,
            has_more,
            machines,
            applied_plan: PlanSeq(1),
            ..summary(1, 0, INCARNATION)
        };
        controller.receive_summary(MonotonicTime(seq), piece);
        let (epoch, _) = controller.epoch(at(seq)).unwrap();
        assert!(epoch.is_empty(), "{seq}");
        let leader = controller.leader.as_ref().unwrap();
        assert_eq!(leader.fleet.on_machines().len(), 1, "{seq}");
    }
}

#[test]
fn silence_before_the_term_counts_once_every_controller_sent_a_summary() {
    // Seen on a bench day: machines that had been dead for a lease counted as possibly alive for
    // another one in every new term. (what, milliseconds for which a node has been up, when it
    // last answered n-1, whether all is proven over right after the term began)
    let cases = [
        ("nobody answered it within memory", 200_000, None, true),
        ("it was answered longer than a lease ago", 200_000, Some(11_000), true),
        ("its lease may still run", 200_000, Some(9_000), false),
        ("a predecessor may have answered it", 9_000, None, false),
        ("no predecessor's answer is that young", 12_000, None, true),
    ];
    for (what, uptime_ms, answered, over) in cases {
        let mut controller = leader();
        let now = MonotonicTime(300_000);
        controller.rights.confirm_renewal(now);
        controller.rights.confirm_sync(now);
        for node in 0..3 {
            let age = answered.filter(|_| node == 1).map(|ms| (MachineId::new("n-1"), ms));
            let summary = Summary {
                node: NodeId(node),
                echoed_clock_ms: now.0,
                uptime_ms: if node == 2 { uptime_ms } else { 200_000 },
                answered: age.into_iter().collect(),
                machines: vec![],
                ..summary(1, 0, INCARNATION)
            };
            controller.receive_summary(now, summary);
            let leader = controller.leader.as_ref().unwrap();
            assert_eq!(leader.fleet.unreconciled.len(), 2, "{what}: not before all sent a summary");
        }
        controller.epoch(at(now.0)).unwrap();
        let unreconciled = &controller.leader.as_ref().unwrap().fleet.unreconciled;
        assert_eq!(unreconciled.contains(&MachineId::new("n-1")), !over, "{what}");
    }
}

#[test]
fn incremental_summaries_need_their_base_or_a_full_one_is_requested() {
    // A missed summary may have held a task on a machine, or a response to a worker.
    let other = Incarnation(8);
    let mut controller = leader();
    let mut receive = |s| controller.receive_summary(MonotonicTime(1_000), s).0;
    assert!(
        matches!(receive(summary(4, 3, INCARNATION)), PeerResponse::SendFullSummary),
        "nothing is known yet"
    );
    assert!(!matches!(receive(summary(5, 0, INCARNATION)), PeerResponse::SendFullSummary));
    assert!(!matches!(receive(summary(6, 5, INCARNATION)), PeerResponse::SendFullSummary));
    assert!(
        matches!(receive(summary(9, 8, INCARNATION)), PeerResponse::SendFullSummary),
        "7 and 8 are missing"
    );
    let late = Summary { machines: vec![], ..summary(5, 0, INCARNATION) };
    receive(late);
    let newest_number = |controller: &Controller| {
        controller.leader.as_ref().map(|l| l.fleet.controllers[&NodeId(1)].seq)
    };
    assert_eq!(newest_number(&controller), Some(6), "a late one changes nothing");
    controller.receive_summary(MonotonicTime(1_100), summary(1, 0, other));
    let leader = controller.leader.as_ref().unwrap();
    assert!(leader.renew_term.is_some(), "a new incarnation needs a new term");
    assert_eq!(newest_number(&controller), Some(6));
}
