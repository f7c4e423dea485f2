// Package orders reconciles the state of engines with the catalogue.
//
// The owner of a target compares the engine's reported state with the desired state and sends an order if they differ.
// Each order carries a fencing number above the engine's current one, and the engine decides: it refuses an order whose
// number is not above its own. Engines that ignore fencing numbers are protected by hold-off times: a new owner waits
// until its predecessor's orders have arrived, and it reads the state back. One gate, selected by rendezvous hashing,
// issues permits that limit the rate of loads from the weight store.
//
// The package does no I/O and reads no clock: Machine.Step takes events and returns effects.
package orders
