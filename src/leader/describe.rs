//! The line in the log that tells operators what is held, granted and open.

use super::{ClusterView, Leader};
use crate::model::Cores;
use crate::placement::Resources;
use crate::replica;
use crate::wire::TaskState;

/// The versions of the controllers that are up, in their order.
fn versions(cluster: &ClusterView<'_>) -> String {
    let of = |m: &replica::MemberRecord| match m.version.as_str() {
        "" => "before 0.2".to_string(),
        version => version.to_string(),
    };
    let all: Vec<String> =
        cluster.replica.members.values().map(|member| of(&member.value)).collect();
    all.join(",")
}

impl Leader {
    /// A line for operators: what is held, granted and open, and what cores do.
    pub fn describe(&self, cluster: &ClusterView<'_>) -> String {
        let on_machines = self.fleet.on_machines();
        let (mut runs, mut fetches, mut free) = (Cores(0), Cores(0), Cores(0));
        let mut waits = Cores(0);
        for (t, s) in &on_machines {
            let cores =
                cluster.replica.jobs.get(&t.job).map_or(Cores(0), |j| Resources::of(&j.spec).cores);
            let sum = match s.state {
                TaskState::FetchingImage => &mut fetches,
                TaskState::WaitingForGang => &mut waits,
                _ => &mut runs,
            };
            sum.0 += cores.0;
        }
        let targets = self.fleet.targets(cluster);
        targets.iter().for_each(|r| free.0 += r.free.cores.0);
        format!(
            "machines={} up={} spot={} owners={} tasks={} granted={} unresolved={} unsettled={} jobs={} \
             cores: run={:.0} fetch={:.0} wait={:.0} free={:.0} ready={:.0}/{:.0} kept={} versions={}",
            self.fleet.machines.len(),
            self.fleet.machines.values().filter(|m| m.up).count(),
            self.fleet.machines.values().filter(|m| m.up && m.offer.spot).count(),
            self.fleet.owners.len(),
            on_machines.len(),
            self.granted.keys().filter(|t| !on_machines.contains_key(t)).count(),
            self.unresolved.len(),
            self.fleet.unreconciled.len(),
            cluster.replica.jobs.len(),
            runs.amount(),
            fetches.amount(),
            waits.amount(),
            free.amount(),
            self.market.ready(false),
            self.market.ready(true),
            self.reserved.len(),
            versions(cluster),
        )
    }
}
