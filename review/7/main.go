// Command 7 takes a replica away in a planned way, some seconds after the platform's store was down for a moment, and
// checks whether routers still send requests there after the bound.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/review/stage"
)

const (
	routers = 2
	// clients send an order every pause each. A replica runs it for the time of work.
	clients = 10
	pause   = 40 * time.Millisecond
	work    = 100 * time.Millisecond
	wait    = time.Second
	// storeDown is how long the store refuses all calls. leaveAfter is the time from its return until the replica leaves:
	// the store is stable again after stableWindow.
	storeDown    = 800 * time.Millisecond
	stableWindow = 3 * time.Second
	leaveAfter   = stableWindow + 50*time.Millisecond
	// drainTime is the bound of the settings. exitAfter is when the replica exits, "a little longer" after it.
	drainTime = 2 * time.Second
	exitAfter = 2400 * time.Millisecond
	afterTime = 2 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	folder := os.Args[1]
	temporary, err := os.MkdirTemp("", "review-7-")
	if err != nil {
		return cantRun(err)
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	record, err := stage.OpenRecord(folder)
	if err != nil {
		return cantRun(err)
	}
	defer record.Close()
	store, err := stage.StartStore()
	if err != nil {
		return cantRun(err)
	}
	store.Configure(1, []string{"orders"}, stage.Route("order", "unsafe", "orders", wait, 1))
	var replicas []*stage.Replica
	for i := range 2 {
		replica, err := stage.StartReplica(record, fmt.Sprint("i-", i), work)
		if err != nil {
			return cantRun(err)
		}
		replicas = append(replicas, replica)
		store.List(replica.ID, "orders", replica.Address, "ready", 1)
	}
	var fleet []*stage.Router
	var seeds []string
	for i := range routers {
		router, err := stage.StartRouter(temporary, fmt.Sprint("vm-", i), store, 284, 4100, seeds...)
		if err != nil {
			return cantRun(err)
		}
		defer router.Kill()
		fleet = append(fleet, router)
		seeds = append(seeds, router.Control)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var lost atomic.Int64
	for i := range clients {
		group.Go(func() { callOften(record, fleet[i%routers].Front, i, &lost, stop) })
	}
	time.Sleep(stableWindow)
	if stage.Trouble() {
		record.Line("the store refuses all calls with 503")
		store.Refuse(func(string) int { return http.StatusServiceUnavailable })
		time.Sleep(storeDown)
		store.Refuse(nil)
		record.Line("the store is back")
	}
	time.Sleep(leaveAfter)
	leaving := replicas[1]
	store.Remove("servers/" + leaving.ID)
	leftAt := time.Now()
	record.Line("%s leaves: its entry is removed", leaving.ID)
	lostBefore := lost.Load()
	time.Sleep(exitAfter)
	leaving.Exit()
	record.Line("%s has exited", leaving.ID)
	time.Sleep(afterTime)
	close(stop)
	group.Wait()

	late := 0
	var latest time.Duration
	for _, arrival := range leaving.Runs() {
		if age := arrival.At.Sub(leftAt); age > drainTime {
			late++
			latest = max(latest, age)
			record.Line("LATE: %s reached %s %d ms after its entry was removed", arrival.ID, leaving.ID, age.Milliseconds())
		}
	}
	text := fmt.Sprintf("%d orders reached the replica later than %d ms after its entry was removed, the last one after %d ms; %d orders without success since",
		late, drainTime.Milliseconds(), latest.Milliseconds(), lost.Load()-lostBefore)
	fmt.Println(text)
	record.Line("%s", text)
	if late > 0 {
		return stage.Broken
	}
	return stage.Held
}

func cantRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	return stage.CantRun
}

// callOften sends orders on a kept connection.
func callOften(record *stage.Record, address string, client int, lost *atomic.Int64, stop <-chan struct{}) {
	var conn *stage.Connection
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	time.Sleep(time.Duration(client) * (pause + work) / clients) // clients send one after the other
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if conn == nil {
			var err error
			if conn, err = stage.Connect(address); err != nil {
				record.Line("client %d: no connection: %v", client, err)
				continue
			}
		}
		id := fmt.Sprintf("c%d-%d", client, n)
		answer, err := conn.Call("POST", "/order/1", id, "one roller", wait)
		if err != nil {
			lost.Add(1)
			record.Line("client %d: %s got no answer: %v", client, id, err)
			conn.Close()
			conn = nil
			continue
		}
		record.Line("client %d: %s got %d", client, id, answer.Status)
		if answer.Status != http.StatusOK {
			lost.Add(1)
		}
	}
}
