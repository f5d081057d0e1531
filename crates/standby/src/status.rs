//! What operators are shown of a controller's part in the warm standby.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::failover::{Failover, FailoverCause};

/// Longest duration that is told apart, in milliseconds.
const MAX_RECORDABLE_MS: u64 = 600_000;

/// A controller's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It leads.
    Leader,
    /// It follows the leader's decisions and may replace it.
    Standby,
    /// It may not replace the leader.
    Observer,
}

/// A failover and how long its phases took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverStatus {
    /// The term that was taken.
    pub term: u64,
    /// What started it.
    pub cause: String,
    /// Milliseconds from the suspicion until the transaction was sent.
    pub agreeing_ms: u64,
    /// Milliseconds until it was answered.
    pub fencing_ms: u64,
    /// Milliseconds until the replica showed the term.
    pub catching_up_ms: u64,
    /// Milliseconds until what was mirrored had been compared.
    pub verifying_ms: u64,
}

impl From<Failover> for FailoverStatus {
    fn from(failover: Failover) -> Self {
        let timeline = failover.timeline;
        let cause = match failover.cause {
            FailoverCause::Suspicion => "a majority did not hear the leader",
            FailoverCause::LeaseExpired => "the leader's lease ended",
        };
        FailoverStatus {
            term: failover.term.0,
            cause: cause.into(),
            agreeing_ms: timeline.fencing.since(timeline.suspected),
            fencing_ms: timeline.fenced.since(timeline.fencing),
            catching_up_ms: timeline.caught_up.since(timeline.fenced),
            verifying_ms: timeline.verified.since(timeline.caught_up),
        }
    }
}

/// Mirrored records compared with the state service at a failover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerificationCounts {
    /// Records that the state service confirms.
    pub confirmed: u64,
    /// Records that it does not, which were dropped.
    pub dropped: u64,
    /// Records of which it says nothing, used as hints only.
    pub hints: u64,
}

/// All that is shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The controller's name.
    pub controller: String,
    /// Its role.
    pub role: Role,
    /// Where it stands on the way to leading.
    pub phase: String,
    /// The term that it knows.
    pub term: u64,
    /// The leader's name, if it knows one.
    pub leader: Option<String>,
    /// Milliseconds since the leader was heard.
    pub leader_silent_ms: Option<u64>,
    /// How improbable that is, see [`crate::detector`].
    pub phi: f64,
    /// Decisions that the copy lacks.
    pub lag_records: u64,
    /// How old the newest decision in it is, if it lacks some, in seconds.
    pub lag_s: f64,
    /// Entries of the copy, or of the leader's own log.
    pub entries: usize,
    /// Copies that did not match the leader's.
    pub divergences: u64,
    /// Messages of decisions that could not be read.
    pub malformed: u64,
    /// Why it went back to following last.
    #[serde(rename = "last_back")]
    pub last_stand_down: Option<String>,
    /// The last failover.
    #[serde(rename = "last_takeover")]
    pub last_failover: Option<FailoverStatus>,
    /// What the last failover found of the mirrored records.
    pub verification: VerificationCounts,
    /// Actions of this controller that were refused because it no longer led.
    pub refused_actions: u64,
}

impl Status {
    /// The lines that operators read.
    pub fn lines(&self) -> Vec<String> {
        let role = match self.role {
            Role::Leader => "leader",
            Role::Standby => "standby",
            Role::Observer => "observer (may not replace the leader)",
        };
        let leader = self.leader.as_deref().unwrap_or("unknown");
        let silent =
            self.leader_silent_ms.map_or("never heard".into(), |ms| format!("heard {ms} ms ago"));
        let mut lines = vec![
            format!("{}: {role}, {}, term {}", self.controller, self.phase, self.term),
            format!("leader: {leader}, {silent}, phi {:.1}", self.phi),
            format!(
                "decisions: {} entries, {} records and {:.1} s behind, {} divergences, {} malformed",
                self.entries, self.lag_records, self.lag_s, self.divergences, self.malformed
            ),
            format!("refused actions of an old leader: {}", self.refused_actions),
        ];
        if let Some(back) = &self.last_stand_down {
            lines.push(format!("back to following: {back}"));
        }
        if let Some(t) = &self.last_failover {
            let v = self.verification;
            lines.push(format!(
                "last takeover: term {}, {}; agreeing {} ms, fencing {} ms, catching up {} ms, verifying {} ms",
                t.term, t.cause, t.agreeing_ms, t.fencing_ms, t.catching_up_ms, t.verifying_ms
            ));
            lines.push(format!(
                "mirrored records: {} confirmed, {} dropped, {} hints",
                v.confirmed, v.dropped, v.hints
            ));
        }
        lines
    }
}

/// How long something took over many times.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        // These bounds and three digits are always valid; without them the histogram would resize itself.
        DurationHistogram(
            Histogram::new_with_max(MAX_RECORDABLE_MS, 3).unwrap_or_else(|_| unreachable!()),
        )
    }
}

impl DurationHistogram {
    /// Notes one duration in milliseconds.
    pub fn note(&mut self, ms: u64) {
        self.0.saturating_record(ms);
    }

    /// How many were noted.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The duration that so many of a hundred do not exceed.
    pub fn percentile(&self, percent: f64) -> u64 {
        self.0.value_at_percentile(percent)
    }

    /// The longest one.
    pub fn longest(&self) -> u64 {
        self.0.max()
    }
}

#[cfg(test)]
mod tests;
