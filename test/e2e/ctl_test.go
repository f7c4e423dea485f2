package e2e

import (
	"encoding/json"
	"errors"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// amaranthctl runs a command with --json and returns its exit code.
func amaranthctl(t *testing.T, into any, args ...string) int {
	t.Helper()
	output, err := exec.Command(filepath.Join(binaries, "amaranthctl"), append(args, "--json")...).Output()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		t.Fatal(err)
	}
	if err := json.Unmarshal(output, into); err != nil {
		t.Fatalf("%v: %v: %s", args, err, output)
	}
	if failed != nil {
		return failed.ExitCode()
	}
	return 0
}

func adminOf(f *fleet.Fleet, name string) string {
	return strings.TrimPrefix(f.AdminURL(name), "http://")
}

// Guards against a status that leaves out a target or misses a lost daemon, and against an explanation that differs
// from what the entry does with the same request.
func TestOperatorsSeeTheFleet(t *testing.T) {
	f := start(t, fleet.Default())
	args := []string{"status", "--admin"}
	for _, name := range append(f.Names("gate"), f.Names("entry")...) {
		args = append(args, adminOf(f, name))
	}
	var status struct {
		Daemons []struct{ Targets []struct{ Target string } }
	}
	if code := amaranthctl(t, &status, args...); code != 0 {
		t.Errorf("status exits with %d", code)
	}
	targets := 0
	for _, daemon := range status.Daemons {
		targets += len(daemon.Targets)
	}
	if want := len(f.Names("engine")) + len(f.Names("service")); targets != want {
		t.Errorf("status lists %d owned targets, want %d", targets, want)
	}
	time.Sleep(time.Second)
	var explained struct{ Choice, Why string }
	if code := amaranthctl(t, &explained, "explain", "--admin", adminOf(f, "entry-a1"), "--pool", fleet.ModelPool, "--chat", "c1", "--customer", "rose"); code != 0 {
		t.Errorf("explain exits with %d", code)
	}
	got := send(http.MethodPost, f.URL("entry-a1")+"/v1/chat/completions", "rose", map[string]string{"Amaranth-Chat": "c1"}, chatBody("hello", 5, false))
	if got.status != http.StatusOK {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	if starts := startsOf(t, f, explained.Choice); len(starts) != 1 {
		t.Errorf("%s (%s) is explained as the choice, but ran %d requests", explained.Choice, explained.Why, len(starts))
	}
	f.Kill("gate-a1")
	if code := amaranthctl(t, &status, args...); code != 1 {
		t.Errorf("status exits with %d although a gate is gone", code)
	}
}
