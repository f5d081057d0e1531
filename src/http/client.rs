//! An HTTP client for one address, with a small pool of idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::call_error::CallError;
use super::parsing::{READ_BUFFER_BYTES, ResponseHead, parse_response};

/// Time after which an idle connection is discarded, as the server may be about to close it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Maximum number of idle connections in the pool.
const MAX_POOLED_CONNECTIONS: usize = 8;

/// An HTTP client for one address, with a small pool of idle connections.
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Vec<(TcpStream, Instant)>>,
    max_body_bytes: usize,
}

/// A response, as the client received it.
#[derive(Debug)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body; may be empty.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds, if it is present and a number.
    pub retry_after_s: Option<u32>,
}

impl Client {
    /// Creates a client that accepts response bodies of up to `max_body_bytes`.
    pub fn new(addr: SocketAddr, max_body_bytes: usize) -> Self {
        Client { addr, idle: RefCell::new(Vec::new()), max_body_bytes }
    }

    /// Sends a request and waits for the response, all within `time_limit`.
    ///
    /// If a pooled connection is closed before any byte of a response arrives, the server is taken to have closed it
    /// while it was idle, without executing the request. The request is sent once more, on a new connection.
    ///
    /// # Errors
    /// Only [`CallError::Connect`] guarantees that the request was not executed.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        time_limit: Duration,
    ) -> Result<ClientResponse, CallError> {
        let deadline = Instant::now() + time_limit;
        let request = self.encode_request(method, path, body);
        if let Some(stream) = self.take_pooled() {
            match self.exchange_with_deadline(deadline, stream, &request).await {
                Err(CallError::Connect) => {}
                result => return result,
            }
        }
        let stream = timeout(remaining(deadline), TcpStream::connect(self.addr))
            .await
            .map_err(|_| CallError::Connect)?
            .map_err(|_| CallError::Connect)?;
        // Best effort: the connection works without the option.
        let _ = stream.set_nodelay(true);
        match self.exchange_with_deadline(deadline, stream, &request).await {
            Err(CallError::Connect) => Err(CallError::ConnectionLost),
            result => result,
        }
    }

    /// Discards connections that have been idle for too long, and takes one of the others from the pool.
    fn take_pooled(&self) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(_, since)| since.elapsed() < MAX_IDLE_TIME);
        idle.pop().map(|(stream, _)| stream)
    }

    /// Encodes a request.
    fn encode_request(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(128 + body.len());
        out.extend_from_slice(
            format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.addr).as_bytes(),
        );
        if method != "GET" || !body.is_empty() {
            out.extend_from_slice(
                format!("Content-Type: application/cbor\r\nContent-Length: {}\r\n", body.len())
                    .as_bytes(),
            );
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        out
    }

    /// Sends a request on a connection and reads the response, until `deadline`.
    async fn exchange_with_deadline(
        &self,
        deadline: Instant,
        stream: TcpStream,
        request: &[u8],
    ) -> Result<ClientResponse, CallError> {
        timeout(remaining(deadline), self.exchange(stream, request))
            .await
            .unwrap_or(Err(CallError::Timeout))
    }

    /// Sends a request on a connection and reads the response. `Connect` means here that the connection was closed
    /// before any byte of a response arrived.
    async fn exchange(
        &self,
        mut stream: TcpStream,
        request: &[u8],
    ) -> Result<ClientResponse, CallError> {
        stream.write_all(request).await.map_err(|_| CallError::Connect)?;
        let mut buf = Vec::with_capacity(READ_BUFFER_BYTES);
        loop {
            if let Some(head) = parse_response(&buf)? {
                return self.read_body(stream, buf, head).await;
            }
            match stream.read_buf(&mut buf).await {
                Ok(read) if read > 0 => {}
                _ if buf.is_empty() => return Err(CallError::Connect),
                _ => return Err(CallError::ConnectionLost),
            }
        }
    }

    /// Reads the rest of a response whose head is in `buf`, and returns the connection to the pool if it can be reused.
    async fn read_body(
        &self,
        mut stream: TcpStream,
        mut buf: Vec<u8>,
        head: ResponseHead,
    ) -> Result<ClientResponse, CallError> {
        let ResponseHead { status, fields, head_bytes } = head;
        let body_bytes = fields.content_length.unwrap_or(0);
        if body_bytes > self.max_body_bytes {
            return Err(CallError::Malformed);
        }
        let end = head_bytes + body_bytes;
        while buf.len() < end {
            if stream.read_buf(&mut buf).await.map_err(|_| CallError::ConnectionLost)? == 0 {
                return Err(CallError::ConnectionLost);
            }
        }
        if !fields.close && buf.len() == end && self.idle.borrow().len() < MAX_POOLED_CONNECTIONS {
            self.idle.borrow_mut().push((stream, Instant::now()));
        }
        buf.truncate(end);
        buf.drain(..head_bytes);
        Ok(ClientResponse { status, body: buf, retry_after_s: fields.retry_after_s })
    }
}

/// Returns the time until `deadline`; zero if it has passed.
fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
