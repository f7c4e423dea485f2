// Package backpressure applies what targets state about the requests that they take.
//
// A target in trouble may state a rate limit for all routers together. Routers do not count each other's requests.
// Instead each limit is divided among a few routers: the first in rendezvous order for the target, as many as may send
// at least one request a second each. These have a token bucket for their part, the others send nothing to that target.
// All routers that know the same members agree on the order.
//
// A limit holds until a later response of the target states another one or none. Routers tell each other what they have
// seen, with its age; the latest response counts. If none has stated the limit for a while, the first router in order is due
// to send a request, since no router may have another reason to do so and see the end. A router that restarts knows no
// limits until the first response or message. Routers that do not know of each other may exceed the limit, by as many parts
// as there are groups of them.
//
// A target that warms up is limited in the same way, by a rate that each router derives from the target's entry. The rate is
// a quarter of what the target may get in any second, since a router may send its burst and its part in a second, and two
// groups of routers that do not hear each other may each send the whole rate. Three such groups may exceed it, and so may
// two if a router that has the whole of a rate below 1 sends its one request. The limit begins with an empty bucket and ends
// by the clock. Routers do not tell each other, and need no request to see its end.
//
// A target that leaves gets no requests from the first response that states it. This is never revoked: a target that
// starts again is another instance. Routers tell each other for a minute; one that has missed all messages learns it from
// its own first request.
//
// A target that rejects a request may ask this router alone for a pause. Until its end the router sends nothing there, but
// for one run that was stopped elsewhere and would be lost. Then one request goes first, and others follow its response.
// Other routers are not told, since the target has not asked them. A restart forgets pauses.
//
// Statements belong to an instance, which is a target's ID and start, so that a message about an instance that is gone
// has no effect on its successor.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package backpressure
