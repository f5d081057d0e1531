//! Machines whose heartbeats have not shown the term's fencing token yet.
//!
//! A machine that never shows it does not receive its responses, or somebody repeats old heartbeats of it. Either way
//! its heartbeats must not keep it alive in the leader's eyes: no proof of where its tasks are could ever come. So it
//! gets no response for longer than a worker's lease, after which its tasks are proven to have ended.

use crate::model::{AgentEpoch, MachineId, MonotonicTime};

/// Responses that a machine gets without showing the token before it is taken not to receive them: a
/// single lost response proves nothing.
const UNCONFIRMED_RESPONSES: u32 = 3;

/// Least time over which it must have got them, in milliseconds: heartbeats that were held up come in a burst.
const UNCONFIRMED_MS: u64 = 3_500;

/// How much longer than a worker's lease it is refused, in milliseconds: for drift of clocks and messages under way.
const REFUSAL_MARGIN_MS: u64 = 4_000;

/// What a machine without the token gets in a term.
///
/// - The first heartbeat without the token begins `Probing`.
/// - `Probing` becomes `Refused` if responses went unnoticed (`UNCONFIRMED_RESPONSES` of them, over
///   `UNCONFIRMED_MS`), or if the agent epoch has risen after a response: then the worker's lease ran out in spite of it.
/// - `Refused` becomes `Probing` again with the first heartbeat after its end, as if that were the first of all.
/// - A heartbeat with the token ends either state: the value is dropped.
#[derive(Clone, Debug)]
pub(super) enum UnconfirmedToken {
    /// It gets responses, which are counted.
    Probing { since: MonotonicTime, agent_epoch: AgentEpoch, responses: u32 },
    /// It gets none before that time.
    Refused { until: MonotonicTime },
}

impl UnconfirmedToken {
    /// A machine of that agent epoch that has got no response yet.
    pub(super) fn probe(now: MonotonicTime, agent_epoch: AgentEpoch) -> Self {
        UnconfirmedToken::Probing { since: now, agent_epoch, responses: 0 }
    }

    /// Whether a heartbeat without the token gets a response, which is counted then.
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
        let unnoticed = *responses >= UNCONFIRMED_RESPONSES && now.since(*since) > UNCONFIRMED_MS;
        if unnoticed || (*responses > 0 && agent_epoch > *first_epoch) {
            *self = UnconfirmedToken::Refused { until: now.plus(lease_ms + REFUSAL_MARGIN_MS) };
            tracing::info!(%machine, "does not hear its answers");
            return false;
        }
        *responses += 1;
        true
    }
}
