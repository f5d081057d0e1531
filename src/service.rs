//! One controller process: its state and its loops, which are asynchronous tasks.
//!
//! [`Service::run`] starts all loops. Each loop is in the module named after its subject, together
//! with its queue or its wake-up. Everything runs on one thread, and the loops share [`Controller`]
//! in a `RefCell`.
//!
//! Invariant: no `RefCell` borrow is held across an `await`. A loop borrows the controller, takes
//! what it needs and ends the borrow before it awaits. The state may have changed by the end of the
//! await, so the loop reads it again. A decision takes effect only once the store has confirmed it;
//! see `docs/safety.md`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::info;

use self::cancellations::CancellationQueue;
use self::confirmations::ConfirmationQueue;
use self::direct_commands::max_direct_commands;
use self::peers::Peers;
use self::submissions::SubmissionQueue;
use crate::cloud::CloudClient;
use crate::config::{Settings, StoreLimits};
use crate::controller::Controller;
use crate::feature_flags::FeatureFlags;
use crate::http::{self, ClientKind, ServerLimits};
use crate::metrics::LatencyMetrics;
use crate::model::{ClockReading, Incarnation, MonotonicTime, NodeId, WallTime};
use crate::peer::PeerResponse;
use crate::request_count::RequestCount;
use crate::store_client::StoreClient;

pub(crate) use cancellations::{CancellationOutcome, EndedJobStatus};
pub use confirmations::ConfirmError;
pub(crate) use submissions::SubmissionOutcome;

mod cancellations;
mod completions;
mod confirmations;
mod direct_commands;
mod epochs;
mod failover;
mod heartbeats;
mod leader_election;
mod peers;
mod scaling;
mod store_messages;
mod store_watch;
mod submissions;
mod summaries;

/// Path of the warm standby's status, on a controller's address for other controllers.
pub const STATUS_PATH: &str = "/standby";

/// Minimum time between two messages to one controller through the store. The messages share the
/// store's request budget with all other writes.
const STORE_MESSAGE_PERIOD: Duration = Duration::from_millis(350);
/// Maximum size in bytes of a request body from another controller.
const MAX_PEER_MESSAGE_BYTES: usize = 1 << 20;
/// Byte budget of a summary that is sent directly to the leader. The remaining quarter of the
/// request body covers what the size estimate leaves out.
const MAX_SUMMARY_BYTES: usize = MAX_PEER_MESSAGE_BYTES * 3 / 4;
/// Size in bytes of a message chunk for each kilobyte that the store allows for a value. The
/// remainder covers the encoding of the value.
const CHUNK_BYTES_PER_VALUE_KB: f64 = 900.0;
/// Number of sockets reserved for the store, the cloud, other controllers and the process itself.
const RESERVED_SOCKETS: usize = 80;
/// Minimum number of connections of the public server, whatever the limit on sockets.
const MIN_PUBLIC_CONNECTIONS: usize = 32;
/// Maximum number of connections of the server for other controllers.
const MAX_PEER_CONNECTIONS: usize = 24;

/// Returns the maximum size in bytes of a message chunk, which is stored as one value of the store.
fn message_chunk_bytes(limits: &StoreLimits) -> usize {
    (limits.value_kb * CHUNK_BYTES_PER_VALUE_KB) as usize
}

/// Returns the limits of the public server for a process limited to `sockets` sockets. Users get
/// only a share of the connections, so that all workers of a fleet can connect whatever users do.
fn public_server_limits(sockets: usize) -> ServerLimits {
    let reserved_sockets = RESERVED_SOCKETS + max_direct_commands(sockets);
    let connections = sockets.saturating_sub(reserved_sockets).max(MIN_PUBLIC_CONNECTIONS);
    let classify = |path: &str| match path.starts_with("/api/") {
        true => ClientKind::User,
        false => ClientKind::Worker,
    };
    ServerLimits {
        max_user_connections: connections * 3 / 10,
        max_unclassified_connections: (connections / 8).max(8),
        classify,
        ..ServerLimits::new(connections)
    }
}

/// Wake-ups of loops that otherwise run periodically.
#[derive(Default)]
struct WakeUps {
    /// Wakes [`Service::run_epochs`]: the leader's inputs (jobs, progress or a summary) changed.
    epoch: Notify,
    /// Wakes [`Service::send_summaries`]: the shard or the leader changed.
    summary: Notify,
    /// Wakes [`Service::run_elections`]: the leader's key or this controller's lease changed.
    election: Notify,
    /// Wakes [`Service::write_completions`]: tasks completed.
    completions: Notify,
}

/// One controller process.
pub struct Service {
    /// Settings of this controller and of the cluster.
    pub settings: Rc<Settings>,
    /// Index of this controller among all controllers of the cluster.
    pub node_id: NodeId,
    /// Number of controllers of the cluster.
    controller_count: usize,
    /// Start of the process, from which [`Service::now`] counts.
    started_at: Instant,
    /// State and decisions of this controller, which need no connections.
    pub controller: RefCell<Controller>,
    /// Client of the state service, called the store.
    pub store: StoreClient,
    cloud: CloudClient,
    /// Clients for requests to other controllers.
    peers: Peers,
    wake_ups: WakeUps,
    /// Callers waiting for a confirmation that the replica is current.
    confirmations: ConfirmationQueue,
    /// Requests waiting for cancellations to become effective.
    cancellations: CancellationQueue,
    /// Submissions waiting for the next group commit.
    submissions: SubmissionQueue,
    /// On the leader, the response to the last summary that each controller sent through the store,
    /// and the time at which the summary was received.
    store_summary_responses: RefCell<HashMap<NodeId, (MonotonicTime, PeerResponse)>>,
    /// Number of user requests in progress.
    pub(crate) user_requests: RequestCount,
    /// Number of direct commands that machines have not answered yet.
    direct_commands_in_flight: Cell<usize>,
    metrics: LatencyMetrics,
    /// Computation time of the last epoch, in microseconds.
    last_epoch_us: Cell<u64>,
}

