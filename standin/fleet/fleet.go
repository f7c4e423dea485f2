package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/standin/loopback"
)

const (
	startLimit = 20 * time.Second
	killLimit  = 5 * time.Second
	pollPause  = 50 * time.Millisecond
	platformID = "platform"
	linkID     = "link"
	fleetKey   = "demo-fleet-key-demo-fleet-key-demo-fleet-key-"
)

// Fleet is a running system.
type Fleet struct {
	spec      Spec
	binaries  string
	directory string
	nodes     map[string]*node
	order     []*node
	processes map[string]*process
	catalogue catalogue.Catalogue
	platform  string
	link      string
	// Balancer is the address of the platform's balancer.
	Balancer string
}

// Start starts a fleet with the binaries of a folder; settings and logs go to the directory. It returns when every
// daemon is ready.
func Start(spec Spec, binaries, directory string) (*Fleet, error) {
	f := &Fleet{
		spec:      spec,
		binaries:  binaries,
		directory: directory,
		nodes:     make(map[string]*node),
		order:     spec.nodes(),
		processes: make(map[string]*process),
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.assignAddresses(); err != nil {
		return err
	}
	if err := f.write("fleet.key", []byte(fleetKey)); err != nil {
		return err
	}
	if err := f.firstCatalogue(); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	if f.spec.ThroughLinks {
		if err := f.startLinks(); err != nil {
			return err
		}
	}
	for _, n := range f.order {
		if err := f.StartNode(n.name); err != nil {
			return err
		}
	}
	return f.WaitReady(startLimit)
}

func (f *Fleet) assignAddresses() error {
	fields := []*string{&f.platform, &f.Balancer, &f.link}
	for i, n := range f.order {
		f.nodes[n.name] = n
		if n.external {
			continue
		}
		fields = append(fields, &n.address, &n.admin)
		if !f.spec.ThroughLinks || n.role != roleGate && n.role != roleEntry {
			continue
		}
		n.source = fmt.Sprintf("127.0.1.%d", i+1)
		fields = append(fields, &n.platform)
		if n.role == roleGate {
			fields = append(fields, &n.linked)
		}
	}
	return assign(fields...)
}

// assign finds a free loopback address for each field. The ports are held until all are chosen, so that they differ.
func assign(fields ...*string) error {
	for _, field := range fields {
		listener, err := loopback.Listen()
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*field = listener.Addr().String()
	}
	return nil
}

func (f *Fleet) write(name string, content []byte) error {
	return os.WriteFile(filepath.Join(f.directory, name), content, 0o600)
}

func (f *Fleet) path(name string) string { return filepath.Join(f.directory, name) }

func (f *Fleet) firstCatalogue() error {
	if f.spec.Document != nil {
		return f.documentCatalogue()
	}
	model, service := f.spec.Model, f.spec.Service
	for _, n := range f.order {
		t := catalogue.Target{Name: n.name, Address: n.address, Zone: f.spec.Zones[n.zone], Region: f.spec.region(n.zone)}
		switch n.role {
		case roleEngine:
			model.Targets = append(model.Targets, t)
		case roleService:
			service.Targets = append(service.Targets, t)
		}
	}
	f.catalogue = catalogue.Catalogue{Revision: 1, Customers: f.spec.Customers, Pools: []catalogue.Pool{model, service}}
	return nil
}

func (f *Fleet) documentCatalogue() error {
	addresses := make(map[string]string)
	for _, n := range f.order {
		addresses[n.name] = n.address
	}
	document, err := f.spec.Document(addresses)
	if err != nil {
		return err
	}
	parsed, err := catalogue.Parse(document)
	if err != nil {
		return err
	}
	f.catalogue = *parsed
	return nil
}

func (f *Fleet) startPlatform() error {
	document, err := yaml.Marshal(&f.catalogue)
	if err != nil {
		return err
	}
	if err := f.write("catalogue.yaml", document); err != nil {
		return err
	}
	list, err := json.Marshal(f.vmList(nil))
	if err != nil {
		return err
	}
	if err := f.write("vms.json", list); err != nil {
		return err
	}
	args := append([]string{
		"--listen", f.platform, "--balancer", f.Balancer,
		"--config", "catalogue=" + f.path("catalogue.yaml"), "--vms", f.path("vms.json"),
	}, f.spec.PlatformFlags...)
	if err := f.run(platformID, "standin-platform", args...); err != nil {
		return err
	}
	return f.poll("platform", startLimit, func() bool { return answers("http://" + f.platform + "/standin/reads") })
}

func (f *Fleet) startLinks() error {
	args := append([]string{"--control", f.link}, f.spec.LinkFlags...)
	for _, n := range f.order {
		if n.linked != "" {
			args = append(args, "--route", n.name+"="+n.linked+"="+n.address)
		}
		if n.platform != "" {
			args = append(args, "--route", platformRoute(n.name)+"="+n.platform+"="+f.platform)
		}
	}
	return f.run(linkID, "standin-link", args...)
}

// VM is one line of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Role    string `json:"role"`
	State   string `json:"state"`
	Probe   string `json:"probe,omitempty"`
}

