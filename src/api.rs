//! The interface for users, workers and health checks.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use tracing::debug;

use crate::http::{Request, Response};
use crate::model::{JobId, NodeId};
use crate::peer::{PeerRequest, PeerResponse};
use crate::placement;
use crate::resources::Resources;
use crate::service::{Service, SubmissionOutcome};
use crate::wire::{self, JobAnswer, JobKind, JobSpec, JobState};

/// Most user requests served at a time; more are told to come back.
const MOST_AT_ONCE: usize = 256;

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

/// Whether a job can ever run, as far as its team and the machine types tell.
#[derive(Debug, PartialEq, Eq)]
enum Fitness {
    Fits,
    Never(&'static str),
    NotKnown,
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
        if self.serving.get() >= MOST_AT_ONCE {
            return Response::later(1);
        }
        let _served = Served::one(&self.serving);
        self.answer_user(path, &request).await
    }

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
        let (id, wanted, abort) = match rest.strip_suffix("/abort") {
            Some(id) => (id, "POST", true),
            None => (rest, "GET", false),
        };
        if id.contains('/') {
            return Response::empty(404);
        }
        if method != wanted {
            return Response::empty(405);
        }
        // No job can have an id of another form.
        let Some(id) = JobId::parse(id) else {
            return Response::empty(404);
        };
        if abort { self.abort(id, true).await } else { self.query(id, true).await }
    }

    /// Ready while requests can be served here or handed over. When nobody reaches the
    /// store, being unready would help nobody: requests are answered with 503 at once.
    async fn ready(&self) -> Response {
        let (loaded, stale) = {
            let controller = self.controller.borrow();
            let age = controller.rights.sync_age(self.now());
            (controller.loaded, age.is_none_or(|a| a > 3_000))
        };
        if !loaded || (stale && self.reaching_peer().await.is_some()) {
            return Response::later(1);
        }
        Response::empty(200)
    }

    /// Another controller that reaches the store.
    async fn reaching_peer(&self) -> Option<NodeId> {
        for node in self.others() {
            if let Some(PeerResponse::Reach(true)) =
                self.call_peer(node, &PeerRequest::Reach, 300).await
            {
                return Some(node);
            }
        }
        None
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = NodeId> + use<> {
        let me = self.me;
        (0..self.settings.params.nodes as u8).map(NodeId).filter(move |n| *n != me)
    }

    /// Hands a request over to controllers that may reach the store; the first useful answer
    /// counts. If there is none, the user is told at once to come back.
    async fn hand_over(&self, request: PeerRequest) -> Response {
        let deadline = Instant::now() + Duration::from_millis(900);
        for node in self.others() {
            let told = timeout_at(deadline, self.call_peer(node, &request, 450)).await;
            if let Ok(Some(PeerResponse::Answer(status, body))) = told
                && status != 503
            {
                debug!(node = node.0, status, "handed over");
                return Response::new(status, body);
            }
        }
        Response::later(1)
    }

    fn store_ok(&self) -> bool {
        let controller = self.controller.borrow();
        controller.loaded && controller.store_ok
    }

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
        self.submit(spec, true).await
    }

    /// Takes a submission, or hands it over if this node cannot write and may do that.
    pub(crate) async fn submit(&self, spec: JobSpec, may_hand_over: bool) -> Response {
        let id = spec.id;
        if let Some(answer) = self.final_answer(id) {
            return answer;
        }
        if !self.store_ok() {
            return self.or_hand_over(may_hand_over, PeerRequest::Submit(spec)).await;
        }
        let known = self.controller.borrow().replica.jobs.contains_key(&id);
        if !known {
            match self.fitness(&spec) {
                Fitness::NotKnown => return Response::later(1),
                // Whoever asks again about an accepted job never hears that it cannot run.
                Fitness::Never(why) => {
                    return match self.lookup(id).await {
                        Some(answer) if answer.status == 404 => refusal(422, why),
                        Some(answer) => answer,
                        None => Response::later(1),
                    };
                }
                Fitness::Fits => {}
            }
            match self.accept(spec.clone()).await {
                SubmissionOutcome::New => {
                    // While the store's answer was on its way, others may have read the job, told of it
                    // and cancelled it.
                    if let Some(answer) = self.final_answer(id) {
                        return answer;
                    }
                    let answer = JobAnswer {
                        job: id,
                        state: JobState::Pending,
                        done: 0,
                        running: 0,
                        reason: None,
                    };
                    return Response::new(201, wire::encode(&answer));
                }
                SubmissionOutcome::Known => {}
                SubmissionOutcome::Failed => {
                    return self.or_hand_over(may_hand_over, PeerRequest::Submit(spec)).await;
                }
            }
        }
        match self.lookup(id).await {
            Some(answer) if answer.status == 200 => answer,
            _ => self.or_hand_over(may_hand_over, PeerRequest::Submit(spec)).await,
        }
    }

    async fn or_hand_over(&self, may: bool, request: PeerRequest) -> Response {
        if may { self.hand_over(request).await } else { Response::later(1) }
    }

    fn fitness(&self, spec: &JobSpec) -> Fitness {
        let Some(team) = self.settings.team(&spec.team) else {
            return Fitness::Never("unknown team");
        };
        let controller = self.controller.borrow();
        if controller.catalog.is_empty() {
            return Fitness::NotKnown;
        }
        if !placement::can_ever_run(spec, &controller.catalog) {
            return Fitness::Never("a task fits no allowed machine type");
        }
        if !placement::zones_allow_all(spec, &controller.catalog) {
            return Fitness::Never("its tasks can't all run at once in the zones it may use");
        }
        let tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Service | JobKind::Gang => u64::from(spec.task_count),
        };
        let need = Resources::of(spec);
        let over = |limit: Option<crate::model::Cores>, each: u64| {
            limit.is_some_and(|l| each.saturating_mul(tasks) > l.0)
        };
        if over(team.core_limit(), need.cores.0)
            || over(team.accelerator_limit(), need.accelerators.0)
        {
            return Fitness::Never("beyond the team's limit");
        }
        Fitness::Fits
    }

    /// The answer for a job that has ended, which nothing can change any more.
    fn final_answer(&self, id: JobId) -> Option<Response> {
        let answer = self.controller.borrow().final_answer(id)?;
        Some(Response::new(200, wire::encode(&answer)))
    }

    /// The answer for a job as it is now; `None` if the store does not confirm it.
    async fn lookup(&self, id: JobId) -> Option<Response> {
        if let Some(answer) = self.final_answer(id) {
            return Some(answer);
        }
        if !self.confirm().await {
            return None;
        }
        if let Some(answer) = self.final_answer(id).or_else(|| self.open_answer(id)) {
            return Some(answer);
        }
        // Jobs that ended long ago are no longer in memory, and one that came just now may be missing:
        // an accepted job stays known whatever went wrong.
        let mut known = false;
        for key in [crate::replica::progress_key(id), crate::replica::job_key(id)] {
            if let Some(item) = self.store.get(&key).await.ok()? {
                known = true;
                let mut replica_changes = crate::replica::ReplicaChanges::default();
                self.controller.borrow_mut().replica.load(&item, &mut replica_changes);
                if let Some(answer) = self.final_answer(id) {
                    return Some(answer);
                }
            }
        }
        if known { self.open_answer(id) } else { Some(Response::empty(404)) }
    }

    fn open_answer(&self, id: JobId) -> Option<Response> {
        let answer = self.controller.borrow().open_answer(id)?;
        Some(Response::new(200, wire::encode(&answer)))
    }

    /// Answers a query.
    pub(crate) async fn query(&self, id: JobId, may_hand_over: bool) -> Response {
        if let Some(answer) = self.final_answer(id) {
            return answer;
        }
        if self.store_ok()
            && let Some(answer) = self.lookup(id).await
        {
            return answer;
        }
        self.or_hand_over(may_hand_over, PeerRequest::Query(id)).await
    }

    /// Cancels a job.
    pub(crate) async fn abort(self: &Rc<Self>, id: JobId, may_hand_over: bool) -> Response {
        for _ in 0..4 {
            if let Some(answer) = self.final_answer(id) {
                return answer;
            }
            if !self.store_ok() {
                break;
            }
            let known = self.controller.borrow().replica.jobs.contains_key(&id);
            if !known {
                match self.lookup(id).await {
                    Some(answer) if answer.status == 404 => return answer,
                    Some(_) => continue,
                    None => break,
                }
            }
            match self.write_cancelled(id).await {
                Ok(true) => continue,
                Ok(false) => {
                    if !self.confirm().await {
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
            None => self.or_hand_over(may_hand_over, PeerRequest::Abort(id)).await,
        }
    }
}

fn refusal(status: u16, why: &str) -> Response {
    let body = ciborium::Value::Map(vec![("error".into(), why.into())]);
    Response::new(status, wire::encode(&body))
}
