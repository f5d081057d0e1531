//! The error of a failed call, returned by the client and by the parser of responses.

use thiserror::Error;

/// Why a call returned no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was established, so the request cannot have been executed.
    #[error("connection failed")]
    Connect,
    /// The connection was lost before the response was complete. The request may have been executed.
    #[error("connection lost before the response was complete")]
    ConnectionLost,
    /// No response was received within the time limit. The request may have been executed or may be executed later.
    #[error("timed out waiting for the response")]
    Timeout,
    /// The response is not valid HTTP, uses a chunked body, or exceeds a size limit.
    #[error("malformed or oversized response")]
    Malformed,
}
