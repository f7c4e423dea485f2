package gate

import (
	"time"

	"github.com/gravitational/trace"
)

// ReportStatus is a target's last report in the status for operators.
type ReportStatus struct {
	Target      string   `json:"target"`
	Load        int      `json:"load"`
	Own         int      `json:"own_in_flight"`
	External    int      `json:"external"`
	AgeMS       int64    `json:"age_ms"`
	Fence       uint64   `json:"fence"`
	Model       string   `json:"model,omitempty"`
	Version     string   `json:"version,omitempty"`
	Adapters    []string `json:"adapters,omitempty"`
	Role        string   `json:"role,omitempty"`
	Incarnation uint64   `json:"incarnation"`
	Down        bool     `json:"down"`
}

func (g *Gate) reportStatuses() []ReportStatus {
	now := g.clock.Now()
	statuses := []ReportStatus{}
	for _, report := range g.reports.All() {
		statuses = append(statuses, ReportStatus{
			Target:      report.Target,
			Load:        report.Load,
			Own:         report.OwnInFlight,
			External:    report.External(),
			AgeMS:       (now - report.Measured).Milliseconds(),
			Fence:       report.Fence,
			Model:       report.Model,
			Version:     report.Version,
			Adapters:    report.Adapters,
			Role:        report.Role,
			Incarnation: report.Incarnation,
			Down:        g.reports.down(report.Target),
		})
	}
	return statuses
}

// registerReportGauges exports the reports as metrics.
func (g *Gate) registerReportGauges() error {
	gauges := []struct {
		name string
		help string
		read func(r Report, now time.Duration) int64
	}{
		{"amaranth_target_load", "Requests at the target in its last report.", func(r Report, _ time.Duration) int64 { return int64(r.Load) }},
		{"amaranth_target_external_load", "Requests of other gates in the target's last report.", func(r Report, _ time.Duration) int64 { return int64(r.External()) }},
		{"amaranth_target_report_age_ms", "Time since the target measured its last report.", func(r Report, now time.Duration) int64 { return (now - r.Measured).Milliseconds() }},
	}
	for _, gauge := range gauges {
		err := g.meters.GaugeBy(gauge.name, gauge.help, "target", func() map[string]int64 {
			values := make(map[string]int64)
			now := g.clock.Now()
			for _, report := range g.reports.All() {
				values[report.Target] = gauge.read(report, now)
			}
			return values
		})
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
