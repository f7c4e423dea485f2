package atmostonce

import (
	"bytes"
	"container/heap"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// record is the state of one ticket in a state machine.
type record struct {
	ticket ticket.Ticket
	state  string
	// startDeadline is the time from which the run may no longer start.
	startDeadline time.Duration
	// expiry is the later of the monotonic and wall-clock expiries; the retention period begins at it.
	expiry           time.Duration
	executor         uint64
	result           Result
	sealed           bool
	waitingCalls     []Call
	firstCall        Call
	attempt          int
	witnessRedirects int
	witness          ticket.Gate
	// unconfirmed is true until the witness confirms the outcome.
	unconfirmed   bool
	outcomeSentAt time.Duration
}

// expiryEntry is an entry of the heap that orders records by eviction time.
type expiryEntry struct {
	at time.Duration
	id ticket.ID
}

type expiryHeap []expiryEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiryEntry)) }
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// store holds the records of one state machine within its limits.
type store struct {
	config      Config
	records     map[ticket.ID]*record
	expiryQueue expiryHeap
	sealedCount int
	// activeCount is the number of records that reserve space for an answer.
	activeCount int
	answerBytes int64
}

func newStore(config Config) store {
	return store{config: config, records: make(map[ticket.ID]*record)}
}

// newRecord returns a record that is not stored yet.
func (s *store) newRecord(now time.Duration, t ticket.Ticket, left time.Duration, state string) *record {
	lifetime := s.config.Timing.Expiry
	return &record{
		ticket:        t,
		state:         state,
		startDeadline: now + min(lifetime, left),
		expiry:        now + max(lifetime, left),
		witness:       t.Witness,
	}
}

// inheritedRecord returns a record received in a hand-over. Its start deadline is now, so it never starts a run.
func (s *store) inheritedRecord(now time.Duration, from Record) *record {
	return &record{
		ticket:        from.Ticket,
		state:         from.State,
		startDeadline: now,
		expiry:        now + from.Remaining,
		executor:      from.Executor,
		witness:       from.Ticket.Witness,
	}
}

func (s *store) insert(rec *record) {
	s.records[rec.ticket.ID] = rec
	heap.Push(&s.expiryQueue, expiryEntry{at: s.evictionTime(rec), id: rec.ticket.ID})
}

func (s *store) evictionTime(rec *record) time.Duration {
	return rec.expiry + s.config.Timing.GracePeriod + s.config.Timing.ClockSkew
}

// setResult stores the result and counts its size.
func (s *store) setResult(rec *record, result Result) {
	s.uncountResult(rec)
	rec.result = result
	rec.sealed = result.Answer == nil && result.Ran == reason.NotRun
	s.answerBytes += result.size()
	if rec.sealed {
		s.sealedCount++
	}
}

// uncountResult subtracts the result of a record from the byte and seal counts.
func (s *store) uncountResult(rec *record) {
	s.answerBytes -= rec.result.size()
	if rec.sealed {
		s.sealedCount--
	}
}

// evictExpired removes the records past their eviction time. Records for which keep is true stay for another grace
// period.
func (s *store) evictExpired(now time.Duration, keep func(*record) bool) {
	for len(s.expiryQueue) > 0 && s.expiryQueue[0].at <= now {
		oldest := heap.Pop(&s.expiryQueue).(expiryEntry)
		rec := s.records[oldest.id]
		if keep(rec) {
			heap.Push(&s.expiryQueue, expiryEntry{at: now + s.config.Timing.GracePeriod, id: oldest.id})
			continue
		}
		s.uncountResult(rec)
		delete(s.records, oldest.id)
	}
}

// roomForSeal reports whether a sealed record fits.
func (s *store) roomForSeal() bool {
	return len(s.records) < s.config.Limits.Records+s.config.Limits.SealedRecords
}

// roomForRecord reports whether another unsealed record fits.
func (s *store) roomForRecord() bool {
	return s.roomForSeal() && len(s.records)-s.sealedCount < s.config.Limits.Records
}

// roomForActive reports whether another active record fits, including the space reserved for its answer.
func (s *store) roomForActive() bool {
	reserved := int64(s.activeCount+1) * s.config.Limits.AnswerSize
	return s.roomForRecord() && s.answerBytes+reserved <= s.config.Limits.AnswerBytes
}

// roomForAnswer reports whether an answer fits into the unreserved space.
func (s *store) roomForAnswer(size int64) bool {
	reserved := int64(s.activeCount) * s.config.Limits.AnswerSize
	return size <= s.config.Limits.AnswerSize && s.answerBytes+reserved+size <= s.config.Limits.AnswerBytes
}

// roomForAll reports whether all records of a hand-over fit.
func (s *store) roomForAll(records []Record) bool {
	size := int64(s.activeCount) * s.config.Limits.AnswerSize
	open := len(s.records) - s.sealedCount
	for _, rec := range records {
		size += rec.Result.size()
		if rec.Result.Ran != reason.NotRun {
			open++
		}
	}
	total := len(s.records) + len(records)
	limits := s.config.Limits
	return open <= limits.Records && total <= limits.Records+limits.SealedRecords && s.answerBytes+size <= limits.AnswerBytes
}

// selectSorted returns the matching records ordered by ID, so that a seeded schedule always gives the same effects.
func (s *store) selectSorted(pick func(*record) bool) []*record {
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
