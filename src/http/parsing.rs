//! Parses the heads of requests and responses with `httparse`, within size limits.

use thiserror::Error;

use super::call_error::CallError;

/// Maximum size of the head of a request or response.
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a request or response.
pub(super) const MAX_HEADERS: usize = 48;
/// Initial capacity of read buffers. A typical request or response fits, and so takes one read.
pub(super) const READ_BUFFER_BYTES: usize = 4 * 1024;

/// The parts of a request head that the server uses.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RequestHead {
    pub(super) method: String,
    pub(super) path: String,
    /// Size of the body.
    pub(super) body_bytes: usize,
    /// Whether the connection is to be closed after the response.
    pub(super) close: bool,
    /// Size of the head, including the empty line at its end.
    pub(super) head_bytes: usize,
}

/// Why the head of a request or response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum HeadError {
    /// The head is not valid HTTP, or has an invalid or contradictory `Content-Length`.
    #[error("malformed message head")]
    Malformed,
    /// The head exceeds [`MAX_HEAD_BYTES`] or [`MAX_HEADERS`].
    #[error("message head too large")]
    TooLarge,
    /// The body exceeds the limit of the server.
    #[error("body too large")]
    BodyTooLarge,
    /// The body is sent with `Transfer-Encoding` instead of `Content-Length`.
    #[error("Content-Length is required")]
    LengthRequired,
}

impl HeadError {
    /// Returns the status code of the response to the rejected request.
    pub(super) fn status(self) -> u16 {
        match self {
            HeadError::Malformed => 400,
            HeadError::TooLarge => 431,
            HeadError::BodyTooLarge => 413,
            HeadError::LengthRequired => 411,
        }
    }
}

/// Parses the head of a request. Returns `None` if `buf` does not contain the whole head yet.
pub(super) fn parse_request(
    buf: &[u8],
    max_body_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_bytes = match request.parse(buf) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) if buf.len() >= MAX_HEAD_BYTES => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let fields = parse_header_fields(request.headers)?;
    if fields.chunked {
        return Err(HeadError::LengthRequired);
    }
    let body_bytes = fields.content_length.unwrap_or(0);
    if body_bytes > max_body_bytes {
        return Err(HeadError::BodyTooLarge);
    }
    Ok(Some(RequestHead {
        method: request.method.unwrap_or_default().to_string(),
        path: request.path.unwrap_or_default().to_string(),
        body_bytes,
        close: fields.close || request.version == Some(0),
        head_bytes,
    }))
}

/// The headers of a request or response that are used.
#[derive(Debug, Default)]
pub(super) struct HeaderFields {
    /// Value of `Content-Length`, if the header is present.
    pub(super) content_length: Option<usize>,
    /// Whether `Connection` asks to close the connection after this message.
    pub(super) close: bool,
    /// Whether `Transfer-Encoding` is present, so that the size of the body is not known in advance.
    pub(super) chunked: bool,
    /// Value of `Retry-After` in seconds, if it is present and a number.
    pub(super) retry_after_s: Option<u32>,
}

/// Extracts the headers that are used. Contradictory `Content-Length` headers are rejected.
fn parse_header_fields(headers: &[httparse::Header<'_>]) -> Result<HeaderFields, HeadError> {
    let mut fields = HeaderFields::default();
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            if !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HeadError::Malformed);
            }
            let length = value.parse().map_err(|_| HeadError::Malformed)?;
            if fields.content_length.is_some_and(|earlier| earlier != length) {
                return Err(HeadError::Malformed);
            }
            fields.content_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("connection") {
            fields.close |= value.to_ascii_lowercase().contains("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            fields.chunked = true;
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            fields.retry_after_s = value.parse().ok();
        }
    }
    Ok(fields)
}

/// The parts of a response head that the client uses.
#[derive(Debug)]
pub(super) struct ResponseHead {
    pub(super) status: u16,
    pub(super) fields: HeaderFields,
    /// Size of the head, including the empty line at its end.
    pub(super) head_bytes: usize,
}

/// Parses the head of a response. Returns `None` if `buf` does not contain the whole head yet.
pub(super) fn parse_response(buf: &[u8]) -> Result<Option<ResponseHead>, CallError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buf) {
        Ok(httparse::Status::Complete(head_bytes)) => {
            let status = response.code.ok_or(CallError::Malformed)?;
            let fields = parse_header_fields(response.headers).map_err(|_| CallError::Malformed)?;
            if fields.chunked {
                return Err(CallError::Malformed);
            }
            Ok(Some(ResponseHead { status, fields, head_bytes }))
        }
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => Ok(None),
        _ => Err(CallError::Malformed),
    }
}
