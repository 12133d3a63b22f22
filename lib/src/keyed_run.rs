//! Run of a request with an idempotency key at the owner of the key: claims the key, marks its
//! progress in the ledger, and stores the response for replay.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll};

use bytes::{Bytes, BytesMut};
use futures::future::join_all;
use http::request::Parts;
use http::response::Parts as ResponseParts;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use siphasher::sip::SipHasher13;
use tokio::time::{timeout_at, Instant};

use crate::admission::MIN_RETRY_AFTER;
use crate::forward::header_text;
use crate::ids::ServiceId;
use crate::kernel::Kernel;
use crate::key_claim::{
    key_owners, Acknowledgement, KeyMessage, OwnedKey, MAX_CLAIM_AGE, MAX_TRANSMISSIONS,
    RETRANSMIT_INTERVAL,
};
use crate::key_ledger::{BeginOutcome, KeyDigest, StoredResponse, MAX_RESPONSE_BYTES};
use crate::problem::{Outcome, Problem};
use crate::request_body::{full, BodyError, ResponseBody};
use crate::request_route::RequestContext;

/// Request header with the number of the attempt, where 1 is the first. A higher number states that
/// an earlier request with the key may have run.
pub const IDEMPOTENCY_ATTEMPT: &str = "idempotency-attempt";
/// Response header that marks the replayed response to an earlier request with the same key.
pub const REPLAYED: &str = "idempotency-replayed";

/// Result of [`accept`].
pub enum Accepted {
    /// The request may run.
    Run(KeyedRun),
    /// The stored response to an earlier request with the same key.
    Replay(Response<ResponseBody>),
}

/// A run that updates the ledger however it ends. Dropped before it is finished, it releases the
/// key, or marks the outcome as unknown if the request was dispatched.
pub struct KeyedRun {
    kernel: Arc<Kernel>,
    service: ServiceId,
    digest: KeyDigest,
    run_id: u64,
    is_retry: bool,
    claimed: Option<Instant>,
    witnesses: Vec<SocketAddr>,
    is_dispatched: bool,
    is_finished: bool,
}

/// Accepts a request with a key at the key's owner.
///
/// # Errors
///
/// Returns the outcome of an earlier request with the key, or a refusal when the key was used for a
/// different request or the ledger is full.
pub fn accept(
    kernel: &Arc<Kernel>,
    cx: &RequestContext,
    digest: KeyDigest,
    parts: &Parts,
    body: Option<&Bytes>,
) -> Result<Accepted, Problem> {
    let service = &cx.service.service;
    let fingerprint = fingerprint(parts, body);
    let begin = kernel.keys.ledger().lock().begin(Instant::now(), service, digest, fingerprint);
    let run_id = match begin {
        BeginOutcome::Run(run_id) => run_id,
        BeginOutcome::Stored(response) => return Ok(Accepted::Replay(replayed(&response))),
        other => return Err(refusal(&other)),
    };
    Ok(Accepted::Run(KeyedRun {
        kernel: Arc::clone(kernel),
        service: service.clone(),
        digest,
        run_id,
        is_retry: is_retry(parts),
        claimed: None,
        witnesses: Vec::new(),
        is_dispatched: false,
        is_finished: false,
    }))
}

impl KeyedRun {
    /// Claims the key at its witnesses, right before the request is dispatched.
    ///
    /// # Errors
    ///
    /// Returns a refusal of a request that has not run, when this instance no longer owns the key
    /// or no witness acknowledges the claim; and an unknown outcome when an earlier request with
    /// the key may have run.
    pub async fn claim(&mut self, cx: &RequestContext) -> Result<(), Problem> {
        let started = Instant::now();
        let plan = self.kernel.plan();
        let owners = plan.service(&self.service).and_then(|it| key_owners(it, &self.digest));
        let witnesses = owners.and_then(|owners| {
            let key = OwnedKey { digest: self.digest, owners };
            self.kernel.keys.witnesses(&plan, &key, started)
        });
        let moved = || Problem::retry_later("the key has another owner now", MIN_RETRY_AFTER);
        let witnesses = witnesses.ok_or_else(moved)?;
        let mut acks = Vec::new();
        if witnesses.is_broadcast {
            let sent = witnesses.addresses.iter().map(|it| self.send_claim(*it, cx.deadline));
            acks = join_all(sent).await.into_iter().flatten().collect();
        } else {
            for address in &witnesses.addresses {
                acks.extend(self.send_claim(*address, cx.deadline).await);
                if !acks.is_empty() {
                    break;
                }
            }
        }
        if !witnesses.addresses.is_empty() && acks.is_empty() {
            return Err(Problem::retry_later("no witness of the key answers", MIN_RETRY_AFTER));
        }
        self.witnesses = witnesses.addresses;
        self.check_acknowledgements(&acks, started)
    }

