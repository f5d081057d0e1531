//! Ranking of the controllers that may replace the leader.
//!
//! Each controller computes the ranking from its replica of the state service and the settings, so all controllers
//! compute the same ranking once their replicas agree. While the replicas differ, two controllers may try to replace the
//! leader at the same time; the conditions of the fencing transaction let only one of them succeed.

use willowshore_model::NodeId;

/// A controller of the site, as a candidate for replacing the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The controller's node id.
    pub node: NodeId,
    /// The controller's zone.
    pub zone: String,
    /// Whether the replica lists the controller as a member and the settings allow it to replace the leader.
    pub eligible: bool,
}

/// The rank of a controller among the eligible candidates, from 0; `None` if it is not among them or is the leader.
/// Controllers outside the leader's zone rank first, as the fault that stopped the leader may affect its whole zone.
pub fn rank_of(node: NodeId, leader: NodeId, candidates: &[Candidate]) -> Option<u64> {
    let leader_zone = candidates
        .iter()
        .find(|candidate| candidate.node == leader)
        .map(|candidate| candidate.zone.as_str());
    let mut order: Vec<(bool, NodeId)> = candidates
        .iter()
        .filter(|candidate| candidate.eligible && candidate.node != leader)
        .map(|candidate| (Some(candidate.zone.as_str()) == leader_zone, candidate.node))
        .collect();
    order.sort_unstable();
    order.iter().position(|(_, ranked)| *ranked == node).map(|rank| rank as u64)
}

#[cfg(test)]
mod tests;
