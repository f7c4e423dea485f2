package telemetry

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// GaugeBy registers a gauge with one value for each value of a label. It is read when the metrics are scraped.
func (m *Meters) GaugeBy(name, help, label string, read func() map[string]int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for labelValue, value := range read() {
				observer.Observe(value, metric.WithAttributes(attribute.String(label, labelValue)))
			}
			return nil
		}))
	return trace.Wrap(err)
}
