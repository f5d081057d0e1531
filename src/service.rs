//! One controller: its state, and the loops that keep what is close to what is wanted.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::info;

use crate::cloud::CloudClient;
use crate::config::{Settings, StoreLimits};
use crate::controller::Controller;
use crate::feature_flags::FeatureFlags;
use crate::http::{self, Client, ClientKind, ServerLimits};
use crate::metrics::LatencyMetrics;
use crate::model::{ClockReading, Incarnation, MonotonicTime, NodeId, WallTime};
use crate::peer::PeerResponse;
use crate::store_client::StoreClient;
use crate::wire::JobSpec;

pub use reporting::STATUS_PATH;

mod epochs;
mod failover;
mod job_writes;
mod leader_election;
mod reporting;
mod scaling;
mod store_messages;
mod store_watch;

/// Time between two messages through the store.
const STORE_MESSAGE_PERIOD: Duration = Duration::from_millis(350);
/// Most transactions that a message through the store takes, and how many a summary fills.
const MAX_TXNS_PER_MESSAGE: usize = 16;
const TXNS_PER_SUMMARY: usize = 2;
/// Most bytes of a message between controllers, and about how many of them a summary fills.
const PEER_BYTES: usize = 1 << 20;
const DIRECT_BYTES: usize = PEER_BYTES * 3 / 4;

type Waiter = oneshot::Sender<bool>;

/// A submission that waits for the next group commit, and where its outcome goes.
pub(crate) type Submission = (JobSpec, oneshot::Sender<SubmissionOutcome>);

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionOutcome {
    /// It is durable, and was not there before.
    New,
    /// The job was known already.
    Known,
    /// The store did not take it.
    Failed,
}

/// Machines that are told of a term at a time, so that the rest of the sockets is left alone.
fn announcements(sockets: usize) -> usize {
    (sockets / 40).clamp(8, 64)
}

/// Bytes of a message through the store that go into one value.
fn message_chunk_bytes(limits: &StoreLimits) -> usize {
    (limits.value_kb * 900.0) as usize
}

/// Bounds of the public address: all workers of a fleet must fit in, whatever users do.
fn public_limits(connections: usize) -> ServerLimits {
    let kind = |path: &str| match path.starts_with("/api/") {
        true => ClientKind::User,
        false => ClientKind::Worker,
    };
    ServerLimits {
        users: connections * 3 / 10,
        fresh: (connections / 8).max(8),
        kind,
        ..ServerLimits::of(connections)
    }
}

/// One controller.
pub struct Service {
    /// Settings.
    pub settings: Rc<Settings>,
    /// This one's place among all controllers.
    pub me: NodeId,
    nodes: usize,
    started: Instant,
    /// State.
    pub controller: RefCell<Controller>,
    /// The state service.
    pub store: StoreClient,
    cloud: CloudClient,
    peers: Vec<Rc<Client>>,
    wake_epoch: Notify,
    wake_shard_report: Notify,
    wake_election: Notify,
    wake_completions: Notify,
    wake_accept: Notify,
    wake_confirm: Notify,
    confirms: RefCell<Vec<Waiter>>,
    accepts: RefCell<Vec<Submission>>,
    responses_through_store: RefCell<HashMap<NodeId, (MonotonicTime, PeerResponse)>>,
    /// User requests being served.
    pub(crate) serving: Cell<usize>,
    announcing: Cell<usize>,
    /// Controllers' names.
    names: Vec<String>,
    /// When operators were last told of a message that was not understood.
    told_unread: Cell<Option<MonotonicTime>>,
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
            names: controller.nodes.iter().map(|n| n.name.clone()).collect(),
            me: controller.me,
            nodes: controller.nodes.len(),
            peers: controller
                .nodes
                .iter()
                .map(|n| Rc::new(Client::new(n.peer_addr, 4 << 20)))
                .collect(),
            store: StoreClient::new(
                settings.external.store,
                &settings.params.store,
                settings.params.nodes,
            ),
            cloud: CloudClient::new(settings.external.cloud, settings.params.cloud.rps),
            controller: RefCell::new(controller),
            settings,
            started: Instant::now(),
            wake_epoch: Notify::new(),
            wake_shard_report: Notify::new(),
            wake_election: Notify::new(),
            wake_completions: Notify::new(),
            wake_accept: Notify::new(),
            wake_confirm: Notify::new(),
            confirms: RefCell::default(),
            accepts: RefCell::default(),
            responses_through_store: RefCell::default(),
            serving: Cell::new(0),
            announcing: Cell::new(0),
            told_unread: Cell::new(None),
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
        let sockets = self.settings.params.limits.sockets;
        let s = self.clone();
        spawn_local(http::serve(
            api,
            public_limits(sockets.saturating_sub(80 + announcements(sockets)).max(32)),
            move |request| {
                let s = s.clone();
                async move { s.answer(request).await }
            },
        ));
        let s = self.clone();
        let limits = ServerLimits { body: PEER_BYTES, ..ServerLimits::of(24) };
        spawn_local(http::serve(back, limits, move |request| {
            let s = s.clone();
            async move { s.answer_peer(&request.path, &request.body).await }
        }));
        spawn_local(self.clone().keep_lease());
        spawn_local(self.clone().elect());
        spawn_local(self.clone().report_shard());
        spawn_local(self.clone().run_epochs());
        spawn_local(self.clone().scale_out_and_in());
        spawn_local(self.clone().write_completions());
        spawn_local(self.clone().write_accepted());
        spawn_local(self.clone().serve_confirms());
        spawn_local(self.clone().describe());
        spawn_local(self.clone().ask_who_leads());
        spawn_local(self.clone().announce_term());
        if self.controller.borrow().standby.is_some() {
            info!("the warm standby is enabled");
            spawn_local(self.clone().watch_leader());
        }
        self.follow_store().await;
        Ok(())
    }
}
