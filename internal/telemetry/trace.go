package telemetry

import (
	"context"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"
)

// StartTracing installs a global tracer provider that writes every finished span as log event 1010. The returned function
// flushes the remaining spans and shuts the provider down.
func StartTracing(log *zap.Logger) func(context.Context) error {
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(spanLogger{log}))
	otel.SetTracerProvider(provider)
	return provider.Shutdown
}

// spanLogger exports spans as log lines, so that traces are available in a deployment without a trace collector.
type spanLogger struct{ log *zap.Logger }

// spanFields is the number of fields that every span has, besides its attributes.
const spanFields = 5

// ExportSpans implements sdktrace.SpanExporter.
func (s spanLogger) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		attributes := span.Attributes()
		fields := make([]zap.Field, 0, spanFields+len(attributes))
		fields = append(fields,
			zap.String("span", span.Name()),
			zap.Stringer("trace", span.SpanContext().TraceID()),
			zap.Stringer("id", span.SpanContext().SpanID()),
			zap.Stringer("parent", span.Parent().SpanID()),
			zap.Duration("took", span.EndTime().Sub(span.StartTime())),
		)
		for _, attr := range attributes {
			fields = append(fields, zap.String(string(attr.Key), attr.Value.String()))
		}
		EventSpan.Log(s.log, fields...)
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (s spanLogger) Shutdown(context.Context) error { return nil }

// NewLogger returns a logger that writes JSON lines to standard error. Level is debug, info, warn or error; an unknown level is
// an error.
func NewLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	config.Level = parsed
	config.Sampling = nil           // no event may be dropped, and the hot path logs at debug only
	config.DisableStacktrace = true // event numbers identify the place in the code
	config.DisableCaller = true
	log, err := config.Build()
	if err != nil {
		return nil, errors.Wrap(err, "build logger")
	}
	return log, nil
}
