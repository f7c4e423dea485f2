package configsync

import (
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Tick advances timers; the daemon sends one about every 50 ms.
type Tick struct{}

// ViewChanged carries the daemon's new membership view.
type ViewChanged struct{ View *membership.View }

// PlatformAnswered is the response to a ReadPlatform. Parse runs outside the control goroutine before the event is
// sent, because it can take a fraction of a second.
type PlatformAnswered struct {
	Read uint64
	// Cursor is the platform's own version number of the value, for the next read. It is not the catalogue's revision.
	Cursor uint64
	// Catalogue is the parsed document, nil if it is unchanged or invalid.
	Catalogue *catalogue.Catalogue
	// Invalid is the error returned by Parse.
	Invalid error
}

// PlatformFailed reports a ReadPlatform that failed.
type PlatformFailed struct{ Read uint64 }

// Announced carries the version that a peer holds; the zero version means that it holds none yet. Heartbeats,
// their replies and follow updates all carry one.
type Announced struct {
	Peer    string
	Version catalogue.Version
}

// Pulled is the response to a Pull.
type Pulled struct {
	Pull       uint64
	Difference Difference
}

// PullFailed reports a Pull that failed.
type PullFailed struct{ Pull uint64 }

func (Tick) isEvent()             {}
func (ViewChanged) isEvent()      {}
func (PlatformAnswered) isEvent() {}
func (PlatformFailed) isEvent()   {}
func (Announced) isEvent()        {}
func (Pulled) isEvent()           {}
func (PullFailed) isEvent()       {}
