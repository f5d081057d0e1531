//! How a leader's term begins: nothing is granted, and all that earlier terms granted is unresolved.

use super::task_grants::TaskGrants;
use super::{
    GangStates, JobObservations, LastWrites, Leader, PublishedPlans, RetainedState, ScalingState,
};
use crate::cluster_view::ClusterView;
use crate::fleet::Fleet;
use crate::model::Term;
use crate::replica::Replica;

impl Leader {
    /// Begins a term. `before` is the same leader's state in its last term, if it led: what it
    /// knows of machines and the market stays, what it knows of tasks does not.
    pub fn begin(cluster: &ClusterView<'_>, term: Term, before: Option<Leader>) -> Self {
        let (mut fleet, mut task_grants, mut retained) = (None, None, None);
        if let Some(old) = before {
            // Whoever led meanwhile may have scaled in machines and scaled out others.
            fleet = Some(old.fleet);
            task_grants = Some((old.term, old.task_grants));
            retained = Some(old.retained);
        }
        Leader {
            term,
            began_at: cluster.now,
            renew_term: None,
            fleet: Fleet::begin(cluster, fleet),
            retained: retained.unwrap_or_else(|| RetainedState::from_store(cluster.replica)),
            task_grants: TaskGrants::begin(cluster.replica, term, task_grants),
            plans: PublishedPlans::default(),
            jobs: JobObservations::default(),
            gangs: GangStates::default(),
            scaling: ScalingState::default(),
            last_writes: LastWrites { load: cluster.now, ..LastWrites::default() },
        }
    }
}

impl RetainedState {
    /// What a leader that has not led before knows: the load that the last one put on record.
    fn from_store(replica: &Replica) -> Self {
        let mut retained = RetainedState::default();
        if let Some(load) = &replica.load {
            retained.market.load = load.value.clone();
        }
        retained
    }
}
