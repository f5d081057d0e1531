//! Scale-in: selection of idle machines, and of surplus machines whose work other machines could hold.

use super::{MachineOffer, MachineUsage};
use crate::model::MachineId;
use crate::offered_load::OfferedLoad;
use crate::resources::MachineCatalog;

/// Seconds without a task after which a spot machine may be returned.
const SPOT_IDLE_LIMIT_S: f64 = 60.0;
/// Seconds without a task after which an on-demand machine may be returned.
const ON_DEMAND_IDLE_LIMIT_S: f64 = 20.0;
/// Minimum time in seconds that the cloud bills for a machine. Machines are not returned before they reach this age.
const MIN_BILLED_S: f64 = 60.0;
/// Cores that stay free beyond ready capacity when machines are consolidated, as a share of the cores in use.
const HEADROOM_SHARE: f64 = 0.12;
/// The number of machines in service divided by this number is the maximum number of machines of each type that are
/// consolidated at a time.
const CONSOLIDATION_DIVISOR: usize = 40;

/// Selects machines to scale in.
pub(super) struct ScaleInPlanner<'a> {
    pub catalog: &'a MachineCatalog,
    pub machines: &'a [MachineUsage],
}

impl ScaleInPlanner<'_> {
    /// Returns the machines that have been idle for long enough, highest price per core first, as far as the remaining
    /// machines provide the ready capacity for short-running work. `in_use` is the number of cores in use by
    /// short-running work.
    pub fn idle_machines(&self, load: &OfferedLoad, in_use: f64) -> Vec<MachineId> {
        let remaining = self.machines.iter().filter(|machine| !machine.unavailable);
        let mut remaining_cores =
            in_use + remaining.map(|machine| machine.free.cores.amount()).sum::<f64>();
        let mut idle: Vec<&MachineUsage> = self
            .machines
            .iter()
            .filter(|machine| self.may_return(machine) && machine.idle_s >= idle_limit_s(machine))
            .collect();
        idle.sort_by(|a, b| {
            let by_price = self.price_per_core(&b.offer).total_cmp(&self.price_per_core(&a.offer));
            by_price.then_with(|| a.id.cmp(&b.id))
        });
        let mut chosen = Vec::new();
        for machine in idle {
            let cores_without = remaining_cores - machine.free.cores.amount();
            if cores_without < load.ready_cores(machine.offer.spot) {
                continue;
            }
            remaining_cores = cores_without;
            chosen.push(machine.id.clone());
        }
        chosen
    }

    /// Returns the spot or on-demand machines whose work other machines of their type could hold, least used first and
    /// a few at a time. Once drained, these machines take no new tasks and are returned when they are empty.
    /// `missing_ready` is the number of cores of ready capacity that have to stay free. `long_running` returns for a
    /// machine type the recent mean of the cores in use by long-running work. At least this mean counts as in use.
    pub fn surplus_machines(
        &self,
        spot: bool,
        missing_ready: f64,
        long_running: &dyn Fn(&str) -> f64,
    ) -> Vec<MachineId> {
        let in_service = || self.machines.iter().filter(|machine| machine.in_service());
        // In a small fleet one job is a large part of the load, so a surplus machine is likely to be needed again soon.
        // The limit is therefore 0 for fewer machines than the divisor.
        let limit = in_service().count() / CONSOLIDATION_DIVISOR;
        let mut chosen = Vec::new();
        for machine_type in self.catalog.keys() {
            let of_type =
                || in_service().filter(|machine| machine.offer.machine_type == *machine_type);
            let used: f64 = of_type().map(|machine| self.used_cores(machine)).sum();
            let needed = used.max(long_running(machine_type)) * (1.0 + HEADROOM_SHARE);
            let total_cores: f64 = of_type().map(|machine| self.cores(machine)).sum();
            let mut surplus = total_cores - needed - missing_ready;
            let mut candidates: Vec<&MachineUsage> = of_type()
                .filter(|machine| machine.offer.spot == spot && self.may_return(machine))
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

    /// Returns whether a machine may be returned at all: it is in service, has been rented for the minimum billed time,
    /// and is not reserved for gangs.
    fn may_return(&self, machine: &MachineUsage) -> bool {
        machine.in_service() && !machine.reserved && machine.age_s >= MIN_BILLED_S
    }

    /// Returns all cores of a machine, free or in use.
    fn cores(&self, machine: &MachineUsage) -> f64 {
        self.catalog.get(&machine.offer.machine_type).map_or(0.0, |machine_type| machine_type.vcpus)
    }

    fn used_cores(&self, machine: &MachineUsage) -> f64 {
        self.cores(machine) - machine.free.cores.amount()
    }

    /// Returns the hourly price of an offer per core.
    fn price_per_core(&self, offer: &MachineOffer) -> f64 {
        self.catalog.get(&offer.machine_type).map_or(0.0, |machine_type| {
            (if offer.spot { machine_type.spot_hourly_price } else { machine_type.hourly_price })
                / machine_type.vcpus.max(0.001)
        })
    }
}

/// Returns the seconds without a task after which a machine may be returned.
fn idle_limit_s(machine: &MachineUsage) -> f64 {
    if machine.offer.spot { SPOT_IDLE_LIMIT_S } else { ON_DEMAND_IDLE_LIMIT_S }
}
