package configsync

import (
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Tick lets time pass; the daemon sends one about every 50 ms.
type Tick struct{}

// ViewChanged carries the daemon's new view.
type ViewChanged struct{ View *membership.View }

// PlatformAnswered is the answer to a ReadPlatform. Parse runs before the event is sent, outside the control
// goroutine, because it takes up to a fraction of a second.
type PlatformAnswered struct {
	Read uint64
	// Cursor is the platform's own number of the value, for the next read. It is not the catalogue's revision.
	Cursor uint64
	// Catalogue is the parsed document, nil when it is unchanged or invalid.
	Catalogue *catalogue.Catalogue
	// Invalid is the error of Parse.
	Invalid error
}

// PlatformFailed reports a ReadPlatform without an answer.
type PlatformFailed struct{ Read uint64 }

// Announced carries the version that a peer holds; the zero version means that it holds none yet. Heartbeats,
// their replies and follow updates all carry one.
type Announced struct {
	Peer    string
	Version catalogue.Version
}

// Pulled is the answer to a Pull.
type Pulled struct {
	Pull       uint64
	Difference Difference
}

// PullFailed reports a Pull without an answer.
type PullFailed struct{ Pull uint64 }

func (Tick) isEvent()             {}
func (ViewChanged) isEvent()      {}
func (PlatformAnswered) isEvent() {}
func (PlatformFailed) isEvent()   {}
func (Announced) isEvent()        {}
func (Pulled) isEvent()           {}
func (PullFailed) isEvent()       {}
