//! Bodies of requests and answers.

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use thiserror::Error;

/// Largest request body that is kept for a retry, in bytes.
pub const MAX_KEPT_BYTES: u64 = 64 * 1024;

/// Failure in the middle of a body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The other side failed.
    #[error("body was cut off: {0}")]
    Cut(#[from] hyper::Error),
    /// The other side sent nothing for too long.
    #[error("body went silent")]
    Silent,
}

/// Body of an answer.
pub type Body = BoxBody<Bytes, BodyError>;
/// Body of a request to a backend server.
pub type OutBody = BoxBody<Bytes, BodyError>;

/// Body of a request: kept whole when it is small, else streamed once.
pub enum InBody {
    /// Whole body, which can be sent again.
    Kept(Bytes),
    /// Body that is still arriving.
    Streamed(Option<Incoming>),
}

impl InBody {
    /// Reads a body that declares a small length, and leaves any other to be streamed.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller breaks off.
    pub async fn read(body: Incoming) -> Result<Self, BodyError> {
        let is_small = body.size_hint().upper().is_some_and(|upper| upper <= MAX_KEPT_BYTES);
        if !is_small {
            return Ok(InBody::Streamed(Some(body)));
        }
        Ok(InBody::Kept(body.collect().await?.to_bytes()))
    }

    /// Returns the bytes of a kept body.
    pub fn kept(&self) -> Option<&Bytes> {
        match self {
            InBody::Kept(bytes) => Some(bytes),
            InBody::Streamed(_) => None,
        }
    }

    /// Tells whether the body can be sent now.
    pub fn is_available(&self) -> bool {
        !matches!(self, InBody::Streamed(None))
    }

    /// Returns the body for one attempt; a streamed one is there only once.
    pub fn take(&mut self) -> Option<OutBody> {
        match self {
            InBody::Kept(bytes) => Some(full(bytes.clone())),
            InBody::Streamed(body) => Some(body.take()?.map_err(BodyError::Cut).boxed()),
        }
    }
}

/// Returns a body that is there as a whole.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}
