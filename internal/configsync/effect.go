package configsync

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// Effect is an output of the machine.
type Effect interface{ isEffect() }

// ReadPlatform reads the catalogue with a long poll: the platform responds immediately if its cursor for the value
// differs from After, and otherwise when the cursor changes or Wait has elapsed.
type ReadPlatform struct {
	Read  uint64
	After uint64
	Wait  time.Duration
}

// CancelRead cancels a ReadPlatform, whose response would be ignored.
type CancelRead struct{ Read uint64 }

// QueryPeers queries the peers for their versions, which arrive as Announced events.
type QueryPeers struct{ Peers []string }

// Pull requests from a peer the entries that differ from Base.
type Pull struct {
	Pull uint64
	Peer string
	// Base is the catalogue whose entry digests are sent; nil requests all entries.
	Base *catalogue.Catalogue
}

// Apply activates a catalogue.
type Apply struct{ Catalogue *catalogue.Catalogue }

// Announce sends the version to the heartbeat peers immediately instead of with the next heartbeat.
type Announce struct{ Version catalogue.Version }

// Ready reports that the daemon has the configuration that it needs to serve. It is emitted once.
type Ready struct{}

// Skipped reports content that was not applied, for metrics and logs.
type Skipped struct {
	Reason SkipReason
	// Version is the version of the content, zero if the content is invalid.
	Version catalogue.Version
	// Err is the cause for Invalid and Mismatch.
	Err error
}

// SkipReason is the metric label of a Skipped effect.
type SkipReason string

// Reasons for skipping content.
const (
	// Invalid is a platform document that Parse rejects.
	Invalid SkipReason = "invalid"
	// BelowFloor is content below the highest revision that this daemon or a peer accepted.
	BelowFloor SkipReason = "below_floor"
	// OtherContent is content with the current revision and a smaller digest.
	OtherContent SkipReason = "other_content"
	// Mismatch is a peer's response whose content does not match the version that it states.
	Mismatch SkipReason = "mismatch"
)

func (ReadPlatform) isEffect() {}
func (CancelRead) isEffect()   {}
func (QueryPeers) isEffect()   {}
func (Pull) isEffect()         {}
func (Apply) isEffect()        {}
func (Announce) isEffect()     {}
func (Ready) isEffect()        {}
func (Skipped) isEffect()      {}
