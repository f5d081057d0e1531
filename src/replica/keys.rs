//! Names of the keys in the state service, and their parsed form.
//!
//! All versions of the program share these names, so they never change.

use std::fmt;

use crate::model::{JobId, MachineId, NodeId};

/// Number of machines that share a key, so that a scale-out takes few writes. If a group exceeds
/// the value limit, its remaining machines go to further keys.
const MACHINES_PER_GROUP: u64 = 24;

/// Key of the leader.
pub const LEADER_KEY: &str = "lead";
/// Key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "flavors";
/// Key of the offered load.
pub const LOAD_KEY: &str = "load";
/// Key of the highest term.
pub const TERM_KEY: &str = "term";

/// Prefixes that together match every key exactly once. Keys are read kind by kind because values
/// of one kind are of similar size: a page size that suits many small values would return too much
/// data for the next kind.
pub const KEY_PREFIXES: [&str; 9] =
    ["d/", "e/", MACHINE_TYPES_KEY, "j/", "l", "m/", "n/", TERM_KEY, "x/"];

/// Parsed key of the state service. `Display` writes the key's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKey {
    /// `lead`: current leader, [`super::LeaderRecord`]; bound to the leader's lease.
    Leader,
    /// `term`: highest term, [`super::TermRecord`].
    Term,
    /// `load`: offered load by which the autoscaler sizes the headroom.
    Load,
    /// `flavors`: machine types, or those that fit into the first value.
    MachineTypes,
    /// `flavors/<n>`: machine types that did not fit into the previous values.
    FurtherMachineTypes(u32),
    /// `j/<job>`: job as accepted, [`super::Accepted`]; never changed.
    Job(JobId),
    /// `d/<job>`: completed tasks and end of a job, [`super::Progress`].
    Progress(JobId),
    /// `m/<group>`: machines that may hold tasks, [`super::MachineGroup`].
    MachineGroup(u32),
    /// `n/<node>`: controller that is up, [`super::MemberRecord`]; bound to the controller's lease.
    Member(NodeId),
    /// `e/<n>`: task ranges granted by the last epochs, [`super::EpochRecord`].
    Epoch(u32),
    /// `x/<to>/<from>/<n>`: chunk of a message between controllers that cannot reach each other.
    PeerMessage {
        /// Receiver of the message.
        to: NodeId,
        /// Sender of the message.
        from: NodeId,
        /// Number of the chunk within the message, from 0.
        chunk: u32,
    },
}

impl StoreKey {
    /// Parses a key's name; `None` if this version does not know the key.
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

/// Key of an accepted job.
pub fn job_key(job: JobId) -> String {
    StoreKey::Job(job).to_string()
}

/// Key of a job's progress.
pub fn progress_key(job: JobId) -> String {
    StoreKey::Progress(job).to_string()
}

/// Key of a group of machines.
pub fn machine_key(group: u32) -> String {
    StoreKey::MachineGroup(group).to_string()
}

/// Key of a controller that is up.
pub fn member_key(node: NodeId) -> String {
    StoreKey::Member(node).to_string()
}

/// Key number `n` of the granted task ranges.
pub fn epoch_key(n: u32) -> String {
    StoreKey::Epoch(n).to_string()
}

/// Key of a chunk of a message sent through the state service.
pub fn peer_message_key(to: NodeId, from: NodeId, chunk: u32) -> String {
    StoreKey::PeerMessage { to, from, chunk }.to_string()
}

/// Group whose key a machine is first written to. Machine names are numbered in the order of
/// creation, so machines of one scale-out mostly share a key and are written together.
pub fn machine_group(machine: &MachineId) -> u32 {
    let name = &*machine.0;
    let digits_start = name.len() - name.bytes().rev().take_while(u8::is_ascii_digit).count();
    let number: u64 = name[digits_start..].parse().unwrap_or(0);
    // The key's name has five digits for the group.
    (number / MACHINES_PER_GROUP % 100_000) as u32
}
