//! Tables of cases for placement.

use super::*;
use crate::wire::tests::spec;

/// Returns a machine type with prices and zones for tests.
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

/// Returns an on-demand machine in zone `a` with the given free cores and GB of memory.
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
        command_delay_s: 0.0,
        fetch_gb_per_s: 0.5,
        schedulable: true,
        slow: false,
        reserved: false,
    }
}

#[test]
fn machine_with_the_lowest_cost_is_chosen() {
    let job = spec(1, 1); // 4 cores, 8 GB, image of 1 GB
    let need = Resources::of(&job);
    let edit = |mut target: PlacementTarget, change: fn(&mut PlacementTarget)| {
        change(&mut target);
        target
    };
    let cache_image = |target: &mut PlacementTarget| target.images.push(("img".into(), 1.0));
    // Description, targets, required zone, index of the expected target.
    type Case = (&'static str, Vec<PlacementTarget>, Option<&'static str>, Option<usize>);
    let cases: Vec<Case> = vec![
        ("no machines", vec![], None, None),
        ("too little memory", vec![target("n-1", 8, 7)], None, None),
        ("too few cores", vec![target("n-1", 3, 64)], None, None),
        ("tightest fit", vec![target("n-1", 16, 64), target("n-2", 8, 64)], None, Some(1)),
        (
            "a cached image outweighs a tight fit",
            vec![edit(target("n-1", 16, 64), cache_image), target("n-2", 4, 64)],
            None,
            Some(0),
        ),
        (
            "fetches of other images delay a task's own fetch",
            vec![
                edit(target("n-1", 4, 64), |t| t.fetching = ["x", "y", "z"].map(Rc::from).to_vec()),
                target("n-2", 8, 64),
            ],
            None,
            Some(1),
        ),
        (
            "unschedulable machines take no tasks",
            vec![edit(target("n-1", 4, 64), |t| t.schedulable = false)],
            None,
            None,
        ),
        (
            "slow machines are used last",
            vec![edit(target("n-1", 4, 64), |t| t.slow = true), target("n-2", 16, 64)],
            None,
            Some(1),
        ),
        ("wrong zone", vec![target("n-1", 8, 64)], Some("b"), None),
    ];
    for (case, targets, zone, expected) in cases {
        assert_eq!(choose_target(&job, &need, &targets, zone), expected, "{case}");
        let request = PlacementRequest { spec: &job, need: &need, zone, count: 1 };
        let placed = place_tasks(&request, &mut targets.clone());
        assert_eq!(placed.first().copied(), expected, "{case}, with place_tasks");
    }
}

