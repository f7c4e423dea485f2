package platform

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the balancer.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	dialTimeout   = time.Second
)

// Balancer spreads new TCP connections over the entries that are ready.
type Balancer struct {
	listener net.Listener
	entries  func() []VM
	client   *http.Client
	stop     chan struct{}
	done     sync.WaitGroup

	mu    sync.Mutex
	ready []string
	next  int
	conns map[net.Conn]struct{}
}

// StartBalancer listens on the address and probes the entries until Close.
func StartBalancer(address string, entries func() []VM) (*Balancer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		listener: listener,
		entries:  entries,
		client:   &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		stop:     make(chan struct{}),
		conns:    make(map[net.Conn]struct{}),
	}
	b.done.Add(2)
	go b.probeLoop()
	go b.acceptLoop()
	return b, nil
}

// Address returns the address with the port in use.
func (b *Balancer) Address() string { return b.listener.Addr().String() }

// Close ends the listener and all connections.
func (b *Balancer) Close() {
	close(b.stop)
	_ = b.listener.Close()
	b.mu.Lock()
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.mu.Unlock()
	b.done.Wait()
}

func (b *Balancer) probeLoop() {
	defer b.done.Done()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		b.probeAll()
		select {
		case <-ticker.C:
		case <-b.stop:
			return
		}
	}
}

// probeAll probes all entries at the same time and stores the ready ones in list order.
func (b *Balancer) probeAll() {
	entries := b.entries()
	ready := make([]bool, len(entries))
	var probes sync.WaitGroup
	for i, entry := range entries {
		probes.Go(func() { ready[i] = b.probe(entry) })
	}
	probes.Wait()
	var addresses []string
	for i, entry := range entries {
		if ready[i] {
			addresses = append(addresses, entry.Address)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = addresses
}

func (b *Balancer) probe(entry VM) bool {
	answer, err := b.client.Get("http://" + entry.Probe + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (b *Balancer) acceptLoop() {
	defer b.done.Done()
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.done.Add(1)
		go b.serve(conn)
	}
}

// serve connects a caller to a ready entry and copies until both sides are closed.
func (b *Balancer) serve(caller net.Conn) {
	defer b.done.Done()
	defer b.forget(caller)
	entry := b.dial()
	if entry == nil || !b.remember(caller, entry) {
		return
	}
	defer b.forget(entry)
	var copies sync.WaitGroup
	copies.Go(func() { copyHalf(entry, caller) })
	copies.Go(func() { copyHalf(caller, entry) })
	copies.Wait()
}

// dial connects to the next ready entry, and to the ones after it when that fails.
func (b *Balancer) dial() net.Conn {
	for _, address := range b.order() {
		if conn, err := net.DialTimeout("tcp", address, dialTimeout); err == nil {
			return conn
		}
	}
	return nil
}

// order returns the ready entries, each time starting with the next one.
func (b *Balancer) order() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	first := b.next % len(b.ready)
	b.next++
	return append(append([]string{}, b.ready[first:]...), b.ready[:first]...)
}

// remember notes connections to close at the end; it returns false, and closes them, after Close.
func (b *Balancer) remember(conns ...net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stop:
		for _, conn := range conns {
			_ = conn.Close()
		}
		return false
	default:
	}
	for _, conn := range conns {
		b.conns[conn] = struct{}{}
	}
	return true
}

func (b *Balancer) forget(conn net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
	_ = conn.Close()
}

// copyHalf copies one direction. An error closes both ends, so a broken answer does not look complete.
func copyHalf(to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		_ = from.Close()
		_ = to.Close()
		return
	}
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
