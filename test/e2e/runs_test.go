package e2e

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// logOf returns what a target ran, by its own log.
func logOf(t *testing.T, f *fleet.Fleet, name string) []backend.Run {
	t.Helper()
	response, err := http.Get(f.URL(name) + "/standin/log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	var runs []backend.Run
	for {
		var run backend.Run
		err := decoder.Decode(&run)
		if errors.Is(err, io.EOF) {
			return runs
		}
		if err != nil {
			t.Fatal(err)
		}
		runs = append(runs, run)
	}
}

// startsOf returns when a target started its runs.
func startsOf(t *testing.T, f *fleet.Fleet, name string) []time.Time {
	t.Helper()
	var starts []time.Time
	for _, run := range logOf(t, f, name) {
		starts = append(starts, time.UnixMilli(run.StartMS))
	}
	return starts
}

// runsOf returns how often the services ran a call with the body.
func runsOf(t *testing.T, f *fleet.Fleet, body string) int {
	t.Helper()
	count := 0
	for _, service := range f.Names("service") {
		for _, run := range logOf(t, f, service) {
			if run.Body == body {
				count++
			}
		}
	}
	return count
}
