//! Tables of cases for `admit`.

use super::*;

fn demand(job: u64, rank: u32, cores: u64, min: u32, max: u32) -> Demand {
    Demand {
        job: JobId(job),
        rank,
        weight: 1.0,
        curve: Curve::Concave { fade: 0.99 },
        team: 0,
        cores: Cores(cores * 1000),
        min,
        max,
        required: false,
    }
}

fn run(demands: &[Demand], held: u64, team: Option<u64>) -> (u32, Vec<(u64, u32)>) {
    let bounds = Bounds { held: Cores(held * 1000), teams: vec![team.map(|c| Cores(c * 1000))] };
    let a = admit(demands, &bounds);
    (a.waterline, a.shares.iter().map(|(j, s)| (j.0, *s)).collect())
}

#[test]
fn admission_is_rank_legal_and_shares_keep_their_bounds() {
    let with = |mut d: Demand, f: fn(&mut Demand)| {
        f(&mut d);
        d
    };
    type Case = (&'static str, Vec<Demand>, u64, Option<u64>, (u32, Vec<(u64, u32)>));
    let cases: Vec<Case> = vec![
        ("nobody", vec![], 10, None, (1, vec![])),
        (
            "all fit",
            vec![demand(1, 2, 2, 0, 3), demand(2, 3, 2, 0, 1)],
            10,
            None,
            (3, vec![(1, 3), (2, 1)]),
        ),
        (
            "worse ranks wait when the better do not all fit",
            vec![demand(1, 2, 8, 0, 1), demand(2, 2, 8, 0, 1), demand(3, 3, 1, 0, 1)],
            8,
            None,
            (2, vec![(1, 1)]),
        ),
        (
            "a required job enters below the waterline",
            vec![
                demand(1, 2, 8, 0, 1),
                demand(2, 2, 8, 0, 1),
                with(demand(3, 3, 1, 0, 1), |d| d.required = true),
            ],
            9,
            None,
            (2, vec![(1, 1), (3, 1)]),
        ),
        (
            "running tasks keep their share and nothing is stopped",
            vec![demand(1, 3, 4, 2, 4), demand(2, 2, 4, 0, 2)],
            8,
            None,
            (3, vec![(1, 2), (2, 0)]),
        ),
        ("the team's limit holds", vec![demand(1, 2, 2, 0, 9)], 100, Some(7), (2, vec![(1, 3)])),
        (
            "the more important job fills first",
            vec![demand(1, 2, 1, 0, 8), with(demand(2, 2, 1, 0, 6), |d| d.weight = 9.0)],
            8,
            None,
            (2, vec![(1, 2), (2, 6)]),
        ),
        (
            "a step runs whole or not at all",
            vec![with(demand(1, 2, 1, 0, 6), |d| d.curve = Curve::Step), demand(2, 2, 1, 0, 4)],
            8,
            None,
            (2, vec![(1, 6), (2, 2)]),
        ),
    ];
    for (what, demands, held, team, want) in cases {
        assert_eq!(run(&demands, held, team), want, "{what}");
    }
}

#[test]
fn ranks_are_revised_along_dependencies() {
    let ranks: HashMap<JobId, u32> =
        [(1, 3), (2, 2), (3, 1), (4, 4)].map(|(j, r)| (JobId(j), r)).into();
    let needs = [(2, 1), (3, 2), (4, 1), (9, 1)].map(|(a, b)| (JobId(a), JobId(b)));
    let got = revised_ranks(&ranks, &needs);
    let got: Vec<u32> = (1..=4).map(|j| got[&JobId(j)]).collect();
    assert_eq!(got, [1, 1, 1, 4]);
}
