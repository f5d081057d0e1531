//! How important jobs are: their rank, the weight of their first task, and who is within a guarantee.

use std::collections::{HashMap, HashSet};

use rustc_hash::FxHashMap;

use super::Leader;
use super::machine_speed::ClassRunTimes;
use super::starvation::{STARVED_RANK, STARVED_WEIGHT};
use super::task_grants::{JobTaskCounts, TaskCounts};
use crate::admission::{Demand, ValueCurve};
use crate::cluster_view::ClusterView;
use crate::config::{ObjectiveKind, Settings};
use crate::model::{Cores, JobId};
use crate::replica::Job;
use crate::resources::Resources;
use crate::wire::{JobKind, Priority};
use crate::{admission, wire};

/// Share of its time that a job may have left beyond what it needs before it counts for less, and what it
/// loses when all of its time is left.
const AMPLE_SLACK: f64 = 0.5;

const AMPLE_LOSS: f64 = 0.3;

/// How much less each further task of a job is worth than the one before.
const FADE: f64 = 0.995;

/// Share of its tasks that it begins with.
const STARVED_PART: u32 = 8;

pub(super) fn rank(priority: Priority) -> u32 {
    match priority {
        Priority::Critical => 1,
        Priority::High => 2,
        Priority::Normal => 3,
        Priority::BestEffort => 4,
    }
}

/// Seconds after acceptance by which a job should be done: its own deadline, or else what
/// the settings expect of its class.
pub(super) fn deadline_s(settings: &Settings, spec: &wire::JobSpec) -> Option<f64> {
    spec.deadline_s.or_else(|| {
        let of_class = settings.params.objectives.iter().filter(|o| {
            o.kind == ObjectiveKind::Finished && o.class.as_deref() == Some(spec.class.as_str())
        });
        of_class.filter_map(|o| o.within_s).min_by(f64::total_cmp)
    })
}

/// Importance of a job's first task per core. Urgency counts most; within an urgency, work
/// that is close to its deadline and can still make it, and work within a guarantee.
pub(super) fn weight(cluster: &ClusterView<'_>, job: &Job, run_s: f64, required: bool) -> f64 {
    let base = match job.spec.priority {
        Priority::Critical => 64.0,
        Priority::High => 16.0,
        Priority::Normal => 4.0,
        Priority::BestEffort => 1.0,
    };
    let age = cluster.wall.0.saturating_sub(job.at.0) as f64 / 1000.0;
    let pressing = match deadline_s(cluster.settings, &job.spec) {
        Some(due) => {
            let due = due.max(1.0);
            let work = f64::from(job.remaining()) * run_s / due;
            match due - age - run_s {
                // Too late for its time: work that can still make it goes first.
                // In the end age wins, so that nothing waits for ever.
                late if late < -0.5 * due => 0.6 + ((age - 2.0 * due) / 60.0).clamp(0.0, 6.0),
                late if late < 0.0 => 0.8,
                // Among those that can make it, little work first: more jobs make it so. What has much more
                // time than it needs can wait.
                left => slack_part(left / due) * (1.0 + (1.0 + 0.3 * age / due) / (0.3 + work)),
            }
        }
        None => 1.0 + age / 600.0,
    };
    base * pressing * if required { 1.5 } else { 1.0 }
}

/// Share of its importance that a job keeps while so much of its time is left beyond what it needs.
fn slack_part(slack: f64) -> f64 {
    let beyond = ((slack - AMPLE_SLACK) / (1.0 - AMPLE_SLACK)).clamp(0.0, 1.0);
    1.0 - AMPLE_LOSS * beyond
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
fn within_guarantees(cluster: &ClusterView<'_>) -> HashSet<JobId> {
    let mut headroom: HashMap<&str, Cores> = cluster
        .settings
        .params
        .teams
        .iter()
        .filter(|t| t.guaranteed_vcpus > 0.0)
        .map(|t| (t.name.as_str(), Cores::offer(t.guaranteed_vcpus)))
        .collect();
    let mut jobs: Vec<&Job> = cluster.replica.jobs.values().collect();
    jobs.sort_by_key(|j| (j.at, j.spec.id));
    let mut inside = HashSet::new();
    for job in jobs {
        let tasks = match job.spec.kind {
            JobKind::Array | JobKind::Gang => job.remaining(),
            JobKind::Service => job.spec.task_count,
        };
        let need = Cores(Resources::of(&job.spec).cores.0 * u64::from(tasks));
        if let Some(left) = headroom.get_mut(job.spec.team.as_str())
            && need <= *left
        {
            *left = left.less(need);
            inside.insert(job.spec.id);
        }
    }
    inside
}

/// How jobs and teams stand when admission is asked.
pub(super) struct JobStandings<'a> {
    /// What each job holds.
    pub(super) counts: &'a JobTaskCounts,
    /// Jobs that fail wherever some controller tries them.
    pub(super) failing: &'a HashSet<JobId>,
    /// Which teams are at their limit.
    pub(super) at_limit: &'a [bool],
}

