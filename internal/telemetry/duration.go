package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Phase is a part of the duration of a request.
type Phase string

// Phases of a request.
const (
	// PhaseFirst is the time to the first part of the response, PhaseGap the longest pause between two parts.
	PhaseFirst Phase = "first"
	PhaseGap   Phase = "gap"
	// PhaseWhole is the duration of one attempt at a target.
	PhaseWhole Phase = "whole"
)

// durationBounds are the bucket bounds in seconds. They cover the latency objectives and timeouts of the sites, 0.2 s
// to 15 s.
var durationBounds = []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 15}

func (m *Meters) createDurations() error {
	var err error
	m.durations, err = m.meter.Float64Histogram("amaranth_request_duration",
		metric.WithDescription("Durations of requests by phase and kind."), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	return err
}

// RecordDuration records the duration of a phase of a request of the given kind.
func (m *Meters) RecordDuration(phase Phase, kind string, duration time.Duration) {
	attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String("phase", string(phase)), attribute.String("kind", kind)))
	m.durations.Record(context.Background(), duration.Seconds(), attributes)
}
