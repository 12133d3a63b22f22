//! Bodies of requests and responses.

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use thiserror::Error;

/// Size up to which a request body is buffered, so that it can be sent again in a retry.
pub const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Failure while a body is transferred.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed before the end of the body.
    #[error("body was cut off: {0}")]
    Interrupted(#[from] hyper::Error),
    /// The sender of the body sent nothing within the idle timeout.
    #[error("body went silent")]
    IdleTimeout,
}

/// Body of a response to a caller.
pub type ResponseBody = BoxBody<Bytes, BodyError>;
/// Body of a request that goes to a backend server or another instance.
pub type OutgoingBody = BoxBody<Bytes, BodyError>;

/// Body of a request from a caller: buffered if it is small, else streamed, which allows no retry.
pub enum RequestBody {
    /// The complete body, which can be sent any number of times.
    Buffered(Bytes),
    /// A body that is forwarded as it arrives; `None` once an attempt has used it.
    Streamed(Option<Incoming>),
}

impl RequestBody {
    /// Buffers a body that declares a length of at most [`MAX_BUFFERED_BYTES`], and leaves any
    /// other one to be streamed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails before a small body has arrived completely.
    pub async fn read(body: Incoming) -> Result<Self, BodyError> {
        let is_small = body.size_hint().upper().is_some_and(|upper| upper <= MAX_BUFFERED_BYTES);
        if !is_small {
            return Ok(RequestBody::Streamed(Some(body)));
        }
        Ok(RequestBody::Buffered(body.collect().await?.to_bytes()))
    }

    /// Returns the bytes of a buffered body, or `None` for a streamed one.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes),
            RequestBody::Streamed(_) => None,
        }
    }

    /// Returns whether the body can be sent in another attempt.
    pub fn is_available(&self) -> bool {
        !matches!(self, RequestBody::Streamed(None))
    }

    /// Returns the body to send in one attempt, or `None` if the body was already streamed in an
    /// earlier attempt.
    pub fn take(&mut self) -> Option<OutgoingBody> {
        match self {
            RequestBody::Buffered(bytes) => Some(full(bytes.clone())),
            RequestBody::Streamed(body) => {
                Some(body.take()?.map_err(BodyError::Interrupted).boxed())
            }
        }
    }
}

/// Creates a body from bytes that are all at hand.
pub fn full(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}
