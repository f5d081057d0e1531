//! Tables of cases for `placement`.

use super::*;
use crate::wire::tests::spec;

/// A machine type for tests.
pub(crate) fn machine_type(name: &str, vcpus: f64, mem_gb: f64) -> MachineType {
    MachineType {
        name: name.into(),
        vcpus,
        accelerators: 0.0,
        mem_gb,
        image_cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        hourly_price: vcpus * 0.1,
        spot_hourly_price: vcpus * 0.03,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn target(id: &str, cores: u64, memory: u64) -> PlacementTarget {
    PlacementTarget {
        id: MachineId::new(id),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        free: Resources {
            cores: Cores(cores * 1000),
            accelerators: Cores(0),
            memory: Cores(memory * 1000),
        },
        images: vec![],
        fetching: vec![],
        delay_s: 0.0,
        fetch_rate: 0.5,
        open: true,
        slow: false,
        reserved: false,
    }
}

#[test]
fn the_best_machine_is_chosen() {
    let job = spec(1, 1); // 4 cores, 8 GB, image of 1 GB
    let need = Resources::of(&job);
    let edit = |mut r: PlacementTarget, f: fn(&mut PlacementTarget)| {
        f(&mut r);
        r
    };
    let has = |r: &mut PlacementTarget| r.images.push(("img".into(), 1.0));
    type Case = (&'static str, Vec<PlacementTarget>, Option<&'static str>, Option<usize>);
    let cases: Vec<Case> = vec![
        ("none", vec![], None, None),
        ("too little memory", vec![target("n-1", 8, 7)], None, None),
        ("too few cores", vec![target("n-1", 3, 64)], None, None),
        ("tightest fit", vec![target("n-1", 16, 64), target("n-2", 8, 64)], None, Some(1)),
        (
            "the image outweighs the fit",
            vec![edit(target("n-1", 16, 64), has), target("n-2", 4, 64)],
            None,
            Some(0),
        ),
        (
            "a machine that fetches much is slower",
            vec![
                edit(target("n-1", 4, 64), |r| r.fetching = ["x", "y", "z"].map(Rc::from).to_vec()),
                target("n-2", 8, 64),
            ],
            None,
            Some(1),
        ),
        (
            "closed machines take nothing",
            vec![edit(target("n-1", 4, 64), |r| r.open = false)],
            None,
            None,
        ),
        (
            "slow machines are used last",
            vec![edit(target("n-1", 4, 64), |r| r.slow = true), target("n-2", 16, 64)],
            None,
            Some(1),
        ),
        ("wrong zone", vec![target("n-1", 8, 64)], Some("b"), None),
    ];
    for (what, targets, zone, want) in cases {
        assert_eq!(choose(&job, &need, &targets, zone), want, "{what}");
        let one = PlacementRequest { spec: &job, need: &need, zone, count: 1 };
        let first = spread(&one, &mut targets.clone());
        assert_eq!(first.first().copied(), want, "{what}, in one pass");
    }
}

#[test]
fn placing_a_job_equals_placing_its_tasks_one_by_one() {
    // (cores of each machine, tasks, machines chosen in order); a task takes 4.
    type Case = (&'static [u64], usize, &'static [usize]);
    let cases: [Case; 4] = [
        (&[8, 8], 0, &[]),
        (&[8, 8], 3, &[0, 0, 1]),
        (&[4, 16], 3, &[0, 1, 1]),
        (&[3, 7], 9, &[1]),
    ];
    let job = spec(1, 9);
    let need = Resources::of(&job);
    for (cores, count, want) in cases {
        let names = ["n-1", "n-2"];
        let mut targets: Vec<PlacementTarget> =
            cores.iter().zip(names).map(|(c, id)| target(id, *c, 64)).collect();
        let mut one_by_one = targets.clone();
        let request = PlacementRequest { spec: &job, need: &need, zone: None, count };
        let chosen = spread(&request, &mut targets);
        assert_eq!(chosen, want, "{cores:?} {count}");
        let mut singly = Vec::new();
        while singly.len() < count
            && let Some(i) = choose(&job, &need, &one_by_one, None)
        {
            one_by_one[i].add(&job, &need);
            singly.push(i);
        }
        assert_eq!(chosen, singly);
    }
}

#[test]
fn jobs_are_placed_only_where_they_are_allowed() {
    let mut job = spec(1, 1);
    job.machine_types = Some(vec!["small".into()]);
    job.zone = Some("a".into());
    job.allows_spot = false;
    let cases = [
        ("small", "a", false, true),
        ("big", "a", false, false),
        ("small", "b", false, false),
        ("small", "a", true, false),
    ];
    for (machine_type, zone, spot, want) in cases {
        assert_eq!(allowed(&job, machine_type, zone, spot), want, "{machine_type} {zone} {spot}");
    }
    let catalog: MachineCatalog =
        [machine_type("small", 8.0, 64.0), machine_type("big", 64.0, 256.0)]
            .map(|f| (f.name.clone(), f))
            .into();
    assert!(can_ever_run(&job, &catalog));
    job.vcpus = 32.0;
    assert!(!can_ever_run(&job, &catalog), "the allowed type is too small");
    job.machine_types = None;
    assert!(can_ever_run(&job, &catalog));
    job.zone = Some("c".into());
    assert!(!can_ever_run(&job, &catalog));
}

#[test]
fn a_gang_is_placed_where_it_begins_first_on_the_fewest_machines() {
    // 4 cores and 8 GB a task, an image of 1 GB that takes 2 s. Machines: id, free cores, warm.
    type Machines = &'static [(&'static str, u64, bool)];
    let cases: [(&str, Machines, usize, Option<&[&str]>); 6] = [
        ("one holds it", &[("n-1", 8, true), ("n-2", 16, true)], 3, Some(&["n-2"])),
        ("the tightest that does", &[("n-1", 16, true), ("n-2", 8, true)], 2, Some(&["n-2"])),
        (
            "warm ones before a single cold one",
            &[("n-1", 8, true), ("n-2", 8, true), ("n-3", 64, false)],
            4,
            Some(&["n-1", "n-2"]),
        ),
        (
            "one that is cold makes all wait, so cold ones will do",
            &[("n-1", 4, true), ("n-2", 4, false), ("n-3", 8, false)],
            2,
            Some(&["n-3"]),
        ),
        ("not all fit", &[("n-1", 8, true), ("n-2", 4, true)], 4, None),
        ("nothing is there", &[], 1, None),
    ];
    let job = spec(1, 1);
    let need = Resources::of(&job);
    for (what, machines, count, want) in cases {
        let targets: Vec<PlacementTarget> = machines
            .iter()
            .map(|(id, cores, warm)| {
                let mut r = target(id, *cores, 512);
                if *warm {
                    r.images.push((job.image.clone(), job.image_gb));
                }
                r
            })
            .collect();
        let may = vec![true; targets.len()];
        let gang = PlacementRequest { spec: &job, need: &need, zone: Some("a"), count };
        let got = pack(&gang, &targets, &may).map(|GangPlacement { machines: chosen, .. }| {
            assert_eq!(chosen.len(), count, "{what}");
            let used: std::collections::BTreeSet<&str> =
                chosen.iter().map(|i| &*targets[*i].id.0).collect();
            used.into_iter().collect::<Vec<_>>()
        });
        assert_eq!(got.as_deref(), want, "{what}");
    }
    let targets = [target("n-1", 8, 512)];
    let one = PlacementRequest { spec: &job, need: &need, zone: None, count: 1 };
    assert!(pack(&one, &targets, &[false]).is_none(), "it may not be used");
    let elsewhere = PlacementRequest { zone: Some("b"), ..one };
    assert!(pack(&elsewhere, &targets, &[true]).is_none(), "another zone");
}

