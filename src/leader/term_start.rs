//! The start of a leader's term: nothing is granted, and all unfinished tasks that earlier terms
//! granted are unresolved.

use super::task_grants::TaskGrants;
use super::{
    GangStates, JobObservations, LastWrites, Leader, PublishedPlans, RetainedState, ScalingState,
};
use crate::cluster_view::ClusterView;
use crate::fleet::Fleet;
use crate::model::Term;
use crate::replica::Replica;

impl Leader {
    /// Begins a term. `previous` is this leader's state in its last term, if it led before. Its
    /// machines and its [`RetainedState`] are kept, and its grants become unresolved tasks.
    pub fn begin(cluster: &ClusterView<'_>, term: Term, previous: Option<Leader>) -> Self {
        let (mut fleet, mut task_grants, mut retained) = (None, None, None);
        if let Some(previous) = previous {
            // These machines are only a starting point, which `Fleet::begin` updates: another leader
            // may have scaled machines in or out since.
            fleet = Some(previous.fleet);
            task_grants = Some((previous.term, previous.task_grants));
            retained = Some(previous.retained);
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
    /// Returns the state of a leader that has not led before: the offered load that the last leader
    /// recorded.
    fn from_store(replica: &Replica) -> Self {
        let mut retained = RetainedState::default();
        if let Some(load) = &replica.load {
            retained.market.load = load.value.clone();
        }
        retained
    }
}
