//! willowshore is a cluster scheduler.
//!
//! Machines are assigned to controllers by hashing: each controller owns a shard of them, responds to the heartbeats
//! of their workers and places tasks on them. One controller is the leader. In every epoch the leader admits jobs in
//! rank order down to an admission threshold, the waterline, sizes their core shares to maximize total importance, and
//! grants these shares to the shards. State that must survive failures is kept in the state store, which every
//! controller replicates in memory. See `docs/design.md` and `docs/safety.md`.
//!
//! - Controller: [`service`] runs the loops and the I/O around [`controller`], which holds the state and performs no
//!   I/O. [`lease`] tells what a controller may do at a given time. [`standby`] follows the leader's decisions and
//!   takes over from it.
//! - Leader: [`leader`] computes epochs from a [`cluster_view`], with [`admission`], [`autoscaler`] and [`fleet`].
//! - Shard: [`shard`] manages the machines of a controller; [`placement`] selects machines for tasks.
//! - State store: [`store_client`] is its client, [`replica`] its in-memory copy, and [`message_chunks`] splits
//!   messages that controllers exchange through it.
//! - Interfaces: [`api`] serves users and workers, [`peer`] defines the messages between controllers, [`cloud`] rents
//!   and returns machines. [`wire`] defines the protocol's messages and [`http`] transports them.

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
pub mod offered_load;
pub mod peer;
pub mod placement;
pub mod replica;
pub mod request_count;
pub mod resources;
pub mod service;
pub mod shard;
pub mod standby;
pub mod store_client;
pub mod wire;

pub use willowshore_model as model;
