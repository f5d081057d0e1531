//! A small HTTP/1.1 server and client over `httparse`: keep-alive, no pipelining, bodies
//! with a length, everything bounded in size and time.
//!
//! [`server`] answers requests within the bounds of [`limits`]; [`client`] makes them. A call that brought
//! no answer says whether the request may have been carried out, on which the callers' retries rest.

mod call_error;
pub mod client;
pub mod limits;
mod parsing;
pub mod server;

pub use call_error::CallError;
pub use client::{Answer, Client};
pub use limits::{ClientKind, ServerLimits};
pub use server::serve;

/// A request as the server hands it on.
#[derive(Debug)]
pub struct Request {
    /// `GET`, `POST` or `DELETE`; others keep their name.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Number of the connection it came on, unique to this server.
    pub connection: u64,
}

/// An answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// CBOR body; may be empty.
    pub body: Vec<u8>,
    /// Seconds after which the client may come back.
    pub retry_after: Option<u32>,
    /// Whether the connection ends with this answer.
    pub close: bool,
}

impl Response {
    /// An answer with a body.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response { status, body, retry_after: None, close: false }
    }
    /// An answer without a body.
    pub fn empty(status: u16) -> Self {
        Response::new(status, Vec::new())
    }
    /// A refusal for now, which says when to come back.
    pub fn later(seconds: u32) -> Self {
        Response { retry_after: Some(seconds), ..Response::empty(503) }
    }
}

#[cfg(test)]
mod tests;
