package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/routes"
)

type decoder struct{}

func (decoder) DecodeAnswer(status int, header http.Header) routes.Answer {
	answer := routes.Answer{ID: header.Get("Id"), NotRun: header.Get("Not-Run") != "", Sealed: header.Get("Seal") != ""}
	if header.Get("Keep") != "" {
		answer.KeepAlive = 5 * time.Second
	}
	return answer
}

// target answers each request on its connections with the next script. A script may write arbitrary data.
func target(t *testing.T, scripts ...func(conn net.Conn, request *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	next := make(chan func(net.Conn, *http.Request), len(scripts))
	for _, script := range scripts {
		next <- script
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					select {
					case script := <-next:
						script(conn, request)
					default:
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func write(text string) func(net.Conn, *http.Request) {
	return raw(strings.ReplaceAll(text, "\n", "\r\n"))
}

func closing(script func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		script(conn, request)
		_ = conn.Close()
	}
}

const ok1 = "HTTP/1.1 200 OK\nId: 1\nSeal: s\nKeep: 1\nContent-Length: 3\n\none"
const ok2 = "HTTP/1.1 200 OK\nId: 2\nSeal: s\nKeep: 1\nContent-Length: 3\n\ntwo"

func call(address, id string) Call {
	return Call{Address: address, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, RequestID: id, Body: []byte("b"), HeadTimeout: time.Second}
}

func exchange(t *testing.T, pool *Pool, c Call) (string, *Response, error) {
	t.Helper()
	response, err := pool.Do(context.Background(), c)
	if err != nil {
		return "", nil, err
	}
	body, err := response.ReadAll(1<<16, time.Now().Add(time.Second))
	response.Close()
	return string(body), response, err
}

// Guards against delivering the response to another request.
func TestForeignAnswersAreSkipped(t *testing.T) {
	extra := "HTTP/1.1 200 OK\nId: 1\nSeal: s\nContent-Length: 5\n\nextra"
	address := target(t, write(ok1), write(extra+ok2))
	pool := NewPool(decoder{}, DefaultHeldBytes)
	if body, _, err := exchange(t, pool, call(address, "1")); body != "one" || err != nil {
		t.Fatalf("first: %q, %v", body, err)
	}
	body, response, err := exchange(t, pool, call(address, "2"))
	if err != nil || body != "two" || !response.Reused {
		t.Errorf("second: %q, %v, reused %v", body, err, response != nil && response.Reused)
	}
}

// Guards against reusing a connection with data after its last response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	address := target(t, write(ok1+"HTTP/1.1 200 OK\nId: 1\nSeal: s\nContent-Length: 5\n\nextra"), write(ok2))
	pool := NewPool(decoder{}, DefaultHeldBytes)
	if _, _, err := exchange(t, pool, call(address, "1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	body, response, err := exchange(t, pool, call(address, "2"))
	if err != nil || body != "two" || response.Reused {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against truncated responses that appear complete, and against reporting such a request as not run.
func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"cut in the body":   "HTTP/1.1 200 OK\nId: 1\nSeal: s\nContent-Length: 9\n\ncut",
		"cut in a chunk":    "HTTP/1.1 200 OK\nId: 1\nSeal: s\nTransfer-Encoding: chunked\n\n5\ncu",
		"cut in the head":   "HTTP/1.1 200 OK\nId:",
		"no HTTP":           "garbage\n\n",
		"nothing":           "",
		"without an id":     "HTTP/1.1 200 OK\nSeal: s\nContent-Length: 3\n\none",
		"only another's id": "HTTP/1.1 200 OK\nId: 7\nSeal: s\nContent-Length: 3\n\none",
	} {
		address := target(t, closing(write(text)))
		_, _, err := exchange(t, NewPool(decoder{}, DefaultHeldBytes), call(address, "1"))
		var broken *BrokenError
		if !errors.As(err, &broken) || !broken.Closed {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a response without a length that is taken as complete after a connection reset.
func TestAnswerEndedByConnection(t *testing.T) {
	text := "HTTP/1.1 200 OK\nId: 1\nSeal: s\nConnection: close\n\nbody"
	address := target(t, closing(write(text)), func(conn net.Conn, request *http.Request) {
		write(text)(conn, request)
		_ = conn.(*net.TCPConn).SetLinger(0)
		time.Sleep(20 * time.Millisecond)
		_ = conn.Close()
	})
	pool := NewPool(decoder{}, DefaultHeldBytes)
	if body, _, err := exchange(t, pool, call(address, "1")); body != "body" || err != nil {
		t.Errorf("closed: %q, %v", body, err)
	}
	if _, _, err := exchange(t, pool, call(address, "1")); err == nil {
		t.Error("a response ended by a reset was accepted as complete")
	}
}

// Guards against a request that is reported as sent although nothing was listening, and against sending on a connection
// that the target has closed.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	var notSent *NotSentError
	if _, err := NewPool(decoder{}, DefaultHeldBytes).Do(context.Background(), call(address, "1")); !errors.As(err, &notSent) {
		t.Errorf("refused connection: %v", err)
	}
	address = target(t, closing(write(ok1)), write(ok2))
	pool := NewPool(decoder{}, DefaultHeldBytes)
	if _, _, err := exchange(t, pool, call(address, "1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if body, response, err := exchange(t, pool, call(address, "2")); err != nil || body != "two" || response.Reused {
		t.Errorf("after the target closed: %q, %v", body, err)
	}
}

// Guards against corrupting the connection when a target responds before it has read a long body: the rest of the body
// is due, and the target must not receive other data in its place.
func TestEarlyResponseToLongBody(t *testing.T) {
	early := func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll("HTTP/1.1 413 Too Large\nId: 1\nSeal: s\nKeep: 1\nContent-Length: 2\n\nno", "\n", "\r\n"))
		time.Sleep(300 * time.Millisecond)
	}
	address := target(t, early, write(ok2))
	pool := NewPool(decoder{}, DefaultHeldBytes)
	long := call(address, "1")
	long.Body = make([]byte, 16<<20)
	long.HeadTimeout = 5 * time.Second
	body, response, err := exchange(t, pool, long)
	if err != nil || body != "no" || response.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("got %q, %v", body, err)
	}
	if body, response, err := exchange(t, pool, call(address, "2")); err != nil || body != "two" || response.Reused {
		t.Errorf("next: %q, %v", body, err)
	}
}

// Guards against work that continues at a target after the client has disconnected.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := target(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := NewPool(decoder{}, DefaultHeldBytes).Do(ctx, call(address, "1"))
	var broken *BrokenError
	if !errors.As(err, &broken) || !errors.Is(err, context.Canceled) || broken.Closed {
		t.Errorf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the target's connection is still open")
	}
}

// Guards against a second Close that closes a connection already in use by another request.
func TestSecondCloseDoesNothing(t *testing.T) {
	address := target(t, write(ok1), write(ok2), write(ok1))
	pool := NewPool(decoder{}, DefaultHeldBytes)
	first, err := pool.Do(context.Background(), call(address, "1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := first.ReadAll(1<<16, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	first.Close()
	second, err := pool.Do(context.Background(), call(address, "2"))
	if err != nil || !second.Reused {
		t.Fatalf("the connection was not reused: %v", err)
	}
	first.Close()
	if body, err := second.ReadAll(1<<16, time.Now().Add(time.Second)); err != nil || string(body) != "two" {
		t.Errorf("got %q, %v", body, err)
	}
	second.Close()
	if _, third, err := exchange(t, pool, call(address, "1")); err != nil || !third.Reused {
		t.Errorf("the second Close closed the connection of another request: %v", err)
	}
}

// Guards against losing a response over the limit: the data read so far is returned, and reading continues from there.
func TestReadAllReturnsPartialBody(t *testing.T) {
	address := target(t, func(conn net.Conn, request *http.Request) {
		write("HTTP/1.1 200 OK\nId: 1\nSeal: s\nTransfer-Encoding: chunked\n\n3\none\n")(conn, request)
		time.Sleep(50 * time.Millisecond)
		write("3\ntwo\n0\n\n")(conn, request)
	})
	response, err := NewPool(decoder{}, DefaultHeldBytes).Do(context.Background(), call(address, "1"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	body, err := response.ReadAll(2, time.Now().Add(time.Second))
	if !errors.Is(err, ErrTooLong) {
		t.Fatalf("got %q, %v", body, err)
	}
	rest, err := response.ReadAll(100, time.Now().Add(time.Second))
	if err != nil || string(body)+string(rest) != "onetwo" {
		t.Errorf("got %q and %q, %v", body, rest, err)
	}
}

// Guards against idle connections that exhaust a target's connection limit. On cordillera-repuestos scale-1, requests
// that require a new connection left theirs idle, and targets reset new connections beyond 100.
func TestIdleConnectionsAreBounded(t *testing.T) {
	var scripts []func(net.Conn, *http.Request)
	for range 3 * maxIdlePerAddress {
		scripts = append(scripts, write(ok1))
	}
	address := target(t, scripts...)
	pool := NewPool(decoder{}, DefaultHeldBytes)
	for range scripts {
		fresh := call(address, "1")
		fresh.NewConnection = true
		if _, _, err := exchange(t, pool, fresh); err != nil {
			t.Fatal(err)
		}
	}
	if kept := len(pool.idle[address]); kept != maxIdlePerAddress {
		t.Errorf("%d idle connections are kept, want %d", kept, maxIdlePerAddress)
	}
}

// Guards against a reader of a chunked body that stays broken after a read that was meant to go on after its timeout.
func TestWatchedReadGoesOnAfterTimeout(t *testing.T) {
	address := target(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
		time.Sleep(150 * time.Millisecond)
		_, _ = io.WriteString(conn, "2\r\ncd\r\n0\r\n\r\n")
	})
	response, err := NewPool(decoder{}, DefaultHeldBytes).Do(context.Background(), call(address, "1"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	var body []byte
	timeouts := 0
	buffer := make([]byte, 16)
	for err == nil {
		var n int
		n, err = response.ReadWatched(buffer, time.Now().Add(50*time.Millisecond), func() (time.Time, bool) {
			timeouts++
			return time.Now().Add(time.Second), true
		})
		body = append(body, buffer[:n]...)
	}
	if !errors.Is(err, io.EOF) || string(body) != "abcd" || timeouts != 1 {
		t.Errorf("body %q after %d timeouts, %v", body, timeouts, err)
	}
}

// Guards against a read that goes on although the caller gave up at the timeout.
func TestWatchedReadFailsAtTimeout(t *testing.T) {
	address := target(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(2 * time.Second)
	})
	response, err := NewPool(decoder{}, DefaultHeldBytes).Do(context.Background(), call(address, "1"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	_, err = response.ReadWatched(make([]byte, 16), time.Now().Add(50*time.Millisecond), func() (time.Time, bool) { return time.Time{}, false })
	var broken *BrokenError
	if !errors.As(err, &broken) || broken.Closed {
		t.Errorf("got %v, want a timeout", err)
	}
}

// Guards against requests that reach a target long after they were given up, since the kernel goes on sending what a cut of
// the link has held up. A reset drops it.
func TestAttemptThatIsGivenUpResetsItsConnection(t *testing.T) {
	for name, giveUp := range map[string]func(ctx context.Context, cancel func(), pool *Pool, c Call){
		"the client left": func(ctx context.Context, cancel func(), pool *Pool, c Call) {
			time.AfterFunc(50*time.Millisecond, cancel)
			_, _ = pool.Do(ctx, c)
		},
		"no head in time": func(ctx context.Context, _ func(), pool *Pool, c Call) {
			c.HeadTimeout = 50 * time.Millisecond
			_, _ = pool.Do(ctx, c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			address := target(t, func(conn net.Conn, _ *http.Request) {
				_, err := conn.Read(make([]byte, 1))
				ended <- err
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			giveUp(ctx, cancel, NewPool(decoder{}, DefaultHeldBytes), call(address, "1"))
			select {
			case err := <-ended:
				if !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the connection ended with %v", err)
				}
			case <-time.After(2 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}
