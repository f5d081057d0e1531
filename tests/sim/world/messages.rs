//! The network: messages between controllers and workers, their time of arrival and their delivery.

use super::*;

/// A sender or receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Endpoint {
    /// The controller with this index.
    Node(usize),
    /// The worker with this index.
    Worker(usize),
    /// The state service.
    Store,
}

/// A message in transit. Values of type `usize` are indexes of controllers and workers.
pub(super) enum Message {
    /// A heartbeat of the worker given first to the controller given second, and the time of sending.
    Heartbeat(usize, usize, Heartbeat, u64),
    /// A late copy of a heartbeat to a controller. Its response is discarded.
    HeartbeatCopy(usize, Heartbeat),
    /// The response for a worker to its heartbeat with this sequence.
    HeartbeatResponse(usize, u64, Answer),
    /// Direct commands of the controller given first to the worker given second, and the simulated time of sending.
    DirectCommands(usize, usize, DirectMessage, u64),
    /// A worker's response to the direct commands of a controller, with these commands and the time of their sending.
    DirectResponse(usize, DirectMessage, Heartbeat, u64),
    /// A summary of the controller given first to the leader given second, and the time of sending by the
    /// sender's clock.
    Summary(usize, usize, Box<Summary>, MonotonicTime),
    /// The leader's response to a controller's summary. For a direct summary with the time when the summary was
    /// sent, by the clock of the controller.
    PeerResponse(usize, PeerResponse, Option<MonotonicTime>),
    /// Cancellation notices of the controller given first to the controller given second.
    CancellationNotices(usize, usize, Vec<CancellationNotice>),
    /// Acknowledged cancellations, to the controller given first from the controller given second.
    CancellationsKnown(usize, usize, Vec<JobId>),
    /// The outcome of a controller's probe of the leader.
    Probed(usize, ProbeOutcome),
}

impl Message {
    /// Returns the receiving controller; `None` if a worker receives the message.
    pub(super) fn to_node(&self) -> Option<usize> {
        match self {
            Message::Heartbeat(_, n, ..)
            | Message::HeartbeatCopy(n, _)
            | Message::DirectResponse(n, ..)
            | Message::Summary(_, n, ..)
            | Message::PeerResponse(n, ..)
            | Message::CancellationNotices(_, n, _)
            | Message::CancellationsKnown(n, ..)
            | Message::Probed(n, _) => Some(*n),
            Message::HeartbeatResponse(..) | Message::DirectCommands(..) => None,
        }
    }
}

/// Removes the parts of a plan that the version without gangs does not know.
fn strip_plan_for_old_version(response: &mut PeerResponse) {
    if let PeerResponse::Plan(plan) = response
        && let Some(body) = &mut plan.body
    {
        body.stops.clear();
        body.reserved.clear();
    }
}

/// Reports the starts in the response to a heartbeat, which was sent at `heartbeat_sent_at`, to the checker.
fn record_commanded_starts(
    checker: &mut Checker,
    now: u64,
    response: &HeartbeatResponse,
    heartbeat_sent_at: u64,
) {
    for command in &response.commands {
        if let WorkerCommand::Start { task, .. } = command {
            let task = (task.job.0, task.index);
            checker.record(now, Event::StartCommanded { task, heartbeat_sent_at });
        }
    }
}

impl World {
    /// Returns when a packet sent now arrives; `None` if it is lost.
    pub(super) fn arrival(&mut self, from: Endpoint, to: Endpoint) -> Option<u64> {
        let mut at = self.now + self.rng.random_range(1..15);
        for partition in self.partitions.iter().filter(|partition| partition.until > self.now) {
            let crosses = (partition.from.contains(&from) && partition.to.contains(&to))
                || (partition.from.contains(&to) && partition.to.contains(&from));
            if crosses && !partition.hold {
                return None;
            }
            if crosses {
                at = at.max(partition.until + 5);
            }
        }
        Some(at)
    }

    /// Sends a message, which arrives later or is lost.
    pub(super) fn send(&mut self, from: Endpoint, to: Endpoint, message: Message) {
        if let Some(at) = self.arrival(from, to) {
            self.messages_sent += 1;
            self.messages.insert((at, self.messages_sent), message);
        }
    }

