//! The names of the keys.

use crate::model::{JobId, MachineId, NodeId};

/// How many machines share a key.
const MACHINES_IN_GROUP: u64 = 24;

/// The key of an accepted job.
pub fn job_key(job: JobId) -> String {
    format!("j/{job}")
}
/// The key of a job's progress.
pub fn progress_key(job: JobId) -> String {
    format!("d/{job}")
}
/// The key of a group of machines.
pub fn machine_key(group: u32) -> String {
    format!("m/{group:05}")
}
/// The group of a machine: those rented together are mostly written together.
pub fn machine_group(machine: &MachineId) -> u32 {
    let text = &*machine.0;
    let digits = text.len() - text.bytes().rev().take_while(u8::is_ascii_digit).count();
    let number: u64 = text[digits..].parse().unwrap_or(0);
    (number / MACHINES_IN_GROUP % 100_000) as u32
}
/// The key of a controller.
pub fn member_key(node: NodeId) -> String {
    format!("n/{}", node.0)
}
/// The key of a part of the granted ranges.
pub fn epoch_key(n: u32) -> String {
    format!("e/{n:04}")
}
/// The key of a part of a relayed message.
pub fn peer_message_key(to: NodeId, from: NodeId, chunk: u32) -> String {
    format!("x/{}/{}/{chunk}", to.0, from.0)
}
/// The leader's key.
pub const LEADER_KEY: &str = "lead";
/// The key of the machine types.
pub const MACHINE_TYPES_KEY: &str = "flavors";
/// The key of what the load was.
pub const LOAD_KEY: &str = "load";
/// The term's key.
pub const TERM_KEY: &str = "term";

/// Prefixes that together cover all keys, each once. Keys of a kind have values of about the same size, so they are
/// read kind by kind: a page that is right for many small ones would hold too much of the next kind.
pub const KEY_PREFIXES: [&str; 9] =
    ["d/", "e/", MACHINE_TYPES_KEY, "j/", "l", "m/", "n/", TERM_KEY, "x/"];
