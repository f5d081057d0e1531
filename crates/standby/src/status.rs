//! The status of a controller's warm standby, for operators: JSON, and the lines that the command line prints
//! (`docs/standby.md`). Names in the JSON and the texts of the lines are an interface and stay.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::failover::Failover;

/// Longest duration that a histogram distinguishes, in milliseconds; longer ones count as this.
const MAX_RECORDABLE_MS: u64 = 600_000;

/// A controller's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It leads.
    Leader,
    /// It follows the leader's decisions and may replace it.
    Standby,
    /// It follows, but may not replace the leader.
    Observer,
}

/// A completed failover and how long its phases took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverStatus {
    /// The term that was taken.
    pub term: u64,
    /// What started it.
    pub cause: String,
    /// Milliseconds from the suspicion until the transaction was sent.
    pub agreeing_ms: u64,
    /// Milliseconds from there until its response.
    pub fencing_ms: u64,
    /// Milliseconds from there until the replica showed the term.
    pub catching_up_ms: u64,
    /// Milliseconds from there until the mirrored decisions had been compared.
    pub verifying_ms: u64,
}

impl From<Failover> for FailoverStatus {
    fn from(failover: Failover) -> Self {
        let timeline = failover.timeline;
        FailoverStatus {
            term: failover.term.0,
            cause: failover.cause.to_string(),
            agreeing_ms: timeline.fencing.since(timeline.suspected),
            fencing_ms: timeline.fenced.since(timeline.fencing),
            catching_up_ms: timeline.caught_up.since(timeline.fenced),
            verifying_ms: timeline.verified.since(timeline.caught_up),
        }
    }
}

/// Mirrored records compared with the replica at a failover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerificationCounts {
    /// Records that the replica confirms.
    pub confirmed: u64,
    /// Records that it does not confirm, which were dropped.
    pub dropped: u64,
    /// Records about which it says nothing, used as hints only.
    pub hints: u64,
}

/// The status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The controller's name.
    pub controller: String,
    /// Its role.
    pub role: Role,
    /// The phase of its failover.
    pub phase: String,
    /// The newest term that it knows.
    pub term: u64,
    /// The leader's name; `None` if it knows no leader.
    pub leader: Option<String>,
    /// Milliseconds since the leader's last heartbeat; `None` while this controller leads, or before the first one.
    pub leader_silent_ms: Option<u64>,
    /// How improbable that silence is, see [`crate::detector`].
    pub phi: f64,
    /// Decisions that the copy lacks.
    pub lag_records: u64,
    /// Age of the newest decision in the copy, in seconds; 0 if it lacks none.
    pub lag_s: f64,
    /// Entries of the copy, or of the leader's own log.
    pub entries: usize,
    /// Copies that did not match the leader's state.
    pub divergences: u64,
    /// Malformed batches.
    pub malformed: u64,
    /// Why it last went back to following.
    #[serde(rename = "last_back")]
    pub last_stand_down: Option<String>,
    /// The last failover that this controller completed.
    #[serde(rename = "last_takeover")]
    pub last_failover: Option<FailoverStatus>,
    /// What the last failover found of the mirrored records.
    pub verification: VerificationCounts,
    /// Actions that this controller gave up because it no longer led.
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
        if let Some(reason) = &self.last_stand_down {
            lines.push(format!("back to following: {reason}"));
        }
        if let Some(failover) = &self.last_failover {
            let found = self.verification;
            lines.push(format!(
                "last takeover: term {}, {}; agreeing {} ms, fencing {} ms, catching up {} ms, verifying {} ms",
                failover.term,
                failover.cause,
                failover.agreeing_ms,
                failover.fencing_ms,
                failover.catching_up_ms,
                failover.verifying_ms
            ));
            lines.push(format!(
                "mirrored records: {} confirmed, {} dropped, {} hints",
                found.confirmed, found.dropped, found.hints
            ));
        }
        lines
    }
}

/// The distribution of many durations.
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
    /// Records a duration in milliseconds.
    pub fn record(&mut self, ms: u64) {
        self.0.saturating_record(ms);
    }

    /// How many were recorded.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The duration in milliseconds that so many percent of them do not exceed.
    pub fn percentile(&self, percent: f64) -> u64 {
        self.0.value_at_percentile(percent)
    }

    /// The longest one in milliseconds.
    pub fn max(&self) -> u64 {
        self.0.max()
    }
}

#[cfg(test)]
mod tests;