type vmList struct {
	VMs []VM `json:"vms"`
}

// vmList returns the list with the states given; a state of "gone" leaves the VM out.
func (f *Fleet) vmList(states map[string]string) vmList {
	var list vmList
	for _, n := range f.order {
		state := "live"
		if s, ok := states[n.name]; ok {
			state = s
		}
		if state == "gone" {
			continue
		}
		vm := VM{Name: n.name, Address: n.public(), Zone: f.spec.Zones[n.zone], Region: f.spec.region(n.zone), Role: n.role, State: state}
		switch n.role {
		case roleEngine, roleService:
			vm.Role = roleTarget
		case roleEntry:
			vm.Probe = n.admin
		}
		list.VMs = append(list.VMs, vm)
	}
	return list
}

// StartNode starts the process of a node.
func (f *Fleet) StartNode(name string) error {
	n := f.nodes[name]
	if n.external {
		return nil
	}
	switch n.role {
	case roleEngine:
		return f.run(name, "standin-engine", f.targetFlags(n, f.engineFlags())...)
	case roleService:
		return f.run(name, "standin-service", f.targetFlags(n, f.spec.ServiceFlags)...)
	}
	if err := f.write(name+".yaml", []byte(f.settings(n))); err != nil {
		return err
	}
	return f.run(name, "amaranth-"+n.role, "--settings", f.path(name+".yaml"))
}

// engineFlags are those of every engine. Targets of the spec bring their own.
func (f *Fleet) engineFlags() []string {
	if len(f.spec.Targets) > 0 {
		return f.spec.EngineFlags
	}
	var flags []string
	if !f.spec.EmptyEngines {
		flags = append(flags, "--model", f.spec.Model.Name, "--version-loaded", f.spec.Model.Version)
	}
	if !f.spec.Model.ChecksFencing {
		flags = append(flags, "--ignore-fencing")
	}
	return append(flags, f.spec.EngineFlags...)
}

func (f *Fleet) targetFlags(n *node, flags []string) []string {
	all := append([]string{"--listen", n.address, "--name", n.name, "--log-file", f.RunLog(n.name)}, flags...)
	return append(all, n.flags...)
}

// RunLog returns the file to which a target logs its runs; it outlives the target's process.
func (f *Fleet) RunLog(name string) string { return f.path(name + ".runs") }

func (f *Fleet) settings(n *node) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nzone: %s\nregion: %s\n", n.name, f.spec.Zones[n.zone], f.spec.region(n.zone))
	fmt.Fprintf(&b, "listen: %s\nadmin: %s\n", n.address, n.admin)
	fmt.Fprintf(&b, "fleet_key_files: [%s]\n", f.path("fleet.key"))
	fmt.Fprintf(&b, "platform:\n  address: http://%s\n", cmp.Or(n.platform, f.platform))
	b.WriteString("seeds:\n")
	for _, other := range f.order {
		if other.role == roleGate && other != n {
			fmt.Fprintf(&b, "  - %s\n", other.public())
		}
	}
	if len(f.spec.Timing) > 0 {
		b.WriteString("timing:\n")
		for _, line := range f.spec.Timing {
			b.WriteString("  " + line + "\n")
		}
	}
	if n.linked != "" {
		fmt.Fprintf(&b, "advertise: %s\n", n.linked)
	}
	if n.source != "" {
		fmt.Fprintf(&b, "source: %s\n", n.source)
	}
	if n.role == roleEntry {
		for _, line := range f.spec.EntrySettings {
			b.WriteString(line + "\n")
		}
	}
	return b.String()
}

