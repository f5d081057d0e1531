//! Tests of [`decide`].

use super::*;
use crate::model::Cores;
use crate::offered_load::LoadSample;
use crate::placement::tests::machine_type;
use crate::wire::tests::spec;

fn catalog() -> MachineCatalog {
    [machine_type("small", 8.0, 64.0)]
        .map(|machine_type| (machine_type.name.clone(), machine_type))
        .into()
}
fn offer(zone: &str, spot: bool) -> MachineOffer {
    MachineOffer { machine_type: "small".into(), zone: zone.into(), spot }
}
/// Returns an empty rented machine in zone `a` that is old enough to be returned.
fn rented(id: &str, spot: bool, idle_s: f64) -> MachineUsage {
    MachineUsage {
        id: MachineId::new(id),
        offer: offer("a", spot),
        booting: false,
        age_s: 100.0,
        free: Resources::offered(&machine_type("small", 8.0, 64.0)),
        idle_s,
        reserved: false,
        unavailable: false,
    }
}

fn pending_work(job: &JobSpec, tasks: u32, short_running: bool) -> PendingWork<'_> {
    PendingWork { spec: job, tasks, running: 0, run_s: 100.0, short_running }
}
/// Returns a sample without long-running work.
fn load(short_running: Cores, urgent: Cores) -> LoadSample {
    LoadSample { short_running, urgent, long_running: Cores(0) }
}
/// Returns the number of machines that a decision requests.
fn scaled_out(decision: &ScalingDecision) -> u32 {
    decision.scale_out.iter().map(|requested| requested.count).sum()
}

#[test]
fn work_without_room_scales_out_to_the_cheapest_offer() {
    let job = spec(1, 4); // A task needs 4 cores, so two fit on a machine of 8 cores.
    let mut state = AutoscalerState::default();
    let catalog = catalog();
    let now = MonotonicTime(1_000);
    let decision = decide(now, &catalog, &[], &[pending_work(&job, 4, false)], &state);
    assert!(decision.scale_out.iter().all(|requested| requested.offer.spot));
    assert_eq!(
        (decision.scale_out.len(), scaled_out(&decision)),
        (2, 2),
        "one machine in each zone"
    );
    let one = [rented("n-1", true, 0.0)];
    assert_eq!(
        scaled_out(&decide(now, &catalog, &one, &[pending_work(&job, 4, false)], &state)),
        1
    );
    assert_eq!(
        scaled_out(&decide(now, &catalog, &[], &[pending_work(&job, 4, true)], &state)),
        0,
        "none for short-running work that waits"
    );
    state.record_refusal(&offer("a", true), now);
    state.record_refusal(&offer("b", true), now);
    let decision = decide(now, &catalog, &[], &[pending_work(&job, 2, false)], &state);
    assert!(
        decision.scale_out.iter().all(|requested| !requested.offer.spot),
        "on-demand machines while spot machines are refused"
    );
    let decision =
        decide(now.plus(state::REFUSAL_MS), &catalog, &[], &[pending_work(&job, 2, false)], &state);
    assert!(decision.scale_out.iter().all(|requested| requested.offer.spot), "refusals expire");
}

#[test]
fn on_demand_machines_are_scaled_in_after_a_lasting_surplus() {
    let catalog = catalog();
    let job = spec(1, 4);
    let mut state = AutoscalerState::default();
    let busy = |mut machine: MachineUsage, used_cores: u64| {
        machine.free.cores = machine.free.cores.saturating_sub(Cores(used_cores * 1000));
        machine
    };
    // Two on-demand machines are partly used. The spot machines are free, but have been idle for a short time only.
    let mut all = vec![busy(rented("n-1", false, 0.0), 4), busy(rented("n-2", false, 0.0), 2)];
    all.extend((3..41).map(|n| rented(&format!("n-{n}"), true, 5.0)));
    let at = |seconds: u64| MonotonicTime(seconds * 1_000);
    let decision = decide(at(1), &catalog, &all, &[], &state);
    assert!(
        decision.has_surplus && decision.scale_in.is_empty(),
        "the surplus has not lasted long enough"
    );
    state.record_surplus(at(1), decision.has_surplus);
    let decision = decide(at(14), &catalog, &all, &[], &state);
    assert_eq!(decision.scale_in, [MachineId::new("n-2")], "the least used machine is first");
    let decision = decide(at(14), &catalog, &all, &[pending_work(&job, 20, false)], &state);
    assert!(decision.scale_in.is_empty(), "no consolidation while the queue is long");
    let spot_machines: Vec<MachineUsage> = all[2..].to_vec();
    assert!(
        decide(at(14), &catalog, &spot_machines, &[], &state).scale_in.is_empty(),
        "spot machines are kept longer"
    );
    let decision = decide(at(27), &catalog, &spot_machines, &[], &state);
    assert_eq!(decision.scale_in.len(), 0, "no consolidation in a fleet of 38 machines");
    let large_fleet: Vec<MachineUsage> =
        (3..84).map(|n| rented(&format!("n-{n}"), true, 5.0)).collect();
    assert_eq!(decide(at(27), &catalog, &large_fleet, &[], &state).scale_in.len(), 2);
    let small_fleet = decide(at(14), &catalog, &all[..20], &[], &state);
    assert!(small_fleet.scale_in.is_empty(), "no consolidation in a fleet of 20 machines");
    state.record_surplus(at(20), false);
    assert!(
        decide(at(24), &catalog, &all, &[], &state).scale_in.is_empty(),
        "the surplus was interrupted"
    );
}

#[test]
fn spot_machines_are_kept_ready_for_the_peak_of_short_running_work() {
    let catalog = catalog();
    let job = spec(1, 4);
    let mut state = AutoscalerState::default();
    state.record_load(MonotonicTime(100), load(Cores(16_000), Cores(16_000)));
    let decision =
        decide(MonotonicTime(1_000), &catalog, &[], &[pending_work(&job, 1, true)], &state);
    assert_eq!(scaled_out(&decision), 2, "machines for the peak of 16 cores");
    assert!(decision.scale_out.iter().all(|requested| requested.offer.spot));
    for s in 1..900 {
        state.record_load(MonotonicTime(s * 1_000), load(Cores(0), Cores(0)));
    }
    let decision =
        decide(MonotonicTime(900_000), &catalog, &[rented("n-1", true, 0.0)], &[], &state);
    assert_eq!(
        decision,
        ScalingDecision::default(),
        "no capacity is kept ready after the peak has decayed"
    );
}

#[test]
fn idle_machines_are_scaled_in_unless_short_running_work_may_need_them() {
    let catalog = catalog();
    let mut state = AutoscalerState::default();
    let all = [rented("n-1", true, 170.0), rented("n-2", false, 70.0), rented("n-3", true, 10.0)];
    let decision = decide(MonotonicTime(1_000), &catalog, &all, &[], &state);
    assert_eq!(decision.scale_in, [MachineId::new("n-2"), MachineId::new("n-1")]);
    state.record_load(MonotonicTime(1_000), load(Cores(14_000), Cores(16_000)));
    let decision = decide(MonotonicTime(1_000), &catalog, &all, &[], &state);
    assert_eq!(decision.scale_in, [MachineId::new("n-2")], "only the most expensive machine");
}
