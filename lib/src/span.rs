//! Trace spans: one for each hop of a sampled flow or request, exported as JSON lines to the log.
//!
//! The trace id of a flow is derived from the keyed hash of the flow, so that the spans of all
//! instances share a trace without a header. Requests propagate the W3C `traceparent` header.

use std::borrow::Cow;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::UNIX_EPOCH;

use futures::future::BoxFuture;
use http::HeaderMap;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{
    Span as _, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer as _,
    TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::export::trace::{ExportResult, SpanData, SpanExporter};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{Sampler, Span, Tracer as SdkTracer, TracerProvider};
use serde_json::{json, Map, Value};

use crate::flow::FlowKey;
use crate::ids::FlowHash;
use crate::traceparent::{HeaderExtractor, HeaderInjector};

/// Denominator of sampling rates.
pub const PER_MILLION: u32 = 1_000_000;
/// Log target of the records that contain spans.
pub const LOG_TARGET: &str = "hollyhead::span";

/// Creates spans for sampled flows and requests.
#[derive(Debug)]
pub struct Tracer {
    rate_per_million: AtomicU32,
    /// Sum of the rate over all requests without trace context. A request is sampled when it takes
    /// the sum past a multiple of [`PER_MILLION`], which spaces the samples evenly.
    request_credit: AtomicU64,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
    _provider: TracerProvider,
}

impl Tracer {
    /// Creates a tracer with a sampling rate of zero, which samples only requests whose
    /// `traceparent` header has the sampled flag.
    pub fn new(exporter: impl SpanExporter + 'static) -> Self {
        let builder = TracerProvider::builder().with_sampler(Sampler::AlwaysOn);
        let provider = builder.with_simple_exporter(exporter).build();
        Self {
            rate_per_million: AtomicU32::new(0),
            request_credit: AtomicU64::new(0),
            tracer: provider.tracer("hollyhead"),
            propagator: TraceContextPropagator::new(),
            _provider: provider,
        }
    }

    /// Sets the sampling rate of flows and of requests without `traceparent`, from 0 to
    /// [`PER_MILLION`].
    pub fn set_rate(&self, per_million: u32) {
        self.rate_per_million.store(per_million, Ordering::Relaxed);
    }

    /// Returns whether flows are sampled at all, so that callers can skip hashing.
    pub fn samples_flows(&self) -> bool {
        self.rate_per_million.load(Ordering::Relaxed) > 0
    }

    /// Records a span for one hop of a flow if the flow is sampled.
    pub fn record_hop(&self, hash: FlowHash, flow: &FlowKey, outcome: &'static str) {
        let rate = u64::from(self.rate_per_million.load(Ordering::Relaxed));
        if hash % u64::from(PER_MILLION) >= rate {
            return;
        }
        let parent = Context::new().with_remote_span_context(flow_span_context(hash));
        let mut span = self.tracer.start_with_context("packet", &parent);
        span.set_attribute(KeyValue::new("caller", flow.caller.to_string()));
        span.set_attribute(KeyValue::new("service", flow.service.to_string()));
        span.set_attribute(KeyValue::new("outcome", outcome));
        span.end();
    }

    /// Starts the span of a request and sets it as the parent in the `traceparent` header, for the
    /// next hop. The sampled flag of the incoming `traceparent` decides whether the request is
    /// sampled; without that header the sampling rate decides.
    pub fn start_request(&self, headers: &mut HeaderMap, name: &'static str) -> RequestSpan {
        let parent =
            self.propagator.extract_with_context(&Context::new(), &HeaderExtractor(headers));
        let context = parent.span().span_context().clone();
        let is_sampled =
            if context.is_valid() { context.is_sampled() } else { self.is_sampled_by_rate() };
        if !is_sampled {
            return RequestSpan { span: None };
        }
        let span = self.tracer.start_with_context(name, &parent);
        let own = Context::new().with_remote_span_context(span.span_context().clone());
        self.propagator.inject_context(&own, &mut HeaderInjector(headers));
        RequestSpan { span: Some(span) }
    }

    fn is_sampled_by_rate(&self) -> bool {
        let (rate, denominator) =
            (u64::from(self.rate_per_million.load(Ordering::Relaxed)), u64::from(PER_MILLION));
        let before = self.request_credit.fetch_add(rate, Ordering::Relaxed);
        before % denominator + rate >= denominator
    }
}

/// Span of a request at one instance, empty if the request is not sampled. It ends when it is
/// finished or dropped.
#[derive(Debug)]
pub struct RequestSpan {
    span: Option<Span>,
}

impl RequestSpan {
    /// Ends the span with the outcome of the request.
    pub fn finish(mut self, outcome: &'static str) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new("outcome", outcome));
            span.end();
        }
    }
}

fn flow_span_context(hash: FlowHash) -> SpanContext {
    let trace = TraceId::from(u128::from(hash) << 64 | u128::from(!hash));
    let root = SpanId::from(hash.max(1));
    SpanContext::new(trace, root, TraceFlags::SAMPLED, true, TraceState::default())
}

/// Exports spans as JSON lines to the log.
#[derive(Debug)]
pub struct LogExporter;

impl SpanExporter for LogExporter {
    fn export(&mut self, batch: Vec<SpanData>) -> BoxFuture<'static, ExportResult> {
        for span in batch {
            log::info!(target: LOG_TARGET, "{}", render(&span));
        }
        Box::pin(std::future::ready(Ok(())))
    }
}

/// Returns a span as a JSON object.
pub fn render(span: &SpanData) -> Value {
    let nanos = |at: std::time::SystemTime| {
        let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
    };
    let text = |value: &opentelemetry::Value| match value.as_str() {
        Cow::Borrowed(text) => json!(text),
        Cow::Owned(text) => json!(text),
    };
    let attributes: Map<String, Value> =
        span.attributes.iter().map(|it| (it.key.to_string(), text(&it.value))).collect();
    json!({
        "trace": span.span_context.trace_id().to_string(),
        "span": span.span_context.span_id().to_string(),
        "parent": span.parent_span_id.to_string(),
        "name": span.name,
        "start_ns": nanos(span.start_time),
        "end_ns": nanos(span.end_time),
        "attributes": attributes,
    })
}
