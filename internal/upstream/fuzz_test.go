package upstream

import (
	"bufio"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
)

// FuzzResponse guards against a response that ends the process or passes as one to another request, and against data
// after it that is taken for the next response.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 OK\r\nId: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\nHTTP/1.1 700 OK\r\nId: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 3\r\n\r\none"))
	f.Add([]byte("HTTP/1.1 204 OK\r\nId: 1\r\n\r\nextra"))
	f.Fuzz(func(t *testing.T, content []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(content)
			_ = far.Close()
		}()
		c := &conn{Conn: stricthttp.NewConn(near), address: "a"}
		c.reader = bufio.NewReaderSize(c, readBuffer)
		response := newResponse(NewPool(decoder{}, DefaultHeldBytes), c)
		response.stopWatch = func() bool { return true }
		defer response.discard()
		if err := response.readHead(Call{Method: "POST", RequestID: "1"}); err != nil {
			return
		}
		if response.Answer.ID != "1" && !response.Answer.NotRun {
			t.Errorf("a response with ID %q was accepted", response.Answer.ID)
		}
		if response.Status < 200 || response.Status > 599 {
			t.Errorf("a response with status %d was accepted", response.Status)
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("a response with field %q was accepted", name)
			}
		}
		_, _ = response.ReadAll(1<<20, time.Now().Add(time.Second))
	})
}
