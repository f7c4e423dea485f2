package link

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer returns the address of a server that sends back what it gets.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func start(t *testing.T, condition Condition) *Server {
	t.Helper()
	route := Route{Name: "ab", Listen: "127.0.0.1:0", To: echoServer(t)}
	s := New(Config{Routes: []Route{route}, Condition: condition})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Guards against conditions of a link that have no effect, and against a relay that changes bytes.
func TestConditions(t *testing.T) {
	for _, test := range []struct {
		name        string
		condition   Condition
		least, most time.Duration
		passes      bool
	}{
		{"plain", Condition{}, 0, 100 * time.Millisecond, true},
		{"delay both ways", Condition{DelayMS: 50}, 100 * time.Millisecond, 250 * time.Millisecond, true},
		{"lost chunk", Condition{Loss: 1, RetransmitMS: 60}, 120 * time.Millisecond, 300 * time.Millisecond, true},
		{"frozen", Condition{Freeze: true}, 400 * time.Millisecond, time.Second, false},
		{"cut", Condition{Cut: true}, 0, 100 * time.Millisecond, false},
		{"dropped", Condition{Drop: 1}, 0, 100 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := start(t, test.condition)
			begin := time.Now()
			got := exchange(t, s.RouteAddress("ab"), "hello")
			took := time.Since(begin)
			if (got == "hello") != test.passes || took < test.least || took > test.most {
				t.Errorf("got %q after %v", got, took)
			}
		})
	}
}

// exchange sends a text and returns what comes back within 400 ms.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	_, _ = conn.Write([]byte(text))
	got := make([]byte, len(text))
	n, _ := io.ReadFull(conn, got)
	return string(got[:n])
}

// Guards against a condition of one caller or direction that has no effect, or one on other traffic.
func TestOneCallerInOneDirection(t *testing.T) {
	for _, direction := range []Direction{Forward, Back} {
		s := start(t, Condition{})
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.1.7")}}
		caller, err := dialer.Dial("tcp", s.RouteAddress("ab"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.Close() }()
		selection := Selection{From: "127.0.1.7", Direction: direction}
		s.Set(selection, func(c *Condition) { c.Freeze = true })
		if _, err := caller.Write([]byte("late")); err != nil {
			t.Fatal(err)
		}
		if got := exchange(t, s.RouteAddress("ab"), "other"); got != "other" {
			t.Errorf("%s: another caller got %q", direction, got)
		}
		_ = caller.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		got := make([]byte, 4)
		if n, _ := caller.Read(got); n > 0 {
			t.Errorf("%s: got %q through a frozen direction", direction, got[:n])
		}
		s.Set(selection, func(c *Condition) { c.Freeze = false })
		_ = caller.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadFull(caller, got); err != nil || string(got) != "late" {
			t.Errorf("%s: got %q, %v after the freeze", direction, got, err)
		}
	}
}

// Guards against a control that resets the fields that a call does not name.
func TestControlKeepsOtherFields(t *testing.T) {
	s := start(t, Condition{DelayMS: 7})
	defer http.DefaultClient.CloseIdleConnections()
	answer, err := http.Post("http://"+s.Address()+"/standin/link", "application/json", strings.NewReader(`{"route":"ab","cut":true}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if got := s.relays[0].current(flow{direction: Forward}); got.DelayMS != 7 || !got.Cut {
		t.Errorf("condition %+v, want a delay of 7 ms and a cut", got)
	}
}
