package router

// ListedTargets returns the number of targets that the router knows from the store.
func (r *Router) ListedTargets() int {
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	_, listed := r.loadTracker.Count(r.now())
	return listed
}