impl Service {
    /// Creates a controller from the settings and the enabled features.
    pub fn new(settings: Settings, feature_flags: FeatureFlags) -> Self {
        // Below 2^53, so that decoders that read numbers as doubles keep the exact value.
        let incarnation = Incarnation(rand::rng().random_range(1..(1 << 53)));
        let settings = Rc::new(settings);
        let mut controller = Controller::new(settings.clone(), incarnation);
        if let Some(standby) = feature_flags.standby {
            controller.enable_standby(standby);
        }
        Service {
            node_id: controller.local_node,
            controller_count: controller.nodes.len(),
            cancellations: CancellationQueue::new(controller.nodes.len()),
            peers: Peers::new(&controller.nodes),
            store: StoreClient::new(
                settings.external.store,
                &settings.params.store,
                settings.params.nodes,
            ),
            cloud: CloudClient::new(settings.external.cloud, settings.params.cloud.rps),
            controller: RefCell::new(controller),
            settings,
            started_at: Instant::now(),
            wake_ups: WakeUps::default(),
            confirmations: ConfirmationQueue::default(),
            submissions: SubmissionQueue::default(),
            store_summary_responses: RefCell::default(),
            user_requests: RequestCount::default(),
            direct_commands_in_flight: Cell::new(0),
            metrics: LatencyMetrics::default(),
            last_epoch_us: Cell::new(0),
        }
    }

    /// Current time of this process's monotonic clock.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started_at.elapsed().as_millis() as u64)
    }

    /// Current time of day.
    pub fn wall_time(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since_epoch.as_millis() as u64)
    }

    /// Current time of both clocks.
    pub fn clock_reading(&self) -> ClockReading {
        ClockReading { monotonic: self.now(), wall: self.wall_time() }
    }

    /// Runs the controller until the process is killed.
    ///
    /// # Errors
    /// Fails if one of the two addresses cannot be bound.
    pub async fn run(self: Rc<Self>) -> std::io::Result<()> {
        let public_listener = TcpListener::bind(self.settings.api_addr).await?;
        let peer_listener = TcpListener::bind(self.settings.peer_addr).await?;
        let incarnation = self.controller.borrow().incarnation;
        let version = env!("CARGO_PKG_VERSION");
        info!(node = %self.settings.node_name, %incarnation, version, "serving");
        self.clone().spawn_servers(public_listener, peer_listener);
        self.clone().spawn_loops();
        self.follow_store().await;
        Ok(())
    }

    /// Starts the public server and the server for other controllers.
    fn spawn_servers(self: Rc<Self>, public_listener: TcpListener, peer_listener: TcpListener) {
        let limits = public_server_limits(self.settings.params.limits.sockets);
        let service = self.clone();
        spawn_local(http::serve(public_listener, limits, move |request| {
            let service = service.clone();
            async move { service.handle_request(request).await }
        }));
        let limits = ServerLimits {
            max_body_bytes: MAX_PEER_MESSAGE_BYTES,
            ..ServerLimits::new(MAX_PEER_CONNECTIONS)
        };
        spawn_local(http::serve(peer_listener, limits, move |request| {
            let service = self.clone();
            async move { service.handle_peer_request(&request.path, &request.body).await }
        }));
    }

    /// Starts all loops except [`Service::follow_store`], which keeps the replica current.
    fn spawn_loops(self: Rc<Self>) {
        // Renews the store lease and registers this process as a member.
        spawn_local(self.clone().maintain_lease());
        // Stands for election while there is no leader.
        spawn_local(self.clone().run_elections());
        // Sends summaries of the shard to the leader and applies the leader's plans.
        spawn_local(self.clone().send_summaries());
        // On the leader, computes, commits and publishes epochs.
        spawn_local(self.clone().run_epochs());
        // On the leader, scales the fleet out and in.
        spawn_local(self.clone().run_scaling());
        // Commits completed tasks to the store.
        spawn_local(self.clone().write_completions());
        // Commits submissions to the store in groups.
        spawn_local(self.clone().write_submissions());
        // Confirms to waiting callers that the replica is current.
        spawn_local(self.clone().serve_confirmations());
        // Sends cancellation notices to each of the other controllers.
        for node in self.other_nodes() {
            spawn_local(self.clone().send_cancellation_notices(node));
        }
        // Logs operation counts and latencies.
        spawn_local(self.clone().log_measurements());
        // Requests the leader and its term from peers while the store does not serve this
        // controller.
        spawn_local(self.clone().learn_term_from_peers());
        // Sends machines the commands that cannot wait for the next heartbeat.
        spawn_local(self.clone().send_direct_commands());
        if self.controller.borrow().standby.is_some() {
            info!("warm standby enabled");
            // Monitors the leader, and replaces it once a majority of the controllers receives
            // nothing from it.
            spawn_local(self.watch_leader());
        }
    }
}