#[test]
fn gangs_and_services_need_zones_that_allow_them() {
    // Accepted, such jobs would wait for ever.
    // (shape, tasks, one zone, scattered, the only zone, zones of the type, whether it can run)
    use JobKind::{Array, Gang, Service};
    let cases = [
        (Gang, 2, true, true, None, 2, false),
        (Service, 2, true, true, None, 2, false),
        (Array, 2, true, true, None, 2, true), // one after the other
        (Gang, 1, true, true, None, 1, true),
        (Gang, 2, false, true, None, 2, true),
        (Gang, 2, false, true, None, 1, false),
        (Gang, 2, false, true, Some("a"), 2, false),
        (Service, 5, false, true, Some("a"), 2, false),
        (Service, 5, true, false, Some("a"), 2, true),
        (Gang, 5, true, false, None, 1, true),
    ];
    for (kind, task_count, one_zone, spread_zones, zone, zones, can) in cases {
        let zone = zone.map(String::from);
        let job = JobSpec { kind, one_zone, spread_zones, zone, ..spec(1, task_count) };
        let mut small = machine_type("small", 8.0, 64.0);
        small.zones.truncate(zones);
        let catalog = MachineCatalog::from([("small".to_string(), small)]);
        assert!(can_ever_run(&job, &catalog));
        let what = format!("{kind:?} {task_count} {one_zone} {spread_zones} {zones}");
        assert_eq!(zones_allow_all(&job, &catalog), can, "{what}");
    }
}
