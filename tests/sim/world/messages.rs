//! The network: what is sent between controllers and workers, when it arrives, and what it does there.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Place {
    Node(usize),
    Worker(usize),
    Store,
}

pub(super) enum Message {
    Heartbeat(usize, usize, Heartbeat),
    /// A late copy of a heartbeat to that controller; nobody waits for its response.
    Copy(usize, Heartbeat),
    Reply(usize, u64, Answer),
    /// A node announces its term to a worker; when it was sent.
    Announce(usize, usize, DirectMessage, u64),
    /// The worker's answer to that.
    Announced(usize, DirectMessage, Heartbeat, u64),
    /// A summary, and when it was sent by the sender's clock.
    Summary(usize, usize, Box<Summary>, MonotonicTime),
    /// The answer; when the summary was sent, if it came directly.
    PeerResponse(usize, PeerResponse, Option<MonotonicTime>),
    /// A cancellation notice from another controller.
    CancellationNotice(usize, PeerRequest),
    /// What became of a node's question to the leader.
    Probed(usize, ProbeOutcome),
}

impl Message {
    /// The controller that it is for, if it is for one.
    pub(super) fn to_node(&self) -> Option<usize> {
        match self {
            Message::Heartbeat(_, n, _)
            | Message::Copy(n, _)
            | Message::Announced(n, ..)
            | Message::Summary(_, n, ..)
            | Message::PeerResponse(n, ..)
            | Message::CancellationNotice(n, _)
            | Message::Probed(n, _) => Some(*n),
            Message::Reply(..) | Message::Announce(..) => None,
        }
    }
}

/// Leaves what the version before gangs reads of a plan.
fn strip_for_version_before(response: &mut PeerResponse) {
    if let PeerResponse::Plan(plan) = response
        && let Some(body) = &mut plan.body
    {
        body.stops.clear();
        body.reserved.clear();
    }
}

impl World {
    /// When a packet arrives that is sent now; `None` if never.
    pub(super) fn arrival(&mut self, a: Place, b: Place) -> Option<u64> {
        let mut at = self.now + self.rng.random_range(1..15);
        for c in self.cuts.iter().filter(|c| c.until > self.now) {
            let crosses = (c.from.contains(&a) && c.to.contains(&b))
                || (c.from.contains(&b) && c.to.contains(&a));
            if crosses && !c.hold {
                return None;
            }
            if crosses {
                at = at.max(c.until + 5);
            }
        }
        Some(at)
    }

