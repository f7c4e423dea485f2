package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/ticket"
	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
	"github.com/amaranthlb/amaranthlb/standin/service"
)

// order is one non-repeatable request with its ticket and what its callers got.
type order struct {
	body   string
	header map[string]string
	ticket ticket.Ticket

	mu      sync.Mutex
	replies []reply
}

// send sends the order through an entry and keeps the reply.
func (o *order) send(entry string) {
	got := send(http.MethodPost, entry+submitPath, "press", o.header, []byte(o.body))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replies = append(o.replies, got)
}

// newOrder gets a ticket for an order from an entry.
func newOrder(t *testing.T, f *fleet.Fleet, entry, body string) *order {
	t.Helper()
	codec, err := ticket.NewCodec(f.FleetKey())
	must(t, err)
	o := &order{body: body, header: ticketFor(t, entry, body)}
	o.ticket, err = codec.DecodeText(o.header[ticketHeader])
	must(t, err)
	return o
}

// ordersOfOnePair gets tickets until enough of them name the same executor and witness, in different zones where
// the fleet has several.
func ordersOfOnePair(t *testing.T, f *fleet.Fleet, count int, label string) []*order {
	t.Helper()
	const ticketTries = 400
	entries := f.Names("entry")
	pairs := make(map[string][]*order)
	for i := range ticketTries {
		o := newOrder(t, f, f.URL(entries[i%len(entries)]), fmt.Sprintf(`{"part":"%s-%d"}`, label, i))
		if o.ticket.Executor.Zone == o.ticket.Witness.Zone && !f.OneZone() {
			continue
		}
		pair := o.ticket.Executor.Name + " " + o.ticket.Witness.Name
		pairs[pair] = append(pairs[pair], o)
		if len(pairs[pair]) == count {
			return pairs[pair]
		}
	}
	t.Fatalf("no pair of gates got %d of %d tickets", count, ticketTries)
	return nil
}

// tally counts what came of orders.
type tally struct {
	orders, answered, notRun, unknown, ran int
	// codes counts refused tries.
	codes map[string]int
}

func (t tally) String() string {
	return fmt.Sprintf("%d orders, %d ran, %d answered, %d not run, %d unknown, tries refused %v",
		t.orders, t.ran, t.answered, t.notRun, t.unknown, t.codes)
}

// unknownRule says when "unknown" is a permitted answer.
type unknownRule int

const (
	// unknownNever is for failures that leave the executor able to answer.
	unknownNever unknownRule = iota
	// unknownIfRan is for failures of the target, which alone knows what came of a run.
	unknownIfRan
	// unknownAllowed is for an executor that fails when the witness may have recorded the intent.
	unknownAllowed
)

// check compares the replies of an order with the logs of the services.
func (o *order) check(t *testing.T, runs int, rule unknownRule, count *tally) {
	t.Helper()
	count.orders++
	if runs > 0 {
		count.ran++
	}
	if runs > 1 {
		t.Errorf("%s ran %d times", o.body, runs)
	}
	var answer string
	var notRun, unknown bool
	for i, got := range o.replies {
		code, ran := got.errorCode()
		count.refused(code, ran)
		switch {
		case got.err != nil:
			// The entry was killed; its caller learned nothing.
		case got.status == http.StatusOK:
			o.checkAnswer(t, i, runs, got.body, &answer)
		case ran == "no":
			notRun = true
			if runs != 0 {
				t.Errorf("%s: try %d got %s with ran: no, but the order ran", o.body, i, code)
			}
		case ran == "unknown":
			unknown = true
			if rule == unknownNever || rule == unknownIfRan && runs == 0 {
				t.Errorf("%s: try %d got %s with ran: unknown: %s", o.body, i, code, got.body)
			}
		default:
			t.Errorf("%s: try %d got status %d: %.200s", o.body, i, got.status, got.body)
		}
	}
	count.add(answer != "", notRun, unknown)
}

func (t *tally) refused(code, ran string) {
	if code == "" {
		return
	}
	if t.codes == nil {
		t.codes = make(map[string]int)
	}
	t.codes[code+" "+ran]++
}

func (t *tally) add(answered, notRun, unknown bool) {
	if answered {
		t.answered++
	}
	if notRun {
		t.notRun++
	}
	if unknown {
		t.unknown++
	}
}

func (o *order) checkAnswer(t *testing.T, try, runs int, body string, first *string) {
	t.Helper()
	if err := service.Check([]byte(body), http.MethodPost, "/submit", []byte(o.body)); err != nil {
		t.Errorf("%s: try %d: %v", o.body, try, err)
	}
	if runs != 1 {
		t.Errorf("%s: try %d was answered, but the services logged %d runs", o.body, try, runs)
	}
	if *first == "" {
		*first = body
	}
	if body != *first {
		t.Errorf("%s: try %d got another answer than an earlier one: %s, %s", o.body, try, body, *first)
	}
}

// countRuns returns how often each body ran.
func countRuns(runs []backend.Run) map[string]int {
	counts := make(map[string]int)
	for _, run := range runs {
		counts[run.Body]++
	}
	return counts
}

// sendTimes returns when an order is sent, after the first try, for 1 to 5 tries in turn.
func sendTimes(number int, failure time.Duration) []time.Duration {
	soon, after, late, last := 60*time.Millisecond, failure+150*time.Millisecond, failure+time.Second, failure+2500*time.Millisecond
	schedules := [][]time.Duration{
		{0},
		{0, last},
		{0, soon, after},
		{0, soon, after, last},
		{0, soon, after, late, last},
	}
	return schedules[number%len(schedules)]
}
