//! Placement: which machine a task goes to. Pure, and used by the leader to divide grants
//! over parts as well as by the parts themselves.

use std::collections::HashMap;

use crate::ledger::Ledger;
use crate::model::{Cores, MachineId};
use crate::peer::MachineView;
use crate::wire::{Flavor, JobSpec, PieceStage};

/// Machine types by name, with what their machines offer.
pub type Flavors = HashMap<String, Flavor>;

/// What a task takes. Memory and accelerators are counted in thousandths like cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Cores.
    pub cores: Cores,
    /// Accelerators.
    pub accelerators: Cores,
    /// Memory, in thousandths of a GB.
    pub memory: Cores,
}

impl Need {
    /// What each task of a job takes.
    pub fn of(spec: &JobSpec) -> Self {
        Need {
            cores: Cores::need(spec.vcpus),
            accelerators: Cores::need(spec.accelerators),
            memory: Cores::need(spec.mem_gb),
        }
    }
    /// What a machine of a type offers.
    pub fn offered(flavor: &Flavor) -> Self {
        Need {
            cores: Cores::offer(flavor.vcpus),
            accelerators: Cores::offer(flavor.accelerators),
            memory: Cores::offer(flavor.mem_gb),
        }
    }
    /// Whether this fits into what is free.
    pub fn fits(&self, free: &Need) -> bool {
        self.cores <= free.cores
            && self.accelerators <= free.accelerators
            && self.memory <= free.memory
    }
    /// Takes this away from what is free.
    pub fn take_from(&self, free: &mut Need) {
        free.cores = free.cores.less(self.cores);
        free.accelerators = free.accelerators.less(self.accelerators);
        free.memory = free.memory.less(self.memory);
    }
}

/// Whether a job may use machines of that type, zone and kind at all.
pub fn allowed(spec: &JobSpec, hull: &str, zone: &str, spot: bool) -> bool {
    spec.hulls.as_ref().is_none_or(|h| h.iter().any(|n| n == hull))
        && spec.yard.as_ref().is_none_or(|y| y == zone)
        && (!spot || spec.loaners)
}

/// A machine as placement sees it.
#[derive(Clone, Debug)]
pub struct Room {
    /// The machine.
    pub id: MachineId,
    /// Type.
    pub hull: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// What is free; tasks that fetch their image count as there.
    pub free: Need,
    /// Images that it has or fetches, with their sizes in GB.
    pub images: Vec<(String, f64)>,
    /// Images that it fetches.
    pub fetching: Vec<String>,
    /// Rate of fetches in GB a second.
    pub fetch_rate: f64,
    /// Whether it takes new tasks.
    pub open: bool,
}

impl Room {
    /// Whether a task of the job may start here now.
    pub fn takes(&self, spec: &JobSpec, need: &Need, zone: Option<&str>) -> bool {
        self.open
            && need.fits(&self.free)
            && zone.is_none_or(|z| z == self.zone)
            && allowed(spec, &self.hull, &self.zone, self.spot)
    }

    /// Seconds that a task would wait here for its image.
    fn fetch_s(&self, spec: &JobSpec) -> f64 {
        let rate = if self.fetch_rate > 0.0 { self.fetch_rate } else { 1.0 };
        let alone = spec.size_gb / rate;
        if self.fetching.contains(&spec.bundle) {
            // Somewhere on its way, and shared with whatever else is fetched.
            alone * 0.5 * self.fetching.len() as f64
        } else if self.has(&spec.bundle) {
            0.0
        } else {
            alone * (1 + self.fetching.len()) as f64
        }
    }

    fn has(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// GB of images of other jobs that the machine has.
    fn others_gb(&self, spec: &JobSpec) -> f64 {
        self.images.iter().filter(|(name, _)| *name != spec.bundle).map(|(_, gb)| gb).sum()
    }

    /// Counts a task in.
    pub fn add(&mut self, spec: &JobSpec, need: &Need) {
        need.take_from(&mut self.free);
        if !self.has(&spec.bundle) {
            self.images.push((spec.bundle.clone(), spec.size_gb));
            self.fetching.push(spec.bundle.clone());
        }
    }

    /// A machine as its owner tells of it; `open` says what else speaks for or against it.
    pub fn of(view: &MachineView, flavors: &Flavors, ledger: &Ledger, open: bool) -> Option<Self> {
        let flavor = flavors.get(&view.hull)?;
        let mut free = Need::offered(flavor);
        let mut known = true;
        let mut fetching: Vec<String> = Vec::new();
        for t in &view.tasks {
            // A task of a job that has ended still takes room until it is gone.
            let Some(job) = ledger.jobs.get(&t.task.job) else {
                known = false;
                continue;
            };
            Need::of(&job.spec).take_from(&mut free);
            if t.stage == PieceStage::Fetching && !fetching.contains(&job.spec.bundle) {
                fetching.push(job.spec.bundle.clone());
            }
        }
        let usable = view.silent_ms < SILENT_MS && view.warning_ms.is_none() && !view.shunned;
        Some(Room {
            id: view.id.clone(),
            hull: view.hull.clone(),
            zone: view.zone.clone(),
            spot: view.spot,
            free,
            images: view.images.clone(),
            fetching,
            fetch_rate: flavor.fetch_gb_per_s,
            open: open && known && usable && ledger.machine_known(&view.id),
        })
    }
}

/// Seconds of waiting that one core left over is worth avoiding: image fetches of many GB
/// outweigh the fit, and among machines that are alike in that the tightest fit wins.
const SPARE_CORE_S: f64 = 0.05;

/// Part of a task's run time that is worth waiting for a spot machine instead of an ordinary
/// one, so that the dearer ones run empty first.
const ORDINARY_PART: f64 = 0.08;

/// Seconds of waiting that are worth leaving a machine to the images of other jobs that it
/// has, per GB of them. Jobs gather on machines that have their image, and fetches of large
/// images become rare.
const OTHER_IMAGES_S_PER_GB: f64 = 0.5;

/// A machine that has not reported for that long takes nothing new.
const SILENT_MS: u64 = 4_000;

/// The best machine for a task: shortest wait for the image, then the tightest fit.
pub fn choose(spec: &JobSpec, need: &Need, rooms: &[Room], zone: Option<&str>) -> Option<usize> {
    let cost = |r: &Room| {
        r.fetch_s(spec)
            + r.free.cores.less(need.cores).amount() * SPARE_CORE_S
            + if r.spot { 0.0 } else { spec.guess_s * ORDINARY_PART }
            + r.others_gb(spec) * OTHER_IMAGES_S_PER_GB
    };
    rooms
        .iter()
        .enumerate()
        .filter(|(_, r)| r.takes(spec, need, zone))
        .min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)).then_with(|| a.id.cmp(&b.id)))
        .map(|(i, _)| i)
}

