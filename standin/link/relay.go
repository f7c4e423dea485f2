package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Sizes and times of a relay.
const (
	chunkBytes = 32 << 10
	// queueChunks bounds the chunks under way in one direction of a connection.
	queueChunks = 256
	dialTimeout = time.Second
)

// relay passes the connections of one route.
type relay struct {
	route    Route
	listener net.Listener
	conns    connections
	stop     chan struct{}
	done     sync.WaitGroup

	mu         sync.Mutex
	conditions map[flow]Condition
	changed    chan struct{}
}

// flow is one direction of the connections of a caller, or of all callers without a condition of their own.
type flow struct {
	caller    string
	direction Direction
}

func newRelay(route Route, condition Condition) *relay {
	return &relay{
		route:      route,
		conns:      connections{open: make(map[net.Conn]string)},
		stop:       make(chan struct{}),
		conditions: map[flow]Condition{{direction: Forward}: condition, {direction: Back}: condition},
		changed:    make(chan struct{}),
	}
}

func (r *relay) start() error {
	listener, err := net.Listen("tcp", r.route.Listen)
	if err != nil {
		return err
	}
	r.listener = listener
	r.done.Go(r.accept)
	return nil
}

func (r *relay) close() {
	close(r.stop)
	if r.listener != nil {
		_ = r.listener.Close()
	}
	r.conns.closeOf(func(string) bool { return true })
	r.done.Wait()
}

// current returns the condition of a flow.
func (r *relay) current(f flow) Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conditionOf(f)
}

// conditionOf is current with the lock held.
func (r *relay) conditionOf(f flow) Condition {
	if own, ok := r.conditions[f]; ok {
		return own
	}
	return r.conditions[flow{direction: f.direction}]
}

func (r *relay) update(selection Selection, update func(*Condition)) {
	r.mu.Lock()
	for _, direction := range []Direction{Forward, Back} {
		if selection.Direction != "" && selection.Direction != direction {
			continue
		}
		f := flow{selection.From, direction}
		condition := r.conditionOf(f)
		update(&condition)
		r.conditions[f] = condition
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.conns.closeOf(r.isCut)
}

// isCut reports whether a caller's connections are cut.
func (r *relay) isCut(caller string) bool {
	return r.current(flow{caller, Forward}).Cut || r.current(flow{caller, Back}).Cut
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.serve(conn) })
	}
}

func (r *relay) serve(from net.Conn) {
	caller, _, _ := net.SplitHostPort(from.RemoteAddr().String())
	r.conns.add(from, caller)
	defer r.conns.remove(from)
	if r.isCut(caller) || !r.waitThawed(flow{caller, Forward}, flow{caller, Back}) {
		return
	}
	to, err := net.DialTimeout("tcp", r.route.To, dialTimeout)
	if err != nil {
		return
	}
	r.conns.add(to, caller)
	defer r.conns.remove(to)
	if r.isCut(caller) || r.stopped() {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.pass(flow{caller, Forward}, to, from) })
	directions.Go(func() { r.pass(flow{caller, Back}, from, to) })
	directions.Wait()
}

// chunk is a part of a byte stream and the time of its arrival.
type chunk struct {
	data   []byte
	arrive time.Time
}

// pass carries one direction. Its end closes the other side for writing after all bytes; a drop or an
// error closes both.
func (r *relay) pass(f flow, to, from net.Conn) {
	queue := make(chan chunk, queueChunks)
	var writer sync.WaitGroup
	writer.Go(func() { r.deliver(f, to, from, queue) })
	r.read(f, to, from, queue)
	close(queue)
	writer.Wait()
}

func (r *relay) read(f flow, to, from net.Conn, queue chan<- chunk) {
	var last time.Time
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			condition := r.current(f)
			if rand.Float64() < condition.Drop {
				_ = to.Close()
				_ = from.Close()
				return
			}
			last = later(last, condition.arrival(time.Now()))
			queue <- chunk{data: buffer[:n], arrive: last}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			_ = to.Close()
		}
		return
	}
}

// arrival returns when a chunk that is sent now arrives.
func (c Condition) arrival(now time.Time) time.Time {
	delay := c.DelayMS + c.JitterMS*rand.Float64()
	if rand.Float64() < c.Loss {
		delay += c.RetransmitMS
	}
	return now.Add(time.Duration(delay * float64(time.Millisecond)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deliver writes chunks at their arrival. It drains the queue after an error so that the reader ends.
func (r *relay) deliver(f flow, to, from net.Conn, queue <-chan chunk) {
	failed := false
	for c := range queue {
		if failed {
			continue
		}
		time.Sleep(time.Until(c.arrive))
		if !r.waitThawed(f) {
			failed = true
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// waitThawed returns when one of the flows is not frozen, or false when the relay ends.
func (r *relay) waitThawed(flows ...flow) bool {
	isFrozen := func(f flow) bool { return r.conditionOf(f).Freeze }
	for {
		r.mu.Lock()
		frozen, changed := !slices.ContainsFunc(flows, func(f flow) bool { return !isFrozen(f) }), r.changed
		r.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-r.stop:
			return false
		}
	}
}

func (r *relay) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}
