//! Importance of jobs: their rank, the weight of their first task, and whether they are within the
//! guarantee of their team.

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

/// Slack up to this share of the deadline does not reduce a job's importance. Slack is the time that is left
/// until the deadline, less the expected run time of one task. The deadline counts from the job's acceptance.
const AMPLE_SLACK_SHARE: f64 = 0.5;

/// Share of its importance that a job loses when its slack is as long as its deadline.
const MAX_SLACK_DISCOUNT: f64 = 0.3;

/// Gain of each further task of a job, relative to the task before it.
const MARGINAL_GAIN_RATIO: f64 = 0.995;

/// A starved array or service begins with its number of tasks divided by this, rounded up.
const STARVED_TASKS_DIVISOR: u32 = 8;

/// Returns the rank of a priority; 1 is the most urgent.
pub(super) fn rank(priority: Priority) -> u32 {
    match priority {
        Priority::Critical => 1,
        Priority::High => 2,
        Priority::Normal => 3,
        Priority::BestEffort => 4,
    }
}

/// Returns the seconds after acceptance within which a job should be done: its own deadline, or else the
/// strictest objective in the settings for its class. `None` if there is neither.
pub(super) fn deadline_s(settings: &Settings, spec: &wire::JobSpec) -> Option<f64> {
    spec.deadline_s.or_else(|| {
        let class_objectives = settings.params.objectives.iter().filter(|objective| {
            objective.kind == ObjectiveKind::Finished
                && objective.class.as_deref() == Some(spec.class.as_str())
        });
        class_objectives.filter_map(|objective| objective.within_s).min_by(f64::total_cmp)
    })
}

/// Returns the importance per core of a job's first task. Priority counts most. Within a priority, work that is
/// close to its deadline and can still meet it counts more, and so does work within the guarantee of
/// its team (`guaranteed`). `run_s` is the expected run time of a task; all times are in seconds.
pub(super) fn weight(cluster: &ClusterView<'_>, job: &Job, run_s: f64, guaranteed: bool) -> f64 {
    let base = match job.spec.priority {
        Priority::Critical => 64.0,
        Priority::High => 16.0,
        Priority::Normal => 4.0,
        Priority::BestEffort => 1.0,
    };
    let age = cluster.wall.0.saturating_sub(job.at.0) as f64 / 1000.0;
    let time_factor = match deadline_s(cluster.settings, &job.spec) {
        Some(due) => {
            let due = due.max(1.0);
            let work = f64::from(job.remaining()) * run_s / due;
            match due - age - run_s {
                // The deadline is missed by far, so work that can still meet its own goes first. With age
                // the factor outgrows that of other work, so that late work does not wait without bound.
                slack if slack < -0.5 * due => 0.6 + ((age - 2.0 * due) / 60.0).clamp(0.0, 6.0),
                slack if slack < 0.0 => 0.8,
                // Among jobs that can meet their deadline, those with little work go first, as more jobs
                // meet it that way. Jobs with ample slack can wait.
                slack => slack_factor(slack / due) * (1.0 + (1.0 + 0.3 * age / due) / (0.3 + work)),
            }
        }
        None => 1.0 + age / 600.0,
    };
    base * time_factor * if guaranteed { 1.5 } else { 1.0 }
}

/// Returns the share of its importance that a job keeps. `slack` is its slack as a share of its deadline.
fn slack_factor(slack: f64) -> f64 {
    let beyond = ((slack - AMPLE_SLACK_SHARE) / (1.0 - AMPLE_SLACK_SHARE)).clamp(0.0, 1.0);
    1.0 - MAX_SLACK_DISCOUNT * beyond
}

/// Returns the jobs that fit into the guarantee of their team along with the team's earlier unfinished jobs.
fn within_guarantees(cluster: &ClusterView<'_>) -> HashSet<JobId> {
    let mut headroom: HashMap<&str, Cores> = cluster
        .settings
        .params
        .teams
        .iter()
        .filter(|team| team.guaranteed_vcpus > 0.0)
        .map(|team| (team.name.as_str(), Cores::round_down(team.guaranteed_vcpus)))
        .collect();
    let mut jobs: Vec<&Job> = cluster.replica.jobs.values().collect();
    jobs.sort_by_key(|job| (job.at, job.spec.id));
    let mut guaranteed = HashSet::new();
    for job in jobs {
        let tasks = match job.spec.kind {
            JobKind::Array | JobKind::Gang => job.remaining(),
            JobKind::Service => job.spec.task_count,
        };
        let need = Cores(Resources::of(&job.spec).cores.0 * u64::from(tasks));
        if let Some(left) = headroom.get_mut(job.spec.team.as_str())
            && need <= *left
        {
            *left = left.saturating_sub(need);
            guaranteed.insert(job.spec.id);
        }
    }
    guaranteed
}

