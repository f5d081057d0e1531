//! willowshore: a cluster scheduler.
//!
//! In every epoch the leading controller admits jobs by a rank-legal waterline and sizes
//! their core shares to maximize summed importance; controllers place tasks within those
//! shares on their hashed parts of the machines. See `docs/design.md` and `docs/safety.md`.

pub mod admit;
pub mod api;
pub mod capacity;
pub mod cloud;
pub mod config;
pub mod context;
pub mod core;
pub mod features;
pub mod fleet;
pub mod http;
pub mod lead;
pub mod ledger;
pub mod meter;
pub mod part;
pub mod peer;
pub mod place;
pub mod relay;
pub mod service;
pub mod standby;
pub mod state;
pub mod term;
pub mod wire;

pub use willowshore_model as model;
