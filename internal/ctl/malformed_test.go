package ctl

import (
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp/stricthttptest"
)

// Guards against a malformed response of a daemon that a command prints as its state.
func TestMalformedResponsesOfDaemons(t *testing.T) {
	call := func(address string) error { return getAdmin(address, "/status", &struct{}{}) }
	stricthttptest.ExpectErrors(t, stricthttptest.Malformed("", `{"Name":"gate-1"}`), call)
	stricthttptest.ExpectSuccess(t, stricthttptest.WellFormed("", `{"Name":"gate-1"}`), call)
}
