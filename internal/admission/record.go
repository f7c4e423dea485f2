package admission

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// state is the state of a record: unused, or that of its request.
type state uint8

const (
	free state = iota
	waiting
	running
)

// noRecord is the index that ends a list of records.
const noRecord = int32(-1)

// record holds one request that waits or runs.
type record struct {
	state        state
	class        uint8
	generation   uint32
	next, prev   int32 // neighbours in the flow's list, or in the free list
	target       *target
	customer     *customer
	stateSince   time.Duration // start of the wait or of the run
	expiresAt    time.Duration // latest start while waiting
	deadline     time.Duration
	expiryReason reason.Reason // reason of the refusal at expiresAt
}

// table holds the records. Freed records are reused, so that the steady state allocates nothing.
type table struct {
	records  []record
	freeHead int32
	inUse    int
}

func newTable() table { return table{freeHead: noRecord} }

func (t *table) id(i int32) ID {
	return ID(t.records[i].generation)<<32 | ID(uint32(i))
}

// find returns the index of the record with the ID, and false if the request has ended.
func (t *table) find(id ID) (int32, bool) {
	i := uint64(id & 0xffffffff)
	if i >= uint64(len(t.records)) {
		return noRecord, false
	}
	r := &t.records[i]
	if r.state == free || r.generation != uint32(id>>32) {
		return noRecord, false
	}
	return int32(i), true
}

func (t *table) alloc() int32 {
	t.inUse++
	if t.freeHead == noRecord {
		t.records = append(t.records, record{generation: 1})
		return int32(len(t.records) - 1)
	}
	i := t.freeHead
	t.freeHead = t.records[i].next
	return i
}

func (t *table) release(i int32) {
	t.inUse--
	r := &t.records[i]
	*r = record{generation: r.generation + 1, next: t.freeHead}
	t.freeHead = i
}
