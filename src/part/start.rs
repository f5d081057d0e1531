//! Which granted task starts on which machine of the part.

use std::collections::BTreeMap;
use std::rc::Rc;

use rustc_hash::FxHashSet;

use super::machine::{Held, Machine, Queued};
use super::{Part, Surroundings};
use crate::ledger::Ledger;
use crate::model::{Cores, JobId, MachineId, Steady, TaskId};
use crate::peer::Grant;
use crate::place;
use crate::place::{Need, Room};
use crate::wire::{JobSpec, Order, PieceStage, Urgency};

/// Longest time between two looks at where granted tasks are to start.
const ASSIGN_MS: u64 = 700;

/// Shortest time between two such looks that only a report asks for.
const ASSIGN_LEAST_MS: u64 = 60;

/// A type of machines, a zone, and whether they are spot machines.
pub(super) type MachineKind = (Rc<str>, Rc<str>, bool);

/// Granted tasks that are to start somewhere.
struct Wanted<'a> {
    tasks: Vec<(&'a Grant, Vec<TaskId>)>,
    /// Whether jobs that fail wait for their next try.
    pauses: bool,
}

/// For each kind of these machines, the most urgent open work that may use it.
fn most_urgent_by_kind(ledger: &Ledger, rooms: &[Room]) -> BTreeMap<MachineKind, Option<Urgency>> {
    let specs = || ledger.jobs.values().map(|j| &j.spec);
    let mut kinds = BTreeMap::new();
    for r in rooms {
        kinds
            .entry((r.hull.clone(), r.zone.clone(), r.spot))
            .or_insert_with(|| place::most_urgent(specs(), &r.hull, &r.zone, r.spot));
    }
    kinds
}