func (f *Fleet) run(name, binary string, args ...string) error {
	p, err := startProcess(f.directory, name, filepath.Join(f.binaries, binary), args...)
	if err != nil {
		return err
	}
	f.processes[name] = p
	return nil
}

// WaitReady waits until every daemon answers its readiness check.
func (f *Fleet) WaitReady(limit time.Duration) error {
	for _, n := range f.order {
		probe := "http://" + n.admin + "/readyz"
		if n.role == roleEngine || n.role == roleService {
			probe = "http://" + n.address + "/status"
		}
		if err := f.poll(n.name, limit, func() bool { return answers(probe) }); err != nil {
			return err
		}
	}
	return f.poll("balancer", limit, f.balancerAnswers)
}

// balancerAnswers reports whether the balancer passes a connection on; callers without a key get 401 from an entry.
func (f *Fleet) balancerAnswers() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + f.Balancer + "/v1/models")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusUnauthorized
}

func (f *Fleet) poll(name string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollPause) {
		if done() {
			return nil
		}
		if p, ok := f.processes[name]; ok && isClosed(p.exited) {
			return fmt.Errorf("%s exited: %s", name, f.tail(name))
		}
	}
	return fmt.Errorf("%s is not ready after %s: %s", name, limit, f.tail(name))
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// tail returns the end of a process's log.
func (f *Fleet) tail(name string) string {
	const tailBytes = 600
	content, _ := os.ReadFile(f.path(name + ".log"))
	return string(content[max(0, len(content)-tailBytes):])
}

func answers(location string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(location)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends every process.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		p.end()
	}
}

// Kill ends a process as a crash of its VM does.
func (f *Fleet) Kill(name string) { f.processes[name].end() }

// Freeze stops a process without ending it; Thaw lets it go on.
func (f *Fleet) Freeze(name string) error { return f.processes[name].signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (f *Fleet) Thaw(name string) error { return f.processes[name].signal(syscall.SIGCONT) }

// Stop asks a process to end gracefully and returns its exit code.
func (f *Fleet) Stop(name string, limit time.Duration) (int, error) {
	if err := f.Terminate(name); err != nil {
		return 0, err
	}
	return f.Await(name, limit)
}

// Terminate asks a process to end gracefully; Await waits for its end and returns its exit code.
func (f *Fleet) Terminate(name string) error { return f.processes[name].signal(syscall.SIGTERM) }

// Await waits for the end of a process and returns its exit code.
func (f *Fleet) Await(name string, limit time.Duration) (int, error) {
	return f.processes[name].wait(limit)
}

// Restart stops a daemon gracefully, starts it again and waits until it is ready.
func (f *Fleet) Restart(name string, limit time.Duration) error {
	code, err := f.Stop(name, limit)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("%s exited with code %d: %s", name, code, f.tail(name))
	}
	if err := f.StartNode(name); err != nil {
		return err
	}
	return f.WaitReady(limit)
}

// Names returns the nodes with a role: entry, gate, engine or service.
func (f *Fleet) Names(role string) []string {
	var names []string
	for _, n := range f.order {
		if n.role == role {
			names = append(names, n.name)
		}
	}
	return names
}

// Has reports whether the fleet has a node with the name.
func (f *Fleet) Has(name string) bool {
	_, ok := f.nodes[name]
	return ok
}

// Address returns the address of a node's own service.
func (f *Fleet) Address(name string) string { return f.nodes[name].address }

// AdminAddress returns the address of a daemon's admin endpoint.
func (f *Fleet) AdminAddress(name string) string { return f.nodes[name].admin }

// PID returns the process id of a node.
func (f *Fleet) PID(name string) int { return f.processes[name].command.Process.Pid }

// Platform returns the address of the platform's stand-in.
func (f *Fleet) Platform() string { return f.platform }

