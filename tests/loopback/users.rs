//! Simulated users. They submit jobs to the controllers in turn, retry requests that got no answer, and poll each
//! job until it is done.

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

/// Time-out of a request to a controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval between two submissions or two queries of the same job.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// All users of a site.
pub struct Users {
    history: Rc<History>,
    controllers: Vec<SocketAddr>,
    open_jobs: RefCell<BTreeSet<u64>>,
}

impl Users {
    pub fn new(history: Rc<History>, controllers: Vec<SocketAddr>) -> Self {
        Users { history, controllers, open_jobs: RefCell::default() }
    }

    /// Jobs passed to `submit_every` that no user was shown as done.
    pub fn open_jobs(&self) -> Vec<u64> {
        self.open_jobs.borrow().iter().copied().collect()
    }

    /// Submits the jobs one by one at the given interval.
    pub fn submit_every(self: &Rc<Self>, jobs: RangeInclusive<u64>, interval: Duration) {
        self.open_jobs.borrow_mut().extend(jobs.clone());
        let users = self.clone();
        spawn_local(async move {
            for job in jobs {
                spawn_local(users.clone().submit_and_follow(job));
                sleep(interval).await;
            }
        });
    }

    /// Submits a job until it is accepted, and polls it until it is done.
    async fn submit_and_follow(self: Rc<Self>, id: u64) {
        let job = JobSpec { spread_zones: false, ..spec(id, 1 + id as u32 % 3, 1.0) };
        self.history.record_submission(id, job.task_count);
        let body = wire::encode(&job);
        let mut attempt = id as usize;
        while !self.request(id, "POST", "/api/jobs", &body, attempt).await {
            attempt += 1;
            sleep(RETRY_INTERVAL).await;
        }
        self.history.record(Event::JobAccepted { job: id });
        let path = format!("/api/jobs/{}", JobId(id));
        while self.open_jobs.borrow().contains(&id) {
            attempt += 1;
            self.request(id, "GET", &path, &[], attempt).await;
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Sends one request for a job. Returns whether the answer contained the job's state.
    async fn request(
        &self,
        id: u64,
        method: &str,
        path: &str,
        body: &[u8],
        attempt: usize,
    ) -> bool {
        let node = attempt % self.controllers.len();
        let client = Client::new(self.controllers[node], wire::MAX_BODY_BYTES);
        let Ok(answer) = client.call(method, path, body, RESPONSE_TIMEOUT).await else {
            return false;
        };
        if answer.status == 404 {
            self.history.record(Event::JobStateShown { job: id, node, state: ShownState::Unknown });
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
        self.history.record(Event::JobStateShown { job: id, node, state });
        if state == ShownState::Done && self.open_jobs.borrow_mut().remove(&id) {
            self.history.record_done(id);
        }
        true
    }
}
