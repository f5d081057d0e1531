//! Workers' heartbeats, answered by the controller that owns the worker's machine.

use super::Service;
use crate::http::Response;
use crate::metrics::Operation;
use crate::shard::HeartbeatOutcome;
use crate::wire;

impl Service {
    /// Answers a worker's heartbeat: 200 with commands, 400 for a malformed heartbeat, 421 with the
    /// name of the controller that owns the machine, or 503 while this controller may not answer
    /// workers.
    pub(crate) fn on_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = wire::decode::<wire::Heartbeat>(body) else {
            return Response::empty(400);
        };
        let mut controller = self.controller.borrow_mut();
        if heartbeat.token > controller.shard.term() {
            // The worker has seen a later term, so the replica is outdated.
            self.confirmations.request_without_waiting();
        }
        let now = self.now();
        let outcome =
            self.metrics.time(Operation::Heartbeat, || controller.on_heartbeat(now, &heartbeat));
        if controller.shard.summary_due {
            self.wake_ups.summary.notify_one();
        }
        if !controller.shard.completed_tasks.is_empty() {
            self.wake_ups.completions.notify_one();
        }
        match outcome {
            HeartbeatOutcome::Respond(response) => Response::new(200, wire::encode(&response)),
            HeartbeatOutcome::Redirect(name) => {
                Response::new(421, wire::encode(&wire::Redirect { controller: Some(name) }))
            }
            HeartbeatOutcome::Refuse => Response::unavailable(1),
        }
    }
}
