//! Machines with the simulated worker, which send heartbeats to real controllers and serve direct commands.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;
use willowshore::http::{self, Client, Request, Response, ServerLimits};
use willowshore::model::MachineId;
use willowshore::wire::{
    self, CloudMachineState, DirectCommand, Heartbeat, HeartbeatResponse, ListedMachine, Redirect,
};

use crate::check::Event;
use crate::history::History;
use crate::site::{WorkerTiming, ZONES};
use crate::worker::{Answer, Change, Worker};

/// Interval at which a worker advances its tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of a heartbeat's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Shortest run time of a task.
const MIN_RUN_MS: u64 = 900;
/// Cores of each task.
const CORES_PER_TASK: u64 = 4;

/// All machines of a site.
pub struct Machines {
    history: Rc<History>,
    timing: WorkerTiming,
    controllers: RefCell<Vec<SocketAddr>>,
    /// Worker of each machine, and whether the machine is a spot machine.
    workers: RefCell<Vec<(Rc<RefCell<Worker>>, bool)>>,
    /// Machines of each scale-out, by idempotency key.
    provisioned: RefCell<HashMap<String, Vec<MachineId>>>,
    next_id: Cell<usize>,
}

impl Machines {
    pub fn new(history: Rc<History>, timing: WorkerTiming) -> Self {
        Machines {
            history,
            timing,
            controllers: RefCell::default(),
            workers: RefCell::default(),
            provisioned: RefCell::default(),
            next_id: Cell::new(1),
        }
    }

    /// Sets the controllers' addresses for heartbeats.
    pub fn set_controllers(&self, addresses: Vec<SocketAddr>) {
        *self.controllers.borrow_mut() = addresses;
    }

    /// Number of machines that are not terminated.
    pub fn running_count(&self) -> usize {
        self.workers.borrow().iter().filter(|(w, _)| !w.borrow().terminated).count()
    }

    /// The machines that are not terminated and whose names come after the given name, as the cloud lists them.
    pub fn list_after(&self, after: &str) -> Vec<ListedMachine> {
        let workers = self.workers.borrow();
        let running = workers.iter().filter(|(w, _)| !w.borrow().terminated);
        let listed = running.map(|(w, spot)| {
            let w = w.borrow();
            ListedMachine {
                id: w.name(),
                endpoint: Some(w.endpoint.clone()),
                machine_type: "small".into(),
                zone: w.zone.into(),
                spot: *spot,
                state: CloudMachineState::Running,
                age_s: 60.0,
            }
        });
        listed.filter(|listed| *listed.id.0 > *after).collect()
    }

    /// The machines that were provisioned for an idempotency key, if any.
    pub fn provisioned_by(&self, key: &str) -> Option<Vec<MachineId>> {
        self.provisioned.borrow().get(key).cloned()
    }

    /// Records the machines that were provisioned for an idempotency key.
    pub fn record_scale_out(&self, key: &str, machines: &[MachineId]) {
        self.provisioned.borrow_mut().insert(key.into(), machines.to_vec());
    }

    /// Terminates a machine with all its tasks.
    pub fn terminate(&self, id: &MachineId) {
        let workers = self.workers.borrow();
        if let Some((worker, _)) = workers.iter().find(|(w, _)| w.borrow().name() == *id) {
            let changes = worker.borrow_mut().terminate();
            let machine = worker.borrow().id;
            self.record_changes(machine, changes);
        }
    }

    /// Adds an on-demand machine. The zones take turns.
    pub async fn add(self: &Rc<Self>) -> MachineId {
        self.add_in_zone(ZONES[self.next_id.get() % 2], false).await
    }

