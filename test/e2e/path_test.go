package e2e

import (
	"net/http"
	"testing"

	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// Guards against a path on which a streamed answer is altered, short or without its end.
func TestStreamedAnswerIsExact(t *testing.T) {
	f := start(t, fleet.Default())
	body := chatBody("name a rose", 40, true)
	want, err := engine.Answer(body)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range f.Names("entry") {
		got := send(http.MethodPost, f.URL(entry)+"/v1/chat/completions", "rose", nil, body)
		text, done := streamText(got.body)
		if got.status != http.StatusOK || !done || text != want {
			t.Fatalf("through %s: status %d, done %v, text %q, want %q\n%s", entry, got.status, done, text, want, got.body)
		}
		if got.header.Get("Amaranth-Placement") == "" {
			t.Fatal("the answer has no placement token")
		}
	}
}

// Guards against bad callers reaching a target.
func TestBadRequestsAreRefusedByField(t *testing.T) {
	f := start(t, fleet.Default())
	entry := f.URL(f.Names("entry")[0])
	cases := []struct {
		name     string
		method   string
		path     string
		customer string
		body     string
		status   int
		code     string
	}{
		{"unknown customer", "POST", "/v1/chat/completions", "nobody", "{}", 401, "unknown_customer"},
		{"not JSON", "POST", "/v1/chat/completions", "rose", "{", 400, "bad_request"},
		{"no model", "POST", "/v1/chat/completions", "rose", `{"messages":[{}]}`, 400, "bad_request"},
		{"no messages", "POST", "/v1/chat/completions", "rose", `{"model":"assistant"}`, 400, "bad_request"},
		{"unknown model", "POST", "/v1/chat/completions", "rose", `{"model":"m","messages":[{}]}`, 404, "unknown_pool"},
		{"unknown service", "POST", "/v1/services/none/x", "rose", "{}", 404, "unknown_pool"},
		{"hidden path", "POST", "/v1/services/orders//submit", "rose", "{}", 400, "bad_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := send(c.method, entry+c.path, c.customer, nil, []byte(c.body))
			code, ran := got.errorCode()
			if got.status != c.status || code != c.code || ran != "no" {
				t.Fatalf("got status %d, code %q, ran %q: %s", got.status, code, ran, got.body)
			}
		})
	}
}
