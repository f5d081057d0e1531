//! Tests of the ranking of the controllers that may replace the leader.

use super::*;

#[test]
fn controllers_outside_the_leaders_zone_rank_first() {
    let candidate =
        |node, zone: &str, eligible| Candidate { node: NodeId(node), zone: zone.into(), eligible };
    let site = [
        candidate(0, "a", true),
        candidate(1, "b", true),
        candidate(2, "a", true),
        candidate(3, "b", false),
        candidate(4, "b", true),
    ];
    // (leader, ranks of the controllers 0 to 4)
    let cases = [
        (0, [None, Some(0), Some(2), None, Some(1)]),
        (1, [Some(0), None, Some(1), None, Some(2)]),
        (4, [Some(0), Some(2), Some(1), None, None]),
    ];
    for (leader, ranks) in cases {
        let found = [0, 1, 2, 3, 4].map(|n| rank_of(NodeId(n), NodeId(leader), &site));
        assert_eq!(found, ranks, "leader {leader}");
    }
    assert_eq!(rank_of(NodeId(9), NodeId(0), &site), None);
}
