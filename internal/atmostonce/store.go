package atmostonce

import (
	"bytes"
	"container/heap"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// record is what a machine knows of one ticket.
type record struct {
	ticket ticket.Ticket
	state  string
	// startBy is the last time at which the run may start.
	startBy time.Duration
	// expiry is the later of the expiries by monotonic and by wall clock; retention counts from it.
	expiry   time.Duration
	executor uint64
	result   Result
	sealed   bool
	calls    []Call
	first    Call
	attempt  int
	moves    int
	witness  ticket.Gate
	// unsent says that the witness has not confirmed the outcome.
	unsent bool
	sentAt time.Duration
}

// expiring is an entry of the heap by which records are forgotten.
type expiring struct {
	at time.Duration
	id ticket.ID
}

type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiring)) }
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// store holds the records of one machine within its limits.
type store struct {
	config  Config
	records map[ticket.ID]*record
	queue   expiryHeap
	sealed  int
	// active counts the records that reserve room for an answer.
	active int
	bytes  int64
}

func newStore(config Config) store {
	return store{config: config, records: make(map[ticket.ID]*record)}
}

// newRecord returns a record that is not stored yet.
func (s *store) newRecord(now time.Duration, t ticket.Ticket, left time.Duration, state string) *record {
	lifetime := s.config.Timing.Expiry
	return &record{
		ticket:  t,
		state:   state,
		startBy: now + min(lifetime, left),
		expiry:  now + max(lifetime, left),
		witness: t.Witness,
	}
}

// inheritedRecord returns a record from a hand-over. It never starts a run.
func (s *store) inheritedRecord(now time.Duration, from Record) *record {
	return &record{
		ticket:   from.Ticket,
		state:    from.State,
		startBy:  now,
		expiry:   now + from.Left,
		executor: from.Executor,
		witness:  from.Ticket.Witness,
	}
}

func (s *store) insert(rec *record) {
	s.records[rec.ticket.ID] = rec
	heap.Push(&s.queue, expiring{at: s.forgetAt(rec), id: rec.ticket.ID})
}

func (s *store) forgetAt(rec *record) time.Duration {
	return rec.expiry + s.config.Timing.Grace + s.config.Timing.Skew
}

// setResult stores the result and counts its size.
func (s *store) setResult(rec *record, result Result) {
	s.drop(rec)
	rec.result = result
	rec.sealed = result.Answer == nil && result.Ran == reason.No
	s.bytes += result.size()
	if rec.sealed {
		s.sealed++
	}
}

// drop takes the result of a record out of the counts.
func (s *store) drop(rec *record) {
	s.bytes -= rec.result.size()
	if rec.sealed {
		s.sealed--
	}
}

// forget removes the records whose time is over. Records for which keep is true wait another grace period.
func (s *store) forget(now time.Duration, keep func(*record) bool) {
	for len(s.queue) > 0 && s.queue[0].at <= now {
		oldest := heap.Pop(&s.queue).(expiring)
		rec := s.records[oldest.id]
		if keep(rec) {
			heap.Push(&s.queue, expiring{at: now + s.config.Timing.Grace, id: oldest.id})
			continue
		}
		s.drop(rec)
		delete(s.records, oldest.id)
	}
}

// roomForSeal reports whether a sealed record fits.
func (s *store) roomForSeal() bool {
	return len(s.records) < s.config.Limits.Records+s.config.Limits.Seals
}

// roomForRecord reports whether another record fits that is not sealed.
func (s *store) roomForRecord() bool {
	return s.roomForSeal() && len(s.records)-s.sealed < s.config.Limits.Records
}

// roomForActive reports whether another record fits together with the room that it reserves for its answer.
func (s *store) roomForActive() bool {
	reserved := int64(s.active+1) * s.config.Limits.AnswerSize
	return s.roomForRecord() && s.bytes+reserved <= s.config.Limits.AnswerBytes
}

// roomForAnswer reports whether an answer fits into what is not reserved.
func (s *store) roomForAnswer(size int64) bool {
	reserved := int64(s.active) * s.config.Limits.AnswerSize
	return size <= s.config.Limits.AnswerSize && s.bytes+reserved+size <= s.config.Limits.AnswerBytes
}

// roomForAll reports whether all records of a hand-over fit.
func (s *store) roomForAll(records []Record) bool {
	size := int64(s.active) * s.config.Limits.AnswerSize
	open := len(s.records) - s.sealed
	for _, rec := range records {
		size += rec.Result.size()
		if rec.Result.Ran != reason.No {
			open++
		}
	}
	total := len(s.records) + len(records)
	limits := s.config.Limits
	return open <= limits.Records && total <= limits.Records+limits.Seals && s.bytes+size <= limits.AnswerBytes
}

// sorted returns the records in the order of their IDs, so that a seeded schedule gives the same effects each time.
func (s *store) sorted(pick func(*record) bool) []*record {
	var picked []*record
	for _, rec := range s.records {
		if pick(rec) {
			picked = append(picked, rec)
		}
	}
	slices.SortFunc(picked, func(a, b *record) int {
		return bytes.Compare(a.ticket.ID[:], b.ticket.ID[:])
	})
	return picked
}
