package e2e

import (
	"net/http"
	"strings"
	"testing"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

const (
	submitPath   = "/v1/services/orders/submit"
	ticketHeader = "Amaranth-Ticket"
)

// ticketFor gets a ticket for an order.
func ticketFor(t *testing.T, entry, body string) map[string]string {
	t.Helper()
	got := send(http.MethodPost, entry+submitPath, "press", nil, []byte(body))
	code, ran := got.errorCode()
	if got.status != http.StatusPreconditionRequired || code != "ticket_required" || ran != "no" {
		t.Fatalf("asking for a ticket: status %d, %s", got.status, got.body)
	}
	return map[string]string{ticketHeader: got.header.Get(ticketHeader)}
}

// Guards against an order that runs twice, or whose repeat gets another answer.
func TestOrderRunsOnceThroughAllEntries(t *testing.T) {
	f := start(t, fleet.Default())
	entries := f.Names("entry")
	const body = `{"part":"roller-7"}`
	header := ticketFor(t, f.URL(entries[0]), body)
	var first string
	for i := range 5 {
		got := send(http.MethodPost, f.URL(entries[i%len(entries)])+submitPath, "press", header, []byte(body))
		if got.status != http.StatusOK {
			t.Fatalf("try %d: status %d, %s", i, got.status, got.body)
		}
		if i == 0 {
			first = got.body
		}
		if got.body != first {
			t.Fatalf("try %d got %s, the first %s", i, got.body, first)
		}
	}
	if runs := runsOf(t, f, body); runs != 1 {
		t.Fatalf("the order ran %d times", runs)
	}
}

// Guards against a ticket that serves for another order, customer or fleet.
func TestTicketIsBoundToItsRequest(t *testing.T) {
	f := start(t, fleet.Default())
	entry := f.URL(f.Names("entry")[0])
	header := ticketFor(t, entry, `{"part":"a"}`)
	forged := map[string]string{ticketHeader: strings.Repeat("A", len(header[ticketHeader]))}
	cases := []struct {
		name     string
		customer string
		header   map[string]string
		body     string
		status   int
		code     string
	}{
		{"other body", "press", header, `{"part":"b"}`, 403, "ticket_invalid"},
		{"other customer", "rose", header, `{"part":"a"}`, 403, "foreign_customer"},
		{"forged", "press", forged, `{"part":"a"}`, 403, "ticket_invalid"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := send(http.MethodPost, entry+submitPath, c.customer, c.header, []byte(c.body))
			code, ran := got.errorCode()
			if got.status != c.status || code != c.code || ran != "no" {
				t.Fatalf("status %d, code %q, ran %q", got.status, code, ran)
			}
		})
	}
}

// Guards against lost tickets on a rolling restart: an order that ran before it must get the same answer after it.
func TestTicketsSurviveRollingRestart(t *testing.T) {
	f := start(t, fleet.Default())
	entry := f.URL(f.Names("entry")[0])
	const done, open = `{"part":"done"}`, `{"part":"open"}`
	doneTicket := ticketFor(t, entry, done)
	want := send(http.MethodPost, entry+submitPath, "press", doneTicket, []byte(done))
	openTicket := ticketFor(t, entry, open)
	for _, gate := range f.Names("gate") {
		if err := f.Restart(gate, startLimit); err != nil {
			t.Fatal(err)
		}
	}
	if got := send(http.MethodPost, entry+submitPath, "press", doneTicket, []byte(done)); got.body != want.body {
		t.Errorf("the repeat got %d %s, the first try %s", got.status, got.body, want.body)
	}
	got := send(http.MethodPost, entry+submitPath, "press", openTicket, []byte(open))
	if _, ran := got.errorCode(); ran == "unknown" {
		t.Errorf("the open order got %d %s", got.status, got.body)
	}
	if runs := runsOf(t, f, done); runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}
