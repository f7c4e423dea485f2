package router

import (
	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/directory"
)

// registerGauges exposes the state of the router and the age of its store content.
func (r *Router) registerGauges() error {
	gauges := []struct {
		name, help string
		read       func() int64
	}{
		{"amaranth_in_flight", "Callers' requests in progress.", r.inFlight.Load},
		{"amaranth_config_version", "Version of the configuration in force; 0 for none.", r.configVersion},
		{"amaranth_targets_usable", "Targets that may get requests.", func() int64 { usable, _ := r.targetCounts(); return usable }},
		{"amaranth_targets_listed", "Targets that the store lists.", func() int64 { _, listed := r.targetCounts(); return listed }},
		{"amaranth_targets_rate_limited", "Targets that state a rate limit.", r.limitedTargets},
		{"amaranth_routers", "Routers that count as live, this one included.", r.routerCount},
		{"amaranth_target_connections_opened", "Connections opened to targets since the start.", r.pool.Dialed},
		{"amaranth_request_bytes_held", "Memory of callers' request bodies in bytes, beyond the first 16 KB of each.", r.bodies.HeldBytes},
		{"amaranth_client_connections", "Connections of clients.", r.clientConnections},
		{"amaranth_log_lines_dropped", "Log lines dropped since the start because the output was not read.", r.log.Dropped},
		{"amaranth_log_lines", "Log lines since the start, dropped ones included.", r.log.Total},
	}
	for _, gauge := range gauges {
		if err := r.meters.Gauge(gauge.name, gauge.help, gauge.read); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := r.meters.GaugeBy("amaranth_targets_passed_over", "Listed targets that get no requests at present because of what they state, or what other routers report.", "cause", r.admissions); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.meters.GaugeBy("amaranth_store_age_ms", "Time since the content of a key range was last confirmed.", "range", r.storeAges))
}

func (r *Router) configVersion() int64 {
	if table := r.table.Load(); table != nil {
		return int64(table.Version)
	}
	return 0
}

func (r *Router) targetCounts() (usable, listed int64) {
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	u, l := r.loadTracker.Count(r.now())
	return int64(u), int64(l)
}

func (r *Router) routerCount() int64 {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	return int64(r.members.Count(r.now()))
}

// storeAges returns the time since each range was last confirmed by the store or by a peer that reads it.
func (r *Router) storeAges() map[string]int64 {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	ages := make(map[string]int64)
	for _, keyRange := range directory.AllRanges() {
		ages[r.config.Prefixes[keyRange]] = (r.now() - r.confirmedAt[keyRange]).Milliseconds()
	}
	return ages
}
