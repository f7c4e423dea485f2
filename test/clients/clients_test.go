package clients

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

const (
	// loadTime is how long a load lasts once it has been sent, sendLimit bounds the time in which it is sent.
	loadTime  = 3 * time.Second
	sendLimit = 10 * time.Second
	// descriptors is the VM's limit of descriptors where the test needs no other.
	descriptors = 2048
	// connections is the number of clients with bodies: at one body of the largest size each, twice the VM's memory.
	connections = 120
)

// load is what each client sends: begin once, then block the stated number of times, or until the connection or the time
// ends if the number is 0. The connection stays open.
type load struct {
	begin, block string
	blocks       int
}

// start opens the connections one after the other and sends the load on all of them at once. It returns after loadTime; the
// returned function closes the connections.
func start(t *testing.T, address string, count int, l load) func() {
	t.Helper()
	var list []net.Conn
	var group sync.WaitGroup
	for range count {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			break // the router refuses more connections
		}
		list = append(list, conn)
		group.Go(func() { send(conn, l) })
	}
	group.Wait()
	time.Sleep(loadTime)
	return func() {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
}

// send writes the load of one client. The router may end the connection at any time.
func send(conn net.Conn, l load) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
	if _, err := conn.Write([]byte(l.begin)); err != nil || l.block == "" {
		return
	}
	end := time.Now().Add(loadTime)
	for i := 0; i < l.blocks || l.blocks == 0 && time.Now().Before(end); i++ {
		if _, err := conn.Write([]byte(l.block)); err != nil {
			return
		}
	}
}

// head returns a request head without its last empty line.
func head(extra string) string {
	return "POST /look/ HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n" + platformtest.RequestIDHeader + ": load\r\n" + extra
}

func chunk(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("x", bytes)) }

// Guards against clients whose requests together fill the memory of the VM or take all descriptors although each stays
// within its own limit or is refused.
func TestRequestsStayWithinTheMemory(t *testing.T) {
	const block = 64 << 10
	chunked := head("Transfer-Encoding: chunked\r\n\r\n")
	filler := strings.Repeat("x", block)
	for _, c := range []struct {
		name  string
		count int
		load  load
	}{
		{"body with length stops short", connections, load{head(fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)) + filler[1:], filler, maxBodyBytes/block - 1}},
		{"chunked body stops short", connections, load{chunked, chunk(block), maxBodyBytes / block}},
		{"one-byte chunks stop short", connections, load{chunked, strings.Repeat(chunk(1), block), maxBodyBytes / 2 / block}},
		{"body announced over the limit", connections, load{head(fmt.Sprintf("Content-Length: %d\r\n\r\n", 16*maxBodyBytes)), filler, maxBodyBytes / block}},
		{"chunked body without end", connections, load{chunked, chunk(block), 0}},
		{"chunk extension without end", connections, load{chunked + "1;", filler, 0}},
		{"trailers without end", connections, load{chunked + "0\r\n", strings.Repeat("A: b\r\n", block/6), 0}},
		{"empty lines before a request", connections, load{"", strings.Repeat("\r\n", block/2), 0}},
		{"empty lines after a request", connections, load{head("Content-Length: 0\r\n\r\n"), strings.Repeat("\r\n", block/2), 0}},
		{"head without end", 1000, load{head("A: "), filler, 0}},
		{"head over the limit stops short", 1000, load{head("A: " + filler[:60<<10]), "", 0}},
		{"head of short fields stops short", 1000, load{head(strings.Repeat("A: b\r\n", 10<<10)), "", 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRouter(t, descriptors)
			r.check(start(t, r.front, c.count, c.load))
		})
	}
}

// Guards against probers of readiness and readers of metrics that fill the memory with request heads.
func TestReadinessHeadsStayWithinTheMemory(t *testing.T) {
	r := startRouter(t, descriptors)
	r.check(start(t, r.ready, connections, load{"GET /metrics HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 900<<10), "", 0}))
}

// Guards against calls between routers, which any process can make, that fill the memory with messages that stop short.
func TestPeerCallsStayWithinTheMemory(t *testing.T) {
	const block = 64 << 10
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: bytes.Repeat([]byte("x"), block)})
	r := startRouter(t, descriptors)
	r.check(start(t, r.control, connections/3, load{"C", string(frame), 4 << 20 / block}))
}

// Guards against a process that ends when a peer connects while clients hold all descriptors.
func TestDescriptorLimitDoesNotEndTheProcess(t *testing.T) {
	const limit = 400
	r := startRouter(t, limit)
	endClients := start(t, r.front, limit+100, load{head(""), "", 0})
	endPeers := start(t, r.control, 10, load{"C", "", 0})
	r.check(func() { endClients(); endPeers() })
}

// Guards against datagrams with forged addresses that fill the memory with members. All stated addresses are of this
// machine, since a router may reply to them.
func TestForgedDatagramsStayWithinTheMemory(t *testing.T) {
	const datagrams, listed = 30_000, 40
	r := startRouter(t, descriptors)
	socket, err := net.Dial("udp4", r.control)
	if err != nil {
		t.Fatal(err)
	}
	number := 0
	address := func() string {
		number++
		return fmt.Sprintf("127.%d.%d.%d:9", 1+number>>16, number>>8&255, number&255)
	}
	for i := range datagrams {
		digest := &pb.Digest{Address: address(), Incarnation: 1, Zone: "a"}
		for range listed {
			digest.Members = append(digest.Members, &pb.Member{Address: address()})
		}
		content, err := proto.Marshal(digest)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = socket.Write(content) // fails with the process, which is checked below
		if i%20 == 0 {
			time.Sleep(5 * time.Millisecond) // leaves the router time to read them
		}
	}
	time.Sleep(loadTime)
	r.check(func() { _ = socket.Close() })
}
