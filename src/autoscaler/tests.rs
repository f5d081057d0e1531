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
fn rented(d: &ScalingDecision) -> u32 {
    d.scale_out.iter().map(|requested| requested.count).sum()
}

#[test]
fn what_does_not_fit_is_rented_where_it_is_cheap() {
    let job = spec(1, 4); // 4 cores: two fit on a machine
    let mut market = MarketState::default();
    let f = catalog();
    let now = MonotonicTime(1_000);
    let d = decide(now, &f, &[], &[want(&job, 4, false)], &market);
    assert!(d.scale_out.iter().all(|requested| requested.offer.spot));
    assert_eq!((d.scale_out.len(), rented(&d)), (2, 2), "spread over zones");
    let one = [held("n-1", true, 0.0)];
    assert_eq!(rented(&decide(now, &f, &one, &[want(&job, 4, false)], &market)), 1);
    assert_eq!(rented(&decide(now, &f, &[], &[want(&job, 4, true)], &market)), 0, "short-running");
    market.record_refusal(&offer("a", true), now);
    market.record_refusal(&offer("b", true), now);
    let d = decide(now, &f, &[], &[want(&job, 2, false)], &market);
    assert!(
        d.scale_out.iter().all(|requested| !requested.offer.spot),
        "ordinary ones when spot is refused"
    );
    let d = decide(now.plus(market::REFUSED_MS), &f, &[], &[want(&job, 2, false)], &market);
    assert!(d.scale_out.iter().all(|requested| requested.offer.spot), "refusals pass");
}

#[test]
fn ordinary_machines_go_when_others_hold_their_work_for_long() {
    let f = catalog();
    let job = spec(1, 4);
    let mut market = MarketState::default();
    let busy = |mut h: MachineUsage, used: u64| {
        h.free.cores = h.free.cores.less(Cores(used * 1000));
        h
    };
    // Two ordinary machines half used, spot machines free, idle for a short time.
    let mut all = vec![busy(held("n-1", false, 0.0), 4), busy(held("n-2", false, 0.0), 2)];
    all.extend((3..41).map(|n| held(&format!("n-{n}"), true, 5.0)));
    let at = |s: u64| MonotonicTime(s * 1_000);
    let d = decide(at(1), &f, &all, &[], &market);
    assert!(d.has_surplus && d.scale_in.is_empty(), "not yet");
    market.record_surplus(at(1), d.has_surplus);
    let d = decide(at(14), &f, &all, &[], &market);
    assert_eq!(d.scale_in, [MachineId::new("n-2")], "the least used goes first");
    let d = decide(at(14), &f, &all, &[want(&job, 20, false)], &market);
    assert!(d.scale_in.is_empty(), "much waits");
    let cheap: Vec<MachineUsage> = all[2..].to_vec();
    assert!(decide(at(14), &f, &cheap, &[], &market).scale_in.is_empty(), "spot stays longer");
    let d = decide(at(27), &f, &cheap, &[], &market);
    assert_eq!(d.scale_in.len(), 0, "38 machines are a small fleet");
    let many: Vec<MachineUsage> = (3..84).map(|n| held(&format!("n-{n}"), true, 5.0)).collect();
    assert_eq!(decide(at(27), &f, &many, &[], &market).scale_in.len(), 2);
    let few = decide(at(14), &f, &all[..20], &[], &market);
    assert!(few.scale_in.is_empty(), "a small fleet keeps them");
    market.record_surplus(at(20), false);
    assert!(decide(at(24), &f, &all, &[], &market).scale_in.is_empty(), "it did not last");
}

#[test]
fn short_running_work_has_spot_machines_ready_for_its_peak() {
    let f = catalog();
    let job = spec(1, 4);
    let mut market = MarketState::default();
    market.record_load(MonotonicTime(100), load(Cores(16_000), Cores(16_000)));
    let d = decide(MonotonicTime(1_000), &f, &[], &[want(&job, 1, true)], &market);
    assert_eq!(rented(&d), 2, "its peak of 16 cores");
    assert!(d.scale_out.iter().all(|requested| requested.offer.spot));
    for s in 1..900 {
        market.record_load(MonotonicTime(s * 1_000), load(Cores(0), Cores(0)));
    }
    let d = decide(MonotonicTime(900_000), &f, &[held("n-1", true, 0.0)], &[], &market);
    assert_eq!(d, ScalingDecision::default(), "nothing is wanted any more");
}

#[test]
fn idle_machines_go_unless_short_running_work_may_need_them() {
    let f = catalog();
    let mut market = MarketState::default();
    let all = [held("n-1", true, 170.0), held("n-2", false, 70.0), held("n-3", true, 10.0)];
    let d = decide(MonotonicTime(1_000), &f, &all, &[], &market);
    assert_eq!(d.scale_in, [MachineId::new("n-2"), MachineId::new("n-1")]);
    market.record_load(MonotonicTime(1_000), load(Cores(14_000), Cores(16_000)));
    let d = decide(MonotonicTime(1_000), &f, &all, &[], &market);
    assert_eq!(d.scale_in, [MachineId::new("n-2")], "the dearest goes first");
}
