//! One controller: its state, and the loops that keep what is close to what is wanted.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use tracing::{debug, error, info, warn};

use crate::capacity::Offer;
use crate::cloud::{CloudClient, CloudError};
use crate::config::{Settings, StateLimits};
use crate::core::{Core, Moment, accept_txn};
use crate::http::{self, Client, Kind, Response, ServerLimits};
use crate::lead::Lead;
use crate::ledger::{self, Brought, Ledger};
use crate::meter::{Meter, Work};
use crate::model::{Incarnation, JobId, NodeId, Revision, Steady, Term, Wall};
use crate::part::{Announcement, ReportAnswer};
use crate::peer::{self, Ask, Relayed, Summary, Tell};
use crate::relay;
use crate::state::{Committed, PageSize, StateClient, StateError};
use crate::term::LEASE_MS;
use crate::wire::{self, Change, Direct, Guard, JobSpec, Rental, Txn};

/// Longest wait between two epochs; arrivals and reports bring them sooner.
const EPOCH: Duration = Duration::from_millis(1_000);
/// Shortest time between two epochs.
const EPOCH_LEAST: Duration = Duration::from_millis(60);
/// Longest rest after an epoch that cost much.
const EPOCH_REST: Duration = Duration::from_millis(250);
/// Longest wait between two summaries of a part; news bring them sooner.
const SUMMARY: Duration = Duration::from_millis(200);
/// Shortest time between two summaries.
const SUMMARY_LEAST: Duration = Duration::from_millis(60);
/// Time between two messages through the store.
const RELAY: Duration = Duration::from_millis(350);
/// Most transactions that a message through the store takes, and how many a summary fills.
const RELAY_TXNS: usize = 16;
const RELAY_SUMMARY_TXNS: usize = 2;
/// Most bytes of a message between controllers, and about how many of them a summary fills.
const PEER_BYTES: usize = 1 << 20;
const DIRECT_BYTES: usize = PEER_BYTES * 3 / 4;
/// Failures after which the leader is told through the store, and how often it is still
/// tried directly then.
const DIRECT_FAILURES: u32 = 2;
const DIRECT_AGAIN_MS: u64 = 2_500;
/// Most machines in one rental, as the cloud has it.
const MOST_RENTED: u32 = 50;
/// Time between two looks at who is to be told of a term, and how long telling may take.
const ANNOUNCE: Duration = Duration::from_millis(100);
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Least time between two writes of completions.
const GATHER: Duration = Duration::from_millis(150);

type Waiter = oneshot::Sender<bool>;

