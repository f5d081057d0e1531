//! Table tests of the parsing of ids, the numbering of attempts and the sets of task numbers.

use super::*;

#[test]
fn only_canonical_job_ids_are_accepted() {
    let cases = [
        ("wk-000412", Some(412)),
        ("wk-1000000", Some(1_000_000)),
        ("wk-0000412", None),
        ("wk-412", None),
        ("wk-00041x", None),
        ("job-000412", None),
        ("wk-+00412", None),
        ("wk-99999999999999999999999", None),
        ("", None),
    ];
    for (text, want) in cases {
        assert_eq!(JobId::parse(text).map(|j| j.0), want, "{text}");
    }
    assert_eq!(TaskId::parse("wk-000412/3").unwrap().to_string(), "wk-000412/3");
    assert_eq!(TaskId::parse("wk-000412"), None);
}

#[test]
fn adjoining_ranges_are_merged() {
    type Case = (&'static [u32], &'static [(u32, u32)]);
    let cases: [Case; 5] = [
        (&[], &[]),
        (&[3], &[(3, 4)]),
        (&[1, 3, 2], &[(1, 4)]),
        (&[5, 1, 4, 4, 0], &[(0, 2), (4, 6)]),
        (&[9, 8, 7, 1], &[(1, 2), (7, 10)]),
    ];
    for (numbers, want) in cases {
        let set: TaskRanges = numbers.iter().copied().collect();
        assert_eq!(set.ranges(), want, "{numbers:?}");
        assert!(set.is_normalized());
        assert!(numbers.iter().all(|n| set.contains(*n)));
        assert!(!set.contains(6));
    }
}

#[test]
fn attempts_differ_by_term_node_and_sequence() {
    let all = [
        Attempt::from_parts(Term(1), NodeId(0), 1),
        Attempt::from_parts(Term(2), NodeId(0), 1),
        Attempt::from_parts(Term(1), NodeId(1), 1),
        Attempt::from_parts(Term(1), NodeId(0), 2),
    ];
    for (i, a) in all.iter().enumerate() {
        assert!(all[i + 1..].iter().all(|b| a != b));
    }
}

#[test]
fn task_ranges_match_a_btree_set_for_every_insertion_order() {
    // Compares every sequence of five numbers below 7 with a `BTreeSet`.
    for case in 0..7_u32.pow(5) {
        let numbers: Vec<u32> = (0..5).map(|digit| case / 7_u32.pow(digit) % 7).collect();
        let (mut ranges, mut set) = (TaskRanges::default(), std::collections::BTreeSet::new());
        for number in &numbers {
            assert_eq!(ranges.insert(*number), set.insert(*number), "{numbers:?}");
        }
        assert!(ranges.is_normalized() && ranges.iter().eq(set.iter().copied()), "{numbers:?}");
        for number in 0..8_u32 {
            let near = [number, number + 1, number.wrapping_sub(1)];
            assert_eq!(ranges.contains(number), set.contains(&number), "{numbers:?}");
            assert_eq!(
                ranges.contains_or_adjoins(number),
                near.iter().any(|n| set.contains(n)),
                "{numbers:?}"
            );
        }
    }
}
