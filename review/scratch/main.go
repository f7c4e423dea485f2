package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/review/stage"
)

func main() {
	kind := os.Args[1]
	tmp, _ := os.MkdirTemp("", "scr-")
	rec, _ := stage.OpenRecord(tmp)
	store, _ := stage.StartStore()
	store.Configure(1, []string{"orders"}, stage.Route("order", "unsafe", "orders", time.Second, 1), stage.Route("report", "safe", "orders", 15*time.Second, 2))
	for i := range 3 {
		rep, _ := stage.StartReplica(rec, fmt.Sprint("i-", i), 30*time.Millisecond)
		store.List(rep.ID, "orders", rep.Address, "ready", 1)
	}
	r, err := stage.StartRouter(tmp, "vm", store, 136, 2870)
	if err != nil {
		panic(err)
	}
	defer r.Kill()
	stop := make(chan struct{})
	var ok, bad, attack atomic.Int64
	var last atomic.Value
	var wg sync.WaitGroup
	bodySize := 100
	if len(os.Args) > 2 {
		fmt.Sscan(os.Args[2], &bodySize)
	}
	for c := range 10 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				st, err := call(r.Front, fmt.Sprintf("c%d-%d", c, n), bodySize)
				if err == nil && st == 200 {
					ok.Add(1)
				} else {
					bad.Add(1)
					last.Store(fmt.Sprint(st, err))
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	fmt.Println("calm ok", ok.Swap(0), "bad", bad.Swap(0), "peak", r.PeakMemoryMB())
	end := time.Now().Add(10 * time.Second)
	head := func(extra string) string {
		return "POST /report/1 HTTP/1.1\r\nHost: " + stage.Host + "\r\nAmaranthlb-Request-Id: x\r\nAmaranthlb-Deadline: 15000\r\n" + extra
	}
	auth := "Authorization: Bearer " + stage.OtherKey + "\r\n"
	var ag sync.WaitGroup
	run := func(conns int, f func(c net.Conn)) {
		for range conns {
			ag.Go(func() {
				for time.Now().Before(end) {
					c, err := net.DialTimeout("tcp4", r.Front, time.Second)
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					attack.Add(1)
					_ = c.SetDeadline(end)
					f(c)
					_ = c.Close()
				}
			})
		}
	}
	hold := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	big := strings.Repeat("x", 64<<10)
	switch kind {
	case "heads":
		run(1500, func(c net.Conn) { fmt.Fprint(c, head("A: "+big[:8000])); hold(c) })
	case "smallheads":
		run(3000, func(c net.Conn) { fmt.Fprint(c, head("")); hold(c) })
	case "empty":
		run(200, func(c net.Conn) {
			for {
				if _, err := c.Write([]byte(strings.Repeat("\r\n", 8<<10))); err != nil {
					return
				}
			}
		})
	case "silent":
		run(3000, func(c net.Conn) { hold(c) })
	case "tiny":
		run(120, func(c net.Conn) {
			fmt.Fprint(c, head(auth+"Transfer-Encoding: chunked\r\n\r\n"))
			for {
				if _, err := c.Write([]byte(strings.Repeat("1\r\nx\r\n", 4<<10))); err != nil {
					return
				}
			}
		})
	case "over":
		run(120, func(c net.Conn) {
			fmt.Fprint(c, head(auth+"Transfer-Encoding: chunked\r\n\r\n"))
			for {
				if _, err := fmt.Fprintf(c, "10000\r\n%s\r\n", big); err != nil {
					return
				}
			}
		})
	case "announced":
		run(200, func(c net.Conn) {
			fmt.Fprint(c, head(auth+"Content-Length: 100000000\r\n\r\n"))
			for {
				if _, err := c.Write([]byte(big)); err != nil {
					return
				}
			}
		})
	case "stop":
		run(400, func(c net.Conn) {
			fmt.Fprint(c, head(auth+"Transfer-Encoding: chunked\r\n\r\n"))
			for range 60 {
				if _, err := fmt.Fprintf(c, "10000\r\n%s\r\n", big); err != nil {
					return
				}
			}
			hold(c)
		})
	case "nokey-over":
		run(200, func(c net.Conn) {
			fmt.Fprint(c, head("Transfer-Encoding: chunked\r\n\r\n"))
			for {
				if _, err := fmt.Fprintf(c, "10000\r\n%s\r\n", big); err != nil {
					return
				}
			}
		})
	case "mix":
		run(300, func(c net.Conn) { fmt.Fprint(c, head(strings.Repeat("A: b\r\n", 2600))); hold(c) })
		run(200, func(c net.Conn) {
			fmt.Fprint(c, head(auth+"Transfer-Encoding: chunked\r\n\r\n"))
			for range 60 {
				if _, err := fmt.Fprintf(c, "10000\r\n%s\r\n", big); err != nil {
					return
				}
			}
			hold(c)
		})
		run(60, func(c net.Conn) {
			fmt.Fprint(c, head(auth+"Transfer-Encoding: chunked\r\n\r\n"))
			for {
				if _, err := c.Write([]byte(strings.Repeat("1\r\nx\r\n", 4<<10))); err != nil {
					return
				}
			}
		})
	}
	for range 5 {
		time.Sleep(2 * time.Second)
		fmt.Println(kind, "during: ok", ok.Swap(0), "bad", bad.Swap(0), last.Load(), "attacks", attack.Swap(0), "peak", r.PeakMemoryMB(), "ready", r.IsReady(), r.Running())
	}
	ag.Wait()
	time.Sleep(2 * time.Second)
	fmt.Println("after: ok", ok.Swap(0), "bad", bad.Swap(0), "peak", r.PeakMemoryMB(), r.Running())
	close(stop)
	wg.Wait()
}

func call(addr, id string, size int) (int, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	body := strings.Repeat("y", size)
	fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nAmaranthlb-Request-Id: %s\r\nAmaranthlb-Deadline: 1000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", stage.Host, id, stage.Key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
