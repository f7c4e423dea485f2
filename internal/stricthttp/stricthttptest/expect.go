package stricthttptest

import (
	"maps"
	"slices"
	"testing"
)

// ExpectErrors makes a call to a server for each response. The call has to fail.
func ExpectErrors(t *testing.T, responses map[string]string, call func(address string) error) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(responses)) {
		if err := call(ServeText(t, responses[name])); err == nil {
			t.Errorf("%s: the client accepted the response %q", name, responses[name])
		}
	}
}

// ExpectSuccess makes a call to a server for each response. The call has to succeed.
func ExpectSuccess(t *testing.T, responses map[string]string, call func(address string) error) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(responses)) {
		if err := call(ServeText(t, responses[name])); err != nil {
			t.Errorf("%s: the client rejected the response %q: %v", name, responses[name], err)
		}
	}
}
