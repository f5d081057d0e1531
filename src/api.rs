//! The HTTP API for users, workers and health checks.
//!
//! A job is reported as accepted, cancelled or unknown only after the state store has confirmed it, and as cancelled
//! only once no controller starts tasks of it any more. A controller that
//! cannot reach the store forwards user requests to its peers, and forwarded requests are not forwarded again. If no
//! peer can serve the request, the user gets 503 without further delay and may retry: all requests are idempotent by
//! job id.

mod feasibility;
mod request_limits;

use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, timeout_at};
use tracing::debug;

use crate::http::{Request, Response};
use crate::model::{JobId, NodeId};
use crate::peer::{Forwarding, PeerRequest, PeerResponse};
use crate::replica::{self, ReplicaChanges};
use crate::service::{
    CancellationOutcome, ConfirmError, EndedJobStatus, Service, SubmissionOutcome,
};
use crate::store_client::StoreError;
use crate::wire::{self, JobAnswer, JobSpec, JobState};

use feasibility::Feasibility;

pub(crate) use request_limits::RequestLimits;

/// Maximum number of concurrent user requests. Further requests get 503.
const MAX_USER_REQUESTS: usize = 256;

/// Milliseconds since the replica was last known to be current, above which this controller is ready only if no peer
/// reaches the store. Corresponds to three watches without a response.
const READY_SYNC_AGE_MAX_MS: u64 = 3_000;
/// Time limit for asking one peer whether it reaches the store.
const REACH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for forwarding a request, over all peers. User requests are to be answered within one second.
const FORWARDING_TIMEOUT: Duration = Duration::from_millis(900);
/// Time limit for one peer to answer a forwarded request. It is half of [`FORWARDING_TIMEOUT`], so that two peers can
/// be tried.
const PEER_FORWARDING_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of attempts to write a cancellation. An attempt fails if the job's progress changes concurrently.
const MAX_CANCELLATION_ATTEMPTS: usize = 4;

/// Result of looking up a job while the replica is current.
#[derive(Debug)]
enum Lookup {
    /// The job is known; holds the response to the user.
    Known(Response),
    /// No job with this id was ever accepted.
    Unknown,
}

/// Why a job could not be looked up.
#[derive(Debug, Error)]
enum LookupError {
    /// The replica was not confirmed to be current.
    #[error(transparent)]
    NotConfirmed(#[from] ConfirmError),
    /// Reading the job's records from the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The job's records in the store do not suffice to build the response.
    #[error("the job's records in the store are incomplete")]
    Incomplete,
}

impl Service {
    /// Handles a request on the public address.
    pub async fn handle_request(self: &Rc<Self>, request: Request) -> Response {
        let path = request.path.split('?').next().unwrap_or("");
        match (path, request.method.as_str()) {
            ("/v1/report", "POST") => return self.on_heartbeat(&request.body),
            ("/ready", "GET") => return self.readiness().await,
            ("/v1/report" | "/ready", _) => return Response::empty(405),
            _ => {}
        }
        match self.user_requests.try_begin(MAX_USER_REQUESTS) {
            Some(_guard) => self.handle_user_request(path, &request).await,
            None => Response::unavailable(1),
        }
    }

    /// Handles a user request, for which `path` is given without the query string.
    async fn handle_user_request(self: &Rc<Self>, path: &str, request: &Request) -> Response {
        let method = request.method.as_str();
        if path == "/api/jobs" {
            return match method {
                "POST" => self.handle_submission(&request.body).await,
                _ => Response::empty(405),
            };
        }
        let Some(rest) = path.strip_prefix("/api/jobs/") else {
            return Response::empty(404);
        };
        let (id, allowed_method, is_abort) = match rest.strip_suffix("/abort") {
            Some(id) => (id, "POST", true),
            None => (rest, "GET", false),
        };
        if id.contains('/') {
            return Response::empty(404);
        }
        if method != allowed_method {
            return Response::empty(405);
        }
        // A malformed id cannot belong to any job.
        let Some(id) = JobId::parse(id) else {
            return Response::empty(404);
        };
        if is_abort {
            self.abort(id, RequestLimits::for_cancellation()).await
        } else {
            self.query(id, RequestLimits::for_query()).await
        }
    }