// URL returns the base URL of a node's own service.
func (f *Fleet) URL(name string) string { return "http://" + f.nodes[name].address }

// AdminURL returns the base URL of a daemon's admin endpoint.
func (f *Fleet) AdminURL(name string) string { return "http://" + f.nodes[name].admin }

// Zone returns the zone of a node.
func (f *Fleet) Zone(name string) string { return f.spec.Zones[f.nodes[name].zone] }

// OneZone reports whether the fleet has only one zone.
func (f *Fleet) OneZone() bool { return len(f.spec.Zones) == 1 }

// Log returns what a process has logged.
func (f *Fleet) Log(name string) string {
	content, _ := os.ReadFile(f.path(name + ".log"))
	return string(content)
}

// Publish changes the catalogue and publishes it with the next revision.
func (f *Fleet) Publish(change func(c *catalogue.Catalogue)) (uint64, error) {
	change(&f.catalogue)
	f.catalogue.Revision++
	document, err := yaml.Marshal(&f.catalogue)
	if err != nil {
		return 0, err
	}
	return f.catalogue.Revision, f.PublishDocument(document)
}

// Document returns the catalogue with a change and a revision, without publishing or keeping it.
func (f *Fleet) Document(revision uint64, change func(c *catalogue.Catalogue)) ([]byte, error) {
	changed := f.catalogue
	changed.Customers = slices.Clone(changed.Customers)
	changed.Pools = slices.Clone(changed.Pools)
	changed.Revision = revision
	change(&changed)
	return yaml.Marshal(&changed)
}

// PublishDocument publishes a catalogue document as it is.
func (f *Fleet) PublishDocument(document []byte) error {
	return f.call(http.MethodPut, "http://"+f.platform+"/standin/config/catalogue", document)
}

// SetVMs publishes the VM list with the states given: live, leaving or gone; others are live.
func (f *Fleet) SetVMs(states map[string]string) error {
	list, err := json.Marshal(f.vmList(states))
	if err != nil {
		return err
	}
	return f.call(http.MethodPut, "http://"+f.platform+"/standin/vms", list)
}

// PlatformMode changes the platform's behaviour; see the stand-in for its fields.
func (f *Fleet) PlatformMode(mode string) error {
	return f.call(http.MethodPost, "http://"+f.platform+"/standin/mode", []byte(mode))
}

// Faults sets the faults of an engine or service; see the stand-in for its fields.
func (f *Fleet) Faults(name, faults string) error {
	return f.call(http.MethodPost, f.URL(name)+"/standin/faults", []byte(faults))
}

// FleetKey returns the key that authenticates the fleet's tickets.
func (f *Fleet) FleetKey() []byte { return []byte(fleetKey) }

// SetLink changes the condition of the link before a gate; see the stand-in for its fields.
func (f *Fleet) SetLink(gate, fields string) error {
	body := fmt.Sprintf(`{"route":%q,%s}`, gate, fields)
	return f.call(http.MethodPost, f.LinkControl()+"/standin/link", []byte(body))
}

// SetTraffic changes the condition of what one daemon sends to another, on the connections of either; see the stand-in
// for its fields. No connections lead to entries.
func (f *Fleet) SetTraffic(from, to, fields string) error {
	for _, link := range []struct{ route, caller, direction string }{{to, from, "forward"}, {from, to, "back"}} {
		if f.nodes[link.route].linked == "" {
			continue
		}
		selection := fmt.Sprintf(`"from":%q,"direction":%q,`, f.nodes[link.caller].source, link.direction)
		if err := f.SetLink(link.route, selection+fields); err != nil {
			return err
		}
	}
	return nil
}

// SetPlatformLink changes the condition of the link between a daemon and the platform.
func (f *Fleet) SetPlatformLink(daemon, fields string) error {
	return f.SetLink(platformRoute(daemon), fields)
}

func platformRoute(daemon string) string { return "platform of " + daemon }

// LinkControl returns the base URL of the control of the links.
func (f *Fleet) LinkControl() string { return "http://" + f.link }

func (f *Fleet) call(method, location string, body []byte) error {
	request, err := http.NewRequest(method, location, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(response.Body)
		return errors.New(location + ": " + response.Status + ": " + string(text))
	}
	return nil
}
