//! The HTTP interface for users, workers and health checks.
//!
//! A job is answered as accepted, cancelled or unknown only when the store has confirmed it. A controller that the store
//! does not serve forwards users' requests to its peers, once; if none of them can answer, the user gets 503 at once and
//! may repeat the request, as all requests are idempotent by the job's id.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::{Instant, timeout_at};
use tracing::debug;

use crate::http::{Request, Response};
use crate::model::{JobId, NodeId};
use crate::peer::{Forwarding, PeerRequest, PeerResponse};
use crate::placement;
use crate::replica::{self, ReplicaChanges};
use crate::service::{CancellationOutcome, ConfirmError, Service, SubmissionOutcome};
use crate::store_client::StoreError;
use crate::wire::{self, JobAnswer, JobKind, JobSpec, JobState};

/// Most user requests served at a time; more are answered with 503.
const MAX_USER_REQUESTS: usize = 256;

/// A request that counts as being served for as long as this lives, however it ends.
struct Served<'a>(&'a Cell<usize>);

impl<'a> Served<'a> {
    fn one(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Served(count)
    }
}

impl Drop for Served<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Age, in milliseconds, of the proof that the replica is current from which on this controller is ready only if no peer
/// reaches the store: three watches without an answer.
const READY_PROOF_MS: u64 = 3_000;
/// How long a peer has to answer whether it reaches the store.
const REACH_LIMIT: Duration = Duration::from_millis(300);
/// How long forwarding takes at most, over all peers: a user's request is answered within a second.
const FORWARDING_LIMIT: Duration = Duration::from_millis(900);
/// How long one peer has to answer a forwarded request, so that two can be tried.
const PEER_FORWARDING_LIMIT: Duration = Duration::from_millis(450);
/// Attempts of one cancellation while the job's progress changes.
const CANCELLATION_ATTEMPTS: usize = 4;

/// Whether a job can ever run, by its team and the machine types.
#[derive(Debug, PartialEq, Eq)]
enum Feasibility {
    /// It can, once machines are free.
    Feasible,
    /// It never can, for this reason.
    Infeasible(&'static str),
    /// The machine types are not known yet.
    Unknown,
}

/// What is known of a job when the replica is current.
#[derive(Debug)]
enum Lookup {
    /// The job is known; the answer to its user.
    Known(Response),
    /// No such job was ever accepted.
    Unknown,
}

/// Why a job could not be looked up.
#[derive(Debug, Error)]
enum LookupError {
    /// The replica was not confirmed to be current.
    #[error(transparent)]
    NotConfirmed(#[from] ConfirmError),
    /// The store did not answer for the job's records.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The job's records do not suffice for an answer.
    #[error("the job's records are incomplete")]
    Incomplete,
}

impl Service {
    /// Answers a request on the public address.
    pub async fn answer(self: &Rc<Self>, request: Request) -> Response {
        let path = request.path.split('?').next().unwrap_or("");
        match (path, request.method.as_str()) {
            ("/v1/report", "POST") => return self.on_heartbeat(&request.body),
            ("/ready", "GET") => return self.ready().await,
            ("/v1/report" | "/ready", _) => return Response::empty(405),
            _ => {}
        }
        if self.user_requests_in_flight.get() >= MAX_USER_REQUESTS {
            return Response::later(1);
        }
        let _served = Served::one(&self.user_requests_in_flight);
        self.answer_user(path, &request).await
    }

    /// Answers a user's request.
    async fn answer_user(self: &Rc<Self>, path: &str, request: &Request) -> Response {
        let method = request.method.as_str();
        if path == "/api/jobs" {
            return match method {
                "POST" => self.on_submit(&request.body).await,
                _ => Response::empty(405),
            };
        }
        let Some(rest) = path.strip_prefix("/api/jobs/") else {
            return Response::empty(404);
        };
        let (id, allowed_method, aborts) = match rest.strip_suffix("/abort") {
            Some(id) => (id, "POST", true),
            None => (rest, "GET", false),
        };
        if id.contains('/') {
            return Response::empty(404);
        }
        if method != allowed_method {
            return Response::empty(405);
        }
        // No job can have an id of another form.
        let Some(id) = JobId::parse(id) else {
            return Response::empty(404);
        };
        if aborts {
            self.abort(id, Forwarding::Allowed).await
        } else {
            self.query(id, Forwarding::Allowed).await
        }
    }