/// A submission that waits for the next group commit, and where its outcome goes.
pub(crate) type Submission = (JobSpec, oneshot::Sender<Accepting>);

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Accepting {
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
fn relay_value(limits: &StateLimits) -> usize {
    (limits.value_kb * 900.0) as usize
}

/// Bounds of the public address: all workers of a fleet must fit in, whatever users do.
fn public_limits(connections: usize) -> ServerLimits {
    let kind = |path: &str| match path.starts_with("/api/") {
        true => Kind::User,
        false => Kind::Worker,
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
    pub core: RefCell<Core>,
    /// The state service.
    pub store: StateClient,
    cloud: CloudClient,
    peers: Vec<Client>,
    wake_lead: Notify,
    wake_part: Notify,
    wake_election: Notify,
    wake_finish: Notify,
    wake_accept: Notify,
    wake_confirm: Notify,
    confirms: RefCell<Vec<Waiter>>,
    accepts: RefCell<Vec<Submission>>,
    relaying: RefCell<HashMap<NodeId, (Steady, Tell)>>,
    /// User requests being served.
    pub(crate) serving: Cell<usize>,
    announcing: Cell<usize>,
    /// Controllers' names.
    names: Vec<String>,
    /// When operators were last told of a message that was not understood.
    told_unread: Cell<Option<Steady>>,
    meter: Meter,
    /// Microseconds that the last epoch took.
    epoch_us: Cell<u64>,
}

impl Service {
    /// A controller with these settings.
    pub fn new(settings: Settings) -> Self {
        // Kept below 2^53 so that every reader of numbers takes it.
        let life = Incarnation(rand::rng().random_range(1..(1 << 53)));
        let settings = Rc::new(settings);
        let core = Core::new(settings.clone(), life);
        Service {
            names: core.nodes.iter().map(|n| n.name.clone()).collect(),
            me: core.me,
            nodes: core.nodes.len(),
            peers: core.nodes.iter().map(|n| Client::new(n.back, 4 << 20)).collect(),
            store: StateClient::new(
                settings.outside.state,
                &settings.params.state,
                settings.params.nodes,
            ),
            cloud: CloudClient::new(settings.outside.cloud, settings.params.cloud.rps),
            core: RefCell::new(core),
            settings,
            started: Instant::now(),
            wake_lead: Notify::new(),
            wake_part: Notify::new(),
            wake_election: Notify::new(),
            wake_finish: Notify::new(),
            wake_accept: Notify::new(),
            wake_confirm: Notify::new(),
            confirms: RefCell::default(),
            accepts: RefCell::default(),
            relaying: RefCell::default(),
            serving: Cell::new(0),
            announcing: Cell::new(0),
            told_unread: Cell::new(None),
            meter: Meter::default(),
            epoch_us: Cell::new(0),
        }
    }

    /// Now, by this process's steady clock.
    pub fn now(&self) -> Steady {
        Steady(self.started.elapsed().as_millis() as u64)
    }

    /// Now, by the time of day.
    pub fn wall(&self) -> Wall {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Wall(since.as_millis() as u64)
    }

    /// Now, by both clocks.
    pub fn moment(&self) -> Moment {
        Moment { steady: self.now(), wall: self.wall() }
    }

    /// Serves until the process is killed.
    pub async fn run(self: Rc<Self>) -> std::io::Result<()> {
        let api = TcpListener::bind(self.settings.api_addr).await?;
        let back = TcpListener::bind(self.settings.back).await?;
        let life = self.core.borrow().life;
        let version = env!("CARGO_PKG_VERSION");
        info!(node = %self.settings.node_name, %life, version, "serving");
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
        spawn_local(self.clone().report_part());
        spawn_local(self.clone().lead());
        spawn_local(self.clone().rent_and_return());
        spawn_local(self.clone().write_finished());
        spawn_local(self.clone().write_accepted());
        spawn_local(self.clone().serve_confirms());
        spawn_local(self.clone().describe());
        spawn_local(self.clone().ask_who_leads());
        spawn_local(self.clone().announce_term());
        self.follow_store().await;
        Ok(())
    }

    // ---- the replica ----

    /// Keeps the replica current.
    async fn follow_store(&self) {
        loop {
            if !self.core.borrow().loaded {
                if let Err(e) = self.load().await {
                    debug!(error = %e, "the store cannot be read yet");
                    sleep(Duration::from_millis(200)).await;
                    continue;
                }
                info!("the store has been read");
            }
            match self.pull(self.watch_for()).await {
                Ok(()) => sleep(Duration::from_millis(40)).await,
                Err(StateError::TooOld) => self.core.borrow_mut().loaded = false,
                Err(e) => {
                    debug!(error = %e, "cannot follow the store");
                    sleep(Duration::from_millis(150)).await;
                }
            }
        }
    }

    /// How long a watch waits for changes. Its answer proves that the replica was current when it was
    /// asked for, so the wait has to be well within what such a proof is good for.
    fn watch_for(&self) -> Duration {
        Duration::from_millis((self.settings.keep_alive_ms() / 4).clamp(100, 1_000))
    }

    /// Reads the whole store.
    async fn load(&self) -> Result<(), StateError> {
        let sent = self.now();
        let mut first: Option<Revision> = None;
        // Pages as they were read take many times what the replica keeps of them, so each is taken at once.
        let mut replica = Ledger::new(self.me);
        let mut items = 0;
        for prefix in ledger::KEY_PREFIXES {
            let mut after: Option<String> = None;
            let mut size = PageSize::default();
            loop {
                let (page, next) = self.store.page(prefix, after.as_deref(), size).await?;
                size = next;
                first.get_or_insert(page.epoch);
                after = page.items.last().map(|i| i.path.clone());
                items += page.items.len();
                page.items.iter().for_each(|item| replica.load(item, &mut Brought::default()));
                if !page.truncated || after.is_none() {
                    break;
                }
            }
        }
        self.core.borrow_mut().take_replica(replica, first.unwrap_or_default());
        debug!(items, sent = sent.0, "loaded");
        self.pull(Duration::ZERO).await?;
        let all =
            Brought { jobs: true, progress: true, lead: true, relay: true, ..Brought::default() };
        self.note(&all);
        Ok(())
    }

    /// Takes changes, waiting for some for up to `wait`.
    async fn pull(&self, wait: Duration) -> Result<(), StateError> {
        let sent = self.now();
        let after = self.core.borrow().changes_from().ok_or(StateError::Unknown)?;
        let got = self.store.changes(after, wait).await;
        let brought = {
            let mut core = self.core.borrow_mut();
            core.store_ok = got.is_ok();
            let got = got?;
            self.meter.time(Work::Watch, || core.apply(&got, sent)).ok_or(StateError::TooOld)?
        };
        self.note(&brought);
        Ok(())
    }

    /// Follows a change and wakes the loops that it concerns.
    fn note(&self, brought: &Brought) {
        self.core.borrow_mut().follow(self.moment(), brought);
        if brought.lead {
            self.wake_election.notify_one();
            self.wake_part.notify_one();
        }
        if brought.lead || brought.jobs || brought.progress {
            self.wake_lead.notify_one();
        }
        if brought.relay {
            self.take_relayed();
        }
    }

    /// Waits until the replica is known to be as current as this moment; false if the store
    /// does not say so. Callers that come together share one request.
    pub async fn confirm(&self) -> bool {
        if !self.core.borrow().loaded {
            return false;
        }
        let (tx, rx) = oneshot::channel();
        self.confirms.borrow_mut().push(tx);
        self.wake_confirm.notify_one();
        matches!(timeout(Duration::from_millis(900), rx).await, Ok(Ok(true)))
    }

    async fn serve_confirms(self: Rc<Self>) {
        loop {
            self.wake_confirm.notified().await;
            loop {
                let waiting = std::mem::take(&mut *self.confirms.borrow_mut());
                if waiting.is_empty() {
                    break;
                }
                let ok = self.pull(Duration::ZERO).await.is_ok();
                for w in waiting {
                    let _ = w.send(ok);
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    // ---- lease and leadership ----

    async fn keep_lease(self: Rc<Self>) {
        loop {
            let pause = match self.renew_lease().await {
                Ok(()) => 700,
                Err(e) => {
                    debug!(error = %e, "lease not renewed");
                    200
                }
            };
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn renew_lease(&self) -> Result<(), StateError> {
        if !self.core.borrow().loaded {
            return Err(StateError::Unknown);
        }
        let lease = self.core.borrow().rights.lease;
        if let Some(lease) = lease {
            let sent = self.now();
            return match self.store.renew(lease).await {
                Ok(()) => {
                    self.core.borrow_mut().rights.confirm_renewal(sent);
                    Ok(())
                }
                Err(e) => {
                    if e == StateError::NoLease {
                        warn!("the lease in the store has ended");
                        self.core.borrow_mut().rights.lose_lease();
                    }
                    Err(e)
                }
            };
        }
        let lease = self.store.grant(LEASE_MS).await?;
        let txn = self.core.borrow().member_txn(lease);
        let sent = self.now();
        match self.store.commit(&txn).await? {
            Committed::Yes(_) => {
                let mut core = self.core.borrow_mut();
                core.rights.lease = Some(lease);
                core.rights.confirm_renewal(sent);
                drop(core);
                self.wake_election.notify_one();
                Ok(())
            }
            Committed::No(_) => {
                self.pull(Duration::ZERO).await?;
                Err(StateError::Unknown)
            }
        }
    }

    async fn elect(self: Rc<Self>) {
        loop {
            let _ = timeout(Duration::from_millis(500), self.wake_election.notified()).await;
            let Some(own) = self.core.borrow().may_stand(self.now()) else {
                continue;
            };
            if !own {
                let wait = rand::rng().random_range(0..120);
                sleep(Duration::from_millis(wait)).await;
                if self.core.borrow().may_stand(self.now()).is_none() {
                    continue;
                }
            }
            if let Err(e) = self.take_lead().await {
                debug!(error = %e, "election undecided");
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// While the store does not tell, asks peers whether there is a new term.
    async fn ask_who_leads(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(500)).await;
            let age = self.core.borrow().rights.sync_age(self.now());
            if age.is_none_or(|a| a < 1_500) {
                continue;
            }
            for node in self.others() {
                if let Some(Tell::Lead(Some(lead))) = self.ask(node, &Ask::Lead, 300).await {
                    self.core.borrow_mut().hear_lead(lead);
                    self.wake_part.notify_one();
                    break;
                }
            }
        }
    }

    /// Takes the next term.
    async fn take_lead(&self) -> Result<(), StateError> {
        let txn = self.core.borrow().lead_txn().ok_or(StateError::NoLease)?;
        let outcome = self.store.commit(&txn).await?;
        debug!(?outcome, "election");
        self.pull(Duration::ZERO).await
    }

    // ---- the part ----

    async fn report_part(self: Rc<Self>) {
        let mut failures = 0u32;
        let mut before: Option<NodeId> = None;
        let (mut relayed, mut tried) = (Steady(0), Steady(0));
        loop {
            let _ = timeout(SUMMARY, self.wake_part.notified()).await;
            let leader = self.core.borrow().leader();
            let Some(leader) = leader else {
                sleep(SUMMARY_LEAST).await;
                continue;
            };
            if before.replace(leader) != Some(leader) {
                failures = 0;
            }
            let now = self.now();
            let told = if leader == self.me {
                Some(self.take_summary(self.summary(usize::MAX)))
            } else if failures < DIRECT_FAILURES || now.since(tried) >= DIRECT_AGAIN_MS {
                tried = now;
                let told = self.ask(leader, &Ask::Summary(self.summary(DIRECT_BYTES)), 600).await;
                failures = if told.is_some() { 0 } else { failures + 1 };
                told
            } else {
                if now.since(relayed) >= RELAY.as_millis() as u64 {
                    relayed = now;
                    let limits = &self.settings.params.state;
                    let room =
                        relay::capacity(relay_value(limits), limits.txn_ops * RELAY_SUMMARY_TXNS);
                    let summary = self.summary(room);
                    self.relay_summary(leader, &summary).await;
                }
                None
            };
            if let Some(tell) = told {
                let mut core = self.core.borrow_mut();
                self.meter.time(Work::Plan, || core.take_answer(tell));
            }
            sleep(SUMMARY_LEAST).await;
        }
    }

    fn summary(&self, room: usize) -> Summary {
        let mut core = self.core.borrow_mut();
        core.part.news = false;
        let now = self.now();
        self.meter.time(Work::Summary, || core.summary(now, room))
    }

    /// Tells machines of a new term straight away, so that what they may still run and what may
    /// start on them does not wait for their next report.
    async fn announce_term(self: Rc<Self>) {
        let most = announcements(self.settings.params.limits.sockets);
        loop {
            sleep(ANNOUNCE).await;
            let room = most.saturating_sub(self.announcing.get());
            let due = self.core.borrow_mut().to_announce(self.now(), room);
            for a in due {
                let s = self.clone();
                s.announcing.set(s.announcing.get() + 1);
                spawn_local(async move {
                    s.announce(&a).await;
                    s.announcing.set(s.announcing.get().saturating_sub(1));
                });
            }
        }
    }

    async fn announce(&self, a: &Announcement) {
        let Ok(addr) = a.endpoint.parse() else { return };
        let body =
            wire::encode(&Direct { token: a.term, session: a.session, orders: a.orders.clone() });
        let client = Client::new(addr, wire::BODY_LIMIT * 4);
        let Ok(answer) = client.call("POST", "/do", &body, ANNOUNCE_LIMIT).await else { return };
        if !matches!(answer.status, 200 | 409) {
            return;
        }
        if let Ok(report) = wire::decode::<wire::Report>(&answer.body) {
            let mut core = self.core.borrow_mut();
            let now = self.now();
            self.meter.time(Work::Report, || core.on_announced(now, a, &report));
            if core.part.news {
                self.wake_part.notify_one();
            }
        }
    }

    /// As the leader, takes a summary and answers with the plan.
    fn take_summary(&self, summary: Summary) -> Tell {
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let (tell, changed) = self.meter.time(Work::Taken, || core.take_summary(now, summary));
        drop(core);
        if changed {
            self.wake_lead.notify_one();
        }
        if !self.core.borrow().part.finished.is_empty() {
            self.wake_finish.notify_one();
        }
        tell
    }

    /// Asks another controller.
    pub(crate) async fn ask(&self, node: NodeId, ask: &Ask, limit_ms: u64) -> Option<Tell> {
        let client = self.peers.get(usize::from(node.0))?;
        let body = peer::encode(ask);
        let answer = client.call("POST", "/peer", &body, Duration::from_millis(limit_ms)).await;
        let told = answer.ok().filter(|a| a.status == 200);
        let tell = told.as_ref().and_then(|a| peer::decode(&a.body));
        if told.is_some() && tell.is_none() {
            self.unread(self.name_of(node));
        }
        if tell.is_some() {
            self.core.borrow_mut().peer_heard = self.now();
        }
        tell
    }

    fn name_of(&self, node: NodeId) -> &str {
        self.names.get(usize::from(node.0)).map_or("an unknown controller", String::as_str)
    }

    /// Tells operators of a message that this version does not read, not more often than they need it.
    fn unread(&self, from: &str) {
        let now = self.now();
        if self.told_unread.get().is_none_or(|at| now.since(at) >= 10_000) {
            self.told_unread.set(Some(now));
            warn!(from, "a message that this version does not read is refused");
        }
    }

    async fn answer_peer(self: &Rc<Self>, path: &str, body: &[u8]) -> Response {
        if path != "/peer" {
            return Response::empty(404);
        }
        let Some(ask) = peer::decode::<Ask>(body) else {
            self.unread("a controller that does not say its name");
            return Response { close: true, ..Response::empty(400) };
        };
        self.core.borrow_mut().peer_heard = self.now();
        let tell = match ask {
            Ask::Summary(s) => {
                if usize::from(s.node.0) >= self.nodes || s.node == self.me {
                    return Response::empty(400);
                }
                self.relaying.borrow_mut().remove(&s.node);
                self.take_summary(s)
            }
            Ask::Reach => Tell::Reach(self.core.borrow().store_ok),
            Ask::Lead => Tell::Lead(self.core.borrow().lead_for_peer(self.now())),
            Ask::Submit(spec) => self.handed(self.submit(spec, false).await),
            Ask::Query(job) => self.handed(self.query(job, false).await),
            Ask::Abort(job) => self.handed(self.abort(job, false).await),
            Ask::Ended(job, progress, stamp) => {
                let brought = self.core.borrow_mut().hear_ended(job, &progress, stamp);
                self.note(&brought);
                Tell::Reach(self.core.borrow().store_ok)
            }
        };
        Response::new(200, peer::encode(&tell))
    }

    fn handed(&self, response: Response) -> Tell {
        Tell::Answer(response.status, response.body)
    }

    /// Answers a worker's report.
    pub(crate) fn on_report(&self, body: &[u8]) -> Response {
        let Ok(report) = wire::decode::<wire::Report>(body) else {
            return Response::empty(400);
        };
        let mut core = self.core.borrow_mut();
        if report.token > core.part.term() {
            // Somebody leads that this node does not know of yet.
            self.confirms.borrow_mut().push(oneshot::channel().0);
            self.wake_confirm.notify_one();
        }
        let now = self.now();
        let answer = self.meter.time(Work::Report, || core.on_report(now, &report));
        if core.part.news {
            self.wake_part.notify_one();
        }
        if !core.part.finished.is_empty() {
            self.wake_finish.notify_one();
        }
        match answer {
            ReportAnswer::Take(reply) => Response::new(200, wire::encode(&reply)),
            ReportAnswer::Go(name) => {
                Response::new(421, wire::encode(&wire::Redirect { steward: Some(name) }))
            }
            ReportAnswer::Refuse => Response::later(1),
        }
    }

    // ---- messages through the store ----

    async fn relay_summary(&self, leader: NodeId, summary: &Summary) {
        let guard = {
            let core = self.core.borrow();
            core.ledger
                .members
                .get(&self.me)
                .map(|m| Guard { path: ledger::member_key(self.me), stamp: m.1 })
        };
        let Some(guard) = guard else { return };
        self.relay(leader, guard, &peer::encode(&Relayed::Summary(Box::new(summary.clone()))))
            .await;
    }

    async fn relay(&self, to: NodeId, guard: Guard, message: &[u8]) {
        let limits = &self.settings.params.state;
        let parts = relay::split(message, relay_value(limits));
        if parts.len() > RELAY_TXNS * limits.txn_ops {
            warn!(parts = parts.len(), "message too large for the store");
            return;
        }
        let mut changes = parts.into_iter().enumerate().map(|(i, text)| Change::Set {
            path: ledger::relay_key(to, self.me, i as u32),
            value: wire::Value::Text(text),
            lease: None,
        });
        // What does not fit into one transaction follows in others. The receiver takes the message
        // once it has all its parts; while some are of another one, it waits.
        loop {
            let apply: Vec<Change> = changes.by_ref().take(limits.txn_ops).collect();
            if apply.is_empty() {
                return;
            }
            let txn = Txn { guards: vec![guard.clone()], apply };
            match self.store.commit(&txn).await {
                Ok(Committed::Yes(_)) => {}
                Ok(Committed::No(_)) => return,
                Err(e) => {
                    debug!(error = %e, "message through the store failed");
                    return;
                }
            }
        }
    }

    /// Takes messages that came through the store.
    fn take_relayed(&self) {
        let mut senders: Vec<u8> =
            self.core.borrow().ledger.relay.keys().map(|(from, _)| *from).collect();
        senders.dedup();
        for from in senders {
            let message = {
                let core = self.core.borrow();
                let parts = core.ledger.relay.range((from, 0)..=(from, u32::MAX));
                relay::join(parts.map(|(_, (text, _))| text.as_str()))
            };
            let Some(message) = message else { continue };
            match peer::decode::<Relayed>(&message) {
                Some(Relayed::Summary(summary))
                    if summary.node == NodeId(from) && self.core.borrow().lead.is_some() =>
                {
                    let tell = self.take_summary(*summary);
                    self.relaying.borrow_mut().insert(NodeId(from), (self.now(), tell));
                }
                Some(Relayed::Tell(tell)) => {
                    self.core.borrow_mut().take_answer(tell);
                }
                None => self.unread(self.name_of(NodeId(from))),
                _ => {}
            }
        }
    }

    /// As the leader, sends plans through the store to those that sent their summaries so.
    async fn relay_plans(&self) {
        let now = self.now();
        let to: Vec<(NodeId, bool)> = {
            let mut relaying = self.relaying.borrow_mut();
            relaying.retain(|_, (at, _)| now.since(*at) < 5_000);
            relaying.iter().map(|(n, (_, t))| (*n, matches!(t, Tell::SendWhole))).collect()
        };
        for (node, whole) in to {
            let message = self.core.borrow().plan_for(node, now);
            if let Some((plan, guard)) = message {
                let tell = if whole { Tell::SendWhole } else { Tell::Plan(Box::new(plan)) };
                self.relay(node, guard, &peer::encode(&Relayed::Tell(tell))).await;
            }
        }
    }

    // ---- leading ----

    async fn lead(self: Rc<Self>) {
        let mut relayed = self.now();
        loop {
            let _ = timeout(EPOCH, self.wake_lead.notified()).await;
            self.lead_once().await;
            let now = self.now();
            if now.since(relayed) >= RELAY.as_millis() as u64 {
                relayed = now;
                self.relay_plans().await;
            }
            // The leader always has time for its workers and users: an epoch that costs much
            // makes the next one wait.
            let pause = Duration::from_micros(self.epoch_us.get() * 80);
            sleep(pause.clamp(EPOCH_LEAST, EPOCH_REST)).await;
        }
    }

    /// Tells operators now and then what is done and how long it takes.
    async fn describe(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(10)).await;
            info!(work = %self.meter.line(), "measured");
            self.core.borrow_mut().with_lead(self.moment(), |lead, ctx| {
                info!(term = %lead.term, state = %lead.describe(ctx), "epoch");
            });
        }
    }

    async fn lead_once(&self) {
        let moment = self.moment();
        let (found, took) = {
            let mut core = self.core.borrow_mut();
            self.meter.timed(Work::Epoch, || core.epoch(moment))
        };
        self.epoch_us.set(took);
        let Some((epoch, term)) = found else { return };
        let renew = {
            let core = self.core.borrow();
            core.lead.as_ref().and_then(|l| l.renew_term)
        };
        if let Some(reason) = renew {
            info!(%term, reason, "taking a new term");
            if let Err(e) = self.take_lead().await {
                debug!(error = %e, "new term undecided");
                sleep(Duration::from_millis(500)).await;
            }
            return;
        }
        if let Some(txn) = &epoch.txn {
            match self.store.commit(txn).await {
                Ok(Committed::Yes(stamp)) => self.apply_own(txn, stamp),
                Ok(Committed::No(failed)) => {
                    debug!(?failed, "epoch not written");
                    let _ = self.pull(Duration::ZERO).await;
                    return;
                }
                Err(e) => {
                    debug!(error = %e, "epoch not written");
                    self.heed(&e);
                    return;
                }
            }
        }
        let granted = !epoch.is_empty();
        let moment = self.moment();
        let mut core = self.core.borrow_mut();
        self.meter.time(Work::Publish, || core.publish(moment, epoch, term));
        drop(core);
        if granted {
            self.wake_part.notify_one();
        }
    }

    /// Writes less at once when the store calls a write malformed.
    fn heed(&self, e: &StateError) {
        if matches!(e, StateError::Malformed(400)) {
            self.core.borrow_mut().tighten();
        }
    }

    /// Takes over what a transaction of this node just made durable.
    fn apply_own(&self, txn: &Txn, stamp: Revision) {
        let brought = self.core.borrow_mut().apply_own(txn, stamp);
        self.note(&brought);
    }

    // ---- the cloud ----

    async fn rent_and_return(self: Rc<Self>) {
        let mut priced: Option<Steady> = None;
        let mut listed = Steady(0);
        let mut open: VecDeque<(Rental, Offer)> = VecDeque::new();
        let mut unknown: HashSet<String> = HashSet::new();
        let mut counter = 0u32;
        loop {
            sleep(Duration::from_millis(if open.is_empty() { 400 } else { 50 })).await;
            let leading = {
                let core = self.core.borrow();
                core.lead.as_ref().filter(|_| core.rights.may_lead(self.now())).map(|l| l.term)
            };
            let known = !self.core.borrow().flavors.is_empty();
            let due = priced.is_none_or(|at| self.now().since(at) > 30_000);
            if !known || (leading.is_some() && due) {
                if self.read_flavors(leading.is_some()).await {
                    priced = Some(self.now());
                } else {
                    sleep(Duration::from_millis(600)).await;
                }
            }
            let Some(term) = leading else {
                // A rental that is still open shows up in the list for the next leader.
                open.clear();
                continue;
            };
            self.return_machines().await;
            if open.is_empty() {
                open = self.next_rentals(term, &mut counter);
            }
            // A rental whose outcome is not known is repeated under its name, after the others.
            if let Some((rental, offer)) = open.pop_front() {
                if !self.rent(&rental, &offer).await {
                    unknown.insert(rental.idempotency_key.clone());
                    open.push_back((rental, offer));
                } else if self.is_refused(&offer) {
                    // Nor would the rest of what was wanted of it be had. What went out already
                    // has to go out again until its outcome is known.
                    open.retain(|(r, o)| *o != offer || unknown.contains(&r.idempotency_key));
                }
            }
            if open.is_empty() {
                unknown.clear();
            }
            if open.is_empty()
                && let Some(lead) = &mut self.core.borrow_mut().lead
            {
                lead.decide_anew();
            }
            let lag = (self.settings.params.cloud.list_lag_s * 1000.0) as u64;
            if self.now().since(listed) > lag.clamp(2_000, 10_000) {
                listed = self.now();
                self.read_list().await;
            }
        }
    }

    async fn read_flavors(&self, leading: bool) -> bool {
        let Ok(got) = self.cloud.flavors().await else {
            return false;
        };
        // The types are kept in the store for controllers that start while the cloud is down.
        let guard = {
            let mut core = self.core.borrow_mut();
            core.set_flavors(&got);
            core.ledger.lead_guard().filter(|_| leading && core.ledger.flavors.is_none())
        };
        if let Some(guard) = guard {
            let unchanged = self.core.borrow().ledger.unchanged(ledger::FLAVORS_KEY);
            let limits = &self.settings.params.state;
            let mut pieces = ledger::flavor_pieces(&got, limits.value_bytes());
            if pieces.len() > limits.txn_ops {
                warn!(pieces = pieces.len(), "not all machine types fit into a transaction");
                pieces.truncate(limits.txn_ops);
            }
            let txn = Txn { guards: vec![guard, unchanged], apply: pieces };
            let _ = self.store.commit(&txn).await;
        }
        true
    }

    fn next_rentals(&self, term: Term, counter: &mut u32) -> VecDeque<(Rental, Offer)> {
        let mut core = self.core.borrow_mut();
        let life = core.life;
        let wanted = core.lead.as_mut().map(Lead::to_rent).unwrap_or_default();
        let mut out = VecDeque::new();
        for (offer, mut left) in wanted {
            while left > 0 {
                let number = left.min(MOST_RENTED);
                left -= number;
                *counter += 1;
                let rental = Rental {
                    idempotency_key: format!("r-{term}-{life}-{counter}"),
                    hull: offer.hull.clone(),
                    yard: offer.zone.clone(),
                    loaners: offer.spot,
                    number,
                };
                out.push_back((rental, offer.clone()));
            }
        }
        out
    }

    fn is_refused(&self, offer: &Offer) -> bool {
        let core = self.core.borrow();
        core.lead.as_ref().is_some_and(|l| !l.market.open(offer, self.now()))
    }

    /// Makes a rental; true once its outcome is known.
    async fn rent(&self, rental: &Rental, offer: &Offer) -> bool {
        let result = self.cloud.rent(rental).await;
        let now = self.now();
        let mut core = self.core.borrow_mut();
        let Some(lead) = &mut core.lead else {
            return !matches!(result, Err(CloudError::Unknown | CloudError::Refused(_)));
        };
        match result {
            Ok(ids) => {
                info!(hull = %offer.hull, zone = %offer.zone, spot = offer.spot, asked = rental.number, got = ids.len(), "rented");
                if (ids.len() as u32) < rental.number {
                    lead.market.refused(offer, now);
                }
                lead.fleet.rented(now, &ids, offer);
                true
            }
            Err(CloudError::NoCapacity) => {
                debug!(hull = %offer.hull, zone = %offer.zone, spot = offer.spot, "none to be had");
                lead.market.refused(offer, now);
                true
            }
            Err(CloudError::Refused(400)) => {
                error!(?rental, "rental refused as malformed");
                lead.market.refused(offer, now);
                true
            }
            Err(_) => false,
        }
    }

    async fn return_machines(&self) {
        let ids = self
            .core
            .borrow_mut()
            .with_lead(self.moment(), |lead, ctx| lead.fleet.to_return(ctx))
            .unwrap_or_default();
        if ids.is_empty() {
            return;
        }
        if self.cloud.give_back(&ids).await.is_ok() {
            info!(machines = ?ids.iter().map(|i| i.to_string()).collect::<Vec<_>>(), "returned");
            if let Some(lead) = &mut self.core.borrow_mut().lead {
                lead.machines_gone(&ids);
            }
            self.wake_lead.notify_one();
        }
    }

    async fn read_list(&self) {
        let mut after = None;
        loop {
            let Ok(page) = self.cloud.list(after.as_ref()).await else {
                return;
            };
            self.core.borrow_mut().with_lead(self.moment(), |lead, ctx| {
                lead.fleet.listed_page(ctx, after.as_ref(), &page);
            });
            after = page.hosts.last().map(|h| h.r#ref.clone());
            if !page.truncated || after.is_none() {
                return;
            }
        }
    }

    // ---- durable writes ----

    /// Writes finished tasks to the store, many jobs at a time.
    async fn write_finished(self: Rc<Self>) {
        loop {
            let _ = timeout(Duration::from_millis(500), self.wake_finish.notified()).await;
            sleep(GATHER).await;
            let now = self.now();
            self.store.set_leading(self.core.borrow().lead.is_some());
            let next = self.core.borrow_mut().finished_txn(now);
            let Some(mut txn) = next else { continue };
            // Jobs that somebody else wrote meanwhile come next time, the others go now.
            for _ in 0..3 {
                match self.store.commit(&txn).await {
                    Ok(Committed::Yes(stamp)) => {
                        self.apply_own(&txn, stamp);
                        break;
                    }
                    Ok(Committed::No(failed)) => txn.leave_out(&failed),
                    Err(e) => {
                        debug!(error = %e, "completions not written");
                        self.heed(&e);
                        let _ = self.pull(Duration::ZERO).await;
                        break;
                    }
                }
                if txn.apply.is_empty() {
                    break;
                }
            }
        }
    }

    /// Queues a submission for the next group commit and waits for what becomes of it.
    pub(crate) async fn accept(&self, spec: JobSpec) -> Accepting {
        let (tx, rx) = oneshot::channel();
        self.accepts.borrow_mut().push((spec, tx));
        self.wake_accept.notify_one();
        rx.await.unwrap_or(Accepting::Failed)
    }

    async fn write_accepted(self: Rc<Self>) {
        loop {
            self.wake_accept.notified().await;
            loop {
                let batch: Vec<Submission> = {
                    let mut queue = self.accepts.borrow_mut();
                    let n = queue.len().min(self.core.borrow().limits.txn_ops);
                    queue.drain(..n).collect()
                };
                if batch.is_empty() {
                    break;
                }
                let s = self.clone();
                spawn_local(async move { s.commit_batch(batch).await });
            }
        }
    }

    /// Commits submissions together. Those whose key exists already are known jobs, or this
    /// very submission carried out by a request whose answer was lost.
    async fn commit_batch(&self, mut batch: Vec<Submission>) {
        for _ in 0..4 {
            if batch.is_empty() {
                return;
            }
            let txn = {
                let core = self.core.borrow();
                let bytes = core.limits.value_bytes();
                let specs = batch.iter().map(|(spec, _)| spec);
                accept_txn(specs, self.wall(), &core.flavors, bytes)
            };
            match self.store.commit_hedged(&txn, Duration::from_millis(60)).await {
                Ok(Committed::Yes(stamp)) => {
                    self.apply_own(&txn, stamp);
                    for (spec, tx) in batch {
                        debug!(job = %spec.r#ref, lane = %spec.lane, tasks = spec.pieces, "accepted");
                        let _ = tx.send(Accepting::New);
                    }
                    return;
                }
                Ok(Committed::No(failed)) => {
                    let (known, rest) = batch
                        .into_iter()
                        .partition(|(spec, _)| failed.contains(&ledger::job_key(spec.r#ref)));
                    batch = rest;
                    let known: Vec<Submission> = known;
                    for (_, tx) in known {
                        let _ = tx.send(Accepting::Known);
                    }
                }
                Err(e) => {
                    debug!(error = %e, "submissions not written");
                    self.heed(&e);
                    break;
                }
            }
        }
        for (_, tx) in batch {
            let _ = tx.send(Accepting::Failed);
        }
    }

    /// Cancels a job durably: `Ok(true)` if it is cancelled now, `Ok(false)` if its progress
    /// changed meanwhile and the caller has to look again.
    pub(crate) async fn write_cancelled(self: &Rc<Self>, id: JobId) -> Result<bool, StateError> {
        let Some((txn, progress)) = self.core.borrow().cancel_txn(id) else {
            return Ok(false);
        };
        match self.store.commit_hedged(&txn, Duration::from_millis(150)).await? {
            Committed::Yes(stamp) => {
                self.apply_own(&txn, stamp);
                self.tell_ended(id, progress, stamp);
                Ok(true)
            }
            Committed::No(_) => Ok(false),
        }
    }

    /// Tells the other controllers of a cancellation, as the store may refuse one of them alone: it
    /// would start tasks of the job until its right to do that ends. The user's answer does not wait for it.
    fn tell_ended(self: &Rc<Self>, id: JobId, progress: ledger::Progress, stamp: Revision) {
        let ask = Rc::new(Ask::Ended(id, progress, stamp));
        for node in self.others().filter(|n| self.core.borrow().ledger.hears_ends(*n)) {
            let (s, ask) = (self.clone(), ask.clone());
            spawn_local(async move { s.ask(node, &ask, 500).await });
        }
    }
}
