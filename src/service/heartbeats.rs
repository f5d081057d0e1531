//! Workers' heartbeats, answered by the owner of their machine.

use super::Service;
use crate::http::Response;
use crate::metrics::Operation;
use crate::shard::HeartbeatOutcome;
use crate::wire;

impl Service {
    /// Answers a worker's heartbeat: 200 with commands, 421 with the controller to send them to, 503 while this controller may
    /// not answer, 400 for what is no heartbeat.
    pub(crate) fn on_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = wire::decode::<wire::Heartbeat>(body) else {
            return Response::empty(400);
        };
        let mut controller = self.controller.borrow_mut();
        if heartbeat.token > controller.shard.term() {
            // A leader was elected that this controller does not know of yet.
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
            HeartbeatOutcome::Respond(reply) => Response::new(200, wire::encode(&reply)),
            HeartbeatOutcome::Redirect(name) => {
                Response::new(421, wire::encode(&wire::Redirect { controller: Some(name) }))
            }
            HeartbeatOutcome::Refuse => Response::unavailable(1),
        }
    }
}
