//! Machines of other parts that report here: sent to their owner, or kept alive if they cannot reach it.

use super::{HeartbeatOutcome, Shard, ShardContext};
use crate::config::HeartbeatTiming;
use crate::model::{AgentEpoch, MachineId, MonotonicTime};
use crate::wire::{Heartbeat, HeartbeatResponse};

/// Answers that a machine gets without showing this term's token before it is taken for deaf.
const DEAF_ANSWERS: u32 = 3;

/// Least time over which it must have got them.
const DEAF_MS: u64 = 3_500;

/// A machine that is back from its owner before that was refused; others timed out.
const REFUSED_MS: u64 = 3_500;

/// How often a machine is sent to an owner that refuses it, and how long it waits in between.
const REDIRECTS: u32 = 3;

const AGAIN_MS: u64 = 1_500;

/// Time for which an isolated node does not send a machine away again.
pub(super) const RELEASED_MS: u64 = 20_000;

/// When a machine was last sent to its owner.
#[derive(Clone, Debug)]
pub(super) struct Redirected {
    pub(super) at: MonotonicTime,
    pub(super) tries: u32,
    /// Whether it has reported here since.
    pub(super) seen: bool,
}

/// What to do with a machine of another part.
pub(super) enum Route {
    /// Send it to its owner.
    Send,
    /// Keep it alive until it is sent again.
    Keep,
    /// Keep it alive: it cannot reach its owner.
    Cut,
}

/// How a machine that has not shown this term's token was answered in it.
#[derive(Clone, Debug)]
pub(super) struct UnconfirmedToken {
    pub(super) first: MonotonicTime,
    pub(super) agent_epoch: AgentEpoch,
    pub(super) answers: u32,
    pub(super) refuse_until: MonotonicTime,
}

#[derive(Clone, Debug)]
pub(super) struct ForeignMachineRecord {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// When it came back from being sent to its owner, which it cannot reach then.
    pub(super) back: Option<MonotonicTime>,
    pub(super) last: MonotonicTime,
    /// Whether it showed this term's token, which no late copy from before does.
    pub(super) hears: bool,
}

impl Shard {
    pub(super) fn redirect_to(&self, context: &ShardContext<'_>, node: usize) -> HeartbeatOutcome {
        let name = context.nodes.get(node).map(|n| n.name.clone());
        name.map_or(HeartbeatOutcome::Refuse, HeartbeatOutcome::Redirect)
    }

    /// Whether an isolated node sends a machine of its own away: not again for a while, as every
    /// try takes from the worker's lease.
    pub(super) fn may_send_away(&mut self, now: MonotonicTime, id: &MachineId) -> bool {
        if self.sent_away_at.get(id).is_some_and(|at| now.since(*at) < RELEASED_MS) {
            return false;
        }
        self.sent_away_at.insert(id.clone(), now);
        true
    }

    /// Whether a machine may be taken to hear its answers. One that never shows the token is
    /// deaf, or somebody repeats old reports of it: it gets no answer for a whole lease, so
    /// that its tasks are proven gone and no proof waits for it.
    pub(super) fn may_get_response(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> bool {
        if heartbeat.token == self.term_state.term {
            self.term_state.unconfirmed_tokens.remove(&heartbeat.machine);
            return true;
        }
        let now = context.now;
        let fresh = UnconfirmedToken {
            first: now,
            agent_epoch: heartbeat.agent_epoch,
            answers: 0,
            refuse_until: MonotonicTime(0),
        };
        let u = self
            .term_state
            .unconfirmed_tokens
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| fresh.clone());
        if u.refuse_until > now {
            return false;
        }
        if u.refuse_until > MonotonicTime(0) {
            *u = fresh; // It gets another chance.
        }
        let ignored = u.answers >= DEAF_ANSWERS && now.since(u.first) > DEAF_MS;
        if ignored || (u.answers > 0 && heartbeat.agent_epoch > u.agent_epoch) {
            u.refuse_until = now.plus(context.lease_ms + 4_000);
            tracing::info!(machine = %heartbeat.machine, "does not hear its answers");
            return false;
        }
        u.answers += 1;
        true
    }

    /// What to do with a machine of another part: it is sent to its owner. If it comes back
    /// late, the owner cannot be reached. If it comes back at once, the owner refuses, as one
    /// does that has just started, so after an answer here it is sent there again.
    pub(super) fn route(
        &mut self,
        now: MonotonicTime,
        timing: &HeartbeatTiming,
        id: &MachineId,
    ) -> Route {
        let again_ms = timing.out_of_reach_ms + 5_000;
        let stray = self.term_state.foreign_machines.get(id);
        if stray
            .is_some_and(|s| s.back.is_some() && now.since(s.last) < timing.out_of_reach_ms + 2_000)
        {
            return Route::Cut;
        }
        let Some(r) = self.term_state.redirects.get_mut(id).filter(|r| now.since(r.at) < again_ms)
        else {
            self.term_state
                .redirects
                .insert(id.clone(), Redirected { at: now, tries: 1, seen: false });
            return Route::Send;
        };
        let gone_for = now.since(r.at);
        if (!r.seen && gone_for >= REFUSED_MS) || r.tries >= REDIRECTS {
            return Route::Cut;
        }
        if !std::mem::replace(&mut r.seen, true) || gone_for < AGAIN_MS {
            return Route::Keep;
        }
        *r = Redirected { at: now, tries: r.tries + 1, seen: false };
        Route::Send
    }

    /// Keeps a worker alive that this node does not own: no starts, but kills and news.
    pub(super) fn on_foreign_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        cut: bool,
    ) -> HeartbeatOutcome {
        let now = context.now;
        let hears = heartbeat.token == self.term_state.term;
        let record =
            self.term_state.foreign_machines.entry(heartbeat.machine.clone()).or_insert_with(
                || ForeignMachineRecord {
                    machine_type: heartbeat.machine_type.clone(),
                    zone: heartbeat.zone.clone(),
                    spot: heartbeat.spot,
                    back: None,
                    last: now,
                    hears: false,
                },
            );
        record.last = now;
        if cut {
            record.back.get_or_insert(now);
        }
        self.summary_due |= hears && !record.hears;
        record.hears = hears;
        self.responded_at.insert(heartbeat.machine.clone(), now);
        let commands = self.kills(context.replica, &heartbeat.machine, &heartbeat.tasks);
        self.log_response(context, heartbeat, false, &commands);
        HeartbeatOutcome::Respond(HeartbeatResponse { token: self.term_state.term, commands })
    }
}
