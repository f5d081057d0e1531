//! Summaries of shards: full, incremental, in several messages, and the first ones of a term.

use super::*;

#[test]
fn a_full_summary_replaces_state_once_all_its_parts_arrived() {
    // Guards against a fault from a simulated day with 1,800 machines: the first part replaced the
    // whole state. A task that an earlier term had started was on no machine until the other parts
    // arrived, and was started again.
    let mut controller = leader();
    let all = |tasks| vec![view("n-1", true, tasks), view("n-2", true, &[])];
    run_epoch(&mut controller, 1_100, 0, all(&[]));
    assert!(!run_epoch(&mut controller, 1_200, 1, all(&[0])), "it runs on n-1");
    // (number, base, whether more parts follow, machines)
    let parts = [
        (1_300, 0, true, vec![view("n-2", true, &[])]),
        (1_400, 0, true, vec![view("n-2", true, &[])]),
        (1_500, 1_400, true, vec![]),
        (1_600, 1_500, false, vec![view("n-1", true, &[0])]),
    ];
    for (seq, base_seq, has_more, machines) in parts {
        let part = Summary {
            node: NodeId(0),
            seq,
            base_seq,
            has_more,
            machines,
            applied_plan: PlanSeq(1),
            ..summary(1, 0, INCARNATION)
        };
        controller.receive_summary(MonotonicTime(seq), part);
        let (epoch, _) = controller.epoch(at(seq)).unwrap();
        assert!(epoch.is_empty(), "{seq}");
        let leader = controller.leader.as_ref().unwrap();
        assert_eq!(leader.fleet.on_machines().len(), 1, "{seq}");
    }
}

#[test]
fn silence_before_the_term_counts_once_every_controller_sent_a_summary() {
    // Guards against a fault from a benchmark run: in every new term, machines that had been silent
    // for longer than a lease counted as possibly alive for another lease.
    // (case, uptime of node 2 in milliseconds, milliseconds since node 1 last answered n-1, whether
    // the lease of n-1 is proven to have expired right after the term began)
    let cases = [
        ("no node remembers an answer", 200_000, None, true),
        ("the last answer is older than a lease", 200_000, Some(11_000), true),
        ("the lease may still run", 200_000, Some(9_000), false),
        ("node 2 may have answered before it was restarted", 9_000, None, false),
        ("node 2 has been up for longer than a lease", 12_000, None, true),
    ];
    for (case, uptime_ms, answered, lease_expired) in cases {
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
            assert_eq!(
                leader.fleet.unreconciled.len(),
                2,
                "{case}: proven before every node sent a summary"
            );
        }
        controller.epoch(at(now.0)).unwrap();
        let unreconciled = &controller.leader.as_ref().unwrap().fleet.unreconciled;
        assert_eq!(unreconciled.contains(&MachineId::new("n-1")), !lease_expired, "{case}");
    }
}

#[test]
fn incremental_summaries_need_their_base_or_a_full_one_is_requested() {
    // A summary that was missed may have reported a task on a machine, or an answer to a worker.
    let other = Incarnation(8);
    let mut controller = leader();
    let mut receive = |s| controller.receive_summary(MonotonicTime(1_000), s).0;
    assert!(
        matches!(receive(summary(4, 3, INCARNATION)), PeerResponse::SendFullSummary),
        "the leader has no summary yet"
    );
    assert!(!matches!(receive(summary(5, 0, INCARNATION)), PeerResponse::SendFullSummary));
    assert!(!matches!(receive(summary(6, 5, INCARNATION)), PeerResponse::SendFullSummary));
    assert!(
        matches!(receive(summary(9, 8, INCARNATION)), PeerResponse::SendFullSummary),
        "summaries 7 and 8 are missing"
    );
    let late = Summary { machines: vec![], ..summary(5, 0, INCARNATION) };
    receive(late);
    let last_seq = |controller: &Controller| {
        controller.leader.as_ref().map(|l| l.fleet.controllers[&NodeId(1)].seq)
    };
    assert_eq!(last_seq(&controller), Some(6), "a late summary changes nothing");
    controller.receive_summary(MonotonicTime(1_100), summary(1, 0, other));
    let leader = controller.leader.as_ref().unwrap();
    assert!(leader.renew_term.is_some(), "a restarted controller needs a new term");
    assert_eq!(last_seq(&controller), Some(6));
}
