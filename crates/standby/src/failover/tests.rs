//! Transitions of the state machine, and those that must never happen.

use willowshore_model::{MonotonicTime, NodeId, Revision, Term};

use super::*;

const MIN_SILENCE_MS: u64 = 900;

fn machine_of(controllers: usize) -> FailoverMachine {
    let mut machine = FailoverMachine::new(controllers, MIN_SILENCE_MS, 300);
    assert_eq!(
        machine.step(MonotonicTime(0), FailoverEvent::ReplicaShows { term: Term(7), mine: false }),
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

const SILENT: FailoverEvent = FailoverEvent::ProbeCompleted(ProbeOutcome::Silent);

const SUSPECTED: FailoverEvent = FailoverEvent::Tick { suspected: true, rank: Some(0) };

/// The leader is suspected, and its probe gets no response.
fn suspect(machine: &mut FailoverMachine, at: u64) {
    assert_eq!(
        machine.step(MonotonicTime(at), SUSPECTED),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    assert_eq!(
        machine.step(MonotonicTime(at), SUSPECTED),
        Some(FailoverCommand::QueryPeers(Term(7)))
    );
    assert_eq!(machine.step(MonotonicTime(at), SILENT), None);
}

#[test]
fn a_majority_that_does_not_hear_the_leader_fences_it() {
    let mut machine = machine_of(3);
    suspect(&mut machine, 1_000);
    assert_eq!(machine.phase(), Phase::Suspecting);
    assert_eq!(
        machine.step(MonotonicTime(1_010), observation(1, Some(950))),
        Some(FailoverCommand::Fence(Term(7)))
    );
    assert_eq!(machine.phase(), Phase::Fencing);
    machine.step(
        MonotonicTime(1_030),
        FailoverEvent::FenceCompleted(FenceOutcome::Done(Revision(50))),
    );
    assert_eq!(machine.phase(), Phase::CatchingUp);
    let shows = FailoverEvent::ReplicaShows { term: Term(8), mine: true };
    assert_eq!(machine.step(MonotonicTime(1_060), shows), Some(FailoverCommand::Verify(Term(8))));
    machine.step(MonotonicTime(1_061), FailoverEvent::Verified);
    assert_eq!(machine.phase(), Phase::Active);
    let failover = machine.last_failover().unwrap();
    assert_eq!((failover.term, failover.cause), (Term(8), FailoverCause::Suspicion));
    assert_eq!(failover.timeline.caught_up.since(failover.timeline.suspected), 60);
}

#[test]
fn the_leader_stays_unless_a_majority_does_not_hear_it() {
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
    for (controllers, observations, fenced) in cases {
        let mut machine = machine_of(controllers);
        suspect(&mut machine, 1_000);
        let fence = Some(FailoverCommand::Fence(Term(7)));
        let found =
            observations.iter().any(|event| machine.step(MonotonicTime(1_020), *event) == fence);
        assert_eq!(found, fenced, "{controllers} {observations:?}");
    }
}

#[test]
fn expired_observations_do_not_add_up_to_a_majority() {
    let mut machine = machine_of(5);
    suspect(&mut machine, 1_000);
    assert_eq!(machine.step(MonotonicTime(1_010), observation(1, Some(2_000))), None);
    assert_eq!(machine.step(MonotonicTime(1_700), observation(2, Some(2_000))), None);
    assert_eq!(
        machine.step(MonotonicTime(1_710), observation(1, Some(2_700))),
        Some(FailoverCommand::Fence(Term(7)))
    );
}

#[test]
fn each_stand_down_has_its_reason() {
    let unknown = FailoverEvent::FenceCompleted(FenceOutcome::Unknown);
    type Case = (&'static str, Vec<(u64, FailoverEvent)>, StandDownReason);
    let cases: [Case; 7] = [
        (
            "the leader responds",
            vec![(1_100, tick(false, Some(0)))],
            StandDownReason::LeaderResponds,
        ),
        (
            "heard by another",
            vec![(1_950, observation(2, Some(10)))],
            StandDownReason::HeardByOther(NodeId(2)),
        ),
        ("nobody responds", vec![(3_500, SUSPECTED)], StandDownReason::NoMajority),
        (
            "another was faster",
            vec![(1_100, FailoverEvent::ReplicaShows { term: Term(8), mine: false })],
            StandDownReason::TermTakenByOther(Term(8)),
        ),
        (
            "conflict",
            vec![
                (1_100, observation(1, Some(MIN_SILENCE_MS))),
                (1_200, FailoverEvent::FenceCompleted(FenceOutcome::Conflict)),
            ],
            StandDownReason::Conflict,
        ),
        (
            "outcome unknown",
            vec![(1_100, observation(1, Some(MIN_SILENCE_MS))), (1_200, unknown)],
            StandDownReason::StoreUnavailable,
        ),
        (
            "the replica does not follow",
            vec![
                (1_100, observation(1, Some(MIN_SILENCE_MS))),
                (1_200, FailoverEvent::FenceCompleted(FenceOutcome::Done(Revision(9)))),
                (11_200, SUSPECTED),
            ],
            StandDownReason::StoreUnavailable,
        ),
    ];
    for (name, events, reason) in cases {
        let mut machine = machine_of(3);
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

/// The transaction may be committed although its outcome is unknown: the replica shows it then.
#[test]
fn a_term_whose_commit_response_was_lost_is_led_once_the_replica_shows_it() {
    let mut machine = machine_of(3);
    suspect(&mut machine, 1_000);
    machine.step(MonotonicTime(1_010), observation(1, Some(MIN_SILENCE_MS)));
    machine.step(MonotonicTime(2_600), FailoverEvent::FenceCompleted(FenceOutcome::Unknown));
    let shows = FailoverEvent::ReplicaShows { term: Term(8), mine: true };
    assert_eq!(machine.step(MonotonicTime(2_700), shows), Some(FailoverCommand::Verify(Term(8))));
}

#[test]
fn the_second_in_rank_queries_peers_later_and_a_controller_without_rank_never_does() {
    let mut machine = machine_of(3);
    let probe = Some(FailoverCommand::ProbeLeader(Term(7)));
    assert_eq!(machine.step(MonotonicTime(1_000), tick(true, Some(1))), probe);
    assert_eq!(machine.step(MonotonicTime(1_290), tick(true, Some(1))), None);
    let query = Some(FailoverCommand::QueryPeers(Term(7)));
    assert_eq!(machine.step(MonotonicTime(1_300), tick(true, Some(1))), query);
    assert_eq!(machine.step(MonotonicTime(1_400), tick(true, Some(1))), None, "queried just now");
    let mut machine = machine_of(3);
    assert_eq!(machine.step(MonotonicTime(1_000), tick(true, None)), None);
    assert_eq!(machine.phase(), Phase::Following);
}

#[test]
fn a_leader_that_is_replaced_follows_and_its_own_next_term_changes_nothing() {
    let mut machine = machine_of(3);
    assert_eq!(
        machine.step(MonotonicTime(1_000), FailoverEvent::LeaseExpired),
        Some(FailoverCommand::Fence(Term(7)))
    );
    machine.step(MonotonicTime(1_020), FailoverEvent::ReplicaShows { term: Term(8), mine: true });
    machine.step(MonotonicTime(1_021), FailoverEvent::Verified);
    assert_eq!(
        machine.last_failover().map(|failover| failover.cause),
        Some(FailoverCause::LeaseExpired)
    );
    assert_eq!(
        machine
            .step(MonotonicTime(1_500), FailoverEvent::ReplicaShows { term: Term(9), mine: true }),
        None
    );
    assert_eq!(machine.phase(), Phase::Active);
    machine.step(MonotonicTime(2_000), FailoverEvent::ReplicaShows { term: Term(10), mine: false });
    assert_eq!(machine.last_stand_down(), Some(StandDownReason::Replaced(Term(10))));
}

/// Seen on a bench day: after all controllers had crashed, a leader that was busy with all machines did not answer
/// summaries in time, was replaced, and its successor had the same work to do again.
#[test]
fn a_slow_leader_that_responds_to_the_probe_is_not_replaced() {
    let answered = FailoverEvent::ProbeCompleted(ProbeOutcome::Answered);
    let mut machine = machine_of(3);
    assert_eq!(
        machine.step(MonotonicTime(1_000), SUSPECTED),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    assert_eq!(
        machine.step(MonotonicTime(1_010), observation(1, Some(MIN_SILENCE_MS))),
        None,
        "the probe is still under way"
    );
    assert_eq!(machine.step(MonotonicTime(1_500), answered), None);
    assert_eq!(
        (machine.phase(), machine.last_stand_down()),
        (Phase::Following, Some(StandDownReason::LeaderResponds))
    );
    assert_eq!(machine.step(MonotonicTime(1_600), SUSPECTED), None, "it gets time");
    assert_eq!(
        machine.step(MonotonicTime(2_600), SUSPECTED),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    // Once the probe failed, the observations of the others count, in whatever order both come.
    assert_eq!(machine.step(MonotonicTime(2_620), observation(1, Some(MIN_SILENCE_MS))), None);
    assert_eq!(machine.step(MonotonicTime(2_900), SILENT), Some(FailoverCommand::Fence(Term(7))));
}

/// The fencing transaction is sent once: a second one while the first is under way, or after the term was
/// taken, would cost another term.
#[test]
fn nothing_is_fenced_twice() {
    let mut machine = machine_of(3);
    suspect(&mut machine, 1_000);
    machine.step(MonotonicTime(1_010), observation(1, Some(MIN_SILENCE_MS)));
    let events = [SUSPECTED, observation(1, Some(5_000)), FailoverEvent::LeaseExpired];
    for event in events {
        assert_eq!(machine.step(MonotonicTime(1_300), event), None, "{event:?}");
    }
    machine
        .step(MonotonicTime(1_400), FailoverEvent::FenceCompleted(FenceOutcome::Done(Revision(9))));
    for event in events {
        assert_eq!(machine.step(MonotonicTime(1_500), event), None, "{event:?}");
    }
}
