package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
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

	mu        sync.Mutex
	condition Condition
	changed   chan struct{}
}

func newRelay(route Route, condition Condition) *relay {
	return &relay{
		route:     route,
		conns:     connections{open: make(map[net.Conn]struct{})},
		stop:      make(chan struct{}),
		condition: condition,
		changed:   make(chan struct{}),
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
	r.conns.closeAll()
	r.done.Wait()
}

func (r *relay) current() Condition {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.condition
}

func (r *relay) update(update func(*Condition)) {
	r.mu.Lock()
	update(&r.condition)
	close(r.changed)
	r.changed = make(chan struct{})
	cut := r.condition.Cut
	r.mu.Unlock()
	if cut {
		r.conns.closeAll()
	}
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

func (r *relay) serve(caller net.Conn) {
	r.conns.add(caller)
	defer r.conns.remove(caller)
	if r.current().Cut || !r.waitThawed() {
		return
	}
	target, err := net.DialTimeout("tcp", r.route.To, dialTimeout)
	if err != nil {
		return
	}
	r.conns.add(target)
	defer r.conns.remove(target)
	if r.current().Cut || r.stopped() {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.pass(target, caller) })
	directions.Go(func() { r.pass(caller, target) })
	directions.Wait()
}

// chunk is a part of a byte stream and the time of its arrival.
type chunk struct {
	data   []byte
	arrive time.Time
}

// pass carries one direction. Its end closes the other side for writing after all bytes; a drop or an
// error closes both.
func (r *relay) pass(to, from net.Conn) {
	queue := make(chan chunk, queueChunks)
	var writer sync.WaitGroup
	writer.Go(func() { r.deliver(to, from, queue) })
	r.read(to, from, queue)
	close(queue)
	writer.Wait()
}

func (r *relay) read(to, from net.Conn, queue chan<- chunk) {
	var last time.Time
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			condition := r.current()
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
func (r *relay) deliver(to, from net.Conn, queue <-chan chunk) {
	failed := false
	for c := range queue {
		if failed {
			continue
		}
		time.Sleep(time.Until(c.arrive))
		if !r.waitThawed() {
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

// waitThawed returns when the link is not frozen, or false when the relay ends.
func (r *relay) waitThawed() bool {
	for {
		r.mu.Lock()
		frozen, changed := r.condition.Freeze, r.changed
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
