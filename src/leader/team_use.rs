//! What a team may be using, in parts that each end by evidence of their own (`docs/safety.md`, "Limits, zones, kinds").

use std::fmt;

use crate::config::Team;
use crate::model::Cores;
use crate::resources::Resources;

/// An amount of what teams' limits restrict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Usage {
    /// Cores.
    pub(super) cores: Cores,
    /// Accelerators.
    pub(super) accelerators: Cores,
}

impl Usage {
    /// More than any limit allows.
    pub(super) const UNBOUNDED: Usage =
        Usage { cores: Cores(u64::MAX), accelerators: Cores(u64::MAX) };

    /// Counts tasks in that take `need` each.
    pub(super) fn add(&mut self, need: &Resources, tasks: u64) {
        self.cores.0 += need.cores.0 * tasks;
        self.accelerators.0 += need.accelerators.0 * tasks;
    }

    /// All that a machine offers.
    pub(super) fn of_machine(offered: &Resources) -> Self {
        Usage { cores: offered.cores, accelerators: offered.accelerators }
    }

    /// Both together.
    pub(super) fn plus(self, other: Usage) -> Usage {
        Usage {
            cores: Cores(self.cores.0.saturating_add(other.cores.0)),
            accelerators: Cores(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }

    /// The lower amount of each.
    pub(super) fn min(self, other: Usage) -> Usage {
        Usage {
            cores: self.cores.min(other.cores),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Whether it is more than the team's limit allows.
    pub(super) fn exceeds_limit(&self, team: &Team) -> bool {
        team.core_limit().is_some_and(|limit| self.cores > limit)
            || team.accelerator_limit().is_some_and(|limit| self.accelerators > limit)
    }
}

/// What a team may be using.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TeamUse {
    /// Tasks on reconciled machines, with those that were started and that no heartbeat has shown yet.
    pub(super) on_machines: Usage,
    /// Granted tasks that no machine shows.
    pub(super) granted: Usage,
    /// The same of grants that were revoked and whose shard has not confirmed that.
    pub(super) revoked: Usage,
    /// Machines that show tasks of nobody known.
    pub(super) unidentified: Usage,
    /// What may be on machines that are not reconciled.
    pub(super) unreconciled: Usage,
}

impl TeamUse {
    /// All parts together.
    pub(super) fn total(&self) -> Usage {
        let TeamUse { on_machines, granted, revoked, unidentified, unreconciled } = *self;
        [granted, revoked, unidentified, unreconciled].into_iter().fold(on_machines, Usage::plus)
    }
}

impl fmt::Display for TeamUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [
            ("on_machines", self.on_machines),
            ("granted", self.granted),
            ("revoked", self.revoked),
            ("unidentified", self.unidentified),
            ("unreconciled", self.unreconciled),
        ];
        write!(f, "cores: all={:.1}", self.total().cores.amount())?;
        for (name, usage) in parts {
            write!(f, " {name}={:.1}", usage.cores.amount())?;
        }
        Ok(())
    }
}
