//! Spans of several instances share a trace, and requests propagate the trace context.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use futures::future::BoxFuture;
use hollyhead::flow::FlowKey;
use hollyhead::span::{render, Tracer, PER_MILLION};
use http::HeaderMap;
use opentelemetry_sdk::export::trace::{ExportResult, SpanData, SpanExporter};
use parking_lot::Mutex;
use serde_json::Value;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const PARENT_SPAN: &str = "b7ad6b7169203331";

#[derive(Clone, Debug, Default)]
struct MemoryExporter(Arc<Mutex<Vec<Value>>>);

impl SpanExporter for MemoryExporter {
    fn export(&mut self, batch: Vec<SpanData>) -> BoxFuture<'static, ExportResult> {
        self.0.lock().extend(batch.iter().map(render));
        Box::pin(std::future::ready(Ok(())))
    }
}

fn tracer(rate: u32) -> (Tracer, MemoryExporter) {
    let exporter = MemoryExporter::default();
    let tracer = Tracer::new(exporter.clone());
    tracer.set_rate(rate);
    (tracer, exporter)
}

fn headers(flags: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("traceparent", format!("00-{TRACE_ID}-{PARENT_SPAN}-{flags}").parse().unwrap());
    headers
}

fn flow() -> FlowKey {
    "tcp,192.0.2.1:40000,10.0.0.1:7000".parse().unwrap()
}

#[test]
fn start_request_sampled_caller_is_parent_and_context_goes_on() {
    let (tracer, exporter) = tracer(0);
    let mut headers = headers("01");
    tracer.start_request(&mut headers, "request").finish("answered");
    let span = exporter.0.lock()[0].clone();
    assert_eq!((&span["trace"], &span["parent"]), (&TRACE_ID.into(), &PARENT_SPAN.into()));
    assert_eq!(span["attributes"]["outcome"], "answered");
    let onward = format!("00-{TRACE_ID}-{}-01", span["span"].as_str().unwrap());
    assert_eq!(headers["traceparent"], onward);
}

#[test]
fn start_request_unsampled_caller_passes_context_unchanged() {
    let (tracer, exporter) = tracer(PER_MILLION);
    let mut headers = headers("00");
    tracer.start_request(&mut headers, "request").finish("answered");
    assert!(exporter.0.lock().is_empty());
    assert_eq!(headers["traceparent"], format!("00-{TRACE_ID}-{PARENT_SPAN}-00"));
}

#[test]
fn start_request_without_context_follows_rate() {
    let (tracer, exporter) = tracer(PER_MILLION / 4);
    for _ in 0..8 {
        tracer.start_request(&mut HeaderMap::new(), "request").finish("answered");
    }
    assert_eq!(exporter.0.lock().len(), 2);
}

#[test]
fn record_hop_two_instances_share_trace() {
    let (one, other) = (tracer(PER_MILLION), tracer(PER_MILLION));
    one.0.record_hop(7, &flow(), "relayed");
    other.0.record_hop(7, &flow(), "delivered");
    let (one, other) = (one.1 .0.lock()[0].clone(), other.1 .0.lock()[0].clone());
    assert_eq!((&one["trace"], &one["parent"]), (&other["trace"], &other["parent"]));
    assert_ne!(one["span"], other["span"]);
}

#[test]
fn record_hop_outside_rate_makes_no_span() {
    let (tracer, exporter) = tracer(7);
    tracer.record_hop(7, &flow(), "relayed");
    tracer.record_hop(6, &flow(), "relayed");
    assert_eq!(exporter.0.lock().len(), 1);
}
