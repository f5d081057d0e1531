//! How often and when a machine gets a new term's fencing token in a direct message.

use crate::model::MonotonicTime;

/// How often a machine gets it: one that still does not show it gets no more than the responses to its heartbeats.
const ANNOUNCEMENTS: u32 = 4;

/// Time before the second announcement, which doubles for each later one, in milliseconds.
const ANNOUNCE_AGAIN_MS: u64 = 1_500;

/// The announcements of a term to one machine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TermAnnouncement {
    pub(super) times: u32,
    /// When the last one was made.
    pub(super) at: MonotonicTime,
}

impl TermAnnouncement {
    /// Whether the machine gets no more of them.
    pub(super) fn is_exhausted(&self) -> bool {
        self.times >= ANNOUNCEMENTS
    }

    /// Whether the next one is due.
    pub(super) fn is_due(&self, now: MonotonicTime) -> bool {
        self.times == 0 || now.since(self.at) >= ANNOUNCE_AGAIN_MS << (self.times - 1)
    }

    /// The value after one more.
    pub(super) fn repeated(&self, now: MonotonicTime) -> Self {
        TermAnnouncement { times: self.times + 1, at: now }
    }

    /// Has the next one be due at once.
    pub(super) fn expedite(&mut self) {
        self.at = self.at.saturating_sub(ANNOUNCE_AGAIN_MS << ANNOUNCEMENTS);
    }
}
