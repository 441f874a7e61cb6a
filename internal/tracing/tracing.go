// Package tracing exports OpenTelemetry spans to the exporter selected in the settings.
package tracing

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/trace"

	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

// NewProvider returns a TracerProvider for the selected exporter. Without an exporter, it samples
// no spans.
func NewProvider(ctx context.Context, tracing settings.Tracing, stdout io.Writer) (*trace.TracerProvider, error) {
	switch tracing.Exporter {
	case settings.ExportStdout:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(stdout))
		if err != nil {
			return nil, errors.Wrap(err, "create the stdout exporter")
		}
		return trace.NewTracerProvider(trace.WithBatcher(exporter)), nil
	case settings.ExportOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(tracing.Endpoint))
		if err != nil {
			return nil, errors.Wrap(err, "create the OTLP exporter; check tracing.endpoint")
		}
		return trace.NewTracerProvider(trace.WithBatcher(exporter)), nil
	}
	return trace.NewTracerProvider(trace.WithSampler(trace.NeverSample())), nil
}