    pub(super) fn send(&mut self, a: Place, b: Place, message: Message) {
        if let Some(at) = self.arrival(a, b) {
            self.sent += 1;
            self.messages.insert((at, self.sent), message);
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        let now = self.now;
        if let Some(n) = message.to_node()
            && let Ok(node) = &mut self.nodes[n]
            && node.frozen.is_some()
        {
            node.held.push(message);
            return;
        }
        match message {
            Message::Heartbeat(w, n, heartbeat) => {
                let Ok(node) = &mut self.nodes[n] else { return };
                let steady = node.moment(now).steady;
                let began = Instant::now();
                let answer = node.controller.on_heartbeat(steady, &heartbeat);
                self.reports.count += 1;
                self.reports.total += began.elapsed();
                let answer = match answer {
                    HeartbeatOutcome::Respond(reply) => Answer::Accepted(reply),
                    HeartbeatOutcome::Redirect(name) => Answer::Redirected(
                        node.controller.nodes.iter().position(|i| i.name == name).unwrap(),
                    ),
                    HeartbeatOutcome::Refuse => Answer::Refused,
                };
                if now < self.lossy_until && self.rng.random_bool(0.3) {
                    return;
                }
                let reply = Message::Reply(w, heartbeat.sequence, answer);
                self.send(Place::Node(n), Place::Worker(w), reply);
            }
            Message::Copy(n, heartbeat) => {
                if let Ok(node) = &mut self.nodes[n] {
                    let steady = node.moment(now).steady;
                    node.controller.on_heartbeat(steady, &heartbeat);
                }
            }
            Message::Announce(n, w, announced, sent)
                if now < self.hold_until && now < sent + 60 =>
            {
                // A command is held up and carried out when all is over.
                self.sent += 1;
                let message = Message::Announce(n, w, announced, sent);
                self.messages.insert((self.hold_until, self.sent), message);
            }
            Message::Announce(_, w, ..) if self.deaf.iter().any(|d| d.0 == w && now < d.1) => {}
            Message::Announce(n, w, announced, sent) => {
                let worker = &mut self.workers[w];
                if worker.terminated {
                    return;
                }
                if !worker.active(now) {
                    // A hanging machine carries it out when it goes on.
                    let until = worker.hung_until;
                    self.sent += 1;
                    let message = Message::Announce(n, w, announced, sent);
                    self.messages.insert((until, self.sent), message);
                    return;
                }
                let (term, agent_epoch) = (announced.term.0, announced.agent_epoch.0);
                let (heartbeat, changes) =
                    worker.handle_direct_commands(now, term, agent_epoch, &announced.commands);
                self.see(w, changes);
                let message = Message::Announced(n, announced, heartbeat, sent);
                self.send(Place::Worker(w), Place::Node(n), message);
            }
            Message::Announced(n, asked, heartbeat, sent) => {
                // Nobody waits for it any more after a second.
                if let Ok(node) = &mut self.nodes[n]
                    && now - sent < 1_000
                    && sent >= node.started
                {
                    let steady = node.moment(now).steady;
                    node.controller.on_direct_response(steady, &asked, &heartbeat);
                }
            }
            Message::Reply(w, ..) if self.deaf.iter().any(|d| d.0 == w && now < d.1) => {}
            Message::Reply(w, sequence, answer) => {
                if let (Answer::Accepted(reply), Some(trace)) = (&answer, &mut self.trace) {
                    let jobs = &self.jobs;
                    trace.record_worker_response(now, reply, |job| {
                        jobs.get(&job.0).map(|j| j.priority)
                    });
                }
                let commands = match &answer {
                    Answer::Accepted(reply) => reply.commands.clone(),
                    Answer::Redirected(_) | Answer::Refused => Vec::new(),
                };
                let changes = self.workers[w].handle_answer(now, sequence, answer);
                self.see(w, changes);
                self.cancel_started(w, &commands);
            }
            Message::Summary(from, to, summary, sent) => {
                let Ok(node) = &mut self.nodes[to] else { return };
                let steady = node.moment(now).steady;
                node.controller.last_peer_contact = steady;
                let (mut response, _) = node.controller.receive_summary(steady, *summary);
                if let PeerResponse::Plan(plan) = &mut response
                    && now < self.log_lags_until
                {
                    plan.decisions = None;
                }
                if self.old[from] || self.old[to] {
                    strip_for_version_before(&mut response);
                }
                self.largest[0] = self.largest[0].max(peer::encode(&response).len());
                self.send(
                    Place::Node(to),
                    Place::Node(from),
                    Message::PeerResponse(from, response, Some(sent)),
                );
            }
            Message::CancellationNotice(to, ask) => {
                let (Ok(node), PeerRequest::JobCancelled(job, progress, version)) =
                    (&mut self.nodes[to], ask)
                else {
                    return;
                };
                let moment = node.moment(now);
                let replica_changes =
                    node.controller.apply_cancellation_notice(job, &progress, version);
                node.controller.on_replica_changes(moment, &replica_changes);
            }
            Message::Probed(n, outcome) => {
                let Ok(node) = &mut self.nodes[n] else { return };
                let steady = node.moment(now).steady;
                if let Some(FailoverCommand::Fence(_)) =
                    node.controller.on_probe_completed(steady, outcome)
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
                            let steady = node.moment(now).steady;
                            node.controller.record_leader_message_from_store(steady, &response);
                        }
                    }
                    node.controller.last_peer_contact = node.moment(now).steady;
                    node.controller.apply_leader_response(response);
                }
            }
        }
    }
}
