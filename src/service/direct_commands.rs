//! Direct commands: machines receive a new term, and the tasks to stop, without waiting for their next heartbeat.

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

/// Time between two looks at which machines are due a command: a new term is to reach them well before their next
/// heartbeat.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long a machine has to answer: a lost machine must not hold one of the few connections for long.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// Most bytes of a machine's answer, which is a heartbeat, in multiples of what workers may send on their own.
const ANSWER_BODY_FACTOR: usize = 4;

/// Counts a direct command as in flight for as long as this lives, however it ends.
struct InFlight(Rc<Service>);

impl InFlight {
    fn start(service: Rc<Service>) -> Self {
        let count: &Cell<usize> = &service.direct_commands_in_flight;
        count.set(count.get() + 1);
        InFlight(service)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = &self.0.direct_commands_in_flight;
        count.set(count.get().saturating_sub(1));
    }
}

/// Most direct commands in flight at a time, so that the rest of the sockets is left for users, workers and peers.
pub(super) fn max_direct_commands(sockets: usize) -> usize {
    (sockets / 40).clamp(8, 64)
}

impl Service {
    /// Sends direct commands as they become due.
    pub(super) async fn send_direct_commands(self: Rc<Self>) {
        let limit = max_direct_commands(self.settings.params.limits.sockets);
        loop {
            sleep(CHECK_PERIOD).await;
            let free = limit.saturating_sub(self.direct_commands_in_flight.get());
            let due = self.controller.borrow_mut().direct_messages_due(self.now(), free);
            for message in due {
                let in_flight = InFlight::start(self.clone());
                spawn_local(async move { in_flight.0.send_direct_command(&message).await });
            }
        }
    }

    /// Sends one direct command and applies the machine's answer.
    async fn send_direct_command(&self, message: &DirectMessage) {
        let Ok(addr) = message.endpoint.parse() else { return };
        let body = wire::encode(&DirectCommand {
            token: message.term,
            agent_epoch: message.agent_epoch,
            commands: message.commands.clone(),
        });
        let client = Client::new(addr, wire::MAX_BODY_BYTES * ANSWER_BODY_FACTOR);
        let Ok(answer) = client.call("POST", "/do", &body, ANSWER_LIMIT).await else { return };
        if !matches!(answer.status, 200 | 409) {
            return;
        }
        if let Ok(heartbeat) = wire::decode::<wire::Heartbeat>(&answer.body) {
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
