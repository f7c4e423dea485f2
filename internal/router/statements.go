package router

import (
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/backpressure"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// logStatements logs what a target has begun or ceased to state about the requests that it takes.
func (r *Router) logStatements(target routes.Target, stated routes.Statements, change place.StatementChange) {
	if change.Leaving {
		r.meters.Event("leaving_stated")
		r.log.WithField("target", target.ID).Info("target states that it leaves")
	}
	if stated.InvalidRetryAfter != "" {
		r.meters.Event("retry_after_invalid")
	}
	if change.PauseBegun {
		r.meters.Event("pause_begun")
		r.log.WithFields(logrus.Fields{
			"target": target.ID, "retry_after_ms": stated.RetryAfter.Milliseconds(), "pause_ms": min(stated.RetryAfter, backpressure.MaxPause).Milliseconds(),
		}).Info("target asks for a pause")
	}
	if change.PauseEnded {
		r.meters.Event("pause_ended")
		r.log.WithField("target", target.ID).Info("target has responded after its pause")
	}
	switch {
	case !change.RateLimit:
	case !stated.HasRateLimit:
		r.meters.Event("rate_limit_ended")
		r.log.WithField("target", target.ID).Info("target no longer states a rate limit")
	default:
		r.trafficMu.Lock()
		_, share, _ := r.loadTracker.RateLimit(r.now(), target)
		r.trafficMu.Unlock()
		r.meters.Event("rate_limit_stated")
		r.log.WithFields(logrus.Fields{"target": target.ID, "rate_limit": stated.RateLimit, "share": share}).Info("target states a rate limit")
	}
}

// recordCallStatements records what the response to a call other than a request states.
func (r *Router) recordCallStatements(target routes.Target, stated routes.Statements) {
	r.trafficMu.Lock()
	change := r.loadTracker.StatedInCall(r.now(), target, stated)
	r.trafficMu.Unlock()
	r.logStatements(target, stated, change)
}

// mergeStatements records what a peer has learned about targets.
func (r *Router) mergeStatements(peer string, updates []backpressure.Update) {
	leaving, limits := 0, 0
	r.trafficMu.Lock()
	now := r.now()
	for _, update := range updates {
		switch {
		case !r.loadTracker.Statements().Merge(now, update):
		case update.Leaving:
			leaving++
		default:
			limits++
		}
	}
	r.trafficMu.Unlock()
	if limits > 0 {
		r.meters.Event("rate_limit_learned")
		r.log.WithFields(logrus.Fields{"peer": peer, "targets": limits}).Info("rate limits of targets learned from a peer")
	}
	if leaving > 0 {
		r.meters.Event("leaving_learned")
		r.log.WithFields(logrus.Fields{"peer": peer, "targets": leaving}).Info("leaving targets learned from a peer")
	}
}

// admissions returns the number of listed targets that are passed over, by cause: their own statements, the operator's
// evacuations, or the reports of routers that can't reach them.
func (r *Router) admissions() map[string]int64 {
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	now := r.now()
	counts := r.loadTracker.Admissions(now)
	return map[string]int64{
		"rate_limit": int64(counts[backpressure.Limited]),
		"cold":       int64(counts[backpressure.Cold]),
		"pause":      int64(counts[backpressure.Paused]),
		"leaving":    int64(counts[backpressure.Leaving]),
		"evacuated":  int64(r.loadTracker.EvacuatedTargets()),
		"reports":    int64(r.loadTracker.BlockedByReports(now)),
	}
}

// limitedTargets returns the number of targets with a limit in force.
func (r *Router) limitedTargets() int64 {
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	return int64(r.loadTracker.Statements().Count(r.now()))
}
