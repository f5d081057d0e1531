//! Tables of cases for `decide`.

use super::*;
use crate::model::Cores;
use crate::offered_load::LoadSample;
use crate::placement::tests::machine_type;
use crate::wire::tests::spec;

fn catalog() -> MachineCatalog {
    [machine_type("small", 8.0, 64.0)].map(|f| (f.name.clone(), f)).into()
}
fn offer(zone: &str, spot: bool) -> MachineOffer {
    MachineOffer { machine_type: "small".into(), zone: zone.into(), spot }
}
fn held(id: &str, spot: bool, idle_s: f64) -> MachineUsage {
    MachineUsage {
        id: MachineId::new(id),
        offer: offer("a", spot),
        booting: false,
        age_s: 100.0,
        free: Resources::offered(&machine_type("small", 8.0, 64.0)),
        idle_s,
        reserved: false,
        leaving: false,
    }
}

fn want(job: &JobSpec, tasks: u32, short_running: bool) -> PendingWork<'_> {
    PendingWork { spec: job, tasks, running: 0, run_s: 100.0, short_running }
}
fn load(short_running: Cores, urgent: Cores) -> LoadSample {
    LoadSample { short_running, urgent, long_running: Cores(0) }
}
fn scaled_out(decision: &ScalingDecision) -> u32 {
    decision.scale_out.iter().map(|requested| requested.count).sum()
}

#[test]
fn work_without_room_scales_out_to_the_cheapest_offer() {
    let job = spec(1, 4); // 4 cores: two fit on a machine
    let mut market = MarketState::default();
    let catalog = catalog();
    let now = MonotonicTime(1_000);
    let decision = decide(now, &catalog, &[], &[want(&job, 4, false)], &market);
    assert!(decision.scale_out.iter().all(|requested| requested.offer.spot));
    assert_eq!((decision.scale_out.len(), scaled_out(&decision)), (2, 2), "spread over zones");
    let one = [held("n-1", true, 0.0)];
    assert_eq!(scaled_out(&decide(now, &catalog, &one, &[want(&job, 4, false)], &market)), 1);
    assert_eq!(
        scaled_out(&decide(now, &catalog, &[], &[want(&job, 4, true)], &market)),
        0,
        "short-running"
    );
    market.record_refusal(&offer("a", true), now);
    market.record_refusal(&offer("b", true), now);
    let decision = decide(now, &catalog, &[], &[want(&job, 2, false)], &market);
    assert!(
        decision.scale_out.iter().all(|requested| !requested.offer.spot),
        "on-demand ones when spot is refused"
    );
    let decision =
        decide(now.plus(market::REFUSED_MS), &catalog, &[], &[want(&job, 2, false)], &market);
    assert!(decision.scale_out.iter().all(|requested| requested.offer.spot), "refusals pass");
}

#[test]
fn on_demand_machines_are_scaled_in_once_others_have_room_for_long() {
    let catalog = catalog();
    let job = spec(1, 4);
    let mut market = MarketState::default();
    let busy = |mut machine: MachineUsage, used: u64| {
        machine.free.cores = machine.free.cores.saturating_sub(Cores(used * 1000));
        machine
    };
    // Two on-demand machines half used, spot machines free, idle for a short time.
    let mut all = vec![busy(held("n-1", false, 0.0), 4), busy(held("n-2", false, 0.0), 2)];
    all.extend((3..41).map(|n| held(&format!("n-{n}"), true, 5.0)));
    let at = |s: u64| MonotonicTime(s * 1_000);
    let decision = decide(at(1), &catalog, &all, &[], &market);
    assert!(decision.has_surplus && decision.scale_in.is_empty(), "not yet");
    market.record_surplus(at(1), decision.has_surplus);
    let decision = decide(at(14), &catalog, &all, &[], &market);
    assert_eq!(decision.scale_in, [MachineId::new("n-2")], "the least used goes first");
    let decision = decide(at(14), &catalog, &all, &[want(&job, 20, false)], &market);
    assert!(decision.scale_in.is_empty(), "much waits");
    let cheap: Vec<MachineUsage> = all[2..].to_vec();
    assert!(
        decide(at(14), &catalog, &cheap, &[], &market).scale_in.is_empty(),
        "spot stays longer"
    );
    let decision = decide(at(27), &catalog, &cheap, &[], &market);
    assert_eq!(decision.scale_in.len(), 0, "38 machines are a small fleet");
    let many: Vec<MachineUsage> = (3..84).map(|n| held(&format!("n-{n}"), true, 5.0)).collect();
    assert_eq!(decide(at(27), &catalog, &many, &[], &market).scale_in.len(), 2);
    let few = decide(at(14), &catalog, &all[..20], &[], &market);
    assert!(few.scale_in.is_empty(), "a small fleet keeps them");
    market.record_surplus(at(20), false);
    assert!(decide(at(24), &catalog, &all, &[], &market).scale_in.is_empty(), "it did not last");
}

#[test]
fn short_running_work_has_spot_machines_ready_for_its_peak() {
    let catalog = catalog();
    let job = spec(1, 4);
    let mut market = MarketState::default();
    market.record_load(MonotonicTime(100), load(Cores(16_000), Cores(16_000)));
    let decision = decide(MonotonicTime(1_000), &catalog, &[], &[want(&job, 1, true)], &market);
    assert_eq!(scaled_out(&decision), 2, "its peak of 16 cores");
    assert!(decision.scale_out.iter().all(|requested| requested.offer.spot));
    for s in 1..900 {
        market.record_load(MonotonicTime(s * 1_000), load(Cores(0), Cores(0)));
    }
    let decision =
        decide(MonotonicTime(900_000), &catalog, &[held("n-1", true, 0.0)], &[], &market);
    assert_eq!(decision, ScalingDecision::default(), "nothing is wanted any more");
}

#[test]
fn idle_machines_are_scaled_in_unless_short_running_work_may_need_them() {
    let catalog = catalog();
    let mut market = MarketState::default();
    let all = [held("n-1", true, 170.0), held("n-2", false, 70.0), held("n-3", true, 10.0)];
    let decision = decide(MonotonicTime(1_000), &catalog, &all, &[], &market);
    assert_eq!(decision.scale_in, [MachineId::new("n-2"), MachineId::new("n-1")]);
    market.record_load(MonotonicTime(1_000), load(Cores(14_000), Cores(16_000)));
    let decision = decide(MonotonicTime(1_000), &catalog, &all, &[], &market);
    assert_eq!(decision.scale_in, [MachineId::new("n-2")], "the dearest goes first");
}
