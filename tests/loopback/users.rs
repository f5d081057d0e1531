//! Users that submit jobs to any controller, repeat what was not answered, and ask until they are shown the end.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use willowshore::http::Client;
use willowshore::model::JobId;
use willowshore::wire::{self, JobAnswer, JobSpec, JobState};

use crate::check::{Event, ShownState};
use crate::history::History;
use crate::site::spec;

/// How long users wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// Time between two tries, and between two questions.
const AGAIN: Duration = Duration::from_millis(300);

/// All users.
pub struct Users {
    history: Rc<History>,
    controllers: Vec<SocketAddr>,
    open: RefCell<BTreeSet<u64>>,
}

impl Users {
    pub fn new(history: Rc<History>, controllers: Vec<SocketAddr>) -> Self {
        Users { history, controllers, open: RefCell::default() }
    }

    /// Jobs that no user was shown as ended.
    pub fn open(&self) -> Vec<u64> {
        self.open.borrow().iter().copied().collect()
    }

    /// Submits these jobs one after the other.
    pub fn submit_every(self: &Rc<Self>, jobs: RangeInclusive<u64>, pause: Duration) {
        self.open.borrow_mut().extend(jobs.clone());
        let users = self.clone();
        spawn_local(async move {
            for job in jobs {
                spawn_local(users.clone().follow(job));
                sleep(pause).await;
            }
        });
    }

    /// Submits a job and asks until it has ended.
    async fn follow(self: Rc<Self>, id: u64) {
        let job = JobSpec { spread_zones: false, ..spec(id, 1 + id as u32 % 3, 1.0) };
        self.history.submits(id, job.task_count);
        let body = wire::encode(&job);
        let mut tries = id as usize;
        while !self.ask(id, "POST", "/api/jobs", &body, tries).await {
            tries += 1;
            sleep(AGAIN).await;
        }
        self.history.see(Event::Accepted { job: id });
        let path = format!("/api/jobs/{}", JobId(id));
        while self.open.borrow().contains(&id) {
            tries += 1;
            self.ask(id, "GET", &path, &[], tries).await;
            sleep(AGAIN).await;
        }
    }

    /// One request; whether it was answered with the job's state.
    async fn ask(&self, id: u64, method: &str, path: &str, body: &[u8], tries: usize) -> bool {
        let node = tries % self.controllers.len();
        let client = Client::new(self.controllers[node], wire::MAX_BODY_BYTES);
        let Ok(answer) = client.call(method, path, body, ANSWER_LIMIT).await else { return false };
        if answer.status == 404 {
            self.history.see(Event::StateShown { job: id, node, state: ShownState::Unknown });
        }
        if !matches!(answer.status, 200 | 201) {
            return false;
        }
        let Ok(answer) = wire::decode::<JobAnswer>(&answer.body) else { return false };
        let state = match answer.state {
            JobState::Pending | JobState::Running => ShownState::Open,
            JobState::Done => ShownState::Done,
            JobState::Cancelled => ShownState::Cancelled,
        };
        self.history.see(Event::StateShown { job: id, node, state });
        if state == ShownState::Done && self.open.borrow_mut().remove(&id) {
            self.history.called_done(id);
        }
        true
    }
}
