//! One run of a request with an idempotency key at the key's owner.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll};

use bytes::{Bytes, BytesMut};
use futures::future::join_all;
use http::request::Parts;
use http::response::Parts as AnswerParts;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use siphasher::sip::SipHasher13;
use tokio::time::{timeout_at, Instant};

use crate::admission::MIN_RETRY_AFTER;
use crate::forward::text;
use crate::ids::ServiceId;
use crate::kernel::Kernel;
use crate::key_claim::{key_owners, Acknowledgement, KeyMessage, OwnedKey, COPIES, FENCE, RESEND};
use crate::key_ledger::{BeginOutcome, KeyDigest, StoredAnswer, MAX_ANSWER_BYTES};
use crate::problem::{Outcome, Problem};
use crate::request_body::{full, Body, BodyError};
use crate::request_route::Context;

/// Header by which a caller states that it sends a key again without knowing that the earlier
/// request has not run; 1 is the first attempt.
pub const IDEMPOTENCY_ATTEMPT: &str = "idempotency-attempt";
/// Header of an answer that was kept from an earlier request with the same key.
pub const REPLAYED: &str = "idempotency-replayed";

/// What a request with a key does at its owner.
pub enum Accepted {
    /// It may run.
    Run(KeyedRun),
    /// It gets the answer to an earlier request.
    Answer(Response<Body>),
}

/// A run that keeps the ledger right however it ends.
pub struct KeyedRun {
    kernel: Arc<Kernel>,
    service: ServiceId,
    digest: KeyDigest,
    run: u64,
    is_repeat: bool,
    claimed: Option<Instant>,
    witnesses: Vec<SocketAddr>,
    is_dispatched: bool,
    is_settled: bool,
}

/// Accepts a request with a key at its owner.
///
/// # Errors
///
/// Returns what became of an earlier request with the key.
pub fn accept(
    kernel: &Arc<Kernel>,
    cx: &Context,
    digest: KeyDigest,
    parts: &Parts,
    body: Option<&Bytes>,
) -> Result<Accepted, Problem> {
    let service = &cx.service.service;
    let fingerprint = fingerprint(parts, body);
    let begin = kernel.keys.ledger().lock().begin(Instant::now(), service, digest, fingerprint);
    let run = match begin {
        BeginOutcome::Run(run) => run,
        BeginOutcome::Stored(answer) => return Ok(Accepted::Answer(replayed(&answer))),
        other => return Err(refusal(&other)),
    };
    Ok(Accepted::Run(KeyedRun {
        kernel: Arc::clone(kernel),
        service: service.clone(),
        digest,
        run,
        is_repeat: is_repeat(parts),
        claimed: None,
        witnesses: Vec::new(),
        is_dispatched: false,
        is_settled: false,
    }))
}

impl KeyedRun {
    /// Records the key at the next owner, right before the request runs.
    ///
    /// # Errors
    ///
    /// Returns that the request has not run, or that an earlier one may have.
    pub async fn claim(&mut self, cx: &Context) -> Result<(), Problem> {
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
        if witnesses.asks_all {
            let asked = witnesses.addresses.iter().map(|it| self.ask(*it, cx.deadline));
            acks = join_all(asked).await.into_iter().flatten().collect();
        } else {
            for address in &witnesses.addresses {
                acks.extend(self.ask(*address, cx.deadline).await);
                if !acks.is_empty() {
                    break;
                }
            }
        }
        if !witnesses.addresses.is_empty() && acks.is_empty() {
            return Err(Problem::retry_later("no witness of the key answers", MIN_RETRY_AFTER));
        }
        self.witnesses = witnesses.addresses;
        self.check(&acks, started)
    }

    fn check(&mut self, acks: &[Acknowledgement], started: Instant) -> Result<(), Problem> {
        let covers = self.kernel.keys.covers(started) || acks.iter().any(|ack| ack.covers);
        let may_have_run = acks.iter().any(|ack| ack.is_known) || (self.is_repeat && !covers);
        if may_have_run {
            self.settle_unknown();
            return Err(refusal(&BeginOutcome::Unknown));
        }
        self.claimed = Some(started);
        Ok(())
    }

    /// Notes that the request is about to be handed to a backend server.
    ///
    /// # Errors
    ///
    /// Returns that the request has not run, because the claim is too old or was lost.
    pub fn mark_dispatched(&mut self) -> Result<(), Problem> {
        let now = Instant::now();
        let is_fresh = self.claimed.is_some_and(|at| now < at + FENCE);
        let is_fresh = is_fresh && self.kernel.keys.may_run(now);
        let is_held =
            is_fresh && self.kernel.keys.ledger().lock().mark_dispatched(&self.digest, self.run);
        if !is_held {
            self.release();
            return Err(Problem::retry_later("the claim of the key was lost", MIN_RETRY_AFTER));
        }
        self.is_dispatched = true;
        Ok(())
    }

