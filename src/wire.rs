//! Messages of the published protocol, with the names that it gives them.

use serde::de::{self, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;
use thiserror::Error;

use crate::model::{AgentEpoch, Attempt, JobId, MachineId, Revision, StoreLease, TaskId, Term};

/// Largest body of a request, and of a response to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// A body that is not what it should be.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct BadBody(String);

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    // Writing to memory fails only for types that CBOR cannot express; ours all can.
    if ciborium::into_writer(message, &mut out).is_err() {
        out.clear();
    }
    out
}

/// Decodes one CBOR message. Trailing bytes are refused.
pub fn decode<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, BadBody> {
    let mut rest = body;
    let value =
        ciborium::de::from_reader_with_recursion_limit(&mut rest, 32).map_err(|e| match e {
            ciborium::de::Error::Semantic(_, why) => BadBody(why),
            _ => BadBody("not CBOR".into()),
        })?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(BadBody("more than one message in the body".into()))
    }
}

/// Reads an amount, which may come as an integer where a decimal is meant.
fn amount<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    struct Amount;
    impl Visitor<'_> for Amount {
        type Value = f64;
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("an amount")
        }
        fn visit_f64<E: de::Error>(self, v: f64) -> Result<f64, E> {
            if v.is_finite() { Ok(v) } else { Err(E::custom("an amount must be finite")) }
        }
        fn visit_u64<E: de::Error>(self, v: u64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i64<E: de::Error>(self, v: i64) -> Result<f64, E> {
            Ok(v as f64)
        }
    }
    d.deserialize_any(Amount)
}

fn amount_or_null<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Wrapped(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Wrapped>::deserialize(d)?.map(|w| w.0))
}

/// How a job's tasks behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that need each other: they run all at once or wait, and complete together.
    Gang,
}

/// A job's urgency, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Before everything.
    Critical,
    /// Before normal work.
    High,
    /// Ordinary work.
    Normal,
    /// When nothing else needs the room.
    BestEffort,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct JobSpec {
    /// Unique id.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Class of jobs.
    #[serde(rename = "Lane")]
    pub class: String,
    /// Team.
    #[serde(rename = "Owner")]
    pub team: String,
    /// How its tasks behave.
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    /// Urgency.
    #[serde(rename = "Urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "Pieces")]
    pub task_count: u32,
    /// Cores of a task.
    #[serde(deserialize_with = "amount")]
    pub vcpus: f64,
    /// Accelerators of a task.
    #[serde(deserialize_with = "amount", default)]
    pub accelerators: f64,
    /// Memory of a task.
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    /// Image.
    #[serde(rename = "Bundle")]
    pub image: Rc<str>,
    /// Size of the image.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    /// Allowed machine types.
    #[serde(default)]
    #[serde(rename = "Hulls")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(default)]
    #[serde(rename = "Yard")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks in a zone.
    #[serde(rename = "Scatter")]
    pub spread_zones: bool,
    /// May use spot machines.
    #[serde(rename = "Loaners")]
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(deserialize_with = "amount")]
    #[serde(rename = "GuessS")]
    pub estimated_run_s: f64,
    /// Interval of checkpoints; 0 for none.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "BookmarkS")]
    pub checkpoint_interval_s: f64,
    /// Time to save when stopped.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "StashS")]
    pub checkpoint_save_s: f64,
    /// Deadline from submission.
    #[serde(deserialize_with = "amount_or_null", default)]
    #[serde(rename = "DueS")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Checks ranges that types alone do not express.
    pub fn check(&self) -> Result<(), BadBody> {
        let bad = |field: &str| Err(BadBody(format!("{field} is out of range")));
        if self.task_count == 0 || self.task_count > MAX_TASKS {
            return bad("Pieces");
        }
        if !(self.vcpus >= 0.0 && self.vcpus < 1e6) {
            return bad("Vcpus");
        }
        let amounts = [
            ("Accelerators", self.accelerators),
            ("MemGb", self.mem_gb),
            ("SizeGb", self.image_gb),
            ("GuessS", self.estimated_run_s),
            ("BookmarkS", self.checkpoint_interval_s),
            ("StashS", self.checkpoint_save_s),
            ("DueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, value) in amounts {
            if !(0.0..1e9).contains(&value) {
                return bad(field);
            }
        }
        if self.team.is_empty() || self.team.len() > 200 {
            return bad("Owner");
        }
        if self.class.len() > 200 || self.image.len() > 400 {
            return bad("Lane or Bundle");
        }
        Ok(())
    }
}

