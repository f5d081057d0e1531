//! Messages of the published protocol, with the names that it gives them.

use serde::de::{self, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;
use thiserror::Error;

use crate::model::{Attempt, JobId, MachineId, Revision, Session, StoreLease, TaskId, Term};

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
pub enum Shape {
    /// Independent tasks that run to completion.
    Sweep,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that need each other: they run all at once or wait, and complete together.
    Gang,
}

/// A job's urgency, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
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
    pub r#ref: JobId,
    /// Class of jobs.
    pub lane: String,
    /// Team.
    pub owner: String,
    /// How its tasks behave.
    pub shape: Shape,
    /// Urgency.
    pub urgency: Urgency,
    /// Number of tasks.
    pub pieces: u32,
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
    pub bundle: Rc<str>,
    /// Size of the image.
    #[serde(deserialize_with = "amount")]
    pub size_gb: f64,
    /// Allowed machine types.
    #[serde(default)]
    pub hulls: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(default)]
    pub yard: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks in a zone.
    pub scatter: bool,
    /// May use spot machines.
    pub loaners: bool,
    /// The owner's estimate of a task's run time.
    #[serde(deserialize_with = "amount")]
    pub guess_s: f64,
    /// Interval of checkpoints; 0 for none.
    #[serde(deserialize_with = "amount", default)]
    pub bookmark_s: f64,
    /// Time to save when stopped.
    #[serde(deserialize_with = "amount", default)]
    pub stash_s: f64,
    /// Deadline from submission.
    #[serde(deserialize_with = "amount_or_null", default)]
    pub due_s: Option<f64>,
}

impl JobSpec {
    /// Checks ranges that types alone do not express.
    pub fn check(&self) -> Result<(), BadBody> {
        let bad = |field: &str| Err(BadBody(format!("{field} is out of range")));
        if self.pieces == 0 || self.pieces > MAX_TASKS {
            return bad("Pieces");
        }
        if !(self.vcpus >= 0.0 && self.vcpus < 1e6) {
            return bad("Vcpus");
        }
        let amounts = [
            ("Accelerators", self.accelerators),
            ("MemGb", self.mem_gb),
            ("SizeGb", self.size_gb),
            ("GuessS", self.guess_s),
            ("BookmarkS", self.bookmark_s),
            ("StashS", self.stash_s),
            ("DueS", self.due_s.unwrap_or(0.0)),
        ];
        for (field, value) in amounts {
            if !(0.0..1e9).contains(&value) {
                return bad(field);
            }
        }
        if self.owner.is_empty() || self.owner.len() > 200 {
            return bad("Owner");
        }
        if self.lane.len() > 200 || self.bundle.len() > 400 {
            return bad("Lane or Bundle");
        }
        Ok(())
    }
}

/// A job's state as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStage {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    Withdrawn,
}

/// What users are told about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job.
    #[serde(rename = "Ref")]
    pub job: JobId,
    /// Its state.
    #[serde(rename = "Stage")]
    pub stage: JobStage,
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
pub enum PieceStage {
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// A gang's task that waits for the others of its attempt.
    Waiting,
    /// Saves after having been told to stop.
    Flushing,
    /// Has ended.
    Ended,
    /// A state that this version does not know; it counts as on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Refused: no room.
    NoRoom,
    /// Refused: here with another attempt.
    InUse,
    /// Another task of its gang is gone.
    Peers,
    /// Its gang was not complete in time.
    Alone,
    /// Refused: no such task; also any cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A task in a worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Piece {
    /// The task.
    pub piece: TaskId,
    /// Its attempt.
    pub r#try: Attempt,
    /// Its state.
    pub stage: PieceStage,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
}

/// A worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Report {
    /// The machine.
    pub host: MachineId,
    /// The worker's address.
    pub endpoint: String,
    /// The machine's type.
    pub hull: String,
    /// Its zone.
    pub yard: String,
    /// Whether it is a spot machine.
    pub loaners: bool,
    /// The worker's session.
    #[serde(rename = "Tenure")]
    pub session: Session,
    /// The sequence number of the message within the session.
    #[serde(rename = "Tally")]
    pub sequence: u64,
    /// The highest fencing token it has seen.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Seconds until the cloud takes it away.
    #[serde(default, deserialize_with = "amount_or_null")]
    pub warning_s: Option<f64>,
    /// All its tasks.
    #[serde(default)]
    pub pieces: Vec<Piece>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Verb", rename_all = "lowercase")]
pub enum Order {
    /// Start a task.
    #[serde(rename_all = "PascalCase")]
    Start {
        /// The task.
        piece: TaskId,
        /// Its attempt.
        r#try: Attempt,
    },
    /// Stop a task.
    #[serde(rename_all = "PascalCase")]
    Kill {
        /// The task.
        piece: TaskId,
        /// Its attempt.
        r#try: Attempt,
        /// Time it has to save.
        leeway_s: f64,
    },
    /// Forget an ended task.
    #[serde(rename_all = "PascalCase")]
    Clear {
        /// The task.
        piece: TaskId,
        /// Its attempt.
        r#try: Attempt,
    },
}

