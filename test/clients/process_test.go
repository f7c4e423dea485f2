// Package clients tests router processes under load from clients that do not keep to the limits.
//
// The tests run one at a time. Each load is bounded in count and time. A test checks that the process is still running,
// that its resident memory and its open descriptors stayed below what the VM of the settings has, and that an ordinary
// request is answered afterwards.
package clients

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// The VM and the limits in the tests' settings and configuration.
const (
	// memoryMB is the VM's memory, in units of 2^20 bytes. It is the bound on a router's resident memory.
	memoryMB = 64
	// maxBodyBytes and maxHeadBytes are the configuration's limits of one request, in bytes.
	maxBodyBytes = 1 << 20
	maxHeadBytes = 16 << 10
	// waitLimit bounds each wait for a router, far above what it needs.
	waitLimit = 20 * time.Second
)

var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the ordinary binary: the race detector would multiply its memory.
func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "clients")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary = filepath.Join(directory, "amaranth-router")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/amaranth-router")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the router:", err)
		return 1
	}
	return m.Run()
}

// router is a router process and the VM's limit of descriptors.
type router struct {
	t                               *testing.T
	front, ready, control, settings string
	descriptors                     int
	command                         *exec.Cmd
	ended                           chan struct{}
	log                             string
}

// startRouter starts a router that serves one plain service, and waits until it is ready. The descriptor limit holds for
// the process and is stated in its settings.
func startRouter(t *testing.T, descriptors int) *router {
	t.Helper()
	store := platformtest.StartStore(t)
	store.Put(platform.ConfigKey, map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "look", "host": platformtest.Host, "prefix": "/look/", "kind": "safe", "service": "app", "timeout-ms": 8000, "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "app", "max-conns": 100}},
		"limits":   map[string]any{"max-header-bytes": maxHeadBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	target := platformtest.StartTarget(t, "app-0", func(*http.Request) platformtest.Behavior { return platformtest.Behavior{} })
	store.Put(platform.TargetPrefix+"app-0", target.Entry("app", "ready"))
	directory := t.TempDir()
	r := &router{
		t: t, front: platformtest.FreeAddress(t), ready: platformtest.FreeAddress(t), control: platformtest.FreeAddress(t),
		settings: filepath.Join(directory, "vm.toml"), descriptors: descriptors, ended: make(chan struct{}), log: filepath.Join(directory, "vm.log"),
	}
	metrics := platformtest.FreeAddress(t)
	port := metrics[strings.LastIndex(metrics, ":")+1:]
	text := fmt.Sprintf("node = \"vm\"\nzone = \"a\"\nip = \"127.0.0.1\"\nport-range = [%s, %s]\n[listen]\nfront = %q\nready = %q\ncontrol = %q\n[limits]\nmemory-mb = %d\nmax-fds = %d\n[platform]\naddr = %q\n",
		port, port, r.front, r.ready, r.control, memoryMB, descriptors, store.Address)
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := os.Create(r.log)
	if err != nil {
		t.Fatal(err)
	}
	r.command = exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), binary, "--settings", r.settings)
	r.command.Stdout, r.command.Stderr = output, output
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = r.command.Wait() // the exit code is read from the state
		_ = output.Close()
		close(r.ended)
	}()
	t.Cleanup(func() {
		_ = r.command.Process.Kill() // fails only if the process has ended
		<-r.ended
	})
	if !r.answers() {
		t.Fatal("the router did not answer at the start")
	}
	return r
}

// answers reports whether an ordinary request is answered within the wait limit. Refusals are retried.
func (r *router) answers() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	for end := time.Now().Add(waitLimit); time.Now().Before(end) && r.running(); time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodPost, "http://"+r.front+"/look/", strings.NewReader("ordinary body"))
		if err != nil {
			r.t.Fatal(err)
		}
		platformtest.Caller{ID: "ordinary", Wait: 2 * time.Second}.Apply(request)
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (r *router) running() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// check checks the process during the load, then ends the load, and checks that the router serves again.
func (r *router) check(endLoad func()) {
	r.t.Helper()
	defer func() {
		if r.t.Failed() {
			log, _ := os.ReadFile(r.log) // a missing log is shown as empty
			r.t.Logf("end of the log: %s", log[max(0, len(log)-2000):])
		}
	}()
	if r.running() {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.command.Process.Pid))
		if err != nil {
			r.t.Error(err)
		}
		r.t.Logf("open descriptors: %d, limit %d", len(open), r.descriptors)
		if len(open) >= r.descriptors {
			r.t.Errorf("%d descriptors are open, the VM has %d", len(open), r.descriptors)
		}
	}
	endLoad()
	answered := r.answers()
	if !r.running() {
		r.t.Fatalf("the process has ended: %v", r.command.ProcessState)
	}
	if !answered {
		r.t.Error("an ordinary request was not answered after the load")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		r.t.Fatal(err)
	}
	peak, err := strconv.Atoi(string(peakMemory.FindSubmatch(status)[1]))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Logf("largest resident memory: %d MB, limit %d", peak>>10, memoryMB)
	if peak>>10 >= memoryMB {
		r.t.Errorf("resident memory reached %d MB, the VM has %d", peak>>10, memoryMB)
	}
}