/// A job's state as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// What users are told about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job.
    #[serde(rename = "Ref")]
    pub job: JobId,
    /// Its state.
    #[serde(rename = "Stage")]
    pub state: JobState,
    /// Tasks done.
    #[serde(default)]
    pub done: u32,
    /// Tasks running.
    #[serde(default)]
    pub running: u32,
    /// Why it waits or was stopped, for people.
    #[serde(default, rename = "reason", skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    FetchingImage,
    /// Runs.
    Running,
    /// A gang's task that waits for the others of its attempt.
    #[serde(rename = "waiting")]
    WaitingForGang,
    /// Saves after having been told to stop.
    #[serde(rename = "flushing")]
    SavingCheckpoint,
    /// Has ended.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version does not know; it counts as on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Failed,
    /// Refused: no room.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// Refused: here with another attempt.
    #[serde(rename = "in_use")]
    AttemptConflict,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangTaskLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// Refused: no such task; also any cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A task in a worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "Piece")]
    pub task: TaskId,
    /// Its attempt.
    #[serde(rename = "Try")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "Stage")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Cause")]
    pub exit_reason: Option<ExitReason>,
}

/// A worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "Host")]
    pub machine: MachineId,
    /// The worker's address.
    pub endpoint: String,
    /// The machine's type.
    #[serde(rename = "Hull")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// The worker's session.
    #[serde(rename = "Tenure")]
    pub agent_epoch: AgentEpoch,
    /// The sequence number of the message within the session.
    #[serde(rename = "Tally")]
    pub sequence: u64,
    /// The highest fencing token it has seen.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Seconds until the cloud takes it away.
    #[serde(default, deserialize_with = "amount_or_null")]
    #[serde(rename = "WarningS")]
    pub spot_notice_s: Option<f64>,
    /// All its tasks.
    #[serde(default)]
    #[serde(rename = "Pieces")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Start a task.
    #[serde(rename_all = "PascalCase")]
    Start {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
    /// Stop a task.
    #[serde(rename_all = "PascalCase")]
    Kill {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "Try")]
        attempt: Attempt,
        /// Time it has to save.
        #[serde(rename = "LeewayS")]
        grace_s: f64,
    },
    /// Forget an ended task.
    #[serde(rename_all = "PascalCase")]
    Clear {
        /// The task.
        #[serde(rename = "Piece")]
        task: TaskId,
        /// Its attempt.
        #[serde(rename = "Try")]
        attempt: Attempt,
    },
}

impl WorkerCommand {
    /// The task that it is about.
    pub fn task(&self) -> TaskId {
        match self {
            WorkerCommand::Start { task, .. }
            | WorkerCommand::Kill { task, .. }
            | WorkerCommand::Clear { task, .. } => *task,
        }
    }
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatResponse {
    /// The fencing token.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Commands, in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DirectCommand {
    /// The fencing token.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// The session they are meant for.
    #[serde(rename = "Tenure")]
    pub agent_epoch: AgentEpoch,
    /// The commands.
    #[serde(rename = "Orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Where a worker should report.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Redirect {
    /// The controller's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Steward")]
    pub controller: Option<String>,
}

/// A machine type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "Sku")]
    pub name: String,
    /// Cores.
    #[serde(deserialize_with = "amount")]
    pub vcpus: f64,
    /// Accelerators.
    #[serde(deserialize_with = "amount", default)]
    pub accelerators: f64,
    /// Memory.
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    /// Room for images.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "LocalGb")]
    pub image_cache_gb: f64,
    /// Rate of image fetches.
    #[serde(deserialize_with = "amount", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "Hourly")]
    pub hourly_price: f64,
    /// Current price per hour as a spot machine.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "MarketPrice")]
    pub spot_hourly_price: f64,
    /// Usual boot time.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "StartupS")]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(default)]
    #[serde(rename = "Yards")]
    pub zones: Vec<String>,
}

/// All machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "Hulls")]
    pub machine_types: Vec<MachineType>,
}

/// A rental request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ScaleOutRequest {
    /// The idempotency key, never reused.
    #[serde(rename = "Hire")]
    pub idempotency_key: String,
    /// Machine type.
    #[serde(rename = "Hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "Number")]
    pub count: u32,
}

