// Package backend holds what the stand-ins of engines and of services share: the listener, the log of
// runs, the load figures and the switchable faults.
package backend
