// Package stage starts router processes beside stand-ins for the platform's store and for replicas, and records what
// clients send and get and what replicas run. The cases of this review use it.
package stage

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Names in the configuration of a case.
const (
	Host = "shop.example"
	Key  = "k1aaaaaaaaaaaaaaaaaa"
	// OtherKey belongs to another tenant.
	OtherKey = "k2bbbbbbbbbbbbbbbbbb"
)

// readyTimeout bounds the wait for a router to become ready.
const readyTimeout = 15 * time.Second

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// OpenRecord creates the record in the folder of the case.
func OpenRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file}, nil
}

// Line writes a line with the time in milliseconds since the start.
func (r *Record) Line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, arguments...))
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }

// Store is a stand-in for the platform's store.
type Store struct {
	*platformtest.Store
	listener net.Listener
}

// StartStore serves a store on loopback.
func StartStore() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &Store{Store: platformtest.NewStore(), listener: listener}
	store.Address = listener.Addr().String()
	go func() { _ = http.Serve(listener, store) }() // ends with the process
	return store, nil
}

// Route returns a route of a configuration.
func Route(name, kind, service string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout-ms": timeout.Milliseconds(), "max-attempts": attempts, "target-latency-ms": 200, "priority": 2,
	}
}

// Configure writes a configuration with two tenants.
func (s *Store) Configure(version int, services []string, routes ...map[string]any) {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health-path": "/healthz", "max-conns": 360})
	}
	s.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
		"tenants": []any{
			map[string]any{"name": "one", "api-keys": []string{Key}},
			map[string]any{"name": "two", "api-keys": []string{OtherKey}},
		},
	})
}

// List writes the entry of a replica.
func (s *Store) List(id, service, address, state string, sequence int) {
	s.Put("servers/"+id, map[string]any{
		"service": service, "addr": address, "zone": "zone-a", "version": "v1", "slots": 64, "state": state,
		"cold-left-ms": 0, "seq": sequence, "born": time.Now().UnixMilli(),
	})
}

// Router is a router process.
type Router struct {
	Name, Front, Ready, Control string
	command                     *exec.Cmd
	ended                       chan struct{}
}

// StartRouter starts a router as the deploy file says, in the present folder, which is the top of the repository. Its log
// goes to a file in the temporary folder.
func StartRouter(temporary, name string, store *Store, memoryMB, descriptors int, seeds ...string) (*Router, error) {
	r := &Router{Name: name, ended: make(chan struct{})}
	var ports []string
	for range 4 {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		ports = append(ports, address)
	}
	r.Front, r.Ready, r.Control = ports[0], ports[1], ports[2]
	metrics := ports[3][strings.LastIndexByte(ports[3], ':')+1:]
	var quoted []string
	for _, seed := range append(seeds, r.Control) {
		quoted = append(quoted, strconv.Quote(seed))
	}
	settings := fmt.Sprintf(`node = %q
role = "router"
class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region"
port-range = [%s,%s]
seeds = [%s]
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = %d
max-fds = %d
link-mbps = 1000.0
disk-mb = 0
[bounds]
stable-window-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 54
cap-x = 2
[platform]
addr = %q
form = "read"
reads-per-s = 2000
history-s = 20
`, name, metrics, metrics, strings.Join(quoted, ","), r.Front, r.Ready, r.Control, memoryMB, descriptors, store.Address)
	path := filepath.Join(temporary, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(temporary, name+".log"))
	if err != nil {
		return nil, err
	}
	r.command = exec.Command("target/amaranth-router")
	r.command.Env = append(os.Environ(), "AMARANTHLB_BOOT="+path)
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = r.command.Wait() // the case looks at its end only
		_ = log.Close()
		close(r.ended)
	}()
	for end := time.Now().Add(readyTimeout); !r.IsReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			r.Kill()
			return nil, errors.New("router " + name + " did not become ready")
		}
	}
	return r, nil
}

// probe asks for readiness on a new connection each time, as the platform may.
var probe = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

// IsReady reports whether the router says that it is ready.
func (r *Router) IsReady() bool {
	response, err := probe.Get("http://" + r.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Running reports whether the process runs.
func (r *Router) Running() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// Ended is closed when the process has ended.
func (r *Router) Ended() <-chan struct{} { return r.ended }

// Signal sends a signal to the process.
func (r *Router) Signal(signal syscall.Signal) { _ = r.command.Process.Signal(signal) }

// Kill ends the process and waits for its end.
func (r *Router) Kill() {
	_ = r.command.Process.Kill()
	<-r.ended
}

// PeakMemoryMB returns the largest resident memory of the process so far, in MB.
func (r *Router) PeakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1]) // 0 if it is malformed
			return kilobytes >> 10
		}
	}
	return 0
}

// FreeAddress returns a loopback address with an unused port.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Replica is a stand-in for a replica. It runs every request that has an ID and expects no other replica.
type Replica struct {
	ID, Address string
	record      *Record
	// work is how long a run takes.
	work time.Duration

	server *http.Server

	mu   sync.Mutex
	runs []Run
}

// Run is a request that a replica has begun to run.
type Run struct {
	ID string
	At time.Time
}

// StartReplica serves a replica on loopback.
func StartReplica(record *Record, id string, work time.Duration) (*Replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica := &Replica{ID: id, Address: listener.Addr().String(), record: record, work: work}
	replica.server = &http.Server{Handler: replica}
	go func() { _ = replica.server.Serve(listener) }() // ends with the process or with Exit
	return replica, nil
}

// Exit ends the replica: its listener and its connections close.
func (p *Replica) Exit() { _ = p.server.Close() }

// Runs returns what the replica has run.
func (p *Replica) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.runs)
}

// Ran reports whether the replica has begun to run the request.
func (p *Replica) Ran(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.runs, func(r Run) bool { return r.ID == id })
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if strings.HasPrefix(r.URL.Path, "/-/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := r.Header.Get("Amaranthlb-Request-Id")
	if id == "" {
		header.Set("Amaranthlb-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set("Amaranthlb-Request-Id", id)
	if expected := r.Header.Get("Amaranthlb-Expect-Replica"); expected != "" && expected != p.ID {
		header.Set("Amaranthlb-Replica-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, Run{id, time.Now()})
	p.mu.Unlock()
	p.record.Line("replica %s runs %s %s %s", p.ID, id, r.Method, r.RequestURI)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		p.record.Line("replica %s: the connection of %s has closed during the run", p.ID, id)
		return
	}
	header.Set("Amaranthlb-Replica-Seal", "seal."+p.ID+"."+id)
	body := "answer to " + id + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // the caller may be gone
	p.record.Line("replica %s has answered %s", p.ID, id)
}

// Connection is a client's connection, which it keeps for several requests.
type Connection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Connect opens a connection to a router.
func Connect(address string) (*Connection, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Call sends a request with Key and waits for its complete answer. An empty ID leaves out the header.
func (c *Connection) Call(method, path, id, body string, wait time.Duration) (Answer, error) {
	return c.CallAs(Key, method, path, id, body, wait)
}

// CallAs is Call with another key.
func (c *Connection) CallAs(key, method, path, id, body string, wait time.Duration) (Answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(wait + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAmaranthlb-Deadline: %d\r\nAuthorization: Bearer %s\r\n", method, path, Host, wait.Milliseconds(), key)
	if id != "" {
		fmt.Fprintf(&head, "Amaranthlb-Request-Id: %s\r\n", id)
	}
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head.String()+"\r\n"+body); err != nil {
		return Answer{}, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	content, err := io.ReadAll(response.Body)
	return Answer{response.StatusCode, response.Header, string(content)}, err
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.conn.Close() }