#[test]
fn placing_a_job_equals_placing_its_tasks_one_by_one() {
    // Free cores of each machine, number of tasks, expected machine of each task. A task needs 4 cores.
    type Case = (&'static [u64], usize, &'static [usize]);
    let cases: [Case; 4] = [
        (&[8, 8], 0, &[]),
        (&[8, 8], 3, &[0, 0, 1]),
        (&[4, 16], 3, &[0, 1, 1]),
        (&[3, 7], 9, &[1]),
    ];
    let job = spec(1, 9);
    let need = Resources::of(&job);
    for (cores, count, expected) in cases {
        let names = ["n-1", "n-2"];
        let mut targets: Vec<PlacementTarget> =
            cores.iter().zip(names).map(|(cores, id)| target(id, *cores, 64)).collect();
        let mut targets_one_by_one = targets.clone();
        let request = PlacementRequest { spec: &job, need: &need, zone: None, count };
        let chosen = place_tasks(&request, &mut targets);
        assert_eq!(chosen, expected, "{cores:?} {count}");
        let mut chosen_one_by_one = Vec::new();
        while chosen_one_by_one.len() < count
            && let Some(index) = choose_target(&job, &need, &targets_one_by_one, None)
        {
            targets_one_by_one[index].add(&job, &need);
            chosen_one_by_one.push(index);
        }
        assert_eq!(chosen, chosen_one_by_one);
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
    for (machine_type, zone, spot, expected) in cases {
        assert_eq!(
            allowed(&job, machine_type, zone, spot),
            expected,
            "{machine_type} {zone} {spot}"
        );
    }
    let catalog: MachineCatalog =
        [machine_type("small", 8.0, 64.0), machine_type("big", 64.0, 256.0)]
            .map(|machine_type| (machine_type.name.clone(), machine_type))
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
fn a_gang_is_placed_on_the_fewest_machines_that_start_it_earliest() {
    // A task needs 4 cores and 8 GB of memory; the fetch of its image of 1 GB takes 2 s.
    // Each machine: id, free cores, whether it has the image (is warm).
    type Machines = &'static [(&'static str, u64, bool)];
    let cases: [(&str, Machines, usize, Option<&[&str]>); 6] = [
        ("one machine holds the gang", &[("n-1", 8, true), ("n-2", 16, true)], 3, Some(&["n-2"])),
        (
            "the smallest machine that holds the gang",
            &[("n-1", 16, true), ("n-2", 8, true)],
            2,
            Some(&["n-2"]),
        ),
        (
            "two warm machines before one cold machine",
            &[("n-1", 8, true), ("n-2", 8, true), ("n-3", 64, false)],
            4,
            Some(&["n-1", "n-2"]),
        ),
        (
            "fewest machines, as any choice includes a cold machine",
            &[("n-1", 4, true), ("n-2", 4, false), ("n-3", 8, false)],
            2,
            Some(&["n-3"]),
        ),
        ("the tasks do not all fit", &[("n-1", 8, true), ("n-2", 4, true)], 4, None),
        ("no machines", &[], 1, None),
    ];
    let job = spec(1, 1);
    let need = Resources::of(&job);
    for (case, machines, count, expected) in cases {
        let targets: Vec<PlacementTarget> = machines
            .iter()
            .map(|(id, cores, warm)| {
                let mut target = target(id, *cores, 512);
                if *warm {
                    target.images.push((job.image.clone(), job.image_gb));
                }
                target
            })
            .collect();
        let usable = vec![true; targets.len()];
        let gang = PlacementRequest { spec: &job, need: &need, zone: Some("a"), count };
        let used_machines = pack_gang(&gang, &targets, &usable).map(
            |GangPlacement { machines: chosen, .. }| {
                assert_eq!(chosen.len(), count, "{case}");
                let used: std::collections::BTreeSet<&str> =
                    chosen.iter().map(|index| &*targets[*index].id.0).collect();
                used.into_iter().collect::<Vec<_>>()
            },
        );
        assert_eq!(used_machines.as_deref(), expected, "{case}");
    }
    let targets = [target("n-1", 8, 512)];
    let any_zone = PlacementRequest { spec: &job, need: &need, zone: None, count: 1 };
    assert!(pack_gang(&any_zone, &targets, &[false]).is_none(), "unusable machine");
    let other_zone = PlacementRequest { zone: Some("b"), ..any_zone };
    assert!(pack_gang(&other_zone, &targets, &[true]).is_none(), "machine in another zone");
}

#[test]
fn gangs_and_services_need_zones_that_allow_them() {
    // A gang or service that its zones do not allow would wait forever if it were accepted.
    // Kind, tasks, one_zone, spread_zones, the only allowed zone, zones of the machine type, whether all tasks can run.
    use JobKind::{Array, Gang, Service};
    let cases = [
        (Gang, 2, true, true, None, 2, false),
        (Service, 2, true, true, None, 2, false),
        (Array, 2, true, true, None, 2, true), // its tasks may run one after another
        (Gang, 1, true, true, None, 1, true),
        (Gang, 2, false, true, None, 2, true),
        (Gang, 2, false, true, None, 1, false),
        (Gang, 2, false, true, Some("a"), 2, false),
        (Service, 5, false, true, Some("a"), 2, false),
        (Service, 5, true, false, Some("a"), 2, true),
        (Gang, 5, true, false, None, 1, true),
    ];
    for (kind, task_count, one_zone, spread_zones, zone, zone_count, expected) in cases {
        let zone = zone.map(String::from);
        let job = JobSpec { kind, one_zone, spread_zones, zone, ..spec(1, task_count) };
        let mut small = machine_type("small", 8.0, 64.0);
        small.zones.truncate(zone_count);
        let catalog = MachineCatalog::from([("small".to_string(), small)]);
        assert!(can_ever_run(&job, &catalog));
        let case = format!("{kind:?} {task_count} {one_zone} {spread_zones} {zone_count}");
        assert_eq!(zones_allow_all(&job, &catalog), expected, "{case}");
    }
}
