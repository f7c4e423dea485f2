package service

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a run that is missing from the log or the records because its caller got no answer. The at-most-once
// tests count runs there.
func TestRunsAreLogged(t *testing.T) {
	for _, test := range []struct {
		name            string
		faults          backend.Faults
		answered        bool
		outcome, record string
	}{
		{"answered", backend.Faults{}, true, backend.Done, backend.Done},
		{"cut", backend.Faults{CutAfterEvents: 1}, false, backend.Done, backend.Done},
		{"crashed", backend.Faults{CrashOn: "rose"}, false, backend.Crashed, "absent"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{RunTime: time.Millisecond})
			if err := s.Start("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			defer http.DefaultClient.CloseIdleConnections()
			s.Faults().Set(test.faults)
			body := `{"name":"rose"}`
			request, _ := http.NewRequest("POST", "http://"+s.Address()+"/names/new", strings.NewReader(body))
			request.Header.Set(backend.HeaderRequestID, "r1")
			answer, err := http.DefaultClient.Do(request)
			if (err == nil) != test.answered {
				t.Fatalf("answer %v, error %v", answer, err)
			}
			if err == nil {
				text, _ := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				if err := Check(text, "POST", "/names/new", []byte(body)); err != nil {
					t.Error(err)
				}
			}
			runs := s.Runs().All()
			if len(runs) != 1 || runs[0].Outcome != test.outcome || runs[0].Body != body {
				t.Errorf("runs %+v, want one with outcome %s", runs, test.outcome)
			}
			if record := s.Records.Get("r1"); record.State != test.record {
				t.Errorf("record %+v, want %s", record, test.record)
			}
		})
	}
}
