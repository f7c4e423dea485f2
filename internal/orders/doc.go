// Package orders makes engines conform to the catalogue.
//
// The owner of a target compares the engine's reported state with the desired one and sends an order when they
// differ. Each order carries a fencing number above the engine's present one; the engine is the arbiter. Engines
// that ignore the number are protected by time: a new owner waits until its predecessor's orders have arrived,
// and it reads the state back. One gate, chosen by rank, issues permits that keep the weight store's rate.
//
// The package does no I/O and reads no clock: Machine.Step takes events and returns effects.
package orders
