//! The order in which controllers replace a leader.
//!
//! Each computes it from the replica and the settings, so all get the same ranks once their replicas agree. While they
//! don't, two may try at the same time, and the transaction's conditions let one of them through.

use willowshore_model::NodeId;

/// A controller of the site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The controller.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// Whether it is a member, as the replica shows, and may replace the leader, as the settings say.
    pub eligible: bool,
}

/// The rank of a controller among those that may replace the leader, from 0; `None` if it may not. Controllers in
/// another zone than the leader's come first: what stopped the leader may have stopped its zone.
pub fn rank_of(node: NodeId, leader: NodeId, candidates: &[Candidate]) -> Option<u64> {
    let leaders_zone = candidates
        .iter()
        .find(|candidate| candidate.node == leader)
        .map(|candidate| candidate.zone.as_str());
    let mut order: Vec<(bool, NodeId)> = candidates
        .iter()
        .filter(|candidate| candidate.eligible && candidate.node != leader)
        .map(|candidate| (Some(candidate.zone.as_str()) == leaders_zone, candidate.node))
        .collect();
    order.sort_unstable();
    order.iter().position(|(_, ranked)| *ranked == node).map(|rank| rank as u64)
}

#[cfg(test)]
mod tests;
