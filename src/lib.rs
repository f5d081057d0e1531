//! willowshore: a cluster scheduler.
//!
//! In every epoch the leading controller admits jobs by a rank-legal waterline and sizes
//! their core shares to maximize summed importance; controllers place tasks within those
//! shares on their hashed parts of the machines. See `docs/design.md` and `docs/safety.md`.

pub mod admission;
pub mod api;
pub mod attempts;
pub mod autoscaler;
pub mod cloud;
pub mod cluster_view;
pub mod config;
pub mod controller;
pub mod feature_flags;
pub mod fleet;
pub mod http;
pub mod leader;
pub mod lease;
pub mod message_chunks;
pub mod metrics;
pub mod peer;
pub mod placement;
pub mod replica;
pub mod service;
pub mod shard;
pub mod standby;
pub mod store_client;
pub mod wire;

pub use willowshore_model as model;