impl Order {
    /// The task that it is about.
    pub fn piece(&self) -> TaskId {
        match self {
            Order::Start { piece, .. } | Order::Kill { piece, .. } | Order::Clear { piece, .. } => {
                *piece
            }
        }
    }
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ReportReply {
    /// The fencing token.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// Commands, in order.
    pub orders: Vec<Order>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Direct {
    /// The fencing token.
    #[serde(rename = "Baton")]
    pub token: Term,
    /// The session they are meant for.
    #[serde(rename = "Tenure")]
    pub session: Session,
    /// The commands.
    pub orders: Vec<Order>,
}

/// Where a worker should report.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Redirect {
    /// The controller's name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steward: Option<String>,
}

/// A machine type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Flavor {
    /// Its name.
    pub sku: String,
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
    pub local_gb: f64,
    /// Rate of image fetches.
    #[serde(deserialize_with = "amount", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(deserialize_with = "amount", default)]
    pub hourly: f64,
    /// Current price per hour as a spot machine.
    #[serde(deserialize_with = "amount", default)]
    pub market_price: f64,
    /// Usual boot time.
    #[serde(deserialize_with = "amount", default)]
    pub startup_s: f64,
    /// Zones that have it.
    #[serde(default)]
    pub yards: Vec<String>,
}

/// All machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Flavors {
    /// The types.
    pub hulls: Vec<Flavor>,
}

/// A rental request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Rental {
    /// The idempotency key, never reused.
    #[serde(rename = "Hire")]
    pub idempotency_key: String,
    /// Machine type.
    pub hull: String,
    /// Zone.
    pub yard: String,
    /// Spot or ordinary.
    pub loaners: bool,
    /// How many.
    pub number: u32,
}

/// Names of machines, in requests and answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Hosts {
    /// The machines.
    #[serde(default)]
    pub hosts: Vec<MachineId>,
}

/// A machine's state in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostStage {
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
pub struct ListedHost {
    /// Its name.
    pub r#ref: MachineId,
    /// Its worker's address.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Type.
    pub hull: String,
    /// Zone.
    pub yard: String,
    /// Spot or ordinary.
    pub loaners: bool,
    /// State.
    pub stage: HostStage,
    /// Age since the rental request.
    #[serde(deserialize_with = "amount", default)]
    pub held_s: f64,
}

/// A page of the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HostList {
    /// The machines.
    pub hosts: Vec<ListedHost>,
    /// Whether there are more.
    #[serde(default)]
    pub truncated: bool,
}

/// A value in the state service.
pub type Value = ciborium::Value;

/// An item of the state service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Item {
    /// Key.
    pub path: String,
    /// Value.
    pub v: Value,
    /// Revision of its last change.
    pub stamp: Revision,
}

/// A page of items.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Items {
    /// The items.
    pub items: Vec<Item>,
    /// Whether there are more.
    #[serde(default)]
    pub truncated: bool,
    /// The store's revision.
    pub epoch: Revision,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Guard {
    /// Key.
    pub path: String,
    /// The version it must have; 0: it must not exist.
    pub stamp: Revision,
}

/// A change in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Puts a value.
    Set {
        /// Key.
        #[serde(rename = "Set")]
        path: String,
        /// Value.
        #[serde(rename = "V")]
        value: Value,
        /// Lease that the key hangs on.
        #[serde(rename = "Tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<StoreLease>,
    },
    /// Deletes a key.
    Drop {
        /// Key.
        #[serde(rename = "Drop")]
        path: String,
    },
}

impl Change {
    /// The key that it changes.
    pub fn path(&self) -> &str {
        match self {
            Change::Set { path, .. } | Change::Drop { path } => path,
        }
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Txn {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    pub apply: Vec<Change>,
}

impl Txn {
    /// Leaves out the changes of these keys, with their conditions.
    pub fn leave_out(&mut self, keys: &[String]) {
        self.guards.retain(|g| !keys.contains(&g.path));
        self.apply.retain(|c| !keys.iter().any(|k| k == c.path()));
    }
}

/// The answer to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// The store's revision.
    #[serde(rename = "Epoch", default)]
    pub epoch: Revision,
    /// Keys whose condition failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// One change in a watch's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct News {
    /// The key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub set: Option<String>,
    /// The key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    /// The value put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub v: Option<Value>,
    /// Revision of the change.
    pub stamp: Revision,
}

/// A watch's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Changes {
    /// The store's revision.
    pub epoch: Revision,
    /// The changes.
    #[serde(default)]
    pub news: Vec<News>,
}

/// A lease's time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseTime {
    /// Milliseconds.
    pub ttl_ms: u64,
}

/// A lease's name.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaseName {
    /// The lease.
    pub tenancy: StoreLease,
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