/// State of jobs and teams that admission demands are computed from.
pub(super) struct AdmissionContext<'a> {
    /// Number of held and unresolved tasks, by job.
    pub(super) counts: &'a JobTaskCounts,
    /// Jobs that at least one controller reports as failing wherever they are tried.
    pub(super) failing: &'a HashSet<JobId>,
    /// Whether each team is at its limit, by the team's index in the settings.
    pub(super) at_limit: &'a [bool],
}

/// Properties of a job's demand that depend on its team and on other jobs.
#[derive(Clone, Copy)]
struct DemandTerms {
    /// Index of the job's team in the settings.
    team: usize,
    /// Rank of the job; 1 is the most urgent.
    rank: u32,
    /// Whether the job is within the guarantee of its team.
    guaranteed: bool,
}

impl Leader {
    /// Returns the expected run time of a task in seconds: its team's estimate, corrected by the ratio of
    /// actual to estimated run times in its class. The ratio is limited to between 0.3 and 3.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        let class = self.retained.class_run_times.get(&job.spec.class);
        let ratio = class.map_or(1.0, ClassRunTimes::ratio);
        job.spec.estimated_run_s.max(1.0) * ratio.clamp(0.3, 3.0)
    }

    /// Returns the admission demands of all unfinished jobs.
    pub(super) fn demands(
        &self,
        cluster: &ClusterView<'_>,
        context: &AdmissionContext<'_>,
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
            let terms = DemandTerms { team, rank, guaranteed: guaranteed.contains(id) };
            demands.push(self.demand(cluster, job, terms, context));
        }
        demands
    }

    /// Returns how many more tasks of a job could be granted now.
    fn additional_tasks(&self, job: &Job, counts: TaskCounts, failing: bool) -> u32 {
        if job.spec.kind == JobKind::Gang {
            return self.grantable_gang_tasks(job, counts);
        }
        let runnable = job.remaining().saturating_sub(counts.held + counts.unresolved);
        // A job that fails wherever it is tried keeps its weight, but only one of its tasks is tried.
        if failing { runnable.min(1) } else { runnable }
    }

    /// Returns the admission demand of one job.
    fn demand(
        &self,
        cluster: &ClusterView<'_>,
        job: &Job,
        terms: DemandTerms,
        context: &AdmissionContext<'_>,
    ) -> Demand {
        let DemandTerms { team, mut rank, guaranteed } = terms;
        let id = job.spec.id;
        let counts = context.counts.get(&id).copied().unwrap_or_default();
        let gang = job.spec.kind == JobKind::Gang;
        let mut weight = weight(cluster, job, self.expected_run_s(job), guaranteed);
        let mut additional_tasks =
            self.additional_tasks(job, counts, context.failing.contains(&id));
        let at_limit = context.at_limit.get(team).copied().unwrap_or(false);
        let starved = self.is_starved(cluster, job, counts.held, at_limit);
        if starved {
            // Bounds the wait of every job: it begins with a share of its tasks before other jobs get more,
            // or with all of them if it is a gang.
            rank = rank.min(STARVED_RANK);
            weight = weight.max(STARVED_WEIGHT);
            if !gang {
                additional_tasks =
                    additional_tasks.min(job.spec.task_count.div_ceil(STARVED_TASKS_DIVISOR));
            }
        }
        // Machines reserved for gangs are of no use to other jobs, so a gang that can start is required.
        let can_start_gang = gang && additional_tasks > 0;
        Demand {
            job: id,
            rank,
            weight,
            curve: if gang {
                ValueCurve::Step
            } else {
                ValueCurve::Concave { gain_ratio: MARGINAL_GAIN_RATIO }
            },
            team,
            cores_per_task: Resources::of(&job.spec).cores,
            min_tasks: counts.held,
            max_tasks: counts.held + additional_tasks,
            required: starved || can_start_gang || guaranteed,
        }
    }
}
