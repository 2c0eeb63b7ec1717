// Package tracing sets up OpenTelemetry: the exporter of spans and the propagation of the W3C
// trace context.
package tracing

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Setup installs the trace context propagator and a tracer provider that exports the spans of the
// service to destination: "stdout", the URL of an OTLP/HTTP collector, or a file path. If
// destination is "", it installs only the propagator. The returned function flushes and closes
// the exporter.
func Setup(ctx context.Context, service, host, destination string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if destination == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, closer, err := open(ctx, destination)
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service), attribute.String("host.name", host))),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closer != nil {
			closer.Close()
		}
		return errors.Wrap(err, "flush spans")
	}, nil
}

func open(ctx context.Context, destination string) (sdktrace.SpanExporter, io.Closer, error) {
	if strings.HasPrefix(destination, "http://") || strings.HasPrefix(destination, "https://") {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(destination))
		return e, nil, errors.Wrap(err, "open OTLP exporter")
	}
	if destination == "stdout" {
		e, err := stdouttrace.New()
		return e, nil, errors.Wrap(err, "open stdout exporter")
	}
	f, err := os.OpenFile(destination, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open trace file")
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, nil, errors.Wrap(err, "open file exporter")
	}
	return e, f, nil
}
