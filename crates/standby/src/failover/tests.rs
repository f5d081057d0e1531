//! The ways through the state machine, and what must never happen on them.

use super::*;

const LEAST_MS: u64 = 900;

fn machine(controllers: usize) -> FailoverMachine {
    let mut m = FailoverMachine::new(controllers, LEAST_MS, 300);
    assert_eq!(
        m.step(MonotonicTime(0), FailoverEvent::ReplicaShows { term: Term(7), mine: false }),
        None
    );
    m
}

fn tick(suspected: bool, rank: Option<u64>) -> FailoverEvent {
    FailoverEvent::Tick { suspected, rank }
}

fn answer(node: u8, silence_ms: Option<u64>) -> FailoverEvent {
    FailoverEvent::PeerObserved(PeerObservation { node: NodeId(node), silence_ms })
}

const SILENT: FailoverEvent = FailoverEvent::ProbeCompleted(ProbeOutcome::Silent);

const SUSPECTED: FailoverEvent = FailoverEvent::Tick { suspected: true, rank: Some(0) };

/// The leader is suspected and does not answer either.
fn suspect(m: &mut FailoverMachine, at: u64) {
    assert_eq!(m.step(MonotonicTime(at), SUSPECTED), Some(FailoverCommand::ProbeLeader(Term(7))));
    assert_eq!(m.step(MonotonicTime(at), SUSPECTED), Some(FailoverCommand::QueryPeers(Term(7))));
    assert_eq!(m.step(MonotonicTime(at), SILENT), None);
}

#[test]
fn a_majority_that_does_not_hear_the_leader_fences_it() {
    let mut m = machine(3);
    suspect(&mut m, 1_000);
    assert_eq!(m.phase(), Phase::Suspecting);
    assert_eq!(
        m.step(MonotonicTime(1_010), answer(1, Some(950))),
        Some(FailoverCommand::Fence(Term(7)))
    );
    assert_eq!(m.phase(), Phase::Fencing);
    m.step(MonotonicTime(1_030), FailoverEvent::FenceCompleted(FenceOutcome::Done(Revision(50))));
    assert_eq!(m.phase(), Phase::CatchingUp);
    let shows = FailoverEvent::ReplicaShows { term: Term(8), mine: true };
    assert_eq!(m.step(MonotonicTime(1_060), shows), Some(FailoverCommand::Verify(Term(8))));
    m.step(MonotonicTime(1_061), FailoverEvent::Verified);
    assert_eq!(m.phase(), Phase::Active);
    let taken = m.last_failover().unwrap();
    assert_eq!((taken.term, taken.cause), (Term(8), FailoverCause::Suspicion));
    assert_eq!(taken.timeline.caught_up.since(taken.timeline.suspected), 60);
}

#[test]
fn the_leader_stays_unless_a_majority_does_not_hear_it() {
    // (controllers, answers, whether the leader is fenced)
    let cases: [(usize, Vec<FailoverEvent>, bool); 8] = [
        (3, vec![answer(1, Some(LEAST_MS - 1))], false),
        (3, vec![answer(1, None)], false),
        (3, vec![], false),
        (3, vec![answer(1, Some(LEAST_MS))], true),
        (2, vec![], false),
        (5, vec![answer(1, Some(2_000))], false),
        (5, vec![answer(1, Some(2_000)), answer(1, Some(2_000))], false),
        (5, vec![answer(1, Some(2_000)), answer(2, Some(2_000))], true),
    ];
    for (controllers, observations, fenced) in cases {
        let mut m = machine(controllers);
        suspect(&mut m, 1_000);
        let fence = Some(FailoverCommand::Fence(Term(7)));
        let found = observations.iter().any(|event| m.step(MonotonicTime(1_020), *event) == fence);
        assert_eq!(found, fenced, "{controllers} {observations:?}");
    }
}

#[test]
fn answers_from_long_ago_do_not_add_up() {
    let mut m = machine(5);
    suspect(&mut m, 1_000);
    assert_eq!(m.step(MonotonicTime(1_010), answer(1, Some(2_000))), None);
    assert_eq!(m.step(MonotonicTime(1_700), answer(2, Some(2_000))), None);
    assert_eq!(
        m.step(MonotonicTime(1_710), answer(1, Some(2_700))),
        Some(FailoverCommand::Fence(Term(7)))
    );
}

