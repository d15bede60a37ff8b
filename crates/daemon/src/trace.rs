//! Distributed tracing: trace contexts, and one span per hop of a request.

use std::str::FromStr;

use opentelemetry::trace::{
    Span, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use smol_str::{format_smolstr, SmolStr};

const TRACEPARENT_VERSION: &str = "00";

/// Exports ended spans to the log.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            log_span(&span);
        }
        Ok(())
    }
}

fn log_span(span: &SpanData) {
    let duration = span.end_time.duration_since(span.start_time);
    let micros = duration.map_or(0, |duration| duration.as_micros() as u64);
    let fields: Vec<String> = span
        .attributes
        .iter()
        .map(|field| format!("{}={}", field.key, field.value))
        .collect();
    log::info!(
        target: "applefoldd::span",
        trace = span.span_context.trace_id().to_string(),
        span = span.span_context.span_id().to_string(),
        parent = span.parent_span_id.to_string(),
        took_us = micros,
        fields = fields.join(" ");
        "{}", span.name
    );
}

/// Creates the spans of this process.
#[derive(Clone, Debug)]
pub(crate) struct SpanFactory {
    tracer: SdkTracer,
}

impl SpanFactory {
    /// Creates a factory that samples `share` of the traces that start here, from 0 to 1. The
    /// sampling decision of a caller's trace context is respected.
    pub(crate) fn new(share: f64) -> Self {
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)));
        let provider = SdkTracerProvider::builder()
            .with_simple_exporter(LogExporter)
            .with_sampler(sampler)
            .build();
        let tracer = provider.tracer("applefold");
        Self { tracer }
    }

    /// Starts the span of a hop, as a child of `parent` if there is one.
    pub(crate) fn start_span(
        &self,
        name: &'static str,
        parent: Option<&TraceParent>,
    ) -> RequestSpan {
        let context = match parent {
            Some(parent) => Context::new().with_remote_span_context(parent.0.clone()),
            None => Context::new(),
        };
        let builder = self.tracer.span_builder(name).with_kind(SpanKind::Server);
        let span = self.tracer.build_with_context(builder, &context);
        RequestSpan { span }
    }
}

/// The span of one hop of a request; it ends when it is dropped.
#[derive(Debug)]
pub(crate) struct RequestSpan {
    span: opentelemetry_sdk::trace::Span,
}

impl RequestSpan {
    pub(crate) fn set_attribute<V>(&mut self, key: &'static str, value: V)
    where
        V: Into<opentelemetry::Value>,
    {
        self.span.set_attribute(KeyValue::new(key, value));
    }

    /// Returns the `traceparent` header value for the next hop.
    pub(crate) fn traceparent(&self) -> SmolStr {
        let context = self.span.span_context();
        format_smolstr!(
            "{TRACEPARENT_VERSION}-{}-{}-{:02x}",
            context.trace_id(),
            context.span_id(),
            context.trace_flags().to_u8()
        )
    }
}

/// The trace context received from the previous hop.
#[derive(Clone, Debug)]
pub(crate) struct TraceParent(SpanContext);

/// The error of a malformed `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TraceParentError;

impl std::fmt::Display for TraceParentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a version, trace, span and flags in hexadecimal")
    }
}

impl std::error::Error for TraceParentError {}

impl FromStr for TraceParent {
    type Err = TraceParentError;

    fn from_str(text: &str) -> Result<Self, TraceParentError> {
        let malformed = || TraceParentError;
        let fields: Vec<&str> = text.split('-').collect();
        let [_, trace, span, flags] = fields[..] else {
            return Err(malformed());
        };
        let trace = TraceId::from_hex(trace).map_err(|_| malformed())?;
        let span = SpanId::from_hex(span).map_err(|_| malformed())?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_| malformed())?;
        let flags = TraceFlags::new(flags);
        let context = SpanContext::new(trace, span, flags, true, TraceState::default());
        if !context.is_valid() {
            return Err(malformed());
        }
        Ok(Self(context))
    }
}
