//! Messages of the cloud's interface: machine types with prices, scale-out requests, and the list of
//! machines. The list lags behind what is true.

use serde::{Deserialize, Serialize};

use super::encoding::amount;
use crate::model::MachineId;

/// A machine type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "Sku")]
    pub name: String,
    /// vCPUs.
    #[serde(deserialize_with = "amount")]
    pub vcpus: f64,
    /// Accelerators.
    #[serde(deserialize_with = "amount", default)]
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(deserialize_with = "amount")]
    pub mem_gb: f64,
    /// Room for images in GB.
    #[serde(deserialize_with = "amount", default)]
    #[serde(rename = "LocalGb")]
    pub image_cache_gb: f64,
    /// Rate of image fetches in GB per second.
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
    /// Usual boot time in seconds.
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

/// A scale-out request. Repeated under the same idempotency key it adds nothing.
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
    /// Seconds since the scale-out request.
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
