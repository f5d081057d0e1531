//! One controller: its state, and the loops that keep what is close to what is wanted.
//!
//! [`Service::run`] starts all loops and lists what each does; each lives in a module named for its job, with the queue
//! or the wake-up that it serves. Everything runs on one thread, and the loops share [`Controller`] through a `RefCell`.
//!
//! Invariant: no `RefCell` borrow is held across an `await`. A loop borrows the controller, takes what it needs out, and
//! drops the borrow before it waits; after the wait the state may have changed, so it looks again. What a loop decides
//! takes effect only once the store has confirmed it; see `docs/safety.md`.

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
use crate::store_client::StoreClient;

pub(crate) use cancellations::CancellationOutcome;
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

/// Where a controller shows operators the state of its warm standby, on its address for the other controllers.
pub const STATUS_PATH: &str = "/standby";

/// Time between two messages through the store to one controller: they share the store's budget with all other writes.
const STORE_MESSAGE_PERIOD: Duration = Duration::from_millis(350);
/// Most bytes of a message between controllers.
const MAX_PEER_MESSAGE_BYTES: usize = 1 << 20;
/// Most bytes that a summary fills of such a message, with room for what its estimate leaves out.
const MAX_SUMMARY_BYTES: usize = MAX_PEER_MESSAGE_BYTES * 3 / 4;
/// Bytes of a message's chunk for each kilobyte that a value in the store may have; the rest is for the value's own
/// encoding.
const CHUNK_BYTES_PER_VALUE_KB: f64 = 900.0;
/// Sockets reserved for the store, the cloud, the other controllers and the process itself.
const RESERVED_SOCKETS: usize = 80;
/// Fewest connections that the public address takes, however few sockets there are.
const MIN_PUBLIC_CONNECTIONS: usize = 32;
/// Connections that the address for the other controllers takes.
const PEER_CONNECTIONS: usize = 24;

/// Bytes of a message through the store that go into one value.
fn message_chunk_bytes(limits: &StoreLimits) -> usize {
    (limits.value_kb * CHUNK_BYTES_PER_VALUE_KB) as usize
}

