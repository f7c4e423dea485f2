// Package rig starts a small deployment for the scripts of the review: routers as separate processes with the command of
// the deploy file, a stand-in of the platform's store, and stand-ins of replicas and clients in the script's own process.
//
// All addresses are loopback addresses. Everything that a script starts ends with it.
package rig

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthlb/amaranthlb/platform/platformtest"
	"github.com/amaranthlb/amaranthlb/standin/loopback"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

const (
	routerProgram = "target/amaranth-router"
	// playLimit ends a script that hangs.
	playLimit = 110 * time.Second
	// startLimit bounds the wait for the routers to be ready.
	startLimit = 15 * time.Second
	// Host is the host of all routes, Key the API key of the only customer.
	Host = "spares.example"
	Key  = "n2ctnfzs989anu6wsjnb"
	// Customer is the name of the customer that has the key.
	Customer = "hule930"
)

// Rig is a running deployment.
type Rig struct {
	// Trouble is false if the script plays without its disruption.
	Trouble bool
	Store   *platformtest.Store
	Routers []*Router

	directory string
	address   string
	version   uint64

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// Router is a router process.
type Router struct {
	Name  string
	Front string

	ready    string
	settings string
	log      string
	command  *exec.Cmd
	ended    chan struct{}
}

// Main plays a script and exits with its result. The first argument of the program is the path of the record.
func Main(routers int, play func(*Rig) (broken bool, err error)) {
	os.Exit(run(routers, play))
}

func run(routers int, play func(*Rig) (bool, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM RECORD")
		return NotRun
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", directory: directory, start: time.Now()}
	if r.record, err = os.Create(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = r.record.Close() }()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := r.play(routers, play)
		done <- result{broken, err}
	}()
	defer r.stop()
	select {
	case end := <-done:
		switch {
		case end.err != nil:
			r.Note("the case could not run: %v", end.err)
			return NotRun
		case end.broken:
			return Broken
		}
		return Held
	case <-time.After(playLimit):
		r.Note("the case could not run: it did not end in time")
		return NotRun
	}
}

func (r *Rig) play(routers int, play func(*Rig) (bool, error)) (bool, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return false, err
	}
	r.address = listener.Addr().String()
	r.Store = platformtest.NewStore()
	go func() { _ = http.Serve(listener, r.Store) }() // ends with the process
	seed := ""
	for i := range routers {
		router, err := r.newRouter(i, &seed)
		if err != nil {
			return false, err
		}
		r.Routers = append(r.Routers, router)
	}
	return play(r)
}

// Note writes a line to the record and to standard output.
func (r *Rig) Note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Print(line)
	_, _ = r.record.WriteString(line) // the exit code holds the result
}

// Log writes a line to the record only.
func (r *Rig) Log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Route is one route of the configuration.
type Route struct {
	Name, Kind, Service   string
	TimeoutMS, MaxTargets int
	Resumable             bool
}

// Configure writes a new version of the configuration. Services maps the name of each service to the fields of its entry.
func (r *Rig) Configure(list []Route, services map[string]map[string]any) {
	r.version += 2
	var routes, serviceList []any
	for _, route := range list {
		routes = append(routes, map[string]any{
			"name": route.Name, "host": Host, "prefix": "/" + route.Name + "/", "kind": route.Kind, "service": route.Service,
			"timeout-ms": route.TimeoutMS, "target-latency-ms": 200, "priority": 1, "max-attempts": route.MaxTargets,
			"public": false, "affinity": route.Kind == "stream", "resumable": route.Resumable, "gap-aim-ms": 250,
		})
	}
	for name, fields := range services {
		entry := map[string]any{"name": name, "health-path": "/healthz", "protocol": "h1", "tls": false}
		for key, value := range fields {
			entry[key] = value
		}
		serviceList = append(serviceList, entry)
	}
	r.Store.Put("op/config", map[string]any{
		"version": r.version, "routes": routes, "services": serviceList,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{"name": Customer, "api-keys": []string{Key}, "priority": 1}},
	})
}

