//! Heads of requests and answers: parsing with `httparse`, bounded in size.

use thiserror::Error;

use super::call_error::CallError;

/// Most bytes of a head, of a request or an answer.
pub(super) const HEAD_LIMIT: usize = 8 * 1024;
/// Most headers of a head.
pub(super) const MAX_HEADERS: usize = 48;
/// Bytes of the first read: a whole usual request or answer, so that it takes one read.
pub(super) const READ_CAPACITY: usize = 4 * 1024;

/// What the head of a request says, as far as it matters here.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RequestHead {
    pub(super) method: String,
    pub(super) path: String,
    /// Bytes of the body.
    pub(super) body_bytes: usize,
    /// Whether the client ends the connection after the answer.
    pub(super) close: bool,
    /// Bytes of the head itself.
    pub(super) head_bytes: usize,
}

/// Why a request is refused by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum HeadError {
    /// Not HTTP, or contradicting lengths.
    #[error("malformed head")]
    Malformed,
    /// Too many bytes or headers.
    #[error("head too large")]
    TooLarge,
    /// The body is longer than the server takes.
    #[error("body too large")]
    BodyTooLarge,
    /// The body has no length given in advance.
    #[error("a length is required")]
    LengthRequired,
}

impl HeadError {
    /// The status of the refusal.
    pub(super) fn status(self) -> u16 {
        match self {
            HeadError::Malformed => 400,
            HeadError::TooLarge => 431,
            HeadError::BodyTooLarge => 413,
            HeadError::LengthRequired => 411,
        }
    }
}

/// Parses a request head; `None` when more bytes are needed.
pub(super) fn parse_request(
    buf: &[u8],
    body_limit: usize,
) -> Result<Option<RequestHead>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_bytes = match request.parse(buf) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) if buf.len() >= HEAD_LIMIT => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let fields = read_fields(request.headers)?;
    if fields.chunked {
        return Err(HeadError::LengthRequired);
    }
    let body_bytes = fields.length.unwrap_or(0);
    if body_bytes > body_limit {
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

/// The headers that matter here, of a request or an answer.
#[derive(Debug, Default)]
pub(super) struct HeaderFields {
    /// Bytes of the body, if given.
    pub(super) length: Option<usize>,
    /// Whether the connection ends with this message.
    pub(super) close: bool,
    /// Whether the body comes in pieces of lengths not given in advance.
    pub(super) chunked: bool,
    /// Seconds after which to come back.
    pub(super) retry_after: Option<u32>,
}

/// Reads the headers that matter. Lengths that contradict each other are refused.
fn read_fields(headers: &[httparse::Header<'_>]) -> Result<HeaderFields, HeadError> {
    let mut fields = HeaderFields::default();
    for header in headers {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            if !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HeadError::Malformed);
            }
            let length = text.parse().map_err(|_| HeadError::Malformed)?;
            if fields.length.is_some_and(|earlier| earlier != length) {
                return Err(HeadError::Malformed);
            }
            fields.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("connection") {
            fields.close |= text.to_ascii_lowercase().contains("close");
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            fields.chunked = true;
        } else if header.name.eq_ignore_ascii_case("retry-after") {
            fields.retry_after = text.parse().ok();
        }
    }
    Ok(fields)
}

/// What the head of an answer says, as far as it matters here.
#[derive(Debug)]
pub(super) struct AnswerHead {
    pub(super) status: u16,
    pub(super) fields: HeaderFields,
    /// Bytes of the head itself.
    pub(super) head_bytes: usize,
}

/// Parses an answer's head; `None` when more bytes are needed.
pub(super) fn parse_answer(buf: &[u8]) -> Result<Option<AnswerHead>, CallError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buf) {
        Ok(httparse::Status::Complete(head_bytes)) => {
            let status = response.code.ok_or(CallError::Malformed)?;
            let fields = read_fields(response.headers).map_err(|_| CallError::Malformed)?;
            if fields.chunked {
                return Err(CallError::Malformed);
            }
            Ok(Some(AnswerHead { status, fields, head_bytes }))
        }
        Ok(httparse::Status::Partial) if buf.len() < HEAD_LIMIT => Ok(None),
        _ => Err(CallError::Malformed),
    }
}