/// Whether some machine type could ever hold a task of the job.
pub fn can_ever_run(spec: &JobSpec, flavors: &Flavors) -> bool {
    let need = Need::of(spec);
    flavors.values().any(|f| {
        need.fits(&Need::offered(f))
            && spec.hulls.as_ref().is_none_or(|h| h.contains(&f.sku))
            && spec.yard.as_ref().is_none_or(|y| f.yards.contains(y))
    })
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::wire::tests::spec;

    /// A machine type for tests.
    pub(crate) fn flavor(name: &str, vcpus: f64, mem_gb: f64) -> Flavor {
        Flavor {
            sku: name.into(),
            vcpus,
            accelerators: 0.0,
            mem_gb,
            local_gb: 50.0,
            fetch_gb_per_s: 0.5,
            hourly: vcpus * 0.1,
            market_price: vcpus * 0.03,
            startup_s: 30.0,
            yards: vec!["a".into(), "b".into()],
        }
    }

    fn room(id: &str, cores: u64, memory: u64) -> Room {
        Room {
            id: MachineId::new(id),
            hull: "small".into(),
            zone: "a".into(),
            spot: false,
            free: Need {
                cores: Cores(cores * 1000),
                accelerators: Cores(0),
                memory: Cores(memory * 1000),
            },
            images: vec![],
            fetching: vec![],
            fetch_rate: 0.5,
            open: true,
        }
    }

    #[test]
    fn the_best_machine_is_chosen() {
        let job = spec(1, 1); // 4 cores, 8 GB, image of 1 GB
        let need = Need::of(&job);
        let edit = |mut r: Room, f: fn(&mut Room)| {
            f(&mut r);
            r
        };
        let has = |r: &mut Room| r.images.push(("img".into(), 1.0));
        type Case = (&'static str, Vec<Room>, Option<&'static str>, Option<usize>);
        let cases: Vec<Case> = vec![
            ("none", vec![], None, None),
            ("too little memory", vec![room("n-1", 8, 7)], None, None),
            ("too few cores", vec![room("n-1", 3, 64)], None, None),
            ("tightest fit", vec![room("n-1", 16, 64), room("n-2", 8, 64)], None, Some(1)),
            (
                "the image outweighs the fit",
                vec![edit(room("n-1", 16, 64), has), room("n-2", 4, 64)],
                None,
                Some(0),
            ),
            (
                "a machine that fetches much is slower",
                vec![
                    edit(room("n-1", 4, 64), |r| {
                        r.fetching = ["x", "y", "z"].map(String::from).to_vec()
                    }),
                    room("n-2", 8, 64),
                ],
                None,
                Some(1),
            ),
            (
                "closed machines take nothing",
                vec![edit(room("n-1", 4, 64), |r| r.open = false)],
                None,
                None,
            ),
            ("wrong zone", vec![room("n-1", 8, 64)], Some("b"), None),
        ];
        for (what, rooms, zone, want) in cases {
            assert_eq!(choose(&job, &need, &rooms, zone), want, "{what}");
        }
    }

    #[test]
    fn jobs_stay_where_they_are_allowed() {
        let mut job = spec(1, 1);
        job.hulls = Some(vec!["small".into()]);
        job.yard = Some("a".into());
        job.loaners = false;
        let cases = [
            ("small", "a", false, true),
            ("big", "a", false, false),
            ("small", "b", false, false),
            ("small", "a", true, false),
        ];
        for (hull, zone, spot, want) in cases {
            assert_eq!(allowed(&job, hull, zone, spot), want, "{hull} {zone} {spot}");
        }
        let flavors: Flavors = [flavor("small", 8.0, 64.0), flavor("big", 64.0, 256.0)]
            .map(|f| (f.sku.clone(), f))
            .into();
        assert!(can_ever_run(&job, &flavors));
        job.vcpus = 32.0;
        assert!(!can_ever_run(&job, &flavors), "the allowed type is too small");
        job.hulls = None;
        assert!(can_ever_run(&job, &flavors));
        job.yard = Some("c".into());
        assert!(!can_ever_run(&job, &flavors));
    }
}
