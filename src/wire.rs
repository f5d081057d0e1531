//! The messages of the published protocol, grouped by the other party: [`users`], [`workers`], the [`cloud`] and the
//! state [`store`]. [`encoding`] encodes and decodes them.
//!
//! The code uses the usual terms of cluster scheduling, and serde attributes map them to the names of the protocol:
//!
//! | protocol | code | meaning |
//! |---|---|---|
//! | `Ref` | `id`, `job` | id of a job or machine |
//! | `Piece`, `Pieces` | task, `tasks`, `task_count` | one task of a job |
//! | `Try` | [`Attempt`](crate::model::Attempt) | one attempt at running a task |
//! | `Lane` | `class` | class of jobs, to which objectives may apply |
//! | `Owner` | `team` | team whose guarantees and limits apply to the job |
//! | `Shape` | [`JobKind`]; `sweep` is `Array` | kind of job |
//! | `Urgency` | [`Priority`] | priority class |
//! | `Bundle`, `SizeGb` | `image`, `image_gb` | container image and its size |
//! | `Hull`, `Hulls`, `Sku` | `machine_type`, `machine_types`, `name` | machine type |
//! | `Yard`, `Yards` | `zone`, `zones` | availability zone |
//! | `Scatter` | `spread_zones` | at most half of the tasks in a zone |
//! | `Loaners` | `spot`, `allows_spot` | spot machines |
//! | `GuessS` | `estimated_run_s` | estimated run time |
//! | `BookmarkS`, `StashS` | `checkpoint_interval_s`, `checkpoint_save_s` | checkpoints: interval, and time to save one |
//! | `DueS` | `deadline_s` | deadline |
//! | `Host`, `Hosts` | `machine`, `machines` | machine |
//! | `Steward` | `controller` | controller |
//! | `Baton` | `token`, a [`Term`](crate::model::Term) | fencing token |
//! | `Tenure` | [`AgentEpoch`](crate::model::AgentEpoch) | incremented each time a worker's lease expires |
//! | `Tally` | `sequence` | sequence number of a heartbeat within an agent epoch |
//! | `WarningS` | `spot_notice_s` | time until the cloud reclaims a spot machine |
//! | `Stage` | `state` | state of a job, task or machine |
//! | `fetching`, `flushing`, `ended`, `withdrawn` | `FetchingImage`, `SavingCheckpoint`, `Exited`, `Cancelled` | states |
//! | `Cause` | [`ExitReason`] | reason for which a task exited |
//! | `error`, `no_room`, `in_use`, `peers`, `alone` | `Failed`, `InsufficientResources`, `AttemptConflict`, `GangTaskLost`, `GangIncomplete` | exit reasons |
//! | `Orders`, `Verb` | [`WorkerCommand`] | commands to a worker |
//! | `LeewayS` | `grace_s` | grace period of a stop |
//! | `LocalGb`, `StartupS` | `image_cache_gb`, `boot_s` | a machine type's image cache and boot time |
//! | `Hourly`, `MarketPrice` | `hourly_price`, `spot_hourly_price` | on-demand and spot price |
//! | `Hire`, `Number` | `idempotency_key`, `count` | idempotency key and number of machines of a scale-out request |
//! | `HeldS` | `age_s` | time since the scale-out request |
//! | `Path`, `V` | `key`, `value` | key and value in the store |
//! | `Stamp` | `version` | a key's version |
//! | `Epoch` | `revision` | the store's revision |
//! | `Guards`, `Apply` | `conditions`, `changes` | compare-and-swap transaction |
//! | `Set`, `Drop` | `Put`, `Delete`; `put_key`, `deleted_key` | changes |
//! | `News` | `events` | changes returned by a watch |
//! | `Tenancy` | [`StoreLease`](crate::model::StoreLease) | lease of the store |

pub mod cloud;
pub mod encoding;
pub mod store;
pub mod users;
pub mod workers;

pub use cloud::{
    CloudMachineState, ListedMachine, MachineListPage, MachineNames, MachineType, MachineTypes,
    ScaleOutRequest,
};
pub use encoding::{
    DecodeError, MAX_BODY_BYTES, Value, decode, encode, is_map, stored_bytes, to_value,
};
pub use store::{
    Change, Condition, KeyValue, KeyValuePage, LeaseGrant, LeaseRequest, Txn, TxnResponse,
    WatchEvent, WatchResponse,
};
pub use users::{JobAnswer, JobKind, JobSpec, JobState, MAX_TASKS, Priority};
pub use workers::{
    DirectCommand, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState, TaskStatus,
    WorkerCommand,
};

#[cfg(test)]
pub(crate) mod tests;
