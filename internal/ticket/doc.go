// Package ticket defines tickets, each a permission to run one non-repeatable request at most once, and their codec.
//
// A Ticket names the gate processes that decide about the request: the executor, which may run it, and the
// witness, which records the executor's intent. Both are identified with their incarnation, so a restarted gate is
// not mistaken for its predecessor. The ticket also binds customer, pool and the digest of method, path and body.
//
// The codec signs with HMAC-SHA256. The first key signs and every key verifies, so a key is rotated in three
// steps: add the new key last everywhere, move it to the front everywhere, remove the old key after the longest
// lifetime of a ticket.
//
// Decode returns a *MalformedError for data that can't be a ticket and a *ForgedError for data that no key
// verifies. Fields are parsed only after the signature has been verified. Decode does not check the expiry, the
// customer or the body digest, since these need the request and the clock: see Ticket.Binds and Ticket.Remaining.
//
// The package reads no clock and does no I/O. A Codec is immutable and safe for concurrent use.
package ticket
