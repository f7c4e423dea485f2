package backend

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// restartAttempts and restartPause bound the wait for the address of a crashed server to become free.
const (
	restartAttempts = 100
	restartPause    = 10 * time.Millisecond
)

// Listener serves a handler on one address and can drop all connections as a crash does.
type Listener struct {
	handler http.Handler

	mu      sync.Mutex
	server  *http.Server
	address string
	closed  bool
}

// NewListener returns a listener that is not started.
func NewListener(handler http.Handler) *Listener { return &Listener{handler: handler} }

// Start listens on the address, such as 127.0.0.1:0.
func (l *Listener) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.address = listener.Addr().String()
	l.server = &http.Server{Handler: l.handler}
	go serve(l.server, listener)
	return nil
}

func serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		_ = listener.Close()
	}
}

// Address returns the address with the port in use.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Close ends the listener and all connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.server == nil {
		return nil
	}
	return l.server.Close()
}

// Restart closes all connections and listens again on the same address.
func (l *Listener) Restart() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil || l.closed {
		return nil
	}
	_ = l.server.Close()
	listener, err := listenAgain(l.address)
	if err != nil {
		return err
	}
	l.server = &http.Server{Handler: l.handler}
	go serve(l.server, listener)
	return nil
}

func listenAgain(address string) (net.Listener, error) {
	var err error
	for range restartAttempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(restartPause)
	}
	return nil, err
}
