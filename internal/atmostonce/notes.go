package atmostonce

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

const (
	// maxNotes bounds the stored notes: a zone that restarts all of its gates within two minutes needs far fewer.
	maxNotes = 1024
	// maxHeirChain bounds the heirs followed by one lookup, so that inconsistent notes can't form a loop.
	maxHeirChain = 8
)

// DrainNote names the heir that acts in the roles of a gate process that stopped.
type DrainNote struct {
	From ticket.Gate
	Heir ticket.Gate
	// Remaining is the time to the note's expiry.
	Remaining time.Duration
}

type storedNote struct {
	note   DrainNote
	expiry time.Duration
}

// DrainNotes holds the drain notes that a daemon knows. It is not safe for concurrent use.
type DrainNotes struct {
	byIncarnation map[uint64]storedNote
}

// NewDrainNotes returns an empty set of notes.
func NewDrainNotes() *DrainNotes {
	return &DrainNotes{byIncarnation: make(map[uint64]storedNote)}
}

// Add stores a note and reports whether it is new. The first heir of an incarnation is kept, and relayed copies do
// not extend the lifetime of a note.
func (n *DrainNotes) Add(now time.Duration, note DrainNote) bool {
	n.Expire(now)
	if _, known := n.byIncarnation[note.From.Incarnation]; known || note.Remaining <= 0 || len(n.byIncarnation) >= maxNotes {
		return false
	}
	n.byIncarnation[note.From.Incarnation] = storedNote{note: note, expiry: now + note.Remaining}
	return true
}

// Resolve returns the gate process that acts in place of the given one: the last heir of the chain of notes, or
// the gate itself.
func (n *DrainNotes) Resolve(now time.Duration, gate ticket.Gate) ticket.Gate {
	for range maxHeirChain {
		stored, ok := n.byIncarnation[gate.Incarnation]
		if !ok || now >= stored.expiry {
			return gate
		}
		gate = stored.note.Heir
	}
	return gate
}

// Active returns the unexpired notes to gossip, with their remaining time, ordered by incarnation.
func (n *DrainNotes) Active(now time.Duration) []DrainNote {
	n.Expire(now)
	var notes []DrainNote
	for _, incarnation := range slices.Sorted(maps.Keys(n.byIncarnation)) {
		stored := n.byIncarnation[incarnation]
		stored.note.Remaining = stored.expiry - now
		notes = append(notes, stored.note)
	}
	return notes
}

// Expire removes the expired notes.
func (n *DrainNotes) Expire(now time.Duration) {
	maps.DeleteFunc(n.byIncarnation, func(_ uint64, stored storedNote) bool { return now >= stored.expiry })
}
