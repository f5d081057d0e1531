//! Simulated users. They submit jobs to the controllers in turn, retry requests that got no answer, and poll each
//! job until it is done or cancelled.

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
/// Time for which users wait for the response to a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which users wait for the response to a cancellation.
const CANCELLATION_TIMEOUT: Duration = Duration::from_secs(5);
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

    /// Jobs passed to `submit_every` that no user was shown as done or cancelled.
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

    /// Submits a job at a controller, once. Returns the job's state in the response.
    pub async fn submit(&self, id: u64, node: usize) -> Option<ShownState> {
        let job = JobSpec { spread_zones: false, ..spec(id, 1 + id as u32 % 3, 1.0) };
        self.history.record_submission(id, job.task_count);
        self.request(id, "POST", "/api/jobs", &wire::encode(&job), node).await
    }

    /// Submits a job until it is accepted, and polls it until it is done or cancelled.
    async fn submit_and_follow(self: Rc<Self>, id: u64) {
        let mut attempt = id as usize;
        while self.submit(id, attempt).await.is_none() {
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

    /// Cancels a job at a controller, once. Returns the job's state in the response.
    pub async fn cancel(&self, id: u64, node: usize) -> Option<ShownState> {
        self.history.record(Event::CancellationRequested { job: id });
        let path = format!("/api/jobs/{}/abort", JobId(id));
        self.request_within(CANCELLATION_TIMEOUT, id, "POST", &path, &[], node).await
    }

    /// Queries a job at a controller, which is expected to refuse. Returns the response's `Retry-After` in seconds; `None`
    /// if there is no response within the time for which users wait for one, or another response than a refusal.
    pub async fn query_refused(&self, id: u64, node: usize) -> Option<u32> {
        let client = Client::new(self.controllers[node], wire::MAX_BODY_BYTES);
        let path = format!("/api/jobs/{}", JobId(id));
        let answer = client.call("GET", &path, &[], QUERY_TIMEOUT).await.ok()?;
        answer.retry_after_s.filter(|_| answer.status == 503)
    }

    /// Queries a job at a controller, once. Returns the job's state in the response.
    pub async fn query(&self, id: u64, node: usize) -> Option<ShownState> {
        self.request(id, "GET", &format!("/api/jobs/{}", JobId(id)), &[], node).await
    }

    /// Sends one request for a job. Returns the job's state in the response.
    async fn request(
        &self,
        id: u64,
        method: &str,
        path: &str,
        body: &[u8],
        attempt: usize,
    ) -> Option<ShownState> {
        self.request_within(RESPONSE_TIMEOUT, id, method, path, body, attempt).await
    }

    /// Sends one request for a job and waits for its response for at most `time_limit`.
    async fn request_within(
        &self,
        time_limit: Duration,
        id: u64,
        method: &str,
        path: &str,
        body: &[u8],
        attempt: usize,
    ) -> Option<ShownState> {
        let node = attempt % self.controllers.len();
        let client = Client::new(self.controllers[node], wire::MAX_BODY_BYTES);
        let answer = client.call(method, path, body, time_limit).await.ok()?;
        if answer.status == 404 {
            self.history.record(Event::JobStateShown { job: id, node, state: ShownState::Unknown });
        }
        if !matches!(answer.status, 200 | 201) {
            return None;
        }
        let answer = wire::decode::<JobAnswer>(&answer.body).ok()?;
        let state = match answer.state {
            JobState::Pending | JobState::Running => ShownState::Open,
            JobState::Done => ShownState::Done,
            JobState::Cancelled => ShownState::Cancelled,
        };
        self.history.record(Event::JobStateShown { job: id, node, state });
        if state == ShownState::Cancelled {
            self.open_jobs.borrow_mut().remove(&id);
        }
        if state == ShownState::Done && self.open_jobs.borrow_mut().remove(&id) {
            self.history.record_done(id);
        }
        Some(state)
    }
}