    /// Ready while requests can be served here or forwarded. When nobody reaches the
    /// store, being unready would help nobody: requests are answered with 503 at once.
    async fn ready(&self) -> Response {
        let (loaded, stale) = {
            let controller = self.controller.borrow();
            let age = controller.rights.sync_age(self.now());
            (controller.loaded, age.is_none_or(|age_ms| age_ms > READY_PROOF_MS))
        };
        if !loaded || (stale && self.reaching_peer().await.is_some()) {
            return Response::later(1);
        }
        Response::empty(200)
    }

    /// Another controller that reaches the store.
    async fn reaching_peer(&self) -> Option<NodeId> {
        for node in self.other_nodes() {
            if let Ok(PeerResponse::StoreReachable(true)) =
                self.call_peer(node, &PeerRequest::StoreReachable, REACH_LIMIT).await
            {
                return Some(node);
            }
        }
        None
    }

    /// Forwards a request to controllers that may reach the store; the first answer other than 503 counts. If there is
    /// none, the answer is 503.
    async fn forward(&self, request: PeerRequest) -> Response {
        let deadline = Instant::now() + FORWARDING_LIMIT;
        for node in self.other_nodes() {
            let answer =
                timeout_at(deadline, self.call_peer(node, &request, PEER_FORWARDING_LIMIT)).await;
            if let Ok(Ok(PeerResponse::Answer(status, body))) = answer
                && status != 503
            {
                debug!(node = node.0, status, "forwarded");
                return Response::new(status, body);
            }
        }
        Response::later(1)
    }

    fn store_ok(&self) -> bool {
        let controller = self.controller.borrow();
        controller.loaded && controller.store_ok
    }

    /// Decodes and checks a submission.
    async fn on_submit(&self, body: &[u8]) -> Response {
        if !wire::is_map(body) {
            return Response::empty(400);
        }
        let spec = match wire::decode::<JobSpec>(body) {
            Ok(spec) => spec,
            Err(e) => return refusal(400, &e.to_string()),
        };
        if let Err(e) = spec.check() {
            return refusal(400, &e.to_string());
        }
        self.submit(spec, Forwarding::Allowed).await
    }

    /// Accepts a submission, or forwards it if this controller cannot write.
    pub(crate) async fn submit(&self, spec: JobSpec, forwarding: Forwarding) -> Response {
        let id = spec.id;
        if let Some(answer) = self.final_answer(id) {
            return answer;
        }
        if !self.store_ok() {
            return self.forward_if_allowed(forwarding, PeerRequest::Submit(spec)).await;
        }
        let known = self.controller.borrow().replica.jobs.contains_key(&id);
        if !known {
            if let Some(refusal) = self.refuse_infeasible(&spec).await {
                return refusal;
            }
            match self.accept_submission(spec.clone()).await {
                // While the store's answer was on its way, others may have read the job, answered for it and
                // cancelled it.
                SubmissionOutcome::New => {
                    return self.final_answer(id).unwrap_or_else(|| accepted_answer(id));
                }
                SubmissionOutcome::Known => {}
                SubmissionOutcome::Failed => {
                    return self.forward_if_allowed(forwarding, PeerRequest::Submit(spec)).await;
                }
            }
        }
        match self.lookup(id).await {
            Ok(Lookup::Known(answer)) => answer,
            Ok(Lookup::Unknown) | Err(_) => {
                self.forward_if_allowed(forwarding, PeerRequest::Submit(spec)).await
            }
        }
    }

    /// The answer to a submission of a job that can never run, or of which that is not known yet; `None` if the job is
    /// to be accepted.
    async fn refuse_infeasible(&self, spec: &JobSpec) -> Option<Response> {
        match self.feasibility(spec) {
            Feasibility::Feasible => None,
            Feasibility::Unknown => Some(Response::later(1)),
            // An accepted job that is submitted again is never answered that it cannot run.
            Feasibility::Infeasible(why) => Some(match self.lookup(spec.id).await {
                Ok(Lookup::Unknown) => refusal(422, why),
                Ok(Lookup::Known(answer)) => answer,
                Err(_) => Response::later(1),
            }),
        }
    }

    /// Forwards a request if it may be; the answer is 503 if not.
    async fn forward_if_allowed(&self, forwarding: Forwarding, request: PeerRequest) -> Response {
        match forwarding {
            Forwarding::Allowed => self.forward(request).await,
            Forwarding::Forbidden => Response::later(1),
        }
    }

