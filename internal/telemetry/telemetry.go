// Package telemetry provides the metrics of the daemons and their admin endpoint.
//
// Metrics are OpenTelemetry instruments, exported in Prometheus format at /metrics. The attribute sets of the counters
// on the traffic path are built in advance, so that counting there does not allocate.
package telemetry

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// Meters holds the instruments of one daemon.
type Meters struct {
	registry *prometheus.Registry
	meter    metric.Meter

	refusals     metric.Int64Counter
	retries      metric.Int64Counter
	denied       metric.Int64Counter
	answers      metric.Int64Counter
	controlBytes metric.Int64Counter
	controlCalls metric.Int64Counter
	events       metric.Int64Counter
	orders       metric.Int64Counter
	durations    metric.Float64Histogram

	refusalLabels map[refusalLabel]metric.AddOption
	retryLabels   map[reason.Reason]metric.AddOption
	sent          metric.AddOption
	received      metric.AddOption
}

type refusalLabel struct {
	reason reason.Reason
	ran    reason.Ran
}

// New returns the meters of a daemon.
func New() (*Meters, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(
		exporter.WithRegisterer(registry),
		exporter.WithoutScopeInfo(),
		exporter.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, trace.Wrap(err, "creating the metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	m := &Meters{registry: registry, meter: provider.Meter("amaranth")}
	if err := m.createCounters(); err != nil {
		return nil, trace.Wrap(err, "creating counters")
	}
	if err := m.createDurations(); err != nil {
		return nil, trace.Wrap(err, "creating histograms")
	}
	m.createLabels()
	return m, nil
}

func (m *Meters) createCounters() error {
	counters := []struct {
		target *metric.Int64Counter
		name   string
		help   string
	}{
		{&m.refusals, "amaranth_refusals", "Refused requests by reason and by whether they may have run."},
		{&m.retries, "amaranth_retries", "Retries by the reason of the failed try."},
		{&m.denied, "amaranth_retries_denied", "Retries that the policy would allow but the budget or the deadline does not."},
		{&m.answers, "amaranth_answers", "Whole answers."},
		{&m.controlBytes, "amaranth_control_bytes", "Bytes of control traffic by direction."},
		{&m.controlCalls, "amaranth_control_calls", "Control calls by method and result."},
		{&m.events, "amaranth_events", "Changes of control state by kind."},
		{&m.orders, "amaranth_orders", "Orders to engines by kind and result."},
	}
	for _, c := range counters {
		counter, err := m.meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return err
		}
		*c.target = counter
	}
	return nil
}

func (m *Meters) createLabels() {
	m.refusalLabels = make(map[refusalLabel]metric.AddOption)
	m.retryLabels = make(map[reason.Reason]metric.AddOption)
	for _, r := range reason.All() {
		for _, ran := range []reason.Ran{reason.NotRun, reason.MayHaveRun} {
			m.refusalLabels[refusalLabel{r, ran}] = option(attribute.String("reason", string(r)), attribute.String("ran", string(ran)))
		}
		m.retryLabels[r] = option(attribute.String("reason", string(r)))
	}
	m.sent = option(attribute.String("direction", "sent"))
	m.received = option(attribute.String("direction", "received"))
}

func option(attributes ...attribute.KeyValue) metric.AddOption {
	return metric.WithAttributeSet(attribute.NewSet(attributes...))
}

// Refused counts a refused request.
func (m *Meters) Refused(r reason.Reason, ran reason.Ran) {
	m.refusals.Add(context.Background(), 1, m.refusalLabels[refusalLabel{r, ran}])
}

// Retried counts a retry after a failure.
func (m *Meters) Retried(r reason.Reason) {
	m.retries.Add(context.Background(), 1, m.retryLabels[r])
}

// RetryDenied counts a retry that the budget or the deadline did not allow.
func (m *Meters) RetryDenied(r reason.Reason) {
	m.denied.Add(context.Background(), 1, m.retryLabels[r])
}

// Answered counts a complete response.
func (m *Meters) Answered() {
	m.answers.Add(context.Background(), 1)
}

// ControlSent counts bytes of control traffic sent.
func (m *Meters) ControlSent(bytes int) {
	m.controlBytes.Add(context.Background(), int64(bytes), m.sent)
}

// ControlReceived counts bytes of control traffic received.
func (m *Meters) ControlReceived(bytes int) {
	m.controlBytes.Add(context.Background(), int64(bytes), m.received)
}

// ControlCall counts a control call.
func (m *Meters) ControlCall(method, result string) {
	m.controlCalls.Add(context.Background(), 1, option(attribute.String("method", method), attribute.String("result", result)))
}

// Order counts an order sent to an engine.
func (m *Meters) Order(kind, result string) {
	m.orders.Add(context.Background(), 1, option(attribute.String("kind", kind), attribute.String("result", result)))
}

// Event counts a change of control state.
func (m *Meters) Event(kind string) {
	m.events.Add(context.Background(), 1, option(attribute.String("kind", kind)))
}

// Gauge registers a gauge that is read when the metrics are scraped.
func (m *Meters) Gauge(name, help string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return trace.Wrap(err)
}

// Handler serves the metrics in Prometheus format.
func (m *Meters) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