#[test]
fn every_way_back_has_its_reason() {
    let pause = FailoverEvent::FenceCompleted(FenceOutcome::Unknown);
    type Case = (&'static str, Vec<(u64, FailoverEvent)>, StandDownReason);
    let cases: [Case; 7] = [
        ("answers", vec![(1_100, tick(false, Some(0)))], StandDownReason::LeaderResponds),
        ("heard", vec![(1_950, answer(2, Some(10)))], StandDownReason::HeardByOther(NodeId(2))),
        ("nobody answers", vec![(3_500, SUSPECTED)], StandDownReason::NoMajority),
        (
            "another was faster",
            vec![(1_100, FailoverEvent::ReplicaShows { term: Term(8), mine: false })],
            StandDownReason::TermTakenByOther(Term(8)),
        ),
        (
            "conflict",
            vec![
                (1_100, answer(1, Some(LEAST_MS))),
                (1_200, FailoverEvent::FenceCompleted(FenceOutcome::Conflict)),
            ],
            StandDownReason::Conflict,
        ),
        (
            "no answer",
            vec![(1_100, answer(1, Some(LEAST_MS))), (1_200, pause)],
            StandDownReason::StoreUnavailable,
        ),
        (
            "the replica does not follow",
            vec![
                (1_100, answer(1, Some(LEAST_MS))),
                (1_200, FailoverEvent::FenceCompleted(FenceOutcome::Done(Revision(9)))),
                (11_200, SUSPECTED),
            ],
            StandDownReason::StoreUnavailable,
        ),
    ];
    for (name, events, reason) in cases {
        let mut m = machine(3);
        suspect(&mut m, 1_000);
        for (at, event) in events {
            m.step(MonotonicTime(at), event);
        }
        assert_eq!((m.phase(), m.last_stand_down()), (Phase::Following, Some(reason)), "{name}");
    }
}

/// The outcome of fencing may be unknown and it was carried out all the same: the replica then shows it.
#[test]
fn a_term_whose_answer_was_lost_is_led_once_the_replica_shows_it() {
    let mut m = machine(3);
    suspect(&mut m, 1_000);
    m.step(MonotonicTime(1_010), answer(1, Some(LEAST_MS)));
    m.step(MonotonicTime(2_600), FailoverEvent::FenceCompleted(FenceOutcome::Unknown));
    let shows = FailoverEvent::ReplicaShows { term: Term(8), mine: true };
    assert_eq!(m.step(MonotonicTime(2_700), shows), Some(FailoverCommand::Verify(Term(8))));
}

#[test]
fn the_second_in_rank_asks_later_and_who_may_not_lead_never_does() {
    let mut m = machine(3);
    let probes = Some(FailoverCommand::ProbeLeader(Term(7)));
    assert_eq!(m.step(MonotonicTime(1_000), tick(true, Some(1))), probes);
    assert_eq!(m.step(MonotonicTime(1_290), tick(true, Some(1))), None);
    let asks = Some(FailoverCommand::QueryPeers(Term(7)));
    assert_eq!(m.step(MonotonicTime(1_300), tick(true, Some(1))), asks);
    assert_eq!(m.step(MonotonicTime(1_400), tick(true, Some(1))), None, "asked just now");
    let mut m = machine(3);
    assert_eq!(m.step(MonotonicTime(1_000), tick(true, None)), None);
    assert_eq!(m.phase(), Phase::Following);
}

#[test]
fn a_leader_that_is_replaced_follows_and_its_own_next_term_changes_nothing() {
    let mut m = machine(3);
    assert_eq!(
        m.step(MonotonicTime(1_000), FailoverEvent::LeaseExpired),
        Some(FailoverCommand::Fence(Term(7)))
    );
    m.step(MonotonicTime(1_020), FailoverEvent::ReplicaShows { term: Term(8), mine: true });
    m.step(MonotonicTime(1_021), FailoverEvent::Verified);
    assert_eq!(m.last_failover().map(|t| t.cause), Some(FailoverCause::LeaseExpired));
    assert_eq!(
        m.step(MonotonicTime(1_500), FailoverEvent::ReplicaShows { term: Term(9), mine: true }),
        None
    );
    assert_eq!(m.phase(), Phase::Active);
    m.step(MonotonicTime(2_000), FailoverEvent::ReplicaShows { term: Term(10), mine: false });
    assert_eq!(m.last_stand_down(), Some(StandDownReason::Replaced(Term(10))));
}

/// Seen on a bench day: after all controllers had crashed, a leader that was busy with all machines did not answer
/// summaries in time, was replaced, and its successor had the same work to do again.
#[test]
fn a_slow_leader_that_answers_when_asked_is_not_replaced() {
    let answered = FailoverEvent::ProbeCompleted(ProbeOutcome::Answered);
    let mut m = machine(3);
    assert_eq!(
        m.step(MonotonicTime(1_000), SUSPECTED),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    assert_eq!(
        m.step(MonotonicTime(1_010), answer(1, Some(LEAST_MS))),
        None,
        "it has not answered yet"
    );
    assert_eq!(m.step(MonotonicTime(1_500), answered), None);
    assert_eq!(
        (m.phase(), m.last_stand_down()),
        (Phase::Following, Some(StandDownReason::LeaderResponds))
    );
    assert_eq!(m.step(MonotonicTime(1_600), SUSPECTED), None, "it gets time");
    assert_eq!(
        m.step(MonotonicTime(2_600), SUSPECTED),
        Some(FailoverCommand::ProbeLeader(Term(7)))
    );
    // With its silence the agreement of the others counts, in whatever order they come.
    assert_eq!(m.step(MonotonicTime(2_620), answer(1, Some(LEAST_MS))), None);
    assert_eq!(m.step(MonotonicTime(2_900), SILENT), Some(FailoverCommand::Fence(Term(7))));
}

/// What is asked of the store is asked once: a second transaction while the first is under way, or after the term was
/// taken, would cost another term.
#[test]
fn nothing_is_fenced_twice() {
    let mut m = machine(3);
    suspect(&mut m, 1_000);
    m.step(MonotonicTime(1_010), answer(1, Some(LEAST_MS)));
    let events = [SUSPECTED, answer(1, Some(5_000)), FailoverEvent::LeaseExpired];
    for event in events {
        assert_eq!(m.step(MonotonicTime(1_300), event), None, "{event:?}");
    }
    m.step(MonotonicTime(1_400), FailoverEvent::FenceCompleted(FenceOutcome::Done(Revision(9))));
    for event in events {
        assert_eq!(m.step(MonotonicTime(1_500), event), None, "{event:?}");
    }
}
