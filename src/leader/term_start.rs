//! How a term of the leader begins: with nothing granted, and all that earlier terms granted unresolved.

use std::collections::{BTreeMap, HashMap};

use rustc_hash::{FxHashMap, FxHashSet};

use super::Leader;
use crate::autoscaler::{self, MarketState};
use crate::cluster_view::ClusterView;
use crate::fleet::Fleet;
use crate::lease::AttemptAllocator;
use crate::model::{JobId, LEADERS_ATTEMPTS, MonotonicTime, PlanSeq, Ranges, TaskId, Term};

impl Leader {
    /// Begins a term. `before` is the same leader's state in its last term, if it led: what it
    /// knows of machines and the market stays, what it knows of tasks does not.
    pub fn begin(cluster: &ClusterView<'_>, term: Term, mut before: Option<Leader>) -> Self {
        let replica = cluster.replica;
        let old_fleet = before.as_mut().map(|l| {
            // Whoever led meanwhile may have returned machines and rented others.
            std::mem::replace(&mut l.fleet, Fleet::begin(cluster, None))
        });
        let mut recorded: FxHashMap<JobId, Ranges> = FxHashMap::default();
        for (job, ranges) in replica.epochs.values().flat_map(|(r, _)| &r.granted) {
            recorded.entry(*job).or_default().extend(ranges.iter());
        }
        let mut leader = Leader {
            term,
            began: cluster.now,
            seq: PlanSeq(0),
            fleet: Fleet::begin(cluster, old_fleet),
            granted: BTreeMap::new(),
            revoked: FxHashMap::default(),
            attempts: AttemptAllocator::new(term, LEADERS_ATTEMPTS),
            unresolved: replica.granted_before(),
            recorded,
            duplicated: FxHashSet::default(),
            ahead: FxHashSet::default(),
            bodies: BTreeMap::new(),
            job_statuses_sent: MonotonicTime(0),
            renew_term: None,
            rebalanced: MonotonicTime(0),
            market: MarketState::default(),
            wait_reasons: HashMap::new(),
            shares: BTreeMap::new(),
            runs: HashMap::new(),
            seen_running: FxHashMap::default(),
            job_runs: FxHashMap::default(),
            speeds: FxHashMap::default(),
            decision: autoscaler::ScalingDecision::default(),
            decided: None,
            machines_written: MonotonicTime(0),
            load_written: cluster.now,
            idle: FxHashMap::default(),
            gangs: FxHashMap::default(),
            pending_stops: BTreeMap::new(),
            reserved: Vec::new(),
            gang_images: FxHashMap::default(),
            spread_gangs: None,
        };
        if let Some((load, _)) = &replica.load {
            leader.market.load = load.clone();
        }
        if let Some(old) = before {
            if old.term.0 + 1 == term.0 {
                // Nobody led in between, so what this leader never granted is nowhere.
                leader.unresolved.retain(|t| !old.ahead.contains(t));
                leader.ahead = old.ahead;
            }
            // The record in the store may lag behind what this very leader granted.
            let may_run = |t: &TaskId| replica.may_run(*t);
            leader.unresolved.extend(old.granted.keys().copied().filter(may_run));
            leader.unresolved.extend(old.revoked.keys().copied().filter(may_run));
            leader.unresolved.extend(old.unresolved.iter().copied().filter(may_run));
            leader.rebalanced = old.rebalanced;
            leader.market = old.market;
            leader.runs = old.runs;
            leader.speeds = old.speeds;
            leader.gang_images = old.gang_images;
        }
        leader
    }
}