    /// Refuses the request when an earlier one with the key may have run: a witness has a record of
    /// the key, or the request is a retry and neither this instance nor a witness that
    /// acknowledged the claim has complete records of the retention period.
    fn check_acknowledgements(
        &mut self,
        acks: &[Acknowledgement],
        started: Instant,
    ) -> Result<(), Problem> {
        let has_complete_records = self.kernel.keys.has_complete_records(started)
            || acks.iter().any(|ack| ack.has_complete_records);
        let may_have_run =
            acks.iter().any(|ack| ack.is_known) || (self.is_retry && !has_complete_records);
        if may_have_run {
            self.finish_with_unknown_outcome();
            return Err(refusal(&BeginOutcome::Unknown));
        }
        self.claimed = Some(started);
        Ok(())
    }

    /// Marks the request as dispatched, right before it is sent to a backend server.
    ///
    /// # Errors
    ///
    /// Returns a refusal of a request that has not run, when the claim is older than
    /// [`MAX_CLAIM_AGE`], another instance has claimed the key, or this instance may not run
    /// requests with keys.
    pub fn mark_dispatched(&mut self) -> Result<(), Problem> {
        let now = Instant::now();
        let is_fresh = self.claimed.is_some_and(|at| now < at + MAX_CLAIM_AGE);
        let is_fresh = is_fresh && self.kernel.keys.may_run(now);
        let is_held =
            is_fresh && self.kernel.keys.ledger().lock().mark_dispatched(&self.digest, self.run_id);
        if !is_held {
            self.release_key();
            return Err(Problem::retry_later("the claim of the key was lost", MIN_RETRY_AFTER));
        }
        self.is_dispatched = true;
        Ok(())
    }

    /// Finishes a run that ended without a response: releases the key if the request certainly has
    /// not run, and marks its outcome as unknown otherwise.
    pub fn finish_refused(&mut self, problem: &Problem) {
        match problem.outcome {
            Outcome::NotRun => self.release_key(),
            _ => self.finish_with_unknown_outcome(),
        }
    }

    /// Finishes a run that was answered. A response of at most [`MAX_RESPONSE_BYTES`] is stored for
    /// replay as its body passes through.
    pub fn finish_answered(mut self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        let status = response.status();
        self.kernel.keys.ledger().lock().mark_answered(&self.digest, self.run_id, status);
        self.is_finished = true;
        let (head, body) = response.into_parts();
        let is_small = http_body::Body::size_hint(&body).lower() <= MAX_RESPONSE_BYTES as u64;
        if !is_small {
            return Response::from_parts(head, body);
        }
        let kernel = Arc::clone(&self.kernel);
        let record = LedgerRecord { kernel, digest: self.digest, run_id: self.run_id };
        let stored =
            StoringBody { body, head: head.clone(), record: Some(record), buf: BytesMut::new() };
        Response::from_parts(head, stored.boxed())
    }

    /// Sends the claim to one witness, with retransmissions, and returns its acknowledgement.
    async fn send_claim(&self, to: SocketAddr, deadline: Instant) -> Option<Acknowledgement> {
        let (nonce, mut rx) = self.kernel.keys.open_claim();
        for _ in 0..MAX_TRANSMISSIONS {
            let (service, digest) = (self.service.clone(), self.digest);
            self.kernel.send_key_message(to, KeyMessage::Claim { nonce, service, digest });
            let until = deadline.min(Instant::now() + RETRANSMIT_INTERVAL);
            if let Ok(Ok(ack)) = timeout_at(until, &mut rx).await {
                return Some(ack);
            }
        }
        self.kernel.keys.close_claim(nonce);
        None
    }