/// Bounds of the public address, within so many sockets: all workers of a fleet must fit in, whatever users do.
fn public_limits(sockets: usize) -> ServerLimits {
    let reserved = RESERVED_SOCKETS + max_direct_commands(sockets);
    let connections = sockets.saturating_sub(reserved).max(MIN_PUBLIC_CONNECTIONS);
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

/// Wake-ups of loops that otherwise look at their work from time to time.
#[derive(Default)]
struct WakeUps {
    /// For [`Service::run_epochs`]: jobs, progress or a summary changed what the leader decides on.
    epoch: Notify,
    /// For [`Service::send_summaries`]: the shard or the leader changed.
    summary: Notify,
    /// For [`Service::run_elections`]: the leader's key or this controller's lease changed.
    election: Notify,
    /// For [`Service::write_completions`]: tasks completed.
    completions: Notify,
}

/// One controller.
pub struct Service {
    /// Settings.
    pub settings: Rc<Settings>,
    /// This controller's index among all controllers.
    pub me: NodeId,
    /// How many controllers the site has.
    nodes: usize,
    /// When the process started; [`Service::now`] counts from here.
    started: Instant,
    /// What this controller knows and decides.
    pub controller: RefCell<Controller>,
    /// The state service.
    pub store: StoreClient,
    cloud: CloudClient,
    /// The other controllers, and how they are reached.
    peers: Peers,
    wake_ups: WakeUps,
    /// Callers that wait until the replica is confirmed to be current.
    confirmations: ConfirmationQueue,
    /// Submissions that wait for the next group commit.
    submissions: SubmissionQueue,
    /// As the leader, when each controller's last summary came through the store, and the answer to it.
    responses_through_store: RefCell<HashMap<NodeId, (MonotonicTime, PeerResponse)>>,
    /// User requests being served.
    pub(crate) serving: Cell<usize>,
    /// Direct commands that machines have not answered yet.
    direct_commands_in_flight: Cell<usize>,
    metrics: LatencyMetrics,
    /// Microseconds that the last epoch took.
    epoch_us: Cell<u64>,
}

impl Service {
    /// A controller with these settings and what is enabled besides.
    pub fn new(settings: Settings, feature_flags: FeatureFlags) -> Self {
        // Kept below 2^53 so that every reader of numbers takes it.
        let incarnation = Incarnation(rand::rng().random_range(1..(1 << 53)));
        let settings = Rc::new(settings);
        let mut controller = Controller::new(settings.clone(), incarnation);
        if let Some(standby) = feature_flags.standby {
            controller.enable_standby(standby);
        }
        Service {
            me: controller.me,
            nodes: controller.nodes.len(),
            peers: Peers::new(&controller.nodes),
            store: StoreClient::new(
                settings.external.store,
                &settings.params.store,
                settings.params.nodes,
            ),
            cloud: CloudClient::new(settings.external.cloud, settings.params.cloud.rps),
            controller: RefCell::new(controller),
            settings,
            started: Instant::now(),
            wake_ups: WakeUps::default(),
            confirmations: ConfirmationQueue::default(),
            submissions: SubmissionQueue::default(),
            responses_through_store: RefCell::default(),
            serving: Cell::new(0),
            direct_commands_in_flight: Cell::new(0),
            metrics: LatencyMetrics::default(),
            epoch_us: Cell::new(0),
        }
    }

    /// Now, by this process's steady clock.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_millis() as u64)
    }

    /// Now, by the time of day.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since.as_millis() as u64)
    }

    /// Now, by both clocks.
    pub fn moment(&self) -> ClockReading {
        ClockReading { steady: self.now(), wall: self.wall() }
    }

    /// Serves until the process is killed.
    pub async fn run(self: Rc<Self>) -> std::io::Result<()> {
        let api = TcpListener::bind(self.settings.api_addr).await?;
        let back = TcpListener::bind(self.settings.peer_addr).await?;
        let incarnation = self.controller.borrow().incarnation;
        let version = env!("CARGO_PKG_VERSION");
        info!(node = %self.settings.node_name, %incarnation, version, "serving");
        self.clone().spawn_servers(api, back);
        self.clone().spawn_loops();
        self.follow_store().await;
        Ok(())
    }

    /// Serves the public address and the one for the other controllers.
    fn spawn_servers(self: Rc<Self>, api: TcpListener, back: TcpListener) {
        let limits = public_limits(self.settings.params.limits.sockets);
        let service = self.clone();
        spawn_local(http::serve(api, limits, move |request| {
            let service = service.clone();
            async move { service.handle_request(request).await }
        }));
        let limits = ServerLimits {
            max_body_bytes: MAX_PEER_MESSAGE_BYTES,
            ..ServerLimits::new(PEER_CONNECTIONS)
        };
        spawn_local(http::serve(back, limits, move |request| {
            let service = self.clone();
            async move { service.handle_peer_request(&request.path, &request.body).await }
        }));
    }

    /// Starts the loops. [`Service::follow_store`], which keeps the replica current, runs besides them.
    fn spawn_loops(self: Rc<Self>) {
        // Renews the lease in the store and registers this process as a member.
        spawn_local(self.clone().keep_lease());
        // Runs for leader when nobody leads.
        spawn_local(self.clone().run_elections());
        // Sends the shard's summaries to the leader and applies its plans.
        spawn_local(self.clone().send_summaries());
        // As the leader, works out epochs, writes and publishes them.
        spawn_local(self.clone().run_epochs());
        // As the leader, scales the fleet out and in.
        spawn_local(self.clone().run_scaling());
        // Writes completed tasks to the store.
        spawn_local(self.clone().write_completions());
        // Writes submissions to the store in group commits.
        spawn_local(self.clone().write_submissions());
        // Confirms that the replica is current to those that wait for it.
        spawn_local(self.clone().serve_confirmations());
        // Logs counts and times of what is done.
        spawn_local(self.clone().log_measurements());
        // While the store does not serve this controller, receives new terms from peers.
        spawn_local(self.clone().learn_term_from_peers());
        // Sends machines what cannot wait for their next heartbeat.
        spawn_local(self.clone().send_direct_commands());
        if self.controller.borrow().standby.is_some() {
            info!("the warm standby is enabled");
            // Watches the leader, and replaces it when a majority receives nothing from it.
            spawn_local(self.watch_leader());
        }
    }
}
