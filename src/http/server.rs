//! The server: one task a connection, which reads a request, has it answered, and reads the next.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::limits::{ConnectionGuard, OpenConnections, ServerLimits};
use super::parsing::{HeadError, READ_CAPACITY, RequestHead, parse_request};
use super::{Request, Response};

/// Wait after a connection could not be accepted, which is for want of sockets: others have to end first.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A buffer that grew larger than this is given back once it is empty, as a controller has little memory.
const KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// Serves connections until the process ends. Connections are counted by kind, so that a
/// flood of users' connections, or of ones that say nothing, leaves room for workers.
pub async fn serve<H, F>(listener: TcpListener, limits: ServerLimits, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(OpenConnections::default());
    let limits = Rc::new(limits);
    let mut number = 0u64;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if !open.has_room(&limits) {
            continue;
        }
        number += 1;
        let guard = ConnectionGuard::new(open.clone());
        let (handler, limits) = (handler.clone(), limits.clone());
        tokio::task::spawn_local(async move {
            let connection = Connection { stream, number, guard, buf: Vec::new() };
            // An error ends this connection alone, and the client sees it end.
            let _ = connection.serve(&limits, &*handler).await;
        });
    }
}

/// An accepted connection.
struct Connection {
    stream: TcpStream,
    number: u64,
    guard: ConnectionGuard,
    /// Bytes that were read and not used yet.
    buf: Vec<u8>,
}

/// What came instead of a request.
enum ReadError {
    /// The client ended the connection, or sent nothing for too long.
    Closed,
    /// The bytes of a request took too long.
    Timeout,
    /// The head is not acceptable.
    Head(HeadError),
}

impl Connection {
    async fn serve<H, F>(mut self, limits: &ServerLimits, handler: &H) -> std::io::Result<()>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        // A connection is as good without it: some systems refuse options on a connection whose
        // other side has not sent anything yet.
        let _ = self.stream.set_nodelay(true);
        self.buf = Vec::with_capacity(READ_CAPACITY);
        loop {
            let head = match self.next_head(limits).await {
                Ok(head) => head,
                Err(ReadError::Closed) => return Ok(()),
                Err(ReadError::Timeout) => return self.refuse(Response::empty(408)).await,
                Err(ReadError::Head(error)) => {
                    return self.refuse(Response::empty(error.status())).await;
                }
            };
            let body = self.take_body(&head);
            if self.guard.change_kind((limits.kind)(&head.path), limits).is_err() {
                return self.refuse(Response::later(1)).await;
            }
            let RequestHead { method, path, close, .. } = head;
            let response = handler(Request { method, path, body, connection: self.number }).await;
            let close = close || response.close;
            timeout(limits.request, write_response(&mut self.stream, &response, close))
                .await
                .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
            if close {
                return Ok(());
            }
        }
    }

    /// Waits for a request, and reads it whole into the buffer.
    async fn next_head(&mut self, limits: &ServerLimits) -> Result<RequestHead, ReadError> {
        if self.buf.is_empty() {
            let idle = self.guard.idle_limit(limits);
            match timeout(idle, self.stream.read_buf(&mut self.buf)).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return Err(ReadError::Closed),
            }
        }
        timeout(limits.request, self.read_request(limits.body))
            .await
            .unwrap_or(Err(ReadError::Timeout))
    }

    /// Reads until the buffer starts with a whole request.
    async fn read_request(&mut self, body_limit: usize) -> Result<RequestHead, ReadError> {
        loop {
            if let Some(head) = parse_request(&self.buf, body_limit).map_err(ReadError::Head)? {
                while self.buf.len() < head.head_bytes + head.body_bytes {
                    self.read_more().await?;
                }
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        match self.stream.read_buf(&mut self.buf).await {
            Ok(read) if read > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Takes the request with that head from the buffer and gives its body.
    fn take_body(&mut self, head: &RequestHead) -> Vec<u8> {
        let end = head.head_bytes + head.body_bytes;
        let body = self.buf[head.head_bytes..end].to_vec();
        self.buf.drain(..end);
        if self.buf.capacity() > KEPT_BUFFER_BYTES && self.buf.is_empty() {
            self.buf = Vec::with_capacity(READ_CAPACITY);
        }
        body
    }

    /// Answers with a refusal that ends the connection.
    async fn refuse(mut self, response: Response) -> std::io::Result<()> {
        write_response(&mut self.stream, &response, true).await
    }
}

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

async fn write_response(
    stream: &mut TcpStream,
    response: &Response,
    close: bool,
) -> std::io::Result<()> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    let reason = reason_phrase(response.status);
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", response.status).as_bytes());
    if !response.body.is_empty() {
        out.extend_from_slice(b"Content-Type: application/cbor\r\n");
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n", response.body.len()).as_bytes());
    if let Some(seconds) = response.retry_after {
        out.extend_from_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
    stream.write_all(&out).await
}
