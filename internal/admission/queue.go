package admission

import (
	"math"
	"time"
)

// classes is the number of urgency classes; 0 is the most urgent.
const classes = 3

// maxBypasses is the number of consecutive starts of more urgent classes after which a class with waiting requests gets
// the next start. It keeps less urgent classes from starving.
const maxBypasses = 8

// classWeight weights the classes when a full queue has to choose whose request to evict.
var classWeight = [classes]float64{4, 2, 1}

// reserveDivisor is the inverse of the fraction of the queue's capacity that is reserved for each class.
const reserveDivisor = 8

// flow holds the waiting requests of one customer in one class, in order of arrival.
type flow struct {
	customer   *customer
	head, tail int32
	length     int
	// startTag is the virtual start time of the next request, as in start-time fair queueing with a cost of 1 / weight
	// per request.
	startTag float64
}

// classQueue schedules the flows of one class.
type classQueue struct {
	flows       []flow
	virtualTime float64
	length      int
	bypasses    int // consecutive starts of more urgent classes while requests wait here
}

// queue holds the requests that wait for one target. Its length is bounded by the pool's settings, so that scans of its
// flows are short.
type queue struct {
	classes [classes]classQueue
	length  int
	// nextExpiry is at or before the earliest expiry of the waiting requests.
	nextExpiry time.Duration
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

// findOrCreate returns the index of the customer's flow, which it creates if needed.
func (c *classQueue) findOrCreate(customer *customer) int {
	if i := c.find(customer); i >= 0 {
		return i
	}
	c.prune()
	c.flows = append(c.flows, flow{customer: customer, head: noRecord, tail: noRecord, startTag: c.virtualTime})
	return len(c.flows) - 1
}

// prune removes the empty flows whose start tag is not ahead of the virtual time. The others are kept: otherwise a
// customer could reset its start tag by letting its flow run empty.
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

// reset removes all flows at the end of a busy period.
func (c *classQueue) reset() {
	clear(c.flows)
	c.flows = c.flows[:0]
	c.virtualTime = 0
	c.bypasses = 0
}

// nextFlow returns the index of the waiting flow with the lowest start tag, or -1. Flows with equal start tags are
// ordered by the arrival of their first requests.
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

// push appends a waiting record to its customer's flow.
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
	if q.length == 0 || r.expiresAt < q.nextExpiry {
		q.nextExpiry = r.expiresAt
	}
	q.length++
}

// pop removes and returns the record to start next, or returns noRecord.
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

// nextClass returns the most urgent class with waiting requests, unless a less urgent one has reached maxBypasses. It
// returns -1 if no request waits.
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

// requestsAhead estimates how many waiting requests start before a new one of the customer: all those of more urgent
// classes, and those of its own class that fair queueing schedules earlier.
func (q *queue) requestsAhead(class uint8, customer *customer) int {
	moreUrgent := 0
	for i := range class {
		moreUrgent += q.classes[i].length
	}
	c := &q.classes[class]
	totalWeight, own := customer.weight(), 0
	for i := range c.flows {
		f := &c.flows[i]
		switch {
		case f.customer == customer:
			own = f.length
		case f.length > 0:
			totalWeight += f.customer.weight()
		}
	}
	sameClass := math.Ceil(float64(own+1)*totalWeight/customer.weight()) - 1
	return moreUrgent + min(c.length, int(sameClass))
}

// victim returns the record to evict from a full queue in favour of a new request: the last one of the flow with the
// highest weighted occupancy, if that is higher than the occupancy of the new request's flow would be, else noRecord.
// This keeps a surging customer from excluding the others. Requests of other classes can't take a class's reserve.
func (q *queue) victim(class uint8, customer *customer, capacity int) int32 {
	reserve := max(capacity/reserveDivisor, 1)
	maxOccupancy := q.occupancyAfterPush(class, customer)
	claimsReserve := q.classes[class].length < reserve
	if claimsReserve {
		maxOccupancy = 0
	}
	victim := noRecord
	for i := range q.classes {
		sameClass := i == int(class)
		if (sameClass && claimsReserve) || (!sameClass && q.classes[i].length <= reserve) {
			continue
		}
		for j := range q.classes[i].flows {
			f := &q.classes[i].flows[j]
			occupancy := float64(f.length) / (f.customer.weight() * classWeight[i])
			if f.length > 0 && occupancy > maxOccupancy {
				maxOccupancy, victim = occupancy, f.tail
			}
		}
	}
	return victim
}

// occupancyAfterPush returns the weighted occupancy that the customer's flow would have with one more request.
func (q *queue) occupancyAfterPush(class uint8, customer *customer) float64 {
	own := 0
	if i := q.classes[class].find(customer); i >= 0 {
		own = q.classes[class].flows[i].length
	}
	return float64(own+1) / (customer.weight() * classWeight[class])
}
