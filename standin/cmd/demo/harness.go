package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/replay"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// harness kills and starts the processes that a trace's faults name.
type harness struct {
	fleet    *fleet.Fleet
	server   *http.Server
	listener net.Listener
}

// faultCall is a fault that begins or ends.
type faultCall struct {
	Fault  replay.Fault `json:"fault"`
	Target string       `json:"target"`
	VM     string       `json:"vm"`
	On     bool         `json:"on"`
}

func startHarness(running *fleet.Fleet) (*harness, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &harness{fleet: running, listener: listener}
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

func (h *harness) url() string { return "http://" + h.listener.Addr().String() }

func (h *harness) close() { _ = h.server.Shutdown(context.Background()) }

func (h *harness) serve(w http.ResponseWriter, r *http.Request) {
	var call faultCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := call.VM
	if call.Target != "" {
		name = call.Target
	}
	if err := h.apply(name, call); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// apply kills a process, or starts it again. A target that left is replaced by an empty one. A fault of a VM that is
// only numbered, such as vm-2, replaces that gate and entry at once.
func (h *harness) apply(name string, call faultCall) error {
	var number int
	if _, err := fmt.Sscanf(name, "vm-%d", &number); err == nil {
		return h.replaceVM(number)
	}
	if !h.fleet.Has(name) {
		return fmt.Errorf("the fleet has no process %q", name)
	}
	switch {
	case call.On:
		fmt.Println("killing", name)
		h.fleet.Kill(name)
		return nil
	case call.Fault == replay.TargetLeave:
		h.fleet.Kill(name)
	}
	fmt.Println("starting", name)
	return h.fleet.StartNode(name)
}

func (h *harness) replaceVM(number int) error {
	for _, role := range []string{"gate", "entry"} {
		names := h.fleet.Names(role)
		if number < 1 || number > len(names) {
			return fmt.Errorf("the fleet has no VM %d", number)
		}
		name := names[number-1]
		fmt.Println("replacing", name)
		h.fleet.Kill(name)
		if err := h.fleet.StartNode(name); err != nil {
			return err
		}
	}
	return nil
}
