//! The client of one address, with a small pool of open connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::call_error::CallError;
use super::parsing::{AnswerHead, READ_CAPACITY, parse_answer};

/// A connection that was idle for longer is not used again, as the other side may be about to close it.
const MAX_IDLE: Duration = Duration::from_secs(20);
/// Most idle connections kept to one address.
const MAX_POOLED: usize = 8;

/// A client of one address, with a small pool of open connections.
pub struct Client {
    addr: SocketAddr,
    idle: RefCell<Vec<(TcpStream, Instant)>>,
    answer_limit: usize,
}

/// What came back: status, body, and `Retry-After`.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
}

impl Client {
    /// A client that accepts answers of up to `answer_limit` bytes.
    pub fn new(addr: SocketAddr, answer_limit: usize) -> Self {
        Client { addr, idle: RefCell::new(Vec::new()), answer_limit }
    }

    /// Sends a request and waits for its answer, all within `limit`.
    ///
    /// A pooled connection that the other side had closed is replaced by a new one, once; that is no retry of
    /// a request that may have been carried out.
    ///
    /// # Errors
    /// Only [`CallError::Connect`] says that the request was certainly not carried out.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let deadline = Instant::now() + limit;
        let request = self.request_bytes(method, path, body);
        if let Some(stream) = self.pooled() {
            match self.exchange_until(deadline, stream, &request).await {
                Err(CallError::Connect) => {}
                result => return result,
            }
        }
        let stream = timeout(remaining(deadline), TcpStream::connect(self.addr))
            .await
            .map_err(|_| CallError::Connect)?
            .map_err(|_| CallError::Connect)?;
        // A connection is as good without it.
        let _ = stream.set_nodelay(true);
        match self.exchange_until(deadline, stream, &request).await {
            Err(CallError::Connect) => Err(CallError::Broken),
            result => result,
        }
    }

    /// Takes an idle connection from the pool.
    fn pooled(&self) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(_, since)| since.elapsed() < MAX_IDLE);
        idle.pop().map(|(stream, _)| stream)
    }

    /// The bytes of a request.
    fn request_bytes(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
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

    async fn exchange_until(
        &self,
        deadline: Instant,
        stream: TcpStream,
        request: &[u8],
    ) -> Result<Answer, CallError> {
        timeout(remaining(deadline), self.exchange(stream, request))
            .await
            .unwrap_or(Err(CallError::Timeout))
    }

    /// One exchange on a connection. `Connect` here means that the connection was closed
    /// before any byte of an answer came.
    async fn exchange(&self, mut stream: TcpStream, request: &[u8]) -> Result<Answer, CallError> {
        stream.write_all(request).await.map_err(|_| CallError::Connect)?;
        let mut buf = Vec::with_capacity(READ_CAPACITY);
        loop {
            if let Some(head) = parse_answer(&buf)? {
                return self.read_body(stream, buf, head).await;
            }
            match stream.read_buf(&mut buf).await {
                Ok(read) if read > 0 => {}
                _ if buf.is_empty() => return Err(CallError::Connect),
                _ => return Err(CallError::Broken),
            }
        }
    }

    /// Reads the rest of an answer whose head is in `buf`, and pools the connection if it may be used again.
    async fn read_body(
        &self,
        mut stream: TcpStream,
        mut buf: Vec<u8>,
        head: AnswerHead,
    ) -> Result<Answer, CallError> {
        let AnswerHead { status, fields, head_bytes } = head;
        let body_bytes = fields.length.unwrap_or(0);
        if body_bytes > self.answer_limit {
            return Err(CallError::Malformed);
        }
        let end = head_bytes + body_bytes;
        while buf.len() < end {
            if stream.read_buf(&mut buf).await.map_err(|_| CallError::Broken)? == 0 {
                return Err(CallError::Broken);
            }
        }
        if !fields.close && buf.len() == end && self.idle.borrow().len() < MAX_POOLED {
            self.idle.borrow_mut().push((stream, Instant::now()));
        }
        buf.truncate(end);
        buf.drain(..head_bytes);
        Ok(Answer { status, body: buf, retry_after: fields.retry_after })
    }
}

/// Time until the deadline; none once it has passed.
fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
