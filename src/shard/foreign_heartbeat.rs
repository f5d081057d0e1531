//! Heartbeats of machines that this controller does not own, and redirects by an isolated controller.
//!
//! A foreign machine gets kills and keeps its lease, but this controller starts nothing on it.

use super::redirect::{ForeignMachineRecord, RedirectState, Route};
use super::unconfirmed_token::UnconfirmedToken;
use super::{HeartbeatOutcome, Shard, ShardContext};
use crate::config::HeartbeatTiming;
use crate::model::{MachineId, MonotonicTime, NodeId};
use crate::wire::Heartbeat;

/// Minimum time in milliseconds between two redirects of the same own machine by an isolated controller.
/// Every redirect uses up part of the worker's lease.
pub(super) const ISOLATION_REDIRECT_INTERVAL_MIN_MS: u64 = 20_000;

impl Shard {
    /// Redirects a heartbeat to the controller with index `node`. Refuses the heartbeat if there is no such
    /// controller.
    pub(super) fn redirect_to(&self, context: &ShardContext<'_>, node: usize) -> HeartbeatOutcome {
        let name = context.nodes.get(node).map(|n| n.name.clone());
        name.map_or(HeartbeatOutcome::Refuse, HeartbeatOutcome::Redirect)
    }

    /// Whether this controller, being isolated, redirects one of its own machines now. Records the redirect
    /// if so.
    pub(super) fn allow_isolation_redirect(&mut self, now: MonotonicTime, id: &MachineId) -> bool {
        if self
            .isolation_redirected_at
            .get(id)
            .is_some_and(|at| now.since(*at) < ISOLATION_REDIRECT_INTERVAL_MIN_MS)
        {
            return false;
        }
        self.isolation_redirected_at.insert(id.clone(), now);
        true
    }

    /// Whether a machine may get a response: it shows the term's token, or is not presumed to miss its responses.
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

    /// Handles the heartbeat of a machine that another controller owns.
    pub(super) fn redirect_or_respond(
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

    /// Chooses how to handle the heartbeat of a machine that another controller owns. Records a redirect to
    /// the owner.
    fn route(&mut self, now: MonotonicTime, timing: &HeartbeatTiming, id: &MachineId) -> Route {
        let foreign = self.term_state.foreign_machines.get(id);
        if foreign.is_some_and(|record| record.is_owner_unreachable(now, timing)) {
            return Route::OwnerUnreachable;
        }
        let redirects = &mut self.term_state.redirects;
        if let Some(redirect) = redirects.get_mut(id).filter(|r| r.is_current(now, timing)) {
            return redirect.on_return(now);
        }
        redirects.insert(id.clone(), RedirectState::first(now));
        Route::ToOwner
    }

    /// Records and responds to a foreign machine, which renews its worker's lease.
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
                    last_heartbeat_at: now,
                    shows_token: false,
                },
            );
        record.last_heartbeat_at = now;
        if owner_unreachable {
            record.unreachable_since.get_or_insert(now);
        }
        self.summary_due |= shows_token && !record.shows_token;
        record.shows_token = shows_token;
        let commands = self.kills(context.replica, &heartbeat.machine, &heartbeat.tasks);
        self.respond(context, heartbeat, false, commands)
    }
}
