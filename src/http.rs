//! A small HTTP/1.1 server and client based on `httparse`. Supports keep-alive and bodies with `Content-Length`, but
//! neither pipelining nor chunked bodies. All sizes and times are bounded.
//!
//! [`server`] serves requests within the bounds of [`limits`]; [`client`] sends them. The error of a failed call tells
//! whether the request may have been executed, which callers need to decide on retries.

mod call_error;
pub mod client;
pub mod limits;
mod parsing;
pub mod server;

pub use call_error::CallError;
pub use client::{Client, ClientResponse};
pub use limits::{ClientKind, ServerLimits};
pub use server::serve;

/// A request, as the server passes it to its handler.
#[derive(Debug)]
pub struct Request {
    /// Method, as received.
    pub method: String,
    /// Path, including the query string.
    pub path: String,
    /// Body; may be empty.
    pub body: Vec<u8>,
    /// Identifier of the connection, unique within the server.
    pub connection: u64,
}

/// A response of the server.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// CBOR body; may be empty.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds, if the response has one.
    pub retry_after_s: Option<u32>,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

impl Response {
    /// Creates a response with a body.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Response { status, body, retry_after_s: None, close: false }
    }
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Self {
        Response::new(status, Vec::new())
    }
    /// Creates a 503 response that asks the client to retry after this time.
    pub fn unavailable(retry_after_s: u32) -> Self {
        Response { retry_after_s: Some(retry_after_s), ..Response::empty(503) }
    }
}

#[cfg(test)]
mod tests;
