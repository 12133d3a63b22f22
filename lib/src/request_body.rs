//! Bodies of requests and answers.

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use thiserror::Error;

/// Largest request body that is kept for a retry, in bytes.
pub const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Failure in the middle of a body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The other side failed.
    #[error("body was cut off: {0}")]
    Interrupted(#[from] hyper::Error),
    /// The other side sent nothing for too long.
    #[error("body went silent")]
    IdleTimeout,
}

/// Body of an answer.
pub type ResponseBody = BoxBody<Bytes, BodyError>;
/// Body of a request to a backend server.
pub type OutgoingBody = BoxBody<Bytes, BodyError>;

/// Body of a request: kept whole when it is small, else streamed once.
pub enum RequestBody {
    /// Whole body, which can be sent again.
    Buffered(Bytes),
    /// Body that is still arriving.
    Streamed(Option<Incoming>),
}

impl RequestBody {
    /// Reads a body that declares a small length, and leaves any other to be streamed.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller breaks off.
    pub async fn read(body: Incoming) -> Result<Self, BodyError> {
        let is_small = body.size_hint().upper().is_some_and(|upper| upper <= MAX_BUFFERED_BYTES);
        if !is_small {
            return Ok(RequestBody::Streamed(Some(body)));
        }
        Ok(RequestBody::Buffered(body.collect().await?.to_bytes()))
    }

    /// Returns the bytes of a kept body.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes),
            RequestBody::Streamed(_) => None,
        }
    }

    /// Tells whether the body can be sent now.
    pub fn is_available(&self) -> bool {
        !matches!(self, RequestBody::Streamed(None))
    }

    /// Returns the body for one attempt; a streamed one is there only once.
    pub fn take(&mut self) -> Option<OutgoingBody> {
        match self {
            RequestBody::Buffered(bytes) => Some(full(bytes.clone())),
            RequestBody::Streamed(body) => {
                Some(body.take()?.map_err(BodyError::Interrupted).boxed())
            }
        }
    }
}

/// Returns a body that is there as a whole.
pub fn full(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}
