package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// DefaultReadsPerSecond is the read budget across all readers.
const DefaultReadsPerSecond = 2000

// vmKey is the key of the VM list in its store.
const vmKey = "vms"

// VM is one machine of the platform.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Role is entry, gate or target.
	Role string `json:"role"`
	// State is live or leaving.
	State string `json:"state"`
	// Probe is the admin address that the balancer probes; it is set for entries.
	Probe string `json:"probe,omitempty"`
}

// VMList is one revision of the VM list.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// Config holds the properties of the platform.
type Config struct {
	// ReadsPerSecond is the read budget.
	ReadsPerSecond int
	// VMLag is the lag of the VM list.
	VMLag time.Duration
	// BalancerAddress is where the balancer listens; empty means no balancer.
	BalancerAddress string
	// Documents are the initial values of the configuration service.
	Documents map[string][]byte
	// VMs is the initial VM list.
	VMs []VM
}

// Mode switches the platform's faults.
type Mode struct {
	// Down breaks every call to the platform.
	Down bool `json:"down"`
	// StaleConfig and StaleVMs make readers see the values of the time of the switch.
	StaleConfig bool `json:"stale_config"`
	StaleVMs    bool `json:"stale_vms"`
	// VMLagMS is the lag of the VM list; it stays as it is when absent.
	VMLagMS *int `json:"vm_lag_ms,omitempty"`
}

// Reads counts the calls of readers.
type Reads struct {
	Config  int `json:"config"`
	VMs     int `json:"vms"`
	Refused int `json:"refused"`
}

// Server is the platform. It is an http.Handler and can also listen by itself.
type Server struct {
	*backend.Listener
	config   Config
	echo     *echo.Echo
	limiter  *rate.Limiter
	store    *store
	vms      *store
	balancer *Balancer

	mu     sync.Mutex
	mode   Mode
	reads  Reads
	downCh chan struct{}
}

// New returns a platform.
func New(config Config) *Server {
	if config.ReadsPerSecond == 0 {
		config.ReadsPerSecond = DefaultReadsPerSecond
	}
	p := &Server{
		config:  config,
		echo:    echo.New(),
		limiter: rate.NewLimiter(rate.Limit(config.ReadsPerSecond), config.ReadsPerSecond),
		store:   newStore(),
		vms:     newStore(),
		downCh:  make(chan struct{}),
	}
	p.Listener = backend.NewListener(p)
	p.vms.setLag(config.VMLag)
	for key, body := range config.Documents {
		p.store.put(key, 0, body)
	}
	p.SetVMs(config.VMs)
	p.routes()
	return p
}

// ServeHTTP answers one request.
func (p *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	p.echo.ServeHTTP(w, request)
}

// Start listens on the address, and starts the balancer if it is configured.
func (p *Server) Start(address string) error {
	if p.config.BalancerAddress != "" {
		balancer, err := StartBalancer(p.config.BalancerAddress, p.entries)
		if err != nil {
			return err
		}
		p.balancer = balancer
	}
	return p.Listener.Start(address)
}

// BalancerAddress returns the address of the balancer with the port in use.
func (p *Server) BalancerAddress() string {
	if p.balancer == nil {
		return ""
	}
	return p.balancer.Address()
}

// Close ends the listener, the balancer and all connections.
func (p *Server) Close() error {
	if p.balancer != nil {
		p.balancer.Close()
	}
	return p.Listener.Close()
}

// SetConfig puts a value; revision 0 means the next one. It returns the revision.
func (p *Server) SetConfig(key string, revision uint64, body []byte) uint64 {
	return p.store.put(key, revision, body)
}

// SetVMs replaces the VM list and returns its revision.
func (p *Server) SetVMs(vms []VM) uint64 {
	if vms == nil {
		vms = []VM{}
	}
	body, err := json.Marshal(vms)
	if err != nil {
		panic("platform: VM list can't be encoded: " + err.Error())
	}
	return p.vms.put(vmKey, 0, body)
}

// SetMode switches the faults.
func (p *Server) SetMode(mode Mode) {
	p.store.freeze(mode.StaleConfig)
	p.vms.freeze(mode.StaleVMs)
	if mode.VMLagMS != nil {
		p.vms.setLag(time.Duration(*mode.VMLagMS) * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode.Down && !p.mode.Down {
		close(p.downCh)
	}
	if !mode.Down && p.mode.Down {
		p.downCh = make(chan struct{})
	}
	p.mode = mode
}

// Reads returns the counts of calls.
func (p *Server) Reads() Reads {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// entries returns the entry VMs as they are now, without the list's lag.
func (p *Server) entries() []VM {
	document, _ := p.vms.latest(vmKey)
	var vms []VM
	_ = json.Unmarshal(document.Body, &vms)
	entries := vms[:0]
	for _, vm := range vms {
		if vm.Role == "entry" {
			entries = append(entries, vm)
		}
	}
	return entries
}
