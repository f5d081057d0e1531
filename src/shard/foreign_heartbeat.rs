//! Heartbeats of machines that this node does not own, and machines that an isolated node sends away.
//!
//! Such a machine gets kills and keeps its lease, but nothing starts on it here.

use super::redirect::{ForeignMachineRecord, Redirected, Route};
use super::unconfirmed_token::UnconfirmedToken;
use super::{HeartbeatOutcome, Shard, ShardContext};
use crate::config::HeartbeatTiming;
use crate::model::{MachineId, MonotonicTime, NodeId};
use crate::wire::Heartbeat;

/// Time for which an isolated node does not send a machine away again, in milliseconds: every try takes from the
/// worker's lease.
pub(super) const SENT_AWAY_MS: u64 = 20_000;

impl Shard {
    /// Redirects a heartbeat to the controller of that index; refuses it if there is none.
    pub(super) fn redirect_to(&self, context: &ShardContext<'_>, node: usize) -> HeartbeatOutcome {
        let name = context.nodes.get(node).map(|n| n.name.clone());
        name.map_or(HeartbeatOutcome::Refuse, HeartbeatOutcome::Redirect)
    }

    /// Whether an isolated node sends a machine of its own to another controller now.
    pub(super) fn may_send_away(&mut self, now: MonotonicTime, id: &MachineId) -> bool {
        if self.sent_away_at.get(id).is_some_and(|at| now.since(*at) < SENT_AWAY_MS) {
            return false;
        }
        self.sent_away_at.insert(id.clone(), now);
        true
    }

    /// Whether a machine may get a response, as far as it is known to receive them.
    pub(super) fn may_get_response(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> bool {
        let (now, id, agent_epoch) = (context.now, &heartbeat.machine, heartbeat.agent_epoch);
        let unconfirmed = &mut self.term_state.unconfirmed_tokens;
        if heartbeat.token == self.term_state.term {
            unconfirmed.remove(id);
            return true;
        }
        unconfirmed
            .entry(id.clone())
            .or_insert_with(|| UnconfirmedToken::probe(now, agent_epoch))
            .admit(now, id, agent_epoch, context.lease_ms)
    }

    /// Handles the heartbeat of a machine that another node owns.
    pub(super) fn on_heartbeat_of(
        &mut self,
        owner: NodeId,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        match self.route(context.now, &context.timing, &heartbeat.machine) {
            Route::ToOwner => self.redirect_to(context, usize::from(owner.0)),
            Route::KeepAlive => self.on_foreign_heartbeat(context, heartbeat, false),
            Route::OwnerUnreachable => self.on_foreign_heartbeat(context, heartbeat, true),
        }
    }

    /// Where the heartbeat of another shard's machine goes.
    fn route(&mut self, now: MonotonicTime, timing: &HeartbeatTiming, id: &MachineId) -> Route {
        let foreign = self.term_state.foreign_machines.get(id);
        if foreign.is_some_and(|record| record.is_owner_unreachable(now, timing)) {
            return Route::OwnerUnreachable;
        }
        let redirects = &mut self.term_state.redirects;
        if let Some(redirected) = redirects.get_mut(id).filter(|r| r.counts(now, timing)) {
            return redirected.on_return(now);
        }
        redirects.insert(id.clone(), Redirected::first(now));
        Route::ToOwner
    }

    /// Keeps a worker alive that this node does not own.
    pub(super) fn on_foreign_heartbeat(
        &mut self,
        context: &ShardContext<'_>,
        heartbeat: &Heartbeat,
        owner_unreachable: bool,
    ) -> HeartbeatOutcome {
        let now = context.now;
        let shows_token = heartbeat.token == self.term_state.term;
        let record =
            self.term_state.foreign_machines.entry(heartbeat.machine.clone()).or_insert_with(
                || ForeignMachineRecord {
                    machine_type: heartbeat.machine_type.clone(),
                    zone: heartbeat.zone.clone(),
                    spot: heartbeat.spot,
                    unreachable_since: None,
                    last_heartbeat: now,
                    shows_token: false,
                },
            );
        record.last_heartbeat = now;
        if owner_unreachable {
            record.unreachable_since.get_or_insert(now);
        }
        self.summary_due |= shows_token && !record.shows_token;
        record.shows_token = shows_token;
        let commands = self.kills(context.replica, &heartbeat.machine, &heartbeat.tasks);
        self.respond(context, heartbeat, false, commands)
    }
}