    /// Responds to the readiness check. A controller is ready once it has loaded the replica and while the replica is
    /// current. With a stale replica it is unready only if a peer reaches the store: if none does, requests are served
    /// no better elsewhere, and each gets 503 without delay.
    async fn readiness(&self) -> Response {
        let (loaded, stale) = {
            let controller = self.controller.borrow();
            let age = controller.rights.sync_age(self.now());
            (controller.loaded, age.is_none_or(|age_ms| age_ms > READY_SYNC_AGE_MAX_MS))
        };
        if !loaded || (stale && self.find_peer_reaching_store().await.is_some()) {
            return Response::unavailable(1);
        }
        Response::empty(200)
    }

    /// Returns a peer that reports that it reaches the store.
    async fn find_peer_reaching_store(&self) -> Option<NodeId> {
        for node in self.other_nodes() {
            if let Ok(PeerResponse::StoreReachable(true)) =
                self.call_peer(node, &PeerRequest::StoreReachable, REACH_TIMEOUT).await
            {
                return Some(node);
            }
        }
        None
    }

    /// Forwards a request to the peers in turn and returns the first response other than 503, or 503 if there is none.
    async fn forward(&self, request: PeerRequest) -> Response {
        let deadline = Instant::now() + FORWARDING_TIMEOUT;
        for node in self.other_nodes() {
            let response =
                timeout_at(deadline, self.call_peer(node, &request, PEER_FORWARDING_TIMEOUT)).await;
            if let Ok(Ok(PeerResponse::Answer(status, body))) = response
                && status != 503
            {
                debug!(node = node.0, status, "forwarded user request to peer");
                return Response::new(status, body);
            }
        }
        Response::unavailable(1)
    }

    /// Whether the replica has been loaded and the last watch of the store succeeded.
    fn store_available(&self) -> bool {
        let controller = self.controller.borrow();
        controller.loaded && controller.store_ok
    }

    /// Decodes and validates a job submission, and submits it.
    async fn handle_submission(&self, body: &[u8]) -> Response {
        if !wire::is_map(body) {
            return Response::empty(400);
        }
        let spec = match wire::decode::<JobSpec>(body) {
            Ok(spec) => spec,
            Err(e) => return error_response(400, &e.to_string()),
        };
        if let Err(e) = spec.check() {
            return error_response(400, &e.to_string());
        }
        self.submit(spec, RequestLimits::for_query()).await
    }

    /// Accepts a submission, or forwards it if this controller cannot write to the store.
    pub(crate) async fn submit(&self, spec: JobSpec, limits: RequestLimits) -> Response {
        let id = spec.id;
        if let Some(response) = self.ended_response(id, limits).await {
            return response;
        }
        if !self.store_available() {
            return self.forward_if_allowed(limits, PeerRequest::Submit(spec)).await;
        }
        let known = self.controller.borrow().replica.jobs.contains_key(&id);
        if !known {
            if let Some(rejection) = self.reject_if_infeasible(&spec, limits).await {
                return rejection;
            }
            match self.accept_submission(spec.clone()).await {
                // Before the store's response arrived here, other controllers may have read the job and cancelled
                // it.
                SubmissionOutcome::New => {
                    let ended = self.ended_response(id, limits).await;
                    return ended.unwrap_or_else(|| accepted_response(id));
                }
                SubmissionOutcome::Known => {}
                SubmissionOutcome::Failed => {
                    return self.forward_if_allowed(limits, PeerRequest::Submit(spec)).await;
                }
            }
        }
        match self.lookup(id, limits).await {
            Ok(Lookup::Known(response)) => response,
            Ok(Lookup::Unknown) | Err(_) => {
                self.forward_if_allowed(limits, PeerRequest::Submit(spec)).await
            }
        }
    }

    /// Returns the response to a submission whose job can never run, or whose feasibility is not known yet. Returns
    /// `None` if the job is to be accepted.
    async fn reject_if_infeasible(
        &self,
        spec: &JobSpec,
        limits: RequestLimits,
    ) -> Option<Response> {
        match self.feasibility(spec) {
            Feasibility::Feasible => None,
            Feasibility::Unknown => Some(Response::unavailable(1)),
            // A repeated submission of an accepted job is never rejected as infeasible.
            Feasibility::Infeasible(reason) => Some(match self.lookup(spec.id, limits).await {
                Ok(Lookup::Unknown) => error_response(422, reason),
                Ok(Lookup::Known(response)) => response,
                Err(_) => Response::unavailable(1),
            }),
        }
    }

    /// Forwards a request if its limits allow it; responds with 503 otherwise.
    async fn forward_if_allowed(&self, limits: RequestLimits, request: PeerRequest) -> Response {
        match limits.forwarding {
            Forwarding::Allowed => self.forward(request).await,
            Forwarding::Forbidden => Response::unavailable(1),
        }
    }

