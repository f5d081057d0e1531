//! Machines with the worker of the simulation, which send heartbeats to real controllers and take direct commands.

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
use crate::site::{Rhythm, ZONES};
use crate::worker::{Answer, Change, Worker};

/// Time between two looks of a worker at its tasks.
const TICK: Duration = Duration::from_millis(20);
/// How long a worker waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(4_000);
/// How long a task runs, by its number.
const RUN_MS: u64 = 900;
/// Cores of a task.
const CORES: u64 = 4;

/// All machines.
pub struct Machines {
    history: Rc<History>,
    rhythm: Rhythm,
    controllers: RefCell<Vec<SocketAddr>>,
    workers: RefCell<Vec<(Rc<RefCell<Worker>>, bool)>>,
    provisioned: RefCell<HashMap<String, Vec<MachineId>>>,
    next: Cell<usize>,
}

impl Machines {
    pub fn new(history: Rc<History>, rhythm: Rhythm) -> Self {
        Machines {
            history,
            rhythm,
            controllers: RefCell::default(),
            workers: RefCell::default(),
            provisioned: RefCell::default(),
            next: Cell::new(1),
        }
    }

    /// Where controllers take heartbeats.
    pub fn set_controllers(&self, addresses: Vec<SocketAddr>) {
        *self.controllers.borrow_mut() = addresses;
    }

    /// Machines that are there.
    pub fn count(&self) -> usize {
        self.workers.borrow().iter().filter(|(w, _)| !w.borrow().terminated).count()
    }

    /// What the cloud lists after that name.
    pub fn listed(&self, after: &str) -> Vec<ListedMachine> {
        let workers = self.workers.borrow();
        let there = workers.iter().filter(|(w, _)| !w.borrow().terminated);
        let listed = there.map(|(w, spot)| {
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

    /// The machines of a scale-out with that idempotency key, if it was carried out.
    pub fn provisioned_by(&self, key: &str) -> Option<Vec<MachineId>> {
        self.provisioned.borrow().get(key).cloned()
    }

    /// A scale-out with that idempotency key was carried out.
    pub fn note_request(&self, key: &str, machines: &[MachineId]) {
        self.provisioned.borrow_mut().insert(key.into(), machines.to_vec());
    }

    /// A machine and all on it are terminated.
    pub fn vanish(&self, id: &MachineId) {
        let workers = self.workers.borrow();
        if let Some((worker, _)) = workers.iter().find(|(w, _)| w.borrow().name() == *id) {
            let changes = worker.borrow_mut().vanish();
            let machine = worker.borrow().id;
            self.see(machine, changes);
        }
    }

    /// Adds a machine in the next zone.
    pub async fn add(self: &Rc<Self>) -> MachineId {
        self.add_in(ZONES[self.next.get() % 2], false).await
    }

    /// Adds a machine in that zone.
    pub async fn add_in(self: &Rc<Self>, zone: &str, spot: bool) -> MachineId {
        let id = self.next.get();
        self.next.set(id + 1);
        let zone = ZONES.into_iter().find(|z| *z == zone).unwrap_or(ZONES[0]);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut worker = Worker::new(id, zone, self.history.now(), self.rhythm);
        worker.endpoint = listener.local_addr().expect("an address").to_string();
        let name = worker.name();
        let worker = Rc::new(RefCell::new(worker));
        self.workers.borrow_mut().push((worker.clone(), spot));
        let (machines, commanded) = (self.clone(), worker.clone());
        spawn_local(http::serve(listener, ServerLimits::new(16), move |request| {
            let answer = machines.command(&commanded, &request);
            async move { answer }
        }));
        spawn_local(self.clone().work(worker));
        name
    }

    /// A direct command.
    fn command(&self, worker: &Rc<RefCell<Worker>>, request: &Request) -> Response {
        let Ok(direct) = wire::decode::<DirectCommand>(&request.body) else {
            return Response::empty(400);
        };
        let (term, agent_epoch) = (direct.token.0, direct.agent_epoch.0);
        let refused = term < worker.borrow().token;
        let now = self.history.now();
        let (heartbeat, changes) =
            worker.borrow_mut().direct(now, term, agent_epoch, &direct.commands);
        self.see(worker.borrow().id, changes);
        Response::new(if refused { 409 } else { 200 }, wire::encode(&heartbeat))
    }

    /// Runs a machine until it is terminated.
    async fn work(self: Rc<Self>, worker: Rc<RefCell<Worker>>) {
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
                |task: willowshore::model::TaskId| RUN_MS + 100 * u64::from(task.index % 4);
            let changes = worker.borrow_mut().tick(now, run_ms, |_| false);
            self.see(machine, changes);
            let due = worker.borrow_mut().heartbeat(now);
            if let Some((node, heartbeat)) = due {
                spawn_local(self.clone().heartbeat(
                    worker.clone(),
                    clients[node].clone(),
                    heartbeat,
                ));
            }
            sleep(TICK).await;
        }
    }

    async fn heartbeat(
        self: Rc<Self>,
        worker: Rc<RefCell<Worker>>,
        client: Rc<Client>,
        heartbeat: Heartbeat,
    ) {
        let body = wire::encode(&heartbeat);
        let answer = client.call("POST", "/v1/report", &body, ANSWER_LIMIT).await;
        let answer = match answer {
            Ok(a) if a.status == 200 => {
                wire::decode::<HeartbeatResponse>(&a.body).map(Answer::Take).ok()
            }
            Ok(a) if a.status == 421 => {
                let redirect = wire::decode::<Redirect>(&a.body).ok().and_then(|r| r.controller);
                let node = redirect.and_then(|name| name.strip_prefix("host-")?.parse().ok());
                node.map(Answer::Go)
            }
            _ => None,
        };
        let answer = answer.unwrap_or(Answer::Refuse);
        let changes = worker.borrow_mut().answer(self.history.now(), heartbeat.sequence, answer);
        self.see(worker.borrow().id, changes);
    }

    /// Records in the history what changed on a machine.
    fn see(&self, machine: usize, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Runs(t) => {
                    let task = (t.job.0, t.index);
                    self.history.see(Event::Began { job: t.job.0 });
                    let starts = Event::Starts { task, machine, team: 0, cores: CORES, zone: None };
                    self.history.see(starts);
                }
                Change::Completes(t) => {
                    self.history.completes(t.job.0, t.index);
                    self.history.see(Event::Leaves { task: (t.job.0, t.index), machine });
                }
                Change::Leaves(t) => {
                    self.history.see(Event::Leaves { task: (t.job.0, t.index), machine });
                }
            }
        }
    }
}
