//! The simulated site: its timing, zones, jobs and machine types.

use willowshore::model::JobId;
use willowshore::wire::{JobKind, JobSpec, MachineType, MachineTypes, Priority};

pub const ZONES: [&str; 2] = ["a", "b"];

const SETTINGS: &str = include_str!("../settings.toml");

/// Worker settings of a site, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTiming {
    /// Interval between two heartbeats of a worker.
    pub report_ms: u64,
    /// Time for which a worker keeps its tasks without a response to its heartbeats.
    pub lease_ms: u64,
    /// Time within which the tasks of a cancelled job have to stop.
    pub cancel_ms: u64,
}

/// Frequent heartbeats and short leases, as in small deployments.
pub const SHORT_LEASES: WorkerTiming =
    WorkerTiming { report_ms: 1_000, lease_ms: 10_000, cancel_ms: 30_000 };
/// Infrequent heartbeats and long leases, as in large deployments.
pub const LONG_LEASES: WorkerTiming =
    WorkerTiming { report_ms: 5_000, lease_ms: 26_500, cancel_ms: 46_500 };

impl WorkerTiming {
    /// The text of the test settings with this timing and the team's limit in cores.
    pub fn settings(self, team_limit: u64) -> String {
        let set = |text: String, field: &str, old: &str, ms: u64| {
            let new = format!("{field} = {:.3}", ms as f64 / 1000.0);
            text.replacen(&format!("{field} = {old}"), &new, 1)
        };
        let text = set(SETTINGS.to_string(), "report_s", "1.0", self.report_ms);
        let text = set(text, "lease_s", "10.0", self.lease_ms);
        let text = set(text, "cancel_s", "30.0", self.cancel_ms);
        text.replacen("cpus_max = 32.0", &format!("cpus_max = {team_limit}.0"), 1)
    }
}

/// A job of `tasks` tasks, which each need half a machine and run for about `run_s` seconds.
pub fn spec(id: u64, tasks: u32, run_s: f64) -> JobSpec {
    JobSpec {
        id: JobId(id),
        class: "lane".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: if id.is_multiple_of(2) { Priority::High } else { Priority::Normal },
        task_count: tasks,
        vcpus: 4.0,
        accelerators: 0.0,
        mem_gb: 8.0,
        image: format!("img-{}", id % 3).into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread_zones: id.is_multiple_of(4),
        allows_spot: true,
        estimated_run_s: run_s,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}

/// The machine types that the cloud offers.
pub fn catalog() -> MachineTypes {
    MachineTypes {
        machine_types: vec![MachineType {
            name: "small".into(),
            vcpus: 8.0,
            accelerators: 0.0,
            mem_gb: 64.0,
            image_cache_gb: 50.0,
            fetch_gb_per_s: 0.5,
            hourly_price: 1.0,
            spot_hourly_price: 0.3,
            boot_s: 30.0,
            zones: ZONES.map(String::from).to_vec(),
        }],
    }
}
