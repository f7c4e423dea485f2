// Package configsync brings the operators' catalogue to one daemon and keeps it from reverting.
//
// Two gates of each zone watch the platform. All daemons announce the version that they hold; one that hears
// of a newer version pulls the entries that differ from a peer that holds it. A daemon starts with empty memory
// and becomes ready only after it has asked its peers, so a restart does not return to an older revision.
//
// The package does no I/O and reads no clock: Machine.Step takes events and returns effects.
package configsync
