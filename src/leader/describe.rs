//! The text of the log line `epoch`, which shows operators the leader's state.

use super::{ClusterView, Leader};
use crate::model::Cores;
use crate::replica;
use crate::resources::Resources;
use crate::wire::TaskState;

/// Returns the program versions of the controllers that are up, ordered by controller.
fn versions(cluster: &ClusterView<'_>) -> String {
    let version_of = |m: &replica::MemberRecord| match m.version.as_str() {
        "" => "before 0.2".to_string(),
        version => version.to_string(),
    };
    let versions: Vec<String> =
        cluster.replica.members.values().map(|member| version_of(&member.value)).collect();
    versions.join(",")
}

impl Leader {
    /// Returns the leader's state in one line: counts of machines and tasks, and cores by their
    /// use.
    pub fn describe(&self, cluster: &ClusterView<'_>) -> String {
        let on_machines = self.fleet.on_machines();
        let (mut running, mut fetching, mut waiting) = (Cores(0), Cores(0), Cores(0));
        for (task, seen) in &on_machines {
            let job = cluster.replica.jobs.get(&task.job);
            let cores = job.map_or(Cores(0), |job| Resources::of(&job.spec).cores);
            let sum = match seen.state {
                TaskState::FetchingImage => &mut fetching,
                TaskState::WaitingForGang => &mut waiting,
                _ => &mut running,
            };
            sum.0 += cores.0;
        }
        let targets = self.fleet.targets(cluster);
        let free = targets.iter().fold(Cores(0), |sum, target| Cores(sum.0 + target.free.cores.0));
        format!(
            "machines={} up={} spot={} owners={} tasks={} granted={} revoked={} unresolved={} unreconciled={} jobs={} \
             cores: run={:.0} fetch={:.0} wait={:.0} free={:.0} ready={:.0}/{:.0} reserved={} versions={}",
            self.fleet.machines.len(),
            self.fleet.machines.values().filter(|machine| machine.up).count(),
            self.fleet.machines.values().filter(|machine| machine.up && machine.offer.spot).count(),
            self.fleet.owners.len(),
            on_machines.len(),
            self.task_grants.granted.keys().filter(|task| !on_machines.contains_key(task)).count(),
            self.task_grants.revoked.len(),
            self.task_grants.unresolved.len(),
            self.fleet.unreconciled.len(),
            cluster.replica.jobs.len(),
            running.amount(),
            fetching.amount(),
            waiting.amount(),
            free.amount(),
            self.retained.market.load.ready_cores(false),
            self.retained.market.load.ready_cores(true),
            self.gangs.reserved.len(),
            versions(cluster),
        )
    }
}
