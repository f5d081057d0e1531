//! Limits of a server, and its count of open connections by kind of client.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;

use crate::wire::MAX_BODY_BYTES;

/// The kind of client on a connection, according to the path of its last request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// The connection has not received a request.
    Unclassified,
    /// A worker or a health check.
    Worker,
    /// A user.
    User,
}

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of open connections of users.
    pub max_user_connections: usize,
    /// Maximum number of open connections that have not received a request.
    pub max_unclassified_connections: usize,
    /// Determines the kind of client from the path of a request.
    pub classify: fn(&str) -> ClientKind,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// The idle timeout while more than half of all connections, or for users more than half of theirs, are open. It is
    /// shorter, so that a flood of idle connections passes quickly. Connections without a first request always get it.
    pub crowded_idle_timeout: Duration,
    /// Time limit for receiving one request, and for sending one response.
    pub request_timeout: Duration,
}

impl ServerLimits {
    /// Creates the default limits for this number of connections, which any kind of client may use up.
    pub fn new(max_connections: usize) -> Self {
        ServerLimits {
            max_connections,
            max_user_connections: max_connections,
            max_unclassified_connections: max_connections,
            classify: |_| ClientKind::Worker,
            max_body_bytes: MAX_BODY_BYTES,
            idle_timeout: Duration::from_secs(60),
            crowded_idle_timeout: Duration::from_secs(3),
            request_timeout: Duration::from_secs(5),
        }
    }
}

/// Number of open connections by kind of client. Each is counted by a [`ConnectionGuard`].
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    unclassified: Cell<usize>,
    workers: Cell<usize>,
    users: Cell<usize>,
}

impl OpenConnections {
    fn counter(&self, kind: ClientKind) -> &Cell<usize> {
        match kind {
            ClientKind::Unclassified => &self.unclassified,
            ClientKind::Worker => &self.workers,
            ClientKind::User => &self.users,
        }
    }
    fn total(&self) -> usize {
        self.unclassified.get() + self.workers.get() + self.users.get()
    }
    /// Whether another connection may be accepted.
    pub(super) fn has_room(&self, limits: &ServerLimits) -> bool {
        self.total() < limits.max_connections
            && self.unclassified.get() < limits.max_unclassified_connections
    }
}

/// Counts a connection under its kind of client until the guard is dropped, however the connection ends.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    open: Rc<OpenConnections>,
    kind: ClientKind,
}

impl ConnectionGuard {
    /// Counts a new connection, which has not received a request.
    pub(super) fn new(open: Rc<OpenConnections>) -> Self {
        open.unclassified.set(open.unclassified.get() + 1);
        ConnectionGuard { open, kind: ClientKind::Unclassified }
    }

    /// Counts the connection under another kind of client. On an error the kind is left unchanged.
    pub(super) fn change_kind(
        &mut self,
        kind: ClientKind,
        limits: &ServerLimits,
    ) -> Result<(), UserConnectionLimitReached> {
        if kind == self.kind {
            return Ok(());
        }
        if kind == ClientKind::User && self.open.users.get() >= limits.max_user_connections {
            return Err(UserConnectionLimitReached);
        }
        let (from, to) = (self.open.counter(self.kind), self.open.counter(kind));
        from.set(from.get() - 1);
        to.set(to.get() + 1);
        self.kind = kind;
        Ok(())
    }

    /// Returns the idle timeout that applies to the connection now.
    pub(super) fn idle_timeout(&self, limits: &ServerLimits) -> Duration {
        let open = &self.open;
        let crowded = open.total() * 2 > limits.max_connections
            || (self.kind == ClientKind::User
                && open.users.get() * 2 > limits.max_user_connections)
            || self.kind == ClientKind::Unclassified;
        if crowded { limits.crowded_idle_timeout } else { limits.idle_timeout }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = self.open.counter(self.kind);
        count.set(count.get().saturating_sub(1));
    }
}

/// The number of open user connections has reached its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("limit of user connections reached")]
pub(super) struct UserConnectionLimitReached;
