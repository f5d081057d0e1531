//! Direct commands: announce a new term to machines and stop tasks without waiting for the
//! machines' next heartbeats.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Service;
use crate::http::Client;
use crate::metrics::Operation;
use crate::shard::DirectMessage;
use crate::wire::{self, DirectCommand};

/// Time between two checks for machines that are due a command. A new term has to reach machines
/// well before their next heartbeats.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Time limit for a machine's response. A lost machine must not occupy one of the few connections
/// for longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a machine's response, which is a heartbeat, as a multiple of the limit for
/// heartbeats that workers send themselves.
const RESPONSE_BODY_FACTOR: usize = 4;

/// Guard that counts a direct command as in flight until it is dropped.
struct InFlightGuard(Rc<Service>);

impl InFlightGuard {
    fn start(service: Rc<Service>) -> Self {
        let count: &Cell<usize> = &service.direct_commands_in_flight;
        count.set(count.get() + 1);
        InFlightGuard(service)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = &self.0.direct_commands_in_flight;
        count.set(count.get().saturating_sub(1));
    }
}

/// Returns the maximum number of concurrent direct commands for a process limited to `sockets`
/// sockets. The remaining sockets are left to users, workers and peers.
pub(super) fn max_direct_commands(sockets: usize) -> usize {
    (sockets / 40).clamp(8, 64)
}

impl Service {
    /// Sends direct commands when they are due.
    pub(super) async fn send_direct_commands(self: Rc<Self>) {
        let limit = max_direct_commands(self.settings.params.limits.sockets);
        loop {
            sleep(CHECK_PERIOD).await;
            let free_slots = limit.saturating_sub(self.direct_commands_in_flight.get());
            let due_messages =
                self.controller.borrow_mut().direct_messages_due(self.now(), free_slots);
            for message in due_messages {
                let guard = InFlightGuard::start(self.clone());
                spawn_local(async move { guard.0.send_direct_command(&message).await });
            }
        }
    }

    /// Sends one direct command and applies the machine's response.
    async fn send_direct_command(&self, message: &DirectMessage) {
        let Ok(addr) = message.endpoint.parse() else { return };
        let body = wire::encode(&DirectCommand {
            token: message.term,
            agent_epoch: message.agent_epoch,
            commands: message.commands.clone(),
        });
        let client = Client::new(addr, wire::MAX_BODY_BYTES * RESPONSE_BODY_FACTOR);
        let Ok(reply) = client.call("POST", "/do", &body, RESPONSE_TIMEOUT).await else { return };
        // A machine that refuses the command with status 409 sends its heartbeat as well.
        if !matches!(reply.status, 200 | 409) {
            return;
        }
        if let Ok(heartbeat) = wire::decode::<wire::Heartbeat>(&reply.body) {
            let mut controller = self.controller.borrow_mut();
            let now = self.now();
            self.metrics.time(Operation::Heartbeat, || {
                controller.on_direct_response(now, message, &heartbeat)
            });
            if controller.shard.summary_due {
                self.wake_ups.summary.notify_one();
            }
        }
    }
}
