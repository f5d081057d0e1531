//! The HTTP server. Each connection is served by one task, which processes its requests one after the other.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::limits::{ConnectionGuard, OpenConnections, ServerLimits};
use super::parsing::{HeadError, READ_BUFFER_BYTES, RequestHead, parse_request};
use super::{Request, Response};

/// Delay after a failed `accept`. It fails for lack of sockets, so other connections have to be closed first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Capacity above which the read buffer of a connection is replaced by a small one once it is empty, as a controller has
/// little memory.
const MAX_KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// Serves connections until the process ends. Connections are counted by kind of client, so that a flood of user
/// connections, or of connections without any request, leaves room for workers.
pub async fn serve<H, F>(listener: TcpListener, limits: ServerLimits, handler: H)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(OpenConnections::default());
    let limits = Rc::new(limits);
    let mut connection_id = 0u64;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if !open.has_room(&limits) {
            continue;
        }
        connection_id += 1;
        let guard = ConnectionGuard::new(open.clone());
        let (handler, limits) = (handler.clone(), limits.clone());
        tokio::task::spawn_local(async move {
            let connection = Connection { stream, connection_id, guard, buf: Vec::new() };
            // An I/O error closes only this connection, which the client notices.
            let _ = connection.serve(&limits, &*handler).await;
        });
    }
}

/// An accepted connection.
struct Connection {
    stream: TcpStream,
    connection_id: u64,
    guard: ConnectionGuard,
    /// Bytes that were received but not consumed.
    buf: Vec<u8>,
}

/// Why no request was received.
enum ReadError {
    /// The client closed the connection, or sent nothing within the idle timeout.
    Closed,
    /// The request was not complete within the request timeout.
    Timeout,
    /// The head was rejected.
    Head(HeadError),
}

impl Connection {
    /// Serves requests until the connection is closed.
    async fn serve<H, F>(mut self, limits: &ServerLimits, handler: &H) -> std::io::Result<()>
    where
        H: Fn(Request) -> F,
        F: Future<Output = Response>,
    {
        // Best effort: the connection works without the option, and some systems refuse to set options on a
        // connection on which the client has not sent anything yet.
        let _ = self.stream.set_nodelay(true);
        self.buf = Vec::with_capacity(READ_BUFFER_BYTES);
        loop {
            let head = match self.receive_request(limits).await {
                Ok(head) => head,
                Err(ReadError::Closed) => return Ok(()),
                Err(ReadError::Timeout) => return self.reject(Response::empty(408)).await,
                Err(ReadError::Head(error)) => {
                    return self.reject(Response::empty(error.status())).await;
                }
            };
            let body = self.take_body(&head);
            if self.guard.change_kind((limits.classify)(&head.path), limits).is_err() {
                return self.reject(Response::unavailable(1)).await;
            }
            let RequestHead { method, path, close, .. } = head;
            let response =
                handler(Request { method, path, body, connection: self.connection_id }).await;
            let close = close || response.close;
            timeout(limits.request_timeout, write_response(&mut self.stream, &response, close))
                .await
                .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))?;
            if close {
                return Ok(());
            }
        }
    }

    /// Waits for a request and reads all of it into the buffer.
    async fn receive_request(&mut self, limits: &ServerLimits) -> Result<RequestHead, ReadError> {
        if self.buf.is_empty() {
            let idle = self.guard.idle_timeout(limits);
            match timeout(idle, self.stream.read_buf(&mut self.buf)).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return Err(ReadError::Closed),
            }
        }
        timeout(limits.request_timeout, self.read_request(limits.max_body_bytes))
            .await
            .unwrap_or(Err(ReadError::Timeout))
    }

    /// Reads until the buffer starts with a complete request.
    async fn read_request(&mut self, max_body_bytes: usize) -> Result<RequestHead, ReadError> {
        loop {
            if let Some(head) = parse_request(&self.buf, max_body_bytes).map_err(ReadError::Head)? {
                while self.buf.len() < head.head_bytes + head.body_bytes {
                    self.read_more().await?;
                }
                return Ok(head);
            }
            self.read_more().await?;
        }
    }

    /// Appends received bytes to the buffer.
    async fn read_more(&mut self) -> Result<(), ReadError> {
        match self.stream.read_buf(&mut self.buf).await {
            Ok(read) if read > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Removes the request with this head from the buffer and returns its body.
    fn take_body(&mut self, head: &RequestHead) -> Vec<u8> {
        let end = head.head_bytes + head.body_bytes;
        let body = self.buf[head.head_bytes..end].to_vec();
        self.buf.drain(..end);
        if self.buf.capacity() > MAX_KEPT_BUFFER_BYTES && self.buf.is_empty() {
            self.buf = Vec::with_capacity(READ_BUFFER_BYTES);
        }
        body
    }

    /// Sends an error response and closes the connection.
    async fn reject(mut self, response: Response) -> std::io::Result<()> {
        write_response(&mut self.stream, &response, true).await
    }
}

/// Returns the reason phrase of a status code.
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
    if let Some(seconds) = response.retry_after_s {
        out.extend_from_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&response.body);
    stream.write_all(&out).await
}
