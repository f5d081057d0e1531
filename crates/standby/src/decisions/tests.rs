//! Tests that decisions result in the same state at the leader and at its standbys.

use super::*;

fn machine(n: u64) -> MachineId {
    MachineId::new(&format!("n-{n:06}"))
}

/// A target with entries of each kind; they differ by `n`.
pub(crate) fn target(n: u64) -> DecisionTarget {
    let offer = MachineOfferRecord {
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: n.is_multiple_of(2),
    };
    DecisionTarget {
        admissions: (n..n + 4).map(|j| (JobNumber(j), Admission { share: j as u32 })).collect(),
        grants: (n..n + 9).map(|j| (TaskNumber(j / 3, j as u32), NodeId((j % 3) as u8))).collect(),
        gangs: [(JobNumber(n), GangStep::Granted(Attempt(n)))].into(),
        provisioning: [(machine(n), offer.clone())].into(),
        returning: [machine(n + 1)].into(),
        run_times: [("sweep".to_string(), RunTimeRatio { sum: n as f64, weight: 1.5 })].into(),
        speeds: [(machine(n + 2), MachineSpeed { ratio: 1.25, tasks: n as u32 })].into(),
        refusals: [(offer, WallTime(n))].into(),
        waiting: [(JobNumber(n), WallTime(n))].into(),
        reserved: [machine(n + 3)].into(),
    }
}

#[test]
fn changes_turn_any_state_into_any_target() {
    let mut state = DecisionState::default();
    for n in [1, 2, 9, 2, 40, 3] {
        for decision in state.changes_to(&target(n)) {
            state.apply(decision);
        }
        assert_eq!(state.target(), target(n));
        assert!(state.changes_to(&target(n)).is_empty());
        // The digest depends on the entries only, not on the order of the decisions.
        let mut fresh = DecisionState::default();
        fresh.changes_to(&target(n)).into_iter().rev().for_each(|d| fresh.apply(d));
        assert_eq!((fresh.digest(), fresh.len()), (state.digest(), state.len()));
    }
    for decision in state.changes_to(&DecisionTarget::default()) {
        state.apply(decision);
    }
    assert!(state.is_empty());
    assert_eq!(state.digest(), 0);
}

#[test]
fn removing_any_single_entry_changes_the_digest() {
    let mut state = DecisionState::default();
    state.changes_to(&target(5)).into_iter().for_each(|d| state.apply(d));
    for decision in state.decisions() {
        let mut other = state.clone();
        let removed = match decision.clone() {
            Decision::Admitted(k, _) => Decision::Admitted(k, None),
            Decision::Granted(k, _) => Decision::Granted(k, None),
            Decision::Gang(k, _) => Decision::Gang(k, None),
            Decision::ScaledOut(k, _) => Decision::ScaledOut(k, None),
            Decision::Returning(k, _) => Decision::Returning(k, None),
            Decision::RunTime(k, _) => Decision::RunTime(k, None),
            Decision::Speed(k, _) => Decision::Speed(k, None),
            Decision::Refused(k, _) => Decision::Refused(k, None),
            Decision::Waiting(k, _) => Decision::Waiting(k, None),
            Decision::Reserved(k, _) => Decision::Reserved(k, None),
        };
        other.apply(removed);
        assert_ne!(other.digest(), state.digest(), "{decision:?}");
        assert_eq!(other.changes_to(&state.target()), vec![decision]);
    }
}