    fn release_key(&mut self) {
        self.is_finished = true;
        self.kernel.keys.ledger().lock().release(&self.digest, self.run_id);
        for to in self.witnesses.drain(..) {
            self.kernel.send_key_message(to, KeyMessage::Release { digest: self.digest });
        }
    }

    fn finish_with_unknown_outcome(&mut self) {
        self.is_finished = true;
        self.kernel.keys.ledger().lock().mark_unknown(&self.digest, self.run_id);
    }
}

impl Drop for KeyedRun {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        if self.is_dispatched {
            self.finish_with_unknown_outcome();
        } else {
            self.release_key();
        }
    }
}

fn is_retry(parts: &Parts) -> bool {
    header_text(&parts.headers, IDEMPOTENCY_ATTEMPT).parse().is_ok_and(|attempt: u32| attempt > 1)
}

/// Returns a hash of the method, path and body, by which a key that is reused for a different
/// request is detected.
fn fingerprint(parts: &Parts, body: Option<&Bytes>) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(parts.method.as_str().as_bytes());
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    hasher.write(path.as_bytes());
    hasher.write_u8(0);
    hasher.write(body.map_or(&[], |body| body));
    hasher.finish()
}

fn replayed(stored: &StoredResponse) -> Response<ResponseBody> {
    let mut head = stored.head.clone();
    head.headers.insert(REPLAYED, HeaderValue::from_static("true"));
    Response::from_parts(head, full(stored.body.clone()))
}

fn refusal(begin: &BeginOutcome) -> Problem {
    let conflict = StatusCode::CONFLICT;
    match begin {
        BeginOutcome::Running => {
            let detail = "the first request of the key is still running";
            Problem::new(conflict, Outcome::Running, detail).retry_after(MIN_RETRY_AFTER)
        }
        BeginOutcome::Answered(status) => {
            let detail = format!("the first request of the key was answered with {status}");
            Problem::new(conflict, Outcome::Answered, detail)
        }
        BeginOutcome::Mismatch => {
            let detail = "the key was used for another request";
            Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, detail)
        }
        BeginOutcome::Full => Problem::retry_later("no room for another key", MIN_RETRY_AFTER),
        BeginOutcome::Run(_) | BeginOutcome::Stored(_) | BeginOutcome::Unknown => {
            Problem::unknown(conflict, "an earlier request of the key may have run")
        }
    }
}

/// Ledger record that a response is stored in.
struct LedgerRecord {
    kernel: Arc<Kernel>,
    digest: KeyDigest,
    run_id: u64,
}

/// ResponseBody of a response that copies what passes through it and stores the response for replay once
/// the body is complete, unless it is larger than [`MAX_RESPONSE_BYTES`].
struct StoringBody {
    body: ResponseBody,
    head: ResponseParts,
    /// `None` once the response is stored or cannot be stored any more.
    record: Option<LedgerRecord>,
    buf: BytesMut,
}

impl StoringBody {
    fn copy_frame(&mut self, frame: Option<&Frame<Bytes>>) {
        let Some(frame) = frame else { return self.store() };
        match frame.data_ref() {
            Some(data) if self.buf.len() + data.len() <= MAX_RESPONSE_BYTES => {
                self.buf.extend_from_slice(data);
            }
            _ => self.record = None,
        }
        if http_body::Body::is_end_stream(&self.body) {
            self.store();
        }
    }

    fn store(&mut self) {
        let Some(record) = self.record.take() else { return };
        let body = std::mem::take(&mut self.buf).freeze();
        let response = StoredResponse { head: self.head.clone(), body };
        record.kernel.keys.ledger().lock().store(&record.digest, record.run_id, response);
    }
}

impl http_body::Body for StoringBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => self.copy_frame(Some(frame)),
            Poll::Ready(Some(Err(_))) => self.record = None,
            Poll::Ready(None) => self.copy_frame(None),
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&self.body)
    }

    fn size_hint(&self) -> SizeHint {
        http_body::Body::size_hint(&self.body)
    }
}
