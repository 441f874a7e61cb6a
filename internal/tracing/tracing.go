// Package tracing sends spans to the exporter that the settings choose.
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

// NewProvider returns a provider of tracers for the chosen exporter.
func NewProvider(ctx context.Context, tracing settings.Tracing, stdout io.Writer) (*trace.TracerProvider, error) {
	switch tracing.Exporter {
	case settings.ExportStdout:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(stdout))
		if err != nil {
			return nil, errors.Wrap(err, "open stdout exporter")
		}
		return trace.NewTracerProvider(trace.WithBatcher(exporter)), nil
	case settings.ExportOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(tracing.Endpoint))
		if err != nil {
			return nil, errors.Wrap(err, "open OTLP exporter; check tracing.endpoint")
		}
		return trace.NewTracerProvider(trace.WithBatcher(exporter)), nil
	}
	return trace.NewTracerProvider(trace.WithSampler(trace.NeverSample())), nil
}
