package stricthttptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/loopback"
)

// Serve listens on loopback until the test ends and returns its address. respond is called for the first request of each
// connection, of which only the head has been read; the connection is closed when it returns.
func Serve(t testing.TB, respond func(conn *net.TCPConn, request *http.Request)) string {
	t.Helper()
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// ServeText serves the same response to each request, once the request has been read completely.
func ServeText(t testing.TB, response string) string {
	t.Helper()
	return Serve(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
	})
}

// ResetAfter writes a response and resets the connection at once, while the request's body is still being sent.
func ResetAfter(conn *net.TCPConn, response string) {
	_, _ = io.WriteString(conn, response)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// EndAndResetAfter writes a response at once, ends it, and resets the connection while the request's body is still being
// sent: the response is complete.
func EndAndResetAfter(conn *net.TCPConn, response string) {
	_, _ = io.WriteString(conn, response)
	_ = conn.CloseWrite()
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// drainTime is how long EndAfter goes on reading a request whose sender does not stop.
const drainTime = 5 * time.Second

// EndAfter writes a response at once, ends it, and reads the rest of the request.
func EndAfter(conn *net.TCPConn, response string) {
	_, _ = io.WriteString(conn, response)
	_ = conn.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.Copy(io.Discard, conn)
}
