//! Messages of the cloud's API: machine types with prices, scale-out requests, and the list of rented machines. The
//! list lags behind the actual state, by the time that the setting `params.cloud.list_lag_s` gives.

use serde::{Deserialize, Serialize};

use super::encoding::amount;
use crate::model::MachineId;

/// A machine type that the cloud offers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "Sku")]
    pub name: String,
    /// Number of vCPUs.
    #[serde(deserialize_with = "amount")]
    pub vcpus: f64,
    /// Number of accelerators.
    #[serde(deserialize_with = "amount", default)]
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    /// Size of the local image cache in GB.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "LocalGb")]
    pub image_cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(deserialize_with = "amount", default)]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "Hourly")]
    pub hourly_price: f64,
    /// Current spot price per hour.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "MarketPrice")]
    pub spot_hourly_price: f64,
    /// Typical boot time in seconds.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "StartupS")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(default)]
    #[serde(rename = "Yards")]
    pub zones: Vec<String>,
}

/// All machine types that the cloud offers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineTypes {
    /// The machine types.
    #[serde(rename = "Hulls")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines. Repeating it with the same idempotency key rents no further machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ScaleOutRequest {
    /// Idempotency key, which is never reused for another request.
    #[serde(rename = "Hire")]
    pub idempotency_key: String,
    /// Name of the machine type.
    #[serde(rename = "Hull")]
    pub machine_type: String,
    /// Zone to rent in.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether to rent spot machines instead of on-demand ones.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "Number")]
    pub count: u32,
}

/// A list of machine ids, in requests and responses.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineNames {
    /// Ids of the machines.
    #[serde(default)]
    #[serde(rename = "Hosts")]
    pub machines: Vec<MachineId>,
}

/// State of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudMachineState {
    /// The machine is booting.
    Starting,
    /// The machine is up.
    Running,
    /// The machine has stopped by itself.
    Failed,
    /// A state unknown to this version.
    #[serde(other)]
    Unknown,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListedMachine {
    /// Id of the machine.
    #[serde(rename = "Ref")]
    pub id: MachineId,
    /// Address of the machine's worker, if known.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "Hull")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "Yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "Loaners")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "Stage")]
    pub state: CloudMachineState,
    /// Seconds since the request that rented the machine.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "HeldS")]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineListPage {
    /// Machines on this page.
    #[serde(rename = "Hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(default)]
    pub truncated: bool,
}
