package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, config Config) *Server {
	t.Helper()
	p := New(config)
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = p.Close()
	})
	return p
}

func get(p *Server, path string) (status int, body, revision string) {
	answer, err := http.Get("http://" + p.Address() + path)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), answer.Header.Get(headerRevision)
}

// Guards against a configuration service whose answers differ from the stated protocol, or that lets
// more through than its read budget.
func TestConfigReads(t *testing.T) {
	p := start(t, Config{ReadsPerSecond: 5, Documents: map[string][]byte{"catalogue": []byte("one")}})
	for _, test := range []struct {
		path, body, revision string
		status               int
	}{
		{"/v1/config/catalogue", "one", "1", 200},
		{"/v1/config/catalogue?after=0", "one", "1", 200},
		{"/v1/config/catalogue?after=1&wait=0.01", "", "", 304},
		{"/v1/config/other", "", "", 404},
		{"/v1/config/catalogue?after=x", "", "", 400},
		{"/v1/config/catalogue", "", "", 429},
	} {
		status, body, revision := get(p, test.path)
		if status != test.status || (test.body != "" && body != test.body) || revision != test.revision {
			t.Errorf("%s: status %d, body %q, revision %q", test.path, status, body, revision)
		}
	}
	if reads := p.Reads(); reads.Config != 5 || reads.Refused != 1 {
		t.Errorf("reads %+v, want 5 and 1 refused", reads)
	}
}

// Guards against a watch that misses a change, shows it while stale, or hangs while the platform is down.
func TestWatchAndModes(t *testing.T) {
	lag := 100
	for _, test := range []struct {
		name string
		mode Mode
		// least and most bound the time until the watch ends.
		least, most time.Duration
		status      int
	}{
		{"change", Mode{}, 0, 80 * time.Millisecond, 200},
		{"lag", Mode{VMLagMS: &lag}, 100 * time.Millisecond, 250 * time.Millisecond, 200},
		{"stale", Mode{StaleVMs: true}, 300 * time.Millisecond, 600 * time.Millisecond, 304},
		{"down", Mode{Down: true}, 0, 80 * time.Millisecond, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := start(t, Config{VMs: []VM{{Name: "a"}}})
			p.SetMode(test.mode)
			begin := time.Now()
			timer := time.AfterFunc(10*time.Millisecond, func() { p.SetVMs([]VM{{Name: "b"}}) })
			defer timer.Stop()
			status, body, _ := get(p, "/v1/vms?after=1&wait=0.3")
			took := time.Since(begin)
			if status != test.status || took < test.least || took > test.most {
				t.Errorf("status %d after %v, want %d within %v to %v", status, took, test.status, test.least, test.most)
			}
			if status == 200 && !strings.Contains(body, `"revision":2,"vms":[{"name":"b"`) {
				t.Errorf("body %s", body)
			}
		})
	}
}

// Guards against a balancer that sends new connections to an entry that is not ready, or to one only.
func TestBalancerUsesReadyEntries(t *testing.T) {
	var entries []VM
	for i := range 3 {
		status := http.StatusOK
		if i == 2 {
			status = http.StatusServiceUnavailable
		}
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/readyz" {
				w.WriteHeader(status)
				return
			}
			_, _ = fmt.Fprintf(w, "entry%d", i)
		}))
		t.Cleanup(entry.Close)
		address := entry.Listener.Addr().String()
		entries = append(entries, VM{Name: fmt.Sprint(i), Role: "entry", State: "live", Address: address, Probe: address})
	}
	p := start(t, Config{VMs: entries, BalancerAddress: "127.0.0.1:0"})
	waitReady(t, p)
	counts := map[string]int{}
	for range 10 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err := client.Get("http://" + p.BalancerAddress() + "/")
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		counts[string(text)]++
	}
	if counts["entry0"] != 5 || counts["entry1"] != 5 {
		t.Errorf("connections %v, want five each at the two ready entries", counts)
	}
}

// waitReady waits until the balancer has probed its entries.
func waitReady(t *testing.T, p *Server) {
	t.Helper()
	for range 100 {
		if len(p.balancer.order()) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no entry became ready")
}

// Guards against a balancer that drops a connection without any ready entry by hanging.
func TestBalancerWithoutEntries(t *testing.T) {
	p := start(t, Config{BalancerAddress: "127.0.0.1:0"})
	conn, err := net.Dial("tcp", p.BalancerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read: %v, want a closed connection", err)
	}
}
