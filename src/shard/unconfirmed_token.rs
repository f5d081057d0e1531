//! Machines whose heartbeats have not shown the term's fencing token yet.
//!
//! A machine that never shows the token does not receive the responses sent to it, or its old heartbeats are
//! being replayed. In both cases its heartbeats must not make the leader consider it alive, since no proof of
//! where its tasks are could ever arrive. The machine therefore gets no response for longer than a worker's
//! lease, which proves that its tasks have ended.

use crate::model::{AgentEpoch, MachineId, MonotonicTime};

/// Number of responses sent to a machine that does not show the token before it is presumed not to receive
/// them. A single lost response proves nothing.
const PROBE_RESPONSES_MIN: u32 = 3;

/// Minimum time in milliseconds over which these responses are sent. Delayed heartbeats arrive in a burst, so
/// the number of responses alone is not enough.
const PROBE_DURATION_MIN_MS: u64 = 3_500;

/// Time in milliseconds for which responses are refused in addition to the worker's lease. Covers clock drift
/// and messages in flight.
const REFUSAL_MARGIN_MS: u64 = 4_000;

/// Response state, in one term, of a machine that has not shown the token.
///
/// - The first heartbeat without the token starts `Probing`.
/// - `Probing` becomes `Refused` if the token is still missing after `PROBE_RESPONSES_MIN` responses over
///   more than `PROBE_DURATION_MIN_MS`. It also becomes `Refused` if the agent epoch has risen after a response: the
///   worker's lease expired despite that response.
/// - `Refused` becomes `Probing` again at the first heartbeat after its end, as for the first heartbeat
///   without the token.
/// - A heartbeat with the token removes the state.
#[derive(Clone, Debug)]
pub(super) enum UnconfirmedToken {
    /// The machine gets responses, which are counted.
    Probing { since: MonotonicTime, agent_epoch: AgentEpoch, responses: u32 },
    /// The machine gets no response before `until`.
    Refused { until: MonotonicTime },
}

impl UnconfirmedToken {
    /// Starts probing a machine in its present agent epoch, with no response sent.
    pub(super) fn probe(now: MonotonicTime, agent_epoch: AgentEpoch) -> Self {
        UnconfirmedToken::Probing { since: now, agent_epoch, responses: 0 }
    }

    /// Whether a heartbeat without the token gets a response. Counts the response if so.
    pub(super) fn admit(
        &mut self,
        now: MonotonicTime,
        machine: &MachineId,
        agent_epoch: AgentEpoch,
        lease_ms: u64,
    ) -> bool {
        if let UnconfirmedToken::Refused { until } = self {
            if *until > now {
                return false;
            }
            *self = UnconfirmedToken::probe(now, agent_epoch);
        }
        let UnconfirmedToken::Probing { since, agent_epoch: first_epoch, responses } = self else {
            return false;
        };
        let is_unconfirmed =
            *responses >= PROBE_RESPONSES_MIN && now.since(*since) > PROBE_DURATION_MIN_MS;
        if is_unconfirmed || (*responses > 0 && agent_epoch > *first_epoch) {
            *self = UnconfirmedToken::Refused { until: now.plus(lease_ms + REFUSAL_MARGIN_MS) };
            tracing::info!(%machine, "responses did not reach the machine; refusing its heartbeats until its lease has expired");
            return false;
        }
        *responses += 1;
        true
    }
}