    /// Whether a job can ever run.
    fn feasibility(&self, spec: &JobSpec) -> Feasibility {
        let Some(team) = self.settings.team(&spec.team) else {
            return Feasibility::Infeasible("unknown team");
        };
        let controller = self.controller.borrow();
        if controller.catalog.is_empty() {
            return Feasibility::Unknown;
        }
        if !placement::can_ever_run(spec, &controller.catalog) {
            return Feasibility::Infeasible("a task fits no allowed machine type");
        }
        if !placement::zones_allow_all(spec, &controller.catalog) {
            return Feasibility::Infeasible(
                "its tasks can't all run at once in the zones it may use",
            );
        }
        let tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Service | JobKind::Gang => u64::from(spec.task_count),
        };
        let need = crate::resources::Resources::of(spec);
        let over = |limit: Option<crate::model::Cores>, each: u64| {
            limit.is_some_and(|l| each.saturating_mul(tasks) > l.0)
        };
        if over(team.core_limit(), need.cores.0)
            || over(team.accelerator_limit(), need.accelerators.0)
        {
            return Feasibility::Infeasible("beyond the team's limit");
        }
        Feasibility::Feasible
    }

    /// The answer for a job that has ended, which nothing can change any more.
    fn final_answer(&self, id: JobId) -> Option<Response> {
        let answer = self.controller.borrow().final_answer(id)?;
        Some(Response::new(200, wire::encode(&answer)))
    }

    /// Looks a job up as it is now.
    async fn lookup(&self, id: JobId) -> Result<Lookup, LookupError> {
        if let Some(answer) = self.final_answer(id) {
            return Ok(Lookup::Known(answer));
        }
        self.confirm_replica().await?;
        if let Some(answer) = self.final_answer(id).or_else(|| self.open_answer(id)) {
            return Ok(Lookup::Known(answer));
        }
        // Jobs that ended long ago are no longer in memory, and one that came just now may be missing:
        // an accepted job stays known whatever went wrong.
        let mut known = false;
        for key in [replica::progress_key(id), replica::job_key(id)] {
            if let Some(item) = self.store.get(&key).await? {
                known = true;
                let mut replica_changes = ReplicaChanges::default();
                self.controller.borrow_mut().replica.load(&item, &mut replica_changes);
                if let Some(answer) = self.final_answer(id) {
                    return Ok(Lookup::Known(answer));
                }
            }
        }
        if !known {
            return Ok(Lookup::Unknown);
        }
        self.open_answer(id).map(Lookup::Known).ok_or(LookupError::Incomplete)
    }

    fn open_answer(&self, id: JobId) -> Option<Response> {
        let answer = self.controller.borrow().open_answer(id)?;
        Some(Response::new(200, wire::encode(&answer)))
    }

    /// Answers a query for a job.
    pub(crate) async fn query(&self, id: JobId, forwarding: Forwarding) -> Response {
        if let Some(answer) = self.final_answer(id) {
            return answer;
        }
        if self.store_ok() {
            match self.lookup(id).await {
                Ok(Lookup::Known(answer)) => return answer,
                Ok(Lookup::Unknown) => return Response::empty(404),
                Err(e) => debug!(error = %e, job = %id, "job not looked up"),
            }
        }
        self.forward_if_allowed(forwarding, PeerRequest::Query(id)).await
    }

    /// Cancels a job and answers how it ended; one that has ended before stays as it is.
    pub(crate) async fn abort(self: &Rc<Self>, id: JobId, forwarding: Forwarding) -> Response {
        for _ in 0..CANCELLATION_ATTEMPTS {
            if let Some(answer) = self.final_answer(id) {
                return answer;
            }
            if !self.store_ok() {
                break;
            }
            let known = self.controller.borrow().replica.jobs.contains_key(&id);
            if !known {
                match self.lookup(id).await {
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
                    debug!(error = %e, job = %id, "cancellation not written");
                    break;
                }
            }
        }
        match self.final_answer(id) {
            Some(answer) => answer,
            None => self.forward_if_allowed(forwarding, PeerRequest::Cancel(id)).await,
        }
    }
}

/// The answer to a submission that has just become durable.
fn accepted_answer(job: JobId) -> Response {
    let answer = JobAnswer { job, state: JobState::Pending, done: 0, running: 0, reason: None };
    Response::new(201, wire::encode(&answer))
}

/// A refusal with its reason, as users see it.
fn refusal(status: u16, why: &str) -> Response {
    let body = ciborium::Value::Map(vec![("error".into(), why.into())]);
    Response::new(status, wire::encode(&body))
}