    /// Delivers a message to its receiver. Messages to a suspended controller are held until it is resumed.
    pub(super) fn deliver(&mut self, message: Message) {
        let now = self.now;
        if let Some(n) = message.to_node()
            && let Ok(node) = &mut self.nodes[n]
            && node.frozen_until.is_some()
        {
            node.held_messages.push(message);
            return;
        }
        match message {
            Message::Heartbeat(w, n, heartbeat, sent) => {
                let Ok(node) = &mut self.nodes[n] else { return };
                let monotonic = node.clock_reading(now).monotonic;
                let started = Instant::now();
                let answer = node.controller.on_heartbeat(monotonic, &heartbeat);
                self.heartbeats.count += 1;
                self.heartbeats.total += started.elapsed();
                if let HeartbeatOutcome::Respond(response) = &answer {
                    record_commanded_starts(&mut self.checker, now, response, sent);
                }
                let answer = match answer {
                    HeartbeatOutcome::Respond(response) => Answer::Accepted(response),
                    HeartbeatOutcome::Redirect(name) => Answer::Redirected(
                        node.controller.nodes.iter().position(|i| i.name == name).unwrap(),
                    ),
                    HeartbeatOutcome::Refuse => Answer::Refused,
                };
                if now < self.lost_responses_until && self.rng.random_bool(0.3) {
                    return;
                }
                let response = Message::HeartbeatResponse(w, heartbeat.sequence, answer);
                self.send(Endpoint::Node(n), Endpoint::Worker(w), response);
            }
            Message::HeartbeatCopy(n, heartbeat) => {
                if let Ok(node) = &mut self.nodes[n] {
                    let monotonic = node.clock_reading(now).monotonic;
                    node.controller.on_heartbeat(monotonic, &heartbeat);
                }
            }
            Message::DirectCommands(n, w, request, sent)
                if now < self.commands_held_until && now < sent + 60 =>
            {
                // Commands sent less than 60 ms ago are held until the fault is over.
                self.messages_sent += 1;
                let message = Message::DirectCommands(n, w, request, sent);
                self.messages.insert((self.commands_held_until, self.messages_sent), message);
            }
            Message::DirectCommands(_, w, ..)
                if self.unanswered_workers.iter().any(|entry| entry.0 == w && now < entry.1) => {}
            Message::DirectCommands(n, w, request, sent) => {
                let worker = &mut self.workers[w];
                if worker.terminated {
                    return;
                }
                if !worker.active(now) {
                    // A machine that hangs executes the commands when it continues.
                    let until = worker.hung_until;
                    self.messages_sent += 1;
                    let message = Message::DirectCommands(n, w, request, sent);
                    self.messages.insert((until, self.messages_sent), message);
                    return;
                }
                let (term, agent_epoch) = (request.term.0, request.agent_epoch.0);
                let (heartbeat, changes) =
                    worker.handle_direct_commands(now, term, agent_epoch, &request.commands);
                self.record_worker_changes(w, changes);
                let message = Message::DirectResponse(n, request, heartbeat, sent);
                self.send(Endpoint::Worker(w), Endpoint::Node(n), message);
            }
            Message::DirectResponse(n, request, heartbeat, sent) => {
                // The controller waits for a response for one second, and not across its restart.
                if let Ok(node) = &mut self.nodes[n]
                    && now - sent < 1_000
                    && sent >= node.started_at
                {
                    let monotonic = node.clock_reading(now).monotonic;
                    node.controller.on_direct_response(monotonic, &request, &heartbeat);
                }
            }
            Message::HeartbeatResponse(w, ..)
                if self.unanswered_workers.iter().any(|entry| entry.0 == w && now < entry.1) => {}
            Message::HeartbeatResponse(w, sequence, answer) => {
                if let (Answer::Accepted(response), Some(trace)) = (&answer, &mut self.trace) {
                    let jobs = &self.jobs;
                    trace.record_worker_response(now, response, |job| {
                        jobs.get(&job.0).map(|j| j.priority)
                    });
                }
                let commands = match &answer {
                    Answer::Accepted(response) => response.commands.clone(),
                    Answer::Redirected(_) | Answer::Refused => Vec::new(),
                };
                let changes = self.workers[w].handle_answer(now, sequence, answer);
                self.record_worker_changes(w, changes);
                self.cancel_started(w, &commands);
            }
            Message::Summary(from, to, summary, sent) => {
                let Ok(node) = &mut self.nodes[to] else { return };
                let monotonic = node.clock_reading(now).monotonic;
                node.controller.last_peer_contact = monotonic;
                let (mut response, _) = node.controller.receive_summary(monotonic, *summary);
                if let PeerResponse::Plan(plan) = &mut response
                    && now < self.decision_log_lags_until
                {
                    plan.decisions = None;
                }
                if self.old_version[from] || self.old_version[to] {
                    strip_plan_for_old_version(&mut response);
                }
                self.largest_message_bytes[0] =
                    self.largest_message_bytes[0].max(peer::encode(&response).len());
                self.send(
                    Endpoint::Node(to),
                    Endpoint::Node(from),
                    Message::PeerResponse(from, response, Some(sent)),
                );
            }
            Message::CancellationNotices(from, to, notices) => {
                let Ok(node) = &mut self.nodes[to] else { return };
                let clock = node.clock_reading(now);
                let (replica_changes, known) = node.controller.apply_cancellation_notices(&notices);
                node.controller.on_replica_changes(clock, &replica_changes);
                self.send(
                    Endpoint::Node(to),
                    Endpoint::Node(from),
                    Message::CancellationsKnown(from, to, known),
                );
            }
            Message::CancellationsKnown(to, from, jobs) => {
                let Ok(node) = &mut self.nodes[to] else { return };
                node.controller.record_acknowledgements(NodeId(from as u8), &jobs);
            }
            Message::Probed(n, outcome) => {
                let Ok(node) = &mut self.nodes[n] else { return };
                let monotonic = node.clock_reading(now).monotonic;
                if let Some(FailoverCommand::Fence(_)) =
                    node.controller.on_probe_completed(monotonic, outcome)
                {
                    self.fence_leader(n);
                }
            }
            Message::PeerResponse(to, response, sent) => {
                self.cancel_granted(to, &response);
                if let Ok(node) = &mut self.nodes[to] {
                    match sent {
                        Some(sent) => node.controller.record_leader_response(sent, &response),
                        None => {
                            let monotonic = node.clock_reading(now).monotonic;
                            node.controller.record_leader_message_from_store(monotonic, &response);
                        }
                    }
                    node.controller.last_peer_contact = node.clock_reading(now).monotonic;
                    node.controller.apply_leader_response(response);
                }
            }
        }
    }
}
