//! Scale-in: idle machines, and machines whose work others could hold.

use super::{MachineOffer, MachineUsage};
use crate::model::MachineId;
use crate::offered_load::OfferedLoad;
use crate::resources::MachineCatalog;

/// Idle seconds after which a machine may be returned, spot and ordinary.
const IDLE_SPOT_S: f64 = 60.0;
const IDLE_ORDINARY_S: f64 = 20.0;
/// The cloud bills at least that many seconds of a machine.
const MIN_BILLED_S: f64 = 60.0;
/// Share of the cores in use that stays free beyond ready capacity when machines are consolidated.
const FREE_SHARE: f64 = 0.12;
/// One of so many machines of a fleet is consolidated at a time.
const CONSOLIDATION_DIVISOR: usize = 40;

/// The machines out of which some are chosen.
pub(super) struct ScaleInPlanner<'a> {
    pub catalog: &'a MachineCatalog,
    pub machines: &'a [MachineUsage],
}

impl ScaleInPlanner<'_> {
    /// Machines that have been idle for long, dearest first, as long as what stays holds the ready
    /// capacity for short-running work, which uses `in_use` cores now.
    pub fn idle(&self, load: &OfferedLoad, in_use: f64) -> Vec<MachineId> {
        let remaining = self.machines.iter().filter(|machine| !machine.leaving);
        let mut remaining_cores =
            in_use + remaining.map(|machine| machine.free.cores.amount()).sum::<f64>();
        let mut idle: Vec<&MachineUsage> = self
            .machines
            .iter()
            .filter(|machine| self.may_leave(machine) && machine.idle_s >= idle_limit_s(machine))
            .collect();
        idle.sort_by(|a, b| {
            let by_price = self.price_per_core(&b.offer).total_cmp(&self.price_per_core(&a.offer));
            by_price.then_with(|| a.id.cmp(&b.id))
        });
        let mut chosen = Vec::new();
        for machine in idle {
            let without = remaining_cores - machine.free.cores.amount();
            if without < load.ready_cores(machine.offer.spot) {
                continue;
            }
            remaining_cores = without;
            chosen.push(machine.id.clone());
        }
        chosen
    }

    /// Machines, spot or ordinary, whose work others of their type would hold as well, least used first
    /// and a few at a time: they take nothing new, and go when they are empty. `missing_ready` is the
    /// ready capacity that has to stay free; what long-running work used lately on a machine type is
    /// counted as if it still did.
    pub fn consolidate(
        &self,
        spot: bool,
        missing_ready: f64,
        long_running: &dyn Fn(&str) -> f64,
    ) -> Vec<MachineId> {
        let in_service = || self.machines.iter().filter(|machine| machine.in_service());
        // In a small fleet one job is much of the load, and what is surplus now is wanted again soon.
        let limit = in_service().count() / CONSOLIDATION_DIVISOR;
        let mut chosen = Vec::new();
        for machine_type in self.catalog.keys() {
            let of_type = || in_service().filter(|m| m.offer.machine_type == *machine_type);
            let used: f64 = of_type().map(|machine| self.used_cores(machine)).sum();
            let in_use = used.max(long_running(machine_type)) * (1.0 + FREE_SHARE);
            let all: f64 = of_type().map(|machine| self.cores(machine)).sum();
            let mut surplus = all - in_use - missing_ready;
            let mut candidates: Vec<&MachineUsage> = of_type()
                .filter(|machine| machine.offer.spot == spot && self.may_leave(machine))
                .collect();
            candidates.sort_by(|a, b| {
                let by_use = self.used_cores(a).total_cmp(&self.used_cores(b));
                by_use.then_with(|| a.id.cmp(&b.id))
            });
            for machine in candidates.into_iter().take(limit) {
                surplus -= self.cores(machine);
                if surplus < 0.0 {
                    break;
                }
                chosen.push(machine.id.clone());
            }
        }
        chosen
    }

    /// Whether a machine may be returned at all: it is in service, paid for, and not reserved for gangs.
    fn may_leave(&self, machine: &MachineUsage) -> bool {
        machine.in_service() && !machine.reserved && machine.age_s >= MIN_BILLED_S
    }

    fn cores(&self, machine: &MachineUsage) -> f64 {
        self.catalog.get(&machine.offer.machine_type).map_or(0.0, |t| t.vcpus)
    }

    fn used_cores(&self, machine: &MachineUsage) -> f64 {
        self.cores(machine) - machine.free.cores.amount()
    }

    /// Hourly price of a core.
    fn price_per_core(&self, offer: &MachineOffer) -> f64 {
        self.catalog.get(&offer.machine_type).map_or(0.0, |t| {
            (if offer.spot { t.spot_hourly_price } else { t.hourly_price }) / t.vcpus.max(0.001)
        })
    }
}

fn idle_limit_s(machine: &MachineUsage) -> f64 {
    if machine.offer.spot { IDLE_SPOT_S } else { IDLE_ORDINARY_S }
}
