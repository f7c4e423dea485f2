// Package configsync distributes the operators' catalogue to a daemon and prevents it from reverting to an older one.
//
// Two gates in each zone watch the platform. All daemons announce the version that they hold; a daemon that learns of a
// newer version pulls the entries that differ from a peer that holds it. A daemon starts without any state and becomes
// ready only after it has queried its peers, so that a restart does not return to an older revision.
//
// The package does no I/O and reads no clock: Machine.Step takes events and returns effects.
package configsync
