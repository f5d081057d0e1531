//! Types that decode messages and stored values as version 0.1 does. They must not follow changes of the current types.

use serde::Deserialize;
use willowshore::wire::JobSpec;

type Spans = Vec<(u32, u32)>;

#[derive(Deserialize)]
pub enum Ask {
    Summary(Box<Summary>),
    #[allow(dead_code)]
    Reach,
    #[allow(dead_code)]
    Lead,
    Submit(JobSpec),
}

#[derive(Deserialize)]
pub enum Tell {
    Plan(Box<Plan>),
    #[allow(dead_code)]
    NotLeading(u64),
    #[allow(dead_code)]
    SendWhole,
    #[allow(dead_code)]
    Reach(bool),
    Lead(Option<LeadRecord>),
}

#[derive(Deserialize)]
pub struct LeadRecord {
    #[allow(dead_code)]
    node: u8,
    #[allow(dead_code)]
    life: u64,
    pub term: u64,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct MachineView {
    pub id: String,
    pub hull: String,
    pub zone: String,
    pub spot: bool,
    pub endpoint: String,
    pub settled: bool,
    pub session: u64,
    pub leaving: bool,
    pub shun_ms: u64,
    pub tasks: Vec<(u64, u32, u8)>,
    pub images: Vec<(String, f64)>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct Stray {
    pub id: String,
    pub hull: String,
    pub zone: String,
    pub spot: bool,
    pub silent_ms: u64,
    pub since_ms: u64,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct Summary {
    pub node: u8,
    pub life: u64,
    pub number: u64,
    pub base: u64,
    pub more: bool,
    pub term: u64,
    pub followed: u64,
    pub echo_ms: u64,
    pub up_ms: u64,
    pub served_ms: u64,
    pub heard_ms: u64,
    pub machines: Vec<MachineView>,
    pub answered: Vec<(String, u64)>,
    pub strays: Vec<Stray>,
    pub reborn: Vec<String>,
    pub failing: Vec<u64>,
    pub finished: Vec<(u64, Spans)>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct Grant {
    pub job: u64,
    pub tasks: Spans,
    pub zone: Option<String>,
    pub attempt: Option<u64>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub enum Waits {
    No,
    BelowWaterline,
    TeamLimit,
    ForMachines,
    Failing,
    Unproven,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct Standing {
    pub job: u64,
    pub running: u32,
    pub waits: Waits,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct OwnerNews {
    pub base: u64,
    pub set: Vec<(String, u8)>,
    pub gone: Vec<String>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct Plan {
    pub term: u64,
    pub life: u64,
    pub seq: u64,
    pub clock_ms: u64,
    pub heard: u64,
    pub owners: OwnerNews,
    pub body: Option<PlanBody>,
}

#[derive(Deserialize)]
#[allow(dead_code)]
pub struct PlanBody {
    pub grants: Vec<Grant>,
    pub drain: Vec<String>,
    pub slow: Vec<String>,
    pub lapsed: Vec<(String, u64)>,
    pub standings: Vec<Standing>,
}

#[derive(Deserialize)]
pub struct MemberRecord {
    pub life: u64,
}

#[derive(Deserialize)]
pub struct MachineRecord {
    pub hull: String,
    pub zone: String,
    pub spot: bool,
    #[serde(default)]
    pub up: bool,
    #[serde(default)]
    pub gone: Option<u64>,
    #[serde(default)]
    pub endpoint: String,
}

#[derive(Deserialize)]
pub struct MachineGroup {
    pub machines: Vec<(String, MachineRecord)>,
}