// Entry describes the entry of a replica in the store.
type Entry struct {
	ID, Service, Address, State string
	Slots                       int
	Born                        int64
	Seq                         int
}

// List writes the entry of a replica.
func (r *Rig) List(entry Entry) {
	r.Store.Put("servers/"+entry.ID, map[string]any{
		"service": entry.Service, "addr": entry.Address, "zone": "santiago-a", "version": "v1", "slots": entry.Slots,
		"state": entry.State, "cold-left-ms": 0, "seq": entry.Seq, "born": entry.Born,
	})
}

func (r *Rig) newRouter(number int, seed *string) (*Router, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	if *seed == "" {
		*seed = addresses[2]
	}
	_, port, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-santiago-a-%d", number+1)
	text := strings.NewReplacer(
		"NAME", name, "PORT", port, "SEED", *seed, "FRONT", addresses[0], "READY", addresses[1], "CONTROL", addresses[2], "STORE", r.address,
	).Replace(settingsTemplate)
	router := &Router{
		Name: name, Front: addresses[0], ready: addresses[1],
		settings: filepath.Join(r.directory, name+".toml"), log: filepath.Join(r.directory, name+".log"),
	}
	return router, os.WriteFile(router.settings, []byte(text), 0o600)
}

// settingsTemplate is the settings file of the platform's page for the smaller site, with the addresses of this run.
const settingsTemplate = `node = "NAME"
role = "router"
class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "santiago-a"
region = "santiago"
port-range = [PORT, PORT]
seeds = ["SEED"]
bootstrap = true
counts-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
santiago-a = "santiago"
[listen]
front = "FRONT"
ready = "READY"
control = "CONTROL"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
sync-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
skew-max-ms = 5000
strict-revoke = false
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 54
recover-s = 12
pass-ms = 120
again-s = 10
cap-x = 2
[platform]
addr = "STORE"
form = "read"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`

// StartRouters starts all routers and waits until they are ready.
func (r *Rig) StartRouters() error {
	for _, router := range r.Routers {
		if err := router.Start(); err != nil {
			return err
		}
	}
	for _, router := range r.Routers {
		if err := router.waitReady(); err != nil {
			return err
		}
	}
	r.Note("%d routers are ready", len(r.Routers))
	return nil
}

// Start starts the process.
func (p *Router) Start() error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(routerProgram)
	command.Env = append(os.Environ(), "AMARANTHLB_BOOT="+p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.ended = command, make(chan struct{})
	go func() {
		_ = command.Wait() // the end is all that matters
		close(p.ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Router) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Times of a restart by the platform: grace-s, and the delay before the process is started again.
const (
	stopGrace    = 8 * time.Second
	restartDelay = 500 * time.Millisecond
)

// Restart stops the process as the platform does, and starts it again. It is not the first start of the fleet any more.
func (p *Router) Restart() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(stopGrace):
		if err := p.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-p.ended
	}
	settings, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	settings = bytes.ReplaceAll(settings, []byte("bootstrap = true"), []byte("bootstrap = false"))
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	if err := p.Start(); err != nil {
		return err
	}
	return p.waitReady()
}

// LogLines returns the lines of the process's log that contain all of the texts.
func (p *Router) LogLines(texts ...string) []string {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(content)) {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

func (p *Router) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + p.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.Name, startLimit)
}

// stop ends all router processes.
func (r *Rig) stop() {
	for _, router := range r.Routers {
		if router.command == nil {
			continue
		}
		_ = router.command.Process.Kill() // it may have ended already
		select {
		case <-router.ended:
		case <-time.After(2 * time.Second):
		}
	}
}

// Listen returns a listener for a stand-in.
func Listen() (net.Listener, error) { return loopback.Listen() }

// NewRequest returns a client's request with the headers of the platform's pages.
func NewRequest(method string, router *Router, path, id string, deadline time.Duration) (*http.Request, error) {
	request, err := http.NewRequest(method, "http://"+router.Front+path, nil)
	if err != nil {
		return nil, err
	}
	request.Host = Host
	request.Header.Set("Amaranthlb-Request-Id", id)
	request.Header.Set("Amaranthlb-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+Key)
	return request, nil
}
