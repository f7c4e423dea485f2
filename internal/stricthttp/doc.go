// Package stricthttp detects malformed and incomplete HTTP/1.1 responses that net/http accepts.
//
// A target in trouble may send a status that doesn't exist, or a field whose name holds a blank. net/http returns such a
// status like any other, so that a client may skip the response or forward it, and keeps such a field under a name that
// nobody looks up: a length or a transfer coding is then ignored. This package checks the head of each response before
// net/http parses it: a read that would complete an invalid line fails with a SyntaxError instead. Trailer fields are
// checked at the end of the body.
//
// A connection that is reset while a request is being written may appear to a reader as one that the target has closed,
// which completes a response without a length. A Conn returns the error of the write instead.
//
// Clients based on http.Transport use Transport. Others read through a Conn, call ExpectResponse before they read a
// response, and CheckTrailer after its head. Connections with TLS are not checked.
package stricthttp
