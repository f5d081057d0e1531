//! Tables of cases for `core`.

use super::*;
use crate::config::tests::EXAMPLE;
use crate::wire::Item;

#[test]
fn a_peers_word_ends_a_term_that_the_store_does_not_end() {
    // Seen on a bench day: refused by the store, the old leader kept its workers under the
    // old token for 18 s. (told of node and term, term then, leader then)
    let cases = [
        (1, 4, 5, 0),
        (1, 5, 5, 0),
        (0, 7, 5, 0), // of this very node, which would know
        (1, 6, 6, 1),
        (2, 5, 6, 1),
        (2, 8, 8, 2),
    ];
    let record =
        |node, term| LeadRecord { node: NodeId(node), life: Incarnation(5), term: Term(term) };
    let item = |path: &str, v| Item { path: path.into(), v, stamp: Revision(9) };
    let items = |node, term| {
        [
            item(ledger::LEAD_KEY, wire::to_value(&record(node, term))),
            item(ledger::TERM_KEY, wire::to_value(&TermRecord { term: Term(term) })),
        ]
    };
    let now = Moment { steady: Steady(0), wall: Wall(0) };
    let lead = Brought { lead: true, ..Brought::default() };
    let mut core = Core::new(Rc::new(Settings::parse(EXAMPLE).unwrap()), Incarnation(5));
    core.load(&items(0, 5), Revision(9));
    core.follow(now, &lead);
    assert!(core.lead.is_some());
    for (node, term, then, leader) in cases {
        core.hear_lead(record(node, term));
        assert_eq!(core.part.term(), Term(then), "{node} {term}");
        assert_eq!(core.leader(), Some(NodeId(leader)), "{node} {term}");
        assert_eq!(core.lead.is_some(), leader == 0, "{node} {term}");
    }
    core.follow(now, &lead);
    assert!(core.lead.is_none(), "what the replica tells is of an earlier term");
    core.load(&items(1, 9), Revision(12));
    core.follow(now, &lead);
    assert_eq!((core.part.term(), core.leader()), (Term(9), Some(NodeId(1))));
}
