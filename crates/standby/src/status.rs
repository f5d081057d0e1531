//! The status of a controller's warm standby for operators: JSON, and the lines that the command line prints
//! (`docs/standby.md`). The JSON field names and the texts of the lines are a stable interface.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::failover::Failover;

/// The longest duration that a histogram records, in milliseconds. Longer durations are recorded as this value.
const MAX_RECORDABLE_MS: u64 = 600_000;

/// A controller's role in the warm standby.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The controller leads.
    Leader,
    /// The controller follows the leader's decisions and may replace the leader.
    Standby,
    /// The controller follows the leader's decisions, but the settings do not allow it to replace the leader.
    Observer,
}

/// A completed failover and the duration of each phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverStatus {
    /// The term that this controller took.
    pub term: u64,
    /// What started the failover.
    pub cause: String,
    /// Milliseconds from the suspicion until the fencing transaction was sent.
    pub agreeing_ms: u64,
    /// Milliseconds from sending the fencing transaction until its response or, if that was first, until the replica
    /// showed the term.
    pub fencing_ms: u64,
    /// Milliseconds from the response until the replica showed the term; 0 if the replica showed it first.
    pub catching_up_ms: u64,
    /// Milliseconds from the replica showing the term until the mirrored decisions had been compared with the replica.
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

/// Results of comparing the mirrored records with the replica in a failover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerificationCounts {
    /// Records that the replica confirmed.
    pub confirmed: u64,
    /// Records that the replica did not confirm; they were dropped.
    pub dropped: u64,
    /// Records that the replica can neither confirm nor refute; they are used as hints only.
    pub hints: u64,
}

/// The status of a controller's warm standby.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The controller's name.
    pub controller: String,
    /// The controller's role.
    pub role: Role,
    /// The phase of the controller's failover.
    pub phase: String,
    /// The newest term that the controller knows.
    pub term: u64,
    /// The leader's name; `None` if the controller knows no leader.
    pub leader: Option<String>,
    /// Milliseconds since the leader's last heartbeat; `None` while this controller leads or follows no leader.
    pub leader_silent_ms: Option<u64>,
    /// The suspicion level of the failure detector, see [`crate::detector`]; 0 while this controller leads.
    pub phi: f64,
    /// The number of the leader's known decisions that the copy lacks.
    pub lag_records: u64,
    /// Age of the newest decision in the copy, in seconds; 0 if the copy lacks none.
    pub lag_s: f64,
    /// The number of entries of the copy or, on the leader, of the state of its decision log.
    pub entries: usize,
    /// How often the copy did not match the leader's state.
    pub divergences: u64,
    /// The number of malformed batches.
    pub malformed: u64,
    /// Why the controller last returned to following.
    #[serde(rename = "last_back")]
    pub last_stand_down: Option<String>,
    /// The last failover that this controller completed.
    #[serde(rename = "last_takeover")]
    pub last_failover: Option<FailoverStatus>,
    /// The results of comparing the mirrored records with the replica in the last failover.
    pub verification: VerificationCounts,
    /// The number of actions that this controller abandoned because it no longer led.
    pub refused_actions: u64,
}

impl Status {
    /// The status as lines of text.
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
            let counts = self.verification;
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
                counts.confirmed, counts.dropped, counts.hints
            ));
        }
        lines
    }
}

/// A histogram of durations in milliseconds.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        // This bound with 3 significant digits is always valid. Without a bound, the histogram would be resizable.
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

    /// The number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The duration in milliseconds that `percent` percent of the recorded durations do not exceed.
    pub fn percentile(&self, percent: f64) -> u64 {
        self.0.value_at_percentile(percent)
    }

    /// The longest recorded duration in milliseconds.
    pub fn max(&self) -> u64 {
        self.0.max()
    }
}

#[cfg(test)]
mod tests;
