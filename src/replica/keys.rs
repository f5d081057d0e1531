//! The names of the keys in the state service, and their parsed form.
//!
//! Names are part of what versions of the program share: they never change.

use std::fmt;

use crate::model::{JobId, MachineId, NodeId};

/// How many machines share a key, so that a scale-out is few writes. Where values are smaller than
/// a group, its further machines go to further keys.
const MACHINES_IN_GROUP: u64 = 24;

/// The leader's key.
pub const LEADER_KEY: &str = "lead";
/// The key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "flavors";
/// The key of the offered load.
pub const LOAD_KEY: &str = "load";
/// The key of the highest term.
pub const TERM_KEY: &str = "term";

/// Prefixes that together cover all keys, each once. Keys of a kind have values of about the same size, so they are
/// read kind by kind: a page that is right for many small ones would hold too much of the next kind.
pub const KEY_PREFIXES: [&str; 9] =
    ["d/", "e/", MACHINE_TYPES_KEY, "j/", "l", "m/", "n/", TERM_KEY, "x/"];

/// What a key of the state service holds. `Display` writes the key's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKey {
    /// `lead`: who leads, [`super::LeaderRecord`]; on the leader's lease.
    Leader,
    /// `term`: the highest term, [`super::TermRecord`].
    Term,
    /// `load`: the offered load that the autoscaler sizes the headroom by.
    Load,
    /// `flavors`: the machine types, or those that fit into the first value.
    MachineTypes,
    /// `flavors/<n>`: machine types that did not fit into the values before.
    FurtherMachineTypes(u32),
    /// `j/<job>`: a job as it was accepted, [`super::Accepted`]; never changed.
    Job(JobId),
    /// `d/<job>`: a job's completed tasks and its end, [`super::Progress`].
    Progress(JobId),
    /// `m/<group>`: machines that tasks may be on, [`super::MachineGroup`].
    MachineGroup(u32),
    /// `n/<node>`: a controller that is up, [`super::MemberRecord`]; on its lease.
    Member(NodeId),
    /// `e/<n>`: task ranges that the last epochs granted, [`super::EpochRecord`].
    Epoch(u32),
    /// `x/<to>/<from>/<n>`: a chunk of a message between controllers that cannot reach each other.
    PeerMessage {
        /// The receiver.
        to: NodeId,
        /// The sender.
        from: NodeId,
        /// Number of the chunk within the message, from 0.
        chunk: u32,
    },
}

impl StoreKey {
    /// Parses a key's name; `None` if it is not one that this version knows.
    pub fn parse(key: &str) -> Option<Self> {
        match key {
            LEADER_KEY => return Some(StoreKey::Leader),
            TERM_KEY => return Some(StoreKey::Term),
            LOAD_KEY => return Some(StoreKey::Load),
            MACHINE_TYPES_KEY => return Some(StoreKey::MachineTypes),
            _ => {}
        }
        let (kind, rest) = key.split_once('/')?;
        match kind {
            MACHINE_TYPES_KEY => rest.parse().ok().map(StoreKey::FurtherMachineTypes),
            "j" => JobId::parse(rest).map(StoreKey::Job),
            "d" => JobId::parse(rest).map(StoreKey::Progress),
            "m" => rest.parse().ok().map(StoreKey::MachineGroup),
            "n" => parse_node(rest).map(StoreKey::Member),
            "e" => rest.parse().ok().map(StoreKey::Epoch),
            "x" => {
                let (to, rest) = rest.split_once('/')?;
                let (from, chunk) = rest.split_once('/')?;
                Some(StoreKey::PeerMessage {
                    to: parse_node(to)?,
                    from: parse_node(from)?,
                    chunk: chunk.parse().ok()?,
                })
            }
            _ => None,
        }
    }
}

fn parse_node(text: &str) -> Option<NodeId> {
    text.parse().ok().map(NodeId)
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreKey::Leader => f.write_str(LEADER_KEY),
            StoreKey::Term => f.write_str(TERM_KEY),
            StoreKey::Load => f.write_str(LOAD_KEY),
            StoreKey::MachineTypes => f.write_str(MACHINE_TYPES_KEY),
            StoreKey::FurtherMachineTypes(n) => write!(f, "{MACHINE_TYPES_KEY}/{n:04}"),
            StoreKey::Job(job) => write!(f, "j/{job}"),
            StoreKey::Progress(job) => write!(f, "d/{job}"),
            StoreKey::MachineGroup(group) => write!(f, "m/{group:05}"),
            StoreKey::Member(node) => write!(f, "n/{}", node.0),
            StoreKey::Epoch(n) => write!(f, "e/{n:04}"),
            StoreKey::PeerMessage { to, from, chunk } => {
                write!(f, "x/{}/{}/{chunk}", to.0, from.0)
            }
        }
    }
}

/// The key of an accepted job.
pub fn job_key(job: JobId) -> String {
    StoreKey::Job(job).to_string()
}

/// The key of a job's progress.
pub fn progress_key(job: JobId) -> String {
    StoreKey::Progress(job).to_string()
}

/// The key of a group of machines.
pub fn machine_key(group: u32) -> String {
    StoreKey::MachineGroup(group).to_string()
}

/// The key of a controller that is up.
pub fn member_key(node: NodeId) -> String {
    StoreKey::Member(node).to_string()
}

/// The `n`th key of the granted ranges.
pub fn epoch_key(n: u32) -> String {
    StoreKey::Epoch(n).to_string()
}

/// The key of a chunk of a message that goes through the state service.
pub fn peer_message_key(to: NodeId, from: NodeId, chunk: u32) -> String {
    StoreKey::PeerMessage { to, from, chunk }.to_string()
}

/// The group whose key a machine is first written to. Names are numbered in the order of creation,
/// so machines of one scale-out mostly share a key and are written at once.
pub fn machine_group(machine: &MachineId) -> u32 {
    let name = &*machine.0;
    let digits = name.len() - name.bytes().rev().take_while(u8::is_ascii_digit).count();
    let number: u64 = name[digits..].parse().unwrap_or(0);
    // Five digits of the key's name.
    (number / MACHINES_IN_GROUP % 100_000) as u32
}