    /// Adds a machine in the given zone.
    pub async fn add_in_zone(self: &Rc<Self>, zone: &str, spot: bool) -> MachineId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let zone = ZONES.into_iter().find(|z| *z == zone).unwrap_or(ZONES[0]);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("can bind a free port");
        let mut worker = Worker::new(id, zone, self.history.now(), self.timing);
        worker.endpoint = listener.local_addr().expect("listener has a local address").to_string();
        let name = worker.name();
        let worker = Rc::new(RefCell::new(worker));
        self.workers.borrow_mut().push((worker.clone(), spot));
        let (machines, command_target) = (self.clone(), worker.clone());
        spawn_local(http::serve(listener, ServerLimits::new(16), move |request| {
            let answer = machines.handle_direct_command(&command_target, &request);
            async move { answer }
        }));
        spawn_local(self.clone().run_worker(worker));
        name
    }

    /// Handles a request with direct commands.
    fn handle_direct_command(&self, worker: &Rc<RefCell<Worker>>, request: &Request) -> Response {
        let Ok(direct) = wire::decode::<DirectCommand>(&request.body) else {
            return Response::empty(400);
        };
        let (term, agent_epoch) = (direct.token.0, direct.agent_epoch.0);
        let refused = term < worker.borrow().token;
        let now = self.history.now();
        let (heartbeat, changes) =
            worker.borrow_mut().handle_direct_commands(now, term, agent_epoch, &direct.commands);
        self.record_changes(worker.borrow().id, changes);
        Response::new(if refused { 409 } else { 200 }, wire::encode(&heartbeat))
    }

    /// Runs a machine's worker until the machine is terminated.
    async fn run_worker(self: Rc<Self>, worker: Rc<RefCell<Worker>>) {
        let clients: Vec<Rc<Client>> = self
            .controllers
            .borrow()
            .iter()
            .map(|addr| Rc::new(Client::new(*addr, wire::MAX_BODY_BYTES)))
            .collect();
        let machine = worker.borrow().id;
        while !worker.borrow().terminated {
            let now = self.history.now();
            let run_ms =
                |task: willowshore::model::TaskId| MIN_RUN_MS + 100 * u64::from(task.index % 4);
            let changes = worker.borrow_mut().tick(now, run_ms, |_| false);
            self.record_changes(machine, changes);
            let due = worker.borrow_mut().heartbeat(now);
            if let Some((node, heartbeat)) = due {
                spawn_local(self.clone().send_heartbeat(
                    worker.clone(),
                    clients[node].clone(),
                    heartbeat,
                ));
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Sends a heartbeat and passes the answer to the worker.
    async fn send_heartbeat(
        self: Rc<Self>,
        worker: Rc<RefCell<Worker>>,
        client: Rc<Client>,
        heartbeat: Heartbeat,
    ) {
        let body = wire::encode(&heartbeat);
        let sent_at = self.history.now();
        let answer = client.call("POST", "/v1/report", &body, RESPONSE_TIMEOUT).await;
        let answer = match answer {
            Ok(a) if a.status == 200 => {
                wire::decode::<HeartbeatResponse>(&a.body).map(Answer::Accepted).ok()
            }
            Ok(a) if a.status == 421 => {
                let redirect = wire::decode::<Redirect>(&a.body).ok().and_then(|r| r.controller);
                let node = redirect.and_then(|name| name.strip_prefix("host-")?.parse().ok());
                node.map(Answer::Redirected)
            }
            _ => None,
        };
        let answer = answer.unwrap_or(Answer::Refused);
        if let Answer::Accepted(response) = &answer {
            self.history.record_commanded_starts(response, sent_at);
        }
        let changes =
            worker.borrow_mut().handle_answer(self.history.now(), heartbeat.sequence, answer);
        self.record_changes(worker.borrow().id, changes);
    }

    /// Records the changes of a machine's tasks in the history.
    fn record_changes(&self, machine: usize, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Started(t) => {
                    let task = (t.job.0, t.index);
                    self.history.record(Event::JobStarted { job: t.job.0 });
                    let started = Event::TaskStarted {
                        task,
                        machine,
                        team: 0,
                        cores: CORES_PER_TASK,
                        zone: None,
                    };
                    self.history.record(started);
                }
                Change::Completed(t) => {
                    self.history.record_completion(t.job.0, t.index);
                    self.history.record(Event::TaskStopped { task: (t.job.0, t.index), machine });
                }
                Change::Exited(t) => {
                    self.history.record(Event::TaskStopped { task: (t.job.0, t.index), machine });
                }
            }
        }
    }
}
