//! Schedule of the direct messages that announce a new term's fencing token to a machine.

use crate::model::MonotonicTime;

/// Maximum number of announcements to a machine. A machine that still does not show the token gets it only in
/// the responses to its heartbeats.
const ANNOUNCEMENTS_MAX: u32 = 4;

/// Time between the first and the second announcement in milliseconds. It doubles for each later
/// announcement.
const ANNOUNCEMENT_BACKOFF_MS: u64 = 1_500;

/// The announcements of one term to one machine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TermAnnouncement {
    pub(super) count: u32,
    /// Time of the last announcement.
    pub(super) last_at: MonotonicTime,
}

impl TermAnnouncement {
    /// Whether the maximum number of announcements has been sent.
    pub(super) fn is_exhausted(&self) -> bool {
        self.count >= ANNOUNCEMENTS_MAX
    }

    /// Whether the next announcement is due.
    pub(super) fn is_due(&self, now: MonotonicTime) -> bool {
        self.count == 0 || now.since(self.last_at) >= ANNOUNCEMENT_BACKOFF_MS << (self.count - 1)
    }

    /// Returns the state after one more announcement at `now`.
    pub(super) fn after_announcement(&self, now: MonotonicTime) -> Self {
        TermAnnouncement { count: self.count + 1, last_at: now }
    }

    /// Makes the next announcement due at once.
    pub(super) fn expedite(&mut self) {
        self.last_at = self.last_at.less(ANNOUNCEMENT_BACKOFF_MS << ANNOUNCEMENTS_MAX);
    }
}