    /// Settles the key after a refusal.
    pub fn finish_refused(&mut self, problem: &Problem) {
        match problem.outcome {
            Outcome::NotRun => self.release(),
            _ => self.settle_unknown(),
        }
    }

    /// Settles the key by an answer, and keeps the answer when it is small.
    pub fn finish_answered(mut self, response: Response<Body>) -> Response<Body> {
        let status = response.status();
        self.kernel.keys.ledger().lock().settle_answered(&self.digest, self.run, status);
        self.is_settled = true;
        let (head, body) = response.into_parts();
        let is_small = http_body::Body::size_hint(&body).lower() <= MAX_ANSWER_BYTES as u64;
        if !is_small {
            return Response::from_parts(head, body);
        }
        let kernel = Arc::clone(&self.kernel);
        let key = RecordedKey { kernel, digest: self.digest, run: self.run };
        let recorded =
            RecordedBody { body, head: head.clone(), key: Some(key), buf: BytesMut::new() };
        Response::from_parts(head, recorded.boxed())
    }

    async fn ask(&self, to: SocketAddr, deadline: Instant) -> Option<Acknowledgement> {
        let (nonce, mut rx) = self.kernel.keys.open_claim();
        for _ in 0..COPIES {
            let (service, digest) = (self.service.clone(), self.digest);
            self.kernel.send_key_message(to, KeyMessage::Claim { nonce, service, digest });
            let until = deadline.min(Instant::now() + RESEND);
            if let Ok(Ok(ack)) = timeout_at(until, &mut rx).await {
                return Some(ack);
            }
        }
        self.kernel.keys.close_claim(nonce);
        None
    }

    fn release(&mut self) {
        self.is_settled = true;
        self.kernel.keys.ledger().lock().release(&self.digest, self.run);
        for to in self.witnesses.drain(..) {
            self.kernel.send_key_message(to, KeyMessage::Release { digest: self.digest });
        }
    }

    fn settle_unknown(&mut self) {
        self.is_settled = true;
        self.kernel.keys.ledger().lock().settle_unknown(&self.digest, self.run);
    }
}

impl Drop for KeyedRun {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if self.is_dispatched {
            self.settle_unknown();
        } else {
            self.release();
        }
    }
}

fn is_repeat(parts: &Parts) -> bool {
    text(&parts.headers, IDEMPOTENCY_ATTEMPT).parse().is_ok_and(|attempt: u32| attempt > 1)
}

fn fingerprint(parts: &Parts, body: Option<&Bytes>) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(parts.method.as_str().as_bytes());
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    hasher.write(path.as_bytes());
    hasher.write_u8(0);
    hasher.write(body.map_or(&[], |body| body));
    hasher.finish()
}

fn replayed(answer: &StoredAnswer) -> Response<Body> {
    let mut head = answer.head.clone();
    head.headers.insert(REPLAYED, HeaderValue::from_static("true"));
    Response::from_parts(head, full(answer.body.clone()))
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

struct RecordedKey {
    kernel: Arc<Kernel>,
    digest: KeyDigest,
    run: u64,
}

/// Body of an answer that is kept for repeats when it is small and arrives whole.
struct RecordedBody {
    body: Body,
    head: AnswerParts,
    key: Option<RecordedKey>,
    buf: BytesMut,
}

impl RecordedBody {
    fn note(&mut self, frame: Option<&Frame<Bytes>>) {
        let Some(frame) = frame else { return self.store() };
        match frame.data_ref() {
            Some(data) if self.buf.len() + data.len() <= MAX_ANSWER_BYTES => {
                self.buf.extend_from_slice(data);
            }
            _ => self.key = None,
        }
        if http_body::Body::is_end_stream(&self.body) {
            self.store();
        }
    }

    fn store(&mut self) {
        let Some(key) = self.key.take() else { return };
        let body = std::mem::take(&mut self.buf).freeze();
        let answer = StoredAnswer { head: self.head.clone(), body };
        key.kernel.keys.ledger().lock().store(&key.digest, key.run, answer);
    }
}

impl http_body::Body for RecordedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => self.note(Some(frame)),
            Poll::Ready(Some(Err(_))) => self.key = None,
            Poll::Ready(None) => self.note(None),
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
