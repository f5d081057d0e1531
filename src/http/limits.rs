//! Bounds of a server, and the count of its connections by kind.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;

use crate::wire::BODY_LIMIT;

/// Whom a connection belongs to, as its last request tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// No request has come yet.
    Fresh,
    /// Workers, and whoever checks health.
    Worker,
    /// Users.
    User,
}

/// Bounds of a server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Most connections at once.
    pub connections: usize,
    /// Most of them that belong to users.
    pub users: usize,
    /// Most of them on which no request has come yet.
    pub fresh: usize,
    /// Tells whom a request's path belongs to.
    pub kind: fn(&str) -> ClientKind,
    /// Largest body of a request.
    pub body: usize,
    /// How long a connection may stay open without a request.
    pub idle: Duration,
    /// The same once more than half of the connections are in use, so that a flood of
    /// idle ones passes quickly.
    pub idle_crowded: Duration,
    /// How long the bytes of one request may take.
    pub request: Duration,
}

impl ServerLimits {
    /// Usual bounds with that many connections.
    pub fn of(connections: usize) -> Self {
        ServerLimits {
            connections,
            users: connections,
            fresh: connections,
            kind: |_| ClientKind::Worker,
            body: BODY_LIMIT,
            idle: Duration::from_secs(60),
            idle_crowded: Duration::from_secs(3),
            request: Duration::from_secs(5),
        }
    }
}

/// How many connections are open, by kind. A [`ConnectionGuard`] counts each.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    fresh: Cell<usize>,
    workers: Cell<usize>,
    users: Cell<usize>,
}

impl OpenConnections {
    fn of(&self, kind: ClientKind) -> &Cell<usize> {
        match kind {
            ClientKind::Fresh => &self.fresh,
            ClientKind::Worker => &self.workers,
            ClientKind::User => &self.users,
        }
    }
    fn all(&self) -> usize {
        self.fresh.get() + self.workers.get() + self.users.get()
    }
    /// Whether one more may be opened.
    pub(super) fn has_room(&self, limits: &ServerLimits) -> bool {
        self.all() < limits.connections && self.fresh.get() < limits.fresh
    }
}

/// Counts a connection under its kind from its creation until it is dropped, however the connection ends.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    open: Rc<OpenConnections>,
    kind: ClientKind,
}

impl ConnectionGuard {
    /// Counts a connection on which no request has come yet.
    pub(super) fn new(open: Rc<OpenConnections>) -> Self {
        open.fresh.set(open.fresh.get() + 1);
        ConnectionGuard { open, kind: ClientKind::Fresh }
    }

    /// Counts the connection as another kind from now on. On an error it stays what it was.
    pub(super) fn change_kind(
        &mut self,
        kind: ClientKind,
        limits: &ServerLimits,
    ) -> Result<(), TooManyUsers> {
        if kind == self.kind {
            return Ok(());
        }
        if kind == ClientKind::User && self.open.users.get() >= limits.users {
            return Err(TooManyUsers);
        }
        let (from, to) = (self.open.of(self.kind), self.open.of(kind));
        from.set(from.get() - 1);
        to.set(to.get() + 1);
        self.kind = kind;
        Ok(())
    }

    /// How long the connection may stay open without a request.
    pub(super) fn idle_limit(&self, limits: &ServerLimits) -> Duration {
        let open = &self.open;
        let crowded = open.all() * 2 > limits.connections
            || (self.kind == ClientKind::User && open.users.get() * 2 > limits.users)
            || self.kind == ClientKind::Fresh;
        if crowded { limits.idle_crowded } else { limits.idle }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = self.open.of(self.kind);
        count.set(count.get().saturating_sub(1));
    }
}

/// Users have as many connections as they may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too many connections of users")]
pub(super) struct TooManyUsers;
