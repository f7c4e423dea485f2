package admission

import (
	"slices"
	"time"
)

// CustomerCount counts the requests in flight of one customer at one target.
type CustomerCount struct {
	Customer string
	Count    int
	// Deadline is when the last of them ends at the latest; 0 means that only a report ends them.
	Deadline time.Duration
}

// Handover reports the requests that a previous owner still has in flight at a target.
type Handover struct {
	Target string
	// From names the previous owner's process, incarnation included.
	From string
	// Number grows with each handover that the successor asks of From.
	Number uint64
	Counts []CustomerCount
}

// batch holds the counts of one previous owner.
type batch struct {
	from   string
	number uint64
	counts []CustomerCount
}

// takenOver holds the requests that previous owners have in flight. They end by report or by deadline.
type takenOver struct {
	batches []batch
	total   int
}

// merge takes over a report. Within one handover a count only falls, because the previous owner has stopped
// admitting; thus reports may come late, twice or out of order.
func (o *takenOver) merge(h Handover) {
	i := slices.IndexFunc(o.batches, func(b batch) bool { return b.from == h.From })
	switch {
	case i < 0:
		o.batches = append(o.batches, batch{h.From, h.Number, slices.Clone(h.Counts)})
	case h.Number > o.batches[i].number:
		o.batches[i] = batch{h.From, h.Number, slices.Clone(h.Counts)}
	case h.Number == o.batches[i].number:
		o.batches[i].lower(h.Counts)
	}
	o.sum()
}

// lower reduces each count to the reported one; a customer that is not reported has none left.
func (b *batch) lower(counts []CustomerCount) {
	for i := range b.counts {
		reported := 0
		for _, c := range counts {
			if c.Customer == b.counts[i].Customer {
				reported += c.Count
			}
		}
		b.counts[i].Count = min(b.counts[i].Count, reported)
	}
}

// expire ends the counts whose deadline has passed and forgets batches that have none left. A batch that has been
// reported empty is kept until then, so that a late report can't bring its counts back.
func (o *takenOver) expire(now time.Duration) {
	expired := func(c CustomerCount) bool { return c.Deadline != 0 && now >= c.Deadline }
	for i := range o.batches {
		o.batches[i].counts = slices.DeleteFunc(o.batches[i].counts, expired)
	}
	o.batches = slices.DeleteFunc(o.batches, func(b batch) bool { return len(b.counts) == 0 })
	o.sum()
}

func (o *takenOver) sum() {
	o.total = 0
	for _, b := range o.batches {
		for _, c := range b.counts {
			o.total += c.Count
		}
	}
}