    /// Returns the response for a job that has ended; `None` if the job is not known to have ended. Waits for a
    /// cancellation to become effective, and refuses the request if that takes too long. Every response that shows a
    /// job as ended is made here.
    async fn ended_response(&self, id: JobId, limits: RequestLimits) -> Option<Response> {
        let max_wait = limits.remaining_wait();
        Some(match self.ended_status(id, limits.forwarding, max_wait).await? {
            EndedJobStatus::Final(answer) => Response::new(200, wire::encode(&answer)),
            EndedJobStatus::NotEffective { retry_after_s } => Response::unavailable(retry_after_s),
        })
    }

    /// Looks up the current state of a job.
    async fn lookup(&self, id: JobId, limits: RequestLimits) -> Result<Lookup, LookupError> {
        if let Some(response) = self.ended_response(id, limits).await {
            return Ok(Lookup::Known(response));
        }
        self.confirm_replica().await?;
        if let Some(response) = self.ended_response(id, limits).await {
            return Ok(Lookup::Known(response));
        }
        if let Some(response) = self.open_response(id) {
            return Ok(Lookup::Known(response));
        }
        // The replica has dropped jobs that ended long ago and may lack one accepted a moment ago. The store is read
        // before a job is reported as unknown, as an accepted job must stay known through any failure.
        let mut known = false;
        for key in [replica::progress_key(id), replica::job_key(id)] {
            if let Some(item) = self.store.get(&key).await? {
                known = true;
                let mut replica_changes = ReplicaChanges::default();
                self.controller.borrow_mut().replica.load(&item, &mut replica_changes);
                if let Some(response) = self.ended_response(id, limits).await {
                    return Ok(Lookup::Known(response));
                }
            }
        }
        if !known {
            return Ok(Lookup::Unknown);
        }
        self.open_response(id).map(Lookup::Known).ok_or(LookupError::Incomplete)
    }

    /// Returns the response for a job that has not ended.
    fn open_response(&self, id: JobId) -> Option<Response> {
        let answer = self.controller.borrow().open_answer(id)?;
        Some(Response::new(200, wire::encode(&answer)))
    }

    /// Handles a query for the state of a job.
    pub(crate) async fn query(&self, id: JobId, limits: RequestLimits) -> Response {
        if let Some(response) = self.ended_response(id, limits).await {
            return response;
        }
        if self.store_available() {
            match self.lookup(id, limits).await {
                Ok(Lookup::Known(response)) => return response,
                Ok(Lookup::Unknown) => return Response::empty(404),
                Err(e) => debug!(error = %e, job = %id, "job lookup failed"),
            }
        }
        self.forward_if_allowed(limits, PeerRequest::Query(id)).await
    }

    /// Cancels a job and responds with its final state. A job that has already ended is left unchanged.
    pub(crate) async fn abort(self: &Rc<Self>, id: JobId, limits: RequestLimits) -> Response {
        for _ in 0..MAX_CANCELLATION_ATTEMPTS {
            if let Some(response) = self.ended_response(id, limits).await {
                return response;
            }
            if !self.store_available() {
                break;
            }
            let known = self.controller.borrow().replica.jobs.contains_key(&id);
            if !known {
                match self.lookup(id, limits).await {
                    Ok(Lookup::Unknown) => return Response::empty(404),
                    Ok(Lookup::Known(_)) => continue,
                    Err(_) => break,
                }
            }
            match self.write_cancellation(id).await {
                Ok(CancellationOutcome::Cancelled) => continue,
                Ok(CancellationOutcome::NotOpen | CancellationOutcome::Conflict) => {
                    if self.confirm_replica().await.is_err() {
                        break;
                    }
                }
                Err(e) => {
                    debug!(error = %e, job = %id, "failed to write cancellation");
                    break;
                }
            }
        }
        match self.ended_response(id, limits).await {
            Some(response) => response,
            None => self.forward_if_allowed(limits, PeerRequest::Cancel(id)).await,
        }
    }
}

/// Returns the response to a submission that has just become durable.
fn accepted_response(job: JobId) -> Response {
    let answer = JobAnswer { job, state: JobState::Pending, done: 0, running: 0, reason: None };
    Response::new(201, wire::encode(&answer))
}

/// Returns an error response whose body carries `why` for the user.
fn error_response(status: u16, why: &str) -> Response {
    let body = ciborium::Value::Map(vec![("error".into(), why.into())]);
    Response::new(status, wire::encode(&body))
}
