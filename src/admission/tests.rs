//! Tables of cases for [`admit`] and [`revised_ranks`].

use super::*;

fn demand(job: u64, rank: u32, cores: u64, min_tasks: u32, max_tasks: u32) -> Demand {
    Demand {
        job: JobId(job),
        rank,
        weight: 1.0,
        curve: ValueCurve::Concave { gain_ratio: 0.99 },
        team: 0,
        cores_per_task: Cores(cores * 1000),
        min_tasks,
        max_tasks,
        required: false,
    }
}

/// Returns the waterline and the shares by job.
fn admitted_shares(demands: &[Demand], total: u64, team: Option<u64>) -> (u32, Vec<(u64, u32)>) {
    let limits = CoreLimits {
        total: Cores(total * 1000),
        teams: vec![team.map(|cores| Cores(cores * 1000))],
    };
    let admission = admit(demands, &limits);
    (admission.waterline, admission.shares.iter().map(|(job, share)| (job.0, *share)).collect())
}

#[test]
fn admission_is_rank_legal_and_shares_respect_limits() {
    let with = |mut demand: Demand, edit: fn(&mut Demand)| {
        edit(&mut demand);
        demand
    };
    // Description, demands, total cores, the team's core limit, expected waterline and shares.
    type Case = (&'static str, Vec<Demand>, u64, Option<u64>, (u32, Vec<(u64, u32)>));
    let cases: Vec<Case> = vec![
        ("no demands", vec![], 10, None, (1, vec![])),
        (
            "all fit",
            vec![demand(1, 2, 2, 0, 3), demand(2, 3, 2, 0, 1)],
            10,
            None,
            (3, vec![(1, 3), (2, 1)]),
        ),
        (
            "worse ranks wait if the better ranks do not all fit",
            vec![demand(1, 2, 8, 0, 1), demand(2, 2, 8, 0, 1), demand(3, 3, 1, 0, 1)],
            8,
            None,
            (2, vec![(1, 1)]),
        ),
        (
            "a required job of a rank worse than the waterline is admitted",
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
            "a running job keeps its tasks against a job of a better rank",
            vec![demand(1, 3, 4, 2, 4), demand(2, 2, 4, 0, 2)],
            8,
            None,
            (3, vec![(1, 2), (2, 0)]),
        ),
        (
            "the team's limit is respected",
            vec![demand(1, 2, 2, 0, 9)],
            100,
            Some(7),
            (2, vec![(1, 3)]),
        ),
        (
            "the more important job gets its tasks first",
            vec![demand(1, 2, 1, 0, 8), with(demand(2, 2, 1, 0, 6), |d| d.weight = 9.0)],
            8,
            None,
            (2, vec![(1, 2), (2, 6)]),
        ),
        (
            "a step job gets all of its tasks or none",
            vec![
                with(demand(1, 2, 1, 0, 6), |d| d.curve = ValueCurve::Step),
                demand(2, 2, 1, 0, 4),
            ],
            8,
            None,
            (2, vec![(1, 6), (2, 2)]),
        ),
    ];
    for (case, demands, total, team, expected) in cases {
        assert_eq!(admitted_shares(&demands, total, team), expected, "{case}");
    }
}

#[test]
fn better_ranks_propagate_to_dependencies() {
    let ranks: HashMap<JobId, u32> =
        [(1, 3), (2, 2), (3, 1), (4, 4)].map(|(job, rank)| (JobId(job), rank)).into();
    let dependencies =
        [(2, 1), (3, 2), (4, 1), (9, 1)].map(|(job, dependency)| (JobId(job), JobId(dependency)));
    let revised = revised_ranks(&ranks, &dependencies);
    let revised: Vec<u32> = (1..=4).map(|job| revised[&JobId(job)]).collect();
    assert_eq!(revised, [1, 1, 1, 4]);
}
