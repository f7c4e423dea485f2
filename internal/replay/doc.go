// Package replay runs recorded or generated traffic against the fleet and measures what callers, targets
// and links see.
//
// # Trace format
//
// A trace is a file of JSON lines. The first line is a Deployment: its zones, pools, targets and customers.
// Each further line is an Event at a time offset (at_ms) from the start, in order of these offsets:
//
//   - kind "chat": one turn of a chat: customer, chat, turn (from 0), zone of the entry, pool, prompt (the
//     new message only; the client repeats the messages and answers before it) and output (the expected
//     length of the answer in words). A turn starts at its offset, or once the turn before it is answered.
//   - kind "call": one call of a service: customer, zone, pool, path, prompt (the body) and repeatable.
//   - kind "fault": fault (one of the Fault constants), its subject (target, vm or zone) and for_ms, the
//     time until it ends; 0 means that it does not end.
//
// Arrivals, pauses and faults are scaled down: time_scale says how many seconds of the deployment one second of
// the trace stands for. The engines' times are not, since control traffic and heartbeats run unscaled: with
// requests as short as a heartbeat interval, every load report would be out of date before it arrives.
//
// # Ways to run a trace
//
// Client sends a trace to a running fleet by HTTP. Simulate runs a Policy against the engine stand-in's
// model in simulated time, without HTTP. Both give the same Measures.
package replay
