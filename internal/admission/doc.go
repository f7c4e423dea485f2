// Package admission decides, at the gate that owns a target, whether a request starts now, waits or is refused.
//
// A Controller holds the load limits of the gate's targets, a weighted fair queue per target, the customers' shares
// of their fleet-wide limits, and the requests in flight. It does no I/O, starts no goroutine, reads no clock and
// takes no lock; the gate calls it under one mutex. Times are durations since process start.
//
// Every request that the Controller refuses, at once or after a wait, has certainly not run (reason.No).
//
// The sum of a pool's load counts each request once: at the gate that admitted it, also after the target has moved
// to another owner. Requests that a previous owner left at a target don't count here: they lower the cap that
// package ownership sets for the target (SetCap).
package admission