/// What a demand takes over from its job's team and from jobs around it.
#[derive(Clone, Copy)]
struct JobTerms {
    /// Its team, by number.
    team: usize,
    /// Its rank, 1 for the most urgent.
    rank: u32,
    /// Whether it is within its team's guarantee.
    guaranteed: bool,
}

impl Leader {
    /// A task's expected run time: the owner's estimate, corrected by how its class's
    /// estimates turned out so far.
    pub(super) fn run_s(&self, job: &Job) -> f64 {
        let class = self.remembered.class_run_times.get(&job.spec.class);
        let ratio = class.map_or(1.0, ClassRunTimes::ratio);
        job.spec.estimated_run_s.max(1.0) * ratio.clamp(0.3, 3.0)
    }

    /// What every unfinished job asks of admission.
    pub(super) fn demands(
        &self,
        cluster: &ClusterView<'_>,
        standings: &JobStandings<'_>,
    ) -> Vec<Demand> {
        let guaranteed = within_guarantees(cluster);
        let jobs = &cluster.replica.jobs;
        let ranks: HashMap<JobId, u32> =
            jobs.iter().map(|(id, job)| (*id, rank(job.spec.priority))).collect();
        let ranks = admission::revised_ranks(&ranks, &[]);
        let teams = cluster.settings.params.teams.iter().enumerate();
        let teams: FxHashMap<&str, usize> =
            teams.map(|(i, team)| (team.name.as_str(), i)).collect();
        let mut demands = Vec::with_capacity(jobs.len());
        for (id, job) in jobs {
            let Some(team) = teams.get(job.spec.team.as_str()).copied() else { continue };
            let rank = ranks.get(id).copied().unwrap_or(u32::MAX);
            let terms = JobTerms { team, rank, guaranteed: guaranteed.contains(id) };
            demands.push(self.demand(cluster, job, terms, standings));
        }
        demands
    }

    /// How many more tasks of a job could be granted now.
    fn tries(&self, job: &Job, counts: TaskCounts, failing: bool) -> u32 {
        if job.spec.kind == JobKind::Gang {
            return self.gang_tries(job, counts);
        }
        let runnable = job.remaining().saturating_sub(counts.held + counts.unresolved);
        // A job that fails everywhere keeps the value it would have, but only one task tries.
        if failing { runnable.min(1) } else { runnable }
    }

    /// What one job asks.
    fn demand(
        &self,
        cluster: &ClusterView<'_>,
        job: &Job,
        terms: JobTerms,
        standings: &JobStandings<'_>,
    ) -> Demand {
        let JobTerms { team, mut rank, guaranteed } = terms;
        let id = job.spec.id;
        let counts = standings.counts.get(&id).copied().unwrap_or_default();
        let gang = job.spec.kind == JobKind::Gang;
        let mut weight = weight(cluster, job, self.run_s(job), guaranteed);
        let mut tries = self.tries(job, counts, standings.failing.contains(&id));
        let at_limit = standings.at_limit.get(team).copied().unwrap_or(false);
        let starved = self.starved(cluster, job, counts.held, at_limit);
        if starved {
            // Nobody waits without bound: it begins with a few tasks before others go on, or
            // with all if it runs whole or not at all.
            rank = rank.min(STARVED_RANK);
            weight = weight.max(STARVED_WEIGHT);
            if !gang {
                tries = tries.min(job.spec.task_count.div_ceil(STARVED_PART));
            }
        }
        // What is reserved for such gangs is of no use to others.
        let reserved_for = gang && tries > 0;
        Demand {
            job: id,
            rank,
            weight,
            curve: if gang { ValueCurve::Step } else { ValueCurve::Concave { gain_ratio: FADE } },
            team,
            cores_per_task: Resources::of(&job.spec).cores,
            min_tasks: counts.held,
            max_tasks: counts.held + tries,
            required: starved || reserved_for || guaranteed,
        }
    }
}
