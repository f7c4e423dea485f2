package e2e

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"testing"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// runLogs reads the log files of the targets, which outlive their processes, and returns each run once, as it started.
func runLogs(t *testing.T, f *fleet.Fleet, targets []string) []backend.Run {
	t.Helper()
	var started []backend.Run
	for _, name := range targets {
		for _, run := range runLog(t, f.RunLog(name)) {
			if run.Kind == "run" && run.Outcome == backend.Running {
				started = append(started, run)
			}
		}
	}
	return started
}

func runLog(t *testing.T, path string) []backend.Run {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	var runs []backend.Run
	for {
		var run backend.Run
		err := decoder.Decode(&run)
		// A killed process may leave half a line.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return runs
		}
		if err != nil {
			t.Fatal(err)
		}
		runs = append(runs, run)
	}
}