impl Part {
    /// Starts what is meant for a machine, after having looked anew where granted tasks are
    /// to go if anything speaks for that.
    pub(super) fn start_granted(
        &mut self,
        env: &Surroundings<'_>,
        id: &MachineId,
        freed: bool,
        orders: &mut Vec<Order>,
    ) {
        if !env.may_start {
            return;
        }
        let since = env.now.since(self.assigned);
        let waiting = self.unplaced || self.queued > 0 || !self.backlog.is_empty();
        let due =
            (freed && self.unplaced && since >= ASSIGN_LEAST_MS) || (waiting && since >= ASSIGN_MS);
        if self.assign || due {
            self.assign_granted(env, id);
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.queue.is_empty() && self.backlog.is_empty() {
            return;
        }
        let queue = std::mem::take(&mut machine.queue);
        self.queued = self.queued.saturating_sub(queue.len());
        let Some(mut room) = machine.room(id, env, !self.drained.contains(id)) else {
            return;
        };
        room.kept = self.body.kept.binary_search(id).is_ok();
        for q in queue {
            if !self.start(env, &mut room, &q, orders) {
                self.unplaced = true;
            }
        }
        self.start_backlog(env, &mut room, orders);
    }

    /// Starts what is granted ahead on a machine that has room and the images for it. What would have
    /// to fetch its image first is left to the next look at all machines.
    fn start_backlog(&mut self, env: &Surroundings<'_>, room: &mut Room, orders: &mut Vec<Order>) {
        if !room.open || room.free.cores == Cores(0) || self.backlog.is_empty() {
            return;
        }
        let mut backlog = std::mem::take(&mut self.backlog);
        backlog.retain(|task| {
            let job = env.ledger.jobs.get(&task.job);
            let Some(job) = job.filter(|j| self.may_try(env.now, j.spec.r#ref)) else {
                return false;
            };
            if room.free.cores == Cores(0)
                || !room.is_warm(&job.spec)
                || !self.is_first(&job.spec, room)
            {
                return true;
            }
            !self.start(env, room, &Queued { task: *task, attempt: None }, orders)
        });
        self.backlog = backlog;
    }

    /// Whether no job that is more urgent may use such machines.
    fn is_first(&self, spec: &JobSpec, room: &Room) -> bool {
        let kind = (room.hull.clone(), room.zone.clone(), room.spot);
        let most_urgent = self.most_urgent.get(&kind).copied().flatten();
        most_urgent.is_some_and(|urgency| spec.urgency <= urgency)
    }

    /// Orders a granted task to start on a machine, unless it has no room for it or the task is anywhere.
    pub(super) fn start(
        &mut self,
        env: &Surroundings<'_>,
        room: &mut Room,
        queued: &Queued,
        orders: &mut Vec<Order>,
    ) -> bool {
        let task = queued.task;
        let Some(job) = env.ledger.jobs.get(&task.job) else { return true };
        let need = Need::of(&job.spec);
        if !self.may_start(env.ledger, task)
            || !room.takes(&job.spec, &need, None)
            || self.machines.values().any(|m| m.tasks.contains_key(&task))
        {
            return false;
        }
        room.add(&job.spec, &need);
        let attempt = queued.attempt.unwrap_or_else(|| self.attempts.give());
        let Some(machine) = self.machines.get_mut(&room.id) else { return false };
        machine.remember_image(&job.spec);
        machine.tasks.insert(task, Held { attempt, stage: PieceStage::Unknown });
        machine.changed = self.number + 1;
        self.news = true;
        tracing::debug!(%task, machine = %room.id, %attempt, "starts");
        orders.push(Order::Start { piece: task, r#try: attempt });
        true
    }

    /// Whether a job's tasks may be tried now: one that fails pauses.
    fn may_try(&self, now: Steady, job: JobId) -> bool {
        self.faults.get(&job).is_none_or(|f| f.until <= now)
    }

    /// Whether a task is neither done nor known here to have completed.
    pub(super) fn may_start(&self, ledger: &Ledger, task: TaskId) -> bool {
        ledger.may_run(task)
            && !self.finished.get(&task.job).is_some_and(|f| f.tasks.contains(task.index))
    }

    /// Gives every granted task that is not on a machine the one where it is to start. It
    /// starts with that machine's next report, or in the answer to this one if it is the machine that
    /// `reporting` names. What finds no machine stands in the backlog.
    fn assign_granted(&mut self, env: &Surroundings<'_>, reporting: &MachineId) {
        self.assign = false;
        self.assigned = env.now;
        self.unplaced = false;
        self.backlog.clear();
        self.queued = 0;
        for m in self.machines.values_mut() {
            m.queue.clear();
        }
        let wanted = self.wanted(env, &self.body.grants);
        let ahead = self.wanted(env, &self.body.ahead);
        self.unplaced = wanted.pauses;
        if wanted.tasks.is_empty() && ahead.tasks.is_empty() {
            return;
        }
        let mut rooms = self.open_rooms(env, reporting);
        let mut queues: Vec<(MachineId, Queued)> = Vec::new();
        for (grant, tasks) in wanted.tasks {
            let Some(job) = env.ledger.jobs.get(&grant.job()) else { continue };
            let need = Need::of(&job.spec);
            let zone = grant.zone.as_deref();
            let chosen = match grant.attempt {
                Some(_) => place::pack_in(&job.spec, &need, &mut rooms, zone, tasks.len()),
                None => place::spread(&job.spec, &need, &mut rooms, zone, tasks.len()),
            };
            self.unplaced |= chosen.len() < tasks.len();
            let queued = tasks.into_iter().zip(chosen);
            queues.extend(
                queued.map(|(task, i)| {
                    (rooms[i].id.clone(), Queued { task, attempt: grant.attempt })
                }),
            );
        }
        if !ahead.tasks.is_empty() {
            self.most_urgent = most_urgent_by_kind(env.ledger, &rooms);
            for (grant, tasks) in ahead.tasks {
                let Some(job) = env.ledger.jobs.get(&grant.job()) else { continue };
                let need = Need::of(&job.spec);
                let mut first: Vec<Room> =
                    rooms.extract_if(.., |r| self.is_first(&job.spec, r)).collect();
                let chosen = place::spread(&job.spec, &need, &mut first, None, tasks.len());
                self.backlog.extend(tasks.iter().skip(chosen.len()));
                queues.extend(
                    tasks
                        .into_iter()
                        .zip(chosen)
                        .map(|(task, i)| (first[i].id.clone(), Queued { task, attempt: None })),
                );
                rooms.append(&mut first);
            }
        }
        self.queued = queues.len();
        for (id, q) in queues {
            if let Some(m) = self.machines.get_mut(&id) {
                m.queue.push(q);
            }
        }
    }

    /// The granted tasks that are neither on a machine nor done, most urgent first. Within an urgency
    /// the order of the grants holds.
    fn wanted<'a>(&self, env: &Surroundings<'_>, grants: &'a [Grant]) -> Wanted<'a> {
        let held: FxHashSet<TaskId> =
            self.machines.values().flat_map(|m| m.tasks.keys()).copied().collect();
        let mut pauses = false;
        let mut by_urgency: Vec<(Urgency, &Grant, Vec<TaskId>)> = Vec::new();
        for g in grants {
            let Some(job) = env.ledger.jobs.get(&g.job()) else { continue };
            if !self.may_try(env.now, g.job()) {
                pauses = true;
                continue;
            }
            let spent = |t: &TaskId| g.attempt.is_some_and(|a| self.spent.contains(&(*t, a)));
            let tasks: Vec<TaskId> = g
                .tasks
                .iter()
                .map(|index| TaskId { job: g.job(), index })
                .filter(|t| !held.contains(t) && self.may_start(env.ledger, *t) && !spent(t))
                .collect();
            if !tasks.is_empty() {
                by_urgency.push((job.spec.urgency, g, tasks));
            }
        }
        by_urgency.sort_by_key(|w| w.0);
        Wanted { tasks: by_urgency.into_iter().map(|(_, g, tasks)| (g, tasks)).collect(), pauses }
    }

    /// The machines that take new tasks now.
    fn open_rooms(&self, env: &Surroundings<'_>, reporting: &MachineId) -> Vec<Room> {
        let room = |(id, m): (&MachineId, &Machine)| {
            let mut room = m.room(id, env, !self.drained.contains(id))?;
            room.slow = self.body.slow.contains(id);
            room.kept = self.body.kept.binary_search(id).is_ok();
            room.delay_s = match id == reporting {
                true => 0.0,
                false => env.pace.delay_s(env.now.since(m.heard)),
            };
            Some(room).filter(|r| r.open)
        };
        self.machines.iter().filter_map(room).collect()
    }
}
