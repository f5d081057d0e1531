//! willowshore: a cluster scheduler.
//!
//! Controllers share the machines by hashing: each owns a shard, answers its workers' heartbeats and places tasks on its
//! machines. One of them leads. In every epoch the leader admits jobs down to a waterline in the order of their ranks, and
//! sizes their core shares to maximize summed importance; it grants these to the shards. What must survive a failure is in
//! the state store, of which every controller keeps a replica. See `docs/design.md` and `docs/safety.md`.
//!
//! - A controller: [`service`] runs its loops around [`controller`], which decides without connections; [`lease`] says
//!   what it may do, [`standby`] follows the leader and replaces it.
//! - The leader: [`leader`] works out epochs on a [`cluster_view`], with [`admission`], [`autoscaler`] and [`fleet`].
//! - A shard: [`shard`] owns machines; [`placement`] chooses among them.
//! - The store: [`store_client`] talks to it, [`replica`] mirrors it, [`message_chunks`] sends messages through it.
//! - Interfaces: [`api`] serves users and workers, [`peer`] other controllers, [`cloud`] scales machines out and in, [`wire`] and
//!   [`http`] carry all of it.

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
pub mod resources;
pub mod service;
pub mod shard;
pub mod standby;
pub mod store_client;
pub mod wire;

pub use willowshore_model as model;
