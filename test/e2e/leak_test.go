package e2e

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/amaranthlb/amaranthlb/internal/entry"
	"github.com/amaranthlb/amaranthlb/internal/gate"
	"github.com/amaranthlb/amaranthlb/internal/settings"
	"github.com/amaranthlb/amaranthlb/standin/platform"
)

// Guards against goroutines that are left after a graceful stop of either daemon.
func TestDrainLeavesNoGoroutine(t *testing.T) {
	existing := goleak.IgnoreCurrent()
	ports := freePorts(t, 4)
	p := platform.New(platform.Config{
		ReadsPerSecond: 2000,
		VMs:            []platform.VM{{Name: "gate-a1", Address: ports[0], Zone: "a", Role: "gate", State: "live"}},
		Documents:      map[string][]byte{"catalogue": []byte("revision: 1\n")},
	})
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	gateFile := writeSettings(t, directory, "gate-a1", ports[0], ports[1], p.Address())
	entryFile := writeSettings(t, directory, "entry-a1", ports[2], ports[3], p.Address())
	stopGate := runGate(t, gateFile)
	stopEntry := runEntry(t, entryFile)
	waitReady(t, ports[1])
	waitReady(t, ports[3])
	stopEntry()
	stopGate()
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, existing)
}

func freePorts(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

func writeSettings(t *testing.T, directory, name, listen, admin, platformAddress string) string {
	t.Helper()
	key := filepath.Join(directory, "fleet.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("k", 40)), 0o600); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(directory, name+".yaml")
	content := "name: " + name + "\nzone: a\nlisten: " + listen + "\nadmin: " + admin +
		"\nfleet_key_files: [" + key + "]\nplatform: {address: 'http://" + platformAddress + "'}\n"
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func quietLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func runGate(t *testing.T, file string) (stop func()) {
	t.Helper()
	s, err := settings.LoadGate(file)
	if err != nil {
		t.Fatal(err)
	}
	daemon, err := gate.New(s, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	return runDaemon(t, daemon.Run)
}

func runEntry(t *testing.T, file string) (stop func()) {
	t.Helper()
	s, err := settings.LoadEntry(file)
	if err != nil {
		t.Fatal(err)
	}
	daemon, err := entry.New(s, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	return runDaemon(t, daemon.Run)
}

// runDaemon runs a daemon in this process; stop drains it and waits for its end.
func runDaemon(t *testing.T, run func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	return func() {
		cancel()
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(startLimit):
			t.Error("the daemon did not stop")
		}
	}
}

func waitReady(t *testing.T, admin string) {
	t.Helper()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + admin + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s is not ready", admin)
}
