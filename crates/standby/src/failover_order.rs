//! The order in which controllers replace a leader, the same at each of them.

use willowshore_model::NodeId;

/// A controller as far as the failover order needs it.
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
    let leaders_zone = candidates.iter().find(|c| c.node == leader).map(|c| c.zone.as_str());
    let mut order: Vec<(bool, NodeId)> = candidates
        .iter()
        .filter(|c| c.eligible && c.node != leader)
        .map(|c| (Some(c.zone.as_str()) == leaders_zone, c.node))
        .collect();
    order.sort_unstable();
    order.iter().position(|(_, candidate)| *candidate == node).map(|rank| rank as u64)
}

#[cfg(test)]
mod tests;
