//! Tests of the transitions of the state machine, and of those that must never happen.

use willowshore_model::{MonotonicTime, NodeId, Revision, Term};

use super::*;

const MIN_SILENCE_MS: u64 = 900;

fn new_machine(controllers: usize) -> FailoverStateMachine {
    let mut machine = FailoverStateMachine::new(controllers, MIN_SILENCE_MS, 300);
    assert_eq!(
        machine
            .step(MonotonicTime(0), FailoverEvent::TermRecorded { term: Term(7), is_own: false }),
        None
    );
    machine
}

fn tick(suspected: bool, rank: Option<u64>) -> FailoverEvent {
    FailoverEvent::Tick { suspected, rank }
}

fn observation(node: u8, silence_ms: Option<u64>) -> FailoverEvent {
    FailoverEvent::PeerObserved(PeerObservation { node: NodeId(node), silence_ms })
}

const PROBE_FAILED: FailoverEvent = FailoverEvent::ProbeCompleted(ProbeOutcome::NoResponse);

const SUSPECTED_TICK: FailoverEvent = FailoverEvent::Tick { suspected: true, rank: Some(0) };

/// Brings the machine to a suspicion at `at`, with the other controllers queried and the leader's probe failed.
fn suspect(machine: &mut FailoverStateMachine, at: u64) {
    assert_eq!(
        machine.step(MonotonicTime(at), SUSPECTED_TICK),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    assert_eq!(
        machine.step(MonotonicTime(at), SUSPECTED_TICK),
        Some(FailoverCommand::QueryPeers(Term(7)))
    );
    assert_eq!(machine.step(MonotonicTime(at), PROBE_FAILED), None);
}

#[test]
fn a_leader_from_which_a_majority_receives_nothing_is_fenced() {
    let mut machine = new_machine(3);
    suspect(&mut machine, 1_000);
    assert_eq!(machine.phase(), Phase::Suspecting);
    assert_eq!(
        machine.step(MonotonicTime(1_010), observation(1, Some(950))),
        Some(FailoverCommand::Fence(Term(7)))
    );
    assert_eq!(machine.phase(), Phase::Fencing);
    machine.step(
        MonotonicTime(1_030),
        FailoverEvent::FenceCompleted(FenceOutcome::Committed(Revision(50))),
    );
    assert_eq!(machine.phase(), Phase::CatchingUp);
    let term_recorded = FailoverEvent::TermRecorded { term: Term(8), is_own: true };
    assert_eq!(
        machine.step(MonotonicTime(1_060), term_recorded),
        Some(FailoverCommand::Verify(Term(8)))
    );
    machine.step(MonotonicTime(1_061), FailoverEvent::Verified);
    assert_eq!(machine.phase(), Phase::Active);
    let failover = machine.last_failover().unwrap();
    assert_eq!((failover.term, failover.cause), (Term(8), FailoverCause::Suspicion));
    assert_eq!(failover.timeline.caught_up.since(failover.timeline.suspected), 60);
}

#[test]
fn the_leader_is_fenced_only_if_a_majority_receives_nothing_from_it() {
    // (controllers, observations, whether the leader is fenced)
    let cases: [(usize, Vec<FailoverEvent>, bool); 8] = [
        (3, vec![observation(1, Some(MIN_SILENCE_MS - 1))], false),
        (3, vec![observation(1, None)], false),
        (3, vec![], false),
        (3, vec![observation(1, Some(MIN_SILENCE_MS))], true),
        (2, vec![], false),
        (5, vec![observation(1, Some(2_000))], false),
        (5, vec![observation(1, Some(2_000)), observation(1, Some(2_000))], false),
        (5, vec![observation(1, Some(2_000)), observation(2, Some(2_000))], true),
    ];
    for (controllers, observations, expect_fence) in cases {
        let mut machine = new_machine(controllers);
        suspect(&mut machine, 1_000);
        let fence = Some(FailoverCommand::Fence(Term(7)));
        let fenced =
            observations.iter().any(|event| machine.step(MonotonicTime(1_020), *event) == fence);
        assert_eq!(fenced, expect_fence, "{controllers} {observations:?}");
    }
}

#[test]
fn expired_observations_do_not_add_up_to_a_majority() {
    let mut machine = new_machine(5);
    suspect(&mut machine, 1_000);
    assert_eq!(machine.step(MonotonicTime(1_010), observation(1, Some(2_000))), None);
    assert_eq!(machine.step(MonotonicTime(1_700), observation(2, Some(2_000))), None);
    assert_eq!(
        machine.step(MonotonicTime(1_710), observation(1, Some(2_700))),
        Some(FailoverCommand::Fence(Term(7)))
    );
}

#[test]
fn each_stand_down_records_its_reason() {
    let unknown = FailoverEvent::FenceCompleted(FenceOutcome::Unknown);
    type Case = (&'static str, Vec<(u64, FailoverEvent)>, StandDownReason);
    let cases: [Case; 7] = [
        (
            "the leader responds",
            vec![(1_100, tick(false, Some(0)))],
            StandDownReason::LeaderResponds,
        ),
        (
            "another controller receives from the leader",
            vec![(1_950, observation(2, Some(10)))],
            StandDownReason::PeerReceivesFromLeader(NodeId(2)),
        ),
        ("no controller responds", vec![(3_500, SUSPECTED_TICK)], StandDownReason::NoMajority),
        (
            "another controller took the term",
            vec![(1_100, FailoverEvent::TermRecorded { term: Term(8), is_own: false })],
            StandDownReason::TermTakenByPeer(Term(8)),
        ),
        (
            "conditions failed",
            vec![
                (1_100, observation(1, Some(MIN_SILENCE_MS))),
                (1_200, FailoverEvent::FenceCompleted(FenceOutcome::ConditionsFailed)),
            ],
            StandDownReason::ConditionsFailed,
        ),
        (
            "outcome unknown",
            vec![(1_100, observation(1, Some(MIN_SILENCE_MS))), (1_200, unknown)],
            StandDownReason::StoreUnavailable,
        ),
        (
            "the replica does not show the term",
            vec![
                (1_100, observation(1, Some(MIN_SILENCE_MS))),
                (1_200, FailoverEvent::FenceCompleted(FenceOutcome::Committed(Revision(9)))),
                (11_200, SUSPECTED_TICK),
            ],
            StandDownReason::StoreUnavailable,
        ),
    ];
    for (name, events, reason) in cases {
        let mut machine = new_machine(3);
        suspect(&mut machine, 1_000);
        for (at, event) in events {
            machine.step(MonotonicTime(at), event);
        }
        assert_eq!(
            (machine.phase(), machine.last_stand_down()),
            (Phase::Following, Some(reason)),
            "{name}"
        );
    }
}

/// The fencing transaction may have been committed although its response was lost. The replica then shows the term.
#[test]
fn a_term_with_a_lost_commit_response_is_led_once_the_replica_shows_it() {
    let mut machine = new_machine(3);
    suspect(&mut machine, 1_000);
    machine.step(MonotonicTime(1_010), observation(1, Some(MIN_SILENCE_MS)));
    machine.step(MonotonicTime(2_600), FailoverEvent::FenceCompleted(FenceOutcome::Unknown));
    let term_recorded = FailoverEvent::TermRecorded { term: Term(8), is_own: true };
    assert_eq!(
        machine.step(MonotonicTime(2_700), term_recorded),
        Some(FailoverCommand::Verify(Term(8)))
    );
}

#[test]
fn the_second_rank_queries_peers_later_and_a_controller_without_a_rank_never_does() {
    let mut machine = new_machine(3);
    let probe = Some(FailoverCommand::ProbeLeader(Term(7)));
    assert_eq!(machine.step(MonotonicTime(1_000), tick(true, Some(1))), probe);
    assert_eq!(machine.step(MonotonicTime(1_290), tick(true, Some(1))), None);
    let query = Some(FailoverCommand::QueryPeers(Term(7)));
    assert_eq!(machine.step(MonotonicTime(1_300), tick(true, Some(1))), query);
    assert_eq!(
        machine.step(MonotonicTime(1_400), tick(true, Some(1))),
        None,
        "the query period is not over"
    );
    let mut machine = new_machine(3);
    assert_eq!(machine.step(MonotonicTime(1_000), tick(true, None)), None);
    assert_eq!(machine.phase(), Phase::Following);
}

#[test]
fn a_leader_stays_active_in_its_own_next_term_and_follows_once_replaced() {
    let mut machine = new_machine(3);
    assert_eq!(
        machine.step(MonotonicTime(1_000), FailoverEvent::LeaseExpired),
        Some(FailoverCommand::Fence(Term(7)))
    );
    machine.step(MonotonicTime(1_020), FailoverEvent::TermRecorded { term: Term(8), is_own: true });
    machine.step(MonotonicTime(1_021), FailoverEvent::Verified);
    assert_eq!(
        machine.last_failover().map(|failover| failover.cause),
        Some(FailoverCause::LeaseExpired)
    );
    assert_eq!(
        machine.step(
            MonotonicTime(1_500),
            FailoverEvent::TermRecorded { term: Term(9), is_own: true }
        ),
        None
    );
    assert_eq!(machine.phase(), Phase::Active);
    machine
        .step(MonotonicTime(2_000), FailoverEvent::TermRecorded { term: Term(10), is_own: false });
    assert_eq!(machine.last_stand_down(), Some(StandDownReason::Replaced(Term(10))));
}

/// After a crash of all controllers, the new leader is busy with the reports of all machines and may respond to
/// summaries too late. Replacing it would only make its successor do the same work again.
#[test]
fn a_slow_leader_that_responds_to_the_probe_is_not_replaced() {
    let responded = FailoverEvent::ProbeCompleted(ProbeOutcome::Responded);
    let mut machine = new_machine(3);
    assert_eq!(
        machine.step(MonotonicTime(1_000), SUSPECTED_TICK),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    assert_eq!(
        machine.step(MonotonicTime(1_010), observation(1, Some(MIN_SILENCE_MS))),
        None,
        "the probe is still in flight"
    );
    assert_eq!(machine.step(MonotonicTime(1_500), responded), None);
    assert_eq!(
        (machine.phase(), machine.last_stand_down()),
        (Phase::Following, Some(StandDownReason::LeaderResponds))
    );
    assert_eq!(
        machine.step(MonotonicTime(1_600), SUSPECTED_TICK),
        None,
        "the suspicion back-off is not over"
    );
    assert_eq!(
        machine.step(MonotonicTime(2_600), SUSPECTED_TICK),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    // The probe's failure and the observations of the other controllers may come in any order.
    assert_eq!(machine.step(MonotonicTime(2_620), observation(1, Some(MIN_SILENCE_MS))), None);
    assert_eq!(
        machine.step(MonotonicTime(2_900), PROBE_FAILED),
        Some(FailoverCommand::Fence(Term(7)))
    );
}

/// The fencing transaction is sent only once. A second one while the first is in flight, or after the term was taken,
/// would use up another term.
#[test]
fn the_leader_is_not_fenced_twice() {
    let mut machine = new_machine(3);
    suspect(&mut machine, 1_000);
    machine.step(MonotonicTime(1_010), observation(1, Some(MIN_SILENCE_MS)));
    let events = [SUSPECTED_TICK, observation(1, Some(5_000)), FailoverEvent::LeaseExpired];
    for event in events {
        assert_eq!(machine.step(MonotonicTime(1_300), event), None, "{event:?}");
    }
    machine.step(
        MonotonicTime(1_400),
        FailoverEvent::FenceCompleted(FenceOutcome::Committed(Revision(9))),
    );
    for event in events {
        assert_eq!(machine.step(MonotonicTime(1_500), event), None, "{event:?}");
    }
}
