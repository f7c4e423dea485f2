package admission

import (
	"math"
	"time"
)

// classes is the number of urgency classes; 0 is the most urgent.
const classes = 3

// maxBypasses is the number of starts for which a class with waiting requests may be passed over in favour of more
// urgent ones. It keeps less urgent classes from starving.
const maxBypasses = 8

// classWeight weighs the classes when a full queue has to choose whose request to drop.
var classWeight = [classes]float64{4, 2, 1}

// reserveDivisor is the inverse of the part of a queue that each class may always use.
const reserveDivisor = 8

// flow holds the waiting requests of one customer in one class, in order of arrival.
type flow struct {
	customer   *customer
	head, tail int32
	length     int
	// startTag is the virtual time at which the next request is due, as in start-time fair queueing with cost 1 /
	// weight.
	startTag float64
}

// classQueue schedules the requests of one class among its flows.
type classQueue struct {
	flows       []flow
	virtualTime float64
	length      int
	bypasses    int // consecutive starts of more urgent classes while this one waits
}

// queue holds the requests that wait for one target. Its length is bounded by the pool's settings, so scans of its
// flows are short.
type queue struct {
	classes [classes]classQueue
	length  int
	// expires is at or before the earliest expiry of a waiting request.
	expires time.Duration
}

// find returns the index of the customer's flow, or -1.
func (c *classQueue) find(customer *customer) int {
	for i := range c.flows {
		if c.flows[i].customer == customer {
			return i
		}
	}
	return -1
}

// findOrCreate returns the index of the customer's flow and creates it if needed.
func (c *classQueue) findOrCreate(customer *customer) int {
	if i := c.find(customer); i >= 0 {
		return i
	}
	c.prune()
	c.flows = append(c.flows, flow{customer: customer, head: noRecord, tail: noRecord, startTag: c.virtualTime})
	return len(c.flows) - 1
}

// prune removes the empty flows whose virtual time has passed. Those ahead of it are kept, or a customer could reset
// its virtual time by letting its queue run empty.
func (c *classQueue) prune() {
	kept := c.flows[:0]
	for _, f := range c.flows {
		if f.length > 0 || f.startTag > c.virtualTime {
			kept = append(kept, f)
		}
	}
	clear(c.flows[len(kept):])
	c.flows = kept
}

// reset ends a busy period.
func (c *classQueue) reset() {
	clear(c.flows)
	c.flows = c.flows[:0]
	c.virtualTime = 0
	c.bypasses = 0
}

// nextFlow returns the index of the flow that is due, or -1. Flows that are due at the same virtual time take turns by
// the arrival of their first requests.
func (c *classQueue) nextFlow(t *table) int {
	best := -1
	for i := range c.flows {
		f := &c.flows[i]
		if f.length > 0 && (best < 0 || f.before(&c.flows[best], t)) {
			best = i
		}
	}
	return best
}

func (f *flow) before(other *flow, t *table) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return t.records[f.head].stateSince < t.records[other.head].stateSince
}

// push appends a waiting record.
func (q *queue) push(t *table, i int32) {
	r := &t.records[i]
	c := &q.classes[r.class]
	f := &c.flows[c.findOrCreate(r.customer)]
	if f.length == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
		f.head = i
	} else {
		t.records[f.tail].next = i
	}
	r.prev, r.next = f.tail, noRecord
	if f.length == 0 {
		r.prev = noRecord
	}
	f.tail = i
	f.length++
	c.length++
	if q.length == 0 || r.expires < q.expires {
		q.expires = r.expires
	}
	q.length++
}

// pop removes the record that is due, or returns none.
func (q *queue) pop(t *table) int32 {
	class := q.nextClass()
	if class < 0 {
		return noRecord
	}
	c := &q.classes[class]
	f := &c.flows[c.nextFlow(t)]
	i := f.head
	c.virtualTime = f.startTag
	f.startTag += 1 / f.customer.weight()
	q.remove(t, i)
	return i
}

// nextClass returns the most urgent class that waits, or one that has been passed over too often.
func (q *queue) nextClass() int {
	chosen := -1
	for class := range q.classes {
		c := &q.classes[class]
		if c.length > 0 && (chosen < 0 || c.bypasses >= maxBypasses) {
			chosen = class
		}
	}
	if chosen < 0 {
		return -1
	}
	q.classes[chosen].bypasses = 0
	for class := chosen + 1; class < classes; class++ {
		if q.classes[class].length > 0 {
			q.classes[class].bypasses++
		}
	}
	return chosen
}

// remove takes a waiting record out of its flow.
func (q *queue) remove(t *table, i int32) {
	r := &t.records[i]
	c := &q.classes[r.class]
	f := &c.flows[c.find(r.customer)]
	if r.prev == noRecord {
		f.head = r.next
	} else {
		t.records[r.prev].next = r.next
	}
	if r.next == noRecord {
		f.tail = r.prev
	} else {
		t.records[r.next].prev = r.prev
	}
	r.next, r.prev = noRecord, noRecord
	f.length--
	c.length--
	q.length--
	if c.length == 0 {
		c.reset()
	}
}

// requestsAhead estimates how many waiting requests start before a new one of the customer: those of more urgent
// classes, and of its own class what fair sharing lets pass.
func (q *queue) requestsAhead(class uint8, customer *customer) int {
	urgent := 0
	for i := range class {
		urgent += q.classes[i].length
	}
	c := &q.classes[class]
	weights, own := customer.weight(), 0
	for i := range c.flows {
		f := &c.flows[i]
		switch {
		case f.customer == customer:
			own = f.length
		case f.length > 0:
			weights += f.customer.weight()
		}
	}
	fair := math.Ceil(float64(own+1)*weights/customer.weight()) - 1
	return urgent + min(c.length, int(fair))
}

// victim returns the last record of the flow that holds the most of a full queue for its weight, if that is more than
// the new request's flow would hold, else none. This keeps a surging customer from excluding the others. Each class
// keeps a reserve that requests of other classes can't take.
func (q *queue) victim(class uint8, customer *customer, capacity int) int32 {
	reserve := max(capacity/reserveDivisor, 1)
	most := q.shareAfterPush(class, customer)
	claimsReserve := q.classes[class].length < reserve
	if claimsReserve {
		most = 0
	}
	victim := noRecord
	for i := range q.classes {
		same := i == int(class)
		if (same && claimsReserve) || (!same && q.classes[i].length <= reserve) {
			continue
		}
		for j := range q.classes[i].flows {
			f := &q.classes[i].flows[j]
			share := float64(f.length) / (f.customer.weight() * classWeight[i])
			if f.length > 0 && share > most {
				most, victim = share, f.tail
			}
		}
	}
	return victim
}

// shareAfterPush returns the weighted part of the queue that the customer's flow would hold with one more request.
func (q *queue) shareAfterPush(class uint8, customer *customer) float64 {
	own := 0
	if i := q.classes[class].find(customer); i >= 0 {
		own = q.classes[class].flows[i].length
	}
	return float64(own+1) / (customer.weight() * classWeight[class])
}