/// Names of machines, in requests and answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineNames {
    /// The machines.
    #[serde(default)]
    #[serde(rename = "Hosts")]
    pub machines: Vec<MachineId>,
}

/// A machine's state in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudMachineState {
    /// Boots.
    Starting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "Ref")]
    pub id: MachineId,
    /// Its worker's address.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Type.
    #[serde(rename = "Hull")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// State.
    #[serde(rename = "Stage")]
    pub state: CloudMachineState,
    /// Age since the rental request.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "HeldS")]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineListPage {
    /// The machines.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(default)]
    pub truncated: bool,
}

/// A value in the state service.
pub type Value = ciborium::Value;

/// An item of the state service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Value.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A page of items.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeyValuePage {
    /// The items.
    pub items: Vec<KeyValue>,
    /// Whether there are more.
    #[serde(default)]
    pub truncated: bool,
    /// The store's revision.
    #[serde(rename = "Epoch")]
    pub revision: Revision,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Condition {
    /// Key.
    #[serde(rename = "Path")]
    pub key: String,
    /// The version it must have; 0: it must not exist.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A change in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Puts a value.
    #[serde(rename = "Set")]
    Put {
        /// Key.
        #[serde(rename = "Set")]
        key: String,
        /// Value.
        #[serde(rename = "V")]
        value: Value,
        /// Lease that the key hangs on.
        #[serde(rename = "Tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<StoreLease>,
    },
    /// Deletes a key.
    #[serde(rename = "Drop")]
    Delete {
        /// Key.
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Change {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "Guards")]
    pub conditions: Vec<Condition>,
    /// Changes.
    #[serde(rename = "Apply")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Leaves out the changes of these keys, with their conditions.
    pub fn leave_out(&mut self, keys: &[String]) {
        self.conditions.retain(|g| !keys.contains(&g.key));
        self.changes.retain(|c| !keys.iter().any(|k| k == c.key()));
    }
}

/// The answer to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnResponse {
    /// The store's revision.
    #[serde(rename = "Epoch", default)]
    pub revision: Revision,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// One change in a watch's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchEvent {
    /// The key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Set")]
    pub put_key: Option<String>,
    /// The key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "Drop")]
    pub deleted_key: Option<String>,
    /// The value put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "V")]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "Stamp")]
    pub version: Revision,
}

/// A watch's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WatchResponse {
    /// The store's revision.
    #[serde(rename = "Epoch")]
    pub revision: Revision,
    /// The changes.
    #[serde(default)]
    #[serde(rename = "News")]
    pub events: Vec<WatchEvent>,
}

/// A lease's time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseRequest {
    /// Milliseconds.
    pub ttl_ms: u64,
}

/// A lease's name.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseGrant {
    /// The lease.
    #[serde(rename = "Tenancy")]
    pub lease: StoreLease,
}

/// Whether a body is one well-formed CBOR map, whatever is in it.
pub fn is_map(body: &[u8]) -> bool {
    struct AnyMap;
    impl<'de> Visitor<'de> for AnyMap {
        type Value = bool;
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a map")
        }
        fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<bool, A::Error> {
            while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            Ok(true)
        }
        fn visit_seq<A: SeqAccess<'de>>(self, _: A) -> Result<bool, A::Error> {
            Ok(false)
        }
    }
    struct Probe;
    impl<'de> Deserialize<'de> for Probe {
        fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
            d.deserialize_any(AnyMap)
                .and_then(|m| m.then_some(Probe).ok_or_else(|| de::Error::custom("not a map")))
        }
    }
    decode::<Probe>(body).is_ok()
}

/// Bytes that a message takes as a value of the state service. The protocol counts the form in
/// which its page shows messages, JSON; what travels is CBOR, so neither may be larger.
pub fn stored_bytes<T: Serialize>(message: &T) -> usize {
    struct Count(usize);
    impl std::io::Write for Count {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut shown = Count(0);
    // Counting fails only for what JSON cannot express, which no message holds.
    if serde_json::to_writer(&mut shown, message).is_err() {
        return usize::MAX;
    }
    let mut sent = Count(0);
    let _ = ciborium::into_writer(message, &mut sent);
    shown.0.max(sent.0)
}

/// Turns a message into a value of the state service.
pub fn to_value<T: Serialize>(message: &T) -> Value {
    Value::serialized(message).unwrap_or(Value::Null)
}

/// Reads a message from a value of the state service.
pub fn from_value<T: de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

#[cfg(test)]
pub(crate) mod tests;
