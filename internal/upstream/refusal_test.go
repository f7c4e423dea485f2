package upstream

import (
	"errors"
	"strings"
	"testing"
)

// Guards against an earlier rejection that a target writes once more on a kept connection and that is taken for the
// response to the next request, which the target runs.
func TestRepeatedRejectionIsNotTakenForTheResponse(t *testing.T) {
	const rejected = "HTTP/1.1 503 Service Unavailable\nNot-Run: 1\nKeep: 1\nContent-Length: 0\n\n"
	for name, repeated := range map[string]string{
		"without ID":         rejected,
		"with another ID":    strings.Replace(rejected, "Keep", "Id: 1\nKeep", 1),
		"misdirected, no ID": strings.Replace(rejected, "503 Service Unavailable", "421 Misdirected Request", 1),
	} {
		address := target(t, write(ok1), write(repeated))
		pool := NewPool(decoder{}, DefaultHeldBytes)
		if body, _, err := exchange(t, pool, call(address, "1")); err != nil || body != "one" {
			t.Fatalf("%s: first response %q, %v", name, body, err)
		}
		c := call(address, "2")
		c.HeadTimeout /= 4
		_, response, err := exchange(t, pool, c)
		var broken *BrokenError
		if !errors.As(err, &broken) {
			t.Errorf("%s: response %+v, error %v, want a broken response", name, response, err)
		}
		pool.Close()
	}
}

// Guards against a response whose head ends early and that is taken for a complete one without a body.
func TestHeadThatEndsEarlyIsBroken(t *testing.T) {
	for _, whole := range []string{ok1, "HTTP/1.1 200 OK\nId: 1\nSeal: s\nTransfer-Encoding: chunked\n\n"} {
		head, _, _ := strings.Cut(whole, "\n\n")
		for length := range len(head) + 1 {
			address := target(t, closing(write(whole[:length])))
			pool := NewPool(decoder{}, DefaultHeldBytes)
			body, response, err := exchange(t, pool, call(address, "1"))
			if err == nil {
				t.Errorf("head cut after %d bytes: response %+v, body %q", length, response, body)
			}
			pool.Close()
		}
	}
}
