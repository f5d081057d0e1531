//! Upper bound of a team's usage. It consists of parts, each of which shrinks only on evidence of its own
//! (`docs/safety.md`, "Limits, zones, kinds").

use std::fmt;

use crate::config::Team;
use crate::model::Cores;
use crate::resources::Resources;

/// An amount of the resources that team limits restrict.
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

    /// Adds a number of tasks that need `need` each.
    pub(super) fn add(&mut self, need: &Resources, tasks: u64) {
        self.cores.0 += need.cores.0 * tasks;
        self.accelerators.0 += need.accelerators.0 * tasks;
    }

    /// Returns the usage of a machine on which everything is in use.
    pub(super) fn of_machine(offered: &Resources) -> Self {
        Usage { cores: offered.cores, accelerators: offered.accelerators }
    }

    /// Returns the sum of both, saturating at the maximum.
    pub(super) fn plus(self, other: Usage) -> Usage {
        Usage {
            cores: Cores(self.cores.0.saturating_add(other.cores.0)),
            accelerators: Cores(self.accelerators.0.saturating_add(other.accelerators.0)),
        }
    }

    /// Returns the lower amount of each resource.
    pub(super) fn min(self, other: Usage) -> Usage {
        Usage {
            cores: self.cores.min(other.cores),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns whether the usage exceeds the limit of the team.
    pub(super) fn exceeds_limit(&self, team: &Team) -> bool {
        team.core_limit().is_some_and(|limit| self.cores > limit)
            || team.accelerator_limit().is_some_and(|limit| self.accelerators > limit)
    }
}

/// Upper bound of a team's usage.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TeamUsage {
    /// Tasks on reconciled machines, including those that were started and that no heartbeat has shown yet.
    pub(super) on_machines: Usage,
    /// Granted tasks that no reconciled machine reports.
    pub(super) granted: Usage,
    /// Tasks of revoked grants that no reconciled machine reports, until their shard confirms the revocation.
    pub(super) revoked: Usage,
    /// Everything that machines with tasks of unknown jobs offer.
    pub(super) unidentified: Usage,
    /// Tasks that may be on machines that are not reconciled.
    pub(super) unreconciled: Usage,
}

impl TeamUsage {
    /// Returns the sum of all parts.
    pub(super) fn total(&self) -> Usage {
        let TeamUsage { on_machines, granted, revoked, unidentified, unreconciled } = *self;
        [granted, revoked, unidentified, unreconciled].into_iter().fold(on_machines, Usage::plus)
    }
}

impl fmt::Display for TeamUsage {
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
