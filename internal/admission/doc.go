// Package admission implements the admission control of a gate: for each request to a target that the gate owns it
// decides whether the request starts now, waits in the target's queue or is refused.
//
// A Controller holds the load limits of the gate's targets, a weighted fair queue per target, the gate's shares of the
// customers' fleet-wide limits, and the requests in flight. It does no I/O, starts no goroutine, reads no clock and
// takes no lock; the gate calls it under one mutex. Times are durations since process start.
//
// A request that the Controller refuses, at once or after a wait, has certainly not run (reason.No).
//
// The load of a pool counts each request once: at the gate that admitted it, even after the target has moved to another
// owner. Requests that a previous owner left in flight at a target don't count here: they lower the cap that package
// ownership sets for the target (SetCap).
package admission
