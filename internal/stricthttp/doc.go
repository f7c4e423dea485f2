// Package stricthttp detects malformed HTTP/1.1 responses that net/http accepts.
//
// A target in trouble may send a status that doesn't exist. net/http returns it like any other, so that a client may skip
// the response or forward it. This package checks the head of each response before net/http parses it: a read that would
// complete an invalid line fails with a SyntaxError instead.
//
// Clients based on http.Transport use Transport. Others read through a Conn, and call ExpectResponse before they read a
// response. Connections with TLS are not checked.
package stricthttp
