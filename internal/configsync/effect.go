package configsync

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// Effect is an output of the machine.
type Effect interface{ isEffect() }

// ReadPlatform reads the catalogue; the platform answers at once when its number of the value is not After,
// and otherwise when that changes or Wait has passed.
type ReadPlatform struct {
	Read  uint64
	After uint64
	Wait  time.Duration
}

// CancelRead abandons a ReadPlatform; its answer would be ignored.
type CancelRead struct{ Read uint64 }

// AskPeers asks the peers for their versions, which arrive as Announced.
type AskPeers struct{ Peers []string }

// Pull asks a peer for the entries that differ from Base.
type Pull struct {
	Pull uint64
	Peer string
	// Base is the catalogue whose entry digests are sent; nil asks for all entries.
	Base *catalogue.Catalogue
}

// Apply puts a catalogue in force.
type Apply struct{ Catalogue *catalogue.Catalogue }

// Announce sends the version to the heartbeat peers at once instead of with the next heartbeat.
type Announce struct{ Version catalogue.Version }

// Ready says that the daemon has the configuration that it needs to serve. It is returned once.
type Ready struct{}

// Skipped reports content that is not applied, for counters and logs.
type Skipped struct {
	Reason SkipReason
	// Version is that of the content, zero when it is invalid.
	Version catalogue.Version
	// Err is the detail of Invalid and Mismatch.
	Err error
}

// SkipReason is the counter label of a Skipped.
type SkipReason string

// Reasons for skipping content.
const (
	// Invalid is a platform document that Parse refuses.
	Invalid SkipReason = "invalid"
	// BelowFloor is content below the highest revision that this daemon or a peer accepted.
	BelowFloor SkipReason = "below_floor"
	// OtherContent is content with the current revision and a smaller digest.
	OtherContent SkipReason = "other_content"
	// Mismatch is a peer's answer that does not assemble to the version that it names.
	Mismatch SkipReason = "mismatch"
)

func (ReadPlatform) isEffect() {}
func (CancelRead) isEffect()   {}
func (AskPeers) isEffect()     {}
func (Pull) isEffect()         {}
func (Apply) isEffect()        {}
func (Announce) isEffect()     {}
func (Ready) isEffect()        {}
func (Skipped) isEffect()      {}
